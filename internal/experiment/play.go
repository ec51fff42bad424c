package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/emulator"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/experiment/faultproxy"
)

// Options say how a scenario is played.
type Options struct {
	Seed     uint64
	Router   Program
	Net      int       // the second number of the loopback addresses: 127.NET.x.y
	Dir      string    // for configurations and logs
	Progress io.Writer // nil: none
	Fixed    bool      // the list service of the first router is at the address of the example configuration
}

// Records is all that was seen of a run, by the stand-ins, the clients and the lab, and nothing that a router said.
type Records struct {
	From, To      float64 // when operations could be due
	Fleet         *emulator.Book
	Clients       *emulator.ClientBook
	Told          [][]emulator.Told // by router
	Processes     []RouterProcess
	StopIntervals []StopInterval
	FleetLate     *emulator.Lateness
	ClientsLate   *emulator.Lateness
	Interrupted   bool
	Played        []string             // the faults, as they were played
	WastedWrites  []faultproxy.Sending // what routers wrote where nothing came through
}

// world is a run under way.
type world struct {
	scenario      *Scenario
	options       Options
	types         []*emulator.TrafficType
	fleet         *emulator.Fleet   // the usual pool's
	fleets        []*emulator.Fleet // all pools', the usual one first, then in the scenario's order
	clients       *emulator.Clients
	fleetLoop     *eventloop.Loop
	clientLoop    *eventloop.Loop
	agents        [][]*emulator.Agent // by pool, then by router
	routerNodes   []*routerNode
	budgetFactors map[string]float64 // of the teams' budgets, by faults
	random        *rand.Rand         // of the faults' targets
	startTime     float64
	loopErrors    chan error // of the two loops
	listMoves     int
	net           *faultproxy.Net // nil: there are none
	listAddrs     []string        // where routers ask for the list, through relays

	mu     sync.Mutex
	played []string
	failed error
}

// Play plays a scenario once. An error means that it could not be played; what routers did wrong is in the records.
func Play(ctx context.Context, s *Scenario, o Options) (*Records, error) {
	w, err := begin(ctx, s, o)
	if w == nil {
		return nil, err
	}
	var rec *Records
	if err == nil {
		rec = w.play(ctx)
	}
	w.end()
	if err == nil {
		err = w.failed
	}
	if err != nil {
		return nil, err
	}
	w.collect(rec)
	return rec, nil
}

// begin sets all up and starts the routers. With an error there may be a world that is to be ended.
func begin(ctx context.Context, s *Scenario, o Options) (*world, error) {
	w := &world{scenario: s, options: o, types: s.types(), random: rand.New(rand.NewPCG(o.Seed, 77)), budgetFactors: map[string]float64{}, loopErrors: make(chan error, 2)}
	if err := w.build(); err != nil {
		w.abandon()
		return nil, err
	}
	go func() { w.loopErrors <- w.fleetLoop.Run() }()
	go func() { w.loopErrors <- w.clientLoop.Run() }()
	return w, w.startRouters(ctx)
}

// collect takes together what was seen, once all has ended.
func (w *world) collect(rec *Records) {
	rec.Played = w.played
	rec.Fleet, rec.Clients = &emulator.Book{}, w.clients.Book()
	for _, f := range w.fleets {
		rec.Fleet.Join(f.Book())
	}
	if w.net != nil {
		rec.WastedWrites = w.net.Sent()
	}
	rec.FleetLate, rec.ClientsLate = w.fleet.Late(), w.clients.Late()
	for n := range w.routerNodes {
		var told []emulator.Told
		for _, agents := range w.agents {
			told = append(told, agents[n].Told()...)
		}
		rec.Told = append(rec.Told, told)
	}
	for _, n := range w.routerNodes {
		rec.Processes = append(rec.Processes, n.history()...)
		rec.StopIntervals = append(rec.StopIntervals, n.stops...)
	}
}

// abandon lets go of what was built and never ran.
func (w *world) abandon() {
	for _, f := range w.fleets {
		f.Close()
	}
	if w.net != nil {
		w.net.Close()
	}
}

func (w *world) address(kind, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.options.Net, kind+n/200, 1+n%200, port)
}

// The third number of addresses, by what has them.
const (
	routersAt = 1
	agentsAt  = 2
	serversAt = 10
)

