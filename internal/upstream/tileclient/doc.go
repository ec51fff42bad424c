// Package tileclient implements the HTTP/1.1 protocol to tile servers. Its Client creates the codec of each connection;
// package upstream manages the connections. Inputs are requests whose keys identify tiles. Outputs are replies with a
// status, the forwarded headers and a complete body. All code runs on the event loop's goroutine.
package tileclient
