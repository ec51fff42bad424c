// Package balancer is bendtrestle's decision module. A router makes one Router with New and calls one method for
// each thing that happens, as Arrived or Settled. It acts by its Host, before the method returns. Host, other
// types and records are in host.go. Time is in seconds; equal calls lead to equal actions.
package balancer

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"maps"
	"math"
	"math/bits"
	"slices"
	"sync"
)

// The table of circular hypervectors, the same at every router (docs/design.md).
const (
	dimensions = 10000                    // d, the design's start
	slots      = 4096                     // n, the design's start: several times the cache count
	flips      = dimensions / (slots / 2) // d/m, rounded down
	tableSeed  = 0x8d3a                   // any value serves, as long as all routers share it
)

type vector [(dimensions + 63) / 64]uint64

// table builds the circle by the paper's Algorithm 1: flips are queued on the way out and undone, first in
// first out, on the way back. The queue is what neighbours on the way out differ in.
var table = sync.OnceValue(func() *[slots]vector {
	var circle [slots]vector
	draws := uint32(0)
	draw := func() uint32 { draws++; return mix(tableSeed, uint64(draws)) }
	for w := range circle[0] {
		circle[0][w] = uint64(draw())<<32 | uint64(draw())
	}
	circle[0][len(vector{})-1] &= 1<<(dimensions%64) - 1
	for i := 1; i < slots; i++ {
		circle[i] = circle[i-1]
		for set := 0; i < slots/2 && set < flips; {
			if bit := draw() % dimensions; (circle[i][bit/64]^circle[i-1][bit/64])>>(bit%64)&1 == 0 {
				circle[i][bit/64] ^= 1 << (bit % 64)
				set++
			}
		}
		for w, k := 0, i-slots/2+1; k > 0 && k < slots/2 && w < len(vector{}); w++ {
			circle[i][w] ^= circle[k][w] ^ circle[k-1][w]
		}
	}
	return &circle
})

// distance counts the bits in which two vectors differ.
func distance(a, b *vector) (bitsApart int) {
	for w := range a {
		bitsApart += bits.OnesCount64(a[w] ^ b[w])
	}
	return bitsApart
}

// mix hashes a number. crc32 alone is affine, inputs compare alike under any seed: so its bits are stirred.
func mix(seed uint32, x uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return stir(crc32.Update(seed, crc32.IEEETable, b[:]) ^ seed)
}

func stir(h uint32) uint32 {
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return h ^ h>>16
}

// New starts an instance.
func New(now float64, set Settings, host Host) *Balancer {
	r := &Balancer{host: host, set: set, now: now, rows: map[string]*row{}, tenants: map[string]*tenant{},
		servers: map[uint64]*server{}, ops: map[uint64]*operation{}, flow: set.InitialCompletionRate, flowAt: now, taken: 0.5,
		began: now - 1e3*min(set.InitialCompletionRate, 1), voice: 1, purses: map[string]*float64{}, left: map[string]float64{}}
	r.set.RouterCount, r.tier = max(1, set.RouterCount), float64(max(1, set.RouterCount))
	r.SetTrafficClasses(set.TrafficClasses)
	for _, t := range set.Tenants {
		r.tenants[t.Name] = &tenant{quota: max(0, t.Quota), tokens: max(1, t.Quota/float64(r.set.RouterCount)), at: now}
		r.quotas += max(0, t.Quota)
	}
	if set.PollEndpoints {
		r.watch()
	}
	return r
}

// SetTrafficClasses takes the traffic types that operations may have from now on; what has arrived ends under its own.
func (r *Balancer) SetTrafficClasses(types []TrafficClass) {
	rows := map[string]*row{}
	r.longest = 0
	for _, t := range types {
		t.LatencyObjective = cmp.Or(max(0, t.LatencyObjective), max(t.Deadline, r.set.EventInterval, 1e-3)) // or all there is
		// Until seen, an execution is to take a quarter of the promised time: most promise several times the work.
		next := &row{TrafficClass: t, lag: t.LatencyObjective / 4}
		if was := r.rows[t.Name]; was != nil {
			next.lag, next.heard = was.lag, was.heard
		}
		rows[t.Name] = next
		r.longest = max(r.longest, t.LatencyObjective)
	}
	r.rows = rows
	clear(r.purses) // of realms that may be gone
}

// spend gives what further executions of a realm come from: one for all, or one each where realms are apart.
func (r *Balancer) spend(realm string) *float64 {
	if !r.set.RetryBudgetPerTenant {
		return &r.spare
	}
	if r.purses[realm] == nil {
		r.purses[realm] = new(float64)
	}
	return r.purses[realm]
}

// chance draws a number from 0 up to 1.
func (r *Balancer) chance() float64 {
	r.draws++
	return float64(mix(r.set.Seed, r.draws)) / (1 << 32)
}

func (r *Balancer) watch() {
	r.asked = r.now
	r.host.WatchEndpoints(true)
	r.host.SetTimer(max(1, r.set.PollInterval/2), "watch") // asks again if nothing came at all
}

