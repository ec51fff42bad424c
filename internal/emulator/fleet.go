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
	loop            *eventloop.Loop
	types           map[string]*TrafficType
	servers         []*Server // in the order in which they came, also those that have gone
	origin          *Ledger
	list            *List
	records         *Book
	dedupTables     map[string]*dedupTable
	seed            uint64
	lastSerial      uint64
	namePrefix      string         // what its servers' names begin with
	tileService     *tiles.Service // they speak HTTP, and serve these layers
	tileType        *TrafficType   // of their tiles
	tileImages      map[string][]byte
	drainingRejects bool // a draining cache server turns new commands away
	lateness        Lateness
}

// NewFleet makes one without servers. Listed is the list service's usual delay.
func NewFleet(loop *eventloop.Loop, seed uint64, types []*TrafficType, ledger LedgerSpec, listed Delay) *Fleet {
	fleet := &Fleet{loop: loop, types: map[string]*TrafficType{}, records: &Book{}, dedupTables: map[string]*dedupTable{}, seed: seed}
	for _, trafficType := range types {
		fleet.types[trafficType.Name] = trafficType
	}
	fleet.origin = newLedger(loop, ledger, fleet.records, fleet.Chance("ledger"))
	fleet.list = newList(loop.Now, listed, fleet.Chance("list"))
	fleet.lateness.start(loop)
	fleet.closeIdleConns()
	return fleet
}

// Chance gives a source of chance of its own by name, so that what one part draws changes no other.
func (f *Fleet) Chance(name string) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(crc32.ChecksumIEEE([]byte(name)))))
}

// Named makes its servers' names begin with something, so that those of several fleets differ.
func (f *Fleet) Named(prefix string) { f.namePrefix = prefix }

// ServeTiles makes all of them tile servers.
func (f *Fleet) ServeTiles(service *tiles.Service, trafficType *TrafficType) {
	f.tileService, f.tileType, f.tileImages = service, trafficType, map[string][]byte{}
}

// Book is what was seen. It is read once the loop has ended, or on it.
func (f *Fleet) Book() *Book { return f.records }

// List is the list service.
func (f *Fleet) List() *List { return f.list }

// Late is how late the loop was.
func (f *Fleet) Late() *Lateness { return &f.lateness }

// Servers gives all that ever were.
func (f *Fleet) Servers() []*Server { return f.servers }

// Serving gives those that are listed as ready.
func (f *Fleet) Serving() (ready []*Server) {
	for _, s := range f.servers {
		if s.mode == Ready && !s.removed {
			ready = append(ready, s)
		}
	}
	return ready
}

// Add starts a cache server: a cold one, or one that has run for long.
func (f *Fleet) Add(spec Spec, cold bool) (*Server, error) {
	s := newServer(f, spec, f.Chance(spec.Name))
	if err := s.updateListening(); err != nil {
		return nil, fmt.Errorf("cache server %s: %w", spec.Name, err)
	}
	f.servers = append(f.servers, s)
	if cold {
		s.startCold()
	}
	f.list.recordChange(s)
	return s, nil
}

// Fill lets servers hold keys from the start, as those that have run for long do.
func (f *Fleet) Fill(keys []string) {
	for _, s := range f.servers {
		for _, k := range keys {
			s.cache.put(k)
		}
	}
}

func (f *Fleet) nextSerial() uint64 {
	f.lastSerial++
	return f.lastSerial
}

// memory gives what those know who drop the repeats of a numbered type that come to s.
func (f *Fleet) dedupTable(s *Server, trafficType *TrafficType) *dedupTable {
	if trafficType.Effect != balancer.IdempotencyKeyed {
		return nil
	}
	name := trafficType.Name
	switch trafficType.Group {
	case balancer.ScopeZone:
		name += "/zone/" + s.Zone
	case balancer.ScopeCell:
		name += fmt.Sprintf("/cell/%s/%d", s.Zone, s.Cell)
	}
	if f.dedupTables[name] == nil {
		f.dedupTables[name] = &dedupTable{entries: map[string]dedupEntry{}}
	}
	return f.dedupTables[name]
}

// drop makes all copies of a key void.
func (f *Fleet) invalidate(key string) {
	for _, s := range f.servers {
		s.cache.drop(key)
	}
}

// sweep closes what has stood idle for long.
func (f *Fleet) closeIdleConns() {
	now := f.loop.Now()
	for _, s := range f.servers {
		for c := range s.conns {
			if s.Idle > 0 && s.unreachable == 0 && c.idle() && now-c.lastBusy > s.Idle {
				c.disconnect(false)
			}
		}
	}
	f.loop.After(0.5, f.closeIdleConns)
}

// Close ends all.
func (f *Fleet) Close() {
	f.list.close()
	for _, s := range f.servers {
		s.removed = true
		s.dropConnections()
		s.unreachable = 0
		s.updateListening()
	}
}

// Lateness tells how late a loop runs what is due, by a timer of its own.
type Lateness struct {
	loop  *eventloop.Loop
	due   float64
	Times []float64 // seconds, each 10 ms
	At    []float64
}

const latenessInterval = 0.01 // between two looks: a tenth of the shortest promised times

func (l *Lateness) start(loop *eventloop.Loop) {
	l.loop, l.due = loop, loop.Now()+latenessInterval
	loop.After(latenessInterval, l.tick)
}

func (l *Lateness) tick() {
	now := l.loop.Now()
	if len(l.Times) < maxRecords {
		l.Times, l.At = append(l.Times, now-l.due), append(l.At, now)
	}
	l.due = now + latenessInterval
	l.loop.After(latenessInterval, l.tick)
}

// Part gives the lateness that so large a part of the looks did not exceed.
func (l *Lateness) Part(fraction float64) float64 {
	if len(l.Times) == 0 {
		return 0
	}
	sorted := append([]float64(nil), l.Times...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
