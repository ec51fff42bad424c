package zonefailover

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// world is routers, zones and what lies between, stepped by hundredths of a second.
type world struct {
	t       *testing.T
	now     float64
	chance  *rand.Rand
	fleets  []*Controller
	names   []string
	up      map[string]float64 // part of the executions in a zone that are answered
	reaches func(router int, zone string) bool
	hears   func(from, to int) bool
	down    map[int]bool // routers that do not run
	stopped map[int]bool // of these, those that stand still: words wait for them
	loss    float64
	delay   float64
	rate    float64 // executions a second of each router
	mail    []letter
	open    []exec
	burnt   map[string]int
	slow    map[string]bool
	full    map[string]bool
	words   int
	servers int     // of each zone
	skew    float64 // seconds by which each router's clock is ahead of the one before
	log     []string
	sent    func(from int, text []byte) // is told of each message; nil: nobody is
}

type letter struct {
	at   float64
	to   int
	text []byte
}

type exec struct {
	at     float64 // when it ends
	router int
	zone   string
	mark   uint64
	how    Outcome
}

func build(t *testing.T, routers int, names ...string) *world {
	w := &world{t: t, servers: 4, now: 1000, chance: rand.New(rand.NewPCG(1, 2)), names: names, up: map[string]float64{}, down: map[int]bool{}, stopped: map[int]bool{}, rate: 27,
		delay: 0.002, burnt: map[string]int{}, slow: map[string]bool{}, full: map[string]bool{}, reaches: func(int, string) bool { return true },
		hears: func(int, int) bool { return true }}
	w.fleets = make([]*Controller, routers)
	for n := range routers {
		w.start(n, 1, nil)
	}
	for _, name := range names {
		w.up[name] = 1
	}
	return w
}

// at is a router's own time.
func (w *world) at(router int) float64 { return w.now + w.skew*float64(router) }

// start begins a router's process anew.
func (w *world) start(n int, life uint16, regions [][]string) {
	f := New(Settings{RouterIndex: n, RouterCount: len(w.fleets), Incarnation: life, WarmupSeconds: 6, Regions: regions})
	servers := map[string]int{}
	for _, name := range w.names {
		servers[name] = w.servers
	}
	f.OnEndpoints(w.at(n), servers, nil)
	w.fleets[n] = f
	delete(w.down, n)
}

func (w *world) run(seconds float64) {
	for end := w.now + seconds; w.now < end; w.now += 0.01 {
		for _, x := range take(&w.open, func(x exec) bool { return x.at <= w.now }) {
			if !w.down[x.router] {
				w.fleets[x.router].OnAttemptEnd(w.at(x.router), x.zone, x.mark, x.how)
			}
		}
		for _, l := range take(&w.mail, func(l letter) bool { return l.at <= w.now && !w.stopped[l.to] }) {
			if !w.down[l.to] {
				w.fleets[l.to].OnMessage(w.at(l.to), l.text)
			}
		}
		for n, f := range w.fleets {
			if w.down[n] {
				continue
			}
			if w.chance.Float64() < w.rate*0.01 {
				w.send(n, f)
			}
			if int(w.now*100+0.5)%5 == 0 {
				f.Tick(w.at(n))
			}
			for _, c := range f.TakeChanges() {
				w.log = append(w.log, fmt.Sprintf("%7.2f router %d %s: %v to %v, %.3f, %s", w.now-1000, n, c.Zone, c.From, c.To, c.Share, c.Reason))
			}
			if text := f.NextMessage(w.at(n)); text != nil {
				if w.sent != nil {
					w.sent(n, text)
				}
				if w.words++; len(text) > 256 {
					w.t.Fatalf("a message of %d bytes", len(text))
				}
				for to := range w.fleets {
					if to != n && w.hears(n, to) && w.chance.Float64() >= w.loss {
						w.mail = append(w.mail, letter{w.now + w.delay*(1+w.chance.Float64()), to, text})
					}
				}
			}
		}
	}
}

func (w *world) send(n int, f *Controller) {
	zone := w.names[w.chance.IntN(len(w.names))]
	if w.chance.Float64() >= f.Share(zone) {
		return
	}
	x := exec{at: w.now + 0.02, router: n, zone: zone, mark: f.OnAttemptStart(w.at(n), zone, 0.15)}
	if w.slow[zone] {
		x.at, x.how = w.now+0.3, Late
	}
	if w.full[zone] {
		x.how = Overloaded
	}
	if w.chance.Float64() >= w.up[zone] || !w.reaches(n, zone) {
		x.at, x.how = w.now+0.5, NoAnswer
		w.burnt[zone]++
	}
	w.open = append(w.open, x)
}

func take[T any](all *[]T, which func(T) bool) (taken []T) {
	rest := (*all)[:0:0]
	for _, x := range *all {
		if which(x) {
			taken = append(taken, x)
		} else {
			rest = append(rest, x)
		}
	}
	*all = rest
	return taken
}

// until runs until something holds at all routers that run, and gives how long that took; it fails after a bound.
func (w *world) until(what string, bound float64, holds func(f *Controller) bool) (first, last float64) {
	w.t.Helper()
	began, first := w.now, -1.0
	for w.now-began < bound {
		w.run(0.01)
		all := true
		for n, f := range w.fleets {
			if !w.down[n] && holds(f) {
				if first < 0 {
					first = w.now - began
				}
			} else if !w.down[n] {
				all = false
			}
		}
		if all {
			return first, w.now - began
		}
	}
	w.tell()
	w.t.Fatalf("%s: not everywhere within %.1f s", what, bound)
	return 0, 0
}

func (w *world) tell() {
	for _, line := range w.log[max(0, len(w.log)-40):] {
		w.t.Log(line)
	}
}

func left(zone string) func(*Controller) bool {
	return func(f *Controller) bool { return f.Share(zone) < 0.3 }
}
func full(zone string) func(*Controller) bool {
	return func(f *Controller) bool { return f.Share(zone) == 1 }
}

// stays fails if a router has left a zone.
func (w *world) stays(zone string) {
	w.t.Helper()
	for n, f := range w.fleets {
		if !w.down[n] && f.Share(zone) != 1 {
			w.tell()
			w.t.Fatalf("router %d gives %s %v of its keys", n, zone, f.Share(zone))
		}
	}
}
