package scale

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// headerBytes is the size of a datagram's headers: 8 of UDP and 20 of IPv4.
const headerBytes = 8 + 20

// peerSockets are UDP sockets at the addresses of the configured peers, without routers behind them. They send messages
// from these addresses, and messages from the measured router wait in their receive buffers to be counted.
type peerSockets struct {
	sockets  []int
	router   unix.SockaddrInet4
	next     int
	received []int // datagrams at each socket so far
	bytes    int   // of all received datagrams
	missing  int   // datagrams not received, as of the last count
}

// openPeerSockets opens sockets at the addresses of the first n peers.
func (b *bench) openPeerSockets(n int) (s *peerSockets, err error) {
	err = retryWhileAddressInUse(b.ctx, func() (err error) {
		s, err = b.tryOpenPeerSockets(n)
		return err
	})
	return s, err
}

func (b *bench) tryOpenPeerSockets(n int) (*peerSockets, error) {
	s := &peerSockets{}
	for i := range n {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("socket %d of %d: %w (ulimit -n shows the limit of open files)", i, n, err)
		}
		s.sockets, s.received = append(s.sockets, fd), append(s.received, 0)
		at := netip.MustParseAddrPort(b.peerAddress(i))
		if err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
			s.close()
			return nil, fmt.Errorf("cannot bind a peer socket to %s: %w", at, err)
		}
	}
	to := netip.MustParseAddrPort(b.address(routerOctet, 0, gossipPort))
	s.router = unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	return s, nil
}

func (s *peerSockets) close() {
	for _, fd := range s.sockets {
		unix.Close(fd)
	}
}

// send sends messages from the sockets in turn, at a rate per second, until ctx ends, and returns their number. payload
// returns the next message of the n-th peer.
func (s *peerSockets) send(ctx context.Context, rate float64, payload func(peer int) []byte) (sent int, err error) {
	const step = 5 * time.Millisecond // 20 messages at once at the highest rate, far below what a receive buffer holds
	began := time.Now()
	tick := time.NewTicker(step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return sent, nil
		case <-tick.C:
		}
		for due := int(rate * time.Since(began).Seconds()); sent < due; sent++ {
			if err = unix.Sendto(s.sockets[s.next], payload(s.next), 0, &s.router); err != nil {
				return sent, fmt.Errorf("sending a message to the router: %w", err)
			}
			s.next = (s.next + 1) % len(s.sockets)
		}
	}
}

// receive reads and counts the datagrams that wait at all sockets.
func (s *peerSockets) receive() error {
	buf := make([]byte, 2048)
	for i, fd := range s.sockets {
		for {
			size, _, err := unix.Recvfrom(fd, buf, 0)
			if errors.Is(err, unix.EAGAIN) {
				break
			}
			if errors.Is(err, unix.ECONNREFUSED) { // an earlier message found no socket at the router's address
				continue
			}
			if err != nil {
				return err
			}
			s.received[i]++
			s.bytes += size
		}
	}
	return nil
}

// countMessages returns the number of broadcasts so far, and how many datagrams were lost since the last count. It
// waits briefly for datagrams that some peers have received and others have not.
func (s *peerSockets) countMessages(ctx context.Context) (messages, missing int, err error) {
	const maxDelay = 200 * time.Millisecond // a broadcast takes milliseconds, and the next follows after half a second
	for until := time.Now().Add(maxDelay); ; {
		if err = s.receive(); err != nil {
			return 0, 0, err
		}
		messages, missing = slices.Max(s.received), 0
		for _, n := range s.received {
			missing += messages - n
		}
		if missing == s.missing || time.Now().After(until) {
			missing, s.missing = missing-s.missing, missing
			return messages, missing, nil
		}
		if err = sleep(ctx, 5*time.Millisecond, nil); err != nil {
			return 0, 0, err
		}
	}
}

// droppedDatagrams returns the number of datagrams dropped because the receive buffer of the socket at the address was
// full.
func droppedDatagrams(addr string) (n int, err error) {
	at := netip.MustParseAddrPort(addr)
	ip := at.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
	text, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 12 && fields[1] == local {
			drops, _ := strconv.Atoi(fields[len(fields)-1])
			n += drops
		}
	}
	return n, nil
}
