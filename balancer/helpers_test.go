package balancer

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"testing"

	"bendtrestle/internal/seedhash"
)

// notes is a host that writes down what the module does.
type recordingHost struct{ actions []string }

func (n *recordingHost) StartAttempt(op, s uint64, limit, _ float64) {
	n.record("execute %d on %d", op, s)
}
func (n *recordingHost) CancelAttempt(op uint64, at int) { n.record("withdraw %d/%d", op, at) }
func (n *recordingHost) Reject(op uint64, after float64, _ RejectReason) {
	n.record("decline %d after %t", op, after > 0)
}
func (n *recordingHost) Fail(op uint64)                      { n.record("terminate %d", op) }
func (n *recordingHost) Gossip(words []byte)                 { n.record("tell %x", words) }
func (n *recordingHost) Probe(s uint64)                      { n.record("probe %d", s) }
func (n *recordingHost) SetTimer(delay float64, name string) {}
func (n *recordingHost) WatchEndpoints(on bool)              { n.record("watch %t", on) }

func (n *recordingHost) record(format string, args ...any) {
	n.actions = append(n.actions, fmt.Sprintf(format, args...))
}

// last is the latest action, or nothing.
func (n *recordingHost) lastAction() string {
	if len(n.actions) == 0 {
		return ""
	}
	return n.actions[len(n.actions)-1]
}

// fleet starts a router with caches 1 to n, long started.
func newTestBalancer(n int, change func(*Settings)) (*Balancer, *recordingHost) {
	set := Settings{RouterCount: 2, EventInterval: 0.001, MaxAttempts: 3, HedgingAllowed: true, CancellationAllowed: true,
		MaxRetryAfter: 1, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.25, WarmupDuration: 20,
		OverQuotaWeight: 0.05, TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "amend", Idempotency: IdempotencyKeyed, DeduplicationScope: ScopeZone, DeduplicationWindow: 1, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "pay", LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}}}
	if change != nil {
		change(&set)
	}
	host := &recordingHost{}
	b := New(0, set, host)
	var members []Endpoint
	for i := range n {
		members = append(members, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"})
	}
	b.OnEndpoints(0, UpdateFull, members)
	host.actions = nil
	return b, host
}

// many starts one of 80 routers, which sees little of each cache; caches fetch.
func newGossipingBalancer(n int) (*Balancer, *recordingHost) {
	return newTestBalancer(n, func(s *Settings) { s.GossipAllowed, s.RouterCount, s.GossipPrice = true, 80, 0.01 })
}

// weighed starts one of 600 routers, of caches with these live weights.
func newLiveWeightBalancer(seed uint32, weights ...float64) (*Balancer, *recordingHost) {
	b, host := newTestBalancer(0, func(s *Settings) {
		s.Seed, s.RouterCount, s.WeightMode, s.WarmupStartCapacity = seed, 600, WeightsLive, 0.17
	})
	b.OnEndpoints(0, UpdateFull, endpointsOfWeights(weights...))
	return b, host
}

func endpointsOfWeights(weights ...float64) (all []Endpoint) {
	for i, w := range weights {
		all = append(all, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: w})
	}
	return all
}

// leaves is the part of a thousand keys that pass a cache over.
func (b *Balancer) passedOverPart(server *serverState) float64 {
	n := 0
	for key := range uint32(1000) {
		if b.overloaded(&request{class: b.classes.byName["view"], keyHash: seedhash.Avalanche(key)}, server) {
			n++
		}
	}
	return float64(n) / 1000
}

// begun is an operation with one execution on s, or another server, settled as harmless or not, or still out.
func requestWithAttempt(b *Balancer, kind string, server *serverState, out, harmless bool) *request {
	if server == nil {
		server = &serverState{}
	}
	req := &request{id: 7, class: b.classes.byName[kind], valueFraction: 1, objectiveAt: b.now + 0.4, deadline: b.now + 2}
	req.retryBudget = &b.retryBudgets.shared
	req.attempts = []*attempt{{request: req, server: server, sentAt: b.now, inFlight: out, notExecuted: harmless}}
	b.requests[7] = req
	return req
}

// slice is how many of 2000 keys a cache answers for.
func (b *Balancer) keysAnsweredBy(server *serverState) (n int) {
	for key := range uint32(2000) {
		if b.nearestServer(seedhash.Avalanche(key), func(*serverState) bool { return true }) == server {
			n++
		}
	}
	return n
}

func expectEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// reasons is a host that keeps why operations were declined.
type reasonRecorder struct {
	recordingHost
	reasons []RejectReason
}

func (r *reasonRecorder) Reject(_ uint64, _ float64, why RejectReason) {
	r.reasons = append(r.reasons, why)
}

