package upstream

import (
	"bufio"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// outcomeRecorder notes how an execution ended.
type outcomeRecorder chan balancer.Outcome

func (o outcomeRecorder) OnAttemptEnd(how balancer.Outcome, _ requestcore.Result) { o <- how }
func (o outcomeRecorder) StillWanted() bool                                       { return true }

func (o outcomeRecorder) want(t *testing.T, want balancer.Outcome) {
	t.Helper()
	select {
	case got := <-o:
		if got != want {
			t.Errorf("it ended as %d, want %d", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("it did not end")
	}
}

// testPools is one cache server, known as 1, that serves each connection by a function of the lines it reads.
type testPools struct {
	*ConnectionPools
	t     *testing.T
	lines chan string // all that the server read
}

func startServer(t *testing.T, limits Limits, serve func(conn net.Conn, line string)) testPools {
	f, conns := startListener(t, limits)
	f.lines = make(chan string, 10000)
	go func() {
		for conn := range conns {
			go func() {
				in := bufio.NewReader(conn)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						f.lines <- "end"
						return
					}
					f.lines <- line
					serve(conn, line)
				}
			}()
		}
	}()
	return f
}

// startListener is one cache server, known as 1, that does nothing with its connections.
func startListener(t *testing.T, limits Limits) (f testPools, conns chan net.Conn) {
	conns = make(chan net.Conn, 1000)
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			conns <- conn
		}
	}()
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop); ln.Close() })
	f = testPools{t: t}
	f.onLoop(l, func() {
		f.ConnectionPools = New(l, limits, NewMemcacheCodec, zerolog.Nop())
		f.SetEndpoint(1, netip.MustParseAddrPort(ln.Addr().String()))
	})
	return f, conns
}

// listenWithFullBacklog is an address whose backlog is listenWithFullBacklog, so that connections do not come up there, until they are accepted: accept
// gives the last.
func listenWithFullBacklog(t *testing.T) (at netip.AddrPort, accept func() net.Conn) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	n := 0
	for ; ; n++ { // until one does not come up
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 500*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return netip.MustParseAddrPort(ln.Addr().String()), func() net.Conn {
		for ; ; n-- {
			conn, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if n == 0 {
				return conn
			}
			conn.Close()
		}
	}
}

// readCommand reads a command.
func readCommand(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for one := make([]byte, 1); one[0] != '\n'; {
		if _, err := conn.Read(one); err != nil {
			t.Fatalf("no command: %v", err)
		}
	}
}

// answerCommand reads a command and answers it.
func answerCommand(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	readCommand(t, conn)
	conn.Write([]byte(text))
}

// onLoop calls on the loop and waits for it.
func (f testPools) onLoop(l *eventloop.Loop, call func()) {
	done := make(chan bool)
	l.Post(func() { call(); close(done) })
	<-done
}

func (f testPools) startAttempt(limit float64) (o outcomeRecorder, p requestcore.PendingAttempt) {
	o = make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		p = f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "a", Flags: "v Oa", Figures: "c=x,d=9"}, limit, limit, o)
	})
	return o, p
}

