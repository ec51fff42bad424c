// Package gossip carries what routers tell of cache servers through a fleet of thousands, at a cost that a router does not grow with it.
//
// Routers stand in blocks, pieces of the list of peers. What a router tells of a server goes to that server's two homes in its block, which
// rendezvous hashing names. A home sums up what is told to it, with fade; sums go between the homes of the blocks, each kept by the block that it
// is of, and the newest counts: so nothing is counted twice, in whatever order and however often it comes. The total of a server is an entry, and
// entries go through the block by rumour mongering with feedback, those with news first; anti-entropy fills in what was missed. Nothing here
// waits, sends or draws true chance: datagrams and ticks come in with their time in seconds, datagrams go out.
package gossip

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
)

const (
	datagramOverhead   = 28                             // bytes of UDP and IP round each datagram
	maxDatagramBytes   = 256                            // bytes of a datagram, by the protocol
	maxGroupRouters    = 512                            // routers of a block at most: 380 entries each few seconds reach as many for a third of 7 KB/s; more blocks cost little
	edge               = 32                             // routers beside a block that may take themselves to be of it: a rack comes or goes in a week
	slack              = 1.15                           // times its even part of the servers that a router may be the first home of
	ownersPerGroup     = 16                             // homes in a row that a block has for a server: with half of the routers of another build one in 65,000 has none left
	loadDecay          = 3.0                            // seconds over which the module sums load up
	glance             = 1.0                            // seconds over which it reckons how slow a server is
	refreshInterval    = 5.0                            // seconds between two totals of a server of which nothing has changed
	between            = 1.0                            // seconds between two totals that differ
	apart              = 2.0                            // seconds between two sums from home to home; the second homes of other blocks have each third
	summaryLifetime    = 8.0                            // seconds for which an entry counts as it is: one total that was missed, and the way of the next
	nothing            = 4.5                            // seconds without a sum of the home before it after which a home speaks itself: two were lost
	overdue            = refreshInterval + 0.75*between // seconds after which a router asks another for a total: pushing leaves out a fifth
	overdueInterval    = refreshInterval + 1.5*between  // seconds after which a total is due in any case
	barring            = 1.6                            // seconds for which a refusal is told: three waves of news
	eager              = 0.4                            // the same for news: the first home's would have been here twice over
	gap                = 0.5                            // seconds between two ticks beyond which this process has stood still
	known              = 400.0                          // seconds for which a router is taken to speak this after a sign of it: two rounds of calls
	again              = 0.5                            // seconds between two calls of a home that gave no sign
	patience           = 2.0                            // seconds without an answer after which a router that was called is taken for mute: a lost call was followed by others
	round              = 150.0                          // seconds within which each router of a block is called: 100 bytes a second
	share              = 0.88                           // of the budget that is planned with: what comes in is others' doing
	lump               = 0.25                           // seconds for which entries wait for others to fill their datagram
	calls              = 6.0                            // calls a second of one that has just started, 350 bytes with their answers: others make themselves known meanwhile
	pulls              = 2.0                            // pulls a second of one that has just started: beside what comes anyhow 380 entries within 5 s
	rest               = 1.0                            // seconds between two pulls later
	joining            = 5.0                            // seconds for which a router that starts, or stood still, pulls more
	spread             = 4                              // datagrams in which an entry is passed on, less those in which it comes again
	urgent             = 8                              // the same for news, at once, and told thrice: of 512 routers with a tenth lost none is missed
	sown               = 6                              // datagrams at once in which a home begins to pass an entry on
	young              = 0.25                           // seconds of age up to which it is passed on at once: few routers have it, so what small datagrams cost is little
	early              = 2                              // datagrams in which that is
	telling            = 12.0                           // words a second of one router that count: twice what 27 operations a second come to with the module's price
	observationBurst   = 36.0                           // and at once
	datagramsPerSecond = 40.0                           // datagrams a second of one router that are read: three times what one sends to all
	most               = 1024                           // servers; more are not told of
	sharply            = 2.5                            // times the usual from which on the module takes keys from a server
)

