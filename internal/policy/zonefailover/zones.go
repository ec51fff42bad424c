// Package zonefailover decides which part of its keys each zone serves: all, a growing part while it returns, or none. A router
// alone never decides it: each tells the others what it sees of a zone, and all come to the same verdict from the same
// evidence. It is stepped: executions, words, lists and ticks go in with their time, shares and words come out.
package zonefailover

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

// State is a named part of a zone's course.
type State uint8

// The states, in the order in which a zone goes through them.
const (
	Serving    State = iota // serves all of its keys
	Suspected               // this router has had no answer there for a while, or others say so
	Evacuated               // serves none
	Probing                 // left, and this router is one of the few that try it now
	Recovering              // serves a part that grows
)

func (s State) String() string {
	return [...]string{"well", "suspected", "left", "tried", "returning"}[s]
}

// Outcome an execution ended, as far as it says something of a zone.
type Outcome uint8

// The ends.
const (
	Answered     Outcome = iota // within its promised time
	Late                        // beyond it
	Overloaded                  // turned away
	NoAnswer                    // no answer, no connection, or it was lost
	Inconclusive                // given up by this router itself, or never sent
)

// Settings are what a router is told at its start.
type Settings struct {
	RouterIndex, RouterCount int
	Incarnation              uint16     // another one for each process of this router
	WarmupSeconds            float64    // seconds that a cold server takes to be warm; 0: not stated
	Regions                  [][]string // zones by region, in the order in which they return; a zone of none is one by itself
}

const (
	objecting = 0.1 // seconds between enough evidence and leaving: who has had an answer says so within them, words being quick
	holding   = 1.0 // seconds for which a zone is left the first time; twice as long each further time
	mostHeld  = 6   // doublings: 64 s
	forgiven  = 60  // seconds of being well after which a zone counts as never left: about the longest hold
	trying    = 0.5 // seconds for which the same routers try a zone; then it is others' turn, as these may be down
	first     = 1.0 / 16
	least     = 1.0 / 64 // of a share: a strained return goes on with it
	asleep    = 0.5      // seconds between two ticks, beyond which this process has stood still and knows nothing
	recently  = 1.0      // seconds for which an answer of its own keeps a router from following others out of a zone
	most      = 1024     // executions watched at once; what is beyond is not evidence
)

// Change is one that a zone went through, for the log.
type Change struct {
	Zone     string
	From, To State
	Share    float64
	Reason   string
}

// Status is what is known of one zone.
type Status struct {
	Zone             string
	State            State
	Share            float64
	Since            float64 // of the state
	Reason           string
	OperatorOverride bool // left by hand
	Servers          int  // that the list has in service
	VotesAgainst     int  // routers that have had no answer there since all others
	VotesFor         int  // routers that have had one later
	RoutersHeard     int  // routers heard of lately, this one among them
	Evacuations      int  // that it was left of late
	Transitions      uint64
}

// zone is one record a zone.
type zone struct {
	name    string
	sum     uint32 // of its name, as words have it
	state   State
	share   float64
	since   float64
	why     string
	hand    bool
	servers int
	ok      float64 // when this router last had an answer there; 0: never
	bad     float64 // when the first execution after that began that had none; 0: there is none
	enough  float64 // since when the evidence suffices; 0: it does not
	left    float64 // when it was left last
	back    float64 // when it was last well again
	times   int
	rate    float64 // executions a second there, over some seconds
	out     map[uint64]sent
	stepped float64 // when the share last moved
	good    int     // executions there since then that were answered
	poor    int     // those since then that tell of strain
	before  [2]int  // good and poor of the step before, as others are told
	again   float64 // when it began to return last: what is said of the time before is over
	fresh   bool    // it has begun to fail since words last told of it
	owed    int     // words that are to tell of what became of it
	said    float64 // when words last told of it
	moves   uint64
}

type sent struct{ at, within float64 }

// Controller is what one router knows of all zones.
type Controller struct {
	set          Settings
	zones        map[uint32]*zone
	names        []string // sorted
	region       map[string][]string
	peers        map[int]*peer
	changes      []Change
	marks        uint64
	watched      int
	ticked       float64
	purse        float64 // words that may be sent before their time
	deaf         float64 // words are not listened to until then
	told         float64 // when words were last sent
	number       uint32  // of the words
	met          bool    // a peer was heard for the first time, or anew: it may know nothing
	marker       [2]byte
	MessagesSent uint64 // sent since the start
}

