package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Delay is how long news take: at least Base, and up to Spread more.
type Delay struct{ Base, Spread float64 }

// List is the list service. Each router has an agent of its own, which learns of a change late, and after those before
// it. Its calls may come from any goroutine.
type List struct {
	mu      sync.Mutex
	now     func() float64
	delay   Delay
	chance  *rand.Rand
	changes []change // all of a run, the first has generation 1
	agents  []*Agent

	calls float64 // that it takes a second, from all routers together; 0: any number
	until float64 // when it has answered all that it has taken
}

const (
	patience  = 2.0   // seconds: a call that would wait longer for its turn is turned away
	declining = 0.25  // of a call's time is what turning one away takes
	goingOn   = 0.200 // seconds after its last answer a watch goes on and is no new call
)

// Bound makes it take so many calls a second; those that wait too long are turned away.
func (l *List) Bound(calls float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = calls
}

// take queues a call: it tells for how long, or that the call is turned away.
func (l *List) take(now float64) (wait float64, taken bool) {
	if l.calls <= 0 {
		return 0, true
	}
	l.until = max(l.until, now)
	if taken = l.until+1/l.calls-now <= patience; taken {
		l.until += 1 / l.calls
	} else {
		l.until += declining / l.calls
	}
	return l.until - now, taken
}

type change struct {
	at    float64
	entry entry
	of    *Server
}

