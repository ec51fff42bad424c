// Package meta speaks the meta commands of the memcache text protocol. It cuts a byte stream, in whatever pieces it
// comes, into commands or replies, whose fields go straight into the caller's Commands or Replies, and it writes both.
//
// A line, a key and a value are bounded (maxLineBytes, maxKeyBytes, LongBound). A value of up to ValueBound bytes is
// collected in the reader. A longer one in a command needs memory that the caller reserves, else it is skipped; in a
// reply it is passed on in parts. After an error nothing more can be read from the stream.
//
// The package does no I/O. A reader belongs to one connection and is called by the goroutine that owns it; the calls
// to Commands and Replies come from within its Read.
package meta