// Settings is what a router knows at its start.
type Settings struct {
	Self             int     // its place in the view
	Seed             uint32  // of its chance
	Incarnation      uint32  // another one for each process
	BytesPerSecond   float64 // in and out together, with headers
	LongestObjective float64 // seconds: the longest promised time of a traffic type
}

// View is who may be there: what a router goes by until it is given another. Routers share what it has reckoned.
type View struct {
	hashes []uint32
	groups int
	homes  map[uint32][ownersPerGroup]int16 // by weight alone
	ids    []uint16                         // the servers, in order
	plan   map[uint32][ownersPerGroup]int16 // with even parts
}

// NewView takes all routers by a number of each that every router knows alike, in the order of the list.
func NewView(names []uint32) *View {
	return &View{hashes: names, groups: max(1, (len(names)+maxGroupRouters-1)/maxGroupRouters), homes: map[uint32][ownersPerGroup]int16{}, plan: map[uint32][ownersPerGroup]int16{}}
}

// CheaperThanBroadcast tells whether so many routers cost less by this than by telling each other: one message of five words a second, both ways.
func CheaperThanBroadcast(routers int, bytesPerSecond float64) bool {
	return float64(routers-1)*2*(datagramOverhead+15) > bytesPerSecond
}

func (v *View) groupOf(router int) int { return router * v.groups / len(v.hashes) }

// groupBounds gives the first router of a block and the first after it.
func (v *View) groupBounds(b int) (from, to int) {
	n := len(v.hashes)
	return (b*n + v.groups - 1) / v.groups, ((b+1)*n + v.groups - 1) / v.groups
}

// setServers takes the servers that homes are to be shared out for.
func (v *View) setServers(ids []uint16) {
	if !slices.Equal(v.ids, ids) {
		v.ids = slices.Clone(ids)
		clear(v.plan)
	}
}

// ownersOf gives a server's homes in a block, the first one first; -1 where there are fewer. Weights alone would make one router the first home of
// five servers, at half a kilobyte a second each: so the first is the heaviest that is not the first of its part of the servers already, in the
// order of their ids (rendezvous hashing with bounded loads). A server more or less moves few.
func (v *View) ownersOf(b int, id uint16) [ownersPerGroup]int16 {
	key := uint32(b)<<16 | uint32(id)
	if all, ok := v.plan[key]; ok {
		return all
	}
	if _, listed := slices.BinarySearch(v.ids, id); !listed {
		return v.weighed(b, id)
	}
	from, to := v.groupBounds(b)
	firsts, part := make([]int, to-from), int(math.Ceil(slack*float64(len(v.ids))/float64(to-from)))
	for _, id := range v.ids {
		all := v.weighed(b, id)
		for i, r := range all {
			if r < 0 {
				break
			}
			if n := &firsts[int(r)-from]; *n < part {
				*n++
				copy(all[1:i+1], all[:i])
				all[0] = r
				break
			}
		}
		v.plan[uint32(b)<<16|uint32(id)] = all
	}
	return v.plan[key]
}

// weighed gives them by weight alone.
func (v *View) weighed(b int, id uint16) [ownersPerGroup]int16 {
	key := uint32(b)<<16 | uint32(id)
	if all, ok := v.homes[key]; ok {
		return all
	}
	if len(v.homes) >= most*v.groups {
		clear(v.homes)
	}
	var all [ownersPerGroup]int16
	var weights [ownersPerGroup]uint32
	for i := range all {
		all[i] = -1
	}
	from, to := v.groupBounds(b)
	for r := from; r < to; r++ {
		w, who := mix(v.hashes[r], uint64(id)), int16(r)
		for i := range all {
			if all[i] < 0 || w > weights[i] {
				all[i], who = who, all[i]
				weights[i], w = w, weights[i]
			}
			if who < 0 {
				break
			}
		}
	}
	v.homes[key] = all
	return all
}

