package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// caches holds executions until they are ended.
type caches struct{ began chan *held }

type held struct {
	op *requestcore.Request
	x  requestcore.AttemptObserver
	c  chan string
}

func (c caches) Probe(uint64, func(balancer.Outcome)) {}
func (c caches) StartAttempt(_ uint64, op *requestcore.Request, _, _ float64, x requestcore.AttemptObserver) requestcore.PendingAttempt {
	h := &held{op, x, make(chan string, 1)}
	c.began <- h
	return h
}
func (h *held) Cancel()         { h.c <- "dropped" }
func (h *held) CancelIfUnsent() {}

// bounds are a front's, and its desk's.
type bounds struct {
	Limits
	open, bytes int
}

// desk takes all of one traffic type, within bounds.
type desk struct {
	bounds
	core *requestcore.Core
	held int
	door func() // called as a connection comes, if it is set
}

func (d *desk) Route(_, tenant, _ string) requestcore.Route {
	if tenant == "nobody" {
		return nil
	}
	return d
}
func (d *desk) AdmitConnection(listener string) bool {
	if d.door != nil {
		d.door()
	}
	return listener != "full"
}
func (d *desk) ReleaseConnection(string)                {}
func (d *desk) MaxDeadline(kind string) (float64, bool) { return 5000, kind == "t" }
func (d *desk) HasCapacity() bool                       { return d.core.OpenRequests() < d.open && d.held < d.bytes }
func (d *desk) AddHeldBytes(n int)                      { d.held += n }
func (d *desk) Submit(op *requestcore.Request, c requestcore.Client) (*requestcore.Core, uint64) {
	return d.core, d.core.Submit(op, c)
}

// served is a front on a loop, with one cache server.
type served struct {
	*Frontend
	desk *desk
	caches
	t    *testing.T
	addr string
}