// New makes one that knows no zone.
func New(set Settings) *Controller {
	set.RouterCount = max(1, set.RouterCount)
	f := &Controller{set: set, zones: map[uint32]*zone{}, peers: map[int]*peer{}, marker: markers[0], met: true}
	f.SetRegions(set.Regions)
	return f
}

// SetRegions takes which zones return one after another.
func (f *Controller) SetRegions(all [][]string) {
	f.region = map[string][]string{}
	for _, names := range all {
		for _, name := range names {
			f.region[name] = names
		}
	}
}

// NameHash is a zone's name in words.
func NameHash(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) & 0xffffff }

// OnEndpoints takes how many servers each zone has in service, and which 16-bit ends of servers' ids there are. Of two zones
// whose names have the same sum the second by name is told: nothing is decided of it, as words cannot tell it from the first.
func (f *Controller) OnEndpoints(now float64, servers map[string]int, ids map[uint16]bool) (twins []string) {
	for _, z := range f.zones {
		z.servers = 0
	}
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		z := f.zone(name)
		if z == nil || z.name != name {
			twins = append(twins, name)
			continue
		}
		z.servers = servers[name]
	}
	f.mark(ids)
	for sum, z := range f.zones { // one that has gone and is as usual is forgotten; what is left or was lately is kept
		if z.servers == 0 && z.state == Serving && !z.hand && len(z.out) == 0 && now-z.back > forgiven {
			delete(f.zones, sum)
		}
	}
	f.order()
	return twins
}

const mostZones = 256

func (f *Controller) zone(name string) *zone {
	sum := NameHash(name)
	if f.zones[sum] == nil && len(f.zones) < mostZones {
		f.zones[sum] = &zone{name: name, sum: sum, share: 1, out: map[uint64]sent{}, back: math.Inf(-1), why: "as usual"}
		f.order()
	}
	return f.zones[sum]
}

func (f *Controller) order() {
	f.names = f.names[:0]
	for _, z := range f.zones {
		f.names = append(f.names, z.name)
	}
	slices.Sort(f.names)
}

func (f *Controller) find(name string) *zone {
	if z := f.zones[NameHash(name)]; z != nil && z.name == name {
		return z
	}
	return nil
}

// OnAttemptStart takes that an execution begins in a zone that promises an answer within a time; the mark tells its end. 0: it is
// not watched.
func (f *Controller) OnAttemptStart(now float64, name string, within float64) uint64 {
	z := f.find(name)
	if z == nil || f.watched >= most {
		return 0
	}
	f.marks++
	f.watched++
	z.out[f.marks] = sent{now, within}
	z.rate += 1.0 / rated
	return f.marks
}

const rated = 4 // seconds over which the rate of executions is reckoned

// OnAttemptEnd takes the end of an execution.
func (f *Controller) OnAttemptEnd(now float64, name string, mark uint64, how Outcome) {
	z := f.find(name)
	if z == nil || mark == 0 {
		return
	}
	x, watched := z.out[mark]
	if !watched {
		return
	}
	delete(z.out, mark)
	f.watched--
	if how == Inconclusive {
		return
	}
	if x.at >= z.again { // a try from before tells nothing of how a return is borne
		if how != Answered {
			z.poor++
		}
		if how != NoAnswer {
			z.good++
		}
	}
	if how == NoAnswer {
		z.strike(x.at)
	} else {
		z.ok, z.bad = now, 0
	}
}

// strike takes that an execution begun at a time has had no answer; one begun before the last answer tells nothing.
func (z *zone) strike(began float64) {
	if began > z.ok && z.bad == 0 {
		z.bad, z.fresh = began, true
	}
}