// mix hashes a number; crc32 alone is affine, so its bits are stirred.
func mix(seed uint32, x uint64) uint32 {
	h := crc32.Update(seed, crc32.IEEETable, []byte{byte(x), byte(x >> 8), byte(x >> 16), byte(x >> 24), byte(x >> 32), byte(x >> 40), byte(x >> 48),
		byte(x >> 56)}) ^ seed
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return h ^ h>>16
}

// Datagram is one to be sent to a router of the view.
type Datagram struct {
	To    int
	Bytes []byte
}

// Gossiper is one router's part.
type Gossiper struct {
	settings     Settings
	view         *View
	group        int // block
	from         int // first of the block
	to           int
	now          float64
	began        float64
	deaf         float64
	draws        uint64
	peerByRouter map[int]*peerState
	talkers      []int // those of the block that have spoken this
	serverByID   map[uint16]*serverState
	servers      []*serverState // by id
	told         []observation
	out          []Datagram
	purse        tokenBucket // for entries
	haste        tokenBucket // for what goes at once
	answers      tokenBucket // for pulls
	rows         tokenBucket // for sums between blocks
	voice        tokenBucket // for this router's own words
	called       float64
	caller       int
	pulled       float64
	pending      []*serverState
	passed       float64 // when entries were last passed on
	fed          float64
	feedFraction float64 // part of the loads that is fed
	Counters     Counters
}

// Summary is what is held of a server by the end of its id: its load and mean over the fleet, and how many seconds ago its home said so; false: nothing
// that counts.
func (f *Gossiper) Summary(now float64, id uint16) (load, mean, age float64, ok bool) {
	s := f.serverByID[id]
	if s == nil || now-s.held.originatedAt >= summaryLifetime {
		return 0, 0, 0, false
	}
	return s.held.load, s.held.mean, now - s.held.originatedAt, true
}

// Counters is what happened since the start.
type Counters struct {
	DatagramsSent, BytesSent uint64 // sent, with headers
	BytesReceived            uint64 // bytes that came in, with headers
	DatagramsDropped         uint64 // datagrams that were dropped: damaged, or beyond what one router may send
	ObservationsLimited      uint64 // words of one router beyond what counts
	ObservationsUnsent       uint64 // own words that were not told
}

type observation struct {
	id   uint16
	took byte
	at   float64
	to   [3]int // the homes that were told, plus one
}

type peerState struct {
	until           float64 // taken to speak this until then
	called          float64 // since when it has given no sign; 0: it was not called
	last            float64 // when it was called last
	listed          bool    // among the talkers
	observationRate tokenBucket
	datagramRate    tokenBucket
}

// tokenBucket is an allowance that fills with time.
type tokenBucket struct{ has, at float64 }

func (b *tokenBucket) take(now, rate, full, n float64) bool {
	b.has = min(full, b.has+rate*max(0, now-b.at))
	if b.at = now; b.has < n {
		return false
	}
	b.has -= n
	return true
}

// summary is a server's load as one home has it: of its block, or of all.
type summary struct {
	rank                 uint8
	incarnation, version uint8
	refusing, answering  bool
	urgent               bool
	load, mean           float64 // the module's: times over their type's mean, summed up over recall; and their mean
	originatedAt         float64 // by this router's clock
}

// observationSum is what a home has been told.
type observationSum struct {
	load, timeSum, count  float64 // over recall; over glance
	updatedAt             float64
	refusedAt, answeredAt float64 // when that was last told
}

type serverState struct {
	id           uint16
	baseRank     int     // rank of the first of the homes told
	sought       float64 // since when an entry is missed
	own          observationSum
	groupSums    map[int]summary // of other blocks
	ownerHeardAt [ownersPerGroup]float64
	rowed        float64
	turn         uint8 // of sums to other homes
	spoke        float64
	last         summary // as this router last said as a home
	number       uint8
	held         summary
	left         int // datagrams in which held is still to be passed on
	queued       bool
	hurry        int     // those of them that go at once
	fedLoad      float64 // as fed to the module
	fedAt        float64
	barred       float64
}

