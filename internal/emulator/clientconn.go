package emulator

import (
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/ringbuffer"
)

// clientConn is one connection of a client to a router. It carries one attempt at a time.
type clientConn struct {
	target           *routerTarget
	conn             clientSocket
	in               *ringbuffer.Buffer
	out              output
	protocol         clientProtocol
	connected        bool
	answeredAttempts int    // number of attempts answered on this connection
	lastAnsweredID   string // ID of the attempt that ended last
	attempt          *Attempt
	attemptEnd       uint64           // offset of the attempt's last byte among all bytes written
	timer            *eventloop.Timer // fires when the client stops waiting
	leavesEarly      bool             // the client disconnects before its timeout
	lastByteAt       float64          // when the last byte of a long value was received
	leaveAfterBytes  int              // bytes of a long value after which the client disconnects; 0: it does not
	closed           bool
}

// valueStallTimeout is for how many seconds a client waits for the next byte of a long value. It is longer than the
// 5 s for which a router waits for the next byte from a server.
const valueStallTimeout = 7

// sendAttempt sends an attempt on an idle connection, or on a new one if there is none.
func (d *routerTarget) sendAttempt(attempt *Attempt) {
	for len(d.idle) > 0 && !attempt.ReadBehavior.needsPlainConn() {
		c := d.idle[len(d.idle)-1]
		if d.idle = d.idle[:len(d.idle)-1]; c.conn.HasNoInput() {
			c.writeAttempt(attempt)
			return
		}
		c.close()
	}
	d.dialAttempt(attempt)
}

// dialAttempt sends an attempt on a new connection. It fails with NoConnection at the connection limit.
func (d *routerTarget) dialAttempt(attempt *Attempt) {
	c := &clientConn{target: d}
	if c.protocol = (&memcacheClient{conn: c}); attempt.Request.Type.Scheme != "" {
		c.protocol = &tileClient{conn: c}
	}
	attempt.Router = d.index
	if d.clients.load.MaxConnections > 0 && d.openConns >= d.clients.load.MaxConnections {
		d.clients.loop.Defer(func() { d.clients.attemptEnded(attempt, NoConnection) })
		return
	}
	if attempt.ReadBehavior.needsPlainConn() {
		d.openConns++
		conn := dialPlain(d.clients.loop, d.addr.String(), attempt.ReadBehavior, attempt.Request.Type.Size/2, c)
		c.conn, c.in, c.out.conn = conn, conn.in, conn
		c.writeAttempt(attempt)
		return
	}
	conn, err := d.clients.loop.Dial(d.addr, c)
	if err != nil {
		d.avoidUntil = d.clients.loop.Now() + 0.5
		d.clients.loop.Defer(func() { d.clients.attemptEnded(attempt, NoConnection) })
		return
	}
	d.openConns++
	c.conn, c.in, c.out.conn = conn, conn.In, conn
	c.writeAttempt(attempt)
}

