// Package frontend serves clients in any protocol. It owns their connections from accept to close: it reads commands,
// submits requests to their routes, and writes the answers in the order of the commands. Each connection has a Codec,
// which reads and writes the protocol; Memcache is one, and package tileserver has another.
//
// The package receives connections (an event loop's listener calls Frontend.Acceptor's function) and the results of
// requests (requestcore.Client and requestcore.BodySink). It submits requests to the requestcore.Route that the
// requestcore.Dispatcher selects, and writes to the clients.
//
// A connection is closed when it has been idle for too long, sends a command too slowly, or leaves its answers unread.
// From half of the limit of connections on, the one that has been idle for longest is evicted for a new one. Bytes of
// values that are held in memory are counted for their route (AddBufferedBytes): for a write from its submission until
// its answer, for an answer until its last byte is written.
//
// Everything is called on the event loop's goroutine; nothing blocks or locks. Times are in seconds as float64, by the
// loop's clock.
package frontend