// New starts a router's part.
func New(now float64, set Settings, view *View) *Gossiper {
	f := &Gossiper{settings: set, now: now, began: now, called: now, pulled: now, passed: now, fed: now, feedFraction: 1, peerByRouter: map[int]*peerState{}, serverByID: map[uint16]*serverState{}}
	for _, b := range []*tokenBucket{&f.purse, &f.haste, &f.answers, &f.rows} { // one that starts has much to hear
		b.at = now
	}
	f.SetView(view)
	return f
}

// SetView takes another view of who may be there. What is known of servers stays; who speaks has to be found out again, as places may differ.
func (f *Gossiper) SetView(view *View) {
	f.view, f.group, f.caller = view, view.groupOf(f.settings.Self), 0
	f.from, f.to = view.groupBounds(f.group)
	clear(f.peerByRouter)
	f.talkers = nil
	f.began = f.now
	view.setServers(f.ids())
	for _, s := range f.servers {
		s.groupSums, s.ownerHeardAt = nil, [ownersPerGroup]float64{}
	}
}

// SetServers takes the ends of the ids of all servers there are; words of others are not heeded.
func (f *Gossiper) SetServers(ids []uint16) {
	there := map[uint16]bool{}
	for _, id := range ids {
		if there[id] = true; f.serverByID[id] == nil && len(f.serverByID) < most {
			f.serverByID[id] = &serverState{id: id, spoke: math.Inf(-1), rowed: math.Inf(-1), own: observationSum{refusedAt: math.Inf(-1), answeredAt: math.Inf(-1)},
				held: summary{originatedAt: math.Inf(-1)}, barred: math.Inf(-1)}
		}
	}
	f.servers = f.servers[:0]
	for id, s := range f.serverByID {
		if !there[id] {
			delete(f.serverByID, id)
			s.left = 0
		} else {
			f.servers = append(f.servers, s)
		}
	}
	slices.SortFunc(f.servers, func(a, b *serverState) int { return cmp.Compare(a.id, b.id) })
	f.view.setServers(f.ids())
}

func (f *Gossiper) ids() (all []uint16) {
	for _, s := range f.servers {
		all = append(all, s.id)
	}
	return all
}

func (f *Gossiper) chance(n int) int {
	f.draws++
	return int(uint64(mix(f.settings.Seed, f.draws)) * uint64(n) >> 32)
}

// wake notes the time. After a stop what waited in the socket is old, and says so nowhere: it is not listened to.
func (f *Gossiper) wake(now float64) {
	if now-f.now > gap {
		f.deaf = now + gap
		f.told = f.told[:0]
	}
	f.now = now
}

// Report takes words that the module has for the others.
func (f *Gossiper) Report(now float64, words []byte) {
	f.wake(now)
	for ; len(words) >= 3; words = words[3:] {
		if !f.voice.take(now, telling, observationBurst, 1) || len(f.told) >= observationBurst {
			f.Counters.ObservationsUnsent++
			continue
		}
		f.told = append(f.told, observation{id: uint16(words[0]) | uint16(words[1])<<8, took: words[2], at: now})
	}
}

// speaks tells whether a router has shown that it understands this.
func (f *Gossiper) speaks(router int) bool {
	p := f.peerByRouter[router]
	return router == f.settings.Self || p != nil && f.now < p.until
}

// post sends, or calls one of whom nothing is known: a build that does not know this would take a datagram for words.
func (f *Gossiper) post(to int, b []byte) bool {
	ok := f.speaks(to)
	if !ok {
		b = []byte{probeByte}
		f.ring(to)
	}
	if !ok || b[1] != kindSummaries { // those were paid before
		f.pay(len(b) + datagramOverhead)
	}
	f.note(to, b)
	return ok
}

