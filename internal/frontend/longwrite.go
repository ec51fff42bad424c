package frontend

// ReserveLongWrite reserves memory for a long write that begins, and reports whether there was enough. In both cases
// the timeouts of long writes apply to the command.
func (c *ClientConn) ReserveLongWrite(bytes int) bool {
	f := c.frontend
	c.receivesLongWrite = true
	if f.longWriteBytes+bytes > f.limits.LongWriteBytes {
		return false
	}
	f.longWriteBytes += bytes
	c.reservedBytes += bytes
	return true
}

// ReleaseLongWrite releases the reserved memory at the end of the command. Without a long write it does nothing.
func (c *ClientConn) ReleaseLongWrite() {
	c.frontend.longWriteBytes -= c.reservedBytes
	c.reservedBytes = 0
	c.receivesLongWrite = false
}
