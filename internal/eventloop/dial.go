package eventloop

import (
	"errors"
	"net/netip"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Refused tells of a dial's error whether the other side, or the way there, caused it; otherwise this process lacks
// something.
func Refused(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) ||
		errors.Is(err, unix.ENETUNREACH) ||
		errors.Is(err, unix.EHOSTUNREACH) ||
		errors.Is(err, unix.ECONNRESET)
}

// socketAddress gives an address as the kernel has it.
func socketAddress(addr netip.AddrPort) (family int, address unix.Sockaddr) {
	port := int(addr.Port())
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: addr.Addr().As16()}
}

// Dial begins a connection to an address. It does not wait: the handler's Opened or Closed follows.
//
// Whoever dials reads what it asked for: an end that comes behind bytes that are not read yet, for they are held
// (Hold) or the connection is paused, is notified once they have been.
//
// Errors: unix.EMFILE where the limit of descriptors is reached, unix.EADDRNOTAVAIL for an invalid address,
// otherwise the kernel's; then the handler is not called. Refused tells the kernel's errors apart.
func (l *Loop) Dial(addr netip.AddrPort, handler Handler) (*Conn, error) {
	if !addr.IsValid() {
		return nil, unix.EADDRNOTAVAIL
	}
	if l.atDescriptorLimit() {
		return nil, unix.EMFILE
	}
	fd, err := startConnect(addr)
	if err != nil {
		return nil, err
	}
	c := l.newConn(fd)
	c.handler = handler
	c.drainsInput = true
	c.op.OnWrite = func(netpoll.Poll) error {
		l.dispatch(c.onConnectDone)
		return nil
	}
	err = l.poll.Control(c.op, netpoll.PollWritable)
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startConnect makes a socket whose connection is under way.
func startConnect(addr netip.AddrPort) (fd int, err error) {
	family, address := socketAddress(addr)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	err = unix.Connect(fd, address)
	if err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// onConnectDone takes the end of a dial, successful or not.
func (c *Conn) onConnectDone() {
	if c.closed || c.open {
		return
	}
	if c.socketFailed() {
		c.onPeerEnd()
		return
	}
	c.setOpen()
	err := c.loop.poll.Control(c.op, netpoll.PollRW2R)
	if err != nil {
		c.closeAndNotify()
		return
	}
	c.handler.Opened()
}

// socketFailed tells whether the kernel has an error for the socket, which it then forgets.
func (c *Conn) socketFailed() bool {
	failure, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || failure != 0
}
