package emulator

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"sort"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/tiles"
)

// Fleet is the cache servers, their origin and the list that names them, all on one loop.
type Fleet struct {
	loop           *eventloop.Loop
	types          map[string]*TrafficType
	servers        []*Server // in the order in which they came, also those that have gone
	ledger         *Ledger
	list           *List
	book           *Book
	memories       map[string]*memory
	seed           uint64
	serials        uint64
	named          string         // what its servers' names begin with
	tiles          *tiles.Service // they speak HTTP, and serve these layers
	tileType       *TrafficType   // of their tiles
	pictures       map[string][]byte
	drainTurnsAway bool // a draining cache server turns new commands away
	late           Lateness
}

// NewFleet makes one without servers. Listed is the list service's usual delay.
func NewFleet(loop *eventloop.Loop, seed uint64, types []*TrafficType, ledger LedgerSpec, listed Delay) *Fleet {
	f := &Fleet{loop: loop, types: map[string]*TrafficType{}, book: &Book{}, memories: map[string]*memory{}, seed: seed}
	for _, t := range types {
		f.types[t.Name] = t
	}
	f.ledger = newLedger(loop, ledger, f.book, f.Chance("ledger"))
	f.list = newList(loop.Now, listed, f.Chance("list"))
	f.late.watch(loop)
	f.sweep()
	return f
}

// Chance gives a source of chance of its own by name, so that what one part draws changes no other.
func (f *Fleet) Chance(name string) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(crc32.ChecksumIEEE([]byte(name)))))
}

// Named makes its servers' names begin with something, so that those of several fleets differ.
func (f *Fleet) Named(begin string) { f.named = begin }

// ServeTiles makes all of them tile servers.
func (f *Fleet) ServeTiles(service *tiles.Service, t *TrafficType) {
	f.tiles, f.tileType, f.pictures = service, t, map[string][]byte{}
}

// Book is what was seen. It is read once the loop has ended, or on it.
func (f *Fleet) Book() *Book { return f.book }

// List is the list service.
func (f *Fleet) List() *List { return f.list }

// Late is how late the loop was.
func (f *Fleet) Late() *Lateness { return &f.late }

// Servers gives all that ever were.
func (f *Fleet) Servers() []*Server { return f.servers }

// Serving gives those that are listed as ready.
func (f *Fleet) Serving() (in []*Server) {
	for _, s := range f.servers {
		if s.mode == Ready && !s.over {
			in = append(in, s)
		}
	}
	return in
}

// Add starts a cache server: a cold one, or one that has run for long.
func (f *Fleet) Add(spec Spec, cold bool) (*Server, error) {
	s := newServer(f, spec, f.Chance(spec.Name))
	if err := s.attend(); err != nil {
		return nil, fmt.Errorf("cache server %s: %w", spec.Name, err)
	}
	f.servers = append(f.servers, s)
	if cold {
		s.cold()
	}
	f.list.change(s)
	return s, nil
}

// Fill lets servers hold keys from the start, as those that have run for long do.
func (f *Fleet) Fill(keys []string) {
	for _, s := range f.servers {
		for _, k := range keys {
			s.kept.put(k)
		}
	}
}

func (f *Fleet) serial() uint64 {
	f.serials++
	return f.serials
}

// memory gives what those know who drop the repeats of a numbered type that come to s.
func (f *Fleet) memory(s *Server, t *TrafficType) *memory {
	if t.Effect != balancer.IdempotencyKeyed {
		return nil
	}
	name := t.Name
	switch t.Group {
	case balancer.ScopeZone:
		name += "/zone/" + s.Zone
	case balancer.ScopeCell:
		name += fmt.Sprintf("/cell/%s/%d", s.Zone, s.Cell)
	}
	if f.memories[name] == nil {
		f.memories[name] = &memory{marks: map[string]marked{}}
	}
	return f.memories[name]
}

// drop makes all copies of a key void.
func (f *Fleet) drop(key string) {
	for _, s := range f.servers {
		s.kept.drop(key)
	}
}

// sweep closes what has stood idle for long.
func (f *Fleet) sweep() {
	now := f.loop.Now()
	for _, s := range f.servers {
		for c := range s.conns {
			if s.Idle > 0 && s.vanished == 0 && c.idle() && now-c.used > s.Idle {
				c.lose(false)
			}
		}
	}
	f.loop.After(0.5, f.sweep)
}

// Close ends all.
func (f *Fleet) Close() {
	f.list.close()
	for _, s := range f.servers {
		s.over = true
		s.die()
		s.vanished = 0
		s.attend()
	}
}

// Lateness tells how late a loop runs what is due, by a timer of its own.
type Lateness struct {
	loop  *eventloop.Loop
	due   float64
	Times []float64 // seconds, each 10 ms
	At    []float64
}

const ticking = 0.01 // between two looks: a tenth of the shortest promised times

func (l *Lateness) watch(loop *eventloop.Loop) {
	l.loop, l.due = loop, loop.Now()+ticking
	loop.After(ticking, l.tick)
}

func (l *Lateness) tick() {
	now := l.loop.Now()
	if len(l.Times) < bookBound {
		l.Times, l.At = append(l.Times, now-l.due), append(l.At, now)
	}
	l.due = now + ticking
	l.loop.After(ticking, l.tick)
}

// Part gives the lateness that so large a part of the looks did not exceed.
func (l *Lateness) Part(part float64) float64 {
	if len(l.Times) == 0 {
		return 0
	}
	sorted := append([]float64(nil), l.Times...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
