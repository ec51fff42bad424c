// Package quota decides whether a team's operation is admitted. A team's budget is of load: seconds that executions
// really take at servers, for each second of time. It does no I/O and has no clock: times come in as arguments.
//
// Each team has a balance that fills at its budget's rate up to its burst. An operation is admitted while the balance is
// above 0, whatever others do; it is charged an estimate at once and what it really took at its end. What a full balance
// cannot take, and what the pool's capacity has beyond all budgets, is what is left unused: it is shared by weight
// among the teams that ask for more than their own, and stops the moment its owner spends again.
package quota

import (
	"cmp"
	"math"
	"slices"
)

// Quota is what a team and the operators have agreed on.
type Quota struct {
	Team           string
	GuaranteedRate float64 // seconds of load a second, over all routers
	Burst          float64 // seconds of load that may come at once, over all routers
	BorrowRate     float64 // seconds of load a second, beyond the budget, of what others leave unused; 0: none
	Weight         float64 // its part of what is left unused, against others'; 0: as its budget
	FlatCost       float64 // what every operation counts, whatever it takes: a plain rate, to compare with; 0: what it takes
}

// Reason tells how an operation was decided on.
type Reason int

// The reasons.
const (
	WithinQuota Reason = iota // admitted within the budget
	Borrowed                  // admitted from what others leave unused
	OverQuota                 // declined: beyond the budget, and nothing is left unused for this team
	UnknownTeam               // declined: there is no such team, or its contract was ended
)

// Admitted tells whether the operation goes on.
func (r Reason) Admitted() bool { return r == WithinQuota || r == Borrowed }

func (r Reason) String() string {
	return [...]string{"own budget", "borrowed", "budget", "no contract"}[r]
}

// How the figures were chosen.
const (
	longestStep = 10.0 // seconds that one step of the clock fills at most: a clock that jumps invents no balance
	asking      = 1.0  // seconds for which a team that asked for more counts as one that shares what is left
	leftFor     = 0.25 // seconds of what is left unused that are kept: it is for now, not for later
	learning    = 16.0 // operations over which an estimate is the mean
)

// Limiter is the balances of one pool at one router.
type Limiter struct {
	capacity float64 // of the pool, over all routers; 0: not stated
	part     float64 // of the capacity that this router may lend out
	clock    float64 // seconds that have passed; steps of the caller's clock are bounded
	last     float64 // the caller's time then
	begun    bool
	teams    map[string]*Bucket
	budgets  float64 // of all teams, over all routers
	unused   float64 // what full balances cannot take, a second
	rate     float64 // of all that is left unused, a second
	waiting  filling // teams with a balance that is not full, by when it will be
	askers   askers  // that share what is left, the one that asked longest ago first
	weights  float64 // of these
	each     float64 // what was left for a weight of 1, since the start
	left     float64 // for any asker: what nobody asked for lately
	seed     uint32
	draws    uint64
	Totals   UnusedTotals
}

// UnusedTotals tell where what was left unused went. Balance: left over all = Filled - Dropped - Charged + Forgiven.
type UnusedTotals struct{ Filled, Dropped, Charged, Forgiven float64 }

// Bucket is one team's balance at one router.
type Bucket struct {
	Quota
	in      *Limiter
	ended   bool
	part    float64 // of the budget that this router has
	balance float64
	at      float64 // when it was reckoned
	full    bool
	fullAt  float64
	slot    int     // in waiting; -1: not there
	own     float64 // of what was left unused, kept for this asker
	seen    float64 // of Pool.each, when own was reckoned
	may     float64 // it may borrow so much now
	mayAt   float64
	asks    bool
	asked   float64
	before  *Bucket // among the askers
	after   *Bucket
	back    float64 // when the last of those that were told to come back will
	costs   map[string]*ClassCost
	Demand  Demand
	Totals  BucketTotals
}