// SetOperatorOverride takes that operators leave a zone, or take that back; false where no zone would remain. One that is not known yet is
// left once it is.
func (f *Controller) SetOperatorOverride(now float64, name string, out bool) bool {
	z := f.zone(name)
	if z == nil || z.name != name {
		return false
	}
	if z.hand == out {
		return true
	}
	if out && z.servers > 0 && !f.others(z) {
		return false
	}
	z.hand = out
	switch {
	case out:
		f.move(now, z, Evacuated, 0, "by hand")
	default:
		f.move(now, z, Recovering, first, "by hand")
	}
	return true
}

// StartRecovery begins the return of a zone that was left by itself, without waiting; false if it is not left.
func (f *Controller) StartRecovery(now float64, name string) bool {
	z := f.find(name)
	if z == nil || z.hand || z.state != Evacuated && z.state != Probing {
		return false
	}
	f.move(now, z, Recovering, first, "by hand")
	return true
}

// Known tells whether a zone was ever named here.
func (f *Controller) Known(name string) bool { return f.find(name) != nil }

// Share is the part of its keys that a zone serves.
func (f *Controller) Share(name string) float64 {
	if z := f.find(name); z != nil {
		return z.share
	}
	return 1
}

// TakeChanges gives what has changed since it was last asked.
func (f *Controller) TakeChanges() []Change {
	all := f.changes
	f.changes = nil
	return all
}

// Statuses gives all zones, by name.
func (f *Controller) Statuses(now float64) (all []Status) {
	for _, name := range f.names {
		z := f.find(name)
		v := f.weigh(now, z)
		all = append(all, Status{Zone: name, State: z.state, Share: z.share, Since: z.since, Reason: z.why, OperatorOverride: z.hand, Servers: z.servers,
			VotesAgainst: v.against, VotesFor: v.held, RoutersHeard: v.known, Evacuations: z.times, Transitions: z.moves})
	}
	return all
}

func (f *Controller) move(now float64, z *zone, to State, share float64, why string) {
	if to == z.state && share == z.share {
		return
	}
	f.changes = append(f.changes, Change{z.name, z.state, to, share, why})
	if to != z.state {
		z.since = now
	}
	switch {
	case to == Evacuated && z.state != Probing:
		z.left, z.enough, z.moves = now, 0, z.moves+1
		z.owed = 2 // twice: what is lost of a word is lost by chance
	case to == Recovering && z.state != Recovering:
		z.bad, z.again, z.moves = 0, now, z.moves+1
		z.good, z.poor = 0, 0 // what was lost before is no strain of the return
		z.owed = 2
	case to == Recovering:
		z.owed = max(z.owed, 1)
	case to == Serving && z.state == Recovering:
		z.back = now
	}
	z.state, z.share, z.why = to, share, why
	f.step(now, z)
}

// step begins to count anew how executions in a zone go.
func (f *Controller) step(now float64, z *zone) {
	z.before, z.stepped, z.good, z.poor = [2]int{z.good, z.poor}, now, 0, 0
}

// Tick looks at all zones; it is to be called several times in what an execution is promised.
func (f *Controller) Tick(now float64) {
	passed := now - f.ticked
	f.wake(now)
	f.ticked = now
	f.purse = min(f.purse+passed/f.period(), mostUrgent)
	for _, name := range f.names {
		z := f.find(name)
		if z.state < Evacuated {
			z.rate *= math.Exp(-passed / rated)
		}
		oldest := math.Inf(1)
		for _, x := range z.out {
			if now-x.at > x.within && x.at > z.ok {
				oldest = min(oldest, x.at)
			}
		}
		if oldest < now {
			z.strike(oldest)
		}
	}
	if f.set.RouterCount > 1 {
		f.follow(now)
	}
	f.leave(now)
	for _, name := range f.names {
		f.back(now, f.find(name))
	}
	f.remain(now)
}

// remain sees to it that some zone serves all of its keys, also when the list takes the others away: what returns is furthest, else
// all that were left by themselves.
func (f *Controller) remain(now float64) {
	var best *zone
	var gone []*zone
	for _, name := range f.names {
		switch z := f.find(name); {
		case z.servers == 0 || z.hand:
		case z.share == 1:
			return
		case z.state == Recovering && (best == nil || z.share > best.share):
			best = z
		case z.state != Recovering:
			gone = append(gone, z)
		}
	}
	if best != nil {
		gone = []*zone{best}
	}
	for _, z := range gone {
		f.move(now, z, Recovering, 1, "no other zone serves all of its keys")
	}
}

