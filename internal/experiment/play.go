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

// Options are the options of a run.
type Options struct {
	Seed     uint64
	Router   Program
	Net      int       // second byte of the loopback addresses: 127.NET.x.y
	Dir      string    // folder of configurations and logs
	Progress io.Writer // nil for no progress display
	Fixed    bool      // the first router's list service has the address of the example configuration
}

// Records are the records of a run by the emulated servers, the clients and the lab. They contain no data from routers.
type Records struct {
	From, To      float64 // interval in which requests are due
	Fleet         *emulator.ServerRecords
	Clients       *emulator.ClientRecords
	Reports       [][]emulator.Report // by router
	Processes     []RouterProcess
	StopIntervals []StopInterval
	FleetLate     *emulator.Lateness
	ClientsLate   *emulator.Lateness
	Interrupted   bool
	Played        []string                 // the faults with the times at which they began and ended
	WastedWrites  []faultproxy.BlockedSend // writes of routers to connections that relays had cut
}

// runState is the state of a run.
type runState struct {
	scenario      *Scenario
	options       Options
	types         []*emulator.TrafficType
	fleet         *emulator.Fleet   // of the default pool
	fleets        []*emulator.Fleet // of all pools: the default one, then the others in the scenario's order
	clients       *emulator.Clients
	fleetLoop     *eventloop.Loop
	clientLoop    *eventloop.Loop
	agents        [][]*emulator.Agent // by pool, then by router
	routerNodes   []*routerNode
	budgetFactors map[string]float64 // by team: factors on the budgets, set by faults
	random        *rand.Rand         // draws random targets of faults
	startTime     float64
	loopErrors    chan error // receives the errors of the two event loops
	listMoves     int
	net           *faultproxy.Network // nil without relays
	listAddrs     []string            // by router: address of the relay to its list service

	mu     sync.Mutex
	played []string
	failed error
}

// Play plays a scenario once. It returns an error if the scenario could not be played. Faults of routers are in the
// records.
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

// begin builds the run and starts the routers. If it also returns a runState with an error, the caller has to end that
// run.
func begin(ctx context.Context, s *Scenario, o Options) (*runState, error) {
	w := &runState{scenario: s, options: o, types: s.trafficClasses(), random: rand.New(rand.NewPCG(o.Seed, 77)), budgetFactors: map[string]float64{}, loopErrors: make(chan error, 2)}
	if err := w.build(); err != nil {
		w.abandon()
		return nil, err
	}
	go func() { w.loopErrors <- w.fleetLoop.Run() }()
	go func() { w.loopErrors <- w.clientLoop.Run() }()
	return w, w.startRouters(ctx)
}

// collect fills in the records after all processes have ended.
func (w *runState) collect(rec *Records) {
	rec.Played = w.played
	rec.Fleet, rec.Clients = &emulator.ServerRecords{}, w.clients.Records()
	for _, f := range w.fleets {
		rec.Fleet.Join(f.Records())
	}
	if w.net != nil {
		rec.WastedWrites = w.net.BlockedSends()
	}
	rec.FleetLate, rec.ClientsLate = w.fleet.Late(), w.clients.Late()
	for n := range w.routerNodes {
		var reports []emulator.Report
		for _, agents := range w.agents {
			reports = append(reports, agents[n].Reports()...)
		}
		rec.Reports = append(rec.Reports, reports)
	}
	for _, n := range w.routerNodes {
		rec.Processes = append(rec.Processes, n.processHistory()...)
		rec.StopIntervals = append(rec.StopIntervals, n.stops...)
	}
}

// abandon closes the emulated servers, list services and relays.
func (w *runState) abandon() {
	for _, f := range w.fleets {
		f.Close()
	}
	if w.net != nil {
		w.net.Close()
	}
}

func (w *runState) address(kind, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.options.Net, kind+n/200, 1+n%200, port)
}

