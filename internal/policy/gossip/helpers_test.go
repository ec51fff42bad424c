package gossip

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// network is routers and what lies between them, in steps of a hundredth of a second; each ticks every fifth one, at a time of its own.
type network struct {
	t       *testing.T
	step    int
	chance  *rand.Rand
	view    *View
	fleets  []*Gossiper
	lives   []uint32
	servers int
	loss    float64 // part of the datagrams
	twice   float64 // part that comes again, later
	delay   func(from, to int) int
	cut     func(from, to int) bool
	down    map[int]bool
	stopped map[int]bool
	old     map[int]bool // builds that do not know this
	waiting map[int][]packet
	mail    [400][]packet
	rate    float64          // words a second of each router
	slow    []float64        // of each server: the time of an execution over its type's mean
	quiet   map[int]bool     // servers of which nothing is told
	crashed map[int]bool     // servers that refuse
	asTold  []observationSum // what all told
	plain   [][2]int         // words that came to builds that know nothing of this: from, to
	in, out []int            // bytes of each router, with headers
	dins    []int            // datagrams in
	peak    []int            // most bytes of a router in a second, both ways
	second  []int            // of this second
	spy     func(l packet)   // sees all that is sent
	views   map[int]*foreign // of routers with another list
	told    func(server int, took byte)
	fed     func(n int, words []byte)
}

// foreign is another view's places: by its own the router, and the other way.
type foreign struct {
	to   []int
	from map[int]int
}

type packet struct {
	from, to int
	b        []byte
}

func names(n int) (all []uint32) {
	for i := range n {
		all = append(all, mix(77, uint64(i)))
	}
	return all
}

func newNetwork(t *testing.T, routers, servers int) *network {
	w := &network{t: t, chance: rand.New(rand.NewPCG(1, uint64(routers))), view: NewView(names(routers)), fleets: make([]*Gossiper, routers), lives: make([]uint32, routers),
		servers: servers, down: map[int]bool{}, stopped: map[int]bool{}, old: map[int]bool{}, waiting: map[int][]packet{}, rate: 5, quiet: map[int]bool{}, views: map[int]*foreign{},
		crashed: map[int]bool{}, in: make([]int, routers), out: make([]int, routers), dins: make([]int, routers), peak: make([]int, routers),
		second: make([]int, routers), step: 100000}
	w.cut = func(int, int) bool { return false }
	w.delay = func(from, to int) int { // within a block 10 to 30 ms, else up to 150
		if w.view.groupOf(from) == w.view.groupOf(to) {
			return 1 + w.chance.IntN(3)
		}
		return 5 + w.chance.IntN(11)
	}
	for id := range servers {
		w.slow = append(w.slow, 0.5+float64(id%16)/16)
		w.asTold = append(w.asTold, observationSum{})
	}
	for n := range routers {
		w.start(n)
	}
	return w
}

func (w *network) now() float64 { return float64(w.step) / 100 }

// start begins a router's process anew, with nothing known.
func (w *network) start(n int) {
	w.lives[n]++
	w.startWith(n, w.view)
}

func (w *network) startWith(n int, view *View) {
	f := New(w.now()+float64(n%7), Settings{Self: n, Seed: uint32(n)*7919 + w.lives[n], Incarnation: w.lives[n]*31 + uint32(n), BytesPerSecond: 7000, LongestObjective: 0.6}, view)
	var ids []uint16
	for id := range w.servers {
		ids = append(ids, uint16(id*150+7))
	}
	f.SetServers(ids)
	w.fleets[n] = f
	delete(w.down, n)
}

// at is a router's own clock: none has another's.
func (w *network) at(n int) float64 { return w.now() + float64(n%7) }

func (w *network) send(from int, all []Datagram) {
	for _, d := range all {
		if v := w.views[from]; v != nil {
			d.To = v.to[d.To]
		}
		l := packet{from, d.To, d.Bytes}
		w.out[from] += len(d.Bytes) + datagramOverhead
		w.second[from] += len(d.Bytes) + datagramOverhead
		if len(d.Bytes) > maxDatagramBytes || d.To == from || d.To < 0 {
			w.t.Fatalf("%d sends %d bytes to %d", from, len(d.Bytes), d.To)
		}
		if w.spy != nil {
			w.spy(l)
		}
		if w.cut(from, d.To) || w.chance.Float64() < w.loss {
			continue
		}
		at := w.step + w.delay(from, d.To)
		w.mail[at%len(w.mail)] = append(w.mail[at%len(w.mail)], l)
		if w.chance.Float64() < w.twice {
			at += 1 + w.chance.IntN(100)
			w.mail[at%len(w.mail)] = append(w.mail[at%len(w.mail)], l)
		}
	}
}

func (w *network) deliver(l packet) {
	switch {
	case w.down[l.to]:
		return
	case w.stopped[l.to]:
		if len(w.waiting[l.to]) < 270 { // a socket's buffer; what comes when it is full is lost
			w.waiting[l.to] = append(w.waiting[l.to], l)
		}
		return
	}
	w.in[l.to] += len(l.b) + datagramOverhead
	w.second[l.to] += len(l.b) + datagramOverhead
	w.dins[l.to]++
	if w.old[l.to] {
		if len(l.b) >= 3 {
			w.plain = append(w.plain, [2]int{l.from, l.to})
		}
		return
	}
	from := l.from
	if v := w.views[l.to]; v != nil {
		place, ok := v.from[from]
		if !ok {
			place = -1
		}
		from = place
	}
	w.fleets[l.to].OnDatagram(w.at(l.to), from, l.b)
}

