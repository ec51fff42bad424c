package balancer

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"testing"
)

// notes is a host that writes down what the module does.
type notes struct{ did []string }

func (n *notes) StartAttempt(op, s uint64, limit, _ float64) { n.add("execute %d on %d", op, s) }
func (n *notes) CancelAttempt(op uint64, at int)             { n.add("withdraw %d/%d", op, at) }
func (n *notes) Reject(op uint64, after float64, _ RejectReason) {
	n.add("decline %d after %t", op, after > 0)
}
func (n *notes) Fail(op uint64)                      { n.add("terminate %d", op) }
func (n *notes) Gossip(words []byte)                 { n.add("tell %x", words) }
func (n *notes) Probe(s uint64)                      { n.add("probe %d", s) }
func (n *notes) SetTimer(delay float64, name string) {}
func (n *notes) WatchEndpoints(on bool)              { n.add("watch %t", on) }

func (n *notes) add(format string, args ...any) { n.did = append(n.did, fmt.Sprintf(format, args...)) }

// last is the latest action, or nothing.
func (n *notes) last() string {
	if len(n.did) == 0 {
		return ""
	}
	return n.did[len(n.did)-1]
}

// fleet starts a router with caches 1 to n, long started.
func fleet(n int, change func(*Settings)) (*Balancer, *notes) {
	set := Settings{RouterCount: 2, EventInterval: 0.001, MaxAttempts: 3, HedgingAllowed: true, CancellationAllowed: true,
		MaxRetryAfter: 1, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.25, WarmupDuration: 20,
		OverQuotaWeight: 0.05, TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "amend", Idempotency: IdempotencyKeyed, DeduplicationScope: ScopeZone, DeduplicationWindow: 1, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
			{Name: "pay", LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}}}
	if change != nil {
		change(&set)
	}
	n0 := &notes{}
	r := New(0, set, n0)
	var members []Endpoint
	for i := range n {
		members = append(members, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"})
	}
	r.OnEndpoints(0, UpdateFull, members)
	n0.did = nil
	return r, n0
}

// many starts one of 80 routers, which sees little of each cache; caches fetch.
func many(n int) (*Balancer, *notes) {
	return fleet(n, func(s *Settings) { s.GossipAllowed, s.RouterCount, s.GossipPrice = true, 80, 0.01 })
}

// weighed starts one of 600 routers, of caches with these live weights.
func weighed(seed uint32, weights ...float64) (*Balancer, *notes) {
	r, did := fleet(0, func(s *Settings) {
		s.Seed, s.RouterCount, s.WeightMode, s.WarmupStartCapacity = seed, 600, WeightsLive, 0.17
	})
	r.OnEndpoints(0, UpdateFull, members(weights...))
	return r, did
}

func members(weights ...float64) (all []Endpoint) {
	for i, w := range weights {
		all = append(all, Endpoint{ID: uint64(i + 1), State: Ready, Capacity: w})
	}
	return all
}

// leaves is the part of a thousand keys that pass a cache over.
func (r *Balancer) leaves(s *server) float64 {
	n := 0
	for key := range uint32(1000) {
		if r.passed(&operation{row: r.rows["view"], hash: stir(key)}, s) {
			n++
		}
	}
	return float64(n) / 1000
}

// begun is an operation with one execution on s, or another server, settled as harmless or not, or still out.
func begun(r *Balancer, kind string, s *server, out, harmless bool) *operation {
	if s == nil {
		s = &server{}
	}
	op := &operation{id: 7, row: r.rows[kind], worth: 1, due: r.now + 0.4, hardStop: r.now + 2}
	op.purse = &r.spare
	op.executions = []*execution{{of: op, on: s, sent: r.now, out: out, harmless: harmless}}
	r.ops[7] = op
	return op
}