func serve(t *testing.T, limits bounds) served {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	s := served{caches: caches{make(chan *held, 1000)}, desk: &desk{bounds: limits}, t: t, addr: free.Addr().String()}
	free.Close()
	done := make(chan error)
	l.Post(func() {
		r := requestcore.New(balancer.Settings{CancellationAllowed: true, TrafficClasses: []balancer.TrafficClass{{Name: "t",
			Idempotency: balancer.Idempotent, LatencyObjective: 1000, Deadline: 5000, PriorityWeight: 1}}}, requestcore.Dependencies{Clock: l,
			Upstream: s.caches, Gossip: func([]byte) {}, WatchEndpoints: func(bool) {}, Log: zerolog.Nop()}, requestcore.DefaultBalancer)
		r.OnEndpoints(balancer.UpdateFull, []balancer.Endpoint{{ID: 1, State: balancer.Ready, Capacity: 1}})
		s.desk.core = r
		s.Frontend = New(l, s.desk, limits.Limits)
		_, err := l.Listen(s.addr, s.CanAccept, s.Acceptor("", Memcache))
		done <- err
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return s
}

func (s served) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	s.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func (s served) finish(h *held, value string) {
	s.loop.Post(func() { h.x.OnAttemptEnd(balancer.Succeeded, requestcore.Result{Value: []byte(value), Receipt: value}) })
}

func (s served) do(call func()) {
	done := make(chan bool)
	s.loop.Post(func() { call(); close(done) })
	<-done
}

func want(t *testing.T, in io.Reader, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(in, got); string(got) != text {
		t.Errorf("got %.200q, %d bytes of %d, want %.200q, %v", got[:n], n, len(text), text, err)
	}
}

// made is what a cache server made.
var made = requestcore.Result{Value: []byte("x")}

var ample = bounds{Limits{Connections: 10}, 1000, 1 << 20}

func TestAnswersInTheOrderOfTheCommands(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\nms k 2 O2 Pc=t\r\nhi\r\nnews\r\nmn\r\n")
	first, second := <-s.began, <-s.began
	if first.op.Key != "k" || first.op.Write || !second.op.Write || string(second.op.Value) != "hi" {
		t.Errorf("took %+v and %+v", first.op, second.op)
	}
	s.finish(second, "7")
	s.finish(first, "a value")
	want(t, in, "VA 7 O1\r\na value\r\nHD O2 c7\r\nERROR\r\nSERVER_ERROR starting\r\n")
	s.do(func() {
		if s.SetReady(); s.desk.held != 0 {
			t.Errorf("%d bytes count as held, though all is written", s.desk.held)
		}
	})
	fmt.Fprintf(conn, "mn\r\n")
	want(t, in, "MN\r\n")
}

// Far more than may be owed comes in one go: reading stops, and goes on as answers leave.
func TestMoreThanMayBeOwed(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	const all = 5 * maxOwedAnswers
	var commands, answers strings.Builder
	for i := range all {
		fmt.Fprintf(&commands, "mg k v O%d Pc=t\r\n", i)
		fmt.Fprintf(&answers, "VA 3 O%d\r\nabc\r\n", i)
	}
	io.WriteString(conn, commands.String())
	for range all {
		s.finish(<-s.began, "abc")
	}
	want(t, in, answers.String())
}

// The greatest value is longer than a connection's buffer: it must pass through whole both ways.
func TestGreatestValue(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	value := strings.Repeat("0123456789abcdef", 4<<10)
	fmt.Fprintf(conn, "ms k 65536 O1 Pc=t\r\n%s\r\nmg k v O2 Pc=t\r\n", value)
	h := <-s.began
	if string(h.op.Value) != value {
		t.Errorf("%d bytes came in, changed", len(h.op.Value))
	}
	s.finish(h, "1")
	s.finish(<-s.began, value)
	want(t, in, "HD O1 c1\r\nVA 65536 O2\r\n"+value+"\r\n")
}

func TestClientGoneAway(t *testing.T) {
	s := serve(t, ample)
	conn, _ := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	conn.Close()
	if got := <-h.c; got != "dropped" {
		t.Error(got)
	}
	s.do(func() {
		if s.Connections() != 0 {
			t.Errorf("%d clients are left", s.Connections())
		}
	})
}

// Near a bound what comes is declined, not crashed over: it surely never ran.
func TestDeclinedNearABound(t *testing.T) {
	for name, limits := range map[string]bounds{"open": {Limits{Connections: 10, RejectConnections: 1}, 1, 1 << 20}, "held": {Limits{Connections: 10, RejectConnections: 1}, 100, 1}} {
		s := serve(t, limits)
		conn, in := s.dial()
		fmt.Fprintf(conn, "ms k 2 O1 Pc=t\r\nhi\r\nmg k v O2 Pc=t\r\n")
		s.finish(<-s.began, "1")
		want(t, in, "HD O1 c1\r\nSERVER_ERROR busy\r\n")
		s.do(func() {
			if s.desk.held != 0 {
				t.Errorf("%s: %d bytes count as held", name, s.desk.held)
			}
		})
	}
}

func TestConnectionsBeyondTheBound(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 1, RejectConnections: 1}, 10, 1 << 20})
	old, oldIn := s.dial()
	fmt.Fprintf(old, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	conn, in := s.dial() // the old one is busy: declined and closed
	fmt.Fprintf(conn, "mg k v O2 Pc=t\r\n")
	want(t, in, "SERVER_ERROR busy\r\n")
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the connection beyond the bound stays, %v", err)
	}
	s.finish(h, "x")
	want(t, oldIn, "VA 1 O1\r\nx\r\n")
	s.do(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
	})
	conn, in = s.dial() // the old one has been idle for a while and makes room
	fmt.Fprintf(conn, "mn\r\n")
	want(t, in, "SERVER_ERROR starting\r\n")
	if _, err := oldIn.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection stays, %v", err)
	}
}

func TestMalformed(t *testing.T) {
	for text, answer := range map[string]string{
		strings.Repeat("x", 5000):          "CLIENT_ERROR a line is too long\r\n",
		"ms k 4194305 O1 Pc=t\r\n":         "CLIENT_ERROR a value is too long\r\n",
		"ms k 1 O1 Pc=t\r\nabc":            "CLIENT_ERROR a value does not end where its length says\r\n",
		"mg k v O1 Pc=t,d=soon\r\nget\r\n": "CLIENT_ERROR d is not a number of 0 or more\r\nERROR\r\n",
		"mg k v O1 Pc=t,d=\r\n":            "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=t,d=-5\r\n":          "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=t,d=NaN\r\n":         "CLIENT_ERROR d is not a number of 0 or more\r\n",
		"mg k v O1 Pc=tt,d=100\r\n":        "CLIENT_ERROR the type c is unknown\r\n",
	} {
		s := serve(t, ample)
		conn, in := s.dial()
		io.WriteString(conn, text)
		want(t, in, answer)
		if len(s.began) > 0 {
			t.Errorf("%.40q went on to a cache server", text)
		}
	}
}

