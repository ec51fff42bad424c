package gossip

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"bendtrestle/internal/seedhash"
)

// network simulates routers and the datagrams between them in steps of 10 ms. Each router ticks every fifth step, and
// has its own clock.
type network struct {
	t             *testing.T
	step          int
	random        *rand.Rand
	view          *View
	indexMappings map[int]*indexMapping // of routers with another list
	serverCount   int

	gossipers    []*Gossiper
	incarnations []uint32
	down         map[int]bool
	stalled      map[int]bool
	oldBuild     map[int]bool // routers that run a build without the protocol

	inTransit     [400][]packet    // by the step of their arrival
	socketBuffer  map[int][]packet // of stalled routers
	lossRate      float64
	duplicateRate float64 // fraction of datagrams that arrive a second time, up to 1 s later
	delay         func(from, to int) int
	partitioned   func(from, to int) bool
	misdirected   [][2]int // sender and receiver of messages that a build without the protocol misreads as observations

	observationRate float64          // observations per second of each router
	relativeTimes   []float64        // mean relative time of attempts at each server
	unobserved      map[int]bool     // servers that no router uses
	refusing        map[int]bool     // servers that refuse
	broadcast       []observationSum // load of each server if every observation reached every router

	bytesIn, bytesOut []int // of each router, with headers
	datagramsIn       []int
	peakBytes         []int // most bytes of each router in one second, in both directions
	bytesThisSecond   []int

	onSend        func(p packet)
	onObserved    func(server int, relativeTime byte)
	onSynthesized func(router int, observations []byte)
}

// indexMapping translates between the indexes of a router's own list and those of the network.
type indexMapping struct {
	toNetwork []int       // network index by own index
	toOwn     map[int]int // own index by network index
}

// newShorterView returns the view of a list of routers from which some are missing, and the mapping between its indexes
// and those of the network.
func newShorterView(routers int, missing ...int) (*indexMapping, *View) {
	mapping := &indexMapping{toOwn: map[int]int{}}
	var hashes []uint32
	for n, hash := range nameHashes(routers) {
		if slices.Contains(missing, n) {
			continue
		}
		mapping.toOwn[n] = len(mapping.toNetwork)
		mapping.toNetwork = append(mapping.toNetwork, n)
		hashes = append(hashes, hash)
	}
	return mapping, NewView(hashes)
}

// packet is a datagram in transit.
type packet struct {
	from, to int
	bytes    []byte
}

// serverID returns the identifier of a server by its index.
func serverID(server int) uint16 { return uint16(server*150 + 7) }

func serverIDs(n int) (ids []uint16) {
	for server := range n {
		ids = append(ids, serverID(server))
	}
	return ids
}

// nameHashes returns the hashes of the names of n routers.
func nameHashes(n int) (all []uint32) {
	for i := range n {
		all = append(all, seedhash.Mix(77, uint64(i)))
	}
	return all
}

func newNetwork(t *testing.T, routers, servers int) *network {
	net := &network{
		t:               t,
		step:            100000,
		random:          rand.New(rand.NewPCG(1, uint64(routers))),
		view:            NewView(nameHashes(routers)),
		indexMappings:   map[int]*indexMapping{},
		serverCount:     servers,
		gossipers:       make([]*Gossiper, routers),
		incarnations:    make([]uint32, routers),
		down:            map[int]bool{},
		stalled:         map[int]bool{},
		oldBuild:        map[int]bool{},
		socketBuffer:    map[int][]packet{},
		observationRate: 5,
		unobserved:      map[int]bool{},
		refusing:        map[int]bool{},
		bytesIn:         make([]int, routers),
		bytesOut:        make([]int, routers),
		datagramsIn:     make([]int, routers),
		peakBytes:       make([]int, routers),
		bytesThisSecond: make([]int, routers),
	}
	net.partitioned = func(int, int) bool { return false }
	net.delay = func(from, to int) int { // within a group 10 to 30 ms, else up to 150
		if net.view.groupOf(from) == net.view.groupOf(to) {
			return 1 + net.random.IntN(3)
		}
		return 5 + net.random.IntN(11)
	}
	for id := range servers {
		net.relativeTimes = append(net.relativeTimes, 0.5+float64(id%16)/16)
		net.broadcast = append(net.broadcast, observationSum{})
	}
	for n := range routers {
		net.start(n)
	}
	return net
}

func (net *network) now() float64 { return float64(net.step) / 100 }

// start starts a new process of a router, without state.
func (net *network) start(n int) {
	net.incarnations[n]++
	net.startWith(n, net.view)
}

// startWith starts a process of a router with the given view.
func (net *network) startWith(n int, view *View) {
	settings := Settings{
		Self:             n,
		Seed:             uint32(n)*7919 + net.incarnations[n],
		Incarnation:      net.incarnations[n]*31 + uint32(n),
		BytesPerSecond:   7000,
		LongestObjective: 0.6,
	}
	g := New(net.clock(n), settings, view)
	g.SetServers(serverIDs(net.serverCount))
	net.gossipers[n] = g
	delete(net.down, n)
}