// First values of the third byte of the addresses of routers, list service agents and cache servers.
const (
	routerAddrByte = 1
	agentAddrByte  = 2
	serverAddrByte = 10
)

// build creates the emulated servers, list services, relays and clients, and the configurations of the routers. The
// event loops do not run yet.
func (w *runState) build() (err error) {
	if w.fleetLoop, err = eventloop.New(); err != nil {
		return err
	}
	if w.clientLoop, err = eventloop.New(); err != nil {
		return err
	}
	s := w.scenario
	var keys []string
	for n := int(s.Fleet.Filled*float64(s.Clients.Keys)) - 1; n >= 0; n-- { // the most popular last: it is evicted last
		keys = append(keys, emulator.Key(n))
	}
	for i := range 1 + len(s.Pools) {
		f := emulator.NewFleet(w.fleetLoop, w.options.Seed+uint64(i)<<32, w.types, emulator.OriginSpec{Concurrency: s.Ledger.AtOnce,
			MeanSeconds: s.Ledger.TakesMS / 1e3, Multiple: s.Ledger.Multiple, OverloadSeconds: s.Ledger.Within, HaltSeconds: s.Ledger.Halt},
			emulator.Delay{Base: s.List.Delay, Spread: s.List.Spread})
		f.List().LimitRate(s.List.Calls)
		w.fleets = append(w.fleets, f)
		servers := s.Fleet.Servers
		if i > 0 {
			servers = s.Pools[i-1].Servers
			f.SetNamePrefix(s.Pools[i-1].Name + "-")
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
		addr := w.address(routerAddrByte, n, 11211)
		if err = checkAddressFree(addr); err != nil {
			return err
		}
		for i, f := range w.fleets {
			a, err := f.List().Agent(w.address(agentAddrByte, n, 8500+1000*i))
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
		r.config = w.scenario.config(n, routers, w.agents[0][n], w.options.Seed, w.peerAddrsAt(n))
		r.config["discovery"] = w.listServiceAddr(n)
		if s.List.Forgets {
			delete(r.config, "known")
		}
		if len(w.peerAddrs()) > 0 {
			r.config["peer_listen"] = w.peerAddrs()[n]
		}
		if s.Routers.Doors {
			r.config["ops"] = w.address(routerAddrByte, n, 9400)
		}
		if s.Routers.Folders {
			r.folder = filepath.Join(w.options.Dir, fmt.Sprintf("router-%d.folder", n))
			if err = os.MkdirAll(r.folder, 0o755); err != nil {
				return err
			}
		}
		r.operators = w.operators(n)
	}
	fronts := map[string][]string{} // by team: the routers' listen addresses for map tiles
	for _, t := range s.Teams {
		for n := 0; s.hasTiles(t.Name) && n < s.Routers.Count; n++ {
			fronts[t.Name] = append(fronts[t.Name], w.tileFront(n, t.Name))
		}
	}
	w.clients, err = emulator.NewClients(w.clientLoop, w.options.Seed, w.scenario.clientLoad(w.types), routers, fronts)
	return err
}

// zoneFailoverEnabled reports whether zone failover is on at the routers.
func (w *runState) zoneFailoverEnabled() bool {
	return w.scenario.Routers.Zones && !w.options.Router.Plain
}

// recoveryEnabled reports whether the routers store snapshots for their next processes.
func (w *runState) recoveryEnabled() bool {
	return w.scenario.Routers.Folders && !w.options.Router.Plain
}

func (w *runState) peerAddrs() (all []string) {
	if w.scenario.Routers.Peers {
		for n := range w.scenario.Routers.Count {
			all = append(all, w.address(routerAddrByte, n, 7946))
		}
	}
	return all
}

// operators returns the current text of a router's operators' file. It is empty if no team, zone failover or recovery
// needs it.
func (w *runState) operators(n int) string {
	if len(w.scenario.Teams) == 0 && !w.zoneFailoverEnabled() && !w.recoveryEnabled() {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lists := func(pool string) string { return w.agents[w.poolIndex(pool)][n].Addr() }
	tileFront := func(team string) string { return w.tileFront(n, team) }
	return w.scenario.operators(lists, tileFront, w.budgetFactors, w.zoneFailoverEnabled(), w.recoveryEnabled())
}

// tileFront returns the address at which a router serves a team's map tiles.
func (w *runState) tileFront(n int, team string) string {
	i := slices.IndexFunc(w.scenario.Teams, func(t TeamPart) bool { return t.Name == team })
	return w.address(routerAddrByte, n, 8080+i)
}

// poolIndex returns the index of a pool in fleets; 0 for the default pool.
func (w *runState) poolIndex(pool string) int {
	return 1 + slices.IndexFunc(w.scenario.Pools, func(p PoolPart) bool { return p.Name == pool })
}

// clientLoad returns the emulator's settings of the clients.
func (s *Scenario) clientLoad(types []*emulator.TrafficType) emulator.Load {
	c := s.Clients
	return emulator.Load{Types: types, Rate: c.Rate, Keys: c.Keys, Zipf: c.Zipf, Retries: c.Retries, TimeoutFraction: c.TryShare,
		Pause: c.PauseMS / 1e3, HonorRetryAfter: c.Honour, EarlyDisconnects: c.Impatient, Connections: emulator.Connections(c.Connections),
		MaxConnections: c.Most, RouterWeights: s.Routers.Skew}
}

// tileType returns the traffic class of the map tiles in a pool, or nil if it has none.
func (w *runState) tileType(pool string) *emulator.TrafficType {
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

// spec returns the settings of the next cache server of a pool, with a random speed.
func (w *runState) spec(pool int) emulator.Spec {
	fleet := w.fleets[pool]
	f, n, name := w.scenario.Fleet, len(fleet.Servers()), fleet.NextName()
	chance := fleet.Rand("spec/" + name)
	speed := f.Speed[0] + (f.Speed[1]-f.Speed[0])*chance.Float64()
	return emulator.Spec{Name: name, Addr: w.address(serverAddrByte+5*pool, n, 11300), Zone: fmt.Sprintf("zone-%d", n%f.Zones),
		Machine: f.Machines[n/f.Zones%len(f.Machines)], Cell: n / f.Zones / f.Cell, Cores: f.Cores, Speed: speed, Weight: float64(f.Cores), Queue: f.Queue,
		PerConnection: f.PerConnection, Connections: f.Connections, Handshake: f.HandshakeMS / 1e3, Idle: f.Idle,
		CacheSize: f.Keep, Cancels: f.Cancels, Cold: emulator.Cold{From: f.ColdFrom, Warm: f.Warm, Multiple: w.scenario.Rules.Multiple,
			CollapseSeconds: w.scenario.Rules.Fall}}
}

// config returns the platform's configuration of a router, in the format of the file at GW_CONFIG.
func (s *Scenario) config(n int, routers []string, agent *emulator.Agent, seed uint64, peers []string) map[string]any {
	ns := func(seconds float64) int64 { return int64(seconds * 1e9) }
	var types []map[string]any
	for _, t := range s.trafficClasses() {
		types = append(types, map[string]any{"name": t.Name, "effect": platformEffects[t.Idempotency],
			"keyScope":    map[balancer.DeduplicationScope]string{balancer.ScopeAll: "all", balancer.ScopeZone: "zone", balancer.ScopeCell: "cell"}[t.DeduplicationScope],
			"dedupWindow": ns(t.Window), "promisedTime": ns(t.LatencyObjective), "hardStop": ns(t.Deadline), "benefit": t.Benefit,
			"runsIn": t.RunsIn, "allowedOn": t.AllowedOn}) // null if the class may run anywhere
	}
	conf := map[string]any{
		"name": fmt.Sprintf("n%d", n), "listen": routers[n], "discovery": agent.Addr(),
		"seed":   fmt.Sprintf("%08x", uint32(seed)*2654435761+uint32(n)),
		"limits": map[string]any{"cores": s.Routers.Cores, "memory_mb": s.Routers.MemoryMB, "sockets": s.Routers.Sockets},
		"known":  agent.LastList(),
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

const startTimeout = 15 // seconds until ready: usually some tenths, and more if all routers start concurrently

func (w *runState) startRouters(ctx context.Context) error {
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

// runOnLoop runs f on an event loop and waits until it has returned.
func runOnLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// play runs the clients and the faults until all requests have ended.
func (w *runState) play(ctx context.Context) *Records {
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

func (w *runState) progress(rec *Records) {
	if w.options.Progress == nil {
		return
	}
	at := w.clientLoop.Now() - rec.From
	fmt.Fprintf(w.options.Progress, "\r\x1b[K%s, %s, seed %d: %.1f of %.0f s", w.scenario.Name, w.options.Router.Name, w.options.Seed, min(at, w.scenario.Seconds),
		w.scenario.Seconds)
}

// end stops the routers, then the emulated servers and clients.
func (w *runState) end() {
	var all sync.WaitGroup
	for _, r := range w.routerNodes {
		all.Add(1)
		go func() {
			defer all.Done()
			r.stop(w.shutdownSeconds())
		}()
	}
	all.Wait()
	runOnLoop(w.fleetLoop, w.abandon)
	w.fleetLoop.Post(w.fleetLoop.Stop)
	w.clientLoop.Post(w.clientLoop.Stop)
	<-w.loopErrors
	<-w.loopErrors
}

// longestStop returns the longest deadline of all traffic classes, in seconds.
func (w *runState) longestStop() (longest float64) {
	for _, t := range w.types {
		longest = max(longest, t.Deadline)
	}
	return longest
}

// longestAnswer returns the longest time from a command until its answer is complete, in seconds.
func (w *runState) longestAnswer() float64 {
	if w.scenario.hasLongValues() {
		return w.longestStop() + longValueSeconds
	}
	return w.longestStop()
}

// shutdownSeconds returns how many seconds a router has to exit after SIGTERM.
func (w *runState) shutdownSeconds() float64 { return w.longestAnswer() + exitMargin }

const exitMargin = 1.2 // seconds after the longest deadline: 0.7 to shut down by the protocol, the rest to exit

// recordEvent records a fault's begin or end with its time.
func (w *runState) recordEvent(format string, about ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.played = append(w.played, fmt.Sprintf("%6.2f s  ", w.clientLoop.Now()-w.startTime)+fmt.Sprintf(format, about...))
}

func (w *runState) fail(err error) {
	if err != nil {
		w.mu.Lock()
		w.failed = err
		w.mu.Unlock()
	}
}

// randomIndices returns n random indices below all, sorted.
func randomIndices(chance *rand.Rand, all, n int) []int {
	picked := chance.Perm(all)[:min(n, all)]
	slices.Sort(picked)
	return picked
}

// TempDir creates a temporary folder for a run.
func TempDir() (string, error) { return os.MkdirTemp("", "trestle-experiment-") }

var reserved sync.Map // listeners that hold a number, by number

// ReserveNet finds a second byte of loopback addresses that no other lab on this machine uses, and reserves it until
// release is called. The search begins at a number derived from first.
func ReserveNet(first int) (n int, release func(), err error) {
	for i := range 200 {
		n := 16 + (first+i)%200
		at := netip.AddrFrom4([4]byte{127, byte(n), 0, 1})
		if ln, err := net.Listen("tcp", netip.AddrPortFrom(at, 11211).String()); err == nil {
			reserved.Store(n, ln) // the garbage collector would close an unreferenced listener
			return n, func() { reserved.Delete(n); ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("no second byte of loopback addresses is free")
}