// wake notices that this process stood still: what is out is old, what it knows of others is past, and so are the words that
// have waited for it, which it does not listen to. What is the case now others tell it.
func (f *Controller) wake(now float64) {
	if f.ticked == 0 || now-f.ticked <= asleep {
		return
	}
	f.ticked = now
	for _, z := range f.zones {
		z.ok, z.bad, z.enough = 0, 0, 0
		f.watched -= len(z.out)
		clear(z.out)
	}
	for _, p := range f.peers {
		p.at = math.Inf(-1)
	}
	f.met, f.deaf = true, now+draining
}

const (
	draining   = 0.1 // seconds in which what waits at a socket has been read
	mostUrgent = 4   // words before their time at once; on average one in each period
)

// verdict is what the routers together have of one zone.
type verdict struct {
	against, held       int // routers without an answer since most of these began to have none; and with a later one
	known               int // routers heard of, this one among them
	began               float64
	away, returning, as int // routers that say they have left it, that let it return, that have it as usual
	share               float64
}

// quorum is how many routers have to say something for it to count: a quarter of those heard of, and more than one where
// there are more. What one router sees alone moves nobody.
func (f *Controller) quorum(known int) int {
	return max(min(2, f.set.RouterCount), (known+3)/4)
}

// weigh sums up what is known of a zone: counts, a median and a place in a sorted row, so that the same evidence gives the same
// whatever its order.
func (f *Controller) weigh(now float64, z *zone) verdict {
	v := verdict{known: 1, share: 1}
	var bads, oks, shares []float64
	take := func(ok, bad float64, state State, share float64, counts bool) {
		if counts && bad > z.again && bad > 0 {
			bads = append(bads, bad)
		}
		oks = append(oks, ok)
		switch state {
		case Evacuated, Probing:
			v.away++
		case Recovering:
			v.returning++
			shares = append(shares, share)
		default:
			v.as++
			shares = append(shares, 1)
		}
	}
	if !z.hand {
		take(z.ok, z.bad, z.state, z.share, !f.cut(now))
	}
	for _, p := range f.peers {
		if now-p.at > f.stale() {
			continue
		}
		v.known++
		if s, said := p.said[z.sum]; said && !s.hand {
			take(s.ok, s.bad, s.state, s.share, !p.cut)
		} else if !said {
			v.as++
			shares = append(shares, 1)
		}
	}
	slices.Sort(bads)
	slices.Sort(shares)
	if v.against = len(bads); v.against > 0 {
		v.began = bads[len(bads)/2]
		for _, ok := range oks {
			if ok > v.began+2*ageStep { // ages are told in steps
				v.held++
			}
		}
	}
	if len(shares) > 0 { // not the least of all: one that strains alone holds no other back
		v.share = shares[min(f.quorum(v.known), len(shares))-1]
	}
	return v
}

// cut tells that what fails is rather this router's than the zones': it hears nobody, or, since the trouble began, less than half of
// the fleet while most zones fail.
func (f *Controller) cut(now float64) bool {
	if f.set.RouterCount == 1 {
		return false
	}
	seen, bad, began := 0, 0, now
	for _, z := range f.zones {
		if z.state == Evacuated || z.state == Probing || z.ok == 0 && z.bad == 0 {
			continue
		}
		if seen++; z.bad > 0 {
			bad++
			began = min(began, z.bad)
		}
	}
	heard, since := 1, 1
	for _, p := range f.peers {
		if now-p.at <= f.stale() {
			heard++
		}
		if p.at > began {
			since++
		}
	}
	return heard == 1 || 2*bad > seen && 2*since < f.set.RouterCount
}

