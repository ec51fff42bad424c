// Package broker stands between the fronts and the pools: it tells by its contract which team an operation is of, asks
// whether the team may have it now, and hands it to the core of the team's pool. It runs on the loop and does no I/O.
package broker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/policy/bulkhead"
	"bendtrestle/internal/policy/quota"
	"bendtrestle/internal/requestcore"
)

// TeamTerms are what a team and the operators have agreed on, and how the team's traffic is known.
type TeamTerms struct {
	quota.Quota
	Pool           string // "": the platform's
	Listen         string // an address of its own; what comes in there is the team's
	Tenant         string // the tenant that its clients name
	Prefix         string // what its keys begin with
	TrafficClasses []balancer.TrafficClass
}

// Pool is a pool as the operators' file has it.
type Pool struct {
	Name        string
	Core        *requestcore.Core
	Capacity    float64 // seconds of load a second, over all routers; 0: not stated
	Connections int     // to its servers
}

// Limits bound what is open and held, over all teams.
type Limits struct {
	Requests      int // operations
	BufferedBytes int // bytes of values
	Connections   int // of clients
}

// UnmatchedTraffic says who takes what matches no contract.
type UnmatchedTraffic bool

// Either the platform's pool does, as without contracts, or nobody.
const (
	UnmatchedToPlatform UnmatchedTraffic = false
	UnmatchedRejected   UnmatchedTraffic = true
)

// Broker is all contracts.
type Broker struct {
	now       func() float64
	me        int
	routers   int
	seed      uint32
	limits    Limits
	plain     *plain
	others    UnmatchedTraffic
	teams     map[string]*team
	listeners map[string]*team
	tenants   map[string]*team
	prefixes  []*team // the longest first
	pools     map[string]*pool
	places    *bulkhead.Bulkhead // operations
	bytes     *bulkhead.Bulkhead
	doors     *bulkhead.Bulkhead // clients' connections
	tallies   map[string]*Tally
	revision  int
	longest   float64

	weights, weighedDoors map[string]float64 // of the teams, as places are split by
}

// pool is one pool with its budgets.
type pool struct {
	Pool
	budgets *quota.Limiter
	parts   *quota.Shares
	out     *bulkhead.Bulkhead // operations, as many as there are connections to its servers
}

// team is one contract, as it is now.
type team struct {
	TeamTerms
	b                 *Broker
	pool              *pool
	kinds             map[string]kind
	place, byte, door *bulkhead.Partition
	out               *bulkhead.Partition
	tally             *Tally
}

// kind is a traffic type of a team, under the name by which its pool's module knows it.
type kind struct {
	name  string
	stop  float64
	guess float64
}

// Tally is what became of a team's operations.
type Tally struct {
	Received, Succeeded, Rejected, Failed, Disconnected uint64
	Reasons                                             [len(requestcore.ReasonNames)]uint64
	LoadUsed                                            float64 // seconds of load
}

// New makes a broker without contracts: all goes to the platform's core, within the limits.
func New(now func() float64, set balancer.Settings, core *requestcore.Core, limits Limits) *Broker {
	b := &Broker{now: now, me: set.RouterIndex, routers: max(1, set.RouterCount), seed: set.Seed, limits: limits, tallies: map[string]*Tally{},
		places: bulkhead.New(limits.Requests), bytes: bulkhead.New(limits.BufferedBytes), doors: bulkhead.New(limits.Connections)}
	b.plain = &plain{b: b, core: core, types: set.TrafficClasses, hardStops: map[string]float64{}, tenants: map[string]bool{}}
	for _, t := range set.Tenants {
		b.plain.tenants[t.Name] = true
	}
	for _, t := range set.TrafficClasses {
		b.plain.hardStops[t.Name] = t.Deadline
	}
	return b
}

// Route tells who takes an operation: the team whose listener it came in at, else the one that its client names, else
// the one whose keys begin so.
func (b *Broker) Route(listener, tenant, key string) requestcore.Route {
	if len(b.teams) > 0 {
		if t := b.listeners[listener]; t != nil {
			return t
		}
		if t := b.tenants[tenant]; t != nil && tenant != "" {
			return t
		}
		for _, t := range b.prefixes {
			if strings.HasPrefix(key, t.Prefix) {
				return t
			}
		}
	}
	if listener != "" || b.others == UnmatchedRejected { // a listener whose team has gone is nobody's
		return nil
	}
	return b.plain
}

