package emulator

import (
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/ringbuffer"
)

// clientConn is one connection of a client to a router. It carries one try at a time.
type clientConn struct {
	target           *routerTarget
	conn             clientSocket
	in               *ringbuffer.Buffer
	out              output
	protocol         clientProtocol
	connected        bool
	answeredAttempts int    // tries that were answered on it
	lastAnsweredID   string // the id of the try that was answered last
	attempt          *Try
	attemptEnd       uint64           // where the try's last byte stands in what was written
	timer            *eventloop.Timer // until the client leaves
	leavesEarly      bool             // before its time is up
	lastByteAt       float64          // when a byte of a long value last came
	leaveAfterBytes  int              // bytes of a long value after which its client leaves; 0: it does not
	closed           bool
}

// stuck is how many seconds a client waits for the next byte of a long value: longer than a router waits for a server's, which is 5.
const valueStallTimeout = 7

// send puts a try on an idle connection, or on a new one.
func (d *routerTarget) sendAttempt(attempt *Try) {
	for len(d.idle) > 0 && !attempt.Reading.needsPlainConn() {
		c := d.idle[len(d.idle)-1]
		if d.idle = d.idle[:len(d.idle)-1]; c.conn.Quiet() {
			c.writeAttempt(attempt)
			return
		}
		c.close()
	}
	d.dialAttempt(attempt)
}

func (d *routerTarget) dialAttempt(attempt *Try) {
	c := &clientConn{target: d}
	if c.protocol = (&memcacheClient{conn: c}); attempt.Op.Type.Scheme != "" {
		c.protocol = &tileClient{conn: c}
	}
	attempt.Router = d.index
	if d.clients.load.Most > 0 && d.openConns >= d.clients.load.Most {
		d.clients.loop.Later(func() { d.clients.attemptEnded(attempt, NoConnection) })
		return
	}
	if attempt.Reading.needsPlainConn() {
		d.openConns++
		conn := dialPlain(d.clients.loop, d.addr.String(), attempt.Reading, attempt.Op.Type.Size/2, c)
		c.conn, c.in, c.out.conn = conn, conn.in, conn
		c.writeAttempt(attempt)
		return
	}
	conn, err := d.clients.loop.Dial(d.addr, c)
	if err != nil {
		d.avoidUntil = d.clients.loop.Now() + 0.5
		d.clients.loop.Later(func() { d.clients.attemptEnded(attempt, NoConnection) })
		return
	}
	d.openConns++
	c.conn, c.in, c.out.conn = conn, conn.In, conn
	c.writeAttempt(attempt)
}

func (c *clientConn) writeAttempt(attempt *Try) {
	loop := c.target.clients.loop
	c.attempt = attempt
	c.leavesEarly = c.target.clients.load.Impatient > 0 && c.target.clients.rng.Float64() < c.target.clients.load.Impatient
	remaining := max(1e-3, attempt.Began+attempt.Wait-loop.Now())
	c.attemptEnd = c.conn.Sent()
	for _, piece := range c.protocol.encodeRequest(attempt, remaining) {
		c.out.add(piece)
		c.attemptEnd += uint64(len(piece))
	}
	if c.leaveAfterBytes = 0; attempt.Reading.Leave {
		c.leaveAfterBytes = 1 + c.target.clients.rng.IntN(attempt.Op.Type.Size-1)
	}
	c.timer = loop.Timer(c.onTimeout)
	if c.leavesEarly {
		remaining *= c.target.clients.rng.Float64()
	} else {
		remaining += Tolerance
	}
	c.timer.Set(loop.Now() + remaining)
	if c.connected {
		c.Flushed()
	}
}

// Opened takes that the connection is up.
func (c *clientConn) Opened() {
	c.connected = true
	c.Flushed()
}

// Flushed writes on, and notes when a try was written whole.
func (c *clientConn) Flushed() {
	c.out.flush()
	if c.attempt != nil && c.attempt.Sent == 0 && c.conn.Sent() >= c.attemptEnd {
		c.attempt.Sent = c.target.clients.loop.Now()
	}
}