// OnEndpoints takes an update of the list.
func (r *Balancer) OnEndpoints(now float64, kind EndpointUpdate, members []Endpoint) {
	r.now = now
	if kind == UpdateFailed {
		// The wait doubles up to half of askWithin, so that failed calls do not keep the list service full.
		r.wait = min(max(2*r.wait, r.set.PollInterval/16, r.set.EventInterval), max(r.set.PollInterval/2, 1))
		r.asked = 0
		r.host.SetTimer(r.wait*(0.5+r.chance()), "rewatch")
		return
	}
	if kind != UpdateSaved {
		r.asked, r.wait = 0, 0
	}
	seen, moved := map[*server]bool{}, false
	for _, m := range members {
		s := cmp.Or(r.servers[m.ID], &server{limit: 4}) // the origin's start: a few, grown by what it bears
		r.servers[m.ID] = s
		moved = moved || s.State != m.State || s.StartedAt != m.StartedAt
		if m.State == Ready && (m.StartedAt > s.StartedAt || s.State != Ready) {
			*s = server{share: 1, slow: 1, joint: 1, out: s.out, filled: now, barred: s.barred, limit: s.limit,
				fresh: r.latest(m.StartedAt), budget: r.chance()} // one for each of many routers would be too much together
		}
		size := m.Capacity
		if r.set.WeightMode == WeightsLive {
			size = max(size, s.size) // its weight when it held nothing; the weights of its work move no points
		}
		moved = moved || size != s.size
		s.Endpoint, s.size = m, size
		if r.set.WeightMode == WeightsLive && m.Capacity > 0 {
			s.load, s.loadAt = size/m.Capacity-1, now
		}
		seen[s] = true
	}
	for id, s := range r.servers {
		if s.State == Removed || kind != UpdateDelta && !seen[s] {
			s.State, moved = Removed, moved || !s.barred // what is out there still knows it; new ids must not pile up
			if !s.barred {
				delete(r.servers, id)
			}
		}
	}
	if moved {
		r.regroup()
	}
	if r.set.WeightMode == WeightsLive {
		r.even(min(now-r.loadAt, 1))
	}
}

// latest is when a server may have started by its stamp: the fourth rule goes by its true start.
func (r *Balancer) latest(stamp float64) float64 {
	if stamp == 0 { // long ago
		return 0
	}
	return min(stamp+r.set.StartTimeError, max(stamp, r.now))
}

// SetDisabled takes that operators leave a cache out, whatever lists say, or that it may serve again: then it may
// have started anew, cold, before a list tells of that (rule 4).
func (r *Balancer) SetDisabled(now float64, id uint64, out bool) {
	r.now = now
	s := cmp.Or(r.servers[id], &server{share: 1, slow: 1, joint: 1})
	r.servers[id] = s
	if s.barred && !out {
		s.fresh, s.filled, s.budget, s.fails, s.down = now, now, r.chance(), 0, false
	}
	s.barred = out
	r.regroup()
}

// even adds up what all caches hold, and moves the part of its points that each answers for: gently, for keys
// that move miss, and by what it held over some four seconds, for one look says little. All see the same.
func (r *Balancer) even(passed float64) {
	r.load, r.loadAt = 0, r.now
	for _, s := range r.ready {
		r.load += r.loaded(s)
	}
	for _, s := range r.ready {
		s.usual += (r.loaded(s) - s.usual) * passed / 4
		over := s.usual*float64(len(r.ready))/max(r.load, 1) - 1
		s.share = min(max(s.share*(1-passed/16*min(over, 2)), 0.1), 1)
	}
}

const places = 16 // points of the largest cache: one leaves shares to the gaps, 16 reach 1.5 times the mean

// regroup sets up the ready caches after a change of membership.
func (r *Balancer) regroup() {
	r.ready, r.origins, r.points, r.size, r.cold = nil, nil, nil, 0, true
	largest := 0.0
	for _, s := range r.servers {
		if s.State == Ready && !s.barred && r.isOrigin(s) {
			r.origins = append(r.origins, s)
		} else if s.State == Ready && !s.barred {
			r.ready, largest, r.cold = append(r.ready, s), max(largest, s.size), r.cold && r.warmth(s) < 1
		}
	}
	byID := func(a, b *server) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(r.ready, byID)
	slices.SortFunc(r.origins, byID)
	var ends [slots + 1]int // by counting: a growing fleet is ranked often, and comparing took half of all time
	all := make([]point, 0, places*len(r.ready))
	for _, s := range r.ready {
		s.points, r.size = places, r.size+s.size/float64(len(r.ready))
		if r.set.WeightMode != WeightsIgnored && largest > 0 {
			s.points = max(1, int(math.Round(places*s.size/largest)))
		}
		for rank := range s.points {
			all = append(all, point{on: s, at: mix(uint32(rank), s.ID) % slots, rank: rank})
			ends[all[len(all)-1].at+1]++
		}
	}
	for slot := range slots {
		ends[slot+1] += ends[slot]
	}
	r.points = make([]point, len(all))
	for _, p := range all {
		r.points[ends[p.at]] = p
		ends[p.at]++
	}
	clear(r.orders[:])
}