// tier is a made-up day in which many routers meet one cold server: all of them are modules, time and chance are reckoned.
type slowStartScenario struct {
	routers, statedRouters                                        int // how many there are, and how many the settings say
	servers                                                       int
	warmRate                                                      float64 // requests of mean work that a warm one does a second
	load                                                          float64 // part of what all can do that comes in calm
	burst                                                         float64 // times as much for four seconds from the start on
	pulledPart                                                    float64 // part of the traffic then that is for keys of the cold server's slice
	burstDelay                                                    float64 // seconds from the start until that
	skew                                                          float64 // how many times the mean the busiest tenth of the routers carry
	noticeSpread                                                  float64 // seconds over which routers are told of the start
	restartedPart                                                 float64 // part of the routers that start anew when the server does
	secondStartAfter                                              float64 // seconds after which it starts cold once more; 0: it does not
	servedBefore                                                  bool    // it served before; else it is new
	answersAtOnce                                                 bool    // the cold server answers at once whatever it gets: nothing warns the routers
	lostServers                                                   int     // caches that go when it starts
	coldServers                                                   int     // servers that start cold then, the first of which are looked at
	gossip                                                        bool
	weightMode                                                    WeightMode
	seed                                                          uint32
	overloadWindow, overloadFactor, startCapacity, warmupDuration float64 // the settings of rule 4
}

const calmBefore, timeAfter = 20.0, 12.0 // seconds before the start, and after it

// flight is an execution at a server, until it ends.
type pendingAnswer struct {
	endsAt, sentAt float64
	order          uint64
	router         *simulatedRouter
	requestID      uint64
	number         int
	outcome        Outcome
}

type pendingAnswers []pendingAnswer

func (f pendingAnswers) Len() int { return len(f) }
func (f pendingAnswers) Less(i, j int) bool {
	return f[i].endsAt < f[j].endsAt || f[i].endsAt == f[j].endsAt && f[i].order < f[j].order
}
func (f pendingAnswers) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *pendingAnswers) Push(x any)   { *f = append(*f, x.(pendingAnswer)) }
func (f *pendingAnswers) Pop() any {
	x := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return x
}

// post is one router of the tier, and its module's host.
type simulatedRouter struct {
	recordingHost
	simulation *simulation
	balancer   *Balancer
	noticedAt  float64 // when it was told of the cold server's last start
	attempts   map[uint64]int
}

func (p *simulatedRouter) StartAttempt(op, server uint64, limit, _ float64) {
	p.simulation.startAttempt(p, op, server, p.attempts[op], limit)
	p.attempts[op]++
}
func (p *simulatedRouter) Gossip(words []byte) {
	p.simulation.messages = append(p.simulation.messages, slices.Clone(words))
}

func (p *simulatedRouter) Reject(op uint64, _ float64, _ RejectReason) { delete(p.attempts, op) }
func (p *simulatedRouter) Fail(op uint64)                              { delete(p.attempts, op) }

// play is a day under way.
type simulation struct {
	slowStartScenario
	now, coldSince     float64 // when the cold server last started
	draws              uint64
	fleet              []*simulatedRouter
	busyUntil          []float64 // until when each server has work
	pending            pendingAnswers
	sequence           uint64
	messages           [][]byte
	coldSends          [][]coldSend // to each cold server since it started
	worstOverBound     float64      // the most that a window held over the bound of chance; only what rule 4 counts
	worstOverAllowance float64      // the most that a window held over what is allowed
	startsAboveBound   int          // starts with a window above that
	starts             int
	coldSendCount      int // requests to cold servers
}

type coldSend struct {
	sentAt  float64
	noticed bool
}

func (d *simulation) chance() float64 {
	d.draws++
	return (float64(seedhash.Mix(d.seed, d.draws)) + 0.5) / (1 << 32)
}

// warmth is the part that the cold server can do.
func (d *simulation) warmth(now float64) float64 {
	return d.startCapacity + (1-d.startCapacity)*min(1, (now-d.coldSince)/d.warmupDuration)
}

func (d *simulation) startAttempt(p *simulatedRouter, op, server uint64, n int, limit float64) {
	i, does := int(server-1), d.warmRate
	if i < d.coldServers && d.now >= d.coldSince {
		does *= d.warmth(d.now)
		d.coldSends[i] = append(d.coldSends[i], coldSend{d.now, p.noticedAt <= d.now})
		d.coldSendCount++
	}
	d.sequence++
	f := pendingAnswer{sentAt: d.now, order: d.sequence, router: p, requestID: op, number: n, outcome: Succeeded}
	if i < d.coldServers && d.answersAtOnce && d.now >= d.coldSince {
		f.endsAt = d.now + 0.005
	} else if free := max(d.now, d.busyUntil[i]); free-d.now > 0.5 { // its queue is full
		f.endsAt, f.outcome = d.now+0.005, Overloaded
	} else {
		d.busyUntil[i] = free + 1/does
		f.endsAt = d.busyUntil[i] + 0.005
	}
	if f.endsAt > d.now+limit {
		f.endsAt, f.outcome = d.now+limit, TimedOut
	}
	heap.Push(&d.pending, f)
}