func (f testPools) wantLine(want string) {
	f.t.Helper()
	select {
	case got := <-f.lines:
		if !strings.HasPrefix(got, want) {
			f.t.Errorf("the server read %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		f.t.Errorf("the server read no %q", want)
	}
}

var defaultLimits = Limits{MaxConnections: 8, MaxInFlightPerConnection: 4, ConnectTimeout: 1, StallTimeout: 0.05, IdleTimeout: 60}

// The protocol's table: what came back, and what that proves.
func TestOutcomes(t *testing.T) {
	for reply, want := range map[string]balancer.Outcome{
		"VA 2 Oa h0 Z\r\nhi\r\n":  balancer.Succeeded,
		"SERVER_ERROR busy\r\n":   balancer.Overloaded,
		"SERVER_ERROR failed\r\n": balancer.ServerError,
		"CLIENT_ERROR bad\r\n":    balancer.ConnectionLost,
		"SERVER_ERROR odd\r\n":    balancer.ConnectionLost,
		"VA 2 Ob\r\nhi\r\n":       balancer.ConnectionLost, // made for another: not to be passed on
		"HD Oa c1\r\n":            balancer.ConnectionLost, // no answer to a read
		"VA 2 Oa\r\nhi":           balancer.ConnectionLost, // cut short
		"VA 99999 Oa\r\n":         balancer.ConnectionLost,
		"":                        balancer.ConnectionLost, // the server ends the connection
	} {
		f := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
			conn.Write([]byte(reply))
			if !strings.HasSuffix(reply, "\r\n") {
				conn.Close()
			}
		})
		o, _ := f.startAttempt(3)
		o.want(t, want)
	}
}

func TestCommandTellsTimeLeft(t *testing.T) {
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	o, _ := f.startAttempt(2)
	o.want(t, balancer.Succeeded)
	f.wantLine("mg k v Oa Pc=x,d=") // then 2000 or, after the connection came up, a little less
	o, _ = f.startAttempt(2)
	o.want(t, balancer.Succeeded)
	f.wantLine("mg k v Oa Pc=x,d=2000\r\n") // on the connection that is there
	f.onLoop(f.loop, func() {
		if f.connectionCount != 1 {
			t.Errorf("%d connections, one is enough", f.connectionCount)
		}
	})
}

// A spoilt answer leaves its connection open and of no use: it must be ended, lest the rest be taken for the next
// execution's answer, and told at once, not when the execution's limit is over.
func TestMalformedReplyEndsConnection(t *testing.T) {
	for _, reply := range []string{"CLIENT_ERROR bad\r\n", "SERVER_ERROR odd\r\n", "\x93\x00\xff", "no end of a line",
		"VA 9 Oa\r\nhi\r\n", "VA 3000000000 Oa\r\nhi", "VA 2 O", "VA 1 Oa\r\nhi\r\n", "VA 2 Ob\r\nhi\r\n"} {
		f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte(reply)) })
		began := time.Now()
		o, _ := f.startAttempt(3)
		o.want(t, balancer.ConnectionLost)
		if took := time.Since(began); took > time.Second {
			t.Errorf("%q: told after %v", reply, took)
		}
		f.wantLine("mg")
		f.wantLine("end")
	}
}

// A good answer stands, whatever comes behind it; the next execution gets a connection of its own.
func TestBytesBehindReply(t *testing.T) {
	for _, more := range []string{"VA 0 Oa\r\n\r\n", "\x93noise", "END\r\n"} {
		f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n" + more)) })
		for range 2 {
			o, _ := f.startAttempt(3)
			o.want(t, balancer.Succeeded)
			f.wantLine("mg")
			f.wantLine("end")
		}
	}
}

// A server may end a connection right after its answer, which is heard of only a little later: a connection that has
// rested is used before one that was answered on just now.
func TestIdleConnectionReuseOrder(t *testing.T) {
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	op := &requestcore.Request{ID: "a", Flags: "Oa"}
	f.onLoop(f.loop, func() { f.StartAttempt(1, op, 5, 5, first); f.StartAttempt(1, op, 5, 5, second) })
	first.want(t, balancer.Succeeded)
	second.want(t, balancer.Succeeded)
	f.onLoop(f.loop, func() {
		idle, now := f.servers[1].idle, f.loop.Now()
		for _, c := range []struct{ old, young, want float64 }{{9, 0, 9}, {9, 1, 1}, {0, 0, 0}} {
			idle[0].idleSince, idle[1].idleSince = now-c.old, now-c.young
			if got := now - f.servers[1].pickIdle().idleSince; got != c.want {
				t.Errorf("of %v and %v s of rest %v was taken", c.old, c.young, got)
			}
		}
	})
}

