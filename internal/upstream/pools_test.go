package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

func TestProbe(t *testing.T) {
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("MN\r\n")) })
	outcome := make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() { pools.Probe(1, func(how balancer.Outcome) { outcome <- how }) })
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("mn")
}

// A server that wants nothing new keeps no idle connection and shares in no bound, and what is out there goes on.
func TestRemoveEndpoint(t *testing.T) {
	answer := make(chan bool)
	pools := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		<-answer
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	})
	outcome, _ := pools.startRead(5)
	pools.wantLine("mg")
	pools.onLoop(pools.loop, func() {
		pools.RemoveEndpoint(1)
		if len(pools.servers) != 0 {
			t.Errorf("%d servers share in the bound of connections", len(pools.servers))
		}
	})
	answer <- true
	outcome.want(t, balancer.Succeeded)
	pools.wantLine("end")
}

// What waits for a connection when its server is told to drain, or when its operation is answered, is never sent.
func TestWaitingAttemptsAreNotSentAfterRemoval(t *testing.T) {
	pools := startServer(t, defaultLimits, func(net.Conn, string) {})
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, first)
		pools.StartAttempt(1, &requestcore.Request{ID: "b"}, 5, 5, second).CancelIfUnsent()
		pools.RemoveEndpoint(1)
	})
	first.want(t, balancer.NotAttempted)
	second.want(t, balancer.NotAttempted)
	time.Sleep(20 * time.Millisecond)
	pools.onLoop(pools.loop, func() {
		if len(pools.lines) > 0 && <-pools.lines != "end" || pools.connectionCount != 0 {
			t.Errorf("a command was sent, or one of %d connections kept", pools.connectionCount)
		}
	})
}

// releaseCounter counts how often it is told that its connection is closed.
type releaseCounter struct {
	Codec
	released *int
}

func (c releaseCounter) Release() { *c.released++ }

// Whatever ends a connection, its codec is told, and lets go of what has come: here an attempt is given up midway.
func TestCodecIsReleasedWithConnection(t *testing.T) {
	limits := Limits{
		MaxConnections:           4,
		MaxInFlightPerConnection: 1,
		ConnectTimeout:           1,
		StallTimeout:             0.03,
		IdleTimeout:              60,
	}
	released := 0
	pools := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 9 Oa\r\nhal")) })
	pools.onLoop(pools.loop, func() {
		pools.newCodec = func(l ReplyHandler) Codec { return releaseCounter{NewMemcacheCodec(l), &released} }
	})
	outcome, _ := pools.startRead(0.05)
	<-outcome
	pools.onLoop(pools.loop, func() {
		if released != 1 {
			t.Errorf("it was told %d times", released)
		}
	})
}

// With more servers than connections, those that were asked first kept the rest from ever being asked.
func TestMoreServersThanConnections(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 20
	pools := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	for id := uint64(1); id <= 300; id++ {
		outcome := make(outcomeRecorder, 1)
		pools.onLoop(pools.loop, func() {
			pools.SetEndpoint(id, pools.servers[1].addr)
			pools.StartAttempt(id, &requestcore.Request{Key: "k", ID: "a", Flags: "v Oa"}, 5, 5, outcome)
		})
		if outcome.want(t, balancer.Succeeded); t.Failed() {
			t.Fatalf("at server %d", id)
		}
	}
	pools.onLoop(pools.loop, func() {
		if pools.connectionCount > limits.MaxConnections || pools.connectionCount < limits.MaxConnections/2 {
			t.Errorf("%d connections are kept, of %d", pools.connectionCount, limits.MaxConnections)
		}
	})
}

// A drain is told in the round in which a connection to the server has come up: nothing is written there, and it is
// not kept.
func TestRemovalAsConnectionIsEstablished(t *testing.T) {
	pools, conns := startListener(t, defaultLimits)
	outcome := make(outcomeRecorder, 1)
	var conn net.Conn
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, outcome)
		conn = <-conns // the kernel has it, and the loop has not heard of it
		pools.RemoveEndpoint(1)
	})
	outcome.want(t, balancer.NotAttempted)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("it was sent %q, %v", heard, err)
	}
}

// The same for an answer, whose connection is free in that round: what waits for it is not sent.
func TestRemovalAsReplyFreesConnection(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections, limits.MaxInFlightPerConnection = 1, 1
	pools, conns := startListener(t, limits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.startAttemptAt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, first)
	conn := <-conns
	readCommand(t, conn)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 5, 5, second)
		l := pools.servers[1].connections[0]
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		for !l.socket.Unread() {
			time.Sleep(time.Millisecond)
		}
		pools.RemoveEndpoint(1)
	})
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.NotAttempted)
	if more, _ := io.ReadAll(conn); len(more) > 0 {
		t.Errorf("it was sent %q", more)
	}
}

// A server is gone and back, elsewhere, in one list: what waited for it is told that it was not sent, what comes next
// goes where it is now.
func TestServerRemovedAndAddedInOneIteration(t *testing.T) {
	pools, before := startListener(t, defaultLimits)
	other, after := startListener(t, defaultLimits)
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		pools.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 5, 5, first)
		pools.RemoveEndpoint(1)
		pools.SetEndpoint(1, other.servers[1].addr)
		pools.StartAttempt(1, &requestcore.Request{Key: "k", ID: "b", Flags: "Ob"}, 5, 5, second)
	})
	first.want(t, balancer.NotAttempted)
	answerCommand(t, <-after, "VA 0 Ob\r\n\r\n")
	second.want(t, balancer.Succeeded)
	conn := <-before
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("where it was, it was sent %q, %v", heard, err)
	}
}
