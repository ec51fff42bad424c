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
	// acceptRetryDelay is how long, in seconds, a listener without room stops accepting. It is the duration of a few of
	// the shortest requests.
	acceptRetryDelay = 0.02

	// acceptRetryDelayClosing is used instead, in seconds, while closed connections wait for the release of their
	// descriptors, which takes a round or two.
	acceptRetryDelayClosing = 0.001

	// backlogFile holds the kernel's limit of the accept queue's length.
	backlogFile = "/proc/sys/net/core/somaxconn"
)

// Listener accepts connections. It opens its socket itself: netpoll's own listener closes its descriptor twice, and by
// the second time the number may have been reused for another file. The methods of a nil Listener do nothing, except
// Descriptor, which needs a non-nil one.
type Listener struct {
	loop      *Loop
	fd        int
	op        *netpoll.FDOperator
	hasRoom   func() bool
	accepted  func(*Conn) Handler
	suspended bool // it does not accept connections at present
	closed    bool
}

// Listen accepts connections at an address and port while room returns true. It calls accepted for each connection,
// which returns the connection's handler. Both functions are called on the loop.
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

// Adopt returns a suspended listener for a socket that another process may also listen on; Resume starts accepting.
// Adopt takes ownership of the descriptor and closes it if it returns an error.
func (l *Loop) Adopt(fd int, room func() bool, accepted func(*Conn) Handler) (*Listener, error) {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		unix.Close(fd)
		return nil, errors.New("the inherited socket is not a listening socket")
	}
	unix.SetNonblock(fd, true)
	return l.newListener(fd, room, accepted), nil
}

// newListener returns a suspended listener.
func (l *Loop) newListener(fd int, room func() bool, accepted func(*Conn) Handler) *Listener {
	s := &Listener{loop: l, fd: fd, op: l.poll.Alloc(), hasRoom: room, accepted: accepted, suspended: true}
	s.op.FD = fd
	s.op.OnRead = func(netpoll.Poll) error {
		l.dispatch(s.acceptAll)
		return nil
	}
	return s
}

// AddressInUse reports whether a process already listens at an address. If so and the address cannot be shared with
// that process, the error says why. Any goroutine may call it.
func AddressInUse(addr string) (inUse bool, err error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false, err
	}
	err = tryBind(address, unix.SO_REUSEADDR)
	if err != unix.EADDRINUSE {
		return false, nil // Listen reports any other error
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
	// The successor process can listen at the same address if this socket cannot be handed over to it.
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

// longestBacklog returns the longest accept queue that the kernel allows.
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

// Descriptor returns a duplicate of the socket's descriptor, which another process may adopt. The caller closes it.
func (s *Listener) Descriptor() (int, error) {
	return unix.FcntlInt(uintptr(s.fd), unix.F_DUPFD_CLOEXEC, 0)
}

// Suspend stops accepting. New connections wait for another process that listens on the socket, or for Resume.
func (s *Listener) Suspend() {
	if s == nil || s.suspended || s.closed {
		return
	}
	s.suspended = true
	s.stopWatching()
}

// Resume starts accepting again. It returns netpoll's error if netpoll cannot watch the socket.
func (s *Listener) Resume() error {
	if s == nil || !s.suspended || s.closed {
		return nil
	}
	s.suspended = false
	return s.watch()
}

// watch has acceptAll called whenever connections wait to be accepted.
func (s *Listener) watch() error { return s.loop.poll.Control(s.op, netpoll.PollReadable) }

func (s *Listener) stopWatching() { s.loop.poll.Control(s.op, netpoll.PollDetach) }

// acceptAll accepts all waiting connections. Without room or descriptors it stops and retries later.
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
		case unix.EINTR, unix.ECONNABORTED: // affects only this connection
		case unix.EAGAIN:
			return
		default:
			s.retryLater()
			return
		}
	}
}

// serve starts serving a connection that has been accepted.
func (s *Listener) serve(fd int) {
	c := s.loop.newConn(fd)
	c.setOpen()
	c.handler = s.accepted(c)
	err := s.loop.poll.Control(c.op, netpoll.PollReadable)
	if err != nil {
		c.onPeerEnd()
	}
}

// retryLater stops watching for connections and starts again after a short delay.
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

// Close accepts the connections that are waiting and then closes the listener. If it is suspended, waiting connections
// are left for other processes that listen on the socket. Closing twice does nothing.
func (s *Listener) Close() {
	if s == nil || s.closed {
		return
	}
	s.acceptAll()
	s.closed = true
	s.stopWatching()
	unix.Close(s.fd)
}