// A server that answers and ends the connection in one go: the next execution must not be written there, where
// it would count as one that may have run.
func TestReplyAndCloseTogether(t *testing.T) {
	var n atomic.Int32
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
		if n.Add(1) == 2 {
			conn.Close()
		}
	})
	first, _ := f.startAttempt(5)
	first.want(t, balancer.Succeeded)
	op, next := &requestcore.Request{ID: "a"}, make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, op, 5, 5, endFunc(func() { f.StartAttempt(1, op, 5, 5, next) }))
		time.Sleep(50 * time.Millisecond) // answer and end are both there when the loop goes on
	})
	next.want(t, balancer.Succeeded)
}

// endFunc does something as soon as an execution has ended.
type endFunc func()

func (f endFunc) OnAttemptEnd(balancer.Outcome, requestcore.Result) { f() }
func (f endFunc) StillWanted() bool                                 { return true }

func TestTimeoutClosesConnection(t *testing.T) {
	f := startServer(t, defaultLimits, func(net.Conn, string) {})
	o, _ := f.startAttempt(0.05)
	o.want(t, balancer.TimedOut)
	f.wantLine("mg")
	f.wantLine("end")
}

func TestCancelClosesConnection(t *testing.T) {
	f := startServer(t, defaultLimits, func(net.Conn, string) {})
	o, p := f.startAttempt(5)
	f.wantLine("mg")
	f.onLoop(f.loop, p.Cancel)
	o.want(t, balancer.Cancelled)
	f.wantLine("end")
}

// The greatest value is longer than a connection's buffer: it must go out whole.
func TestGreatestValueIsWrittenWhole(t *testing.T) {
	value := []byte(strings.Repeat("0123456789abcde\n", 4<<10))
	n := 0
	f := startServer(t, defaultLimits, func(conn net.Conn, line string) {
		if n++; n == 1+len(value)/16+1 { // the command, the value's lines, the end
			conn.Write([]byte("HD Oa c1\r\n"))
		}
	})
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa", Write: true, Value: value}, 5, 5, o)
	})
	o.want(t, balancer.Succeeded)
}

func TestConnectionRefused(t *testing.T) {
	f := startServer(t, defaultLimits, nil)
	free, _ := net.Listen("tcp", "127.0.0.1:0")
	f.onLoop(f.loop, func() { f.SetEndpoint(1, netip.MustParseAddrPort(free.Addr().String())) })
	free.Close()
	o, _ := f.startAttempt(5)
	o.want(t, balancer.ConnectFailed)
}

// What hinders a dial on this side says nothing against the server, which must not be passed over for it.
func TestServerWithoutAddress(t *testing.T) {
	f := startServer(t, defaultLimits, nil)
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(9, &requestcore.Request{ID: "a"}, 5, 5, o) }) // it has no address
	o.want(t, balancer.NotAttempted)
}

// A machine that is cut off says nothing: what waits for a connection there never ran.
func TestConnectTimeout(t *testing.T) {
	f := startServer(t, defaultLimits, func(net.Conn, string) {})
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, o)
		f.servers[1].connections[0].onConnectTimeout()
	})
	o.want(t, balancer.ConnectFailed)
}