func (c *clientConn) writeAttempt(attempt *Attempt) {
	loop := c.target.clients.loop
	c.attempt = attempt
	c.leavesEarly = c.target.clients.load.EarlyDisconnects > 0 && c.target.clients.rng.Float64() < c.target.clients.load.EarlyDisconnects
	remaining := max(1e-3, attempt.Began+attempt.Wait-loop.Now())
	c.attemptEnd = c.conn.Sent()
	for _, piece := range c.protocol.encodeRequest(attempt, remaining) {
		c.out.add(piece)
		c.attemptEnd += uint64(len(piece))
	}
	if c.leaveAfterBytes = 0; attempt.ReadBehavior.Leave {
		c.leaveAfterBytes = 1 + c.target.clients.rng.IntN(attempt.Request.Type.Size-1)
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

// Opened handles the establishment of the connection.
func (c *clientConn) Opened() {
	c.connected = true
	c.Flushed()
}

// Flushed writes pending data, and records when the attempt's last byte was written.
func (c *clientConn) Flushed() {
	c.out.flush()
	if c.attempt != nil && c.attempt.Sent == 0 && c.conn.Sent() >= c.attemptEnd {
		c.attempt.Sent = c.target.clients.loop.Now()
	}
}

// onTimeout ends the attempt when the client stops waiting for it.
func (c *clientConn) onTimeout() {
	switch attempt := c.attempt; {
	case attempt == nil:
		return
	case attempt.Length > 0 && !c.leavesEarly:
		if wait := c.lastByteAt + valueStallTimeout + attempt.ReadBehavior.Pause; c.target.clients.loop.Now() < wait {
			c.timer.Set(wait)
			return
		}
		c.finishAttempt(NoAnswer)
	case !c.connected || attempt.Sent == 0:
		c.finishAttempt(NoConnection)
	case c.leavesEarly:
		c.finishAttempt(ClientDisconnected)
	default:
		c.finishAttempt(NoAnswer)
	}
	c.close()
}

// finishAttempt ends the current attempt.
func (c *clientConn) finishAttempt(end End) {
	attempt := c.attempt
	c.attempt = nil
	c.timer.Stop()
	c.lastAnsweredID = attempt.ID
	c.target.clients.attemptEnded(attempt, end)
}

// Input reads and handles answers.
func (c *clientConn) Input() {
	for c.in.Len() > 0 && !c.closed {
		if _, err := c.protocol.read(c.in); err != nil {
			c.rejectAnswer(err.Error())
			return
		}
	}
}

// attemptAnswered ends the current attempt, then closes or keeps the connection according to Load.Connections.
func (c *clientConn) attemptAnswered(end End) {
	c.answeredAttempts++
	unsent := len(c.out.pending) > 0 || c.conn.Sent() < c.attemptEnd // answered before it was written completely
	plain := c.attempt.ReadBehavior.needsPlainConn()
	c.finishAttempt(end)
	switch use := c.target.clients.load.Connections; {
	case use == New || plain || unsent:
		c.close()
	case use == Once:
	default:
		c.target.idle = append(c.target.idle, c)
	}
}

// expectsAnswer reports whether an answer with this ID (empty: an answer without an ID) belongs to the current attempt.
// An answer received without a current attempt is recorded as a duplicate.
func (c *clientConn) expectsAnswer(id string) bool {
	if c.attempt != nil && (id == "" || id == c.attempt.ID) {
		return true
	}
	if c.attempt == nil {
		c.target.clients.records.DuplicateAnswers = append(c.target.clients.records.DuplicateAnswers, c.lastAnsweredID)
		c.close()
	} else {
		c.rejectAnswer("answer with unexpected ID " + id)
	}
	return false
}

// rejectAnswer fails the current attempt because of an answer that the protocol does not allow, and closes the
// connection.
func (c *clientConn) rejectAnswer(description string) {
	if attempt := c.attempt; attempt != nil {
		if attempt.malformed = description; attempt.Length > 0 {
			c.finishAttempt(Cut)
		} else {
			c.finishAttempt(FailedAttempt)
		}
	}
	c.close()
}

// Closed handles the end of the connection by the router. If a reused connection was closed before the command was
// answered, the command is sent once more on a new connection, unless it is at most once and may have run.
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
	case attempt.Request.Type.Idempotency == balancer.AtMostOnce && attempt.Sent > 0: // it may have been read and run
		target.clients.attemptEnded(attempt, Lost)
	case reused && !attempt.Resent && attempt.Began+attempt.Wait > target.clients.loop.Now():
		attempt.Resent, attempt.ResentAt = true, target.clients.loop.Now()
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

// needsPlainConn reports whether this way of reading needs a plainConn.
func (r ReadBehavior) needsPlainConn() bool { return r.Rate > 0 || r.Pause > 0 }

// addReadPause records that the client does not read for this many seconds.
func (c *clientConn) addReadPause(seconds float64) {
	if c.attempt != nil && c.attempt.Length > 0 {
		c.attempt.ReadPaused += seconds
	}
}