// order gives the points of the ready caches that are most similar to a slot, n of them or all. They lie near
// it on the circle: beyond twice the steps of n points none is nearer than these (tested).
func (r *Balancer) order(slot uint32, n int) []point {
	all := len(r.points)
	if n = min(n, all); len(r.orders[slot]) >= n {
		return r.orders[slot]
	}
	up, _ := slices.BinarySearchFunc(r.points, slot, func(p point, x uint32) int { return cmp.Compare(p.at, x) })
	down, near := up+all-1, make([]point, 0, 3*n)
	steps := func(p point) uint32 { return min((p.at-slot)%slots, (slot-p.at)%slots) }
	for len(near) < all {
		p, q := r.points[up%all], r.points[down%all]
		if up++; steps(q) < steps(p) {
			p, up, down = q, up-1, down-1
		}
		if len(near) >= n && steps(p) > 2*steps(near[n-1])+8 {
			break
		}
		p.far = distance(&table()[slot], &table()[p.at])
		near = append(near, p)
	}
	slices.SortStableFunc(near, func(p, q point) int { return p.far - q.far })
	r.orders[slot] = slices.Clone(near[:n])
	return r.orders[slot]
}

// nearest is the design's pick: of the caches that pass the one most similar to the key; ties go by a hash.
func (r *Balancer) nearest(hash uint32, pass func(*server) bool) (best *server) {
	tie, far, near, taken := uint32(0), 0, []point(nil), r.taken
	if r.loadAt > 0 && r.now-r.loadAt < 1 || r.cold { // no warm one sheds
		taken = 1
	}
	for i := range r.points {
		if i == len(near) { // few lookups go beyond the first
			near = r.order(hash%slots, max(16, 3*i))
		}
		p := near[i]
		if best != nil && p.far > far {
			break
		}
		// A fresh cache gets a slice of the keys; one point's would follow its gap. Where none tells of its strain
		// it takes no part of what the warm ones shed (rule 4); where all tell, that left it idle as they jammed.
		w, part := r.warmth(p.on), float64(mix(hash, p.on.ID))/(1<<32)
		slow := float64(p.rank)+part >= float64(p.on.points)*p.on.share
		gone, zone := r.left[p.on.Zone], uint64(crc32.ChecksumIEEE([]byte(p.on.Zone)))
		slow = slow || gone > 0 && float64(mix(hash, zone)) >= (1-gone)*(1<<32)
		if w < 1 && part >= w*taken || slow || !pass(p.on) {
			continue
		}
		if h := mix(hash, p.on.ID); best == nil || h < tie {
			best, tie, far = p.on, h, p.far
		}
	}
	return best
}

// crowded is the design's pass-over: more than twice the mean of this router's executions in flight per
// cache, and at least two.
func (r *Balancer) crowded(s *server) bool {
	return len(s.out) >= 2 && len(s.out)*len(r.ready) > 2*r.flying
}

// sparse tells that this router sees less than one execution a cache within the time for which it is
// remembered (expect): of many routers none has two in flight anywhere, and what it learns alone is late.
func (r *Balancer) sparse(t *row) bool {
	told := r.set.RouterCount > 1 && (r.set.GossipAllowed || r.set.WeightMode == WeightsLive)
	return told && r.finishing()*8*t.LatencyObjective < float64(len(r.ready))
}

// passed is the pass-over by this router's own executions and, where it is sparse, by what all tell. As all
// hear the same at once, a cache keeps a part of its keys, the same ones everywhere: if all left it together
// they would crowd the next one, and come back together. It keeps a few, else none would tell how it is.
func (r *Balancer) passed(op *operation, s *server) bool {
	if r.crowded(s) || !r.sparse(op.row) {
		return r.crowded(s)
	}
	// The ramp begins below twice the mean, since it moves parts: from 2, 1.4, 1 times 1.4 did best.
	most := 1.4 * r.load * math.Exp((r.loadAt-r.now)/recall) / float64(len(r.ready))
	load, part := r.loaded(s), float64(mix(op.hash, s.ID))/(1<<32)
	if r.set.WeightMode == WeightsLive {
		load = min(load, s.usual)
	}
	// One that takes several times as long as others has failed in all but name.
	fast := math.Pow(min(1, 2.5/max(s.joint, 1e-9)), 4)
	return load >= 4 && part > max(min(fast, most/load), 1.0/32)
}

// warmth is the part of its capacity that a cache has for certain: the settings' slowest warming.
func (r *Balancer) warmth(s *server) float64 {
	if s.fresh == 0 || r.set.WarmupDuration <= 0 || r.now-s.fresh >= r.set.WarmupDuration {
		return 1
	}
	return 1 - (1-min(max(r.set.WarmupStartCapacity, 0), 1))*(1-max(0, r.now-s.fresh)/r.set.WarmupDuration)
}

