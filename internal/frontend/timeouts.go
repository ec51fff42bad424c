package frontend

// sweep runs every sweepSeconds and closes connections that use memory or a place without need: those whose clients do
// not read their answers, send nothing, or do not finish a command, and idle ones. A connection with unread bytes in
// the socket does not time out for silence: the loop may have been stopped since they arrived.
func (f *Frontend) sweep() {
	now := f.loop.Now()
	for c := range f.connections {
		c.checkTimeouts(now)
	}
	if f.capacityMissed {
		f.capacityMissed = false
		f.closeSlowestReader()
	}
	f.loop.After(sweepSeconds, f.sweep)
}

func (c *ClientConn) checkTimeouts(now float64) {
	c.stopOnceDrained(now)
	if !c.isOpen() {
		return
	}
	switch {
	case len(c.segments) > 0 || c.conn.Unsent() > 0:
		c.checkUnreadAnswer(now)
	case c.isCommandTimedOut(now):
		c.closing = true
		c.Answer(c.codec.CommandTimeout())
	case c.isFirstCommandTimedOut(now), c.isUnneeded(now):
		c.close()
	}
}

// checkUnreadAnswer closes a connection whose client does not read its answers. The loop reports room in the kernel's
// send buffer only when a large part of it is free, with a slow reader seconds later. Therefore the number of
// unacknowledged bytes is read from the kernel.
func (c *ClientConn) checkUnreadAnswer(now float64) {
	if now-c.lastActive > idleAfterSeconds {
		unacknowledged := c.conn.Unacknowledged()
		if unacknowledged < c.unacknowledged {
			c.lastActive = now
		}
		c.unacknowledged = unacknowledged
	}
	if now-c.lastActive > unreadAnswerSeconds {
		c.cutReason = AnswerUnread
		c.close()
	}
}

// isCommandTimedOut reports whether a command has begun and has not become complete in time.
func (c *ClientConn) isCommandTimedOut(now float64) bool {
	if len(c.answers) > 0 || !c.codec.InCommand() {
		return false
	}
	sinceBegan := now - c.commandBegan
	if sinceBegan <= commandSeconds || c.conn.Unread() {
		return false
	}
	if !c.receivesLongWrite {
		return true
	}
	return now-c.lastActive > longWriteStallSeconds || sinceBegan > longWriteSeconds
}

// isFirstCommandTimedOut reports whether the client has sent no valid command within commandSeconds after the accept.
func (c *ClientConn) isFirstCommandTimedOut(now float64) bool {
	return len(c.answers) == 0 && !c.established && now-c.acceptedAt > commandSeconds && !c.conn.Unread()
}

// isUnneeded reports whether a connection is idle and is to be closed: because it is over the limit, because idle ones
// are being closed, or because it has been idle for too long. The allowed time is shorter if more than half of the
// limit is used.
func (c *ClientConn) isUnneeded(now float64) bool {
	f := c.frontend
	silence := now - c.lastActive
	crowded := len(f.connections) > f.limits.Connections/2
	unneeded := c.overLimit ||
		f.closingIdle && c.established ||
		silence > idleTimeoutSeconds ||
		silence > idleAfterSeconds && crowded
	return unneeded && c.isIdle()
}

// closeSlowestReader closes the connection of the client that has not read for longest, if the answers held for such
// clients use half of the memory for values (which has the size of the memory for long writes). Otherwise all other
// requests would be rejected until these clients read or time out. It closes only one connection at a time,
// because closing it loses the pending answers.
func (f *Frontend) closeSlowestReader() {
	now := f.loop.Now()
	var slowest *ClientConn
	held := 0
	for c := range f.connections {
		if !c.isSlowReader(now) {
			continue
		}
		held += c.segmentBytes()
		if slowest == nil || c.lastActive < slowest.lastActive {
			slowest = c
		}
	}
	if slowest != nil && held >= f.limits.WriteBytes/2 {
		slowest.close()
	}
}

// isSlowReader reports whether a client leaves answers unread that are held in memory. Bytes of a body stream are not
// held.
func (c *ClientConn) isSlowReader(now float64) bool {
	return len(c.segments) > 0 && !c.bodyStarted && now-c.lastActive > idleAfterSeconds
}

func (c *ClientConn) segmentBytes() int {
	bytes := 0
	for _, s := range c.segments {
		bytes += len(s.text)
	}
	return bytes
}
