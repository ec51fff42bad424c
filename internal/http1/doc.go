// Package http1 reads HTTP/1.1 requests and responses from a byte stream, in whatever pieces it comes. The fields of a
// message go straight into the caller's Requests or Replies. Requests have no bodies; bodies of responses are passed
// on in parts and not stored.
//
// What could be read in two ways is rejected with a Fault: two lengths, a length beside chunks, lines that end in a
// bare line feed, folded headers. After a fault nothing more can be read from the stream.
//
// A request line and a header line are bounded (maxRequestLine, maxHeaderLine), as are the headers of one message in
// bytes and number (maxHeaderBytes, maxHeaderCount). An incomplete line waits in the reader, so that the buffer before
// it may be smaller than a line.
//
// The package does no I/O. A reader belongs to one connection and is called by the goroutine that owns it.
package http1
