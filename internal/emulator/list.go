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

// Delay is how many seconds a change takes to reach an agent: Base, plus a random time of up to Spread.
type Delay struct{ Base, Spread float64 }

// List is the list service. Each router has its own agent, which learns of each change after a delay and in the order
// of the changes. List may be called from any goroutine.
type List struct {
	mu      sync.Mutex
	now     func() float64
	delay   Delay
	rng     *rand.Rand
	changes []listChange // all changes of a run; the first has generation 1
	agents  []*Agent

	callRate  float64 // calls per second that it serves for all routers together; 0: no limit
	busyUntil float64 // when all admitted calls are served
}

const (
	maxCallWait = 2.0   // seconds; a call that would be served later than that is rejected
	rejectCost  = 0.25  // the service time of a rejection, as a fraction of a call's
	watchGap    = 0.200 // seconds; a watch continued within this time after its last answer is not a new call
)

// LimitRate limits the service to this many calls per second. Calls that would wait too long are rejected.
func (l *List) LimitRate(calls float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callRate = calls
}

// admitCall queues a call. It returns how many seconds the call waits, and whether it is admitted or rejected.
func (l *List) admitCall(now float64) (wait float64, admitted bool) {
	if l.callRate <= 0 {
		return 0, true
	}
	l.busyUntil = max(l.busyUntil, now)
	if admitted = l.busyUntil+1/l.callRate-now <= maxCallWait; admitted {
		l.busyUntil += 1 / l.callRate
	} else {
		l.busyUntil += rejectCost / l.callRate
	}
	return l.busyUntil - now, admitted
}

type listChange struct {
	at     float64
	entry  listEntry
	server *Server
}

