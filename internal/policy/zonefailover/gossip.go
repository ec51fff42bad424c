package zonefailover

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// gossip is when this router speaks, and listens.
type gossip struct {
	marker      [2]byte
	sequence    uint32  // of the last message
	lastSent    float64 // when that was
	tokens      float64 // messages that may be sent before their time
	sendEarly    bool    // a peer was heard for the first time, or anew: it may know nothing
	ignoreUntil float64 // messages are not listened to until then
}

// peer is what another router said last.
type peer struct {
	incarnation          uint16
	sequence             uint32
	lastHeard            float64
	isolated             bool              // as it says itself
	reports              map[uint32]report // by the hash of the zones' names
	previousIncarnations []uint16          // their messages may still come
	lastSentEarly          float64           // when this router last spoke because of it
}

// addTokens earns tokens for messages before their time.
func (g *gossip) addTokens(earned float64) { g.tokens = min(g.tokens+earned, maxGossipTokens) }

// chooseMarker chooses the first marker that is the end of no server's id; without any the present one stays.
func (g *gossip) chooseMarker(ids map[uint16]bool) {
	for _, marker := range markers {
		if !ids[binary.LittleEndian.Uint16(marker[:])] {
			g.marker = marker
			return
		}
	}
}

// messagePeriod is the time between two messages without news, in seconds.
func (c *Controller) messagePeriod() float64 {
	return max(minMessagePeriod, float64(c.settings.RouterCount)/maxMessageRate)
}

// heardRecently reports whether what a peer said still counts.
func (c *Controller) heardRecently(now float64, p *peer) bool {
	return now-p.lastHeard <= peerTimeoutPeriods*c.messagePeriod()
}

// NextMessage returns the datagram that is to be sent to all other routers now; nil: there is none. It is to be called
// after each Tick. A message holds what is most needed; the rest is told in its turn.
func (c *Controller) NextMessage(now float64) []byte {
	if c.settings.RouterCount < 2 || len(c.zones) == 0 {
		return nil
	}
	c.announceRecentAnswers(now)
	sinceLast := now - c.gossip.lastSent
	if sinceLast < c.messagePeriod() {
		if sinceLast < minMessageGap || c.gossip.tokens < 1 || !c.mustSendEarly() {
			return nil
		}
		c.gossip.tokens--
	}
	c.gossip.lastSent = now
	c.gossip.sendEarly = false
	zones := slices.SortedFunc(maps.Values(c.zones), byAnnouncementOrder)
	zones = zones[:min(len(zones), maxZonesPerMessage)]
	for _, z := range zones {
		z.announcement = announcement{pendingMessages: max(0, z.announcement.pendingMessages-1), lastSent: now}
	}
	c.MessagesSent++
	return c.message(now, zones)
}

// announceRecentAnswers has the zones announced for which others wait to hear from this router: one of them has no answer
// there or probes it, and this router has had an answer that it has not told of.
func (c *Controller) announceRecentAnswers(now float64) {
	for _, z := range c.zones {
		if z.evidence.lastAnswer <= z.announcement.lastSent || z.announcement.pendingMessages > 0 {
			continue
		}
		if z.state.evacuated() || c.contradictsPeer(now, z) {
			z.announcement.pendingMessages = 1
		}
	}
}

// contradictsPeer reports whether this router had an answer in a zone after a peer began to have none.
func (c *Controller) contradictsPeer(now float64, z *zone) bool {
	if now-z.announcement.lastSent <= 2*minMessageGap {
		return false
	}
	for _, p := range c.peers {
		failingSince := p.reports[z.hash].failingSince
		if failingSince > 0 && z.evidence.lastAnswer > failingSince && c.heardRecently(now, p) {
			return true
		}
	}
	return false
}

// mustSendEarly reports whether others have to know something now.
func (c *Controller) mustSendEarly() bool {
	for _, z := range c.zones {
		if z.announcement.pendingMessages > 0 || z.announcement.newFailure && z.state != Evacuated {
			return true
		}
	}
	return c.gossip.sendEarly
}

