package frontend

import "bendtrestle/internal/eventloop"

// ClientConn is one client's connection. The event loop calls it as an eventloop.Handler, and its codec calls it with
// the commands that it reads. All calls are made on the loop's goroutine.
type ClientConn struct {
	frontend *Frontend
	conn     *eventloop.Conn
	codec    Codec
	listener string

	activity
	output
	rejectsSince  float64   // when it began to reject further requests, by the loop's clock; 0: it does not
	wasDrained    bool      // no answer was pending at the last sweep, and it rejects further requests
	reservedBytes int       // bytes reserved for the value of a write that is being received
	badCommands   int       // invalid commands received
	cutReason     CutReason // why the connection ends, if an answer is pending on it

	admitted           bool // counted by the dispatcher for its listener until it is closed
	established        bool // it has submitted a request or a health check
	overLimit          bool // beyond the limit of connections: its requests are rejected and it is closed
	receivesLongWrite  bool // a long write is being received
	closing            bool // no more commands are read, and it is closed when all answers are written
	pausedForMemory    bool // it is among the frontend's paused connections
	bodyStarted        bool // the body stream that is the first segment is being read
	sendBufferExtended bool // the kernel's send buffer was extended to hold all of that body
}

// activity holds the times of a connection's last events, by the loop's clock.
type activity struct {
	lastActive     float64 // when a byte was last received or written
	acceptedAt     float64
	commandBegan   float64 // when the command that is incomplete now began, later by the time for which reading was paused
	pausedAt       float64 // when reading was paused; 0: it is not
	unacknowledged int     // written bytes that the client had not acknowledged at the last check
}

// output holds the answers that are pending for the client.
type output struct {
	answers  []*answer // incomplete ones and those after an incomplete one, in the order of the commands
	segments []segment // of complete answers, not in the connection's buffer yet
}

// Opened does nothing: the event loop calls it for dialled connections only.
func (c *ClientConn) Opened() {}

// Input reads commands until too many answers are pending. If the client has disconnected after sending them, it
// submits none of them, even if more bytes are unread than one read returns: the commands may have waited in the
// socket or for the accept, and no client waits for their answers any more.
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
		c.pauseReading()
	}
	if c.lacksMemory() {
		c.pauseForMemory()
	}
}

// readCommands has the codec read the received bytes. It reports whether the command that is incomplete afterwards, if
// any, began with these bytes.
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

// pauseReading reads no more bytes from the socket.
func (c *ClientConn) pauseReading() {
	c.conn.Pause()
	if c.pausedAt == 0 {
		c.pausedAt = c.frontend.loop.Now()
	}
}

// resumeReading reads from the socket again. A client could not finish its command while reading was paused, so that
// time does not count for the command.
func (c *ClientConn) resumeReading() {
	c.conn.Resume()
	if c.pausedAt > 0 {
		c.commandBegan += c.frontend.loop.Now() - c.pausedAt
		c.pausedAt = 0
	}
}

// resumeInput reads the bytes that were left in the buffer while the connection was full.
func (c *ClientConn) resumeInput() {
	if c.isOpen() && c.conn.In.Len() > 0 {
		c.Input()
	}
}

// isOpen reports whether the connection has not ended.
func (c *ClientConn) isOpen() bool { return c.frontend.connections[c] }

// isFull reports whether so many answers are pending that no more commands are read.
func (c *ClientConn) isFull() bool {
	return len(c.answers) >= maxPendingAnswers || len(c.segments) > 0 || c.lacksMemory()
}

// hasNoPendingAnswers reports whether the answers to all commands read are written, at least to the connection's
// buffer.
func (c *ClientConn) hasNoPendingAnswers() bool { return len(c.answers) == 0 && len(c.segments) == 0 }

// isIdle reports whether no answer is pending or unsent and no command has begun.
func (c *ClientConn) isIdle() bool {
	if !c.hasNoPendingAnswers() || c.conn.Unsent() > 0 {
		return false
	}
	return c.closing || !c.codec.InCommand() && c.conn.HasNoInput()
}

// isSilent reports whether the client has sent no valid command so far, and nothing is pending or unread.
func (c *ClientConn) isSilent() bool {
	return !c.established && c.hasNoPendingAnswers() && !c.conn.Unread()
}

// MarkEstablished marks the connection as one that has sent a valid command. Connections that have not are evicted
// first.
func (c *ClientConn) MarkEstablished() { c.established = true }

// NotServingReason returns why the router does not serve clients now, or an empty string if it does. It is called for a
// health check, which marks the connection as established.
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

// Answer answers a command that needs no request.
func (c *ClientConn) Answer(text []byte) {
	a := &answer{conn: c}
	c.answers = append(c.answers, a)
	a.complete(text)
}

// AnswerBadCommand answers an invalid command. After maxBadCommands of them the connection is closed.
func (c *ClientConn) AnswerBadCommand(text []byte) {
	c.badCommands++
	if c.badCommands >= maxBadCommands {
		c.closing = true
	}
	c.Answer(text)
}

// CloseAfterAnswers stops reading commands, and closes the connection when all answers are written.
func (c *ClientConn) CloseAfterAnswers() { c.closing = true }
