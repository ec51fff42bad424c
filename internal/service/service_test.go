package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// fleet is one cache server and the list service that names it; a read is answered after a while.
func fleet(t *testing.T, while time.Duration) (discovery string) {
	return giving(t, func(conn net.Conn, id, _ string) {
		time.Sleep(while)
		fmt.Fprintf(conn, "VA 2 O%s h1\r\nhi\r\n", id)
	})
}

// giving is one cache server that answers commands by their ids and keys, and the list service that names it.
func giving(t *testing.T, give func(conn net.Conn, id, key string)) (discovery string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewScanner(conn); in.Scan(); {
					for _, f := range strings.Fields(in.Text()) {
						if f[0] == 'O' {
							give(conn, f[1:], strings.Fields(in.Text())[1])
						}
					}
				}
			}()
		}
	}()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`,
			ln.Addr())
	}))
	t.Cleanup(func() { list.CloseClientConnections(); list.Close() })
	return list.Listener.Addr().String()
}

const usual = `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3},
	"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1000000000,"hardStop":2000000000,"benefit":1}]}}`

// assembled gives a service of a configuration with places for its own address, which is free, and the list service's.
func assembled(text, discovery string, log zerolog.Logger) (s *Service, addr string, err error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	addr = free.Addr().String()
	free.Close()
	conf, err := config.Parse(fmt.Appendf(nil, text, addr, discovery), func(string) string { return "" })
	if err == nil {
		s, err = assemble(Setup{Platform: conf}, requestcore.DefaultBalancer, log)
	}
	return s, addr, err
}

