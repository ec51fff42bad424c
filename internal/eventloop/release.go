package eventloop

import (
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// descriptorCount counts the descriptors of connections, those of closed ones until they are released.
type descriptorCount struct {
	open  int
	limit int // of open, beyond which none is made; 0: no limit
}

// closingConns are the connections on their way from Close to the release of their descriptors.
type closingConns struct {
	halfClosed int     // connections that wait for the other side's end (Finish)
	closed     []*Conn // netpoll may still watch them
	detached   []*Conn // watched no more, to be released with the next round
}

// Finishing counts the connections that only wait for the other side to end them.
func (l *Loop) Finishing() int { return l.closing.halfClosed }

// Closing counts the connections that are closed and still hold their descriptors, for a round or two.
func (l *Loop) Closing() int { return len(l.closing.closed) + len(l.closing.detached) }

// Limit bounds the descriptors of connections, those of closed ones included until they are released. Other
// descriptors of the process do not count. 0 means no limit.
func (l *Loop) Limit(descriptors int) { l.descriptors.limit = descriptors }

// atDescriptorLimit tells whether no further connection may be made now.
func (l *Loop) atDescriptorLimit() bool {
	return l.descriptors.limit > 0 && l.descriptors.open >= l.descriptors.limit
}

// releaseLater has a closed connection's socket released, once no callback of it runs.
func (l *Loop) releaseLater(c *Conn) {
	l.closing.closed = append(l.closing.closed, c)
	l.wake()
}

// releaseClosed frees the sockets that were detached in the round before, and detaches those closed since. It runs in
// no callback of theirs: netpoll would wait for that to end.
func (l *Loop) releaseClosed() {
	for _, c := range l.closing.detached {
		unix.Close(c.fd)
		l.descriptors.open--
		l.poll.Free(c.op)
	}
	// Events that netpoll has at hand may still name a socket that is closed here: its descriptor and operator
	// must not be another's before the next round.
	emptied := l.closing.detached[:0]
	l.closing.detached = l.closing.closed
	l.closing.closed = emptied
	for _, c := range l.closing.detached {
		c.op.Control(netpoll.PollDetach) // does nothing where netpoll has detached it, nor will netpoll after this
	}
	if len(l.closing.detached) > 0 {
		l.wake()
	}
}
