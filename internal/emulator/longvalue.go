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
	staysOpen         ending = iota
	closesAfterValue         // in order, right behind the whole value
	resetsAfterValue         // right behind the whole value, whatever of it has not got across
	closesWithinValue        // within the value, in order
	resetsWithinValue        // within the value, by a reset
	stallsWithinValue        // within the value: it says no more, and its connection stays
	endingCount
)

// resetAfter is how many seconds after its kernel has taken the last byte a server resets: far more than loopback takes to carry what
// the other side has room for.
const resetDelay = 0.05

// lingers is for how many seconds a server that closes in order takes what still comes: were it unread, its kernel would reset the
// connection. It is longer than routers leave a slow client without a byte.
const closeLinger = 12

// draw lets a long value end as the faults have it, and gives what of it is written.
func (r *reply) drawEnding(reply [][]byte) [][]byte {
	draw := r.conn.server.rng.Float64()
	for how, fraction := range r.conn.server.endingFractions {
		if draw -= fraction; fraction > 0 && draw < 0 {
			r.ending = ending(how)
			break
		}
	}
	if r.ending < closesWithinValue {
		return reply
	}
	head := len(reply[0])
	return prefix(reply, head+1+r.conn.server.rng.IntN(r.execution.Length-1)) // a head and a byte: else it has not begun
}

// cut gives the first n bytes of a text.
func prefix(text [][]byte, n int) (first [][]byte) {
	for _, piece := range text {
		if n <= 0 {
			break
		}
		piece = piece[:min(n, len(piece))]
		n -= len(piece)
		first = append(first, piece)
	}
	return first
}

// first gives the beginning of a text, of so many bytes at most.
func prefixText(text [][]byte, bound int) string { return string(bytes.Join(prefix(text, bound), nil)) }

// taken notes which long values the kernel has taken, and ends the connection where it is to end behind one.
func (c *serverConn) handleSentValues() {
	now := c.server.fleet.loop.Now()
	for !c.closed && len(c.unsentLong) > 0 && c.conn.Sent() >= c.unsentLong[0].endOffset {
		reply := c.unsentLong[0]
		c.unsentLong = c.unsentLong[1:]
		if reply.ending < closesWithinValue {
			reply.execution.Whole = now
		} else {
			reply.execution.Broke = now
		}
		switch reply.ending {
		case closesAfterValue:
			c.conn.Finish(closeLinger)
			c.Closed()
		case resetsAfterValue:
			c.server.fleet.loop.After(resetDelay, func() { c.disconnect(true) })
		case closesWithinValue:
			c.conn.Finish(closeLinger)
			c.Closed()
		case resetsWithinValue:
			c.disconnect(true)
		case stallsWithinValue:
			c.out.paused = true
			c.conn.Pause()
		}
	}
}

// broke notes that the long values on their way end here; a reset may also take what the other side has not read of the last one.
func (c *serverConn) markBroken(reset bool) {
	broken := c.unsentLong
	if reset && c.lastLong != nil && len(broken) == 0 {
		broken = []*reply{c.lastLong}
	}
	for _, reply := range broken {
		if reply.execution.Broke == 0 {
			reply.execution.Broke = c.server.fleet.loop.Now()
		}
	}
}

// longSet reads a write of a long value without holding it.
type longWrite struct {
	line      []byte
	check     Check
	remaining int // bytes that have not come, with the CRLF
}

func (l *longWrite) begun() bool { return l.remaining > 0 }

const (
	setPrefix    = "ms "
	maxLineBytes = 2048 // bytes of a line, as the protocol has it
)

// begins tells whether the next command is a long write, as far as its line has come; the line is taken once it is whole.
func (l *longWrite) startsLongWrite(in *ringbuffer.Buffer) bool {
	var parts [2][]byte
	line := bytes.Join(in.Held(parts[:0]), nil)
	if n := min(len(line), len(setPrefix)); string(line[:n]) != setPrefix[:n] {
		return false
	}
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		return len(line) < maxLineBytes // more is to come; a longer line is refused by the usual reader
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
	l.line, l.check, l.remaining = slices.Clone(line[:end]), Check{Length: int(n)}, int(n)+len("\r\n")
	return true
}

// read takes what has come of the value, and hands the command on once it is whole.
func (l *longWrite) read(in *ringbuffer.Buffer, protocol *memcacheServer) (bool, error) {
	var parts [2][]byte
	for _, piece := range in.Held(parts[:0]) {
		n := min(len(piece), l.remaining)
		l.check.Take(piece[:min(n, max(0, l.remaining-len("\r\n")))])
		l.remaining -= n
		in.Drop(n)
		if l.remaining == 0 && n > 0 {
			break
		}
	}
	if l.remaining > 0 || l.line == nil {
		return false, nil
	}
	fields := bytes.Fields(l.line)
	l.line = nil
	id, parameters := "", ""
	for _, field := range fields[3:] {
		switch field[0] {
		case 'O':
			id = string(field[1:])
		case 'P':
			parameters = string(field[1:])
		}
	}
	protocol.damage = l.check.End()
	protocol.startCommand(string(fields[1]), id, parameters, true)
	protocol.damage = ""
	return true, nil
}