// tips guards the fourth rule: a cold cache gets a budget that fills with half of what the rule allows a
// cache of the mean size, whose capacity is at least what caches finish, or three quarters of its own where
// sizes are told. Each router keeps to its part; of many, to a crowd, not all keep one for later: it is lost.
func (r *Balancer) tips(s *server) bool {
	w := r.warmth(s)
	if w >= 1 || r.set.OverloadWindow <= 0 || r.isOrigin(s) { // it has a bound of its own
		return false
	}
	seen := r.set.OverloadFactor * w * r.set.OverloadWindow * r.finishing() / max(1, float64(len(r.ready)), r.among) / 2
	if r.size > 0 && s.size > 0 {
		seen *= 1.5 * s.size / r.size
	}
	own := max(seen, r.set.OverloadFactor/r.tier) // unseen capacity: one execution in the rule's time
	part := seen/4 + math.Sqrt(seen/r.tier) + 1/r.tier + max(0, r.tier-cmp.Or(r.set.SlowStartSharedUpTo, crowd))
	kept := math.Mod(s.budget+own*(r.now-s.filled)/r.set.OverloadWindow, 1/max(0, 1-part)) // all of it, where part is 1
	s.budget, s.filled = min(kept, max(1, own/4)), r.now
	return s.budget < 1
}

// finishing is how many executions the caches finish a second, over about a warm-up or since the start.
func (r *Balancer) finishing() float64 {
	span := max(1, r.set.WarmupDuration)
	return r.flow * math.Exp((r.flowAt-r.now)/span) / (1 - math.Exp(-max(1, r.now-r.began)/span))
}

// sick tells whether a cache is passed over for its failures; after a wait one execution at a time tries it.
func (r *Balancer) sick(s *server) bool {
	return s.fails >= 3 && (r.now < s.until || len(s.out) > 0)
}

// Avoids tells whether a cache gets nothing new now: by its mode, by hand, or for its failures.
func (r *Balancer) Avoids(id uint64) bool {
	s := r.servers[id]
	return s == nil || s.State != Ready || s.barred || s.fails >= 3
}

// choose picks the server for an operation's next execution, or none: of the caches that share the key the
// one whose turn it is, else the nearest past the sick or crowded, the sick, what rules forbid.
func (r *Balancer) choose(op *operation) *server {
	if !r.mayGoOn(op) {
		return nil // else a lookup that no cache passes ranks them all
	}
	may := func(s *server) bool {
		used := op.any(func(e *execution) bool { return e.on == s })
		return !used && r.mayExecute(op, s) && !r.tips(s)
	}
	fit := func(s *server) bool { return may(s) && !r.sick(s) }
	// A key used often is not shed while one of its caches has room.
	often := op.spread > 1 && op.worth == 1
	free := func(s *server) bool { return !(often && s.fails == 0 && r.strained(op, s)) && !r.passed(op, s) }
	var sharing []*server
	r.nearest(op.hash, func(s *server) bool {
		if !slices.Contains(sharing, s) && fit(s) {
			sharing = append(sharing, s)
		}
		return len(sharing) >= min(int(op.spread), len(r.ready)) // else a lookup walks the whole circle
	})
	turn := int(r.chance() * float64(len(sharing)))
	if op.spread > 1 && r.sparse(op.row) { // the less loaded of two: all routers together would crowd the least
		other := int(r.chance() * float64(len(sharing)))
		if len(sharing) > 0 && r.loaded(sharing[other]) < r.loaded(sharing[turn]) {
			turn = other
		}
	}
	for _, s := range sharing[turn:] {
		if free(s) {
			return s
		}
	}
	best := func(s *server) bool { return fit(s) && !r.passed(op, s) }
	for _, pass := range []func(*server) bool{best, fit, may} {
		if s := r.nearest(op.hash, pass); s != nil {
			return s
		}
	}
	return nil
}

// shares counts a use of a slot and tells how many caches share its keys, each a quarter of its mean part.
func (r *Balancer) shares(slot uint32, t *row) float64 {
	caches := float64(max(1, len(r.ready)))
	keep := 1 - 1/(4*caches) // lately: some four uses a cache
	lately := r.heat[slot] * math.Pow(keep, r.uses-r.heated[slot])
	spread := 3 * caches * lately / (r.recent + caches/4) // a quarter use a cache is doubt at the start
	r.uses, r.recent = r.uses+1, r.recent*keep+1
	r.heat[slot], r.heated[slot] = lately*keep+1, r.uses
	// Less in calm, for each copy is a miss, and where much fails, for then the origin does.
	good := (r.won + 1) / (r.won + r.lost + 1)
	return math.Ceil(max(1, spread*min(1, 4*t.lag/t.LatencyObjective)*good*good*good*good))
}