// BucketTotals tell what a team was given. Balance: balance = Start + Filled - Spilled - Charged + Forgiven.
type BucketTotals struct {
	Start, Filled, Spilled, Charged, Forgiven float64
	WithinQuota, Borrowed, Rejected           uint64  // operations
	LoadUsed                                  float64 // seconds of load, of operations that have ended
	InFlight                                  int
}

// ClassCost is what operations of one traffic type cost a team.
type ClassCost struct {
	mean  float64
	quiet float64 // the time that a quarter of its executions stay below: what they take where they do not wait
}

// Reservation is an operation that was admitted. It belongs to the contract it began with, whatever becomes of that.
type Reservation struct {
	team   *Bucket
	cost   *ClassCost
	held   float64
	reason Reason
	ended  bool
}

// NewLimiter makes one without teams. The capacity is stated by the operators, or 0.
func NewLimiter(now, capacity float64, seed uint32) *Limiter {
	p := &Limiter{capacity: max(0, capacity), part: 1, teams: map[string]*Bucket{}, seed: seed}
	p.advance(now)
	p.rerate()
	return p
}

// Bucket gives a team's record, nil if there is none.
func (p *Limiter) Bucket(name string) *Bucket { return p.teams[name] }

// Buckets gives all, by name.
func (p *Limiter) Buckets() []*Bucket {
	var all []*Bucket
	for _, t := range p.teams {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Bucket) int { return cmp.Compare(a.Team, b.Team) })
	return all
}

// Balance is what a team may spend of its own now, below 0 where it owes.
func (t *Bucket) Balance() float64 { return t.balance }

// Share is the part of its budget that this router has.
func (t *Bucket) Share() float64 { return t.part }

// Unused is what is left unused now, for any asker.
func (p *Limiter) Unused() float64 { return p.left }

func (t *Bucket) fills() float64 { return t.GuaranteedRate * t.part }
func (t *Bucket) holds() float64 { return t.Burst * t.part }

// advance lets time pass. What fills up on the way is left unused from then on.
func (p *Limiter) advance(now float64) {
	step := 0.0
	if p.begun {
		step = min(max(now-p.last, 0), longestStep)
	}
	p.begun, p.last = true, now
	to := p.clock + step
	for len(p.waiting) > 0 && p.waiting[0].fullAt <= to {
		t := p.waiting[0]
		p.accrue(t.fullAt)
		p.settle(t)
	}
	p.accrue(to)
	for p.askers.first != nil && p.clock-p.askers.first.asked > asking {
		p.drop(p.askers.first)
	}
}

// accrue adds what is left unused up to a time of the pool's clock.
func (p *Limiter) accrue(to float64) {
	more := p.rate * max(0, to-p.clock)
	p.clock = max(p.clock, to)
	p.spill(more)
}

// spill takes load that is left unused: for those who ask, by weight, else for who comes first.
func (p *Limiter) spill(more float64) {
	if more <= 0 {
		return
	}
	p.Totals.Filled += more
	if p.weights > 0 {
		p.each += more / p.weights
		return
	}
	p.keep(more)
}

// keep adds to what any asker may take, up to its bound.
func (p *Limiter) keep(more float64) {
	room := max(0, p.rate*leftFor-p.left)
	p.left += min(room, more)
	p.Totals.Dropped += max(0, more-room)
}

// settle reckons a team's balance up to now, and notes whether it is full.
func (p *Limiter) settle(t *Bucket) {
	gain := t.fills() * (p.clock - t.at)
	t.at = p.clock
	if t.full || gain < 0 {
		return // what a full one would gain is counted in the rate of what is left
	}
	t.Totals.Filled += gain
	t.balance += gain
	p.top(t)
	p.await(t)
}

// top lets go of what a balance cannot take.
func (p *Limiter) top(t *Bucket) {
	if over := t.balance - t.holds(); over > 0 {
		t.balance -= over
		t.Totals.Spilled += over
		p.spill(over)
	}
}

const nearly = 1e-9 // seconds of load: less is a matter of rounding

