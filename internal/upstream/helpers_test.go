package upstream

import (
	"bufio"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// outcomeRecorder notes how an attempt ended.
type outcomeRecorder chan balancer.Outcome

func (outcome outcomeRecorder) OnAttemptEnd(how balancer.Outcome, _ requestcore.Result) {
	outcome <- how
}

func (outcome outcomeRecorder) StillWanted() bool { return true }

func (outcome outcomeRecorder) want(t *testing.T, want balancer.Outcome) {
	t.Helper()
	select {
	case got := <-outcome:
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
	pools, conns := startListener(t, limits)
	pools.lines = make(chan string, 10000)
	go func() {
		for conn := range conns {
			go func() {
				in := bufio.NewReader(conn)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						pools.lines <- "end"
						return
					}
					pools.lines <- line
					serve(conn, line)
				}
			}()
		}
	}()
	return pools
}

// startListener is one cache server, known as 1, that does nothing with its connections.
func startListener(t *testing.T, limits Limits) (pools testPools, conns chan net.Conn) {
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
	pools = testPools{t: t}
	pools.onLoop(l, func() {
		pools.ConnectionPools = New(l, limits, NewMemcacheCodec, zerolog.Nop())
		pools.SetEndpoint(1, netip.MustParseAddrPort(ln.Addr().String()))
	})
	return pools, conns
}

// listenWithFullBacklog is an address whose backlog is full, so that connections do not come up there, until they are
// accepted: accept gives the last.
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
func (pools testPools) onLoop(l *eventloop.Loop, call func()) {
	done := make(chan bool)
	l.Post(func() { call(); close(done) })
	<-done
}

// startAttemptAt starts an attempt on the loop.
func (pools testPools) startAttemptAt(
	id uint64, request *requestcore.Request, timeout, sendWithin float64, observer requestcore.AttemptObserver,
) {
	pools.onLoop(pools.loop, func() { pools.StartAttempt(id, request, timeout, sendWithin, observer) })
}

// startRead starts a read of a key at server 1, and gives what it ends as.
func (pools testPools) startRead(limit float64) (outcome outcomeRecorder, p requestcore.PendingAttempt) {
	outcome = make(outcomeRecorder, 1)
	pools.onLoop(pools.loop, func() {
		request := &requestcore.Request{Key: "k", ID: "a", Flags: "v Oa", Figures: "c=x,d=9"}
		p = pools.StartAttempt(1, request, limit, limit, outcome)
	})
	return outcome, p
}

func (pools testPools) wantLine(want string) {
	pools.t.Helper()
	select {
	case got := <-pools.lines:
		if !strings.HasPrefix(got, want) {
			pools.t.Errorf("the server read %q, want %q", got, want)
		}
	case <-time.After(5 * time.Second):
		pools.t.Errorf("the server read no %q", want)
	}
}

var defaultLimits = Limits{
	MaxConnections:           8,
	MaxInFlightPerConnection: 4,
	ConnectTimeout:           1,
	StallTimeout:             0.05,
	IdleTimeout:              60,
}

// endFunc does something as soon as an attempt has ended.
type endFunc func()

func (pools endFunc) OnAttemptEnd(balancer.Outcome, requestcore.Result) { pools() }

func (pools endFunc) StillWanted() bool { return true }

// resultRecorder takes what an attempt settles with.
type resultRecorder chan requestcore.Result

func (r resultRecorder) OnAttemptEnd(_ balancer.Outcome, with requestcore.Result) { r <- with }

func (r resultRecorder) StillWanted() bool { return true }
