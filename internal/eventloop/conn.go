package eventloop

import (
	"bendtrestle/internal/ringbuffer"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// bufferBound is the maximum size of a connection's buffer per direction, in bytes. A value of 64 KiB passes through
// in a few rounds, and a thousand connections with full buffers use 32 MB.
const bufferBound = 16 << 10

// Handler receives the events of a connection, on the loop's goroutine. It is not called after Close or Finish.
type Handler interface {
	Opened()  // the dialled connection is established; not called for an accepted one
	Input()   // In holds more bytes
	Flushed() // the kernel has accepted bytes
	Closed()  // the peer has ended the connection, or it was never established; it is closed already
}

// EndObserver is a Handler that is also notified of the peer's end while bytes in front of that end are unread. Closed
// follows once they have been read.
type EndObserver interface {
	Handler
	PeerEnded()
}

// Conn is one TCP connection with a ring buffer per direction. Its methods are called on the loop's goroutine only.
//
// Its phases are connecting (dialled, not open yet), open, and then one of three ends. Close and Reset end it
// immediately. Finish half-closes it and waits for the peer's end. The peer's end closes it; a dialled connection is
// closed only when the bytes that precede that end have been read.
type Conn struct {
	In      *ringbuffer.Buffer // bytes received; the handler drops those that it has processed
	out     *ringbuffer.Buffer // bytes that the kernel has not accepted yet
	loop    *Loop
	fd      int
	op      *netpoll.FDOperator
	handler Handler

	// Phases.
	open        bool // accepted, or the dial has succeeded
	closed      bool
	peerEnded   bool   // the peer has ended the connection, and the bytes before that end are still being read
	finishTimer *Timer // set by Finish, after which the handler is not called; nil: not finishing

	// Reading.
	paused      bool
	inputHeld   bool // the handler leaves bytes in In on purpose (SetInputHeld)
	drainsInput bool // Closed is called only after all bytes before the peer's end have been read

	// Writing.
	awaitsWritable bool   // netpoll watches whether the socket is writable
	writeFailed    bool   // a write has failed, and the handler is about to be notified
	resetReported  bool   // the kernel has reported a reset or another failure, which it does only once
	sent           uint64 // bytes that the kernel has accepted
}

// newConn returns a connection for a descriptor. It is not watched yet and has no handler.
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
	c.op.OnHup = func(netpoll.Poll) error { // netpoll calls it on another goroutine
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