// follow takes what others have decided, where this router knows no better: it has just started, was stopped, or lost their words.
func (f *Controller) follow(now float64) {
	for _, name := range f.names {
		z := f.find(name)
		if z.hand {
			continue
		}
		v := f.weigh(now, z)
		enough := f.quorum(v.known)
		switch z.state {
		case Serving, Suspected:
			others := v.as - 1
			if v.away >= enough && v.away > others+v.returning && now-z.ok > recently && f.others(z) {
				f.depart(now, z, fmt.Sprintf("%d of %d routers have left it", v.away, v.known))
			} else if v.returning >= enough && v.returning > others && now-z.ok > recently && v.share < 1 {
				f.move(now, z, Recovering, v.share, fmt.Sprintf("%d of %d routers let it return", v.returning, v.known))
			}
		case Evacuated, Probing:
			if v.returning >= enough && v.returning+v.as >= v.away && now > z.left+z.held()/2 && f.turn(z) {
				f.move(now, z, Recovering, min(v.share, 0.5), fmt.Sprintf("%d of %d routers let it return", v.returning, v.known))
			}
		}
	}
}

// others tells whether another zone would be left to serve all keys: all are never left, for then the fault is not theirs.
func (f *Controller) others(z *zone) bool {
	for _, o := range f.zones {
		if o != z && o.servers > 0 && o.share == 1 {
			return true
		}
	}
	return false
}

// leave leaves the zones against which there is enough evidence, unless none would remain.
func (f *Controller) leave(now float64) {
	var gone []*zone
	stay, cut := 0, f.cut(now)
	for _, name := range f.names {
		z := f.find(name)
		if z.hand || z.state == Evacuated || z.state == Probing {
			continue
		}
		v := f.weigh(now, z)
		enough := f.quorum(v.known)
		if z.times > 0 && (z.state == Recovering || now-z.back < forgiven) { // it has failed of late
			enough = min(2, f.set.RouterCount)
		}
		// Routers that had an answer later speak for it: an eighth as many as those without outweigh them, so that a zone
		// of which some servers are down stays.
		fails := v.against >= enough && 8*v.held <= v.against
		switch {
		case !fails || cut:
			z.enough = 0
			if z.state == Suspected && (!fails && v.against == 0 || v.held > 0) {
				f.move(now, z, Serving, 1, "answers came")
			} else if z.state == Serving && v.against >= min(2, f.set.RouterCount) && v.held == 0 && z.servers > 0 {
				f.move(now, z, Suspected, 1, fmt.Sprintf("%d of %d routers have had no answer there", v.against, v.known))
			}
			if z.servers > 0 && z.share == 1 {
				stay++
			}
			continue
		case z.enough == 0:
			z.enough = now
		}
		if z.servers == 0 {
			continue
		}
		gone = append(gone, z)
	}
	for _, z := range gone {
		switch v := f.weigh(now, z); {
		case stay == 0:
			if z.state == Serving {
				f.move(now, z, Suspected, 1, "no zone would remain")
			}
		case now-z.enough >= objecting:
			f.depart(now, z, fmt.Sprintf("%d of %d routers have had no answer there, %d have", v.against, v.known, v.held))
		}
	}
}

func (f *Controller) depart(now float64, z *zone, why string) {
	if now-z.back > forgiven && z.state != Recovering {
		z.times = 0
	}
	z.times = min(z.times+1, mostHeld+1)
	f.move(now, z, Evacuated, 0, why)
}

// held is how long a zone is left before it is tried.
func (z *zone) held() float64 { return holding * math.Pow(2, float64(max(0, z.times-1))) }

// pace is how long a returning zone stays at a share before that is doubled: four doublings and what the list and the words
// take stay within half of a cold server's warm-up, in which the module gives it a slice of its own.
func (f *Controller) pace() float64 { return min(max(f.set.WarmupSeconds/12, 0.25), 2) }

// back leads a zone that was left back to all of its keys.
func (f *Controller) back(now float64, z *zone) {
	if z.hand || z.servers == 0 {
		return
	}
	switch z.state {
	case Evacuated, Probing:
		if now < z.left+z.held() {
			return
		}
		if answered := f.answered(now, z); answered >= min(2, f.triers()) && f.turn(z) {
			f.move(now, z, Recovering, first, fmt.Sprintf("%d routers had answers there", answered))
			return
		}
		round := math.Floor((now - z.left - z.held()) / trying)
		switch mine := f.chosen(z, uint32(round)); {
		case mine && z.state == Evacuated:
			// A try or two a round: more would be burnt where nothing answers.
			f.move(now, z, Probing, min(max(2/max(z.rate*trying, 1e-9), least), 0.25), "its turn to be tried from here")
		case !mine && z.state == Probing:
			f.move(now, z, Evacuated, 0, "others' turn to try it")
		}
	case Recovering:
		f.grow(now, z)
	}
}

