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
	From, To    float64 // when operations could be due
	Fleet       *emulator.Book
	Clients     *emulator.ClientBook
	Told        [][]emulator.Told // by router
	Lives       []Life
	Stops       []Stop
	FleetLate   *emulator.Lateness
	ClientsLate *emulator.Lateness
	Interrupted bool
	Played      []string             // the faults, as they were played
	Burnt       []faultproxy.Sending // what routers wrote where nothing came through
}

// world is a run under way.
type world struct {
	s        *Scenario
	o        Options
	types    []*emulator.TrafficType
	fleet    *emulator.Fleet   // the usual pool's
	fleets   []*emulator.Fleet // all pools', the usual one first, then in the scenario's order
	clients  *emulator.Clients
	fleetOn  *eventloop.Loop
	clientOn *eventloop.Loop
	agents   [][]*emulator.Agent // by pool, then by router
	nodes    []*node
	factors  map[string]float64 // of the teams' budgets, by faults
	chance   *rand.Rand         // of the faults' targets
	began    float64
	ended    chan error // of the two loops
	moves    int
	net      *faultproxy.Net // nil: there are none
	lists    []string        // where routers ask for the list, through relays

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
	w := &world{s: s, o: o, types: s.types(), chance: rand.New(rand.NewPCG(o.Seed, 77)), factors: map[string]float64{}, ended: make(chan error, 2)}
	if err := w.build(); err != nil {
		w.abandon()
		return nil, err
	}
	go func() { w.ended <- w.fleetOn.Run() }()
	go func() { w.ended <- w.clientOn.Run() }()
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
		rec.Burnt = w.net.Sent()
	}
	rec.FleetLate, rec.ClientsLate = w.fleet.Late(), w.clients.Late()
	for n := range w.nodes {
		var told []emulator.Told
		for _, agents := range w.agents {
			told = append(told, agents[n].Told()...)
		}
		rec.Told = append(rec.Told, told)
	}
	for _, n := range w.nodes {
		rec.Lives = append(rec.Lives, n.history()...)
		rec.Stops = append(rec.Stops, n.stops...)
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
	return fmt.Sprintf("127.%d.%d.%d:%d", w.o.Net, kind+n/200, 1+n%200, port)
}

// The third number of addresses, by what has them.
const (
	routersAt = 1
	agentsAt  = 2
	serversAt = 10
)