// listEntry is one cache server in the list service's JSON.
type listEntry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Machine string  `json:"machineType"`
	Cell    int     `json:"cell"`
	Mode    Mode    `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

type listResponse struct {
	Generation int         `json:"generation"`
	Full       bool        `json:"reset"`
	Entries    []listEntry `json:"instances"`
}

// Report is a change of one cache server that an agent reported to its router.
type Report struct {
	At     float64
	Server string
	Mode   Mode
}

func newList(now func() float64, delay Delay, rng *rand.Rand) *List {
	return &List{now: now, delay: delay, rng: rng}
}

// recordChange adds a change to the list if the server's listed mode or start time has changed.
func (l *List) recordChange(server *Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mode := server.listedMode()
	if mode == server.lastListed && server.started == server.lastListedStart {
		return
	}
	server.lastListed, server.lastListedStart = mode, server.started
	l.changes = append(l.changes, listChange{at: l.now(), entry: listEntry{ID: server.Name, Addr: server.Addr,
		Zone: server.Zone, Machine: server.Machine, Cell: server.Cell, Mode: mode, Weight: server.Weight,
		Started: int64(server.started * 1e3)}, server: server})
	for _, agent := range l.agents {
		agent.scheduleChanges()
	}
}

// Agent is the list service as one router sees it.
type Agent struct {
	list               *List
	visibleAt          []float64 // when the agent learns of each change
	reportedModes      map[string]Mode
	reports            []Report
	reportedGeneration int                         // the generation last sent to the router
	lastReport         float64                     // when it was sent
	addressOf          func(server *Server) string // a server's address for the router; nil: the server's own
	server             *http.Server
	servers            []*http.Server // including those at former addresses
	addr               string

	// Faults; they may overlap.
	silent, refusing, generationsBehind int
	extraDelays                         []float64 // extra seconds until the agent learns of a change
	frozenAt                            []int     // highest generations that it may reach
}

// Agent starts an agent for a router, listening at addr. It knows all earlier changes without a delay.
func (l *List) Agent(addr string) (*Agent, error) {
	l.mu.Lock()
	agent := &Agent{list: l, addr: addr, reportedModes: map[string]Mode{}}
	for range l.changes {
		agent.visibleAt = append(agent.visibleAt, 0)
	}
	agent.reportedGeneration = len(l.changes)
	l.agents = append(l.agents, agent)
	l.mu.Unlock()
	return agent, agent.listen(addr)
}

// SetAddresses makes the agent list other addresses of the cache servers, which only its router uses.
func (a *Agent) SetAddresses(addressOf func(server *Server) string) {
	a.withLock(func() { a.addressOf = addressOf })
}

// scheduleChanges draws when the agent learns of the newest changes.
func (a *Agent) scheduleChanges() {
	for n := len(a.visibleAt); n < len(a.list.changes); n++ {
		at := a.list.changes[n].at + a.list.delay.Base + a.list.delay.Spread*a.list.rng.Float64()
		if n > 0 {
			at = max(at, a.visibleAt[n-1])
		}
		a.visibleAt = append(a.visibleAt, at)
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
	a.list.mu.Lock()
	a.server, a.addr, a.servers = server, addr, append(a.servers, server)
	a.list.mu.Unlock()
	go server.Serve(ln)
	return nil
}

// Addr returns the address at which the agent listens.
func (a *Agent) Addr() string {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	return a.addr
}

// generation returns the newest generation that the agent knows.
func (a *Agent) generation() int {
	now := a.list.now()
	for _, extra := range a.extraDelays {
		now -= extra
	}
	n := 0
	for n < len(a.visibleAt) && a.visibleAt[n] <= now {
		n++
	}
	for _, limit := range a.frozenAt {
		n = min(n, limit)
	}
	if a.generationsBehind > 0 {
		n = max(0, n-a.generationsBehind)
	}
	return n
}

// responseSince returns the changes after generation from up to generation to, or the full list.
func (a *Agent) responseSince(from, to int, full bool) listResponse {
	latest, order := map[string]listEntry{}, []string(nil)
	for _, c := range a.list.changes[from:to] {
		if _, seen := latest[c.entry.ID]; !seen {
			order = append(order, c.entry.ID)
		}
		if latest[c.entry.ID] = c.entry; a.addressOf != nil {
			e := c.entry
			e.Addr = a.addressOf(c.server)
			latest[e.ID] = e
		}
	}
	response := listResponse{Generation: to, Full: full, Entries: []listEntry{}}
	for _, id := range order {
		if e := latest[id]; !full || e.Mode != Gone {
			response.Entries = append(response.Entries, e)
		}
	}
	return response
}

const pollInterval = 2 * time.Millisecond // between checks for changes: far below the delay of any list service

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	from, parseError := strconv.Atoi(r.URL.Query().Get("from"))
	holdMillis, _ := strconv.ParseFloat(r.URL.Query().Get("hold_ms"), 64)
	a.list.mu.Lock()
	now := a.list.now()
	wait, admitted := 0.0, true
	if parseError != nil || now-a.lastReport > watchGap {
		wait, admitted = a.list.admitCall(now)
	}
	a.list.mu.Unlock()
	if !admitted {
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(wait * float64(time.Second))):
	}
	holdUntil := a.list.now() + min(max(holdMillis, 0), 60e3)/1e3
	for {
		a.list.mu.Lock()
		newest, silent := a.generation(), a.silent > 0
		full := parseError != nil || from < 0 || from > len(a.list.changes) || newest < from && a.generationsBehind > 0
		if !silent && (full || newest > from || a.list.now() >= holdUntil) {
			if full {
				from = 0
			}
			response := a.responseSince(min(from, newest), newest, full)
			a.list.mu.Unlock()
			a.write(w, response)
			return
		}
		a.list.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// write sends a response and records the changes that it reported. The time of the answer is recorded before it is
// sent, because the router may continue its watch before this goroutine runs again.
func (a *Agent) write(w http.ResponseWriter, response listResponse) {
	body, _ := json.Marshal(response) // can't fail: plain fields only
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.list.mu.Lock()
	previous := a.lastReport
	a.lastReport = a.list.now()
	a.list.mu.Unlock()
	_, err := w.Write(body)
	if err == nil {
		w.(http.Flusher).Flush()
	}
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	if err != nil {
		a.lastReport = previous
		return
	}
	a.recordReports(response)
	a.reportedGeneration, a.lastReport = response.Generation, a.list.now()
}

func (a *Agent) recordReports(response listResponse) {
	now, listed := a.list.now(), map[string]bool{}
	for _, e := range response.Entries {
		listed[e.ID] = true
		a.recordReport(now, e.ID, e.Mode)
	}
	if response.Full {
		for id := range a.reportedModes {
			if !listed[id] {
				a.recordReport(now, id, Gone)
			}
		}
	}
}

func (a *Agent) recordReport(now float64, server string, mode Mode) {
	if a.reportedModes[server] == mode || a.reportedModes[server] == "" && mode == Gone {
		return
	}
	a.reportedModes[server] = mode
	a.reports = append(a.reports, Report{At: now, Server: server, Mode: mode})
}

// Reports returns the reported changes in order.
func (a *Agent) Reports() []Report {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	return append([]Report(nil), a.reports...)
}

// LastList returns the list as the router last received it, in the list service's JSON. It goes into the router's
// configuration, so that a new process of that router starts with it.
func (a *Agent) LastList() json.RawMessage {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	newest := a.generation()
	if a.list.callRate > 0 {
		newest = a.reportedGeneration // only this router calls, so its machine has received nothing newer
	}
	response := a.responseSince(0, newest, true)
	body, _ := json.Marshal(response)
	return body
}

// Move makes the agent listen at another address. The old address closes 1.5 s later, as in a planned move.
func (a *Agent) Move(addr string) error {
	a.list.mu.Lock()
	old := a.server
	a.list.mu.Unlock()
	if err := a.listen(addr); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	return nil
}

// withLock calls f with the list's lock held.
func (a *Agent) withLock(f func()) {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	f()
}

// refuse makes new connections fail and closes open ones. It is undone by accept.
func (a *Agent) refuse() {
	a.list.mu.Lock()
	a.refusing++
	server := a.server
	a.list.mu.Unlock()
	server.Close()
}

func (a *Agent) accept() error {
	a.list.mu.Lock()
	a.refusing--
	stillRefusing, addr := a.refusing > 0, a.addr
	a.list.mu.Unlock()
	if stillRefusing {
		return nil
	}
	return a.listen(addr)
}

func (l *List) close() {
	l.mu.Lock()
	agents := l.agents
	l.mu.Unlock()
	for _, agent := range agents {
		for _, server := range agent.servers {
			server.Close()
		}
	}
}
