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

// socket is a client's connection to a router: a sock.Conn, or a plain one.
type clientSocket interface {
	Write(p []byte) (taken int)
	Sent() uint64 // bytes that the kernel has taken
	Quiet() bool  // nothing is unread, and it has not ended
	Close()
}

const (
	plainReadSize      = 16 << 10 // bytes read at once, as much as other clients' rings hold
	plainReceiveBuffer = 64 << 10 // bytes that the kernel holds for one who reads slowly: beyond these the router waits
	slowReadsPerSecond = 20       // turns a second in which a slow reader reads
)

// plainConn is a connection of one who reads in a way of its own, by the runtime's sockets on a goroutine: it reads when it likes, and
// its end comes behind all that came before it, however long that lay unread. It carries one command.
type plainConn struct {
	in         *ringbuffer.Buffer
	loop       *eventloop.Loop
	client     *clientConn
	reading    Reading
	pauseAfter int // bytes after which it pauses
	sent       uint64
	outgoing   chan []byte
	closed     chan struct{}
	closeOnce  sync.Once
}

func dialPlain(loop *eventloop.Loop, addr string, reading Reading, pauseAfter int, client *clientConn) *plainConn {
	p := &plainConn{in: ringbuffer.New(plainReadSize), loop: loop, client: client, reading: reading, pauseAfter: pauseAfter, outgoing: make(chan []byte, 1), closed: make(chan struct{})}
	go p.run(addr)
	return p
}

// Write takes the command, all of it. Those of reads are short.
func (p *plainConn) Write(text []byte) int {
	p.outgoing <- text
	return len(text)
}

// Sent counts the bytes that the kernel has taken.
func (p *plainConn) Sent() uint64 { return p.sent }

// Quiet is false: it is not used again.
func (p *plainConn) Quiet() bool { return false }

// Close ends it.
func (p *plainConn) Close() { p.closeOnce.Do(func() { close(p.closed) }) }

// on runs something on the loop, unless the connection is closed by then, and waits for it; false: it is closed.
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

func (p *plainConn) run(addr string) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, plainReceiveBuffer) })
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

// read takes what comes, at the pace of this client, and then the end.
func (p *plainConn) read(conn net.Conn) {
	size := plainReadSize
	if p.reading.Rate > 0 {
		size = min(size, max(1, int(p.reading.Rate/slowReadsPerSecond)))
	}
	buf, received, paused := make([]byte, size), 0, p.reading.Pause == 0
	for {
		n, err := conn.Read(buf)
		if err != nil {
			p.runOnLoop(p.client.Closed)
			return
		}
		delay := time.Duration(0)
		if received += n; p.reading.Rate > 0 {
			delay = time.Duration(float64(n) / p.reading.Rate * float64(time.Second))
		}
		if !paused && received >= p.pauseAfter {
			paused = true
			delay += time.Duration(p.reading.Pause * float64(time.Second))
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
