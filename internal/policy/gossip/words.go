package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// A datagram has a length that is no multiple of three, as the module's kindObservations and those of zones have, and does not begin as those of
// contracts do. Builds that do not know it would still take it for kindObservations: so it goes to those alone that have called, by one byte, which
// holds no word. What comes in kindObservations as of old is from such a build.
const (
	messageTag   = 0x67
	probeByte    = 0x68 // of one byte: this router understands; does that one?
	probeAckByte = 0x69 // of one byte: this router understands

	kindObservations = 1 // to a home: the end of a server's id and a time, as the module's
	kindGroupSums    = 2 // between homes: sums of a block
	kindSummaries    = 3 // within a block: totals
	kindPull         = 4 // a pull: ends of the ids whose totals are missed, and a byte without meaning each

	size        = 9 // of a sum or total: end of the id, flags, life, number, age, load, mean
	perDatagram = (maxDatagramBytes - 4) / size
	ageStep     = 0.05
	refusalByte = 255 // as the module's
)

// appendSummary adds a sum or a total.
func appendSummary(b []byte, id uint16, e summary, now float64) []byte {
	flags := e.rank & 15
	for i, on := range []bool{e.refusing, e.answering, e.urgent} {
		if on {
			flags |= 16 << i
		}
	}
	age := byte(min(255, max(0, math.Ceil((now-e.originatedAt)/ageStep))))
	b = append(b, byte(id), byte(id>>8), flags, e.incarnation, e.version, age)
	b = binary.LittleEndian.AppendUint16(b, uint16(min(65535, math.Round(max(0, e.load)*16))))
	return append(b, byte(min(254, math.Round(max(0, e.mean)*32))))
}

func parseSummary(b []byte, now float64) (id uint16, e summary) {
	return binary.LittleEndian.Uint16(b), summary{rank: b[2] & 15, refusing: b[2]&16 != 0, answering: b[2]&32 != 0, urgent: b[2]&64 != 0, incarnation: b[3], version: b[4],
		originatedAt: now - float64(b[5])*ageStep, load: float64(binary.LittleEndian.Uint16(b[6:])) / 16, mean: float64(b[8]) / 32}
}

// appendChecksum adds a checksum.
func appendChecksum(b []byte) []byte {
	return binary.LittleEndian.AppendUint16(b, uint16(crc32.ChecksumIEEE(b)))
}

// OnDatagram takes a datagram of a router of the view; false if it is none of this package: then it is heard as of old, and its sender is taken for
// a build that does not know this.
func (f *Gossiper) OnDatagram(now float64, from int, b []byte) bool {
	f.wake(now)
	f.pay(len(b) + datagramOverhead)
	f.Counters.BytesReceived += uint64(len(b) + datagramOverhead)
	switch {
	case from < 0 || from >= len(f.view.hashes) || from == f.settings.Self:
		return true
	case len(b) == 1 && (b[0] == probeByte || b[0] == probeAckByte):
		f.meet(from)
		if b[0] == probeByte && f.peerByRouter[from].datagramRate.take(now, datagramsPerSecond, 2*datagramsPerSecond, 1) {
			f.pay(datagramOverhead + 1)
			f.note(from, []byte{probeAckByte})
		}
		return true
	case len(b)%3 == 0 || len(b) < 4 || b[0] != messageTag:
		if p := f.peerByRouter[from]; p != nil && len(b)%3 == 0 && len(b) <= 15 { // the module's words, told to all
			p.until = 0
		}
		return false
	}
	body := b[:len(b)-2]
	if binary.LittleEndian.Uint16(b[len(body):]) != uint16(crc32.ChecksumIEEE(body)) {
		f.Counters.DatagramsDropped++
		return true
	}
	f.meet(from)
	if now < f.deaf {
		return true
	}
	p := f.peerByRouter[from]
	if !p.datagramRate.take(now, datagramsPerSecond, 2*datagramsPerSecond, 1) {
		f.Counters.DatagramsDropped++
		return true
	}
	kind, body := body[1], body[2:]
	switch {
	case kind == kindObservations:
		for ; len(body) >= 3; body = body[3:] {
			s := f.serverByID[binary.LittleEndian.Uint16(body)]
			if s == nil || !f.near(from) {
				continue
			}
			if !p.observationRate.take(now, telling, observationBurst, 1) {
				f.Counters.ObservationsLimited++
				continue
			}
			f.count(s, body[2])
		}
	case kind == kindPull && f.near(from):
		f.give(from, body)
	case kind == kindGroupSums:
		for ; len(body) >= size; body = body[size:] {
			f.rowFrom(from, body)
		}
	case kind == kindSummaries && f.view.groupOf(from) == f.group:
		for ; len(body) >= size; body = body[size:] {
			f.entryFrom(body)
		}
	}
	return true
}