// fresh starts a router anew.
func (d *simulation) startRouter(p *simulatedRouter, n int) {
	set := Settings{Seed: seedhash.Mix(d.seed, uint64(n)+1<<40+d.sequence), RouterIndex: n, RouterCount: d.statedRouters, EventInterval: 0.002, MaxAttempts: 3, HedgingAllowed: true,
		CancellationAllowed: true, MaxRetryAfter: 1, GossipAllowed: d.gossip, GossipPrice: 0.01, WeightMode: d.weightMode, OverloadWindow: d.overloadWindow, OverloadFactor: d.overloadFactor,
		WarmupStartCapacity: d.startCapacity, WarmupDuration: d.warmupDuration, OverQuotaWeight: 0.05, TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}}}
	p.simulation, p.attempts = d, map[uint64]int{}
	p.balancer = New(d.now, set, p)
}

func (d *simulation) tellList(p *simulatedRouter, cold bool) {
	var all []Endpoint
	for i := range d.servers {
		m := Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"}
		if cold && i < d.coldServers {
			m.StartedAt = d.coldSince
		}
		if i < d.coldServers && (cold || d.servedBefore) || i >= d.coldServers && (!cold || i+d.lostServers < d.servers) {
			all = append(all, m)
		}
	}
	p.balancer.OnEndpoints(d.now, UpdateFull, all)
}

// judge looks at each window that ends with a request to a cold server.
func (d *simulation) judgeWindows() {
	for i := range d.coldSends {
		d.starts++
		from, told, over := 0, 0, false
		for k, s := range d.coldSends[i] {
			if s.noticed {
				told++
			}
			for ; d.coldSends[i][from].sentAt <= s.sentAt-d.overloadWindow; from++ {
				if d.coldSends[i][from].noticed {
					told--
				}
			}
			// What it could do in the middle of the window: it warms evenly.
			n := d.overloadFactor * d.warmth(max(d.coldSince, s.sentAt-d.overloadWindow/2)) * d.warmRate * d.overloadWindow
			count, bound := float64(k-from+1), n+2*math.Sqrt(n)+2
			if cold := s.sentAt < d.coldSince+d.warmupDuration; cold && 3*told > 2*(k-from+1) {
				d.worstOverBound, d.worstOverAllowance = max(d.worstOverBound, count/bound), max(d.worstOverAllowance, count/n)
				over = over || count > bound
			}
		}
		if d.coldSends[i] = d.coldSends[i][:0]; over {
			d.startsAboveBound++
		}
	}
}

