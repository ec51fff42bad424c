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

const (
	// acceptRetryDelay is how long, in seconds, a listener without room accepts nothing: a few of the shortest requests.
	acceptRetryDelay = 0.02

	// acceptRetryDelayClosing is the same, in seconds, where closed connections are released in a round or two.
	acceptRetryDelayClosing = 0.001

	// backlogFile holds the longest queue of connections to accept that the kernel allows.
	backlogFile = "/proc/sys/net/core/somaxconn"
)

// Listener accepts connections. Its socket is made here: netpoll's own listener closes its descriptor twice, and in
// between the number may be another's. The methods of a nil Listener do nothing, but for Descriptor, which needs one.
type Listener struct {
	loop      *Loop
	fd        int
	op        *netpoll.FDOperator
	hasRoom   func() bool
	accepted  func(*Conn) Handler
	suspended bool // it accepts nothing now
	closed    bool
}

// Listen accepts at an address and port while room tells that there is some. For each connection accepted is called,
// which gives its handler. Both are called on the loop.
func (l *Loop) Listen(addr string, room func() bool, accepted func(*Conn) Handler) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := openListeningSocket(address)
	if err != nil {
		return nil, os.NewSyscallError("listen at "+addr, err)
	}
	s := l.newListener(fd, room, accepted)
	return s, s.Resume()
}

// Adopt accepts, once Resume is called, at a socket that another process listens at, too. The descriptor is the
// listener's from here on, also after an error, which closes it.
func (l *Loop) Adopt(fd int, room func() bool, accepted func(*Conn) Handler) (*Listener, error) {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		unix.Close(fd)
		return nil, errors.New("the socket handed over does not listen")
	}
	unix.SetNonblock(fd, true)
	return l.newListener(fd, room, accepted), nil
}

// newListener makes a listener that is suspended.
func (l *Loop) newListener(fd int, room func() bool, accepted func(*Conn) Handler) *Listener {
	s := &Listener{loop: l, fd: fd, op: l.poll.Alloc(), hasRoom: room, accepted: accepted, suspended: true}
	s.op.FD = fd
	s.op.OnRead = func(netpoll.Poll) error {
		l.dispatch(s.acceptAll)
		return nil
	}
	return s
}

// Held tells whether some process listens at an address, and if so, by a non-nil error, why it cannot be shared
// with it. Any goroutine may call it.
func Held(addr string) (held bool, err error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false, err
	}
	err = tryBind(address, unix.SO_REUSEADDR)
	if err != unix.EADDRINUSE {
		return false, nil // what else is wrong is told by listening
	}
	return true, os.NewSyscallError("listen at "+addr, tryBind(address, unix.SO_REUSEPORT))
}

// tryBind binds a socket with an option and closes it.
func tryBind(address netip.AddrPort, option int) error {
	family, socketAddr := socketAddress(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
	return unix.Bind(fd, socketAddr)
}

// openListeningSocket makes a socket that listens at an address.
func openListeningSocket(address netip.AddrPort) (fd int, err error) {
	family, socketAddr := socketAddress(address)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	// The next process joins at the address, where it cannot be handed this socket.
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	err = unix.Bind(fd, socketAddr)
	if err == nil {
		err = unix.Listen(fd, longestBacklog())
	}
	if err != nil {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// longestBacklog is as long a queue of connections to accept as the kernel allows.
func longestBacklog() int {
	text, err := os.ReadFile(backlogFile)
	if err != nil {
		return unix.SOMAXCONN
	}
	allowed, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || allowed <= 0 {
		return unix.SOMAXCONN
	}
	return allowed
}

// Descriptor gives a copy that another process may adopt; who has it closes it.
func (s *Listener) Descriptor() (int, error) {
	return unix.FcntlInt(uintptr(s.fd), unix.F_DUPFD_CLOEXEC, 0)
}

// Suspend accepts nothing more; what comes waits, for another process or for Resume.
func (s *Listener) Suspend() {
	if s == nil || s.suspended || s.closed {
		return
	}
	s.suspended = true
	s.stopWatching()
}

// Resume accepts from now on. The error is netpoll's, where it cannot watch the socket.
func (s *Listener) Resume() error {
	if s == nil || !s.suspended || s.closed {
		return nil
	}
	s.suspended = false
	return s.watch()
}

// watch has acceptAll called whenever connections have come.
func (s *Listener) watch() error { return s.loop.poll.Control(s.op, netpoll.PollReadable) }

func (s *Listener) stopWatching() { s.loop.poll.Control(s.op, netpoll.PollDetach) }

// acceptAll accepts all connections that have come. Without room or descriptors it stops for a moment.
func (s *Listener) acceptAll() {
	for !s.closed && !s.suspended {
		if s.loop.atDescriptorLimit() || !s.hasRoom() {
			s.retryLater()
			return
		}
		fd, _, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			s.serve(fd)
		case unix.EINTR, unix.ECONNABORTED: // this one alone
		case unix.EAGAIN:
			return
		default:
			s.retryLater()
			return
		}
	}
}

// serve begins a connection that has been accepted.
func (s *Listener) serve(fd int) {
	c := s.loop.newConn(fd)
	c.setOpen()
	c.handler = s.accepted(c)
	err := s.loop.poll.Control(c.op, netpoll.PollReadable)
	if err != nil {
		c.onPeerEnd()
	}
}

// retryLater stops watching for connections, for a moment.
func (s *Listener) retryLater() {
	s.stopWatching()
	delay := acceptRetryDelay
	if s.loop.Closing() > 0 {
		delay = acceptRetryDelayClosing
	}
	s.loop.After(delay, func() {
		if !s.closed && !s.suspended {
			s.watch()
		}
	})
}

// Close accepts what has come so far and no more; where it is suspended, what has come waits for who else listens.
// Closing twice does nothing.
func (s *Listener) Close() {
	if s == nil || s.closed {
		return
	}
	s.acceptAll()
	s.closed = true
	s.stopWatching()
	unix.Close(s.fd)
}
