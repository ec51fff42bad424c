package eventloop

import (
	"bendtrestle/internal/ringbuffer"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// bufferBound is a connection's share of memory a direction, in bytes: a value of 64 KiB passes through in a few
// turns, and a thousand full connections hold 32 MB.
const bufferBound = 16 << 10

// Handler takes what happens on a connection, on the loop. Nothing is called after Close or Finish.
type Handler interface {
	Opened()  // the dialled connection is up; not called for an accepted one
	Input()   // In holds more
	Flushed() // bytes have been taken by the kernel
	Closed()  // the other side has ended the connection, or it never came up; it is closed already
}

// Conn is one TCP connection with a ring buffer a direction. All its methods belong to the loop's goroutine.
//
// Its phases: connecting (dialled, not open yet), open, and then one of three ends. Close and Reset end it at once.
// Finish half-closes it and waits for the other side's end. The other side's end closes it, for a dialled connection
// only when what came before that end has been read.
type Conn struct {
	In      *ringbuffer.Buffer // what has come; the handler drops what it has taken
	out     *ringbuffer.Buffer // what the kernel has not taken
	loop    *Loop
	fd      int
	op      *netpoll.FDOperator
	handler Handler

	// Phases.
	open        bool // it is up: accepted, or the dial has succeeded
	closed      bool
	peerEnded   bool   // the other side has ended it, and what came before that is still being read
	finishTimer *Timer // set by Finish: the handler hears nothing more; nil: not finishing

	// Reading.
	paused      bool
	inputHeld   bool // the handler leaves bytes in In on purpose (Hold)
	drainsInput bool // Closed is called behind all that came before the other side's end

	// Writing.
	awaitsWritable bool   // netpoll watches for the socket to take more
	writeFailed    bool   // a failure is on its way to the handler
	resetSeen      bool   // the kernel told of a reset or another failure, which it does once
	sent           uint64 // bytes that the kernel has taken
}

// newConn makes a connection on a descriptor, not watched yet and without a handler.
func (l *Loop) newConn(fd int) *Conn {
	l.descriptors.open++
	c := &Conn{
		In:   ringbuffer.New(bufferBound),
		out:  ringbuffer.New(bufferBound),
		loop: l,
		fd:   fd,
		op:   l.poll.Alloc(),
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.op.FD = fd
	c.op.OnHup = func(netpoll.Poll) error { // netpoll calls it off the loop
		l.Post(c.onPeerEnd)
		return nil
	}
	return c
}

// setOpen makes netpoll read and write through the ring buffers.
func (c *Conn) setOpen() {
	c.open = true
	c.op.OnWrite = nil
	c.op.Inputs = c.readBuffers
	c.op.InputAck = c.onRead
	c.op.Outputs = c.writeBuffers
	c.op.OutputAck = c.onWritten
}
