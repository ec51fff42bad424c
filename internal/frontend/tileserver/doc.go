// Package tileserver serves HTTP/1.1 clients that request map tiles by XYZ paths or by WMTS. It implements a protocol
// of package frontend, which does the rest: connections, the order of answers, timeouts and draining.
//
// A Server belongs to one listener and has a description of its tiles; it creates a codec for each connection. The
// codec parses the client's requests. It answers health checks, requests for the capabilities document and invalid
// requests itself, and submits a request for each tile. Everything is called on the event loop's goroutine.
package tileserver
