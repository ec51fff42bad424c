package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// A datagram has a length that is no multiple of three, as the module's words and those of zones have, and does not begin as those of
// contracts do. Builds that do not know it would still take it for words: so it goes to those alone that have called, by one byte, which
// holds no word. What comes in words as of old is from such a build.
const (
	tag    = 0x67
	call   = 0x68 // of one byte: this router understands; does that one?
	answer = 0x69 // of one byte: this router understands

	words   = 1 // to a home: the end of a server's id and a time, as the module's
	rows    = 2 // between homes: sums of a block
	entries = 3 // within a block: totals
	wanted  = 4 // a pull: ends of the ids whose totals are missed, and a byte without meaning each

	size        = 9 // of a sum or total: end of the id, flags, life, number, age, load, mean
	perDatagram = (bound - 4) / size
	ageStep     = 0.05
	refused     = 255 // as the module's
)

// write adds a sum or a total.
func write(b []byte, id uint16, e entry, now float64) []byte {
	flags := e.rank & 15
	for i, on := range []bool{e.refused, e.well, e.news} {
		if on {
			flags |= 16 << i
		}
	}
	age := byte(min(255, max(0, math.Ceil((now-e.born)/ageStep))))
	b = append(b, byte(id), byte(id>>8), flags, e.life, e.number, age)
	b = binary.LittleEndian.AppendUint16(b, uint16(min(65535, math.Round(max(0, e.load)*16))))
	return append(b, byte(min(254, math.Round(max(0, e.joint)*32))))
}

func read(b []byte, now float64) (id uint16, e entry) {
	return binary.LittleEndian.Uint16(b), entry{rank: b[2] & 15, refused: b[2]&16 != 0, well: b[2]&32 != 0, news: b[2]&64 != 0, life: b[3], number: b[4],
		born: now - float64(b[5])*ageStep, load: float64(binary.LittleEndian.Uint16(b[6:])) / 16, joint: float64(b[8]) / 32}
}

// seal adds a checksum.
func seal(b []byte) []byte {
	return binary.LittleEndian.AppendUint16(b, uint16(crc32.ChecksumIEEE(b)))
}

// Heard takes a datagram of a router of the view; false if it is none of this package: then it is heard as of old, and its sender is taken for
// a build that does not know this.
func (f *Fleet) Heard(now float64, from int, b []byte) bool {
	f.wake(now)
	f.pay(len(b) + header)
	f.Counts.Heard += uint64(len(b) + header)
	switch {
	case from < 0 || from >= len(f.view.names) || from == f.set.Me:
		return true
	case len(b) == 1 && (b[0] == call || b[0] == answer):
		f.meet(from)
		if b[0] == call && f.peers[from].letter.take(now, letters, 2*letters, 1) {
			f.pay(header + 1)
			f.note(from, []byte{answer})
		}
		return true
	case len(b)%3 == 0 || len(b) < 4 || b[0] != tag:
		if p := f.peers[from]; p != nil && len(b)%3 == 0 && len(b) <= 15 { // the module's words, told to all
			p.until = 0
		}
		return false
	}
	body := b[:len(b)-2]
	if binary.LittleEndian.Uint16(b[len(body):]) != uint16(crc32.ChecksumIEEE(body)) {
		f.Counts.Foreign++
		return true
	}
	f.meet(from)
	if now < f.deaf {
		return true
	}
	p := f.peers[from]
	if !p.letter.take(now, letters, 2*letters, 1) {
		f.Counts.Foreign++
		return true
	}
	kind, body := body[1], body[2:]
	switch {
	case kind == words:
		for ; len(body) >= 3; body = body[3:] {
			s := f.servers[binary.LittleEndian.Uint16(body)]
			if s == nil || !f.near(from) {
				continue
			}
			if !p.words.take(now, telling, burst, 1) {
				f.Counts.Bounded++
				continue
			}
			f.count(s, body[2])
		}
	case kind == wanted && f.near(from):
		f.give(from, body)
	case kind == rows:
		for ; len(body) >= size; body = body[size:] {
			f.rowFrom(from, body)
		}
	case kind == entries && f.view.block(from) == f.me:
		for ; len(body) >= size; body = body[size:] {
			f.entryFrom(body)
		}
	}
	return true
}

// near tells whether a router is of this block, or may take itself to be by a list in which some routers more or fewer stand before it. Its words
// count here, as it tells them nowhere else, and it may pull; totals are still taken from the block alone, else those of two would go through both.
func (f *Fleet) near(router int) bool { return router >= f.from-edge && router < f.to+edge }

func (f *Fleet) meet(from int) {
	p := f.peer(from)
	p.until, p.called = f.now+known, 0
	if !p.listed && from >= f.from && from < f.to {
		p.listed, f.talkers = true, append(f.talkers, from)
	}
}

// rowFrom takes a block's sum: from a home of that server in that block alone, and no more than its routers may tell.
func (f *Fleet) rowFrom(from int, b []byte) {
	id, e := read(b, f.now)
	s, blk := f.servers[id], f.view.block(from)
	if s == nil || int(f.view.ranked(blk, id)[e.rank]) != from || f.now-e.born > hold {
		f.Counts.Foreign++
		return
	}
	start, end := f.view.span(blk)
	e.load = min(e.load, float64(end-start)*telling*recall*8)
	if blk == f.me { // it is kept in case that one dies: it alone is told of what is no news
		if s.first[e.rank] = f.now; f.rank(s) > int(e.rank) {
			count := e.load / max(e.joint, 1.0/32) / recall
			s.mine.load, s.mine.took, s.mine.count, s.mine.at = e.load, e.joint*count, count, f.now
			if e.well {
				s.mine.well = max(s.mine.well, e.born)
			}
		}
		return
	}
	if s.rows == nil {
		s.rows = map[int]entry{}
	}
	if was, ok := s.rows[blk]; ok && e.rank > was.rank && f.now-was.born < nothing {
		return
	}
	s.rows[blk] = e
}

// entryFrom takes a total, which any router of the block may pass on. A home that hears a total of its own that it never said goes beyond
// its number, and so takes it back.
func (f *Fleet) entryFrom(b []byte) {
	id, e := read(b, f.now)
	s := f.servers[id]
	if s == nil || f.now-e.born > hold {
		return
	}
	if int(f.view.ranked(f.me, id)[e.rank]) == f.set.Me {
		if e.life == byte(mix(f.view.names[f.set.Me], uint64(f.set.Life))) && int8(e.number-s.number) > 0 {
			s.number, s.spoke = e.number, math.Inf(-1)
		}
		if int8(e.number-s.number) != 0 {
			return
		}
	}
	f.hear(s, e)
}

// give answers a pull.
func (f *Fleet) give(to int, ids []byte) {
	if !f.answers.take(f.now, f.set.BytesPerSecond/10, f.set.BytesPerSecond/7, bound+header) {
		return
	}
	b := []byte{tag, entries}
	for ; len(ids) >= 3; ids = ids[3:] {
		s := f.servers[binary.LittleEndian.Uint16(ids)]
		if s != nil && f.now-s.held.born < overdue && len(b)+size+2 <= bound {
			b = write(b, s.id, s.held, f.now)
		}
	}
	if len(b) > 2 {
		f.pay(len(b) + 2 + header)
		f.post(to, seal(b))
	}
}
