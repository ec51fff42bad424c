package emulator

import (
	"bytes"
	"slices"
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
)

// ending is how a cache server's connection ends at a long value.
type ending int

const (
	goesOn     ending = iota
	closes            // in order, right behind the whole value
	resets            // right behind the whole value, whatever of it has not got across
	breaksOff         // within the value, in order
	resetUnder        // within the value, by a reset
	ceases            // within the value: it says no more, and its connection stays
	endings
)

// resetAfter is how many seconds after its kernel has taken the last byte a server resets: far more than loopback takes to carry what
// the other side has room for.
const resetAfter = 0.05

// lingers is for how many seconds a server that closes in order takes what still comes: were it unread, its kernel would reset the
// connection. It is longer than routers leave a slow client without a byte.
const lingers = 12

// draw lets a long value end as the faults have it, and gives what of it is written.
func (r *reply) draw(text [][]byte) [][]byte {
	x := r.c.s.chance.Float64()
	for how, part := range r.c.s.ends {
		if x -= part; part > 0 && x < 0 {
			r.how = ending(how)
			break
		}
	}
	if r.how < breaksOff {
		return text
	}
	head := len(text[0])
	return cut(text, head+1+r.c.s.chance.IntN(r.x.Length-1)) // a head and a byte: else it has not begun
}

// cut gives the first n bytes of a text.
func cut(text [][]byte, n int) (first [][]byte) {
	for _, part := range text {
		if n <= 0 {
			break
		}
		part = part[:min(n, len(part))]
		n -= len(part)
		first = append(first, part)
	}
	return first
}

// first gives the beginning of a text, of so many bytes at most.
func first(text [][]byte, bound int) string { return string(bytes.Join(cut(text, bound), nil)) }

// taken notes which long values the kernel has taken, and ends the connection where it is to end behind one.
func (c *serverConn) taken() {
	now := c.s.f.loop.Now()
	for !c.gone && len(c.giving) > 0 && c.conn.Sent() >= c.giving[0].end {
		r := c.giving[0]
		c.giving = c.giving[1:]
		if r.how < breaksOff {
			r.x.Whole = now
		} else {
			r.x.Broke = now
		}
		switch r.how {
		case closes:
			c.conn.Finish(lingers)
			c.Closed()
		case resets:
			c.s.f.loop.After(resetAfter, func() { c.lose(true) })
		case breaksOff:
			c.conn.Finish(lingers)
			c.Closed()
		case resetUnder:
			c.lose(true)
		case ceases:
			c.out.held = true
			c.conn.Pause()
		}
	}
}

// broke notes that the long values on their way end here; a reset may also take what the other side has not read of the last one.
func (c *serverConn) broke(reset bool) {
	all := c.giving
	if reset && c.last != nil && len(all) == 0 {
		all = []*reply{c.last}
	}
	for _, r := range all {
		if r.x.Broke == 0 {
			r.x.Broke = c.s.f.loop.Now()
		}
	}
}

// longSet reads a write of a long value without holding it.
type longSet struct {
	line  []byte
	check Check
	left  int // bytes that have not come, with the CRLF
}

func (l *longSet) begun() bool { return l.left > 0 }

const (
	setBegins = "ms "
	lineMost  = 2048 // bytes of a line, as the protocol has it
)

// begins tells whether the next command is a long write, as far as its line has come; the line is taken once it is whole.
func (l *longSet) begins(in *ringbuffer.Buffer) bool {
	var parts [2][]byte
	line := bytes.Join(in.Held(parts[:0]), nil)
	if n := min(len(line), len(setBegins)); string(line[:n]) != setBegins[:n] {
		return false
	}
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		return len(line) < lineMost // more is to come; a longer line is refused by the usual reader
	}
	fields := bytes.Fields(line[:end])
	if len(fields) < 3 {
		return false
	}
	n, err := strconv.ParseUint(string(fields[2]), 10, 31)
	if err != nil || n <= meta.ValueBound || n > meta.LongBound {
		return false
	}
	in.Drop(end + 1)
	l.line, l.check, l.left = slices.Clone(line[:end]), Check{Length: int(n)}, int(n)+len("\r\n")
	return true
}

// read takes what has come of the value, and hands the command on once it is whole.
func (l *longSet) read(in *ringbuffer.Buffer, m *memcacheSpeech) (bool, error) {
	var parts [2][]byte
	for _, part := range in.Held(parts[:0]) {
		n := min(len(part), l.left)
		l.check.Take(part[:min(n, max(0, l.left-len("\r\n")))])
		l.left -= n
		in.Drop(n)
		if l.left == 0 && n > 0 {
			break
		}
	}
	if l.left > 0 || l.line == nil {
		return false, nil
	}
	fields := bytes.Fields(l.line)
	l.line = nil
	id, figures := "", ""
	for _, f := range fields[3:] {
		switch f[0] {
		case 'O':
			id = string(f[1:])
		case 'P':
			figures = string(f[1:])
		}
	}
	m.damage = l.check.End()
	m.take(string(fields[1]), id, figures, true)
	m.damage = ""
	return true, nil
}
