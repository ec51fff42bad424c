package frontend

// servingState says whether clients are served, and how the process ends. New clients are told by NotServingReason.
type servingState struct {
	ready         bool    // the start is over
	draining      bool    // clients are sent to other routers
	closingIdle   bool    // connections are closed as they become idle
	finalDeadline float64 // by when all is answered, for the process ends, by the loop's clock; 0: it does not end
}

// SetReady tells clients from now on that the router serves.
func (f *Frontend) SetReady() { f.ready = true }

// SetDraining tells clients from now on that they are sent away, or that they are taken again.
func (f *Frontend) SetDraining(on bool) {
	f.draining = on
	if !on {
		f.closingIdle = false
	}
}

// SetFinalDeadline sets when the process ends, by the loop's clock: what is taken from now on is answered by then.
func (f *Frontend) SetFinalDeadline(at float64) { f.finalDeadline = at }

// CloseIdle closes idle connections, now and as they become idle.
func (f *Frontend) CloseIdle() {
	f.closingIdle = true
	for c := range f.connections {
		c.closeIfIdle()
	}
}

// StopReading reads nothing more from the connections that there are, and closes each after the answers owed on it: a
// client that never pauses would be served for ever.
func (f *Frontend) StopReading() {
	for c := range f.connections {
		c.closing = true
		c.conn.Pause()
		c.closeIfIdle()
	}
}

// ExtendSendBuffers lets the kernel take what is left of body streams, up to so many bytes in all: the process may be
// killed before slow clients have read them, and the kernel goes on sending after that.
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
