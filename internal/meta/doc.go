// Package meta parses and formats the meta commands of the memcache text protocol. Its readers parse a byte stream,
// which may arrive in pieces of any size, and pass commands or replies to the caller's CommandHandler or ReplyHandler.
//
// Lines, keys and values have a maximum size (maxLineBytes, maxKeyBytes, MaxLongValueBytes). A value of up to
// MaxBufferedValueBytes bytes is buffered in the reader. A longer value of a command needs memory that the caller
// reserves, otherwise it is skipped; a longer value of a reply is passed on in parts. After an error the stream cannot
// be read any further.
//
// The package does no I/O. A reader belongs to one connection and is called by the goroutine that owns it. Its Read
// calls the methods of CommandHandler and ReplyHandler.
package meta