// await notes whether a balance is full, and if not, when it will be.
func (p *Limiter) await(t *Bucket) {
	full := t.balance >= t.holds()-nearly && !t.ended
	if full != t.full {
		if t.full = full; full {
			p.unused += t.fills()
		} else {
			p.unused -= t.fills()
		}
		p.rerate()
	}
	p.waiting.remove(t)
	if !full && !t.ended && t.fills() > 0 {
		t.fullAt = p.clock + (t.holds()-t.balance)/t.fills()
		p.waiting.add(t)
	}
}

// rerate reckons what is left unused a second: the capacity beyond all budgets, and what full balances cannot take.
func (p *Limiter) rerate() { p.rate = max(0, p.capacity-p.budgets)*p.part + max(0, p.unused) }

// recount reckons the sums anew, free of what rounding left.
func (p *Limiter) recount() {
	p.budgets, p.unused = 0, 0
	for _, t := range p.Buckets() {
		if p.budgets += t.GuaranteedRate; t.full {
			p.unused += t.fills()
		}
	}
	p.rerate()
}

// Admit decides on an operation of a team. Where it is declined, after is how long its client is to stay away.
func (p *Limiter) Admit(now float64, team, kind string, guess float64) (ticket *Reservation, why Reason, after float64) {
	p.advance(now)
	t := p.teams[team]
	if t == nil {
		return nil, UnknownTeam, 0
	}
	c := t.cost(kind, guess)
	if t.FlatCost > 0 {
		c.mean = t.FlatCost
	}
	t.Demand.comes(p.clock, c.mean)
	p.settle(t)
	switch {
	case t.balance > 0:
		t.charge(c.mean)
		t.Totals.WithinQuota++
		why = WithinQuota
	case p.borrow(t, c.mean):
		t.Totals.Borrowed++
		why = Borrowed
	default:
		t.Totals.Rejected++
		return nil, OverQuota, p.comeBack(t, c.mean)
	}
	t.Totals.InFlight++
	return &Reservation{team: t, cost: c, held: c.mean, reason: why}, why, 0
}

func (t *Bucket) cost(kind string, guess float64) *ClassCost {
	c := t.costs[kind]
	if c == nil {
		c = &ClassCost{mean: max(guess, 1e-6)}
		t.costs[kind] = c
	}
	return c
}

// charge takes load from a team's own balance, or gives some back. It owes no more than its burst: what a service that
// hung for a moment cost beyond that is forgiven, or the team would be shut out for long after.
func (t *Bucket) charge(load float64) {
	t.balance -= load
	t.Totals.Charged += load
	if owed := -t.balance - max(t.holds(), load); owed > 0 {
		t.balance += owed
		t.Totals.Forgiven += owed
	}
	t.in.top(t)
	t.in.await(t)
}

// Borrowing.

// borrow takes load from what is left unused, if the contract allows it and it is this team's turn.
func (p *Limiter) borrow(t *Bucket, load float64) bool {
	if t.BorrowRate <= 0 {
		return false
	}
	p.ask(t)
	t.may = min(t.may+t.BorrowRate*t.part*(p.clock-t.mayAt), t.BorrowRate*t.part) // a second's worth at once
	t.mayAt = p.clock
	if t.may <= 0 {
		return false
	}
	switch {
	case t.own > 0:
		t.own -= load
	case p.left > 0:
		p.left -= load
	default:
		return false
	}
	t.may -= load
	p.Totals.Charged += load
	p.forgive(t)
	return true
}

// forgive bounds what is owed to others' unused load.
func (p *Limiter) forgive(t *Bucket) {
	bound := max(p.rate, p.capacity*p.part)*leftFor + nearly
	for _, x := range []*float64{&t.own, &p.left} {
		if owed := -*x - bound; owed > 0 {
			*x += owed
			p.Totals.Forgiven += owed
		}
	}
}

// ask counts a team among those that share what is left, and reckons its part so far.
func (p *Limiter) ask(t *Bucket) {
	if !t.asks {
		t.asks, t.seen = true, p.each
		p.weights += t.weight()
	} else {
		p.askers.remove(t)
	}
	p.askers.add(t)
	t.asked = p.clock
	p.share(t)
}