// build sets up the stand-ins. Nothing of theirs runs yet.
func (w *world) build() (err error) {
	if w.fleetLoop, err = eventloop.New(); err != nil {
		return err
	}
	if w.clientLoop, err = eventloop.New(); err != nil {
		return err
	}
	s := w.scenario
	var keys []string
	for n := int(s.Fleet.Filled*float64(s.Clients.Keys)) - 1; n >= 0; n-- { // the most popular last: it stays longest
		keys = append(keys, emulator.Key(n))
	}
	for i := range 1 + len(s.Pools) {
		f := emulator.NewFleet(w.fleetLoop, w.options.Seed+uint64(i)<<32, w.types, emulator.LedgerSpec{AtOnce: s.Ledger.AtOnce,
			Takes: s.Ledger.TakesMS / 1e3, Multiple: s.Ledger.Multiple, Time: s.Ledger.Within, Halt: s.Ledger.Halt},
			emulator.Delay{Base: s.List.Delay, Spread: s.List.Spread})
		f.List().Bound(s.List.Calls)
		w.fleets = append(w.fleets, f)
		servers := s.Fleet.Servers
		if i > 0 {
			servers = s.Pools[i-1].Servers
			f.Named(s.Pools[i-1].Name + "-")
			if s.Pools[i-1].Scheme != "" {
				f.ServeTiles(Layers(), w.tileType(s.Pools[i-1].Name))
			}
		}
		for range servers {
			if _, err = f.Add(w.spec(i), false); err != nil {
				return fmt.Errorf("%w (another --net may be free)", err)
			}
		}
		f.Fill(keys)
		w.agents = append(w.agents, nil)
	}
	w.fleet = w.fleets[0]
	var routers []string
	for n := range s.Routers.Count {
		addr := w.address(routersAt, n, 11211)
		if err = free(addr); err != nil {
			return err
		}
		for i, f := range w.fleets {
			a, err := f.List().Agent(w.address(agentsAt, n, 8500+1000*i))
			if err != nil {
				return fmt.Errorf("%w (another --net may be free)", err)
			}
			w.agents[i] = append(w.agents[i], a)
		}
		routers = append(routers, addr)
		w.routerNodes = append(w.routerNodes, &routerNode{number: n, addr: addr, program: w.options.Router, dir: w.options.Dir, memoryMB: s.Routers.MemoryMB,
			sockets: s.Routers.Sockets, now: w.fleetLoop.Now})
	}
	if s.relayed() {
		if err = w.relays(); err != nil {
			return fmt.Errorf("%w (another --net may be free)", err)
		}
	}
	for n, r := range w.routerNodes {
		r.config = w.scenario.config(n, routers, w.agents[0][n], w.options.Seed, w.peersOf(n))
		r.config["discovery"] = w.listOf(n)
		if s.List.Forgets {
			delete(r.config, "known")
		}
		if len(w.peers()) > 0 {
			r.config["peer_listen"] = w.peers()[n]
		}
		if s.Routers.Doors {
			r.config["ops"] = w.address(routersAt, n, 9400)
		}
		if s.Routers.Folders {
			r.folder = filepath.Join(w.options.Dir, fmt.Sprintf("router-%d.folder", n))
			if err = os.MkdirAll(r.folder, 0o755); err != nil {
				return err
			}
		}
		r.operators = w.operators(n)
	}
	fronts := map[string][]string{} // where tiles are taken, by team
	for _, t := range s.Teams {
		for n := 0; s.hasTiles(t.Name) && n < s.Routers.Count; n++ {
			fronts[t.Name] = append(fronts[t.Name], w.tileFront(n, t.Name))
		}
	}
	w.clients, err = emulator.NewClients(w.clientLoop, w.options.Seed, w.scenario.load(w.types), routers, fronts)
	return err
}

// zones tells whether the routers leave zones as one.
func (w *world) zoneFailoverEnabled() bool {
	return w.scenario.Routers.Zones && !w.options.Router.Plain
}

// keeps tells whether the routers keep what helps their next process.
func (w *world) recoveryEnabled() bool { return w.scenario.Routers.Folders && !w.options.Router.Plain }

func (w *world) peers() (all []string) {
	if w.scenario.Routers.Peers {
		for n := range w.scenario.Routers.Count {
			all = append(all, w.address(routersAt, n, 7946))
		}
	}
	return all
}

