// Package tileclient speaks HTTP/1.1 to tile servers: its Client makes the codec of each connection, and package
// upstream does all else. In go requests whose keys name tiles, out come replies with a status, the headers that are
// forwarded and a whole body. All of it runs on the event loop's goroutine.
package tileclient