// ring notes that a router is called.
func (f *Gossiper) ring(to int) {
	p := f.peer(to)
	if p.last = f.now; !f.speaks(to) && p.called == 0 {
		p.called = f.now
	}
}

// peer gives what is known of a router of the view.
func (f *Gossiper) peer(router int) *peerState {
	p := f.peerByRouter[router]
	if p == nil {
		p = &peerState{observationRate: tokenBucket{observationBurst, f.now}, datagramRate: tokenBucket{2 * datagramsPerSecond, f.now}}
		f.peerByRouter[router] = p
	}
	return p
}

func (f *Gossiper) note(to int, b []byte) {
	f.Counters.DatagramsSent++
	f.Counters.BytesSent += uint64(len(b) + datagramOverhead)
	f.out = append(f.out, Datagram{to, b})
}

// Tick gives what is to be sent now; it is called some twenty times a second.
func (f *Gossiper) Tick(now float64) []Datagram {
	f.wake(now)
	f.deliver()
	for _, s := range f.servers {
		f.seek(s)
		f.sum(s)
	}
	f.pass()
	f.greet()
	out := f.out
	f.out = nil
	return out
}

// deliver brings this router's words to the homes. One that gave no sign yet is called, and a word waits for its answer.
func (f *Gossiper) deliver() {
	wait := f.told[:0]
	for _, w := range f.told {
		s := f.serverByID[w.id]
		if s == nil {
			continue
		}
		for i, home := range f.homes(s) {
			if w.to[i] == home+1 || i == 1 && w.took != refusalByte { // the second has the first's sum; what is news it is told itself
				continue
			}
			switch {
			case home == f.settings.Self:
				f.count(s, w.took)
			case f.speaks(home):
				f.post(home, appendChecksum([]byte{messageTag, kindObservations, byte(w.id), byte(w.id >> 8), w.took}))
			default:
				if p := f.peer(home); f.now-p.last > again {
					f.post(home, nil)
				}
				continue
			}
			w.to[i] = home + 1
		}
		if (w.to[0] == 0 || w.to[1] == 0 && w.took == refusalByte) && f.now-w.at < patience {
			wait = append(wait, w)
		}
	}
	f.told = wait
}

// homes gives those that are told of a server: two from its base on that are not known to be of another build, and where the first of these is not
// the first of all, also that one, which so is heard again once it is back.
func (f *Gossiper) homes(s *serverState) []int {
	all := f.view.ownersOf(f.group, s.id)
	to := make([]int, 0, 3)
	for i := range all {
		if home := int(all[(i+s.baseRank)%ownersPerGroup]); home >= 0 && len(to) < 2 && !f.mute(home) {
			to = append(to, home)
		}
	}
	for _, home := range all {
		if home := int(home); home >= 0 && !f.mute(home) {
			if !slices.Contains(to, home) {
				to = append(to, home)
			}
			break
		}
	}
	return to
}

// mute tells whether a router was called and gave no sign: it is of another build, or down. Of one that was never called nothing is known, and to
// go past it would make homes of many.
func (f *Gossiper) mute(router int) bool {
	p := f.peerByRouter[router]
	return !f.speaks(router) && p != nil && p.called > 0 && f.now-p.called > patience
}

// seek turns to the next two homes of a server once those told are of no use: an entry is due from them and none comes.
func (f *Gossiper) seek(s *serverState) {
	if f.now-s.held.originatedAt < summaryLifetime || f.now-f.began < joining+summaryLifetime {
		s.sought = f.now - summaryLifetime/2
		return
	}
	if f.now-s.sought > summaryLifetime {
		s.baseRank, s.sought = (s.baseRank+2)%ownersPerGroup, f.now
	}
}

