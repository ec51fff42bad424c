// Package eventloop serves TCP sockets, timers and work posted by other goroutines on one goroutine, without
// blocking.
//
// # The loop
//
// A Loop is netpoll's Poll, run by the goroutine that calls Loop.Run. Each readiness of a socket, each expired
// timer and each function given to Loop.Post is a callback on that goroutine, one after another. Two descriptors of
// the loop's own bring in the rest: an eventfd wakes it for posted functions and for changes that must wait until
// the present callback is over, a timerfd drives one heap of timers. Functions given to Loop.Later run after the
// present callback, before the next one: whoever learns of a result must not be called back by the code that it is
// calling.
//
// # What may be called from where
//
// Loop.Post and Loop.Now may be called from any goroutine. LogTo is called before any loop is made, Loop.Guard
// before Run. Everything else, all methods of Conn, Listener and Timer among them, and the methods of a Handler,
// belongs to the goroutine of the loop, or to that which prepares the loop before Run. Held and Refused touch no
// loop.
//
// # netpoll
//
// A Conn stands one level below netpoll's own Connection, which reads without a bound, and blocks to flush and to
// dial (docs/sockets.md has the figures). Each socket has an FDOperator, the set of functions that the Poll calls:
// Inputs and Outputs give the free and the held slices of the connection's two ring buffers, InputAck and OutputAck
// tell how many bytes the kernel moved, OnHup tells of the end of the connection. netpoll calls OnHup by a
// goroutine of its own, so it only posts.
//
// netpoll waits for an operator's callback to end before it lets go of the operator, and would wait for ever inside
// one. So a change of what is watched (Conn.Pause, Conn.Resume) and the release of a closed socket happen in the
// callback of the eventfd. A closed socket's descriptor and operator are freed a round later still, for events that
// netpoll has at hand may still name them.
package eventloop