// A machine that is cut off is silent on every connection: after one silence, or a connection that never came up,
// the idle ones are not tried one by one.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	for name, silence := range map[string]func(f *ConnectionPools, a *attempt){
		"no answer": func(_ *ConnectionPools, a *attempt) { a.onTimer() },
		"never up":  func(f *ConnectionPools, _ *attempt) { f.servers[1].connections[2].onConnectTimeout() },
	} {
		f := startServer(t, defaultLimits, func(conn net.Conn, line string) {
			if strings.Contains(line, "Oa") {
				conn.Write([]byte("VA 0 Oa\r\n\r\n"))
			}
		})
		first, second, silent, next := make(outcomeRecorder, 1), make(outcomeRecorder, 1), make(outcomeRecorder, 1), make(outcomeRecorder, 1)
		op, slow := &requestcore.Request{ID: "a", Flags: "Oa"}, &requestcore.Request{ID: "b", Flags: "Ob"}
		f.onLoop(f.loop, func() { f.StartAttempt(1, op, 5, 5, first); f.StartAttempt(1, op, 5, 5, second) })
		first.want(t, balancer.Succeeded)
		second.want(t, balancer.Succeeded)
		f.onLoop(f.loop, func() {
			a := f.StartAttempt(1, slow, 5, 5, silent).(*attempt)
			if name == "never up" {
				f.servers[1].waiting = append(f.servers[1].waiting, &attempt{pool: a.pool, settled: true})
				f.servers[1].dial()
			}
			silence(f.ConnectionPools, a)
			if n := len(f.servers[1].idle); n != 0 {
				t.Errorf("%s: %d idle connections are kept", name, n)
			}
		})
		f.onLoop(f.loop, func() { f.StartAttempt(1, op, 5, 5, next) })
		next.want(t, balancer.Succeeded)
	}
}

// Its own time over before the connection is up says nothing against the server.
func TestTimeoutWhileConnecting(t *testing.T) {
	f := startServer(t, defaultLimits, func(net.Conn, string) {})
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, o).(*attempt).onTimer() })
	o.want(t, balancer.NotAttempted)
}

// At the bound executions are piped. Where nobody waits for one any more the others on its connection go on, each
// with its own answer: it was ended for all, so that a client who left cost another its operation, and its server a
// failure. One that has no answer in time still ends it, and what was piped there may have run.
func TestPipelinedBehindCancelledAttempt(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 1
	answer := make(chan bool)
	f := startServer(t, limits, func(conn net.Conn, _ string) {
		<-answer
		conn.Write([]byte("VA 0 Oa\r\n\r\n"))
	})
	first, p := f.startAttempt(5)
	f.wantLine("mg")
	second, _ := f.startAttempt(5)
	f.onLoop(f.loop, p.Cancel)
	first.want(t, balancer.Cancelled)
	answer <- true
	answer <- true
	second.want(t, balancer.Succeeded)
	third, p := f.startAttempt(5)
	fourth, _ := f.startAttempt(5)
	f.onLoop(f.loop, p.(*attempt).onTimer)
	third.want(t, balancer.TimedOut)
	fourth.want(t, balancer.ConnectionLost)
	close(answer)
}

// What is not written whole when the connection breaks never ran: it may be made again whatever it does. The server
// breaks it once all are on their way; by a clock it might break it sooner, and what it had not been given yet would
// go whole by the next connection.
func TestConnectionBreaksBeforeLastByte(t *testing.T) {
	all := make(chan bool)
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) {
		<-all
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	f.onLoop(f.loop, func() {})
	o, first, value := make(outcomeRecorder, 1), make(outcomeRecorder, 1), make([]byte, 64<<10)
	f.onLoop(f.loop, func() {
		f.limits.MaxConnections, f.limits.MaxInFlightPerConnection = 1, 1000
		f.StartAttempt(1, &requestcore.Request{ID: "a", Write: true, Value: value}, 5, 5, first)
	})
	f.wantLine("ms")
	f.onLoop(f.loop, func() { // more than the kernel's buffers hold, since the server reads none of it
		for range 200 {
			f.StartAttempt(1, &requestcore.Request{ID: "b", Write: true, Value: value}, 5, 5, make(outcomeRecorder, 1))
		}
		f.StartAttempt(1, &requestcore.Request{ID: "c", Write: true, Value: value}, 5, 5, o)
	})
	close(all)
	first.want(t, balancer.ConnectionLost)
	o.want(t, balancer.ConnectFailed)
}

func TestProbe(t *testing.T) {
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { conn.Write([]byte("MN\r\n")) })
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.Probe(1, func(how balancer.Outcome) { o <- how }) })
	o.want(t, balancer.Succeeded)
	f.wantLine("mn")
}