// count takes a word told to this router as a home.
func (f *Gossiper) count(s *serverState, took byte) {
	m := &s.own
	if took == refusalByte {
		m.refusedAt = f.now
		return
	}
	x := float64(took) / 32
	m.load = m.load*math.Exp((m.updatedAt-f.now)/loadDecay) + x
	fade := math.Exp((m.updatedAt - f.now) / glance)
	m.timeSum, m.count, m.updatedAt = m.timeSum*fade+x, m.count*fade+1, f.now
	if x < 4 {
		m.answeredAt = f.now
	}
}

// rank is this router's among the homes of a server in its block, or ranks.
func (f *Gossiper) rank(s *serverState) int {
	homes := f.view.ownersOf(f.group, s.id)
	for i, r := range homes {
		if int(r) == f.settings.Self {
			return i
		}
	}
	return ownersPerGroup
}

// sum has a home speak: to the homes of other blocks, and to its block.
func (f *Gossiper) sum(s *serverState) {
	m := &s.own
	if m.updatedAt == 0 && math.IsInf(m.refusedAt, -1) && len(s.groupSums) == 0 || f.now-max(m.updatedAt, m.refusedAt, f.heardRows(s)) > summaryLifetime {
		return
	}
	rank := f.rank(s)
	if rank == ownersPerGroup {
		return // of an old view
	}
	own := summary{rank: uint8(rank), incarnation: byte(mix(f.view.hashes[f.settings.Self], uint64(f.settings.Incarnation))), originatedAt: f.now,
		load: m.load * math.Exp((m.updatedAt-f.now)/loadDecay), mean: m.timeSum / max(m.count, 1e-9), refusing: f.now-m.refusedAt < barring, answering: f.now-m.answeredAt < f.settings.LongestObjective}
	ahead := math.Inf(-1)
	for i := range rank {
		ahead = max(ahead, s.ownerHeardAt[i])
	}
	total := f.total(s, own)
	wait := overdueInterval
	if rank > 1 { // some that missed totals may tell it what the first two know: it speaks once these are gone
		wait = 1.5 * summaryLifetime
	}
	behind := f.now-ahead < nothing || int(s.held.rank) < rank && f.now-s.held.originatedAt < wait
	bad := own.refusing && !own.answering && !(s.held.refusing && !s.held.answering && f.now-s.held.originatedAt < between)
	if behind && !(bad && f.now-m.refusedAt > eager) {
		return
	}
	if f.now-s.rowed >= apart || (own.refusing != s.last.refusing || bad) && f.now-s.rowed >= between/2 {
		f.row(s, own, rank)
	}
	s.last.refusing = own.refusing
	was := s.held
	news := total.refusing && !total.answering != (was.refusing && !was.answering) || (total.mean > sharply) != (was.mean > sharply) ||
		math.Abs(total.load-was.load) > max(8, was.load)
	differs := news || math.Abs(total.load-was.load) > max(2, 0.25*was.load) || math.Abs(total.mean-was.mean) > 0.3*max(was.mean, 0.2)
	// Where much waits to be passed on, what differs is told less often: it would come no sooner, and keep the rest back.
	due, pause := f.now-s.spoke, between+float64(len(f.pending))/perDatagram/2
	if due >= refreshInterval || differs && due >= pause || news && due >= between/2 || total.refusing && !total.answering && due >= between/2 {
		s.number++
		total.version, total.urgent, total.rank, total.incarnation, total.originatedAt = s.number, news || total.refusing && !total.answering, own.rank, own.incarnation, f.now
		s.spoke = f.now
		f.hear(s, total)
	}
}

func (f *Gossiper) heardRows(s *serverState) float64 {
	at := math.Inf(-1)
	for _, r := range s.groupSums {
		at = max(at, r.originatedAt)
	}
	return at
}

