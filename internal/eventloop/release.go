package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// descriptorCount counts the descriptors of connections. A closed connection counts until its descriptor is released.
type descriptorCount struct {
	open  int
	limit int // maximum of open; 0: no limit
}

// closingConns are the connections on their way from Close to the release of their descriptors.
type closingConns struct {
	halfClosed int     // connections that wait for the peer's end (Finish)
	closed     []*Conn // netpoll may still watch them
	detached   []*Conn // not watched any more, to be released in the next round
}

// HalfClosedConns returns how many connections are half-closed and wait for the peer's end.
func (l *Loop) HalfClosedConns() int { return l.closing.halfClosed }

// Closing returns how many closed connections still hold their descriptors, which they do for a round or two.
func (l *Loop) Closing() int { return len(l.closing.closed) + len(l.closing.detached) }

// SetDescriptorLimit sets the maximum number of descriptors of connections, including closed ones until they are
// released. Other descriptors of the process do not count. 0 means no limit.
func (l *Loop) SetDescriptorLimit(descriptors int) { l.descriptors.limit = descriptors }

// atDescriptorLimit reports whether the limit of descriptors is reached, so that no connection may be added.
func (l *Loop) atDescriptorLimit() bool {
	return l.descriptors.limit > 0 && l.descriptors.open >= l.descriptors.limit
}

// releaseLater has a closed connection's socket released when none of its callbacks runs any more.
func (l *Loop) releaseLater(c *Conn) {
	l.closing.closed = append(l.closing.closed, c)
	l.wake()
}

// releaseClosed frees the sockets that were detached in the previous round, and detaches those closed since. It does
// not run within a callback of these sockets: netpoll would wait for that callback to return.
func (l *Loop) releaseClosed() {
	for _, c := range l.closing.detached {
		unix.Close(c.fd)
		l.descriptors.open--
		l.poll.Free(c.op)
	}
	// Events that netpoll has already fetched may still refer to a socket that is closed here: its descriptor and
	// operator must not be reused before the next round.
	emptied := l.closing.detached[:0]
	l.closing.detached = l.closing.closed
	l.closing.closed = emptied
	for _, c := range l.closing.detached {
		c.op.Control(netpoll.PollDetach) // no effect if netpoll has detached it; prevents netpoll from doing so later
	}
	if len(l.closing.detached) > 0 {
		l.wake()
	}
}