// build sets up the stand-ins. Nothing of theirs runs yet.
func (w *world) build() (err error) {
	if w.fleetOn, err = eventloop.New(); err != nil {
		return err
	}
	if w.clientOn, err = eventloop.New(); err != nil {
		return err
	}
	s := w.s
	var keys []string
	for n := int(s.Fleet.Filled*float64(s.Clients.Keys)) - 1; n >= 0; n-- { // the most popular last: it stays longest
		keys = append(keys, emulator.Key(n))
	}
	for i := range 1 + len(s.Pools) {
		f := emulator.NewFleet(w.fleetOn, w.o.Seed+uint64(i)<<32, w.types, emulator.LedgerSpec{AtOnce: s.Ledger.AtOnce,
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
		w.nodes = append(w.nodes, &node{n: n, addr: addr, program: w.o.Router, dir: w.o.Dir, memoryMB: s.Routers.MemoryMB,
			sockets: s.Routers.Sockets, now: w.fleetOn.Now})
	}
	if s.relayed() {
		if err = w.relays(); err != nil {
			return fmt.Errorf("%w (another --net may be free)", err)
		}
	}
	for n, r := range w.nodes {
		r.conf = w.s.config(n, routers, w.agents[0][n], w.o.Seed, w.peersOf(n))
		r.conf["discovery"] = w.listOf(n)
		if s.List.Forgets {
			delete(r.conf, "known")
		}
		if len(w.peers()) > 0 {
			r.conf["peer_listen"] = w.peers()[n]
		}
		if s.Routers.Doors {
			r.conf["ops"] = w.address(routersAt, n, 9400)
		}
		if s.Routers.Folders {
			r.folder = filepath.Join(w.o.Dir, fmt.Sprintf("router-%d.folder", n))
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
	w.clients, err = emulator.NewClients(w.clientOn, w.o.Seed, w.s.load(w.types), routers, fronts)
	return err
}

// zones tells whether the routers leave zones as one.
func (w *world) zones() bool { return w.s.Routers.Zones && !w.o.Router.Plain }

// keeps tells whether the routers keep what helps their next process.
func (w *world) keeps() bool { return w.s.Routers.Folders && !w.o.Router.Plain }

func (w *world) peers() (all []string) {
	if w.s.Routers.Peers {
		for n := range w.s.Routers.Count {
			all = append(all, w.address(routersAt, n, 7946))
		}
	}
	return all
}

// operators gives a router's operators' file as it is to be now; empty without teams.
func (w *world) operators(n int) string {
	if len(w.s.Teams) == 0 && !w.zones() && !w.keeps() {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lists := func(pool string) string { return w.agents[w.at(pool)][n].Addr() }
	tileFront := func(team string) string { return w.tileFront(n, team) }
	return w.s.operators(lists, tileFront, w.factors, w.zones(), w.keeps())
}

// tileFront is where a router takes a team's map tiles.
func (w *world) tileFront(n int, team string) string {
	i := slices.IndexFunc(w.s.Teams, func(t TeamPart) bool { return t.Name == team })
	return w.address(routersAt, n, 8080+i)
}

// at gives the number of a pool among the fleets.
func (w *world) at(pool string) int {
	return 1 + slices.IndexFunc(w.s.Pools, func(p PoolPart) bool { return p.Name == pool })
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
		if i := slices.IndexFunc(w.s.Teams, func(x TeamPart) bool { return x.Name == t.Tenant }); w.s.Teams[i].Pool == pool {
			return t
		}
	}
	return nil
}

// spec draws the next cache server of a pool.
func (w *world) spec(pool int) emulator.Spec {
	fleet := w.fleets[pool]
	f, n, name := w.s.Fleet, len(fleet.Servers()), fleet.NextName()
	chance := fleet.Chance("spec/" + name)
	speed := f.Speed[0] + (f.Speed[1]-f.Speed[0])*chance.Float64()
	return emulator.Spec{Name: name, Addr: w.address(serversAt+5*pool, n, 11300), Zone: fmt.Sprintf("zone-%d", n%f.Zones),
		Machine: f.Machines[n/f.Zones%len(f.Machines)], Cell: n / f.Zones / f.Cell, Cores: f.Cores, Speed: speed, Weight: float64(f.Cores), Queue: f.Queue,
		PerConnection: f.PerConnection, Connections: f.Connections, Handshake: f.HandshakeMS / 1e3, Idle: f.Idle,
		Keep: f.Keep, Cancels: f.Cancels, Cold: emulator.Cold{From: f.ColdFrom, Warm: f.Warm, Multiple: w.s.Rules.Multiple,
			Fall: w.s.Rules.Fall}}
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

const starting = 15 // seconds for a router to become ready: it takes some tenths, and more where all start at once

func (w *world) startRouters(ctx context.Context) error {
	for _, r := range w.nodes {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range w.nodes {
		if err := r.ready(starting); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// on runs f on a loop and waits for it.
func on(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// play lets operations come and faults happen, until all is answered.
func (w *world) play(ctx context.Context) *Records {
	rec := &Records{}
	on(w.clientOn, func() {
		w.began = w.clientOn.Now()
		w.clients.Start(w.s.Seconds)
	})
	rec.From, rec.To = w.began, w.began+w.s.Seconds
	halt := make(chan struct{})
	var faults sync.WaitGroup
	for i, f := range w.s.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			w.cause(i, f, halt)
		}()
	}
	longest := w.longestAnswer()
	last := rec.To + longest + 1
	for busy := true; busy && w.clientOn.Now() < last; {
		select {
		case <-ctx.Done():
			rec.Interrupted = true
			on(w.clientOn, w.clients.Stop)
			last = min(last, w.clientOn.Now()+longest+0.5)
			ctx = context.Background()
		case <-time.After(20 * time.Millisecond):
		}
		on(w.clientOn, func() { busy = w.clients.Busy() })
		w.progress(rec)
	}
	if rec.Interrupted {
		rec.To = min(rec.To, w.clientOn.Now())
	}
	close(halt)
	faults.Wait()
	if w.o.Progress != nil {
		fmt.Fprint(w.o.Progress, "\r\x1b[K")
	}
	return rec
}

func (w *world) progress(rec *Records) {
	if w.o.Progress == nil {
		return
	}
	at := w.clientOn.Now() - rec.From
	fmt.Fprintf(w.o.Progress, "\r\x1b[K%s, %s, seed %d: %.1f of %.0f s", w.s.Name, w.o.Router.Name, w.o.Seed, min(at, w.s.Seconds),
		w.s.Seconds)
}

// end stops routers and stand-ins.
func (w *world) end() {
	var all sync.WaitGroup
	for _, r := range w.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			r.stop(w.patience())
		}()
	}
	all.Wait()
	on(w.fleetOn, w.abandon)
	w.fleetOn.Post(w.fleetOn.Stop)
	w.clientOn.Post(w.clientOn.Stop)
	<-w.ended
	<-w.ended
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
	if w.s.long() {
		return w.longestStop() + passing
	}
	return w.longestStop()
}

// patience is how many seconds a router has to end.
func (w *world) patience() float64 { return w.longestAnswer() + margin }

const margin = 1.2 // seconds after the longest hard stop that a router has to end, by the protocol 0.7, and to exit

// note keeps what was played, with its time.
func (w *world) note(format string, about ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.played = append(w.played, fmt.Sprintf("%6.2f s  ", w.clientOn.Now()-w.began)+fmt.Sprintf(format, about...))
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