// slice is how many of 2000 keys a cache answers for.
func (r *Balancer) slice(s *server) (n int) {
	for key := range uint32(2000) {
		if r.nearest(stir(key), func(*server) bool { return true }) == s {
			n++
		}
	}
	return n
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// reasons is a host that keeps why operations were declined.
type reasons struct {
	notes
	told []RejectReason
}

func (r *reasons) Reject(_ uint64, _ float64, why RejectReason) { r.told = append(r.told, why) }

// tier is a made-up day in which many routers meet one cold server: all of them are modules, time and chance are reckoned.
type tier struct {
	routers, stated       int // how many there are, and how many the settings say
	caches                int
	each                  float64 // requests of mean work that a warm one does a second
	load                  float64 // part of what all can do that comes in calm
	burst                 float64 // times as much for four seconds from the start on
	pull                  float64 // part of the traffic then that is for keys of the cold server's slice
	late                  float64 // seconds from the start until that
	skew                  float64 // how many times the mean the busiest tenth of the routers carry
	spread                float64 // seconds over which routers are told of the start
	anew                  float64 // part of the routers that start anew when the server does
	again                 float64 // seconds after which it starts cold once more; 0: it does not
	was                   bool    // it served before; else it is new
	easy                  bool    // the cold server answers at once whatever it gets: nothing warns the routers
	lost                  int     // caches that go when it starts
	news                  int     // servers that start cold then, the first of which are looked at
	peers                 bool
	weights               WeightMode
	seed                  uint32
	fall, tip, from, warm float64 // the settings of rule 4
}

const tierCalm, tierEnd = 20.0, 12.0 // seconds before the start, and after it

// flight is an execution at a server, until it ends.
type flight struct {
	at, sent float64
	turn     uint64
	by       *post
	op       uint64
	n        int
	how      Outcome
}

type flights []flight

func (f flights) Len() int { return len(f) }
func (f flights) Less(i, j int) bool {
	return f[i].at < f[j].at || f[i].at == f[j].at && f[i].turn < f[j].turn
}
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)   { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	x := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return x
}

// post is one router of the tier, and its module's host.
type post struct {
	notes
	day    *play
	r      *Balancer
	told   float64 // when it was told of the cold server's last start
	counts map[uint64]int
}

func (p *post) StartAttempt(op, server uint64, limit, _ float64) {
	p.day.begin(p, op, server, p.counts[op], limit)
	p.counts[op]++
}
func (p *post) Gossip(words []byte) { p.day.words = append(p.day.words, slices.Clone(words)) }

func (p *post) Reject(op uint64, _ float64, _ RejectReason) { delete(p.counts, op) }
func (p *post) Fail(op uint64)                              { delete(p.counts, op) }

// play is a day under way.
type play struct {
	tier
	now, started float64 // when the cold server last started
	draws        uint64
	posts        []*post
	busy         []float64 // until when each server has work
	out          flights
	turns        uint64
	words        [][]byte
	sent         [][]sending // to each cold server since it started
	worst        float64     // the most that a window held over the bound of chance; only what rule 4 counts
	most         float64     // the most that a window held over what is allowed
	breaks       int         // starts with a window above that
	starts       int
	used         int // requests to cold servers
}

type sending struct {
	at   float64
	told bool
}

func (d *play) chance() float64 {
	d.draws++
	return (float64(mix(d.seed, d.draws)) + 0.5) / (1 << 32)
}

// warmth is the part that the cold server can do.
func (d *play) warmth(now float64) float64 {
	return d.from + (1-d.from)*min(1, (now-d.started)/d.warm)
}

func (d *play) begin(p *post, op, server uint64, n int, limit float64) {
	i, does := int(server-1), d.each
	if i < d.news && d.now >= d.started {
		does *= d.warmth(d.now)
		d.sent[i] = append(d.sent[i], sending{d.now, p.told <= d.now})
		d.used++
	}
	d.turns++
	f := flight{sent: d.now, turn: d.turns, by: p, op: op, n: n, how: Succeeded}
	if i < d.news && d.easy && d.now >= d.started {
		f.at = d.now + 0.005
	} else if free := max(d.now, d.busy[i]); free-d.now > 0.5 { // its queue is full
		f.at, f.how = d.now+0.005, Overloaded
	} else {
		d.busy[i] = free + 1/does
		f.at = d.busy[i] + 0.005
	}
	if f.at > d.now+limit {
		f.at, f.how = d.now+limit, TimedOut
	}
	heap.Push(&d.out, f)
}