// overdue takes the time when the client goes away.
func (c *clientConn) onTimeout() {
	switch attempt := c.attempt; {
	case attempt == nil:
		return
	case attempt.Length > 0 && !c.leavesEarly:
		if wait := c.lastByteAt + valueStallTimeout + attempt.Reading.Pause; c.target.clients.loop.Now() < wait {
			c.timer.Set(wait)
			return
		}
		c.finishAttempt(Silent)
	case !c.connected || attempt.Sent == 0:
		c.finishAttempt(NoConnection)
	case c.leavesEarly:
		c.finishAttempt(Left)
	default:
		c.finishAttempt(Silent)
	}
	c.close()
}

// finish ends the present try.
func (c *clientConn) finishAttempt(end End) {
	attempt := c.attempt
	c.attempt = nil
	c.timer.Stop()
	c.lastAnsweredID = attempt.ID
	c.target.clients.attemptEnded(attempt, end)
}

// Input reads answers.
func (c *clientConn) Input() {
	for c.in.Len() > 0 && !c.closed {
		if _, err := c.protocol.read(c.in); err != nil {
			c.rejectAnswer(err.Error())
			return
		}
	}
}

// answered takes the answer to the present try, and uses the connection on as this kind of client does.
func (c *clientConn) attemptAnswered(end End) {
	c.answeredAttempts++
	unsent := len(c.out.pending) > 0 || c.conn.Sent() < c.attemptEnd // it was answered before all of it was written
	plain := c.attempt.Reading.needsPlainConn()
	c.finishAttempt(end)
	switch use := c.target.clients.load.Use; {
	case use == New || plain || unsent:
		c.close()
	case use == Once:
	default:
		c.target.idle = append(c.target.idle, c)
	}
}

// due tells whether an answer with this id, if it has one, is owed. One that is not is an answer too many.
func (c *clientConn) expectsAnswer(id string) bool {
	if c.attempt != nil && (id == "" || id == c.attempt.ID) {
		return true
	}
	if c.attempt == nil {
		c.target.clients.records.Twice = append(c.target.clients.records.Twice, c.lastAnsweredID)
		c.close()
	} else {
		c.rejectAnswer("an answer with the id " + id)
	}
	return false
}

// strange takes what means nothing: any other line is a failure.
func (c *clientConn) rejectAnswer(description string) {
	if attempt := c.attempt; attempt != nil {
		if attempt.malformed = description; attempt.Length > 0 {
			c.finishAttempt(Cut)
		} else {
			c.finishAttempt(Terminated)
		}
	}
	c.close()
}

// Closed takes the router's end of the connection. One that crosses a command that was not read is no loss: the command
// goes out once more.
func (c *clientConn) Closed() {
	if c.closed {
		return
	}
	if c.protocol.closed() && c.closed {
		return
	}
	attempt, target := c.attempt, c.target
	reused := c.answeredAttempts > 0
	if attempt != nil {
		c.timer.Stop()
		c.attempt = nil
	}
	c.close()
	switch {
	case attempt == nil:
	case !c.connected:
		target.avoidUntil = target.clients.loop.Now() + 0.5
		target.clients.attemptEnded(attempt, NoConnection)
	case attempt.Length > 0:
		target.clients.attemptEnded(attempt, Cut)
	case attempt.Op.Type.Effect == balancer.AtMostOnce && attempt.Sent > 0: // it may have been read, and have run
		target.clients.attemptEnded(attempt, Lost)
	case reused && !attempt.Again && attempt.Began+attempt.Wait > target.clients.loop.Now():
		attempt.Again, attempt.AgainAt = true, target.clients.loop.Now()
		attempt.Sent = 0
		target.dialAttempt(attempt)
	default:
		target.clients.attemptEnded(attempt, Lost)
	}
}

func (c *clientConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	if i := slices.Index(c.target.idle, c); i >= 0 {
		c.target.idle = slices.Delete(c.target.idle, i, i+1)
	}
	c.target.openConns--
	c.conn.Close()
}

// plain tells whether it takes a connection of its own kind.
func (r Reading) needsPlainConn() bool { return r.Rate > 0 || r.Pause > 0 }

// rests notes that the client reads nothing for so many seconds.
func (c *clientConn) addReadPause(seconds float64) {
	if c.attempt != nil && c.attempt.Length > 0 {
		c.attempt.ReadPaused += seconds
	}
}
