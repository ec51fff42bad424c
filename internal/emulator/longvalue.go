package emulator

import (
	"bytes"
	"slices"
	"strconv"

	"bendtrestle/internal/meta"
	"bendtrestle/internal/ringbuffer"
)

// ending is what happens to a cache server's connection during or after a long value.
type ending int

const (
	staysOpen         ending = iota
	closesAfterValue         // closes in order right after the complete value
	resetsAfterValue         // resets right after the complete value, even if part of it has not been received
	closesWithinValue        // closes in order within the value
	resetsWithinValue        // resets within the value
	stallsWithinValue        // stops sending within the value; the connection stays open
	endingCount
)

// resetDelay is how many seconds after its kernel has taken the last byte a server resets the connection. It is far
// longer than loopback takes to deliver the bytes for which the receiver has buffer space.
const resetDelay = 0.05

// closeLinger is for how many seconds a server that closes in order still reads input. Unread input would make its
// kernel reset the connection. It is longer than the time that routers allow a slow client to read nothing.
const closeLinger = 12

// drawEnding draws by the active faults how a long value ends, and returns the part of the reply that is written.
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
	// At least the reply's head and one byte are written; otherwise the value would not have begun.
	return prefix(reply, head+1+r.conn.server.rng.IntN(r.execution.Length-1))
}

// prefix returns the first n bytes of a text.
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

// prefixText returns at most the first bound bytes of a text as a string.
func prefixText(text [][]byte, bound int) string { return string(bytes.Join(prefix(text, bound), nil)) }

// handleSentValues records which long values, as far as they are written, the kernel has taken, and ends the connection
// where a value's drawn ending requires it.
func (c *serverConn) handleSentValues() {
	now := c.server.fleet.loop.Now()
	for !c.closed && len(c.unsentLong) > 0 && c.conn.Sent() >= c.unsentLong[0].endOffset {
		reply := c.unsentLong[0]
		c.unsentLong = c.unsentLong[1:]
		if reply.ending < closesWithinValue {
			reply.execution.SentAt = now
		} else {
			reply.execution.InterruptedAt = now
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

// markBroken records that the long values being sent are interrupted here. A reset may also destroy the bytes of the
// last complete value that the receiver has not read.
func (c *serverConn) markBroken(reset bool) {
	broken := c.unsentLong
	if reset && c.lastLong != nil && len(broken) == 0 {
		broken = []*reply{c.lastLong}
	}
	for _, reply := range broken {
		if reply.execution.InterruptedAt == 0 {
			reply.execution.InterruptedAt = c.server.fleet.loop.Now()
		}
	}
}

// longWrite reads a write of a long value without buffering the value.
type longWrite struct {
	line      []byte
	check     Check
	remaining int // bytes still to be received, including the CRLF
}

func (l *longWrite) begun() bool { return l.remaining > 0 }

const (
	setPrefix    = "ms "
	maxLineBytes = 2048 // the protocol's limit on a line's length in bytes
)

// startsLongWrite reports whether the next command is a long write, as far as its line has been received. It consumes
// the line once it is complete.
func (l *longWrite) startsLongWrite(in *ringbuffer.Buffer) bool {
	var parts [2][]byte
	line := bytes.Join(in.Held(parts[:0]), nil)
	if n := min(len(line), len(setPrefix)); string(line[:n]) != setPrefix[:n] {
		return false
	}
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		return len(line) < maxLineBytes // wait for the rest; the command reader rejects a longer line
	}
	fields := bytes.Fields(line[:end])
	if len(fields) < 3 {
		return false
	}
	n, err := strconv.ParseUint(string(fields[2]), 10, 31)
	if err != nil || n <= meta.MaxBufferedValueBytes || n > meta.MaxLongValueBytes {
		return false
	}
	in.Drop(end + 1)
	l.line, l.check, l.remaining = slices.Clone(line[:end]), Check{Length: int(n)}, int(n)+len("\r\n")
	return true
}

// read consumes the received bytes of the value, and starts the command once the value is complete.
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
