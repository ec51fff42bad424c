package eventloop

import (
	"errors"
	"net/netip"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Refused reports whether an error of Dial was caused by the peer or by the network. Other errors are caused by this
// process or host, for instance a lack of descriptors.
func Refused(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) ||
		errors.Is(err, unix.ENETUNREACH) ||
		errors.Is(err, unix.EHOSTUNREACH) ||
		errors.Is(err, unix.ECONNRESET)
}

// socketAddress converts an address to the kernel's form.
func socketAddress(addr netip.AddrPort) (family int, address unix.Sockaddr) {
	port := int(addr.Port())
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: addr.Addr().As16()}
}

// Dial starts connecting to an address and does not wait for the result: the handler's Opened or Closed follows.
//
// The dialling side reads all of the response that it requested. If the peer ends the connection while bytes before
// that end are unread, because they are held (SetInputHeld) or the connection is paused, Closed is called after they
// are read.
//
// Dial returns unix.EMFILE if the limit of descriptors is reached, unix.EADDRNOTAVAIL for an invalid address, and
// otherwise the kernel's error, which Refused classifies. After an error the handler is not called.
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

// startConnect opens a socket and starts connecting it.
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

// onConnectDone handles the end of a dial, successful or not.
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

// socketFailed reports whether the socket has a pending error. Reading the error clears it.
func (c *Conn) socketFailed() bool {
	failure, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || failure != 0
}