// running gives a service that serves, its address, and where its end is told.
func running(t *testing.T, discovery string) (_ *Service, addr string, ended chan error) {
	s, addr, err := assembled(usual, discovery, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- s.loop.Run() }()
	t.Cleanup(func() { s.loop.Post(s.end) }) // before the list service's, which waits for the calls that are out
	for i := 0; ask(addr, "mn") != "MN"; i++ {
		if i > 500 {
			t.Fatal("it does not come to serve")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s, addr, ended
}

// ask sends one command on a connection of its own and gives the first line of the answer, or what went wrong.
func ask(addr, command string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(conn, command+"\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer"
	}
	return strings.TrimSpace(line)
}

const (
	read  = "mg k v Oa1 Pc=t,d=1900"
	again = "mg k v Oa2 Pc=t,d=1900"
)

// From start to exit: it serves, goes on accepting for a while once told to end, finishes what it has taken,
// and ends by itself.
func TestFromStartToExit(t *testing.T) {
	s, addr, ended := running(t, fleet(t, 700*time.Millisecond)) // longer than new connections are taken
	if got := ask(addr, read); got != "VA 2 Oa1" {
		t.Errorf("serving, it answers %q", got)
	}
	s.loop.Post(s.leave)
	if got := ask(addr, again); got != "VA 2 Oa2" {
		t.Errorf("leaving, it answers %q", got)
	}
	select {
	case err := <-ended:
		if err != nil || s.phase != Ended {
			t.Errorf("it ended %s, %v", s.phase, err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it does not end")
	}
	if got := ask(addr, read); got != "no connection" {
		t.Errorf("ended, it answers %q", got)
	}
}

// A client that keeps its connection and sends nothing does not keep the router from ending.
func TestIdleClientDoesNotHoldTheEnd(t *testing.T) {
	s, addr, ended := running(t, fleet(t, 0))
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	s.loop.Post(s.leave)
	<-ended
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("it took %v to end", took)
	}
}

// SIGHUP under way: a file that cannot be used leaves all as it was, one that names another list service moves the
// watch there without a gap, and neither ends the router nor an operation.
func TestNewConfiguration(t *testing.T) {
	old, other := fleet(t, 300*time.Millisecond), fleet(t, 0)
	s, addr, _ := running(t, old)
	defer s.loop.Post(s.end)
	path := filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal)
	go s.obey(signals, func() (Setup, error) {
		conf, err := config.Read(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
		return Setup{Platform: conf}, err
	})
	defer close(signals)
	answer := make(chan string, 1)
	go func() { answer <- ask(addr, read) }()
	for _, c := range []struct{ text, follows string }{
		{"{", old}, // the file is broken
		{fmt.Sprintf(usual, addr, "nowhere"), old},
		{fmt.Sprintf(usual, addr, "127.0.0.1:1"), old}, // nobody is there: the old list service goes on telling
		{fmt.Sprintf(usual, "127.0.0.1:1", other), other},
	} {
		os.WriteFile(path, []byte(c.text), 0o600)
		signals <- syscall.SIGHUP
		var follows string
		for deadline := time.Now().Add(3 * time.Second); follows != c.follows && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
			done := make(chan string)
			s.loop.Post(func() { done <- s.platform.watch.addr })
			follows = <-done
		}
		if follows != c.follows {
			t.Errorf("after %s it follows %s", c.text, follows)
		}
	}
	if got := <-answer; got != "VA 2 Oa1" {
		t.Errorf("an operation under way is answered %q", got)
	}
	if got := ask(addr, again); got != "VA 2 Oa2" || s.listener == nil {
		t.Errorf("moved, it answers %q", got)
	}
}

// Without a list it takes what comes, declines it and is not yet said to serve; the list's silence later
// changes nothing.
func TestStarting(t *testing.T) {
	s, addr, err := assembled(usual, "127.0.0.1:1", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	if got := ask(addr, "mn"); got != "SERVER_ERROR starting" {
		t.Errorf("starting, mn is answered %q", got)
	}
	if got := ask(addr, read); got != "SERVER_ERROR busy" {
		t.Errorf("starting, it answers %q", got)
	}
	s.loop.Post(s.end)
}

// A start with a known list asks for what changed since, of the service that told it alone; and one that is full, which all
// routers ask, it leaves time: calls each 0.1 s kept it full all day.
func TestKnownListIsFollowedAndAFullServiceLeftTime(t *testing.T) {
	calls := make(chan string, 1000)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	at := full.Listener.Addr().String()
	text := strings.Replace(usual, `"settings":{`, `"known":{"generation":7,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]},"settings":{"discovery":"on_request","rules":{"askWithin":4000000000},`, 1)
	s, _, err := assembled(text, at, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	defer s.loop.Post(s.end)
	if first := <-calls; first != "from=7&hold_ms=2000" {
		t.Errorf("it asks first for %q", first)
	}
	if time.Sleep(400 * time.Millisecond); len(calls) > 0 { // the first wait is half a second at the least
		t.Errorf("it called %d times more within 0.4 s", len(calls))
	}
	s.loop.Post(func() { s.platform.stop(); s.platform.follow("localhost" + at[strings.IndexByte(at, ':'):]) })
	if next := <-calls; next != "" {
		t.Errorf("at another address it asks first for %q", next)
	}
}

// One build serves both shapes of a deployment, which the settings alone tell apart, and refuses a mix of them.
func TestBothShapes(t *testing.T) {
	live := `"weights":"live","loadInfo":{"how":"inline","names":["tps"]},"limits":{"peers":%v,"mostExecutions":4},`
	for settings, fault := range map[string]string{
		`"weights":"nominal","limits":{"peers":true,"probes":true,"mostExecutions":3},`: "",
		fmt.Sprintf(live, false): "", fmt.Sprintf(live, true): "settings: limits: peers: true, but",
	} {
		var log strings.Builder
		s, addr, err := assembled(strings.Replace(usual, `"limits":{"mostExecutions":3},`, settings, 1), fleet(t, 0), zerolog.New(&log))
		if fault != "" || err != nil {
			if err == nil || fault == "" || !strings.Contains(err.Error(), fault) {
				t.Errorf("%s: refused with %v", settings, err)
			}
			continue
		}
		if told := strings.Contains(log.String(), "reports of load are not to be had"); told != strings.Contains(settings, "live") {
			t.Errorf("%s: said of reports: %v", settings, told)
		}
		s.log = zerolog.Nop()
		go s.loop.Run()
		for i := 0; ask(addr, "mn") != "MN" && i < 500; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if got := ask(addr, read); got != "VA 2 Oa1" {
			t.Errorf("%s: it answers %q", settings, got)
		}
		s.loop.Post(s.end)
	}
}

// Whatever a cache server keeps back, an operation of any effect has one final answer by its hard stop, and the next command its own.
func TestAnAnswerThatNeverComes(t *testing.T) {
	types := `{"listen":"%s","discovery":"%s","settings":{"limits":{"mostExecutions":3,"cancelling":true},"trafficTypes":[
		{"name":"t","effect":"retryable","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"u","effect":"dedup","keyScope":"all","dedupWindow":20000000,"promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"w","effect":"dedup","keyScope":"zone","promisedTime":50000000,"hardStop":100000000,"benefit":1},
		{"name":"x","promisedTime":50000000,"hardStop":100000000,"benefit":1}]}}`
	for name, give := range map[string]func(conn net.Conn, id, key string){
		"nothing":            func(net.Conn, string, string) {},
		"half a line":        func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2") },
		"a head alone":       func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\n", id) },
		"half a value":       func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id) },
		"all but the end":    func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r", id) },
		"its connection":     func(conn net.Conn, _, _ string) { conn.Close() },
		"another's answer":   func(conn net.Conn, _, _ string) { io.WriteString(conn, "VA 2 Oelse\r\nhi\r\n") },
		"half, then its end": func(conn net.Conn, id, _ string) { fmt.Fprintf(conn, "VA 9 O%s\r\nhalf", id); conn.Close() },
	} {
		s, addr, err := assembled(types, giving(t, give), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		serving(t, s)
		conn, in := asking(t, addr, "", "")
		for _, kind := range []string{"t", "u", "w", "x"} {
			for _, command := range []string{"mg k v O%s1 Pc=%[1]s,d=80\r\nmn\r\n", "ms k 2 O%s2 Pc=%[1]s\r\nhi\r\nmn\r\n"} {
				fmt.Fprintf(conn, command, kind)
				if got, err := in.ReadString('\n'); !strings.HasPrefix(got, "SERVER_ERROR ") {
					t.Errorf("kept back %s: it answers %q, %v", name, got, err)
				}
				if got, err := in.ReadString('\n'); got != "MN\r\n" {
					t.Errorf("kept back %s: the next answer is %q, %v", name, got, err)
				}
			}
		}
		until(t, "an end of all executions", s, func() bool { return s.platform.router.OpenRequests() == 0 && s.front.Open() == 0 })
	}
}

// A burst takes all places while no cache server answers: what comes beyond is declined. Once its clients have left, or its time is
// over, the next operation is sent on.
func TestPlacesComeBackAfterABurst(t *testing.T) {
	for name, c := range map[string]struct {
		limits, stop string
		leave        bool
	}{
		"clients leave, and executions are given up": {`"openCap":20,"cancelling":true`, "60000000000", true},
		"clients leave":     {`"openCap":20`, "2000000000", true},
		"its time is over":  {`"openCap":20`, "300000000", false},
		"and none is known": {`"openCap":20,"mostExecutions":1`, "300000000", false},
	} {
		list := giving(t, func(conn net.Conn, id, key string) {
			if key != "hangs" {
				fmt.Fprintf(conn, "VA 2 O%s\r\nhi\r\n", id)
			}
		})
		text := `{"listen":"%s","discovery":"%s","settings":{"limits":{` + c.limits + `},"trafficTypes":[
			{"name":"t","effect":"retryable","promisedTime":60000000000,"hardStop":` + c.stop + `,"benefit":1}]}}`
		s, addr, err := assembled(text, list, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go s.loop.Run()
		t.Cleanup(func() { s.loop.Post(s.end) })
		serving(t, s)
		conn, _ := asking(t, addr, "", "")
		on(s, func() bool { // the loop is held until all of the burst is there
			for i := range 30 {
				fmt.Fprintf(conn, "mg hangs v Ob%d Pc=t\r\n", i)
			}
			return true
		})
		if c.leave {
			until(t, "a full router", s, func() bool { return s.broker.OpenRequests() == 20 })
			if got := ask(addr, "mg k v Oc1 Pc=t"); got != "SERVER_ERROR busy" {
				t.Errorf("%s: full, it answers %q", name, got)
			}
			conn.Close()
		}
		until(t, "an end of all that was out", s, func() bool { return s.broker.OpenRequests() == 0 })
		if got := ask(addr, "mg k v Oc2 Pc=t"); got != "VA 2 Oc2" {
			t.Errorf("%s: after the burst it answers %q", name, got)
		}
	}
}