// share gives an asker its part; what it cannot keep is for any other.
func (p *Limiter) share(t *Bucket) {
	t.own += (p.each - t.seen) * t.weight()
	t.seen = p.each
	if bound := p.rate * leftFor * t.weight() / p.weights; t.own > bound {
		p.keep(t.own - bound)
		t.own = bound
	}
}

// drop takes a team from the askers.
func (p *Limiter) drop(t *Bucket) {
	if !t.asks {
		return
	}
	p.share(t)
	p.askers.remove(t)
	t.asks = false
	if p.weights -= t.weight(); p.askers.first == nil {
		p.weights, p.each = 0, 0 // not what rounding leaves
	}
	if t.own > 0 {
		p.keep(t.own)
	} else {
		p.left += t.own
	}
	t.own = 0
}

// weight is never so small that what is left for a weight of 1 outgrows what a number can tell apart.
func (t *Bucket) weight() float64 { return max(cmp.Or(t.Weight, t.GuaranteedRate, 1), 1e-3) }

const (
	waited   = 6.0      // times the quiet time, which leaves room for misses: beyond it an execution waits for others' work
	follows  = 1.0 / 16 // how fast the quiet time follows: some 150 executions for ten times as much
	quietest = 0.25     // the part of the executions that are below it
)

// ChargeableTime gives what an execution that took so long counts: all of it, but for waiting beyond what its traffic type's own
// executions usually need. Else a team would pay for the queues that another's dear operations make at shared servers.
func (p *Limiter) ChargeableTime(k *Reservation, seconds float64) float64 {
	c := k.cost
	switch {
	case c.quiet == 0:
		c.quiet = seconds
	case seconds < c.quiet:
		c.quiet *= 1 - (1-quietest)*follows
	default:
		c.quiet *= 1 + quietest*follows
	}
	c.quiet = max(c.quiet, 1e-6)
	return min(seconds, waited*c.quiet)
}

// Settle takes an operation's end: what all its executions really took takes the place of the estimate.
func (p *Limiter) Settle(now float64, k *Reservation, took float64) {
	if k == nil || k.ended {
		return
	}
	k.ended = true
	p.advance(now)
	t := k.team
	t.Totals.InFlight--
	t.Totals.LoadUsed += took
	if t.FlatCost > 0 {
		took = t.FlatCost
	}
	k.cost.mean += (took - k.cost.mean) / learning
	k.cost.mean = max(k.cost.mean, 1e-6)
	if t.ended {
		return
	}
	p.settle(t)
	if k.reason == WithinQuota {
		t.charge(took - k.held)
		return
	}
	p.Totals.Charged += took - k.held
	if more := k.held - took; more > 0 {
		p.keep(more)
		t.may = min(t.may+more, t.BorrowRate*t.part)
	} else {
		p.left += more
		t.may += more
		p.forgive(t)
	}
}

// comeBack tells how long a client is to stay away: until the budget has room for it behind those told before.
func (p *Limiter) comeBack(t *Bucket, load float64) float64 {
	if t.fills() <= 0 {
		return 0 // nothing will come
	}
	t.back = max(t.back, p.clock-min(0, t.balance)/t.fills()) + load/t.fills()
	wait := t.back - p.clock
	if wait > longestWait {
		t.back = p.clock + longestWait // more come than can be told apart
	}
	return min(wait, longestWait) * (0.75 + p.chance()/2)
}

const longestWait = 5.0 // seconds: clients that are told more have left

// chance draws a number from 0 up to 1.
func (p *Limiter) chance() float64 {
	p.draws++
	return float64(mix(p.seed, p.draws)) / (1 << 32)
}

