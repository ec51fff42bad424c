package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// faultyRouter is a router that breaks a rule in the way named by fault, after it has served for one second.
type faultyRouter struct {
	fault   string
	began   time.Time
	mu      sync.Mutex
	servers []string // addresses of the ready servers; with the fault "drained", of all that ever were ready
}

// runFaultyRouter runs a faulty router until SIGTERM.
func runFaultyRouter(fault string) {
	var conf struct{ Listen, Discovery string }
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil || json.Unmarshal(text, &conf) != nil {
		panic("no configuration")
	}
	s := &faultyRouter{fault: fault, began: time.Now()}
	s.updateServers(conf.Discovery)
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.updateServers(conf.Discovery)
		}
	}()
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			if conn, err := ln.Accept(); err == nil {
				go s.serve(conn)
			}
		}
	}()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM)
	<-end
}

// updateServers reads the full list. With the fault "drained" it keeps servers that are no longer ready. With "flood"
// it keeps only the last server with a start time.
func (s *faultyRouter) updateServers(list string) {
	got, err := http.Get("http://" + list + "/catalog/members")
	if err != nil {
		return
	}
	defer got.Body.Close()
	var l struct {
		Instances []struct {
			HostPort, Lifecycle string
			StartedAtMs         int64
		}
	}
	if json.NewDecoder(got.Body).Decode(&l) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != "drained" {
		s.servers = nil
	}
	for _, e := range l.Instances {
		if e.Lifecycle == "ready" && !slices.Contains(s.servers, e.HostPort) {
			s.servers = append(s.servers, e.HostPort)
		}
	}
	for _, e := range l.Instances {
		if s.fault == "flood" && e.Lifecycle == "ready" && e.StartedAtMs > 0 {
			s.servers = []string{e.HostPort}
		}
	}
}

func (s *faultyRouter) server(id string, n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[(int(crc32.ChecksumIEEE([]byte(id)))+n)%len(s.servers)]
}

func (s *faultyRouter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "mn") {
			io.WriteString(conn, "MN\r\n")
			continue
		}
		if strings.HasPrefix(line, "ms ") {
			var key string
			var length int
			fmt.Sscanf(line, "ms %s %d", &key, &length)
			value := make([]byte, length+2)
			if _, err := io.ReadFull(in, value); err != nil {
				return
			}
			line += string(value)
		}
		id := line[strings.Index(line, " O")+2:]
		id = id[:strings.IndexAny(id, " \r")]
		bad := time.Since(s.began) > time.Second && (crc32.ChecksumIEEE([]byte(id))%10 == 0 || s.fault == "flood")
		if !s.answer(conn, line, id, bad) {
			return
		}
	}
}

// answer serves one command, or breaks the rule if bad. It returns false if the connection is to be closed.
func (s *faultyRouter) answer(conn net.Conn, line, id string, bad bool) bool {
	if bad && s.fault == "silent" {
		time.Sleep(2 * time.Second)
	}
	if bad && s.fault == "flood" {
		for range 20 {
			go s.sendCommand(line, id, 0)
		}
	}
	text, err := s.sendCommand(line, id, 0)
	switch {
	case bad && s.fault == "lose":
		return false
	case bad && s.fault == "resend" && strings.Contains(line, "c=pay"):
		text, err = s.sendCommand(line, id, 1)
	case bad && s.fault == "twice":
		text += text
	case bad && s.fault == "cut" && len(text) > 1<<16:
		io.WriteString(conn, text[:len(text)/2])
		return false
	case bad && s.fault == "garble" && len(text) > 1<<16:
		text = text[:70000] + "?" + text[70001:]
	case bad && s.fault == "made-up" && strings.HasPrefix(line, "mg"):
		text = "VA 2 O" + id + "\r\nhi\r\n"
	case bad && s.fault == "after":
		time.AfterFunc(150*time.Millisecond, func() { s.sendCommand(line, id, 1) })
	}
	if err != nil {
		text = "SERVER_ERROR failed\r\n"
	}
	io.WriteString(conn, text)
	return true
}

// sendCommand sends a command to a cache server and returns its whole answer.
func (s *faultyRouter) sendCommand(line, id string, n int) (string, error) {
	conn, err := net.DialTimeout("tcp", s.server(id, n), 300*time.Millisecond)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	io.WriteString(conn, line)
	in := bufio.NewReader(conn)
	text, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(text, "VA ") {
		return text, err
	}
	var length int
	fmt.Sscanf(text, "VA %d", &length)
	value := make([]byte, length+2)
	_, err = io.ReadFull(in, value)
	return text + string(value), err
}

// The judge reports a router that breaks a rule, with the number of that rule, and reports nothing for the same router
// without the fault.
func TestRoutersThatBreakRulesAreReported(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	const small = "name = \"s\"\nseconds = 3\nsettle = 0.5\n[fleet]\nservers = 4\ncores = 4\nwarm = 5\n[routers]\ncount = 1\n[list]\ndelay = 0.05\nspread = 0.05\n[clients]\nrate = 120\n"
	drain := "[[fault]]\nkind = \"drain\"\ntarget = \"server:1\"\nat = 0.5\nfor = 2.4\n"
	cold := "[rules]\nfall = 0.5\nmultiple = 1.5\n[[fault]]\nkind = \"restart\"\ntarget = \"server:0\"\nat = 0.2\n"
	for how, c := range map[string]struct {
		extra string
		rule  int
	}{
		"honest": {drain, -1}, "lose": {"", 1}, "silent": {"", 1}, "twice": {"", 1}, "made-up": {"", 1}, "after": {"", 1},
		"resend": {"", 2}, "drained": {drain, 3}, "flood": {cold, 4},
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			// On a busy machine, the lab may run late near all breaches of the rule under test and near no others. Such
			// a run is valid, but proves nothing about that rule, and is repeated.
			has := func(all []Breach) bool {
				return slices.ContainsFunc(all, func(b Breach) bool { return b.Rule == c.rule })
			}
			r := playUntilConclusive(t, scenario(t, small+c.extra), routerProgram(t, "bad:"+how), func(r Result) bool { return has(r.Breaches) || !has(r.Doubtful) })
			rules := map[int]int{}
			for _, b := range r.Breaches {
				rules[b.Rule]++
			}
			if c.rule < 0 && len(rules) > 0 || c.rule >= 0 && rules[c.rule] == 0 {
				t.Errorf("breaches by rule: %v, want rule %d; verdict %s; doubtful: %v; the lab was late by %.0f ms at most", rules, c.rule, r.Verdict,
					r.Doubtful, r.Figures.LabLateMax)
				for _, b := range r.Breaches[:min(1, len(r.Breaches))] {
					t.Log(b, strings.Join(b.Course[:min(20, len(b.Course))], "\n"))
				}
			}
		})
	}
}