// OnRequest takes an operation from a client, which gives up after left. The tenth of those shed goes on.
func (r *Balancer) OnRequest(now float64, id uint64, kind, realm, key string, left float64) {
	r.now = now
	t := r.rows[kind]
	if t == nil { // a type that the settings lack: it may take what time it brought, and never runs twice
		left := max(left, r.set.EventInterval, 1e-3)
		t = &row{TrafficClass: TrafficClass{LatencyObjective: left, Deadline: left}, lag: left / 4}
	}
	hash := stir(crc32.ChecksumIEEE([]byte(key)))
	if key == "" {
		hash = mix(r.set.Seed, id) // no key: spread over the circle
	}
	// The answer leaves a step before the client gives up, since it takes effect with a batch.
	op := &operation{id: id, row: t, hash: hash, worth: 1, due: now + t.LatencyObjective,
		hardStop: now + left - r.set.EventInterval, spread: r.shares(hash%slots, t)}
	if b := r.tenants[realm]; b != nil {
		// Routers may be down or draw unlike traffic: the share is of what this one finishes, if that is more.
		rate := b.quota * max(1/float64(r.set.RouterCount), r.finishing()/max(1, r.quotas))
		if b.tokens, b.at = min(b.tokens+rate*(now-b.at), max(8, rate)), now; b.tokens >= 1 {
			b.tokens--
			op.paid = b
		} else {
			op.worth = r.set.OverQuotaWeight
		}
	}
	// A client gives all its tries the hard stop together. Most, the first, come with the same time left, found
	// by majority vote; on others the rest is spent. What can no longer be in time must not crowd out what can.
	switch least := min(t.LatencyObjective, t.Deadline-1.5*t.usual); {
	case math.Abs(left-t.usual) <= 2*r.set.EventInterval:
		t.votes++
	case t.votes == 0:
		t.usual, t.votes = left, 1
	case left >= least: // less has no try that comes back, with pauses: a client is in a hurry
		t.votes--
		if op.due = now + left - t.Deadline + t.LatencyObjective; op.due <= now {
			op.worth *= t.LateValue
		}
	}
	r.ops[id] = op
	op.purse = r.spend(realm)
	if s := r.choose(op); s == nil {
		r.giveUp(op, ReasonNoEndpoint)
	} else if (r.turned < 9 || now-r.tried < min(r.longest, 2)) && (r.strained(op, s) || r.fruitless()) {
		r.giveUp(op, ReasonOverloaded)
	} else {
		r.execute(op, s)
	}
}

// fruitless sheds by chance what finds no answer anyhow: where the origin fails, caches answer with errors,
// keep nothing, and all that is sent keeps it failing. Half as much again may be sent as finished of late.
func (r *Balancer) fruitless() bool {
	r.lost, r.won = r.lost*(1-1.0/32), r.won*(1-1.0/32)
	if r.chance()*(r.lost+r.won) < 1.5*r.won+1 {
		return false
	}
	r.lost++
	return true
}

// strained tells whether to shed an operation, for its server takes too long: first what brings little.
func (r *Balancer) strained(op *operation, s *server) bool {
	// All that is left, else what was promised: a try a router must not keep a jam alive.
	takes, bound := r.expect(op, s), cmp.Or(max(0, op.due-r.now), op.row.LatencyObjective)
	calm := 4 * max(0, r.timely-0.75)
	if len(s.out) > 0 || s.fails > 0 {
		// A ramp, as hope for the promised time falls; up to twice as wide while nearly all is in time.
		bound *= (0.3 + 0.3*r.chance()) * (1 + 1.25*calm)
	}
	if len(s.out) > 0 {
		takes = max(takes, r.now-max(s.heard, s.out[0].sent)) // it may stand still
	}
	value := op.worth * op.row.PriorityWeight / op.row.lag
	r.value += (value - r.value) / 64

	return takes > bound*math.Pow(value/r.value, (1-calm)/2) // what is worth little yields early, not in calm
}

func (op *operation) any(like func(*execution) bool) bool {
	return slices.ContainsFunc(op.executions, like)
}

func (e *execution) isOut() bool { return e.out }

// mayGoOn, mayExecute and mayDecline guard the rules in one place: whether any server at all may execute an
// operation, whether this one may, and whether the client may be told that trying again is harmless.
func (r *Balancer) mayGoOn(op *operation) bool {
	if op.answered || op.began || r.now >= op.hardStop ||
		r.set.MaxAttempts > 0 && len(op.executions) >= r.set.MaxAttempts {
		return false
	}
	return !op.any(func(e *execution) bool {
		lapsed := op.row.Idempotency == AtMostOnce || op.row.Idempotency == IdempotencyKeyed && r.now-e.sent >= op.row.DeduplicationWindow
		return e.out && !r.set.HedgingAllowed || !e.harmless && lapsed
	})
}

func (r *Balancer) mayExecute(op *operation, s *server) bool {
	ready := s.State == Ready && !s.barred && (op.row.placed(s) || r.isOrigin(s))
	return ready && r.mayGoOn(op) && !op.any(func(e *execution) bool {
		outside := op.row.DeduplicationScope == ScopeZone && e.on.Zone != s.Zone || op.row.DeduplicationScope == ScopeCell && e.on.Cell != s.Cell
		return !e.harmless && op.row.Idempotency == IdempotencyKeyed && outside
	})
}