// Less than a millisecond is left in the last of a client's tries, and the wire says 0: it is declined at once, its connection serves on,
// and neither the module nor a cache server hears of it.
func TestWhatIsOverAsItComesIsDeclined(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	for i := range 2 * maxBadCommands {
		fmt.Fprintf(conn, "mg k v O%d Pc=t,d=0\r\n", i)
		want(t, in, "SERVER_ERROR busy\r\n")
	}
	s.do(func() {
		if n := s.desk.core.Counts.Taken; n > 0 || len(s.began) > 0 {
			t.Errorf("%d operations were taken, %d sent on", n, len(s.began))
		}
	})
	fmt.Fprintf(conn, "mg k v Ox Pc=t,d=100\r\n")
	s.finish(<-s.began, "x")
	want(t, in, "VA 1 Ox\r\nx\r\n")
}

// An id that was taken lately is no new operation's: at a cache server it would be turned away, and seem to be
// that server's fault.
func TestAnothersID(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	bad, badIn := s.dial()
	fmt.Fprintf(bad, "mg other v O1 Pc=t\r\n")
	want(t, badIn, "CLIENT_ERROR the id O is another operation's\r\n")
	s.finish(h, "x")
	want(t, in, "VA 1 O1\r\nx\r\n")
	fmt.Fprintf(bad, "mg other v O1 Pc=t\r\n")
	want(t, badIn, "CLIENT_ERROR the id O is another operation's\r\n")
}

// Who sends what can't be used over and over is told so a few times, then let go of, whatever else it sent.
func TestSameAgainAndAgain(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	io.WriteString(conn, strings.Repeat("mg k v O1 Pc=tt,d=100\r\n", 500))
	all, _ := io.ReadAll(in)
	if n := strings.Count(string(all), "CLIENT_ERROR"); n > maxBadCommands || len(s.began) > 0 {
		t.Errorf("%d errors were told, %d operations taken", n, len(s.began))
	}
}

// Who says nothing, or half a command, must not hold a place or memory for long, also if it is a byte now and then.
func TestSilentAndHalf(t *testing.T) {
	s := serve(t, ample)
	_, silent := s.dial()
	half, halfIn := s.dial()
	fmt.Fprintf(half, "mg k")
	usual, usualIn := s.dial()
	fmt.Fprintf(usual, "mn\r\n")
	want(t, usualIn, "SERVER_ERROR starting\r\n")
	s.do(func() {
		for c := range s.connections {
			c.acceptedAt -= commandSeconds + 0.1
			c.commandBegan -= commandSeconds + 0.1
		}
		s.sweep()
	})
	if _, err := silent.ReadByte(); err != io.EOF {
		t.Errorf("one that says nothing stays, %v", err)
	}
	want(t, halfIn, "CLIENT_ERROR the command does not go on\r\n")
	if _, err := halfIn.ReadByte(); err != io.EOF {
		t.Errorf("one with half a command stays, %v", err)
	}
	fmt.Fprintf(usual, "mn\r\n")
	want(t, usualIn, "SERVER_ERROR starting\r\n")
}

// Clients that asked once and stay would hold ever more places, each of which is one that others lack.
func TestIdleClientsAreLetGo(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	fmt.Fprintf(conn, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	s.do(func() {
		for c := range s.connections {
			c.lastActive, c.acceptedAt = c.lastActive-2*idleTimeoutSeconds, c.acceptedAt-2*idleTimeoutSeconds
		}
		s.sweep() // it waits for an answer
	})
	s.finish(h, "x")
	want(t, in, "VA 1 O1\r\nx\r\n")
	s.do(func() {
		for c := range s.connections {
			c.lastActive -= 2 * idleTimeoutSeconds
		}
		s.sweep()
	})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection stays, %v", err)
	}
}

