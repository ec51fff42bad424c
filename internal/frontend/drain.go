package frontend

// servingState holds whether clients are served, and how the process shuts down. NotServingReason derives the answer to
// health checks from it.
type servingState struct {
	ready         bool    // the router has started up
	draining      bool    // clients are to use other routers
	closingIdle   bool    // connections are closed as they become idle
	finalDeadline float64 // when the process ends, by the loop's clock: all requests are answered by then; 0: not set
}

// SetReady makes health checks report that the router serves clients.
func (f *Frontend) SetReady() { f.ready = true }

// SetDraining sets whether health checks report that the router is draining. Without draining, idle connections are not
// closed any more, either.
func (f *Frontend) SetDraining(on bool) {
	f.draining = on
	if on {
		return
	}
	f.closingIdle = false
	for c := range f.connections {
		c.rejectsSince = 0
	}
}

// RejectNew rejects further requests on the connections that are open now. Each is read until all that its client has
// sent is answered, and is closed then, even if its client goes on sending. Connections accepted later are served.
func (f *Frontend) RejectNew() {
	now := f.loop.Now()
	for c := range f.connections {
		c.rejectsSince = now
	}
}

// stopOnceDrained stops reading from a connection that rejects requests, once two sweeps have found it without a
// pending answer. By then it has read what its client had sent.
func (c *ClientConn) stopOnceDrained(now float64) {
	drained := c.isDrained(now)
	if drained && c.wasDrained {
		c.stopReading()
	}
	c.wasDrained = drained
}

// isDrained reports whether a connection that rejects requests has no pending answer. A command that has begun may take
// drainCommandSeconds to become complete.
func (c *ClientConn) isDrained(now float64) bool {
	if c.rejectsSince == 0 || !c.hasNoPendingAnswers() {
		return false
	}
	return !c.codec.InCommand() || now-c.rejectsSince > drainCommandSeconds
}

// stopReading reads no more commands, and closes the connection when its pending answers are written.
func (c *ClientConn) stopReading() {
	c.closing = true
	c.pauseReading()
	c.closeIfIdle()
}

// SetFinalDeadline sets when the process ends, by the loop's clock. Requests submitted from now on are answered before
// that.
func (f *Frontend) SetFinalDeadline(at float64) { f.finalDeadline = at }

// CloseIdle closes idle connections, now and as they become idle.
func (f *Frontend) CloseIdle() {
	f.closingIdle = true
	for c := range f.connections {
		c.closeIfIdle()
	}
}

// StopReading stops reading from all connections, and closes each when its pending answers are written. Otherwise a
// client that sends commands without a pause would be served forever.
func (f *Frontend) StopReading() {
	for c := range f.connections {
		c.stopReading()
	}
}

// ExtendSendBuffers extends the kernel's send buffers so that they hold the rest of body streams, up to a total number
// of bytes: the process may be killed before slow clients have read them, and the kernel goes on sending after that.
func (f *Frontend) ExtendSendBuffers(bytes int) {
	for c := range f.connections {
		if !c.bodyStarted || c.sendBufferExtended || f.kernelBodyBytes >= bytes {
			continue
		}
		first := c.segments[0]
		length := first.body.Length()
		c.conn.ExpandSendBuffer(length)
		c.sendBufferExtended = true
		f.kernelBodyBytes += length - first.answer.bodyBytes
	}
}
