// Package frontend serves clients, whatever protocol they speak. It owns their connections from accept to close: it
// reads commands, submits requests to the route that takes them, and writes the answers in the order of the commands.
// A Codec, one for each connection, reads and writes the protocol; Memcache is one, package tileserver has another.
//
// In come connections (Frontend.Acceptor, given to an event loop's listener) and the results of requests, through
// requestcore.Client and requestcore.BodySink. Out go requests, to the requestcore.Route that the
// requestcore.Dispatcher names, and bytes to the clients.
//
// A connection is closed once it is idle for long, sends a command too slowly, or leaves its answers unread; near the
// limit of connections the one that is idle for longest makes room. The values that are held in memory are counted
// with their route (AddHeldBytes), from the submission of a write, or from the answer, until the last byte has left.
//
// Everything is called on the event loop's goroutine; nothing here blocks or locks. Times are seconds as float64, as
// the loop's clock has them.
package frontend
