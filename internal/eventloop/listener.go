package eventloop

import (
	"errors"
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
	away   bool // it accepts nothing now
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
	s := l.listener(fd, room, take)
	return s, s.Resume()
}

// Adopt accepts, once Resume is called, at a socket that another process listens at, too.
func (l *Loop) Adopt(fd int, room func() bool, take func(*Conn) Handler) (*Listener, error) {
	if listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listens == 0 {
		unix.Close(fd)
		return nil, errors.New("the socket handed over does not listen")
	}
	unix.SetNonblock(fd, true)
	return l.listener(fd, room, take), nil
}

func (l *Loop) listener(fd int, room func() bool, take func(*Conn) Handler) *Listener {
	s := &Listener{l: l, fd: fd, op: l.poll.Alloc(), room: room, take: take, away: true}
	s.op.FD = fd
	s.op.OnRead = func(netpoll.Poll) error { l.do(s.acceptAll); return nil }
	return s
}

// Held tells whether some process listens at an address, and if so why it cannot be shared with it.
func Held(addr string) (held bool, err error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false, err
	}
	if err = tried(at, unix.SO_REUSEADDR); err != unix.EADDRINUSE {
		return false, nil // what else is wrong is told by listening
	}
	return true, os.NewSyscallError("listen at "+addr, tried(at, unix.SO_REUSEPORT))
}

// tried binds a socket with an option and lets go of it.
func tried(at netip.AddrPort, option int) error {
	family, sa := sockaddr(at)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
	return unix.Bind(fd, sa)
}

// Descriptor gives a copy that another process may adopt; who has it closes it.
func (s *Listener) Descriptor() (int, error) {
	return unix.FcntlInt(uintptr(s.fd), unix.F_DUPFD_CLOEXEC, 0)
}

// Suspend accepts nothing more; what comes waits, for another process or for Resume.
func (s *Listener) Suspend() {
	if s != nil && !s.away && !s.closed {
		s.away = true
		s.l.poll.Control(s.op, netpoll.PollDetach)
	}
}

// Resume accepts from now on.
func (s *Listener) Resume() error {
	if s == nil || !s.away || s.closed {
		return nil
	}
	s.away = false
	return s.l.poll.Control(s.op, netpoll.PollReadable)
}

func bound(at netip.AddrPort) (int, error) {
	family, sa := sockaddr(at)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // the next process joins, where it cannot have this socket
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
	for !s.closed && !s.away {
		if s.l.full() || !s.room() {
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
	moment := 0.02 // seconds: a few of the shortest operations' time
	if s.l.Closing() > 0 {
		moment = 0.001 // it is rounds until these are let go of
	}
	s.l.After(moment, func() {
		if !s.closed && !s.away {
			s.l.poll.Control(s.op, netpoll.PollReadable)
		}
	})
}

// Close accepts what has come so far and no more; where it is suspended, what has come waits for who else listens.
func (s *Listener) Close() {
	if s == nil || s.closed {
		return
	}
	s.acceptAll()
	s.closed = true
	s.l.poll.Control(s.op, netpoll.PollDetach)
	unix.Close(s.fd)
}