// A server that wants nothing new keeps no idle connection and shares in no bound, and what is out there goes on.
func TestRemoveEndpoint(t *testing.T) {
	answer := make(chan bool)
	f := startServer(t, defaultLimits, func(conn net.Conn, _ string) { <-answer; conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	o, _ := f.startAttempt(5)
	f.wantLine("mg")
	f.onLoop(f.loop, func() {
		f.RemoveEndpoint(1)
		if len(f.servers) != 0 {
			t.Errorf("%d servers share in the bound of connections", len(f.servers))
		}
	})
	answer <- true
	o.want(t, balancer.Succeeded)
	f.wantLine("end")
}

// What waits for a connection when its server is told to drain, or when its operation is answered, is never sent.
func TestWaitingAttemptsAreNotSentAfterRemoval(t *testing.T) {
	f := startServer(t, defaultLimits, func(net.Conn, string) {})
	first, second := make(outcomeRecorder, 1), make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() {
		f.StartAttempt(1, &requestcore.Request{ID: "a"}, 5, 5, first)
		f.StartAttempt(1, &requestcore.Request{ID: "b"}, 5, 5, second).CancelIfUnsent()
		f.RemoveEndpoint(1)
	})
	first.want(t, balancer.NotAttempted)
	second.want(t, balancer.NotAttempted)
	time.Sleep(20 * time.Millisecond)
	f.onLoop(f.loop, func() {
		if len(f.lines) > 0 && <-f.lines != "end" || f.connectionCount != 0 {
			t.Errorf("a command was sent, or one of %d connections kept", f.connectionCount)
		}
	})
}

// Behind a slow answer a quick one would wait: while connections may be opened, none is piped.
func TestNoPipeliningBelowConnectionLimit(t *testing.T) {
	f := startServer(t, defaultLimits, func(conn net.Conn, line string) {
		if strings.Contains(line, "Ob") {
			conn.Write([]byte("VA 0 Ob\r\n\r\n"))
		}
	})
	f.startAttempt(5)
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{Key: "k", ID: "b", Flags: "v Ob"}, 5, 5, o) })
	o.want(t, balancer.Succeeded)
}

// Cache servers close what stood idle for long; what is written just then may be lost.
func TestIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 0.1
	f := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	o, _ := f.startAttempt(5)
	o.want(t, balancer.Succeeded)
	f.wantLine("mg")
	f.wantLine("end")
}

// releaseCounter counts how often it is told that its connection is closed.
type releaseCounter struct {
	Codec
	released *int
}

func (c releaseCounter) Release() { *c.released++ }

// Whatever ends a connection, its wire is told, and lets go of what has come: here an execution is given up midway.
func TestCodecIsReleasedWithItsConnection(t *testing.T) {
	f, drops := startServer(t, Limits{MaxConnections: 4, MaxInFlightPerConnection: 1, ConnectTimeout: 1, StallTimeout: 0.03, IdleTimeout: 60}, func(c net.Conn, _ string) { c.Write([]byte("VA 9 Oa\r\nhal")) }), 0
	f.onLoop(f.loop, func() { f.newCodec = func(l ReplyHandler) Codec { return releaseCounter{NewMemcacheCodec(l), &drops} } })
	o, _ := f.startAttempt(0.05)
	<-o
	f.onLoop(f.loop, func() {
		if drops != 1 {
			t.Errorf("it was told %d times", drops)
		}
	})
}

