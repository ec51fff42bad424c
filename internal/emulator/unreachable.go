package emulator

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// unreachableAddr occupies an address at which connections are neither established nor refused, as at a machine that is
// cut off. It listens with the shortest queue, fills the queue itself and accepts no connection, so that the kernel
// drops further connection requests.
type unreachableAddr struct{ fds []int }

func holdUnreachable(addr string) (*unreachableAddr, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	sockaddr := &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	held := &unreachableAddr{}
	fd, err := held.newSocket()
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = unix.Listen(fd, 0)
	}
	for range 3 { // a queue of length 0 holds one connection, and a second is half open
		if c, failed := held.newSocket(); failed == nil {
			unix.Connect(c, sockaddr) // stays in progress
		}
	}
	if err != nil {
		held.release()
	}
	return held, err
}

func (q *unreachableAddr) newSocket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		q.fds = append(q.fds, fd)
	}
	return fd, err
}

func (q *unreachableAddr) release() {
	for _, fd := range q.fds {
		unix.Close(fd)
	}
	q.fds = nil
}

// HoldUnreachable makes an address unreachable, as at a machine that is cut off, until end is called.
func HoldUnreachable(addr string) (end func(), err error) {
	held, err := holdUnreachable(addr)
	if err != nil {
		return func() {}, err
	}
	return held.release, nil
}
