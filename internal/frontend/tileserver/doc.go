// Package tileserver speaks HTTP/1.1 to clients that ask for map tiles, by XYZ paths or by WMTS. It is a protocol of
// package frontend, which does all else: connections, the order of answers, timeouts and draining.
//
// A Server belongs to one listener and describes its tiles; it makes a codec for each connection. The codec parses a
// request, answers health checks, descriptions and faults itself, and submits a request for each tile. Everything is
// called on the event loop's goroutine.
package tileserver