// clock returns the time of a router's own clock, which differs from those of other routers.
func (net *network) clock(n int) float64 { return net.now() + float64(n%7) }

// send puts the datagrams of a router in transit, unless they are lost.
func (net *network) send(from int, all []Datagram) {
	for _, d := range all {
		if v := net.indexMappings[from]; v != nil {
			d.To = v.toNetwork[d.To]
		}
		p := packet{from, d.To, d.Bytes}
		net.bytesOut[from] += len(d.Bytes) + datagramOverhead
		net.bytesThisSecond[from] += len(d.Bytes) + datagramOverhead
		if len(d.Bytes) > maxDatagramBytes || d.To == from || d.To < 0 {
			net.t.Fatalf("router %d sends %d bytes to router %d, want at most maxDatagramBytes to another router",
				from, len(d.Bytes), d.To)
		}
		if net.onSend != nil {
			net.onSend(p)
		}
		if net.partitioned(from, d.To) || net.random.Float64() < net.lossRate {
			continue
		}
		at := net.step + net.delay(from, d.To)
		net.arriveAt(at, p)
		if net.random.Float64() < net.duplicateRate {
			at += 1 + net.random.IntN(100)
			net.arriveAt(at, p)
		}
	}
}

func (net *network) arriveAt(step int, p packet) {
	slot := step % len(net.inTransit)
	net.inTransit[slot] = append(net.inTransit[slot], p)
}

// deliver hands a datagram to its receiver, or buffers it if the receiver is stalled.
func (net *network) deliver(p packet) {
	switch {
	case net.down[p.to]:
		return
	case net.stalled[p.to]:
		if len(net.socketBuffer[p.to]) < 270 { // datagrams that do not fit are lost
			net.socketBuffer[p.to] = append(net.socketBuffer[p.to], p)
		}
		return
	}
	net.bytesIn[p.to] += len(p.bytes) + datagramOverhead
	net.bytesThisSecond[p.to] += len(p.bytes) + datagramOverhead
	net.datagramsIn[p.to]++
	if net.oldBuild[p.to] {
		if len(p.bytes) >= 3 {
			net.misdirected = append(net.misdirected, [2]int{p.from, p.to})
		}
		return
	}
	from := p.from
	if v := net.indexMappings[p.to]; v != nil {
		index, listed := v.toOwn[from]
		if !listed {
			index = -1
		}
		from = index
	}
	net.gossipers[p.to].OnDatagram(net.clock(p.to), from, p.bytes)
}

// resume ends a stall. The process first reads the buffered datagrams.
func (net *network) resume(n int) {
	delete(net.stalled, n)
	for _, p := range net.socketBuffer[n] {
		net.deliver(p)
	}
	delete(net.socketBuffer, n)
}

// observe makes a router report one observation.
func (net *network) observe(n, server int, relativeTime byte) {
	id := serverID(server)
	if !net.oldBuild[n] {
		net.gossipers[n].Report(net.clock(n), []byte{byte(id), byte(id >> 8), relativeTime})
	}
}

// run simulates the given number of seconds.
func (net *network) run(seconds float64) {
	for end := net.step + int(math.Round(seconds*100)); net.step < end; net.step++ {
		slot := net.step % len(net.inTransit)
		arriving := net.inTransit[slot]
		net.inTransit[slot] = nil
		for _, p := range arriving {
			net.deliver(p)
		}
		for n := net.step % 5; n < len(net.gossipers); n += 5 {
			if !net.down[n] && !net.stalled[n] && !net.oldBuild[n] {
				net.tick(n)
			}
		}
		if net.step%100 == 99 {
			for n, bytes := range net.bytesThisSecond {
				net.peakBytes[n] = max(net.peakBytes[n], bytes)
				net.bytesThisSecond[n] = 0
			}
		}
	}
}

// tick makes a router observe servers, tick, and synthesize observations at every second tick.
func (net *network) tick(n int) {
	for range poisson(net.random, net.observationRate/20) {
		net.observeRandomServer(n)
	}
	net.send(n, net.gossipers[n].Tick(net.clock(n)))
	if net.step%10 < 5 {
		observations := net.gossipers[n].SynthesizeObservations(net.clock(n))
		if net.onSynthesized != nil {
			net.onSynthesized(n, observations)
		}
	}
}

// observeRandomServer makes a router observe a random server.
func (net *network) observeRandomServer(n int) {
	server := net.random.IntN(net.serverCount)
	if net.unobserved[server] {
		return
	}
	time := math.Round(timeUnit * net.relativeTimes[server] * (0.5 + net.random.Float64()))
	relativeTime := byte(min(maxMean, time))
	if net.refusing[server] {
		net.observe(n, server, refusalByte)
		return
	}
	sum := &net.broadcast[server]
	sum.load = sum.load*math.Exp((sum.updatedAt-net.now())/loadDecay) + float64(relativeTime)/timeUnit
	sum.updatedAt = net.now()
	if net.onObserved != nil {
		net.onObserved(server, relativeTime)
	}
	net.observe(n, server, relativeTime)
}

