// Package http1 parses HTTP/1.1 requests and responses from a byte stream, which may arrive in pieces of any size. It
// passes the fields of a message to the caller's RequestHandler or ResponseHandler. Requests have no bodies; bodies of
// responses are passed on in parts and not stored.
//
// Ambiguous messages are rejected with a Fault: two lengths, a length together with chunks, lines that end in a bare
// line feed, folded headers. After a fault the stream cannot be read any further.
//
// Request lines and header lines have a maximum size (maxRequestLine, maxHeaderLine), and so do the headers of one
// message in bytes and number (maxHeaderBytes, maxHeaderCount). An incomplete line is stored in the reader, so that the
// input buffer may be smaller than a line.
//
// The package does no I/O. A reader belongs to one connection and is called by the goroutine that owns it.
package http1