// byAnnouncementOrder orders zones for a message: what others have to hear, what is not as usual, and what was told of longest ago.
func byAnnouncementOrder(a, b *zone) int {
	return cmp.Or(
		cmp.Compare(a.announcementRank(), b.announcementRank()),
		cmp.Compare(a.announcement.lastSent, b.announcement.lastSent),
		cmp.Compare(a.name, b.name))
}

// announcementRank is how much others announcementRank to hear of a zone; 0 is the most.
func (z *zone) announcementRank() int {
	if z.announcement.pendingMessages > 0 || z.announcement.newFailure {
		return 0
	}
	if z.state != Serving || z.evidence.failingSince > 0 {
		return 1
	}
	return 2
}

// message makes the next message of this router, with its reports of some zones.
func (c *Controller) message(now float64, zones []*zone) []byte {
	c.gossip.sequence++
	data := header{
		router:      c.settings.RouterIndex,
		incarnation: c.settings.Incarnation,
		sequence:    c.gossip.sequence,
		isolated:    c.isolated(now),
		zones:       len(zones),
	}.appendTo(nil)
	for _, z := range zones {
		data = z.report().appendTo(data, now)
	}
	return pack(data, c.gossip.marker)
}

// report is what this router says of a zone.
func (z *zone) report() report {
	return report{
		hash:             z.hash,
		state:            z.state,
		operatorOverride: z.operatorOverride,
		share:            z.share,
		lastAnswer:       z.evidence.lastAnswer,
		failingSince:     z.evidence.failingSince,
		lastStep:         z.step.previous,
	}
}

// OnMessage handles another router's datagram. It returns false if the datagram is of another kind or damaged, so that
// the caller may offer it elsewhere; one that is late, doubled or this router's own is of this kind, and ignored.
func (c *Controller) OnMessage(now float64, datagram []byte) bool {
	data := unpack(datagram)
	if data == nil {
		return false
	}
	c.resetAfterStall(now)
	head := decodeHeader(data)
	if head.router == c.settings.RouterIndex || head.router >= c.settings.RouterCount || now < c.gossip.ignoreUntil {
		return true
	}
	p := c.sender(now, head)
	if p == nil {
		return true
	}
	if !c.heardRecently(now, p) {
		c.sendEarlyFor(now, p)
	}
	p.sequence = head.sequence
	p.lastHeard = now
	p.isolated = head.isolated
	for rest := data[headerBytes:]; len(rest) >= reportBytes; rest = rest[reportBytes:] {
		c.storeReport(p, decodeReport(rest, now))
	}
	return true
}

// sender returns the peer that sent a message, a new one if need be; nil: the message is late or doubled.
func (c *Controller) sender(now float64, head header) *peer {
	p := c.peers[head.router]
	if p == nil {
		p = &peer{incarnation: head.incarnation, reports: map[uint32]report{}}
		c.peers[head.router] = p
		c.sendEarlyFor(now, p)
		return p
	}
	if slices.Contains(p.previousIncarnations, head.incarnation) {
		return nil
	}
	if p.incarnation == head.incarnation {
		if int32(head.sequence-p.sequence) <= 0 {
			return nil
		}
		return p
	}
	p.restart(head.incarnation)
	c.sendEarlyFor(now, p)
	return p
}

// restart handles that a peer is another process now: what the one before saw counts no more.
func (p *peer) restart(incarnation uint16) {
	p.previousIncarnations = append(p.previousIncarnations, p.incarnation)
	p.previousIncarnations = p.previousIncarnations[max(0, len(p.previousIncarnations)-maxPreviousIncarnations):]
	p.incarnation = incarnation
	p.reports = map[uint32]report{}
}

// storeReport keeps what a peer says of a zone, within bounds.
func (c *Controller) storeReport(p *peer, r report) {
	if r.state > Recovering {
		return
	}
	if c.zones[r.hash] != nil || len(p.reports) < maxZones {
		p.reports[r.hash] = r
	}
}

// sendEarlyFor has a message sent soon, for a peer that is new may know nothing; not for each that comes back at once.
func (c *Controller) sendEarlyFor(now float64, p *peer) {
	if now-p.lastSentEarly > c.messagePeriod()/2 {
		p.lastSentEarly = now
		c.gossip.sendEarly = true
	}
}
