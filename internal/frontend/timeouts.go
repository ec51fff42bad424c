package frontend

// sweep closes, several times a second, the connections that hold memory or a place for nothing: of clients that read
// none of their answers, say nothing, or do not finish a command, and idle ones. What is unread in the socket is no
// silence: the loop may have been stopped meanwhile.
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

// checkUnreadAnswer closes a connection whose client reads nothing of its answers. The loop tells of room in the kernel
// only once that is a good part of what the kernel holds: with a slow reader seconds later. So the kernel is asked.
func (c *ClientConn) checkUnreadAnswer(now float64) {
	if now-c.lastActive > idleAfterSeconds {
		untaken := c.conn.Unacknowledged()
		if untaken < c.unacknowledged {
			c.lastActive = now
		}
		c.unacknowledged = untaken
	}
	if now-c.lastActive > unreadAnswerSeconds {
		c.cutReason = AnswerUnread
		c.close()
	}
}

// isCommandTimedOut reports whether a command has begun and did not become complete in time.
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

// isFirstCommandTimedOut reports whether nothing usable has come since the accept, for as long as a command may take.
func (c *ClientConn) isFirstCommandTimedOut(now float64) bool {
	return len(c.answers) == 0 && !c.established && now-c.acceptedAt > commandSeconds && !c.conn.Unread()
}

// isUnneeded reports whether an idle connection is closed: it is over the limit, idle ones are being closed, or it has
// been idle for long, which is less where more than half of the places are taken.
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

// closeSlowestReader closes the client that has read nothing for longest, if what is held for such clients takes half
// of the memory for values (which is as much as that for long writes): all others would be rejected for as long as
// these are waited for. It closes one at a time, for closing loses what the client is owed.
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
	if slowest != nil && held >= f.limits.LongWriteBytes/2 {
		slowest.close()
	}
}

// isSlowReader reports whether a client leaves held answers unread. The bytes of a body stream are not held.
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