// placed tells whether a type may be sent to a server at all, by what the list says of it now: where none may
// take it, it ends, however idle the others are.
func (t *row) placed(s *server) bool {
	open := func(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
	return open(t.AllowedZones, s.Zone) && open(t.AllowedMachineTypes, s.MachineType)
}

func (r *Balancer) mayDecline(op *operation) bool {
	return op.row.Idempotency == Idempotent || op.row.Idempotency == IdempotencyKeyed && op.row.DeduplicationScope == ScopeAll ||
		!op.any(func(e *execution) bool { return !e.harmless })
}

func (r *Balancer) execute(op *operation, s *server) {
	if !r.mayExecute(op, s) {
		panic("an execution that the rules forbid")
	}
	e := &execution{of: op, on: s, n: len(op.executions), sent: r.now, out: true}
	op.executions, s.out = append(op.executions, e), append(s.out, e)
	r.flying, s.budget, r.turned, r.tried = r.flying+1, s.budget-1, 0, r.now
	limit, latest := op.hardStop-r.now, op.due-op.row.lag-r.now
	// It is cut off while one more execution still fits into the promised time, on a server that just failed.
	// Else a cut may stop no work, and another fares no better.
	if s.fails > 0 && *op.purse >= 1 && latest > op.row.lag && op.row.Idempotency == Idempotent {
		limit = min(limit, latest)
	}
	within, ran := limit, slices.IndexFunc(op.executions, func(x *execution) bool { return x != e && !x.harmless })
	if ran >= 0 && op.row.Idempotency == IdempotencyKeyed { // a repeat is dropped within its window alone: it must not wait beyond that
		within = min(limit, op.executions[ran].sent+op.row.DeduplicationWindow-r.now)
	}
	r.host.StartAttempt(op.id, s.ID, limit, within)
}

// OnStreamStart takes the start of a stream: there is no hard stop from here on, and no other execution.
func (r *Balancer) OnStreamStart(now float64, id uint64, n int) {
	r.now = now
	if op := r.ops[id]; op != nil && n >= 0 && n < len(op.executions) {
		op.began = true
		r.withdraw(op, func(e *execution) bool { return e.n != n })
	}
}

// OnAttemptEnd takes the end of an execution.
func (r *Balancer) OnAttemptEnd(now float64, id uint64, n int, how Outcome, lag float64, final bool) {
	r.now = now
	op := r.ops[id]
	if op == nil || n < 0 || n >= len(op.executions) || !op.executions[n].out {
		return
	}
	e := op.executions[n]
	e.out, r.flying = false, r.flying-1
	e.harmless = how == Overloaded || how == ConnectFailed || how == NotAttempted || how == CacheMiss
	e.on.out = slices.DeleteFunc(e.on.out, func(x *execution) bool { return x == e })
	r.learn(e, how, lag)
	if final || op.answered {
		r.end(op)
	} else {
		r.further(op, e, how)
	}
}

func (r *Balancer) learn(e *execution, how Outcome, lag float64) {
	s, t := e.on, e.of.row
	if e.erred = how == ServerError; e.erred && r.blamed(e) {
		r.won++ // the server does its work: what is shed for lost ones must not go on for these
		return
	}
	switch how {
	case Succeeded, CacheMiss:
		if s.down && s.fails >= 5 { // it refused three times or more and is back: it may have started anew, cold
			s.fresh, s.filled, s.budget = r.now, r.now, r.chance()
		}
		s.fails, s.down, r.faulty[e.of.hash%slots] = 0, false, 0
		if r.isOrigin(s) {
			break // the flow and the part that finishes are the caches'
		}
		span := max(1, r.set.WarmupDuration)
		r.flow, r.flowAt = r.flow*math.Exp((r.flowAt-r.now)/span)+1/span, r.now
		r.among += (float64(len(r.ready)) - r.among) / max(1, span*r.flow)
		r.taken += (1 - r.taken) / 16
		r.won++
		*e.of.purse = min(*e.of.purse+0.1, 10) // a tenth more executions than finish at most: no storm of repeats
	case Overloaded: // it has no place, which tells nothing of how long it takes, nor of its health
		if r.isOrigin(s) {
			r.bear(s, how, lag, t)
			return
		}
		r.taken -= r.taken / 16
		return
	case ServerError, ConnectFailed, ConnectionLost, TimedOut, OutcomeUnknown:
		if how == TimedOut && lag < t.lag {
			return // it had no time to answer
		}
		if how == ServerError || how == TimedOut {
			r.lost++
		}
		s.fails++
		r.taken -= r.taken / 16
		if s.down = s.down || how == ConnectFailed; s.down {
			s.fails = max(s.fails, 3)
		}
		// Passed over for the promised time at first, doubled with each failure up to the warm-up.
		s.until = r.now + min(t.LatencyObjective*math.Pow(2, float64(s.fails-3)), max(t.LatencyObjective, r.set.WarmupDuration))
	default:
		return
	}
	if r.isOrigin(s) {
		r.bear(s, how, lag, t)
	}
	if how == CacheMiss || r.isOrigin(s) {
		return // neither a miss nor a fetch tells of the usual path
	}
	if how == Succeeded {
		t.lag, t.heard = max(t.lag+(lag-t.lag)/16, 1e-6), r.now
	}
	if how == Succeeded && r.now <= e.of.due && !r.set.OrderedConnections { // there an execution waits for those before it
		r.timely += (1 - r.timely) / 64
	} else if e.of.worth == 1 {
		r.timely -= r.timely / 64
	}
	was := 1 + (s.slow-1)*math.Exp((s.heard-r.now)/t.LatencyObjective/8)
	s.seem(r.now, lag/t.lag)
	if how == ConnectFailed {
		r.tell(s, t, refused, was)
	} else if how == Succeeded || how == TimedOut {
		r.tell(s, t, min(lag/t.lag*32, refused-1), was)
	}
}

// blamed tells that an error follows the operation, not the server: another server answered it so, too, or
// those with its keys were so answered of late. Such errors bench nobody.
func (r *Balancer) blamed(e *execution) bool {
	faulty := &r.faulty[e.of.hash%slots]
	for _, x := range e.of.executions {
		if x.erred && x.on != e.on {
			x.on.fails, *faulty = max(0, x.on.fails-1), *faulty+1
			return true
		}
	}
	return *faulty >= 1
}

// seem moves a cache's slowness, and gently the part of its points: the keys that move miss.
func (s *server) seem(now, took float64) {
	s.slow, s.heard = s.slow+(min(took, 4)-s.slow)/8, now // a single long one says little
	if s.slow > 1.5 {
		s.share = max(0.5, s.share-1.0/64)
	} else if s.slow < 1 {
		s.share = min(1, s.share+1.0/256)
	}
}

// A word is the end of a cache's id and a byte for its time over its type's mean, or that it refused.
const wordSize, messageSize, refused = 3, 15, 255

// tell passes on to all peers how each execution went, as far as the price allows, and at once what is news
// of a cache. What all move at once misses at the origin: only by a router that would know nothing without.
func (r *Balancer) tell(s *server, t *row, took, was float64) {
	if !r.set.GossipAllowed || !r.sparse(t) {
		return
	}
	r.words = append(binary.LittleEndian.AppendUint16(r.words, uint16(s.ID)), byte(took))
	r.words = r.words[max(0, len(r.words)-messageSize):]
	// One part in two hundred of all benefit, at the stated price, is what messages may cost.
	cost := r.set.GossipPrice * (messageSize + 1) / 256 * float64(r.set.RouterCount-1)
	r.voice = min(r.voice+min(1, 0.005/max(cost, 1e-9)), 4)
	if r.voice >= 1 && (math.Abs(min(took/32, 4)-was) > 1 || len(r.words) == messageSize) {
		r.voice--
		r.host.Gossip(r.words)
		r.words = r.words[:0]
	}
}

// OnGossip takes a peer's words. One counts as two executions of our own, since most are not told.
func (r *Balancer) OnGossip(now float64, words []byte) {
	r.now = now
	for ; len(words) >= wordSize; words = words[wordSize:] {
		for _, s := range r.ready {
			named := uint16(s.ID) == binary.LittleEndian.Uint16(words)
			if named && words[2] == refused && now-s.well > r.longest { // one cut off must not bench it for all
				s.fails, s.down, s.until = max(s.fails, 3), true, max(s.until, now+r.longest)
			} else if named {
				r.weigh(s, float64(words[2])/32)
			}
		}
	}
}

// loaded is what all routers told of a cache lately.
func (r *Balancer) loaded(s *server) float64 { return s.load * math.Exp((s.loadAt-r.now)/recall) }

const recall = 3 // seconds over which load is summed: with 1 more keys moved to and fro, and missed

// weigh adds a word to what all routers have in flight, the number of executions times how long each was out,
// and to how slow a cache is: over about a second, some dozens of words; where few come each weighs more.
func (r *Balancer) weigh(s *server, took float64) {
	r.load, r.loadAt = r.load*math.Exp((r.loadAt-r.now)/recall)+took, r.now
	s.load = r.loaded(s) + took
	s.joint += (took - s.joint) * min(max(1-math.Exp(s.loadAt-r.now), 1.0/32), 0.5)
	if s.loadAt = r.now; took < 4 { // below what no answer takes
		s.well = r.now
	}
}

// further goes on after an execution without an answer, if the time left is enough.
func (r *Balancer) further(op *operation, e *execution, how Outcome) {
	if op.any((*execution).isOut) {
		return
	}
	s, missed := r.choose(op), r.set.CacheAside && (how == CacheMiss || e.harmless && r.isOrigin(e.on))
	if missed {
		s = r.origin(op)
	}
	// Where nearly all are full, each further try crowds them more: most of these come from the purse, too.
	room := how == CacheMiss || how == Cancelled || e.harmless && (e.on.down || r.chance() < 2*r.taken)
	if s != nil && op.hardStop-r.now > r.expect(op, s) && (room || *op.purse >= 1) {
		if !room {
			*op.purse--
		}
		r.execute(op, s)
	} else if s == nil {
		r.giveUp(op, ReasonNoEndpoint)
	} else {
		r.giveUp(op, ReasonNoTime)
	}
}

func (r *Balancer) isOrigin(s *server) bool {
	return r.set.CacheAside && s.MachineType != "" && s.MachineType == r.set.OriginMachineType
}

// origin picks the least busy server of the origin that bears one more, or none. It is slow, all share it,
// and what is sent over its bound keeps it from answering at all.
func (r *Balancer) origin(op *operation) (best *server) {
	for _, s := range r.origins {
		room := float64(len(s.out)) < s.limit*math.Sqrt(op.worth)
		if room && r.mayExecute(op, s) && (best == nil || len(s.out) < len(best.out)) {
			best = s
		}
	}
	return best
}

// bear moves the bound of what the origin is sent: up by one for each full round that it answers in half of
// the promised time, down by a third, once a round, where it does not.
func (r *Balancer) bear(s *server, how Outcome, lag float64, t *row) {
	switch inTime := how == Succeeded && lag < t.LatencyObjective/2; {
	case inTime && float64(len(s.out))+1 >= s.limit/2:
		s.limit += 1 / s.limit
	case !inTime && r.now-s.lowered > lag:
		s.limit, s.lowered = max(1, s.limit*2/3), r.now
	}
}

// expect is the time that an execution on s should take. What was seen fades within eight promised times.
func (r *Balancer) expect(op *operation, s *server) float64 {
	fade := func(heard float64) float64 { return math.Exp((heard - r.now) / op.row.LatencyObjective / 8) }
	usual := op.row.LatencyObjective / 4
	slow := 1 + (s.slow-1)*fade(s.heard)
	if r.set.WeightMode == WeightsLive && r.sparse(op.row) { // an execution waits for what the cache holds
		slow = (1 + r.loaded(s)) / (1 + r.load/float64(len(r.ready)))
	}
	return (usual + (op.row.lag-usual)*fade(op.row.heard)) * slow
}

// giveUp sends the final answer of an operation that will get no other, at once.
func (r *Balancer) giveUp(op *operation, why RejectReason) {
	if len(op.executions) == 0 {
		if r.taken, r.turned = r.taken-r.taken/16, r.turned+1; op.paid != nil {
			op.paid.tokens++
		}
	}
	if pause := min(op.row.LatencyObjective*(0.5+r.chance()), r.set.MaxRetryAfter); r.mayDecline(op) {
		r.host.Reject(op.id, pause, why)
	} else {
		r.host.Fail(op.id)
	}
	r.end(op)
}

// end stops what is still out of an answered operation, and drops it once nothing is.
func (r *Balancer) end(op *operation) {
	if !op.answered {
		op.answered = true
		r.withdraw(op, (*execution).isOut)
	}
	if !op.any((*execution).isOut) {
		delete(r.ops, op.id)
	}
}

func (r *Balancer) withdraw(op *operation, which func(*execution) bool) {
	for _, e := range op.executions {
		if e.out && which(e) && r.set.CancellationAllowed {
			r.host.CancelAttempt(op.id, e.n)
		}
	}
}

// OnClientGone takes the client's departure.
func (r *Balancer) OnClientGone(now float64, id uint64) {
	r.now = now
	if op := r.ops[id]; op != nil {
		r.end(op)
	}
}

// SetFleetSize takes how many routers are heard; the settings' number holds where these are fewer: some are mute.
func (r *Balancer) SetFleetSize(now float64, n int) {
	r.now, r.tier = now, float64(max(r.set.RouterCount, n))
}

// OnProbeResult takes the end of a probe.
func (r *Balancer) OnProbeResult(now float64, id uint64, how Outcome) { r.now = now }

// SetZoneShare takes the part of its keys that a zone serves from now on, the same keys at every router. What is out
// in one that is left goes elsewhere, where it may: it would wait there for all of its client's patience.
func (r *Balancer) SetZoneShare(now float64, zone string, share float64) {
	r.now, r.left[zone] = now, 1-share
	for _, id := range slices.Sorted(maps.Keys(r.ops)) {
		if op := r.ops[id]; share == 0 && r.mayDecline(op) {
			r.withdraw(op, func(e *execution) bool { return e.on.Zone == zone && !r.isOrigin(e.on) })
		}
	}
}

// OnTimer takes a timer: the list is asked for again, after an error or if nothing came.
func (r *Balancer) OnTimer(now float64, name string) {
	r.now = now
	overdue := name == "watch" && r.asked > 0 && now-r.asked >= max(1, r.set.PollInterval/2)-r.set.EventInterval
	if overdue || name == "rewatch" {
		r.watch()
	}
}