// poisson draws a number of events from a Poisson distribution.
func poisson(c *rand.Rand, mean float64) (n int) {
	for p := c.Float64(); p > math.Exp(-mean); p *= c.Float64() {
		n++
	}
	return n
}

// resetCounters resets the counts of bytes and datagrams.
func (net *network) resetCounters() {
	clear(net.bytesIn)
	clear(net.bytesOut)
	clear(net.datagramsIn)
	clear(net.peakBytes)
	clear(net.bytesThisSecond)
	for _, g := range net.gossipers {
		g.Counters = Counters{}
	}
}

// running returns the routers that run and support the protocol.
func (net *network) running() (all []int) {
	for n := range net.gossipers {
		if !net.down[n] && !net.stalled[n] && !net.oldBuild[n] {
			all = append(all, n)
		}
	}
	return all
}

// measureSpread runs until a condition holds at all running routers. It returns the seconds until the condition held at
// half of them, at 99 of 100 and at the last.
func (net *network) measureSpread(
	limit float64, holds func(g *Gossiper, now float64) bool,
) (half, most, last float64) {
	start := net.step
	when := map[int]float64{}
	for {
		net.run(0.05)
		all := net.running()
		for _, n := range all {
			if _, ok := when[n]; !ok && holds(net.gossipers[n], net.clock(n)) {
				when[n] = float64(net.step-start) / 100
			}
		}
		var times []float64
		for _, n := range all {
			if at, ok := when[n]; ok {
				times = append(times, at)
			}
		}
		slices.Sort(times)
		if len(times) == len(all) {
			return times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
		}
		if float64(net.step-start)/100 > limit {
			net.t.Errorf("after %v s the condition holds at %d of %d routers, want all", limit, len(times), len(all))
			return math.Inf(1), math.Inf(1), math.Inf(1)
		}
	}
}

// holdsRefusal reports whether a router holds that a server refuses.
func holdsRefusal(server int) func(g *Gossiper, now float64) bool {
	return func(g *Gossiper, now float64) bool {
		held := g.serverByID[serverID(server)].held
		return held.unavailable() && !held.expired(now)
	}
}

// loadErrors compares the synthesized loads of all running routers with those of a broadcast. It returns the relative
// errors: the median and the 95th percentile of their absolute values, and their mean.
func (net *network) loadErrors() (median, most, mean float64) {
	var all []float64
	total := 0.0
	for _, n := range net.running() {
		g := net.gossipers[n]
		for id, s := range g.servers {
			if net.unobserved[id] || net.refusing[id] {
				continue
			}
			sum := net.broadcast[id]
			want := sum.load * math.Exp((sum.updatedAt-net.now())/loadDecay) * g.synthesizedFraction
			got := s.synthesized.load * math.Exp((s.synthesized.updatedAt-net.clock(n))/loadDecay)
			all = append(all, math.Abs(got-want)/max(want, 1))
			total += (got - want) / max(want, 1)
		}
	}
	slices.SortFunc(all, cmp.Compare)
	return all[len(all)/2], all[len(all)*95/100], total / float64(len(all))
}

// traffic returns the bytes per second of the mean router and of the one with the most, the most bytes of a router in
// one second, and the datagrams per second of the mean router. All include both directions.
func (net *network) traffic(seconds float64) (mean, most, peak, messages float64) {
	running := net.running()
	for _, n := range running {
		both := float64(net.bytesIn[n]+net.bytesOut[n]) / seconds
		mean += both / float64(len(running))
		most = max(most, both)
		peak = max(peak, float64(net.peakBytes[n]))
		datagrams := float64(net.gossipers[n].Counters.DatagramsSent) + float64(net.datagramsIn[n])
		messages += datagrams / seconds / float64(len(running))
	}
	return mean, most, peak, messages
}

// tableRow formats a row of the table of TestFleetSizes.
func (net *network) tableRow(phase string, half, most, last, seconds float64) string {
	mean, largest, peak, messages := net.traffic(seconds)
	median, highError, meanError := net.loadErrors()
	const format = "| %5d | %-22s | %5.0f | %5.0f | %5.0f | %4.0f | %4.2f | %4.2f | %4.2f | %4.2f | %4.2f | %+5.2f |"
	return fmt.Sprintf(format, len(net.gossipers), phase, mean, largest, peak, messages, half, most, last,
		median, highError, meanError)
}

// maxSpreadTime is the longest time, in seconds, in which a refusal may reach the last router.
const maxSpreadTime = 2.9

// ownersOf returns the owners of a server in the group of a router.
func (net *network) ownersOf(router, server int) owners {
	return net.view.ownersOf(net.view.groupOf(router), serverID(server))
}

// newSettledNetwork returns a network with 40 servers in which the routers have probed each other for 12 s, and no
// router uses server 5.
func newSettledNetwork(t *testing.T, routers int) *network {
	net := newNetwork(t, routers, 40)
	net.unobserved[5] = true
	net.run(12)
	return net
}

// nonOwner returns a router that is not one of the first two owners of a server.
func (net *network) nonOwner(server int) int {
	owners := net.ownersOf(0, server)
	n := 1
	for n == int(owners[0]) || n == int(owners[1]) {
		n++
	}
	return n
}
