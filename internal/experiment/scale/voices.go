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

// headers are the bytes of a datagram beside what it says: UDP's 8 and IPv4's 20.
const headers = 8 + 20

// voices are the sockets of routers that are none: what one says comes from the address by which it is known, and what it is told
// waits at its socket to be counted.
type voices struct {
	sockets []int
	to      unix.SockaddrInet4
	next    int
	heard   []int // datagrams at each so far
	bytes   int   // of all these
	missing int   // datagrams that did not come, as counted last
}

// voices opens so many, at the other routers' addresses.
func (b *bench) voices(n int) (v *voices, err error) {
	err = again(b.ctx, func() (err error) {
		v, err = b.openVoices(n)
		return err
	})
	return v, err
}

func (b *bench) openVoices(n int) (*voices, error) {
	v := &voices{}
	for i := range n {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			v.close()
			return nil, fmt.Errorf("socket %d of %d: %w (ulimit -n tells how many there may be)", i, n, err)
		}
		v.sockets, v.heard = append(v.sockets, fd), append(v.heard, 0)
		at := netip.MustParseAddrPort(b.other(i))
		if err = unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
			v.close()
			return nil, fmt.Errorf("the address %s cannot be had: %w", at, err)
		}
	}
	to := netip.MustParseAddrPort(b.at(routerAt, 0, wordsPort))
	v.to = unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	return v, nil
}

func (v *voices) close() {
	for _, fd := range v.sockets {
		unix.Close(fd)
	}
}

// speak lets them say words in turn, so many a second, until ctx ends; it gives how many were sent. say gives the n-th voice's words.
func (v *voices) speak(ctx context.Context, rate float64, say func(voice int) []byte) (sent int, err error) {
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
			if err = unix.Sendto(v.sockets[v.next], say(v.next), 0, &v.to); err != nil {
				return sent, fmt.Errorf("saying a word: %w", err)
			}
			v.next = (v.next + 1) % len(v.sockets)
		}
	}
}

// take takes what waits at all sockets, and counts it.
func (v *voices) take() error {
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
			v.heard[i]++
			v.bytes += size
		}
	}
	return nil
}

// words counts the words that have come to all. It waits for one that has come to some and not to others; what is missing after that
// is lost.
func (v *voices) words(ctx context.Context) (words, missing int, err error) {
	const late = 200 * time.Millisecond // a word to all takes some milliseconds, and the next comes after half a second
	for until := time.Now().Add(late); ; {
		if err = v.take(); err != nil {
			return 0, 0, err
		}
		words, missing = slices.Max(v.heard), 0
		for _, n := range v.heard {
			missing += words - n
		}
		if missing == v.missing || time.Now().After(until) {
			missing, v.missing = missing-v.missing, missing
			return words, missing, nil
		}
		if err = sleep(ctx, 5*time.Millisecond, nil); err != nil {
			return 0, 0, err
		}
	}
}

// lost counts the datagrams that a socket at an address had no room for.
func lost(addr string) (n int, err error) {
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
