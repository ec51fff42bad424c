// Package ringbuffer provides a bounded, growing ring of bytes between a socket and the code that reads or writes it.
//
// A producer either copies bytes in (Write) or fills the free slices itself (Free, then Fill), for instance by
// readv. A consumer reads the bytes in place (Held) and then discards them (Drop). A full buffer accepts no more
// bytes: its owner stops reading until there is Room again.
//
// A Buffer does no locking; one goroutine owns it (in this program the event loop's).
package ringbuffer