// total merges the newest sums of all blocks: each fades as if its words had been heard here.
func (f *Gossiper) total(s *serverState, own summary) (total summary) {
	total = own
	counts := own.load / max(own.mean, 1.0/32)
	for b := range f.view.groups { // in one order: sums of fractions depend on it
		r, ok := s.groupSums[b]
		if age := f.now - r.originatedAt; ok && age < summaryLifetime {
			load := r.load * math.Exp(-max(0, age-apart)/loadDecay)
			total.load += load
			counts += load / max(r.mean, 1.0/32)
			total.refusing = total.refusing || r.refusing && age < barring
			total.answering = total.answering || r.answering && age < f.settings.LongestObjective+eager
		}
	}
	if counts > 0 && total.load > 0 {
		total.mean = total.load / counts
	}
	return total
}

// row sends this block's sum to the two homes of each other block, and to the homes after this one here: they hear that it is there.
func (f *Gossiper) row(s *serverState, own summary, rank int) {
	heard := true
	s.turn++
	own.version = s.number
	b := appendChecksum(appendSummary([]byte{messageTag, kindGroupSums}, s.id, own, f.now))
	for blk := range f.view.groups {
		homes := f.view.ownersOf(blk, s.id)
		to := homes[:1]
		if s.turn%3 == 0 || own.refusing {
			to = homes[:2]
		}
		if blk == f.group {
			to = homes[rank+1 : min(rank+2, ownersPerGroup)]
		}
		for _, home := range to {
			if home >= 0 && int(home) != f.settings.Self && f.rows.take(f.now, f.settings.BytesPerSecond/5, f.settings.BytesPerSecond/2, float64(len(b)+datagramOverhead)) {
				heard = f.post(int(home), b) && heard
			}
		}
	}
	if s.rowed = f.now; !heard { // called first: the answer is here by then
		s.rowed -= between
	}
}

// hear takes a total of a server, and has it passed on if it is newer than what is held.
func (f *Gossiper) hear(s *serverState, e summary) {
	h := &s.held
	same := h.rank == e.rank && h.incarnation == e.incarnation
	switch {
	case same && h.version == e.version:
		if s.left > 0 && !e.urgent { // others have it by now
			s.left--
		}
		return
	case f.now-h.originatedAt > summaryLifetime: // whatever comes is better
	case same && int8(e.version-h.version) < 0:
		return
	case !same && e.rank > h.rank && e.originatedAt < h.originatedAt+overdueInterval && !(e.urgent && e.refusing && e.originatedAt > h.originatedAt+eager): // the home before it speaks
		return
	case !same && e.rank == h.rank && e.originatedAt < h.originatedAt+0.3: // another process, or view: by its age, which is rounded up
		return
	}
	s.held, s.left, s.hurry = e, spread, 0
	switch {
	case e.urgent:
		s.left, s.hurry = urgent, urgent
	case e.originatedAt == f.now:
		s.left, s.hurry = sown, sown
	case f.now-e.originatedAt <= young:
		s.hurry = early
	}
	s.baseRank = int(e.rank)
	if !s.queued {
		s.queued = true
		f.pending = append(f.pending, s)
	}
}

// pass sends entries on, those with news first, then those that were passed on least.
func (f *Gossiper) pass() {
	f.pending = slices.DeleteFunc(f.pending, func(s *serverState) bool {
		if s.left <= 0 || f.now-s.held.originatedAt >= summaryLifetime {
			s.left, s.hurry, s.queued = 0, 0, false
		}
		return s.left <= 0
	})
	for len(f.pending) > 0 {
		var counts [2 * (urgent + 1)]int
		for _, s := range f.pending {
			counts[s.need()]++
		}
		n, news := min(len(f.pending), perDatagram), min(fresh(counts[:]), perDatagram)
		to := f.someone()
		switch {
		case to < 0:
			return
		case news > 0 && f.haste.take(f.now, f.settings.BytesPerSecond/7, f.settings.BytesPerSecond/4, float64(news*size+4+datagramOverhead)):
			n = news // by themselves: small, and at once
			f.pay(n*size + 4 + datagramOverhead)
		case news == 0 && n < perDatagram && f.now-f.passed < lump || !f.may(float64(n*size+4+datagramOverhead)):
			return
		default:
			f.passed = f.now
		}
		least, sum := len(counts)-1, counts[len(counts)-1]
		for sum < n {
			least--
			sum += counts[least]
		}
		b, turn, spare := []byte{messageTag, kindSummaries}, f.chance(len(f.pending)), n-(sum-counts[least])
		for i := range f.pending {
			s := f.pending[(i+turn)%len(f.pending)]
			need := s.need()
			if need < least || need == least && spare == 0 {
				continue
			}
			if need == least {
				spare--
			}
			b = appendSummary(b, s.id, s.held, f.now)
			s.left, s.hurry = s.left-1, max(0, s.hurry-1)
		}
		f.post(to, appendChecksum(b))
		f.pending = slices.DeleteFunc(f.pending, func(s *serverState) bool {
			s.queued = s.left > 0
			return !s.queued
		})
	}
}