// entry is one cache server, in the protocol's words.
type entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Machine string  `json:"machineType"`
	Cell    int     `json:"cell"`
	Mode    Mode    `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

type answer struct {
	Generation int     `json:"generation"`
	Whole      bool    `json:"reset"`
	Entries    []entry `json:"instances"`
}

// Told is what an agent wrote to its router of one cache server that changed for it.
type Told struct {
	At     float64
	Server string
	Mode   Mode
}

func newList(now func() float64, delay Delay, chance *rand.Rand) *List {
	return &List{now: now, delay: delay, chance: chance}
}

// change takes what has become of a server.
func (l *List) change(s *Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mode := s.listed()
	if mode == s.lastListed && s.started == s.lastStarted {
		return
	}
	s.lastListed, s.lastStarted = mode, s.started
	l.changes = append(l.changes, change{at: l.now(), entry: entry{ID: s.Name, Addr: s.Addr, Zone: s.Zone,
		Machine: s.Machine, Cell: s.Cell, Mode: mode, Weight: s.Weight, Started: int64(s.started * 1e3)}, of: s})
	for _, a := range l.agents {
		a.plan()
	}
}

// Agent is the list service as one router sees it.
type Agent struct {
	l       *List
	visible []float64 // when it learns of each change
	shown   map[string]Mode
	told    []Told
	known   int                    // the generation that it last told
	last    float64                // when
	via     func(s *Server) string // where its router reaches a cache server; nil: at its own address
	server  *http.Server
	all     []*http.Server // also those that it has moved from
	addr    string

	// Faults; they may overlap.
	silent, refusing, old int
	behind                []float64 // seconds that news take longer
	frozen                []int     // generations beyond which it learns nothing
}

// Agent makes one for a router at an address. What was the case before is known at once.
func (l *List) Agent(addr string) (*Agent, error) {
	l.mu.Lock()
	a := &Agent{l: l, addr: addr, shown: map[string]Mode{}}
	for range l.changes {
		a.visible = append(a.visible, 0)
	}
	a.known = len(l.changes)
	l.agents = append(l.agents, a)
	l.mu.Unlock()
	return a, a.listen(addr)
}

// Via has the agent name other addresses of cache servers: those at which its router alone reaches them.
func (a *Agent) Via(via func(s *Server) string) { a.with(func() { a.via = via }) }

// plan draws when the agent learns of the newest change.
func (a *Agent) plan() {
	for n := len(a.visible); n < len(a.l.changes); n++ {
		at := a.l.changes[n].at + a.l.delay.Base + a.l.delay.Spread*a.l.chance.Float64()
		if n > 0 {
			at = max(at, a.visible[n-1])
		}
		a.visible = append(a.visible, at)
	}
}

func (a *Agent) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	a.l.mu.Lock()
	a.server, a.addr, a.all = server, addr, append(a.all, server)
	a.l.mu.Unlock()
	go server.Serve(ln)
	return nil
}

// Addr is where it listens.
func (a *Agent) Addr() string {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	return a.addr
}

// generation is the newest that it knows.
func (a *Agent) generation() int {
	now := a.l.now()
	for _, more := range a.behind {
		now -= more
	}
	n := 0
	for n < len(a.visible) && a.visible[n] <= now {
		n++
	}
	for _, most := range a.frozen {
		n = min(n, most)
	}
	if a.old > 0 {
		n = max(0, n-a.old)
	}
	return n
}

// since gives what changed after a generation, or the whole list.
func (a *Agent) since(from, to int, whole bool) answer {
	last, order := map[string]entry{}, []string(nil)
	for _, c := range a.l.changes[from:to] {
		if _, there := last[c.entry.ID]; !there {
			order = append(order, c.entry.ID)
		}
		if last[c.entry.ID] = c.entry; a.via != nil {
			e := c.entry
			e.Addr = a.via(c.of)
			last[e.ID] = e
		}
	}
	out := answer{Generation: to, Whole: whole, Entries: []entry{}}
	for _, id := range order {
		if e := last[id]; !whole || e.Mode != Gone {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

const looking = 2 * time.Millisecond // between two looks for news: far below the delays of any list

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	from, asked := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	a.l.mu.Lock()
	now := a.l.now()
	wait, taken := 0.0, true
	if asked != nil || now-a.last > goingOn {
		wait, taken = a.l.take(now)
	}
	a.l.mu.Unlock()
	if !taken {
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(wait * float64(time.Second))):
	}
	until := a.l.now() + min(max(hold, 0), 60e3)/1e3
	for {
		a.l.mu.Lock()
		newest, silent := a.generation(), a.silent > 0
		whole := asked != nil || from < 0 || from > len(a.l.changes) || newest < from && a.old > 0
		if !silent && (whole || newest > from || a.l.now() >= until) {
			if whole {
				from = 0
			}
			out := a.since(min(from, newest), newest, whole)
			a.l.mu.Unlock()
			a.write(w, out)
			return
		}
		a.l.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(looking):
		}
	}
}

// write sends an answer and notes what it told.
func (a *Agent) write(w http.ResponseWriter, out answer) {
	body, _ := json.Marshal(out) // plain fields only
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		return
	}
	w.(http.Flusher).Flush()
	a.l.mu.Lock()
	a.note(out)
	a.known, a.last = out.Generation, a.l.now()
	a.l.mu.Unlock()
}

func (a *Agent) note(out answer) {
	now, named := a.l.now(), map[string]bool{}
	for _, e := range out.Entries {
		named[e.ID] = true
		a.noteOne(now, e.ID, e.Mode)
	}
	if out.Whole {
		for id := range a.shown {
			if !named[id] {
				a.noteOne(now, id, Gone)
			}
		}
	}
}

func (a *Agent) noteOne(now float64, id string, mode Mode) {
	if a.shown[id] == mode || a.shown[id] == "" && mode == Gone {
		return
	}
	a.shown[id] = mode
	a.told = append(a.told, Told{At: now, Server: id, Mode: mode})
}

// Told gives what was told, in its order.
func (a *Agent) Told() []Told {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	return append([]Told(nil), a.told...)
}

// Known gives the list as the router last had it, in the list's form, for its configuration. A new process of that
// router starts with it.
func (a *Agent) Known() json.RawMessage {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	newest := a.generation()
	if a.l.calls > 0 {
		newest = a.known // nobody else asks, so nothing later has come to the router's machine
	}
	out := a.since(0, newest, true)
	body, _ := json.Marshal(out)
	return body
}

// Move makes it listen elsewhere; the old address goes after a while, as its operators would have it.
func (a *Agent) Move(addr string) error {
	a.l.mu.Lock()
	old := a.server
	a.l.mu.Unlock()
	if err := a.listen(addr); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	return nil
}

// with calls f where nothing else changes.
func (a *Agent) with(f func()) {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	f()
}

// refuse makes new connections fail, and ends those that are open; accept undoes it.
func (a *Agent) refuse() {
	a.l.mu.Lock()
	a.refusing++
	server := a.server
	a.l.mu.Unlock()
	server.Close()
}

func (a *Agent) accept() error {
	a.l.mu.Lock()
	a.refusing--
	still, addr := a.refusing > 0, a.addr
	a.l.mu.Unlock()
	if still {
		return nil
	}
	return a.listen(addr)
}

func (l *List) close() {
	l.mu.Lock()
	agents := l.agents
	l.mu.Unlock()
	for _, a := range agents {
		for _, server := range a.all {
			server.Close()
		}
	}
}