// Clients that ask once and stay come faster than idle connections run out: long before all places are taken each new
// one takes the place of the longest idle, for clients hold only a part of the descriptors themselves.
func TestIdleMakeRoomBeforeAllIsTaken(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 4, RejectConnections: 1}, 10, 1 << 20})
	var first *bufio.Reader
	for i := range 3 {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		want(t, in, "SERVER_ERROR starting\r\n")
		if i == 0 {
			first = in
		}
		s.do(func() {
			for c := range s.connections {
				c.lastActive -= 2 * evictableAfterSeconds
			}
		})
	}
	if _, err := first.ReadByte(); err != io.EOF {
		t.Errorf("the longest idle stays, %v", err)
	}
	s.do(func() {
		if s.Connections() != 2 {
			t.Errorf("%d are left", s.Connections())
		}
	})
}

// As many that come at once as there are idle ones, which all make room, hold no more descriptors than there are places, with those that
// are closed and not let go of yet; and each is served.
func TestNoDescriptorIsHeldTwiceAsIdleOnesMakeRoom(t *testing.T) {
	const places, spare = 20, 1
	s := serve(t, bounds{Limits{Connections: places, RejectConnections: spare}, 10, 1 << 20})
	for range places {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		want(t, in, "SERVER_ERROR starting\r\n")
	}
	most, stopped, on := 0, make(chan bool), make(chan bool)
	s.loop.Post(func() {
		for c := range s.connections {
			c.lastActive -= 2 * evictableAfterSeconds
		}
		s.desk.door = func() { most = max(most, len(s.connections)+1+s.loop.Finishing()+s.loop.Closing()) }
		close(stopped)
		<-on
	})
	<-stopped
	var ins []*bufio.Reader
	for range 2 * places {
		conn, in := s.dial()
		fmt.Fprintf(conn, "mn\r\n")
		ins = append(ins, in)
	}
	close(on)
	for _, in := range ins {
		want(t, in, "SERVER_ERROR starting\r\n")
	}
	s.do(func() {
		if most > places+spare {
			t.Errorf("%d descriptors are held, %d are the clients'", most, places+spare)
		}
	})
}

// Of those that hold the places, one that never sent anything usable goes first, however short its silence is.
func TestSilentMakeRoom(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 2, RejectConnections: 1}, 10, 1 << 20})
	usual, usualIn := s.dial()
	fmt.Fprintf(usual, "mn\r\n")
	want(t, usualIn, "SERVER_ERROR starting\r\n")
	_, silent := s.dial()
	for n := 0; n < 2; {
		s.do(func() { n = s.Connections() })
	}
	s.do(func() {
		for c := range s.connections {
			if c.lastActive -= 2 * evictableAfterSeconds; c.established {
				c.lastActive -= evictableAfterSeconds
			}
		}
	})
	next, nextIn := s.dial()
	fmt.Fprintf(next, "mn\r\n")
	want(t, nextIn, "SERVER_ERROR starting\r\n")
	if _, err := silent.ReadByte(); err != io.EOF {
		t.Errorf("one that says nothing stays, %v", err)
	}
	fmt.Fprintf(usual, "mn\r\n")
	want(t, usualIn, "SERVER_ERROR starting\r\n")
}

