package frontend

// closeIfIdle closes an idle connection if no more commands are read from it, or if idle connections are being closed.
// In the latter case it keeps a connection that was accepted less than idleAfterSeconds ago and has sent no valid
// command, because its client is about to send one.
func (c *ClientConn) closeIfIdle() {
	f := c.frontend
	fresh := !c.established && f.loop.Now()-c.acceptedAt < idleAfterSeconds
	if !c.isOpen() || !c.isIdle() {
		return
	}
	if c.closing || f.closingIdle && !fresh {
		c.closeGracefully()
	}
}

// closeGracefully ends the connection in such a way that the client can read all its answers, even if it goes on
// sending.
func (c *ClientConn) closeGracefully() {
	c.conn.Finish(lingerSeconds)
	c.Closed()
}

func (c *ClientConn) close() {
	c.conn.Close()
	c.Closed()
}

// Closed removes the connection and releases all that it holds. The event loop calls it when the client has
// disconnected. A second call does nothing.
func (c *ClientConn) Closed() {
	f := c.frontend
	if !c.isOpen() {
		return
	}
	delete(f.connections, c)
	if !c.hasNoPendingAnswers() || c.conn.Unsent() > 0 {
		f.cutConnections[c.cutReason]++
	}
	c.ReleaseWrite()
	c.stopWaitingForMemory()
	if c.admitted {
		f.dispatcher.ReleaseConnection(c.listener)
	}
	for _, s := range c.segments {
		c.discardSegment(s)
	}
	for _, a := range c.answers {
		a.abandon()
	}
}

func (c *ClientConn) discardSegment(s segment) {
	if s.body != nil {
		c.frontend.openBodies--
		s.body.Discard()
		return
	}
	s.answer.addBufferedBytes(-len(s.text))
	if s.last {
		s.answer.countEnd(false)
	}
}
