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

// headerBytes are the bytes of a datagram beside what it says: UDP's 8 and IPv4's 20.
const headerBytes = 8 + 20

// peerSockets are the sockets of routers that are none: what one says comes from the address by which it is known, and what it is told
// waits at its socket to be counted.
type peerSockets struct {
	sockets  []int
	router   unix.SockaddrInet4
	next     int
	received []int // datagrams at each so far
	bytes    int   // of all these
	missing  int   // datagrams that did not come, as counted last
}

// openPeerSockets opens so many, at the other routers' addresses.
func (b *bench) openPeerSockets(n int) (v *peerSockets, err error) {
	err = retryWhileAddressInUse(b.ctx, func() (err error) {
		v, err = b.tryOpenPeerSockets(n)
		return err
	})
	return v, err
}

func (b *bench) tryOpenPeerSockets(n int) (*peerSockets, error) {
	v := &peerSockets{}
	for i := range n {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			v.close()
			return nil, fmt.Errorf("socket %d of %d: %w (ulimit -n tells how many there may be)", i, n, err)
		}
		v.sockets, v.received = append(v.sockets, fd), append(v.received, 0)
		at := netip.MustParseAddrPort(b.peerAddress(i))
		if err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
			v.close()
			return nil, fmt.Errorf("the address %s cannot be had: %w", at, err)
		}
	}
	to := netip.MustParseAddrPort(b.address(routerOctet, 0, gossipPort))
	v.router = unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	return v, nil
}

func (v *peerSockets) close() {
	for _, fd := range v.sockets {
		unix.Close(fd)
	}
}

// send lets them say words in turn, so many a second, until ctx ends; it gives how many were sent. say gives the n-th voice's words.
func (v *peerSockets) send(ctx context.Context, rate float64, payload func(voice int) []byte) (sent int, err error) {
	const step = 5 * time.Millisecond // at the highest rate 20 words at once, far below what a socket holds
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
			if err = unix.Sendto(v.sockets[v.next], payload(v.next), 0, &v.router); err != nil {
				return sent, fmt.Errorf("saying a word: %w", err)
			}
			v.next = (v.next + 1) % len(v.sockets)
		}
	}
}

// receive takes what waits at all sockets, and counts it.
func (v *peerSockets) receive() error {
	buf := make([]byte, 2048)
	for i, fd := range v.sockets {
		for {
			size, _, err := unix.Recvfrom(fd, buf, 0)
			if errors.Is(err, unix.EAGAIN) {
				break
			}
			if errors.Is(err, unix.ECONNREFUSED) { // what it said itself found nobody
				continue
			}
			if err != nil {
				return err
			}
			v.received[i]++
			v.bytes += size
		}
	}
	return nil
}

// words counts the words that have come to all. It waits for one that has come to some and not to others; what is missing after that
// is lost.
func (v *peerSockets) messages(ctx context.Context) (messages, missing int, err error) {
	const maxDelay = 200 * time.Millisecond // a word to all takes some milliseconds, and the next comes after half a second
	for until := time.Now().Add(maxDelay); ; {
		if err = v.receive(); err != nil {
			return 0, 0, err
		}
		messages, missing = slices.Max(v.received), 0
		for _, n := range v.received {
			missing += messages - n
		}
		if missing == v.missing || time.Now().After(until) {
			missing, v.missing = missing-v.missing, missing
			return messages, missing, nil
		}
		if err = sleep(ctx, 5*time.Millisecond, nil); err != nil {
			return 0, 0, err
		}
	}
}

// droppedDatagrams counts the datagrams that a socket at an address had no room for.
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