// SetQuotas takes new contracts, all of the pool's. Balances carry over; the contract of a team that is no longer named
// ends, and its open operations end under it.
func (p *Limiter) SetQuotas(now, capacity float64, all []Quota) {
	p.advance(now)
	p.capacity = max(0, capacity)
	named := map[string]bool{}
	for _, c := range all {
		named[c.Team] = true
		if t := p.teams[c.Team]; t != nil {
			p.settle(t)
			asked := t.asks
			p.drop(t) // its weight may change
			t.Quota = c
			if asked && c.BorrowRate > 0 {
				p.ask(t)
			}
		} else {
			t = &Bucket{Quota: c, in: p, part: p.part, at: p.clock, mayAt: p.clock, slot: -1, costs: map[string]*ClassCost{}}
			t.balance = t.holds()
			t.Totals.Start = t.balance
			p.teams[c.Team] = t
		}
	}
	for name, t := range p.teams {
		if !named[name] {
			p.settle(t)
			p.drop(t)
			t.ended = true
			p.await(t)
			delete(p.teams, name)
		}
	}
	for _, t := range p.Buckets() {
		p.top(t)
		p.await(t)
	}
	p.recount()
}

// Balance is what a team may spend of its own at a time, 0 if there is none such.
func (p *Limiter) Balance(now float64, team string) float64 {
	p.advance(now)
	t := p.teams[team]
	if t == nil {
		return 0
	}
	p.settle(t)
	return t.balance
}

// AdoptBalance gives a team the balance that it had in another pool, as far as its burst here allows.
func (p *Limiter) AdoptBalance(now float64, team string, balance float64) {
	p.advance(now)
	if t := p.teams[team]; t != nil {
		p.settle(t)
		balance = min(balance, t.holds())
		t.Totals.Start += balance - t.balance
		t.balance = balance
		p.await(t)
	}
}

// SetShare sets the part of a team's budget that this router has.
func (p *Limiter) SetShare(now float64, t *Bucket, part float64) {
	p.advance(now)
	if t.ended || part == t.part {
		return
	}
	p.settle(t)
	was := t.fills()
	t.part = max(0, part)
	if t.full { // its smaller or larger burst was not spent
		t.Totals.Start += t.holds() - t.balance
		t.balance = t.holds()
		p.unused += t.fills() - was
		p.rerate()
	}
	p.top(t)
	p.await(t)
}

// SetUnreservedShare sets the part of the capacity beyond all budgets that this router may lend out.
func (p *Limiter) SetUnreservedShare(now, part float64) {
	p.advance(now)
	p.part = max(0, part)
	p.rerate()
}

// askers is a list of teams, the one that asked longest ago first.
type askers struct{ first, last *Bucket }

func (l *askers) add(t *Bucket) {
	t.before, t.after = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.after = t
	}
	l.last = t
}

func (l *askers) remove(t *Bucket) {
	if t.before == nil {
		l.first = t.after
	} else {
		t.before.after = t.after
	}
	if t.after == nil {
		l.last = t.before
	} else {
		t.after.before = t.before
	}
	t.before, t.after = nil, nil
}

// filling is a heap of teams, by when their balance will be full.
type filling []*Bucket

func (h *filling) add(t *Bucket) {
	t.slot = len(*h)
	*h = append(*h, t)
	h.up(t.slot)
}

func (h *filling) remove(t *Bucket) {
	i, last := t.slot, len(*h)-1
	if i < 0 {
		return
	}
	t.slot = -1
	moved := (*h)[last]
	*h = (*h)[:last]
	if i == last {
		return
	}
	(*h)[i], moved.slot = moved, i
	h.up(i)
	h.down(moved.slot)
}

func (h filling) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

func (h filling) up(i int) {
	for i > 0 && h[i].fullAt < h[(i-1)/2].fullAt {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h filling) down(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(h) && h[c].fullAt < h[least].fullAt {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// Demand is how much load a team asks for lately, admitted or not, a second.
type Demand struct{ rate, at float64 }

const lately = 1.0 // seconds

func (d *Demand) comes(now, load float64) {
	d.rate = d.Rate(now) + load/lately
	d.at = now
}

// Rate is the demand at a time of the pool's clock.
func (d *Demand) Rate(now float64) float64 { return d.rate * math.Exp(-(now-d.at)/lately) }