// With more servers than connections, those that were asked first kept the rest from ever being asked.
func TestMoreServersThanConnections(t *testing.T) {
	limits := defaultLimits
	limits.MaxConnections = 20
	f := startServer(t, limits, func(conn net.Conn, _ string) { conn.Write([]byte("VA 0 Oa\r\n\r\n")) })
	for id := uint64(1); id <= 300; id++ {
		o := make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() {
			f.SetEndpoint(id, f.servers[1].addr)
			f.StartAttempt(id, &requestcore.Request{Key: "k", ID: "a", Flags: "v Oa"}, 5, 5, o)
		})
		if o.want(t, balancer.Succeeded); t.Failed() {
			t.Fatalf("at server %d", id)
		}
	}
	f.onLoop(f.loop, func() {
		if f.connectionCount > limits.MaxConnections || f.connectionCount < limits.MaxConnections/2 {
			t.Errorf("%d connections are kept, of %d", f.connectionCount, limits.MaxConnections)
		}
	})
}

// fakeSink counts what it takes of a long value, and how that ended.
type fakeSink struct {
	room, got int
	sum       uint32 // of the bytes
	ending    chan string
}

func (k *fakeSink) OnComplete() { k.ending <- "whole" }
func (k *fakeSink) OnBroken()   { k.ending <- "broken" }
func (k *fakeSink) OnPart(p []byte) int {
	n := min(len(p), k.room)
	k.room, k.got = k.room-n, k.got+n
	k.sum = crc32.Update(k.sum, crc32.IEEETable, p[:n])
	return n
}

// A long value settles its execution at the first bytes, is read no faster than it is taken, and is not cut off by
// what is given up behind it, nor by a stall while it is not taken. One whose server gives nothing more is broken.
// Each counts as sent once, a probe never.
func TestBodyStreams(t *testing.T) {
	const length = 1 << 20
	part := make(chan int)
	limits := defaultLimits
	limits.MaxConnections = 1
	f := startServer(t, limits, func(conn net.Conn, line string) {
		if line == "mn\r\n" {
			conn.Write([]byte("MN\r\n"))
		} else if n := <-part; n > 0 {
			conn.Write([]byte("VA 1048576 Oa\r\n" + strings.Repeat("x", n) + strings.Repeat("\r\n", n/length)))
		}
	})
	probed := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.Probe(1, func(how balancer.Outcome) { probed <- how }) })
	probed.want(t, balancer.Succeeded)
	for _, c := range []struct {
		gives int
		ends  string
	}{{length, "whole"}, {length / 2, "broken"}} {
		settled, k := make(chan requestcore.Result, 1), &fakeSink{ending: make(chan string, 1)}
		f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa"}, 5, 5, resultRecorder(settled)) })
		behind := make(outcomeRecorder, 1)
		f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "b", Flags: "Ob"}, 0.2, 0.2, behind) })
		part <- c.gives
		long := (<-settled).Body
		behind.want(t, balancer.TimedOut)
		late := make(outcomeRecorder, 1) // is not sent behind it
		f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "c", Flags: "Oc"}, 0.05, 0.05, late) })
		late.want(t, balancer.NotAttempted)
		f.onLoop(f.loop, func() {
			l := f.servers[1].connections[0]
			l.onStallTimeout()
			k.room = 1000
			long.StartReading(k)
			if k.got != 1000 || l.socket.In.Len()+k.got > 20<<10 || f.sentAttempts == 0 {
				t.Errorf("%d bytes were taken, %d are held", k.got, l.socket.In.Len())
			}
			k.room = 2 * length
			long.ResumeReading()
		})
		for i := 0; k.ending != nil && len(k.ending) == 0 && i < 200; i++ {
			time.Sleep(10 * time.Millisecond)
			f.onLoop(f.loop, func() {
				if i == 100 && len(f.servers[1].connections) > 0 { // by now nothing more comes
					f.servers[1].connections[0].onStallTimeout()
				}
			})
		}
		if got := <-k.ending; got != c.ends || k.got != c.gives {
			t.Errorf("it ended %s with %d bytes, want %s with %d", got, k.got, c.ends, c.gives)
		}
		go func() { part <- 0 }() // to the one behind
	}
	f.onLoop(f.loop, func() {
		if f.SentAttempts() != 4 {
			t.Errorf("%d are counted as sent, want 4", f.SentAttempts())
		}
	})
}