// operators gives a router's operators' file as it is to be now; empty without teams.
func (w *world) operators(n int) string {
	if len(w.scenario.Teams) == 0 && !w.zoneFailoverEnabled() && !w.recoveryEnabled() {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lists := func(pool string) string { return w.agents[w.poolIndex(pool)][n].Addr() }
	tileFront := func(team string) string { return w.tileFront(n, team) }
	return w.scenario.operators(lists, tileFront, w.budgetFactors, w.zoneFailoverEnabled(), w.recoveryEnabled())
}

// tileFront is where a router takes a team's map tiles.
func (w *world) tileFront(n int, team string) string {
	i := slices.IndexFunc(w.scenario.Teams, func(t TeamPart) bool { return t.Name == team })
	return w.address(routersAt, n, 8080+i)
}

// at gives the number of a pool among the fleets.
func (w *world) poolIndex(pool string) int {
	return 1 + slices.IndexFunc(w.scenario.Pools, func(p PoolPart) bool { return p.Name == pool })
}

// load gives the clients as the stand-ins take them.
func (s *Scenario) load(types []*emulator.TrafficType) emulator.Load {
	c := s.Clients
	return emulator.Load{Types: types, Rate: c.Rate, Keys: c.Keys, Zipf: c.Zipf, Retries: c.Retries, TryShare: c.TryShare,
		Pause: c.PauseMS / 1e3, Honour: c.Honour, Impatient: c.Impatient, Use: emulator.Connections(c.Connections),
		Most: c.Most, Skew: s.Routers.Skew}
}

// tileType is the traffic type of a pool's tiles.
func (w *world) tileType(pool string) *emulator.TrafficType {
	for _, t := range w.types {
		if t.Scheme == "" {
			continue
		}
		if i := slices.IndexFunc(w.scenario.Teams, func(x TeamPart) bool { return x.Name == t.Tenant }); w.scenario.Teams[i].Pool == pool {
			return t
		}
	}
	return nil
}

// spec draws the next cache server of a pool.
func (w *world) spec(pool int) emulator.Spec {
	fleet := w.fleets[pool]
	f, n, name := w.scenario.Fleet, len(fleet.Servers()), fleet.NextName()
	chance := fleet.Chance("spec/" + name)
	speed := f.Speed[0] + (f.Speed[1]-f.Speed[0])*chance.Float64()
	return emulator.Spec{Name: name, Addr: w.address(serversAt+5*pool, n, 11300), Zone: fmt.Sprintf("zone-%d", n%f.Zones),
		Machine: f.Machines[n/f.Zones%len(f.Machines)], Cell: n / f.Zones / f.Cell, Cores: f.Cores, Speed: speed, Weight: float64(f.Cores), Queue: f.Queue,
		PerConnection: f.PerConnection, Connections: f.Connections, Handshake: f.HandshakeMS / 1e3, Idle: f.Idle,
		Keep: f.Keep, Cancels: f.Cancels, Cold: emulator.Cold{From: f.ColdFrom, Warm: f.Warm, Multiple: w.scenario.Rules.Multiple,
			Fall: w.scenario.Rules.Fall}}
}

// config is what a router is told, in the platform's words.
func (s *Scenario) config(n int, routers []string, agent *emulator.Agent, seed uint64, peers []string) map[string]any {
	ns := func(seconds float64) int64 { return int64(seconds * 1e9) }
	var types []map[string]any
	for _, t := range s.types() {
		types = append(types, map[string]any{"name": t.Name, "effect": wire[t.Effect],
			"keyScope":    map[balancer.DeduplicationScope]string{balancer.ScopeAll: "all", balancer.ScopeZone: "zone", balancer.ScopeCell: "cell"}[t.Group],
			"dedupWindow": ns(t.Window), "promisedTime": ns(t.Promised), "hardStop": ns(t.HardStop), "benefit": t.Benefit,
			"runsIn": t.RunsIn, "allowedOn": t.AllowedOn}) // null where it is not bound
	}
	conf := map[string]any{
		"name": fmt.Sprintf("n%d", n), "listen": routers[n], "discovery": agent.Addr(),
		"seed":   fmt.Sprintf("%08x", uint32(seed)*2654435761+uint32(n)),
		"limits": map[string]any{"cores": s.Routers.Cores, "memory_mb": s.Routers.MemoryMB, "sockets": s.Routers.Sockets},
		"known":  agent.Known(),
		"settings": map[string]any{
			"me": n, "fleetSize": s.Routers.Count, "step": 2000000, "discovery": "pushed", "weights": "nominal",
			"familyInfo": map[string]any{"mode": "through"},
			"limits": map[string]any{"cancelling": s.Fleet.Cancels, "secondCopies": s.Rules.SecondCopies,
				"mostExecutions": s.Rules.MostExecutions, "probes": s.Routers.Probes, "peers": s.Routers.Peers,
				"retryAfter": s.Rules.RetryAfter, "maxRetryAfter": ns(1.2), "connIdle": ns(s.Fleet.Idle),
				"connectTimeout": ns(0.075), "streamsPerConn": s.Fleet.PerConnection},
			"rules": map[string]any{"drainGrace": ns(s.Rules.GraceMS / 1e3), "fall": ns(s.Rules.Fall),
				"startCapacity": s.Fleet.ColdFrom, "tipMultiple": s.Rules.Multiple, "warmWithin": ns(s.Fleet.Warm)},
			"penalties":    map[string]any{"probe": 0.01, "peer": 0.01},
			"trafficTypes": types, "tenants": []any{},
		},
	}
	if s.List.Calls > 0 {
		settings := conf["settings"].(map[string]any)
		settings["discovery"] = "on_request"
		settings["rules"].(map[string]any)["askWithin"] = ns(s.List.Within)
	}
	if len(peers) > 0 {
		conf["peer_listen"], conf["peers"] = peers[n], peers
	}
	return conf
}

const startTimeout = 15 // seconds for a router to become ready: it takes some tenths, and more where all start at once

func (w *world) startRouters(ctx context.Context) error {
	for _, r := range w.routerNodes {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range w.routerNodes {
		if err := r.ready(startTimeout); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// on runs f on a loop and waits for it.
func runOnLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// play lets operations come and faults happen, until all is answered.
func (w *world) play(ctx context.Context) *Records {
	rec := &Records{}
	runOnLoop(w.clientLoop, func() {
		w.startTime = w.clientLoop.Now()
		w.clients.Start(w.scenario.Seconds)
	})
	rec.From, rec.To = w.startTime, w.startTime+w.scenario.Seconds
	halt := make(chan struct{})
	var faults sync.WaitGroup
	for i, f := range w.scenario.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			w.playFault(i, f, halt)
		}()
	}
	longest := w.longestAnswer()
	last := rec.To + longest + 1
	for busy := true; busy && w.clientLoop.Now() < last; {
		select {
		case <-ctx.Done():
			rec.Interrupted = true
			runOnLoop(w.clientLoop, w.clients.Stop)
			last = min(last, w.clientLoop.Now()+longest+0.5)
			ctx = context.Background()
		case <-time.After(20 * time.Millisecond):
		}
		runOnLoop(w.clientLoop, func() { busy = w.clients.Busy() })
		w.progress(rec)
	}
	if rec.Interrupted {
		rec.To = min(rec.To, w.clientLoop.Now())
	}
	close(halt)
	faults.Wait()
	if w.options.Progress != nil {
		fmt.Fprint(w.options.Progress, "\r\x1b[K")
	}
	return rec
}

func (w *world) progress(rec *Records) {
	if w.options.Progress == nil {
		return
	}
	at := w.clientLoop.Now() - rec.From
	fmt.Fprintf(w.options.Progress, "\r\x1b[K%s, %s, seed %d: %.1f of %.0f s", w.scenario.Name, w.options.Router.Name, w.options.Seed, min(at, w.scenario.Seconds),
		w.scenario.Seconds)
}

// end stops routers and stand-ins.
func (w *world) end() {
	var all sync.WaitGroup
	for _, r := range w.routerNodes {
		all.Add(1)
		go func() {
			defer all.Done()
			r.stop(w.patience())
		}()
	}
	all.Wait()
	runOnLoop(w.fleetLoop, w.abandon)
	w.fleetLoop.Post(w.fleetLoop.Stop)
	w.clientLoop.Post(w.clientLoop.Stop)
	<-w.loopErrors
	<-w.loopErrors
}

// longestStop is the longest hard stop of all types, in seconds.
func (w *world) longestStop() (longest float64) {
	for _, t := range w.types {
		longest = max(longest, t.HardStop)
	}
	return longest
}

// longestAnswer is how many seconds after its command an answer may be whole.
func (w *world) longestAnswer() float64 {
	if w.scenario.long() {
		return w.longestStop() + longValueSeconds
	}
	return w.longestStop()
}

// patience is how many seconds a router has to end.
func (w *world) patience() float64 { return w.longestAnswer() + exitMargin }

const exitMargin = 1.2 // seconds after the longest hard stop that a router has to end, by the protocol 0.7, and to exit

// note keeps what was played, with its time.
func (w *world) recordEvent(format string, about ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.played = append(w.played, fmt.Sprintf("%6.2f s  ", w.clientLoop.Now()-w.startTime)+fmt.Sprintf(format, about...))
}

func (w *world) fail(err error) {
	if err != nil {
		w.mu.Lock()
		w.failed = err
		w.mu.Unlock()
	}
}

// draw picks n of the indices below all.
func draw(chance *rand.Rand, all, n int) []int {
	picked := chance.Perm(all)[:min(n, all)]
	slices.Sort(picked)
	return picked
}

// TempDir makes a folder for a run.
func TempDir() (string, error) { return os.MkdirTemp("", "trestle-experiment-") }

var reserved sync.Map // listeners by number

// Reserve finds a second number of loopback addresses that no other lab on this machine uses, beginning with one, and
// holds it until release is called.
func Reserve(first int) (n int, release func(), err error) {
	for i := range 200 {
		n := 16 + (first+i)%200
		at := netip.AddrFrom4([4]byte{127, byte(n), 0, 1})
		if ln, err := net.Listen("tcp", netip.AddrPortFrom(at, 11211).String()); err == nil {
			reserved.Store(n, ln) // a listener that nobody holds would be closed by the collector
			return n, func() { reserved.Delete(n); ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("no second number of loopback addresses is free")
}