// AdmitConnection tells whether another connection may come in, and takes a place for it. Those at the platform's listener are
// bounded by the front, all together.
func (b *Broker) AdmitConnection(listener string) bool {
	t := b.listeners[listener]
	switch {
	case listener == "":
		b.doors.ForceAcquire(nil, 1)
		return true
	case t == nil:
		return false
	}
	return b.doors.TryAcquire(t.door, 1)
}

// ReleaseConnection takes the end of a connection.
func (b *Broker) ReleaseConnection(listener string) {
	if t := b.listeners[listener]; t != nil && t.door.InUse() > 0 {
		b.doors.Release(t.door, 1)
	} else {
		b.doors.Release(nil, 1)
	}
}

// plain is the platform's route: no team, no budget.
type plain struct {
	b         *Broker
	core      *requestcore.Core
	types     []balancer.TrafficClass // the platform's, which stay with its pool
	hardStops map[string]float64
	tenants   map[string]bool // that the platform knows
}

func (p *plain) MaxDeadline(kind string) (float64, bool) {
	most, known := p.hardStops[kind]
	return most, known
}

func (p *plain) HasCapacity() bool {
	return p.b.places.CanAcquire(nil, 1) && p.b.bytes.CanAcquire(nil, 1)
}

func (p *plain) Submit(op *requestcore.Request, client requestcore.Client) (*requestcore.Core, uint64) {
	p.b.places.ForceAcquire(nil, 1)
	op.Usage = p
	if !p.tenants[op.Tenant] {
		op.Tenant = "" // the module keeps a record of each: clients must not make up ever new ones
	}
	return p.core, p.core.Submit(op, client)
}

func (p *plain) AddHeldBytes(n int) { p.b.bytes.ForceAcquire(nil, n) }

// AttemptEnded, Answered and Ended are told by the core; an operation has its place until nothing of it is out.
func (p *plain) AttemptEnded(float64) {}

// Answered takes no note.
func (p *plain) Answered(requestcore.RequestEnd, requestcore.RejectReason) {}

// RequestDone gives the place back.
func (p *plain) RequestDone() { p.b.places.Release(nil, 1) }

func (t *team) MaxDeadline(kind string) (float64, bool) {
	k, known := t.kinds[kind]
	return k.stop, known
}

// HasCapacity tells whether there is a place for another operation that is not some other team's last one.
func (t *team) HasCapacity() bool {
	if t.b.places.CanAcquire(t.place, 1) && t.b.bytes.CanAcquire(t.byte, 1) && t.pool.out.CanAcquire(t.out, 1) {
		return true
	}
	t.tally.Received++
	t.tally.decline(requestcore.ReasonNoCapacity)
	return false
}

// Submit admits an operation or declines it at once.
func (t *team) Submit(op *requestcore.Request, client requestcore.Client) (*requestcore.Core, uint64) {
	k := t.kinds[op.Class]
	t.tally.Received++
	verdict := t.pool.budgets.Admit(t.b.now(), t.Team, op.Class, k.guess)
	if !verdict.Admitted() {
		t.tally.decline(requestcore.ReasonQuota)
		client.Rejected(verdict.RetryAfter)
		return nil, 0
	}
	t.b.places.ForceAcquire(t.place, 1)
	t.pool.out.ForceAcquire(t.out, 1)
	op.Usage = &account{team: t, ticket: verdict.Reservation}
	op.Class, op.Tenant = k.name, t.Team
	return t.pool.Core, t.pool.Core.Submit(op, client)
}

func (t *team) AddHeldBytes(n int) { t.b.bytes.ForceAcquire(t.byte, n) }

func (y *Tally) decline(why requestcore.RejectReason) {
	y.Rejected++
	y.Reasons[why]++
}

// account is one operation of a team. It ends under the contract it began with.
type account struct {
	team   *team
	ticket *quota.Reservation
	took   float64
}

func (a *account) AttemptEnded(seconds float64) {
	a.took += a.team.pool.budgets.ChargeableTime(a.ticket, seconds)
}

func (a *account) Answered(end requestcore.RequestEnd, why requestcore.RejectReason) {
	switch y := a.team.tally; end {
	case requestcore.Succeeded:
		y.Succeeded++
	case requestcore.Rejected:
		y.decline(why)
	case requestcore.Failed:
		y.Failed++
	case requestcore.ClientGone:
		y.Disconnected++
	}
}