// resultRecorder takes what an execution settles with.
type resultRecorder chan requestcore.Result

func (r resultRecorder) OnAttemptEnd(_ balancer.Outcome, with requestcore.Result) { r <- with }
func (r resultRecorder) StillWanted() bool                                        { return true }

// A reply comes in two pieces, cut anywhere, and so does the next on that connection: each is its own operation's,
// whole.
func TestReplyInTwoPieces(t *testing.T) {
	for form, c := range map[string]struct {
		reply string
		write bool
		want  balancer.Outcome
	}{
		"a hit":               {"VA 4 Oa h1\r\nV\r\n\r\r\n", false, balancer.Succeeded},
		"a miss":              {"VA 0 h0 Z Oa\r\n\r\n", false, balancer.Succeeded},
		"a receipt":           {"HD Oa c77\r\n", true, balancer.Succeeded},
		"flags the other way": {"HD c77 Oa\r\n", true, balancer.Succeeded},
		"turned away":         {"SERVER_ERROR busy\r\n", false, balancer.Overloaded},
		"and until when":      {"SERVER_ERROR busy 20\r\n", false, balancer.Overloaded},
		"an error":            {"SERVER_ERROR failed\r\n", false, balancer.ServerError},
	} {
		limits := defaultLimits
		limits.StallTimeout = 60 // a busy machine may take its time between two pieces
		f, conns := startListener(t, limits)
		var conn net.Conn
		for cut := range c.reply {
			o := make(outcomeRecorder, 1)
			f.onLoop(f.loop, func() { f.StartAttempt(1, &requestcore.Request{ID: "a", Flags: "Oa", Write: c.write}, 60, 60, o) })
			if conn == nil {
				conn = <-conns
			}
			if readCommand(t, conn); c.write { // and the end of the empty value
				readCommand(t, conn)
			}
			conn.Write([]byte(c.reply[:cut]))
			for begun := cut == 0; !begun; { // until the piece has been read
				f.onLoop(f.loop, func() {
					l := f.servers[1].connections[0]
					begun = l.codec.ReplyBegun() && l.socket.Quiet()
				})
			}
			if len(o) > 0 {
				t.Fatalf("%s: %q is taken for a reply", form, c.reply[:cut])
			}
			conn.Write([]byte(c.reply[cut:]))
			if o.want(t, c.want); t.Failed() {
				t.Fatalf("%s, cut at %d", form, cut)
			}
		}
		f.onLoop(f.loop, func() {
			if f.connectionCount != 1 {
				t.Errorf("%s: %d connections are left", form, f.connectionCount)
			}
		})
	}
}

// A connection takes longer to come up than a repeat's window is: the repeat is told as not sent as that ends, and
// nothing is written for it when the connection is there.
func TestSendDeadlineWhileConnecting(t *testing.T) {
	limits := defaultLimits
	limits.ConnectTimeout = 60
	f, _ := startListener(t, limits)
	at, accept := listenWithFullBacklog(t)
	f.onLoop(f.loop, func() { f.SetEndpoint(2, at) })
	o := make(outcomeRecorder, 1)
	f.onLoop(f.loop, func() { f.StartAttempt(2, &requestcore.Request{Key: "k", ID: "a", Flags: "Oa"}, 60, 0.02, o) })
	o.want(t, balancer.NotAttempted)
	f.onLoop(f.loop, func() {
		if f.servers[2].connecting != 1 {
			t.Error("the connection is up already")
		}
	})
	conn := accept() // the kernel tries again after a second
	for idle := 0; idle == 0; time.Sleep(time.Millisecond) {
		f.onLoop(f.loop, func() { idle = len(f.servers[2].idle) })
	}
	f.onLoop(f.loop, func() { f.RemoveEndpoint(2) })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if heard, err := io.ReadAll(conn); len(heard) > 0 || err != nil {
		t.Errorf("the server read %q, %v", heard, err)
	}
}
