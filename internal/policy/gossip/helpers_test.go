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

// network is routers and the datagrams between them, in steps of 10 ms; each router ticks every fifth step, by a
// clock of its own.
type network struct {
	t           *testing.T
	step        int
	random      *rand.Rand
	view        *View
	views       map[int]*foreignView // of routers with another list
	serverCount int

	gossipers    []*Gossiper
	incarnations []uint32
	down         map[int]bool
	stalled      map[int]bool
	oldBuild     map[int]bool // builds that do not know the protocol

	inTransit     [400][]packet    // by the step of their arrival
	socketBuffer  map[int][]packet // of stalled routers
	lossRate      float64
	duplicateRate float64 // of datagrams that arrive again, later
	delay         func(from, to int) int
	partitioned   func(from, to int) bool
	misdirected   [][2]int // messages that old builds received and take for observations: from, to

	observationRate float64          // observations a second of each router
	relativeTimes   []float64        // of each server: the time of an attempt over the mean of its traffic class
	unobserved      map[int]bool     // servers that no router uses
	refusing        map[int]bool     // servers that refuse
	broadcast       []observationSum // of each server: the load if every observation reached every router

	bytesIn, bytesOut []int // of each router, with headers
	datagramsIn       []int
	peakBytes         []int // most bytes of a router in a second, both ways
	bytesThisSecond   []int

	onSend        func(p packet)
	onObserved    func(server int, relativeTime byte)
	onSynthesized func(router int, observations []byte)
}

// foreignView is another view's places: by its own the router, and the other way.
type foreignView struct {
	to   []int
	from map[int]int
}

type packet struct {
	from, to int
	b        []byte
}

func names(n int) (all []uint32) {
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
		view:            NewView(names(routers)),
		views:           map[int]*foreignView{},
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
	net.delay = func(from, to int) int { // within a block 10 to 30 ms, else up to 150
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

// start begins a router's process anew, with nothing known.
func (net *network) start(n int) {
	net.incarnations[n]++
	net.startWith(n, net.view)
}

func (net *network) startWith(n int, view *View) {
	f := New(net.now()+float64(n%7), Settings{Self: n, Seed: uint32(n)*7919 + net.incarnations[n], Incarnation: net.incarnations[n]*31 + uint32(n), BytesPerSecond: 7000, LongestObjective: 0.6}, view)
	var ids []uint16
	for id := range net.serverCount {
		ids = append(ids, uint16(id*150+7))
	}
	f.SetServers(ids)
	net.gossipers[n] = f
	delete(net.down, n)
}

// at is a router's own clock: none has another's.
func (net *network) clock(n int) float64 { return net.now() + float64(n%7) }

func (net *network) send(from int, all []Datagram) {
	for _, d := range all {
		if v := net.views[from]; v != nil {
			d.To = v.to[d.To]
		}
		l := packet{from, d.To, d.Bytes}
		net.bytesOut[from] += len(d.Bytes) + datagramOverhead
		net.bytesThisSecond[from] += len(d.Bytes) + datagramOverhead
		if len(d.Bytes) > maxDatagramBytes || d.To == from || d.To < 0 {
			net.t.Fatalf("%d sends %d bytes to %d", from, len(d.Bytes), d.To)
		}
		if net.onSend != nil {
			net.onSend(l)
		}
		if net.partitioned(from, d.To) || net.random.Float64() < net.lossRate {
			continue
		}
		at := net.step + net.delay(from, d.To)
		net.inTransit[at%len(net.inTransit)] = append(net.inTransit[at%len(net.inTransit)], l)
		if net.random.Float64() < net.duplicateRate {
			at += 1 + net.random.IntN(100)
			net.inTransit[at%len(net.inTransit)] = append(net.inTransit[at%len(net.inTransit)], l)
		}
	}
}

func (net *network) deliver(l packet) {
	switch {
	case net.down[l.to]:
		return
	case net.stalled[l.to]:
		if len(net.socketBuffer[l.to]) < 270 { // a socket's buffer; what comes when it is full is lost
			net.socketBuffer[l.to] = append(net.socketBuffer[l.to], l)
		}
		return
	}
	net.bytesIn[l.to] += len(l.b) + datagramOverhead
	net.bytesThisSecond[l.to] += len(l.b) + datagramOverhead
	net.datagramsIn[l.to]++
	if net.oldBuild[l.to] {
		if len(l.b) >= 3 {
			net.misdirected = append(net.misdirected, [2]int{l.from, l.to})
		}
		return
	}
	from := l.from
	if v := net.views[l.to]; v != nil {
		place, ok := v.from[from]
		if !ok {
			place = -1
		}
		from = place
	}
	net.gossipers[l.to].OnDatagram(net.clock(l.to), from, l.b)
}

// resume ends a stop: what waited is read first, then the process goes on.
func (net *network) resume(n int) {
	delete(net.stalled, n)
	for _, l := range net.socketBuffer[n] {
		net.deliver(l)
	}
	delete(net.socketBuffer, n)
}

// say has a router tell one word.
func (net *network) observe(n, server int, took byte) {
	id := uint16(server*150 + 7)
	if !net.oldBuild[n] {
		net.gossipers[n].Report(net.clock(n), []byte{byte(id), byte(id >> 8), took})
	}
}

func (net *network) run(seconds float64) {
	for end := net.step + int(math.Round(seconds*100)); net.step < end; net.step++ {
		slot := net.step % len(net.inTransit)
		mail := net.inTransit[slot]
		net.inTransit[slot] = nil
		for _, l := range mail {
			net.deliver(l)
		}
		for n := net.step % 5; n < len(net.gossipers); n += 5 {
			if net.down[n] || net.stalled[n] || net.oldBuild[n] {
				continue
			}
			for range poisson(net.random, net.observationRate/20) {
				server := net.random.IntN(net.serverCount)
				if net.unobserved[server] {
					continue
				}
				took := byte(min(254, math.Round(32*net.relativeTimes[server]*(0.5+net.random.Float64()))))
				if net.refusing[server] {
					took = refusalByte
				} else {
					s, x := &net.broadcast[server], float64(took)/32
					s.load = s.load*math.Exp((s.updatedAt-net.now())/loadDecay) + x
					s.updatedAt = net.now()
				}
				if net.onObserved != nil && took != refusalByte {
					net.onObserved(server, took)
				}
				net.observe(n, server, took)
			}
			net.send(n, net.gossipers[n].Tick(net.clock(n)))
			if net.step%10 < 5 {
				b := net.gossipers[n].SynthesizeObservations(net.clock(n))
				if net.onSynthesized != nil {
					net.onSynthesized(n, b)
				}
			}
		}
		if net.step%100 == 99 {
			for n, b := range net.bytesThisSecond {
				net.peakBytes[n] = max(net.peakBytes[n], b)
				net.bytesThisSecond[n] = 0
			}
		}
	}
}

func poisson(c *rand.Rand, mean float64) (n int) {
	for p := c.Float64(); p > math.Exp(-mean); p *= c.Float64() {
		n++
	}
	return n
}

// forget begins the counts of bytes anew.
func (net *network) resetCounters() {
	clear(net.bytesIn)
	clear(net.bytesOut)
	clear(net.datagramsIn)
	clear(net.peakBytes)
	clear(net.bytesThisSecond)
	for _, f := range net.gossipers {
		f.Counters = Counters{}
	}
}

// up is the routers that run and know this.
func (net *network) running() (all []int) {
	for n := range net.gossipers {
		if !net.down[n] && !net.stalled[n] && !net.oldBuild[n] {
			all = append(all, n)
		}
	}
	return all
}

// reach runs until all that are up hold it, and gives when the half, 99 of 100 and the last came to.
func (net *network) measureSpread(limit float64, holds func(f *Gossiper, now float64) bool) (half, most, last float64) {
	start, when := net.step, map[int]float64{}
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
			net.t.Errorf("after %v s %d of %d know", limit, len(times), len(all))
			return math.Inf(1), math.Inf(1), math.Inf(1)
		}
	}
}

