package frontend

import (
	"bufio"
	"fmt"
	"io"
	"testing"
)

// At the limit of open requests or of held bytes a request must be rejected, which tells the client that it was not
// executed and that a retry is safe.
func TestRejectedAtLimit(t *testing.T) {
	connections := Limits{Connections: 10, RejectConnections: 1}
	for name, limits := range map[string]testLimits{
		"open requests": {connections, 1, 1 << 20},
		"held bytes":    {connections, 100, 1},
	} {
		s := startServer(t, limits)
		conn, in := s.dial()
		fmt.Fprintf(conn, "ms k 2 O1 Pc=t\r\nhi\r\nmg k v O2 Pc=t\r\n")
		s.succeed(<-s.started, "1")
		expect(t, in, "HD O1 c1\r\nSERVER_ERROR busy\r\n")
		s.onLoop(func() {
			if s.dispatcher.held != 0 {
				t.Errorf("%s: %d bytes are counted as held, want 0", name, s.dispatcher.held)
			}
		})
	}
}

// While all other connections are busy, the requests of a connection over the limit are rejected and it is closed. When
// another connection is idle, that one is evicted instead.
func TestConnectionsOverLimit(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 1, RejectConnections: 1}, 10, 1 << 20})
	old, oldIn := s.dial()
	fmt.Fprintf(old, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	conn, in := s.dial() // the old one is busy: this one is rejected and closed
	fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection over the limit: got read error %v, want EOF", err)
	}
	s.succeed(h, "x")
	expect(t, oldIn, "VA 1 O1\r\nx\r\n")
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
	})
	conn, in = s.dial() // the old one is idle and is evicted
	fmt.Fprintf(conn, "mn\r\n")
	expect(t, in, "SERVER_ERROR starting\r\n")
	if _, err := oldIn.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: got read error %v, want EOF", err)
	}
}

// In its last attempt a client may have less than a millisecond left, which it sends as 0. Such a request must be
// rejected immediately, and the connection must stay usable. The request must reach neither the balancer nor a cache
// server.
func TestExpiredRequestIsRejected(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	for i := range 2 * maxBadCommands {
		fmt.Fprintf(conn, "mg k v O%d Pc=t,d=0\r\n", i)
		expect(t, in, "SERVER_ERROR busy\r\n")
	}
	s.onLoop(func() {
		if n := s.dispatcher.core.Counts.Received; n > 0 || len(s.started) > 0 {
			t.Errorf("got %d requests in the core and %d attempts, want none", n, len(s.started))
		}
	})
	fmt.Fprintf(conn, "mg k v Ox Pc=t,d=100\r\n")
	s.succeed(<-s.started, "x")
	expect(t, in, "VA 1 Ox\r\nx\r\n")
}

// A request with the id of a recent one is an invalid command. A cache server would reject it, which would look like
// overload of that server.
func TestRepeatedID(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	bad, badIn := s.dial()
	fmt.Fprintf(bad, "mg other v O1 Pc=t\r\n")
	expect(t, badIn, "CLIENT_ERROR the id O is another operation's\r\n")
	s.succeed(h, "x")
	expect(t, in, "VA 1 O1\r\nx\r\n")
	fmt.Fprintf(bad, "mg other v O1 Pc=t\r\n")
	expect(t, badIn, "CLIENT_ERROR the id O is another operation's\r\n")
}

// Clients that send one command and stay connected may arrive faster than idle connections time out. From half of the
// limit on, each new connection must evict the one that has been idle for longest, because clients have only a limited
// number of descriptors themselves.
func TestIdleEvictedFromHalfOfLimit(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 4, RejectConnections: 1}, 10, 1 << 20})
	var first *bufio.Reader
	for i := range 3 {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		expect(t, in, "SERVER_ERROR starting\r\n")
		if i == 0 {
			first = in
		}
		s.onLoop(func() {
			for c := range s.connections {
				c.lastActive -= 2 * evictableAfterSeconds
			}
		})
	}
	if _, err := first.ReadByte(); err != io.EOF {
		t.Errorf("the connection idle for longest: got read error %v, want EOF", err)
	}
	s.onLoop(func() {
		if s.Connections() != 2 {
			t.Errorf("got %d connections, want 2", s.Connections())
		}
	})
}

// Within one round, twice as many clients connect as there are idle connections, so that all idle ones are evicted.
// Evicted connections whose descriptors are not released yet must count: the descriptors in use must not exceed the
// limit, and each client must be served.
func TestEvictionKeepsDescriptorLimit(t *testing.T) {
	const limit, spare = 20, 1
	s := startServer(t, testLimits{Limits{Connections: limit, RejectConnections: spare}, 10, 1 << 20})
	for range limit {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		expect(t, in, "SERVER_ERROR starting\r\n")
	}
	mostDescriptors := 0
	blocked := make(chan bool)
	resume := make(chan bool)
	s.loop.Post(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
		s.dispatcher.onAdmit = func() {
			descriptors := len(s.connections) + 1 + s.loop.HalfClosedConns() + s.loop.Closing()
			mostDescriptors = max(mostDescriptors, descriptors)
		}
		close(blocked)
		<-resume
	})
	<-blocked
	var ins []*bufio.Reader
	for range 2 * limit {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		ins = append(ins, in)
	}
	close(resume)
	for _, in := range ins {
		expect(t, in, "SERVER_ERROR starting\r\n")
	}
	s.onLoop(func() {
		if mostDescriptors > limit+spare {
			t.Errorf("got up to %d descriptors in use, want at most %d", mostDescriptors, limit+spare)
		}
	})
}

// A connection that has sent no valid command must be evicted before established ones, even if they have been idle for
// longer.
func TestSilentConnectionsEvictedFirst(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 2, RejectConnections: 1}, 10, 1 << 20})
	served, servedIn := s.dial()
	fmt.Fprintf(served, "mn\r\n")
	expect(t, servedIn, "SERVER_ERROR starting\r\n")
	_, silent := s.dial()
	for n := 0; n < 2; {
		s.onLoop(func() { n = s.Connections() })
	}
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
			if c.established {
				c.lastActive -= evictableAfterSeconds
			}
		}
	})
	next, nextIn := s.dial()
	fmt.Fprintf(next, "mn\r\n")
	expect(t, nextIn, "SERVER_ERROR starting\r\n")
	if _, err := silent.ReadByte(); err != io.EOF {
		t.Errorf("the silent connection: got read error %v, want EOF", err)
	}
	fmt.Fprintf(served, "mn\r\n")
	expect(t, servedIn, "SERVER_ERROR starting\r\n")
}