// slice are keys that are the cold server's while it has just started.
func (d *simulation) keysOfColdServer() (keys []string) {
	p := &simulatedRouter{}
	d.startRouter(p, 0)
	d.tellList(p, true)
	p.balancer.recent.acceptanceRate, p.balancer.servers.byID[1].slowStart.startedAt = 1, d.now
	for i := 0; len(keys) < 3000 && i < 1e6; i++ {
		key := fmt.Sprint("own-", i)
		if server := p.balancer.nearestServer(seedhash.Avalanche(crc32.ChecksumIEEE([]byte(key))), func(*serverState) bool { return true }); server != nil && server.ID == 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

func (t slowStartScenario) run() *simulation {
	d := &simulation{slowStartScenario: t, busyUntil: make([]float64, t.servers), coldSends: make([][]coldSend, t.coldServers)}
	own := d.keysOfColdServer()
	weights, sum := []float64(nil), 0.0
	for n := range t.routers {
		p := &simulatedRouter{noticedAt: 0}
		d.fleet = append(d.fleet, p)
		d.startRouter(p, n)
		d.tellList(p, false)
		w := 1.0
		if t.skew > 1 && n%10 == 3 {
			w = t.skew
		}
		sum += w
		weights = append(weights, sum)
	}
	const step = 0.01
	calm, id := t.load*t.warmRate*float64(t.servers), uint64(0)
	due := 0.0
	up, twice := false, false
	d.coldSince = math.Inf(1)
	for d.now = 0; d.now < calmBefore+timeAfter; d.now += step {
		since := d.now - calmBefore
		if since >= 0 && !up || t.secondStartAfter > 0 && !twice && since >= t.secondStartAfter && up {
			if up {
				d.judgeWindows()
				twice = true
			}
			up, d.coldSince = true, d.now
			for n, p := range d.fleet {
				if d.chance() < t.restartedPart {
					d.startRouter(p, n)
					d.tellList(p, twice)
				}
				if p.noticedAt = d.now + d.chance()*t.noticeSpread; t.noticeSpread == 0 {
					p.noticedAt = d.now
				}
			}
		}
		for _, p := range d.fleet {
			if up && p.noticedAt <= d.now && p.noticedAt > d.now-step {
				d.tellList(p, true)
			}
		}
		for len(d.pending) > 0 && d.pending[0].endsAt <= d.now {
			f := heap.Pop(&d.pending).(pendingAnswer)
			if f.router.balancer.requests[f.requestID] != nil {
				if f.outcome == Succeeded {
					delete(f.router.attempts, f.requestID)
				}
				f.router.balancer.OnAttemptEnd(d.now, f.requestID, f.number, f.outcome, d.now-f.sentAt, f.outcome == Succeeded)
			}
		}
		for _, w := range d.messages {
			for _, p := range d.fleet {
				p.balancer.OnGossip(d.now, w)
			}
		}
		d.messages = d.messages[:0]
		rate, pulled := calm, 0.0
		if since >= d.burstDelay && math.Mod(since-d.burstDelay, 6) < 4 {
			rate, pulled = calm*t.burst, t.pulledPart
		}
		for due += rate * step; ; due += math.Log(d.chance()) {
			if due <= 0 {
				break
			}
			id++
			at, _ := slices.BinarySearch(weights, d.chance()*sum)
			key := fmt.Sprint("key-", int(2000*math.Pow(d.chance(), 2)))
			if d.chance() < pulled {
				key = own[int(d.chance()*float64(len(own)))]
			}
			d.fleet[min(at, t.routers-1)].balancer.OnRequest(d.now, id, "view", "", key, 2)
		}
	}
	d.judgeWindows()
	return d
}

// rush is a time in which every router is asked for more than it may send to one cold server among a dozen.
type fleetBurst struct {
	routers, statedRouters int     // how many there are, and how many the settings say
	heardRouters           int     // how many each router hears; 0: it hears none
	warmRate, load         float64 // requests of mean work that a warm server does a second, and the part of it that finished of late
	skew                   float64 // how many times as much as the others a tenth of the routers finished
	delay                  float64 // seconds from the start until it comes
	lostServers            int     // of the dozen, those that went with the start
	slowWarmup             bool    // other settings: a server that warms slowly, and falls sooner
	seed                   uint32
}

// most is the most that a window brought, over what is put down to chance.
func (x fleetBurst) worstOverBound() (worst float64) {
	set := Settings{RouterCount: x.statedRouters, WeightMode: WeightsStatic, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.3, WarmupDuration: 9, SlowStartSharedUpTo: 1000}
	if x.slowWarmup {
		set.OverloadWindow, set.OverloadFactor, set.WarmupStartCapacity, set.WarmupDuration = 1.5, 3, 0.14, 21
	}
	const dozen, start = 12, 100.0
	list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: start}}
	for id := range uint64(dozen - 1 - x.lostServers) {
		list = append(list, Endpoint{ID: id + 2, State: Ready, Capacity: 1})
	}
	finish := func(n int) float64 {
		if n%10 == 3 {
			return x.skew
		}
		return 1
	}
	all, sum := []*Balancer(nil), 0.0
	for n := range x.routers {
		sum += finish(n)
	}
	for n := range x.routers {
		set.Seed = seedhash.Mix(x.seed, uint64(n))
		b := New(0, set, &recordingHost{})
		b.OnEndpoints(start, UpdateFull, list)
		if x.heardRouters > 0 {
			b.SetFleetSize(start, x.heardRouters)
		}
		b.completions.rate, b.completions.meanServers = x.load*dozen*x.warmRate*finish(n)/sum, dozen
		all = append(all, b)
	}
	var sent []float64
	for at := x.delay; at < min(set.WarmupDuration, x.delay+2*set.OverloadWindow); at += 0.02 {
		for _, b := range all {
			b.now, b.completions.rateAt = start+at, start+at // as much finishes as before
			for server := b.servers.byID[1]; b.hasSlowStartBudget(server); server.slowStart.budget-- {
				sent = append(sent, at)
			}
		}
		sent = slices.DeleteFunc(sent, func(then float64) bool { return then <= at-set.OverloadWindow })
		// What it can do in the middle of the window: it warms evenly.
		w := set.WarmupStartCapacity + (1-set.WarmupStartCapacity)*max(0, at-set.OverloadWindow/2)/set.WarmupDuration
		allowed := set.OverloadFactor * w * x.warmRate * set.OverloadWindow
		worst = max(worst, float64(len(sent))/(allowed+2*math.Sqrt(allowed)+2))
	}
	return worst
}
