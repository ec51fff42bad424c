package emulator

import (
	"net"
	"sync"
	"syscall"
	"time"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/ringbuffer"

	"golang.org/x/sys/unix"
)

// clientSocket is a client's connection to a router: an eventloop.Conn or a plainConn.
type clientSocket interface {
	Write(p []byte) (taken int)
	Sent() uint64     // bytes that the kernel has taken
	HasNoInput() bool // no unread input, and the peer has not closed it
	Close()
}

const (
	plainReadSize      = 16 << 10 // bytes per read; equals the capacity of other clients' ring buffers
	plainReceiveBuffer = 64 << 10 // bytes of the kernel's receive buffer; once it is full the router has to wait
	slowReadsPerSecond = 20       // reads per second of a client with a limited rate
)

// plainConn is the connection of a client that reads at its own pace. It uses a socket of the net package on a
// goroutine, and reports the connection's end only after all data received before it was read. It carries one command.
type plainConn struct {
	in         *ringbuffer.Buffer
	loop       *eventloop.Loop
	client     *clientConn
	behavior   ReadBehavior
	pauseAfter int // bytes after which it pauses
	sent       uint64
	outgoing   chan []byte
	closed     chan struct{}
	closeOnce  sync.Once
}

func dialPlain(loop *eventloop.Loop, addr string, behavior ReadBehavior, pauseAfter int, client *clientConn) *plainConn {
	p := &plainConn{in: ringbuffer.New(plainReadSize), loop: loop, client: client, behavior: behavior,
		pauseAfter: pauseAfter, outgoing: make(chan []byte, 1), closed: make(chan struct{})}
	go p.run(addr)
	return p
}

// Write queues the whole command. Commands of reads are short.
func (p *plainConn) Write(text []byte) int {
	p.outgoing <- text
	return len(text)
}

// Sent returns the number of bytes that the kernel has taken.
func (p *plainConn) Sent() uint64 { return p.sent }

// HasNoInput returns false, because the connection is not reused.
func (p *plainConn) HasNoInput() bool { return false }

// Close closes the connection.
func (p *plainConn) Close() { p.closeOnce.Do(func() { close(p.closed) }) }

// runOnLoop runs do on the event loop, unless the client has closed the connection, and waits for it. It returns false
// if the connection was closed in the meantime.
func (p *plainConn) runOnLoop(do func()) bool {
	done := make(chan struct{})
	p.loop.Post(func() {
		if !p.client.closed {
			do()
		}
		close(done)
	})
	select {
	case <-done:
		return true
	case <-p.closed:
		return false
	}
}

// run dials the router, sends the command and reads the answer.
func (p *plainConn) run(addr string) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, plainReceiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		p.runOnLoop(p.client.Closed)
		return
	}
	go func() { <-p.closed; conn.Close() }()
	if !p.runOnLoop(p.client.Opened) {
		return
	}
	select {
	case text := <-p.outgoing:
		n, err := conn.Write(text)
		if err == nil && !p.runOnLoop(func() { p.sent += uint64(n); p.client.Flushed() }) {
			return
		}
	case <-p.closed:
		return
	}
	p.read(conn)
}

// read receives data at the client's pace until the connection ends.
func (p *plainConn) read(conn net.Conn) {
	size := plainReadSize
	if p.behavior.Rate > 0 {
		size = min(size, max(1, int(p.behavior.Rate/slowReadsPerSecond)))
	}
	buf, received, paused := make([]byte, size), 0, p.behavior.Pause == 0
	for {
		n, err := conn.Read(buf)
		if err != nil {
			p.runOnLoop(p.client.Closed)
			return
		}
		delay := time.Duration(0)
		if received += n; p.behavior.Rate > 0 {
			delay = time.Duration(float64(n) / p.behavior.Rate * float64(time.Second))
		}
		if !paused && received >= p.pauseAfter {
			paused = true
			delay += time.Duration(p.behavior.Pause * float64(time.Second))
		}
		if !p.runOnLoop(func() { p.in.Write(buf[:n]); p.client.Input(); p.client.addReadPause(delay.Seconds()) }) {
			return
		}
		select {
		case <-time.After(delay):
		case <-p.closed:
			return
		}
	}
}