// resume ends a stop: what waited is read first, then the process goes on.
func (w *network) resume(n int) {
	delete(w.stopped, n)
	for _, l := range w.waiting[n] {
		w.deliver(l)
	}
	delete(w.waiting, n)
}

// say has a router tell one word.
func (w *network) say(n, server int, took byte) {
	id := uint16(server*150 + 7)
	if !w.old[n] {
		w.fleets[n].Report(w.at(n), []byte{byte(id), byte(id >> 8), took})
	}
}

func (w *network) run(seconds float64) {
	for end := w.step + int(math.Round(seconds*100)); w.step < end; w.step++ {
		slot := w.step % len(w.mail)
		mail := w.mail[slot]
		w.mail[slot] = nil
		for _, l := range mail {
			w.deliver(l)
		}
		for n := w.step % 5; n < len(w.fleets); n += 5 {
			if w.down[n] || w.stopped[n] || w.old[n] {
				continue
			}
			for range poisson(w.chance, w.rate/20) {
				server := w.chance.IntN(w.servers)
				if w.quiet[server] {
					continue
				}
				took := byte(min(254, math.Round(32*w.slow[server]*(0.5+w.chance.Float64()))))
				if w.crashed[server] {
					took = refusalByte
				} else {
					s, x := &w.asTold[server], float64(took)/32
					s.load = s.load*math.Exp((s.updatedAt-w.now())/loadDecay) + x
					s.updatedAt = w.now()
				}
				if w.told != nil && took != refusalByte {
					w.told(server, took)
				}
				w.say(n, server, took)
			}
			w.send(n, w.fleets[n].Tick(w.at(n)))
			if w.step%10 < 5 {
				b := w.fleets[n].SynthesizeObservations(w.at(n))
				if w.fed != nil {
					w.fed(n, b)
				}
			}
		}
		if w.step%100 == 99 {
			for n, b := range w.second {
				w.peak[n] = max(w.peak[n], b)
				w.second[n] = 0
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
func (w *network) forget() {
	clear(w.in)
	clear(w.out)
	clear(w.dins)
	clear(w.peak)
	clear(w.second)
	for _, f := range w.fleets {
		f.Counters = Counters{}
	}
}

// up is the routers that run and know this.
func (w *network) up() (all []int) {
	for n := range w.fleets {
		if !w.down[n] && !w.stopped[n] && !w.old[n] {
			all = append(all, n)
		}
	}
	return all
}

// reach runs until all that are up hold it, and gives when the half, 99 of 100 and the last came to.
func (w *network) reach(limit float64, holds func(f *Gossiper, now float64) bool) (half, most, last float64) {
	start, when := w.step, map[int]float64{}
	for {
		w.run(0.05)
		all := w.up()
		for _, n := range all {
			if _, ok := when[n]; !ok && holds(w.fleets[n], w.at(n)) {
				when[n] = float64(w.step-start) / 100
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
		if float64(w.step-start)/100 > limit {
			w.t.Errorf("after %v s %d of %d know", limit, len(times), len(all))
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

// errors gives how far the loads that routers feed are from what all told, as a part of that: the middle and 95 of 100; and the mean.
func (w *network) errors() (middle, most, mean float64) {
	var all []float64
	sum := 0.0
	for _, n := range w.up() {
		f := w.fleets[n]
		for id, s := range f.servers {
			if w.quiet[id] || w.crashed[id] {
				continue
			}
			is := w.asTold[id].load * math.Exp((w.asTold[id].updatedAt-w.now())/loadDecay) * f.feedFraction
			got := s.fedLoad * math.Exp((s.fedAt-w.at(n))/loadDecay)
			all = append(all, math.Abs(got-is)/max(is, 1))
			sum += (got - is) / max(is, 1)
		}
	}
	slices.SortFunc(all, cmp.Compare)
	return all[len(all)/2], all[len(all)*95/100], sum / float64(len(all))
}

// traffic gives the mean and the most bytes a second over routers, both ways, and datagrams in and out.
func (w *network) traffic(seconds float64) (mean, most, peak, messages float64) {
	up := w.up()
	for _, n := range up {
		both := float64(w.in[n]+w.out[n]) / seconds
		mean += both / float64(len(up))
		most, peak = max(most, both), max(peak, float64(w.peak[n]))
		messages += (float64(w.fleets[n].Counters.DatagramsSent) + float64(w.dins[n])) / seconds / float64(len(up))
	}
	return mean, most, peak, messages
}

func (w *network) row(what string, half, most, last, seconds float64) string {
	mean, top, peak, messages := w.traffic(seconds)
	e1, e2, e3 := w.errors()
	return fmt.Sprintf("| %5d | %-22s | %5.0f | %5.0f | %5.0f | %4.0f | %4.2f | %4.2f | %4.2f | %4.2f | %4.2f | %+5.2f |", len(w.fleets), what, mean, top, peak, messages,
		half, most, last, e1, e2, e3)
}
