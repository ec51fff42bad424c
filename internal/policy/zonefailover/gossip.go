package zonefailover

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
)

// gossip is the state of this router's message exchange: when it sends, and until when it ignores messages.
type gossip struct {
	marker      [2]byte
	sequence    uint32  // of the last message sent
	lastSent    float64 // when the last message was sent
	tokens      float64 // messages that may be sent before the end of the period
	sendEarly   bool    // a message is due early, for example because a new or returning peer may lack all reports
	ignoreUntil float64 // messages received before this time are ignored
}

// peer is the latest state received from another router.
type peer struct {
	incarnation          uint16
	sequence             uint32
	lastHeard            float64
	isolated             bool              // by its own report
	reports              map[uint32]report // by the hash of the zones' names
	previousIncarnations []uint16          // their messages may still arrive
	lastSentEarly        float64           // when this peer last made this router send a message early
}

// addTokens adds tokens for messages sent before the end of the period.
func (g *gossip) addTokens(earned float64) { g.tokens = min(g.tokens+earned, maxGossipTokens) }

// chooseMarker sets the first marker that equals the end of no server's id. If there is none, the marker stays.
func (g *gossip) chooseMarker(ids map[uint16]bool) {
	for _, marker := range markers {
		if !ids[binary.LittleEndian.Uint16(marker[:])] {
			g.marker = marker
			return
		}
	}
}

// messagePeriod returns the time between two periodic messages in seconds.
func (c *Controller) messagePeriod() float64 {
	return max(minMessagePeriod, float64(c.settings.RouterCount)/maxMessageRate)
}

// heardRecently reports whether a peer's last message is so recent that its reports still count.
func (c *Controller) heardRecently(now float64, p *peer) bool {
	return now-p.lastHeard <= peerTimeoutPeriods*c.messagePeriod()
}

// NextMessage returns the datagram to send to all other routers now, or nil if none is due. Call it after each Tick. A
// message holds the most urgent reports; later messages carry the others in turn.
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

// announceRecentAnswers schedules an early report of each zone where this router has had an unreported answer that
// matters to others: the zone is evacuated or probed, or a peer's attempts there get no answer.
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

// contradictsPeer reports whether this router had an answer in a zone after a peer's attempts there began to fail.
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

// mustSendEarly reports whether a message is due before the end of the period.
func (c *Controller) mustSendEarly() bool {
	for _, z := range c.zones {
		if z.announcement.pendingMessages > 0 || z.announcement.newFailure && z.state != Evacuated {
			return true
		}
	}
	return c.gossip.sendEarly
}

// byAnnouncementOrder orders zones for a message: by rank, then least recently sent first, then by name.
func byAnnouncementOrder(a, b *zone) int {
	return cmp.Or(
		cmp.Compare(a.announcementRank(), b.announcementRank()),
		cmp.Compare(a.announcement.lastSent, b.announcement.lastSent),
		cmp.Compare(a.name, b.name))
}

// announcementRank returns how urgent the report of a zone is: 0 for one with pending announcements or a new failure, 1
// for one that is failing or in another state than Serving, 2 for the others.
func (z *zone) announcementRank() int {
	if z.announcement.pendingMessages > 0 || z.announcement.newFailure {
		return 0
	}
	if z.state != Serving || z.evidence.failingSince > 0 {
		return 1
	}
	return 2
}

// message returns this router's next message with its reports of the given zones.
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

// report returns what a message reports of a zone.
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
// the caller can pass it to another handler. It ignores late or duplicate messages and this router's own, and returns
// true for them.
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

// sender returns the peer that sent a message and adds it if necessary. It returns nil if the message is late or a
// duplicate.
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

// restart handles a peer's new process: the reports of the previous one are discarded.
func (p *peer) restart(incarnation uint16) {
	p.previousIncarnations = append(p.previousIncarnations, p.incarnation)
	p.previousIncarnations = p.previousIncarnations[max(0, len(p.previousIncarnations)-maxPreviousIncarnations):]
	p.incarnation = incarnation
	p.reports = map[uint32]report{}
}

// storeReport stores a peer's report of a zone, within bounds.
func (c *Controller) storeReport(p *peer, r report) {
	if r.state > Recovering {
		return
	}
	if c.zones[r.hash] != nil || len(p.reports) < maxZones {
		p.reports[r.hash] = r
	}
}

// sendEarlyFor requests an early message for a new or returning peer, which may lack all reports. It does so at most
// once in half a period for each peer, because such peers may return repeatedly.
func (c *Controller) sendEarlyFor(now float64, p *peer) {
	if now-p.lastSentEarly > c.messagePeriod()/2 {
		p.lastSentEarly = now
		c.gossip.sendEarly = true
	}
}