// fresh starts a router anew.
func (d *play) fresh(p *post, n int) {
	set := Settings{Seed: mix(d.seed, uint64(n)+1<<40+d.turns), RouterIndex: n, RouterCount: d.stated, EventInterval: 0.002, MaxAttempts: 3, HedgingAllowed: true,
		CancellationAllowed: true, MaxRetryAfter: 1, GossipAllowed: d.peers, GossipPrice: 0.01, WeightMode: d.weights, OverloadWindow: d.fall, OverloadFactor: d.tip,
		WarmupStartCapacity: d.from, WarmupDuration: d.warm, OverQuotaWeight: 0.05, TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1}}}
	p.day, p.counts = d, map[uint64]int{}
	p.r = New(d.now, set, p)
}

func (d *play) list(p *post, cold bool) {
	var all []Endpoint
	for i := range d.caches {
		m := Endpoint{ID: uint64(i + 1), State: Ready, Capacity: 1, Zone: "a"}
		if cold && i < d.news {
			m.StartedAt = d.started
		}
		if i < d.news && (cold || d.was) || i >= d.news && (!cold || i+d.lost < d.caches) {
			all = append(all, m)
		}
	}
	p.r.OnEndpoints(d.now, UpdateFull, all)
}

// judge looks at each window that ends with a request to a cold server.
func (d *play) judge() {
	for i := range d.sent {
		d.starts++
		from, told, over := 0, 0, false
		for k, s := range d.sent[i] {
			if s.told {
				told++
			}
			for ; d.sent[i][from].at <= s.at-d.fall; from++ {
				if d.sent[i][from].told {
					told--
				}
			}
			// What it could do in the middle of the window: it warms evenly.
			n := d.tip * d.warmth(max(d.started, s.at-d.fall/2)) * d.each * d.fall
			count, bound := float64(k-from+1), n+2*math.Sqrt(n)+2
			if cold := s.at < d.started+d.warm; cold && 3*told > 2*(k-from+1) {
				d.worst, d.most = max(d.worst, count/bound), max(d.most, count/n)
				over = over || count > bound
			}
		}
		if d.sent[i] = d.sent[i][:0]; over {
			d.breaks++
		}
	}
}

