package sock

import (
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Listener accepts connections. Its socket is made here: netpoll's own listener closes its descriptor twice, and in
// between the number may be another's.
type Listener struct {
	l      *Loop
	fd     int
	op     *netpoll.FDOperator
	room   func() bool
	take   func(*Conn) Handler
	closed bool
}

// Listen accepts at an address and port while there is room. For each connection take is called, which gives its handler.
func (l *Loop) Listen(addr string, room func() bool, take func(*Conn) Handler) (*Listener, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := bound(at)
	if err != nil {
		return nil, os.NewSyscallError("listen at "+addr, err)
	}
	s := &Listener{l: l, fd: fd, op: l.poll.Alloc(), room: room, take: take}
	s.op.FD = fd
	s.op.OnRead = func(netpoll.Poll) error { l.do(s.acceptAll); return nil }
	return s, l.poll.Control(s.op, netpoll.PollReadable)
}

func bound(at netip.AddrPort) (int, error) {
	family, sa := sockaddr(at)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, backlog())
	}
	if err != nil {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// backlog is as long a queue as the kernel allows.
func backlog() int {
	text, err := os.ReadFile("/proc/sys/net/core/somaxconn")
	if n, bad := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && bad == nil && n > 0 {
		return n
	}
	return unix.SOMAXCONN
}

// acceptAll takes all connections that have come. Without room or descriptors it looks away for a moment.
func (s *Listener) acceptAll() {
	for !s.closed {
		if !s.room() {
			s.lookAway()
			return
		}
		fd, _, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EAGAIN:
			return
		default:
			s.lookAway()
			return
		}
		c := s.l.conn(fd)
		c.begin()
		c.h = s.take(c)
		if err := s.l.poll.Control(c.op, netpoll.PollReadable); err != nil {
			c.lost()
		}
	}
}

func (s *Listener) lookAway() {
	s.l.poll.Control(s.op, netpoll.PollDetach)
	s.l.After(0.02, func() { // a few of the shortest operations' time
		if !s.closed {
			s.l.poll.Control(s.op, netpoll.PollReadable)
		}
	})
}

// Close accepts what has come so far and no more.
func (s *Listener) Close() {
	if s.closed {
		return
	}
	s.acceptAll()
	s.closed = true
	s.l.poll.Control(s.op, netpoll.PollDetach)
	unix.Close(s.fd)
}