// believesRefusing tells whether a router holds that a server refuses.
func believesRefusing(server int) func(f *Gossiper, now float64) bool {
	return func(f *Gossiper, now float64) bool {
		s := f.serverByID[uint16(server*150+7)]
		return s.held.refusing && !s.held.answering && now-s.held.originatedAt < summaryLifetime
	}
}

// errors gives how far the loads that routers feed are from what all told, as a part of that: the middle and 95 of
// 100; and the mean.
func (net *network) loadErrors() (middle, most, mean float64) {
	var all []float64
	sum := 0.0
	for _, n := range net.running() {
		f := net.gossipers[n]
		for id, s := range f.servers {
			if net.unobserved[id] || net.refusing[id] {
				continue
			}
			is := net.broadcast[id].load * math.Exp((net.broadcast[id].updatedAt-net.now())/loadDecay) * f.feedFraction
			got := s.feed.load * math.Exp((s.feed.updatedAt-net.clock(n))/loadDecay)
			all = append(all, math.Abs(got-is)/max(is, 1))
			sum += (got - is) / max(is, 1)
		}
	}
	slices.SortFunc(all, cmp.Compare)
	return all[len(all)/2], all[len(all)*95/100], sum / float64(len(all))
}

// traffic gives the mean and the most bytes a second over routers, both ways, and datagrams in and out.
func (net *network) traffic(seconds float64) (mean, most, peak, messages float64) {
	up := net.running()
	for _, n := range up {
		both := float64(net.bytesIn[n]+net.bytesOut[n]) / seconds
		mean += both / float64(len(up))
		most, peak = max(most, both), max(peak, float64(net.peakBytes[n]))
		messages += (float64(net.gossipers[n].Counters.DatagramsSent) + float64(net.datagramsIn[n])) / seconds / float64(len(up))
	}
	return mean, most, peak, messages
}

func (net *network) tableRow(what string, half, most, last, seconds float64) string {
	mean, top, peak, messages := net.traffic(seconds)
	e1, e2, e3 := net.loadErrors()
	return fmt.Sprintf("| %5d | %-22s | %5.0f | %5.0f | %5.0f | %4.0f | %4.2f | %4.2f | %4.2f | %4.2f | %4.2f | %+5.2f |", len(net.gossipers), what, mean, top, peak, messages,
		half, most, last, e1, e2, e3)
}
