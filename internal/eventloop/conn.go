package eventloop

import (
	"errors"
	"net/netip"

	"bendtrestle/internal/ringbuffer"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// bufferBound is a connection's share of memory a direction: a value of 64 KiB passes through in a few turns,
// and a thousand full connections hold 32 MB.
const bufferBound = 16 << 10

// Handler takes what happens on a connection, on the loop. Nothing is called after Close.
type Handler interface {
	Opened()  // the dialled connection is up
	Input()   // In holds more
	Flushed() // bytes have left
	Closed()  // the other side has gone, or it never came up
}

// Conn is one TCP connection with a ring buffer a direction.
type Conn struct {
	In      *ringbuffer.Buffer
	out     *ringbuffer.Buffer
	loop    *Loop
	fd      int
	op      *netpoll.FDOperator
	h       Handler
	up      bool
	paused  bool
	waiting bool // for the socket to take more
	closed  bool
	ordered bool   // its end is told behind all that came before it
	ended   bool   // the other side has ended it, and what came before that is still being read
	held    bool   // the handler leaves bytes in In on purpose
	ending  *Timer // set by Finish: the handler hears nothing more
	failed  bool   // which is on its way to the handler
	reset   bool   // the kernel told of a reset or another failure, which it does once
	sent    uint64 // bytes that the kernel has taken
}

func (l *Loop) conn(fd int) *Conn {
	l.held++
	c := &Conn{In: ringbuffer.New(bufferBound), out: ringbuffer.New(bufferBound), loop: l, fd: fd, op: l.poll.Alloc()}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.op.FD = fd
	c.op.OnHup = func(netpoll.Poll) error { l.Post(c.lost); return nil } // netpoll calls it off the loop
	return c
}

// Refused tells of a dial's error whether the other side, or the way there, caused it; else something lacks here.
func Refused(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.EHOSTUNREACH) ||
		errors.Is(err, unix.ECONNRESET)
}

// sockaddr gives an address as the kernel has it.
func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// Dial begins a connection to an address. It does not wait: Opened or Closed follows. Whoever dials reads what it asked for: an end
// that comes behind bytes that are not read yet, for they are held (Hold) or the connection is paused, is told once they have been.
// EMFILE: the bound is reached.
func (l *Loop) Dial(addr netip.AddrPort, h Handler) (*Conn, error) {
	if !addr.IsValid() {
		return nil, unix.EADDRNOTAVAIL
	}
	if l.full() {
		return nil, unix.EMFILE
	}
	family, to := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err = unix.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, err
	}
	c := l.conn(fd)
	c.h, c.ordered = h, true
	c.op.OnWrite = func(netpoll.Poll) error { l.do(c.connected); return nil }
	if err = l.poll.Control(c.op, netpoll.PollWritable); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// connected takes the end of a dial.
func (c *Conn) connected() {
	if c.closed || c.up {
		return
	}
	if failure, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || failure != 0 {
		c.lost()
		return
	}
	c.begin()
	if err := c.loop.poll.Control(c.op, netpoll.PollRW2R); err != nil {
		c.over()
		return
	}
	c.h.Opened()
}

// begin makes netpoll read and write through the ring buffers.
func (c *Conn) begin() {
	c.up = true
	c.op.OnWrite = nil
	c.op.Inputs = func(to [][]byte) [][]byte {
		if c.closed || c.paused || c.ended {
			return nil
		}
		return c.In.Free(to[:0])
	}
	c.op.InputAck = func(n int) error {
		if n > 0 {
			c.In.Fill(n)
			if c.ending != nil {
				c.In.Drop(c.In.Len())
				return nil
			}
			c.loop.do(c.input)
			return nil
		}
		c.reset = c.reset || n < 0
		if !c.closed && c.Ended() { // OnHup comes by a goroutine, which waits for this one where it has the only processor
			c.loop.do(c.lost)
		}
		return nil
	}
	c.op.Outputs = func(to [][]byte) ([][]byte, bool) {
		if c.closed {
			return nil, false
		}
		return c.out.Held(to[:0]), false
	}
	c.op.OutputAck = func(n int) error { c.loop.do(func() { c.left(n) }); return nil }
}

// input hands on what has come, and stops reading where there is no room for more.
func (c *Conn) input() {
	if !c.closed {
		c.h.Input()
	}
	if !c.closed && c.In.Room() == 0 {
		c.Pause()
	}
}

// left takes what the kernel has taken.
func (c *Conn) left(n int) {
	if c.closed || c.ending != nil || n <= 0 {
		return
	}
	c.out.Drop(n)
	c.sent += uint64(n)
	c.h.Flushed()
	if !c.closed {
		c.await()
	}
}

// await asks to be told when the socket takes more, while there is more.
func (c *Conn) await() {
	if more := c.out.Len() > 0; more != c.waiting && c.up && !c.paused && !c.closed && !c.failed && !c.ended {
		c.waiting = more
		event := netpoll.PollRW2R
		if more {
			event = netpoll.PollR2RW
		}
		c.loop.poll.Control(c.op, event)
	}
}

// Write takes as much of p as the kernel and the buffer hold, and tells how much that was; if not all, Flushed
// follows. A failure is told by Closed, not before the present callback is over. Where nothing waits before it, it goes to the kernel
// as it is, and only what that does not take is copied.
func (c *Conn) Write(p []byte) (taken int) {
	if len(p) > 0 && c.out.Len() == 0 && c.up && !c.closed && !c.failed {
		taken = c.push(p)
		p = p[taken:]
	}
	if !c.closed && !c.failed {
		taken += c.out.Write(p)
	}
	c.await()
	return taken
}