func (a *account) RequestDone() {
	t := a.team
	t.pool.budgets.Settle(t.b.now(), a.ticket, a.took)
	t.b.places.Release(t.place, 1)
	t.pool.out.Release(t.out, 1)
	t.tally.LoadUsed += a.took
}

// Configure takes new contracts and pools, and gives a line for each change. Operations that are open end under the old
// ones; balances carry over, also into another pool.
func (b *Broker) Configure(pools []Pool, all []TeamTerms, others UnmatchedTraffic) []string {
	now := b.now()
	b.revision++
	lines := b.differences(pools, all, others)
	before, balances := b.teams, map[string]float64{}
	for name, t := range before {
		balances[name] = t.pool.budgets.Balance(now, name)
	}
	b.changePools(now, pools, all)
	weights := map[string]float64{}
	doors := map[string]float64{}
	for _, t := range all {
		if weights[t.Team] = cmp.Or(t.GuaranteedRate, 1e-6); t.Listen != "" {
			doors[t.Team] = weights[t.Team]
		}
	}
	b.weights, b.weighedDoors = weights, doors
	b.SetLimits(b.limits)
	b.teams, b.listeners, b.tenants, b.prefixes, b.others = map[string]*team{}, map[string]*team{}, map[string]*team{}, nil, others
	for _, terms := range all {
		t := b.team(terms)
		b.teams[t.Team] = t
		if t.Listen != "" {
			b.listeners[t.Listen] = t
		}
		if t.Tenant != "" {
			b.tenants[t.Tenant] = t
		}
		if t.Prefix != "" {
			b.prefixes = append(b.prefixes, t)
		}
		if was := before[t.Team]; was != nil && was.Pool != t.Pool {
			t.pool.budgets.AdoptBalance(now, t.Team, balances[t.Team])
		}
	}
	slices.SortStableFunc(b.prefixes, func(a, c *team) int { return cmp.Compare(len(c.Prefix), len(a.Prefix)) })
	for name := range b.tallies {
		if b.teams[name] == nil {
			delete(b.tallies, name)
		}
	}
	return lines
}

// SetLimits sets what may be open and held from now on; what is beyond it ends as it would.
func (b *Broker) SetLimits(limits Limits) {
	b.limits = limits
	b.places.Repartition(limits.Requests, b.weights)
	b.bytes.Repartition(limits.BufferedBytes, b.weights)
	b.doors.Repartition(limits.Connections, b.weighedDoors)
}

// changePools sets up budgets, parts, places and the modules' traffic types of all pools.
func (b *Broker) changePools(now float64, pools []Pool, all []TeamTerms) {
	old := b.pools
	b.pools = map[string]*pool{}
	for _, p := range pools {
		mine := old[p.Name]
		if mine == nil {
			mine = &pool{budgets: quota.NewLimiter(now, p.Capacity, b.seed+uint32(len(b.pools))), out: bulkhead.New(p.Connections)}
			mine.parts = quota.NewShares(mine.budgets, b.me, b.routers)
		}
		mine.Pool = p
		var theirs []quota.Quota
		var types []balancer.TrafficClass
		weights := map[string]float64{}
		for _, t := range all {
			if t.Pool != p.Name {
				continue
			}
			theirs = append(theirs, t.Quota)
			weights[t.Team] = cmp.Or(t.GuaranteedRate, 1e-6)
			for _, k := range t.TrafficClasses {
				k.Name = t.Team + "/" + k.Name
				types = append(types, k)
			}
		}
		mine.budgets.SetQuotas(now, p.Capacity, theirs)
		mine.parts.Recompute(now)
		mine.out.Repartition(p.Connections, weights)
		if p.Name == "" {
			types = append(types, b.plain.types...)
		}
		p.Core.SetTrafficClasses(types)
		b.pools[p.Name] = mine
	}
}

func (b *Broker) team(terms TeamTerms) *team {
	p := b.pools[terms.Pool]
	t := &team{TeamTerms: terms, b: b, pool: p, kinds: map[string]kind{}, place: b.places.Partition(terms.Team),
		byte: b.bytes.Partition(terms.Team), door: b.doors.Partition(terms.Team), out: p.out.Partition(terms.Team)}
	for _, k := range terms.TrafficClasses {
		// Until its operations are seen one is taken to cost a quarter of the promised time, as the module does.
		b.longest = max(b.longest, k.Deadline)
		t.kinds[k.Name] = kind{name: terms.Team + "/" + k.Name, stop: k.Deadline, guess: k.LatencyObjective / 4}
	}
	if t.tally = b.tallies[terms.Team]; t.tally == nil {
		t.tally = &Tally{}
		b.tallies[terms.Team] = t.tally
	}
	return t
}