// Told to leave, idle connections are closed at once, others after their answer, one with a begun command after
// that one's, and so is one that has just come to send its first.
func TestLeave(t *testing.T) {
	s := serve(t, ample)
	used, idle := s.dial()
	fmt.Fprint(used, "mn\r\n")
	want(t, idle, "SERVER_ERROR starting\r\n")
	fresh, freshIn := s.dial()
	busy, busyIn := s.dial()
	fmt.Fprintf(busy, "mg k v O1 Pc=t\r\n")
	h := <-s.began
	begun, begunIn := s.dial()
	fmt.Fprintf(begun, "mg k v O2")
	for there := 0; there < 4; { // all have been accepted and read
		s.do(func() {
			there = 0
			for c := range s.connections {
				if c.codec.InCommand() || len(c.answers) > 0 || c.conn.In.Len() == 0 {
					there++
				}
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	s.do(s.CloseIdle)
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection stays, %v", err)
	}
	s.finish(h, "x")
	want(t, busyIn, "VA 1 O1\r\nx\r\n")
	fmt.Fprintf(begun, " Pc=t\r\n")
	s.finish(<-s.began, "y")
	want(t, begunIn, "VA 1 O2\r\ny\r\n")
	fmt.Fprintf(fresh, "mg k v O3 Pc=t\r\n")
	s.finish(<-s.began, "z")
	want(t, freshIn, "VA 1 O3\r\nz\r\n")
	for _, in := range []*bufio.Reader{busyIn, begunIn, freshIn} {
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("an answered connection stays, %v", err)
		}
	}
}

// A client that reads nothing holds memory: after a while it is let go of.
func TestClientThatReadsNothing(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10}, 1000, 64 << 20})
	conn, _ := s.dial()
	stuck := false
	for i := 0; i < 1000 && !stuck; i++ {
		fmt.Fprintf(conn, "mg k v O%d Pc=t\r\n", i)
		select {
		case h := <-s.began:
			s.finish(h, strings.Repeat("x", 60000))
		case <-time.After(100 * time.Millisecond):
			stuck = true
		}
	}
	s.do(func() {
		for c := range s.connections {
			c.lastActive -= unreadAnswerSeconds + 1
		}
		s.sweep()
		if s.Connections() != 0 || s.desk.held != 0 {
			t.Errorf("%d clients are left, %d bytes held", s.Connections(), s.desk.held)
		}
	})
	if !stuck {
		t.Error("commands were read though no answer was")
	}
}

// breaking is a long value that breaks off after a byte.
type breaking struct{}

func (breaking) Length() int    { return 99999 }
func (breaking) ResumeReading() {}
func (breaking) Discard()       {}
func (breaking) StartReading(to requestcore.BodySink) {
	to.OnPart([]byte("x"))
	to.OnBroken()
}

