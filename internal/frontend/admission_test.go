package frontend

import (
	"bufio"
	"fmt"
	"io"
	"testing"
)

// At a limit of requests or of memory a request is rejected: it was surely not executed.
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
				t.Errorf("%s: %d bytes count as held", name, s.dispatcher.held)
			}
		})
	}
}

// A connection over the limit is rejected while the others are busy. Once one is idle, that one makes room.
func TestConnectionsOverLimit(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 1, RejectConnections: 1}, 10, 1 << 20})
	old, oldIn := s.dial()
	fmt.Fprintf(old, "mg k v O1 Pc=t\r\n")
	h := <-s.started
	conn, in := s.dial() // the old one is busy: this one is rejected and closed
	fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
	expect(t, in, "SERVER_ERROR busy\r\n")
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection over the limit stays, %v", err)
	}
	s.succeed(h, "x")
	expect(t, oldIn, "VA 1 O1\r\nx\r\n")
	s.onLoop(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
	})
	conn, in = s.dial() // the old one has been idle for a while and makes room
	fmt.Fprintf(conn, "mn\r\n")
	expect(t, in, "SERVER_ERROR starting\r\n")
	if _, err := oldIn.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection stays, %v", err)
	}
}

// Less than a millisecond is left in the last of a client's attempts, and the wire says 0: it is rejected at once,
// its connection is served on, and neither the balancer nor a cache server hears of it.
func TestExpiredRequestIsRejected(t *testing.T) {
	s := startServer(t, ampleLimits)
	conn, in := s.dial()
	for i := range 2 * maxBadCommands {
		fmt.Fprintf(conn, "mg k v O%d Pc=t,d=0\r\n", i)
		expect(t, in, "SERVER_ERROR busy\r\n")
	}
	s.onLoop(func() {
		if n := s.dispatcher.core.Counts.Taken; n > 0 || len(s.started) > 0 {
			t.Errorf("%d requests were taken, %d forwarded", n, len(s.started))
		}
	})
	fmt.Fprintf(conn, "mg k v Ox Pc=t,d=100\r\n")
	s.succeed(<-s.started, "x")
	expect(t, in, "VA 1 Ox\r\nx\r\n")
}

// An id that was submitted lately is no new request's: a cache server would reject it, which would look like a fault
// of that server.
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

// Clients that ask once and stay come faster than idle connections time out. Long before all places are taken each
// new one takes the place of the longest idle, for clients hold only a part of the descriptors themselves.
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
		t.Errorf("the longest idle stays, %v", err)
	}
	s.onLoop(func() {
		if s.Connections() != 2 {
			t.Errorf("%d are left", s.Connections())
		}
	})
}

// As many clients connect at once as there are idle connections, which all make room. With those that are closed and
// not released yet, no more descriptors are held than there are places; and each client is served.
func TestEvictionHoldsNoDescriptorTwice(t *testing.T) {
	const places, spare = 20, 1
	s := startServer(t, testLimits{Limits{Connections: places, RejectConnections: spare}, 10, 1 << 20})
	for range places {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		expect(t, in, "SERVER_ERROR starting\r\n")
	}
	mostDescriptors := 0
	stopped := make(chan bool)
	goOn := make(chan bool)
	s.loop.Post(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
		s.dispatcher.onAdmit = func() {
			descriptors := len(s.connections) + 1 + s.loop.Finishing() + s.loop.Closing()
			mostDescriptors = max(mostDescriptors, descriptors)
		}
		close(stopped)
		<-goOn
	})
	<-stopped
	var ins []*bufio.Reader
	for range 2 * places {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		ins = append(ins, in)
	}
	close(goOn)
	for _, in := range ins {
		expect(t, in, "SERVER_ERROR starting\r\n")
	}
	s.onLoop(func() {
		if mostDescriptors > places+spare {
			t.Errorf("%d descriptors are held, %d are the clients'", mostDescriptors, places+spare)
		}
	})
}

// Of the connections that hold the places, one that never sent anything usable is evicted first, however short its
// silence is.
func TestSilentConnectionsEvictedFirst(t *testing.T) {
	s := startServer(t, testLimits{Limits{Connections: 2, RejectConnections: 1}, 10, 1 << 20})
	usual, usualIn := s.dial()
	fmt.Fprintf(usual, "mn\r\n")
	expect(t, usualIn, "SERVER_ERROR starting\r\n")
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
		t.Errorf("one that says nothing stays, %v", err)
	}
	fmt.Fprintf(usual, "mn\r\n")
	expect(t, usualIn, "SERVER_ERROR starting\r\n")
}