// answered counts the routers that had an answer since the zone was left, not one that was on its way then.
func (f *Controller) answered(now float64, z *zone) (n int) {
	count := func(ok, bad float64) {
		if ok > z.left+z.held()/2 && ok > bad {
			n++
		}
	}
	count(z.ok, z.bad)
	for _, p := range f.peers {
		if s, said := p.said[z.sum]; said && now-p.at <= f.stale() {
			count(s.ok, s.bad)
		}
	}
	return n
}

// triers is how many routers try a zone at once.
func (f *Controller) triers() int { return min(f.set.RouterCount, max(3, f.set.RouterCount/8)) }

// chosen tells whether this router is one of those that try a zone in a round: those of the least hashes of their numbers.
func (f *Controller) chosen(z *zone, round uint32) bool {
	mine, before := f.draw(z, round, f.set.RouterIndex), 0
	for n := range f.set.RouterCount {
		if h := f.draw(z, round, n); h < mine || h == mine && n < f.set.RouterIndex {
			before++
		}
	}
	return before < f.triers()
}

func (f *Controller) draw(z *zone, round uint32, router int) uint32 {
	h := crc32.ChecksumIEEE([]byte{byte(z.sum), byte(z.sum >> 8), byte(z.sum >> 16), byte(round), byte(round >> 8), byte(router), byte(router >> 8)})
	h = (h ^ h>>16) * 0x85ebca6b // crc32 alone is affine: the same routers would be the first in every round
	return (h ^ h>>13) * 0xc2b2ae35
}

// turn tells whether a zone may return now: of a region one at a time, since origin and neighbours bear the sum.
func (f *Controller) turn(z *zone) bool {
	for _, name := range f.region[z.name] {
		if o := f.find(name); o != nil && o != z && o.state == Recovering {
			return false
		}
	}
	return true
}

// grow moves the share of a zone that returns: doubled as long as what it has finishes in time, halved where it strains, and
// never far from what the others give it.
func (f *Controller) grow(now float64, z *zone) {
	good, poor, at := z.good, z.poor, 0
	if z.poor > 0 {
		at++
	}
	for _, p := range f.peers { // each sees little: what all tell of their last step counts together
		if s, said := p.said[z.sum]; said && now-p.at <= f.stale() && s.state == Recovering && !p.cut {
			good, poor = good+s.good, poor+s.poor
			if s.poor > 0 {
				at++
			}
		}
	}
	strained := poor >= 2 && 4*poor > good && (at >= min(2, f.set.RouterCount) || z.poor >= 2 && 4*z.poor > z.good)
	if !strained && now-z.stepped < f.pace() || strained && now-z.stepped < f.pace()/2 {
		return
	}
	fleet := f.weigh(now, z).share
	share, why := min(2*z.share, max(2*fleet, z.share)), "what it has finishes in time"
	switch {
	case strained:
		share, why = max(z.share/2, least), fmt.Sprintf("%d executions there were late, turned away or without an answer, and %d were answered", poor, good)
	case fleet < z.share/2:
		share, why = z.share, "others hold it back"
	case fleet > z.share && f.set.RouterCount > 1:
		share, why = max(share, fleet), "others are ahead"
	}
	if share = min(share, 1); share == 1 && z.share == 1 {
		f.move(now, z, Serving, 1, "it is back")
		return
	}
	if share == z.share {
		f.step(now, z)
		return
	}
	f.move(now, z, Recovering, share, why)
}

// byNeed orders zones for words: what others have to hear, what is not as usual, and what was told of longest ago.
func byNeed(a, b *zone) int {
	need := func(z *zone) int {
		switch {
		case z.owed > 0 || z.fresh:
			return 0
		case z.state != Serving || z.bad > 0:
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(need(a), need(b)), cmp.Compare(a.said, b.said), cmp.Compare(a.name, b.name))
}