// fresh counts those of them that are to go at once.
func fresh(counts []int) (n int) {
	for _, c := range counts[urgent+1:] {
		n += c
	}
	return n
}

// need tells how much an entry is to be passed on: what is to go at once before all else, then what was passed on least.
func (s *serverState) need() int {
	if s.hurry > 0 {
		return urgent + 1 + min(s.hurry, urgent)
	}
	return min(s.left, urgent)
}

// may takes what a datagram of entries costs from the budget, which all else that goes out or comes in is taken from, too: who has much to do as
// a home passes on less. The debt is bounded, else who was flooded would be silent for long.
func (f *Gossiper) may(n float64) bool {
	return f.purse.take(f.now, share*f.settings.BytesPerSecond, 6*(maxDatagramBytes+datagramOverhead), n)
}

// pay takes from the budget what goes out or comes in anyhow.
func (f *Gossiper) pay(n int) {
	f.purse.take(f.now, share*f.settings.BytesPerSecond, 6*(maxDatagramBytes+datagramOverhead), math.Inf(1))
	f.purse.has = max(f.purse.has-float64(n), -f.settings.BytesPerSecond/4)
}

// someone gives a router of the block by chance, of those that are known to speak this; -1: there is none.
func (f *Gossiper) someone() int {
	for len(f.talkers) > 0 {
		i := f.chance(len(f.talkers))
		r := f.talkers[i]
		if f.speaks(r) {
			return r
		}
		f.talkers[i] = f.talkers[len(f.talkers)-1]
		f.talkers = f.talkers[:len(f.talkers)-1]
		f.peerByRouter[r].listed = false
	}
	return -1
}

// greet calls the routers of the block in turn, so that each knows who understands, and pulls entries that may have been missed.
func (f *Gossiper) greet() {
	n := f.to - f.from
	rate := float64(n) / round
	if f.caller < n {
		rate = calls
	}
	for ; f.called+1/rate <= f.now; f.called += 1 / rate {
		f.called = max(f.called, f.now-0.5) // after a stop there is nothing to make up for
		r := f.from + (f.settings.Self-f.from+f.caller+1)%n
		if f.caller++; r != f.settings.Self {
			b := byte(probeAckByte)
			if f.caller <= n || !f.speaks(r) {
				b = probeByte
				f.ring(r)
			}
			f.pay(datagramOverhead + 1)
			f.note(r, []byte{b})
		}
	}
	pause := rest
	if f.now-f.began < joining || f.deaf > 0 && f.now-f.deaf < joining {
		pause = 1 / pulls
	}
	if f.now-f.pulled < pause || len(f.servers) == 0 {
		return
	}
	f.pulled = f.now
	b, at := []byte{messageTag, kindPull}, f.chance(len(f.servers))
	for i := range f.servers {
		s := f.servers[(at+i)%len(f.servers)]
		if f.now-s.held.originatedAt > overdue && len(b) < 2+3*perDatagram {
			b = append(b, byte(s.id), byte(s.id>>8), 0)
		}
	}
	if to := f.someone(); to >= 0 && len(b) > 2 {
		f.post(to, appendChecksum(b))
	}
}