// differences tells what changes, a line each: what it was, what it is.
func (b *Broker) differences(pools []Pool, all []TeamTerms, others UnmatchedTraffic) (lines []string) {
	say := func(format string, about ...any) { lines = append(lines, fmt.Sprintf(format, about...)) }
	named := map[string]bool{}
	for _, t := range all {
		named[t.Team] = true
		was := b.teams[t.Team]
		if was == nil {
			say("team %s comes: %s", t.Team, t.text())
		} else if was.TeamTerms.text() != t.text() {
			say("team %s changes from: %s, to: %s", t.Team, was.TeamTerms.text(), t.text())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		if !named[name] {
			say("team %s goes: %s", name, b.teams[name].TeamTerms.text())
		}
	}
	kept := map[string]bool{}
	for _, p := range pools {
		kept[p.Name] = true
		if was := b.pools[p.Name]; was == nil && p.Name != "" {
			say("pool %s comes, capacity %v", p.Name, p.Capacity)
		} else if was != nil && was.Capacity != p.Capacity {
			say("pool %s changes from capacity %v to %v", cmp.Or(p.Name, "of the platform"), was.Capacity, p.Capacity)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if !kept[name] {
			say("pool %s goes", name)
		}
	}
	if b.revision > 1 && others != b.others {
		say("what no contract holds for changes from declined %v to %v", bool(b.others), bool(others))
	}
	return lines
}

// text tells terms in a line.
func (t TeamTerms) text() string {
	text := fmt.Sprintf("pool %q, budget %v, burst %v, borrow %v, weight %v, listen %q, tenant %q, prefix %q", t.Pool, t.GuaranteedRate, t.Burst,
		t.BorrowRate, t.Weight, t.Listen, t.Tenant, t.Prefix)
	for _, k := range t.TrafficClasses {
		text += fmt.Sprintf("; %s %s %v/%v s benefit %v", k.Name, [...]string{"at-most-once", "numbered", "reissuable"}[k.Idempotency],
			k.LatencyObjective, k.Deadline, k.PriorityWeight)
	}
	return text
}

// Revision counts the changes.
func (b *Broker) Revision() int { return b.revision }

// QuotaMessages gives what is to be told to the other routers now.
func (b *Broker) QuotaMessages() (all [][]byte) {
	now := b.now()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if words := b.pools[name].parts.Message(now); words != nil {
			all = append(all, words)
		}
	}
	return all
}

// OnQuotaMessage takes another router's words; false if they are not about contracts.
func (b *Broker) OnQuotaMessage(words []byte) (known bool) {
	now := b.now()
	for _, p := range b.pools {
		known = p.parts.OnMessage(now, words) || known
	}
	return known
}

// TrafficClassNames names the traffic types of all contracts, as clients do.
func (b *Broker) TrafficClassNames() (all []string) {
	for _, t := range b.teams {
		for _, k := range t.TrafficClasses {
			all = append(all, k.Name)
		}
	}
	return all
}

// HasTeam tells whether there is such a team.
func (b *Broker) HasTeam(team string) bool { return b.teams[team] != nil }

// LongestDeadline is the longest hard stop of any contract that ever held: what is open may have begun under it.
func (b *Broker) LongestDeadline() float64 { return b.longest }

// OpenRequests is how many operations have a place.
func (b *Broker) OpenRequests() int { return b.places.InUse() }

// TeamState is a team as it stands.
type TeamState struct {
	Team, Pool                     string
	GuaranteedRate, Share, Balance float64
	Tally
	OpenRequests int
}

// TeamStates gives all teams, by name.
func (b *Broker) TeamStates() (all []TeamState) {
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		t := b.teams[name]
		s := TeamState{Team: name, Pool: t.Pool, GuaranteedRate: t.GuaranteedRate, Tally: *t.tally, OpenRequests: t.place.InUse()}
		if m := t.pool.budgets.Bucket(name); m != nil {
			s.Share, s.Balance = m.Share(), m.Balance()
		}
		all = append(all, s)
	}
	return all
}