// push hands bytes to the kernel and tells how many it took.
func (c *Conn) push(p []byte) int {
	n, err := unix.Write(c.fd, p)
	if n > 0 {
		c.sent += uint64(n)
		return n
	}
	if err != unix.EAGAIN && err != unix.EINTR {
		c.failed, c.reset = true, true // the kernel may tell of it here alone
		c.loop.Later(c.lost)
	}
	return 0
}

// Sent counts the bytes that the kernel has taken; Unsent those that wait here.
func (c *Conn) Sent() uint64 { return c.sent }

// Unsent is how many bytes wait to be taken by the kernel.
func (c *Conn) Unsent() int { return c.out.Len() }

// Untaken is how many bytes the other side has still to take: those that wait here, and as far as the kernel tells those that it holds.
func (c *Conn) Untaken() int {
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if c.closed || err != nil {
		queued = 0
	}
	return c.out.Len() + queued
}

// TakeBack drops what the kernel has not taken.
func (c *Conn) TakeBack() {
	c.out.Drop(c.out.Len())
	c.await()
}

// Deepen lets the kernel hold so many bytes more that the other side has not read, as far as it allows: it goes on sending them when
// this process has ended.
func (c *Conn) Deepen(bytes int) {
	if !c.closed {
		unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
	}
}

// Pause stops reading, once the present callback is over.
func (c *Conn) Pause() { c.turn(true) }

// Resume reads on.
func (c *Conn) Resume() { c.turn(false) }

func (c *Conn) turn(pause bool) {
	if c.paused != pause && !c.closed {
		c.paused = pause
		c.turnSoon()
	}
}

func (c *Conn) turnSoon() {
	c.loop.turning = append(c.loop.turning, c)
	c.loop.rouse()
}

// turned brings netpoll in line with a pause or its end. netpoll has no mode without reading, so a paused
// socket is watched for its end alone and for room to write, edge by edge.
func (c *Conn) turned() {
	switch {
	case c.closed:
		return
	case c.ended: // it may be told of a failed write, with netpoll still watching
		c.op.Control(netpoll.PollDetach)
		c.loop.call(c.rest)
		return
	}
	c.loop.poll.Control(c.op, netpoll.PollDetach)
	if c.waiting = false; c.paused {
		c.loop.poll.Control(c.op, netpoll.PollWritable)
	} else {
		c.loop.poll.Control(c.op, netpoll.PollReadable)
		c.await()
	}
}

// Hold tells that the handler leaves bytes in In until it has room for them, or does no more: an end behind them waits so long.
func (c *Conn) Hold(on bool) {
	if c.held = on; !on && c.ended {
		c.turnSoon()
	}
}

// Quiet tells that the socket holds nothing unread and has not ended.
func (c *Conn) Quiet() bool {
	_, err := c.peek()
	return c.In.Len() == 0 && err == unix.EAGAIN
}

// Unread tells whether the socket holds bytes that have not been read.
func (c *Conn) Unread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// Ended tells whether the other side has ended the connection and the socket holds nothing before that.
func (c *Conn) Ended() bool {
	n, err := c.peek()
	return err == nil && n == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
}

func (c *Conn) peek() (int, error) {
	var one [1]byte
	n, _, err := unix.Recvfrom(c.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.reset = c.reset || err != nil && err != unix.EAGAIN && err != unix.EINTR
	return n, err
}

// lost takes the other side's end of the connection, or a write that failed. Netpoll tells of the end of a socket that it does not
// read at once, whatever stands before it; where that is still wanted it is read first.
func (c *Conn) lost() {
	if c.ordered && c.up && c.ending == nil {
		if !c.ended && !c.closed {
			c.ended = true
			c.turnSoon()
		}
		return
	}
	c.over()
}

// rest reads what came before the end, a buffer at a time, so that the handler can make room in between; then it is over.
func (c *Conn) rest() {
	if c.closed || c.paused || c.held || c.In.Room() == 0 {
		return
	}
	var parts [2][]byte
	n, err := unix.Readv(c.fd, c.In.Free(parts[:0]))
	switch {
	case n > 0:
		c.In.Fill(n)
		c.input()
	case err != unix.EINTR:
		c.reset = c.reset || err != nil && err != unix.EAGAIN
		c.over()
		return
	}
	c.loop.Later(c.rest)
}

// over closes the connection and tells so.
func (c *Conn) over() {
	if c.closed {
		return
	}
	told := c.ending == nil
	if c.Close(); told {
		c.loop.Later(c.h.Closed)
	}
}

// Finish ends the sending, and the connection once the other side has ended, too, or after so many seconds: if it is closed with
// input unread, or some comes just then, the kernel resets it, and what the other side has not read yet may be lost to it. What
// still comes is let go of, and the handler hears nothing more. What had not been written is lost, as by Close.
func (c *Conn) Finish(within float64) {
	if c.closed || c.ending != nil {
		return
	}
	if c.failed || c.out.Len() > 0 {
		c.Close()
		return
	}
	c.ending = c.loop.Timer(c.Close)
	c.ending.Set(c.loop.Now() + within)
	c.loop.finishing++
	unix.Shutdown(c.fd, unix.SHUT_WR)
	c.In.Drop(c.In.Len())
	c.Resume()
}

// Close ends the connection; what it had not written is lost. The other side is told at once: an execution that
// follows elsewhere must not be a second copy beside the one given up.
func (c *Conn) Close() {
	if !c.closed {
		if c.closed = true; c.ending != nil {
			c.ending.Stop()
			c.loop.finishing--
		}
		unix.Shutdown(c.fd, unix.SHUT_RDWR)
		c.loop.closing = append(c.loop.closing, c)
		c.loop.rouse()
	}
}
