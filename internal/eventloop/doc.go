// Package eventloop serves TCP sockets, timers and work posted by other goroutines on one goroutine, without
// blocking.
//
// # The loop
//
// A Loop is netpoll's Poll, run by the goroutine that calls Loop.Run. Each readiness of a socket, each expired
// timer and each function given to Loop.Post is a callback on that goroutine, one after another. Two descriptors of
// the loop's own deliver the other events: an eventfd wakes it for posted functions and for changes that must wait
// until the current callback has returned, and a timerfd drives one heap of timers. Functions given to Loop.Defer run
// after the current callback and before the next one, so that a function which produces a result does not call back
// into its caller.
//
// # What may be called from where
//
// Loop.Post and Loop.Now may be called from any goroutine. SetLogOutput is called before any loop is made, Loop.OnPanic
// before Run. Everything else, including all methods of Conn, Listener and Timer and the methods of a Handler, is
// called on the loop's goroutine, or before Run on the goroutine that prepares the loop. AddressInUse and Refused use
// no loop.
//
// # netpoll
//
// A Conn uses the level below netpoll's own Connection, which reads without a bound and blocks in flush and dial
// (docs/sockets.md has measurements). Each socket has an FDOperator, the set of functions that the Poll calls: Inputs
// and Outputs return the free and the held slices of the connection's two ring buffers, InputAck and OutputAck receive
// the number of bytes that the kernel moved, and OnHup reports the end of the connection. netpoll calls OnHup on a
// goroutine of its own, so OnHup only posts.
//
// netpoll waits for an operator's callback to return before it detaches the operator, so detaching it within that
// callback would block forever. Therefore changes of what is watched (Conn.Pause, Conn.Resume) and the release of
// closed sockets happen in the callback of the eventfd. A closed socket's descriptor and operator are freed one round
// later, because events that netpoll has already fetched may still refer to them.
package eventloop