// near tells whether a router is of this block, or may take itself to be by a list in which some routers more or fewer stand before it. Its words
// count here, as it tells them nowhere else, and it may pull; totals are still taken from the block alone, else those of two would go through both.
func (f *Gossiper) near(router int) bool { return router >= f.from-edge && router < f.to+edge }

func (f *Gossiper) meet(from int) {
	p := f.peer(from)
	p.until, p.called = f.now+known, 0
	if !p.listed && from >= f.from && from < f.to {
		p.listed, f.talkers = true, append(f.talkers, from)
	}
}

// rowFrom takes a block's sum: from a home of that server in that block alone, and no more than its routers may tell.
func (f *Gossiper) rowFrom(from int, b []byte) {
	id, e := parseSummary(b, f.now)
	s, blk := f.serverByID[id], f.view.groupOf(from)
	if s == nil || int(f.view.ownersOf(blk, id)[e.rank]) != from || f.now-e.originatedAt > summaryLifetime {
		f.Counters.DatagramsDropped++
		return
	}
	start, end := f.view.groupBounds(blk)
	e.load = min(e.load, float64(end-start)*telling*loadDecay*8)
	if blk == f.group { // it is kept in case that one dies: it alone is told of what is no news
		if s.ownerHeardAt[e.rank] = f.now; f.rank(s) > int(e.rank) {
			count := e.load / max(e.mean, 1.0/32) / loadDecay
			s.own.load, s.own.timeSum, s.own.count, s.own.updatedAt = e.load, e.mean*count, count, f.now
			if e.answering {
				s.own.answeredAt = max(s.own.answeredAt, e.originatedAt)
			}
		}
		return
	}
	if s.groupSums == nil {
		s.groupSums = map[int]summary{}
	}
	if was, ok := s.groupSums[blk]; ok && e.rank > was.rank && f.now-was.originatedAt < nothing {
		return
	}
	s.groupSums[blk] = e
}

// entryFrom takes a total, which any router of the block may pass on. A home that hears a total of its own that it never said goes beyond
// its number, and so takes it back.
func (f *Gossiper) entryFrom(b []byte) {
	id, e := parseSummary(b, f.now)
	s := f.serverByID[id]
	if s == nil || f.now-e.originatedAt > summaryLifetime {
		return
	}
	if int(f.view.ownersOf(f.group, id)[e.rank]) == f.settings.Self {
		if e.incarnation == byte(mix(f.view.hashes[f.settings.Self], uint64(f.settings.Incarnation))) && int8(e.version-s.number) > 0 {
			s.number, s.spoke = e.version, math.Inf(-1)
		}
		if int8(e.version-s.number) != 0 {
			return
		}
	}
	f.hear(s, e)
}

// give answers a pull.
func (f *Gossiper) give(to int, ids []byte) {
	if !f.answers.take(f.now, f.settings.BytesPerSecond/10, f.settings.BytesPerSecond/7, maxDatagramBytes+datagramOverhead) {
		return
	}
	b := []byte{messageTag, kindSummaries}
	for ; len(ids) >= 3; ids = ids[3:] {
		s := f.serverByID[binary.LittleEndian.Uint16(ids)]
		if s != nil && f.now-s.held.originatedAt < overdue && len(b)+size+2 <= maxDatagramBytes {
			b = appendSummary(b, s.id, s.held, f.now)
		}
	}
	if len(b) > 2 {
		f.pay(len(b) + 2 + datagramOverhead)
		f.post(to, appendChecksum(b))
	}
}
