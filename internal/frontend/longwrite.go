package frontend

// ReserveLongWrite reserves memory for a long write that begins, and reports whether there was any. Either way the
// write may take the time of a long one.
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

// ReleaseLongWrite gives back what was reserved: the command is over. Without a long write it does nothing.
func (c *ClientConn) ReleaseLongWrite() {
	c.frontend.longWriteBytes -= c.reservedBytes
	c.reservedBytes = 0
	c.receivesLongWrite = false
}
