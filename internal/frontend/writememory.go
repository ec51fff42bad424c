package frontend

// ReserveWrite reserves memory for a write's value that begins, and reports whether there was enough: values that are
// held for clients, among them those of writes that have no answer yet, leave less. In both cases the timeouts of long
// writes apply to the command if isLong is true.
func (c *ClientConn) ReserveWrite(bytes int, isLong bool) bool {
	f := c.frontend
	c.receivesLongWrite = isLong
	if f.values.Held() >= f.limits.WriteBytes {
		f.writes.Refuse()
		return false
	}
	if !f.writes.Reserve(bytes) {
		return false
	}
	c.reservedBytes += bytes
	return true
}

// WriteBytes returns the bytes that are reserved for values of writes that are being received.
func (f *Frontend) WriteBytes() int { return f.writes.Used() }

// RefusedWrites returns how many writes were rejected since the start because there was no memory for their values.
func (f *Frontend) RefusedWrites() uint64 { return f.writes.Refused() }

// ReleaseWrite releases the reserved memory at the end of the command. Without a reservation it does nothing.
func (c *ClientConn) ReleaseWrite() {
	c.frontend.writes.Release(c.reservedBytes)
	c.reservedBytes = 0
	c.receivesLongWrite = false
}