// Each operation that was taken counts once, as its client saw it end; none stays open, and nothing held.
func TestTally(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10, RejectConnections: 1}, 1, 1 << 20})
	conn, in := s.dial()
	begin := func(id string) *held {
		fmt.Fprintf(conn, "mg k v O%s Pc=t,d=4000\r\n", id)
		return <-s.began
	}
	settle := func(h *held, how balancer.Outcome, with requestcore.Result) {
		s.loop.Post(func() { h.x.OnAttemptEnd(how, with) })
	}
	s.finish(begin("1"), "x")
	want(t, in, "VA 1 O1\r\nx\r\n")
	settle(begin("2"), balancer.Cancelled, requestcore.Result{}) // and no other server
	want(t, in, "SERVER_ERROR busy\r\n")
	third := begin("3")
	fmt.Fprint(conn, "mg k v O4 Pc=t\r\nmg k v O5 Pc=none\r\nmg k v O3 Pc=t\r\n") // no place, no such type, another's id
	s.loop.Post(func() { s.desk.core.Fail(3) })
	want(t, in, "SERVER_ERROR failed\r\nSERVER_ERROR busy\r\nCLIENT_ERROR the type c is unknown\r\nSERVER_ERROR busy\r\n")
	settle(third, balancer.Cancelled, requestcore.Result{})
	conn, in = s.dial()
	settle(begin("6"), balancer.Succeeded, requestcore.Result{Body: breaking{}})
	want(t, in, "VA 99999 O6\r\nx")
	conn, _ = s.dial()
	begin("7")
	conn.Close()
	for i := 0; ; i++ {
		var open, held int
		var tally Outcomes
		s.do(func() { open, held, tally = s.OpenRequests(), s.desk.held, s.OutcomesOf("t") })
		if open == 0 && held == 0 && tally == (Outcomes{Succeeded: 1, Rejected: 3, Failed: 2}) {
			break
		}
		if i > 200 {
			t.Fatalf("%d are open, %d bytes held, ends are %+v", open, held, tally)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Long writes come whole as far as memory is set apart for them; one beyond it is declined, and what follows it is read on. The memory
// is free again once the write has gone on, its client has left, or its body has stood still for long.
func TestLongWrites(t *testing.T) {
	s := serve(t, bounds{Limits{Connections: 10, RejectConnections: 1, LongWriteBytes: 300000}, 100, 1 << 20})
	apart := func(want int) {
		t.Helper()
		for got, i := -1, 0; got != want; i++ {
			if s.do(func() { got = s.longWriteBytes }); i > 2000 {
				t.Fatalf("%d bytes are set apart, want %d", got, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	body := strings.Repeat("x", 200000)
	conn, in := s.dial()
	fmt.Fprintf(conn, "ms k %d O1 Pc=t\r\n%s", len(body), body[:100000])
	apart(len(body))
	other, otherIn := s.dial()
	fmt.Fprintf(other, "ms k %d O2 Pc=t\r\n%s\r\nmn\r\n", len(body), body)
	want(t, otherIn, "SERVER_ERROR busy\r\nSERVER_ERROR starting\r\n")
	fmt.Fprintf(conn, "%s\r\n", body[100000:])
	h := <-s.began
	apart(0)
	if string(h.op.Value) != body {
		t.Errorf("%d bytes came", len(h.op.Value))
	}
	s.loop.Post(func() { h.x.OnAttemptEnd(balancer.Succeeded, requestcore.Result{Receipt: "r"}) })
	want(t, in, "HD O1 cr\r\n")
	for _, c := range []struct{ since, quiet float64 }{{commandSeconds + 1, 0}, {commandSeconds + 1, longWriteStallSeconds + 1}, {longWriteSeconds + 1, 0}, {0, 0}} {
		conn, in := s.dial()
		fmt.Fprintf(conn, "ms k %d O3 Pc=t\r\n%s", len(body), body[:5])
		apart(len(body))
		s.do(func() {
			for c0 := range s.connections {
				if c0.receivesLongWrite {
					c0.commandBegan, c0.lastActive = c0.commandBegan-c.since, c0.lastActive-c.quiet
				}
			}
			s.sweep()
		})
		if c.since > longWriteSeconds || c.quiet > 0 {
			want(t, in, "CLIENT_ERROR the command does not go on\r\n")
		} else {
			apart(len(body))
			conn.Close()
		}
		apart(0)
	}
}

// A command comes in two pieces, cut anywhere, and one behind it with its last: nothing is taken before the last byte, and then all of it.
func TestACommandInPieces(t *testing.T) {
	s := serve(t, ample)
	conn, in := s.dial()
	for form, text := range map[string]string{
		"a read":               "mg key v O%[1]d Pc=t,d=480\r\n",
		"figures first":        "mg key Pd=480,c=t O%[1]d v\r\n",
		"a write":              "ms key 4 O%[1]d Pc=t,d=480\r\nm\r\n\r\r\n",
		"a write, the id last": "ms key 4 Pd=480,r=1,c=t O%[1]d\r\nm\r\n\r\r\n",
	} {
		for cut := 0; cut < len(fmt.Sprintf(text, 100)); cut++ {
			id, text := fmt.Sprint(100+cut), fmt.Sprintf(text, 100+cut)
			write := strings.HasPrefix(text, "ms")
			io.WriteString(conn, text[:cut])
			for begun := cut == 0; !begun; { // until the piece has been read
				s.do(func() {
					for c := range s.connections {
						begun = c.codec.InCommand() && c.conn.Quiet()
					}
				})
			}
			if n := len(s.began); n > 0 {
				t.Fatalf("%s: %q is taken for a command", form, text[:cut])
			}
			io.WriteString(conn, text[cut:]+"mn\r\n")
			h := <-s.began
			if h.op.Key != "key" || h.op.ID != id || h.op.Write != write || write && string(h.op.Value) != "m\r\n\r" || h.op.Class != "t" {
				t.Fatalf("%s cut at %d is taken as %+v", form, cut, h.op)
			}
			answer := "VA 1 O" + id + "\r\nx\r\n"
			if write {
				answer = "HD O" + id + " cx\r\n"
			}
			s.finish(h, "x")
			want(t, in, answer+"SERVER_ERROR starting\r\n")
			s.do(func() { clear(s.recentIDs.slots[:]) }) // the next form has the same
		}
	}
}
