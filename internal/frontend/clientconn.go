package frontend

import "bendtrestle/internal/eventloop"

// ClientConn is one client's connection. The event loop calls it as an eventloop.Handler; its codec calls it with the
// commands that it reads. All on the loop's goroutine.
type ClientConn struct {
	frontend *Frontend
	conn     *eventloop.Conn
	codec    Codec
	listener string

	activity
	output
	reservedBytes int       // bytes reserved for the long write that is being received
	badCommands   int       // commands that could not be used
	cutReason     CutReason // why the connection ends, if it does with an answer owed

	admitted           bool // it has a place at its listener, which is given back at the end
	established        bool // a request of it was taken, or it asked whether the router serves
	overLimit          bool // beyond the limit of connections: its requests are rejected and it is closed
	receivesLongWrite  bool // it is sending a long write
	closing            bool // nothing more is read, and it is closed once all answers are written
	bodyStarted        bool // the body stream that is the first segment is being read
	sendBufferExtended bool // the kernel's send buffer takes all of that body
}

// activity is when bytes were last seen on a connection, by the loop's clock.
type activity struct {
	lastActive     float64 // when a byte last came or left
	acceptedAt     float64
	commandBegan   float64 // when the command that is not complete yet began
	unacknowledged int     // written bytes that the client had not taken when that was last looked at
}

// output is what is owed to the client.
type output struct {
	answers  []*answer // not complete, or behind one that is not; in the order of the commands
	segments []segment // of complete answers, not in the connection's buffer yet
}

// Opened is for dialled connections; the event loop does not call it here.
func (c *ClientConn) Opened() {}

// Input reads commands while not too many answers are owed. If the client has disconnected behind them, none is taken,
// also if more is unread than was read at once: the commands may have waited in the socket, or for the accept, and
// nobody waits for them any more.
func (c *ClientConn) Input() {
	if c.conn.PeerClosed() {
		c.close()
		return
	}
	c.lastActive = c.frontend.loop.Now()
	if c.readCommands() {
		c.commandBegan = c.lastActive
	}
	if c.isFull() || c.closing {
		c.conn.Pause()
	}
}

// readCommands hands on what has come, and reports whether what is incomplete now, if anything, has begun with it.
func (c *ClientConn) readCommands() (begun bool) {
	begun = !c.codec.InCommand()
	for c.conn.In.Len() > 0 && !c.isFull() && !c.closing {
		complete, err := c.codec.Read(c.conn.In)
		begun = begun || complete
		if err != nil {
			c.closing = true
			c.Answer(c.codec.ProtocolError(err))
		}
	}
	return begun
}

// resumeInput reads what was left in the buffer while the connection was full.
func (c *ClientConn) resumeInput() {
	if c.isOpen() && c.conn.In.Len() > 0 {
		c.Input()
	}
}

// isOpen reports whether the connection has not ended.
func (c *ClientConn) isOpen() bool { return c.frontend.connections[c] }

// isFull reports whether so much is owed that no command is read.
func (c *ClientConn) isFull() bool { return len(c.answers) >= maxOwedAnswers || len(c.segments) > 0 }

// owesNothing reports whether each command that was read has its answer, in the connection's buffer at least.
func (c *ClientConn) owesNothing() bool { return len(c.answers) == 0 && len(c.segments) == 0 }

// isIdle reports whether nothing is owed and no command has begun.
func (c *ClientConn) isIdle() bool {
	if !c.owesNothing() || c.conn.Unsent() > 0 {
		return false
	}
	return c.closing || !c.codec.InCommand() && c.conn.Quiet()
}

// isSilent reports whether nothing usable has come so far, and nothing is unread.
func (c *ClientConn) isSilent() bool {
	return !c.established && c.owesNothing() && !c.conn.Unread()
}

// MarkEstablished notes that the client asked something as a usual one does. For room, connections that did not are
// closed first.
func (c *ClientConn) MarkEstablished() { c.established = true }

// NotServingReason returns why the router takes no clients now, empty if it does. The client has asked as a usual one
// does, so it counts as established.
func (c *ClientConn) NotServingReason() string {
	c.MarkEstablished()
	switch {
	case !c.frontend.ready:
		return "starting"
	case c.frontend.draining:
		return "draining"
	}
	return ""
}

// Answer answers a command without a request.
func (c *ClientConn) Answer(text []byte) {
	a := &answer{conn: c}
	c.answers = append(c.answers, a)
	a.complete(text)
}

// AnswerBadCommand answers a command that cannot be used. After a few of them the connection is closed.
func (c *ClientConn) AnswerBadCommand(text []byte) {
	c.badCommands++
	if c.badCommands >= maxBadCommands {
		c.closing = true
	}
	c.Answer(text)
}

// CloseAfterAnswers reads nothing more, and closes the connection once all is answered.
func (c *ClientConn) CloseAfterAnswers() { c.closing = true }