// slice are keys that are the cold server's while it has just started.
func (d *play) slice() (keys []string) {
	p := &post{}
	d.fresh(p, 0)
	d.list(p, true)
	p.r.taken, p.r.servers[1].fresh = 1, d.now
	for i := 0; len(keys) < 3000 && i < 1e6; i++ {
		key := fmt.Sprint("own-", i)
		if s := p.r.nearest(stir(crc32.ChecksumIEEE([]byte(key))), func(*server) bool { return true }); s != nil && s.ID == 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

func (t tier) play() *play {
	d := &play{tier: t, busy: make([]float64, t.caches), sent: make([][]sending, t.news)}
	own := d.slice()
	weights, sum := []float64(nil), 0.0
	for n := range t.routers {
		p := &post{told: 0}
		d.posts = append(d.posts, p)
		d.fresh(p, n)
		d.list(p, false)
		w := 1.0
		if t.skew > 1 && n%10 == 3 {
			w = t.skew
		}
		sum += w
		weights = append(weights, sum)
	}
	const step = 0.01
	calm, id := t.load*t.each*float64(t.caches), uint64(0)
	due := 0.0
	up, twice := false, false
	d.started = math.Inf(1)
	for d.now = 0; d.now < tierCalm+tierEnd; d.now += step {
		since := d.now - tierCalm
		if since >= 0 && !up || t.again > 0 && !twice && since >= t.again && up {
			if up {
				d.judge()
				twice = true
			}
			up, d.started = true, d.now
			for n, p := range d.posts {
				if d.chance() < t.anew {
					d.fresh(p, n)
					d.list(p, twice)
				}
				if p.told = d.now + d.chance()*t.spread; t.spread == 0 {
					p.told = d.now
				}
			}
		}
		for _, p := range d.posts {
			if up && p.told <= d.now && p.told > d.now-step {
				d.list(p, true)
			}
		}
		for len(d.out) > 0 && d.out[0].at <= d.now {
			f := heap.Pop(&d.out).(flight)
			if f.by.r.ops[f.op] != nil {
				if f.how == Succeeded {
					delete(f.by.counts, f.op)
				}
				f.by.r.OnAttemptEnd(d.now, f.op, f.n, f.how, d.now-f.sent, f.how == Succeeded)
			}
		}
		for _, w := range d.words {
			for _, p := range d.posts {
				p.r.OnGossip(d.now, w)
			}
		}
		d.words = d.words[:0]
		rate, pulled := calm, 0.0
		if since >= d.late && math.Mod(since-d.late, 6) < 4 {
			rate, pulled = calm*t.burst, t.pull
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
			d.posts[min(at, t.routers-1)].r.OnRequest(d.now, id, "view", "", key, 2)
		}
	}
	d.judge()
	return d
}

// rush is a time in which every router is asked for more than it may send to one cold server among a dozen.
type rush struct {
	routers, stated int     // how many there are, and how many the settings say
	heard           int     // how many each router hears; 0: it hears none
	each, load      float64 // requests of mean work that a warm server does a second, and the part of it that finished of late
	skew            float64 // how many times as much as the others a tenth of the routers finished
	late            float64 // seconds from the start until it comes
	lost            int     // of the dozen, those that went with the start
	slow            bool    // other settings: a server that warms slowly, and falls sooner
	seed            uint32
}

// most is the most that a window brought, over what is put down to chance.
func (x rush) most() (worst float64) {
	set := Settings{RouterCount: x.stated, WeightMode: WeightsStatic, OverloadWindow: 3, OverloadFactor: 4, WarmupStartCapacity: 0.3, WarmupDuration: 9, SlowStartSharedUpTo: 1000}
	if x.slow {
		set.OverloadWindow, set.OverloadFactor, set.WarmupStartCapacity, set.WarmupDuration = 1.5, 3, 0.14, 21
	}
	const dozen, start = 12, 100.0
	list := []Endpoint{{ID: 1, State: Ready, Capacity: 1, StartedAt: start}}
	for id := range uint64(dozen - 1 - x.lost) {
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
		set.Seed = mix(x.seed, uint64(n))
		r := New(0, set, &notes{})
		r.OnEndpoints(start, UpdateFull, list)
		if x.heard > 0 {
			r.SetFleetSize(start, x.heard)
		}
		r.flow, r.among = x.load*dozen*x.each*finish(n)/sum, dozen
		all = append(all, r)
	}
	var sent []float64
	for at := x.late; at < min(set.WarmupDuration, x.late+2*set.OverloadWindow); at += 0.02 {
		for _, r := range all {
			r.now, r.flowAt = start+at, start+at // as much finishes as before
			for s := r.servers[1]; !r.tips(s); s.budget-- {
				sent = append(sent, at)
			}
		}
		sent = slices.DeleteFunc(sent, func(then float64) bool { return then <= at-set.OverloadWindow })
		// What it can do in the middle of the window: it warms evenly.
		w := set.WarmupStartCapacity + (1-set.WarmupStartCapacity)*max(0, at-set.OverloadWindow/2)/set.WarmupDuration
		allowed := set.OverloadFactor * w * x.each * set.OverloadWindow
		worst = max(worst, float64(len(sent))/(allowed+2*math.Sqrt(allowed)+2))
	}
	return worst
}
