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

// Fleet is the cache servers, their origin and the list service, all on one event loop.
type Fleet struct {
	loop            *eventloop.Loop
	types           map[string]*TrafficType
	servers         []*Server // in the order in which they were added, including removed ones
	origin          *Origin
	list            *List
	records         *ServerRecords
	dedupTables     map[string]*dedupTable
	seed            uint64
	lastSerial      uint64
	namePrefix      string         // prefix of its servers' names
	tileService     *tiles.Service // if set, the servers speak HTTP and serve these layers
	tileType        *TrafficType   // of their tiles
	tileImages      map[string][]byte
	drainingRejects bool // a draining cache server rejects new commands
	lateness        Lateness
}

// NewFleet returns a fleet without servers. listed is the list service's usual delay.
func NewFleet(loop *eventloop.Loop, seed uint64, types []*TrafficType, origin OriginSpec, listed Delay) *Fleet {
	fleet := &Fleet{loop: loop, types: map[string]*TrafficType{}, records: &ServerRecords{},
		dedupTables: map[string]*dedupTable{}, seed: seed}
	for _, trafficType := range types {
		fleet.types[trafficType.Name] = trafficType
	}
	fleet.origin = newOrigin(loop, origin, fleet.records, fleet.Rand("ledger"))
	fleet.list = newList(loop.Now, listed, fleet.Rand("list"))
	fleet.lateness.start(loop)
	fleet.closeIdleConns()
	return fleet
}

// Rand returns a random number generator seeded from the fleet's seed and a name, so that the draws of one component
// don't change those of another.
func (f *Fleet) Rand(name string) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(crc32.ChecksumIEEE([]byte(name)))))
}

// SetNamePrefix sets a prefix of the servers' names, so that the names of several fleets differ.
func (f *Fleet) SetNamePrefix(prefix string) { f.namePrefix = prefix }

// ServeTiles makes all servers tile servers.
func (f *Fleet) ServeTiles(service *tiles.Service, trafficType *TrafficType) {
	f.tileService, f.tileType, f.tileImages = service, trafficType, map[string][]byte{}
}

// Records returns the fleet's records. They may be read on the loop, or once the loop has ended.
func (f *Fleet) Records() *ServerRecords { return f.records }

// List returns the list service.
func (f *Fleet) List() *List { return f.list }

// Late returns how late the loop was.
func (f *Fleet) Late() *Lateness { return &f.lateness }

// Servers returns all servers, including removed ones.
func (f *Fleet) Servers() []*Server { return f.servers }

// Ready returns the servers that are ready.
func (f *Fleet) Ready() (ready []*Server) {
	for _, server := range f.servers {
		if server.mode == Ready && !server.removed {
			ready = append(ready, server)
		}
	}
	return ready
}

// Add starts a cache server, either cold or at full capacity.
func (f *Fleet) Add(spec Spec, cold bool) (*Server, error) {
	server := newServer(f, spec, f.Rand(spec.Name))
	if err := server.updateListening(); err != nil {
		return nil, fmt.Errorf("cache server %s: %w", spec.Name, err)
	}
	f.servers = append(f.servers, server)
	if cold {
		server.startCold()
	}
	f.list.recordChange(server)
	return server, nil
}

// Fill puts keys into the caches of all servers, as if they had run for a long time.
func (f *Fleet) Fill(keys []string) {
	for _, server := range f.servers {
		for _, k := range keys {
			server.cache.put(k)
		}
	}
}

func (f *Fleet) nextSerial() uint64 {
	f.lastSerial++
	return f.lastSerial
}

// dedupTable returns the deduplication table of the scope in which server s recognises repeats of an idempotency-keyed
// traffic type; nil for other types.
func (f *Fleet) dedupTable(server *Server, trafficType *TrafficType) *dedupTable {
	if trafficType.Idempotency != balancer.IdempotencyKeyed {
		return nil
	}
	name := trafficType.Name
	switch trafficType.DeduplicationScope {
	case balancer.ScopeZone:
		name += "/zone/" + server.Zone
	case balancer.ScopeCell:
		name += fmt.Sprintf("/cell/%s/%d", server.Zone, server.Cell)
	}
	if f.dedupTables[name] == nil {
		f.dedupTables[name] = &dedupTable{entries: map[string]dedupEntry{}}
	}
	return f.dedupTables[name]
}

// invalidate removes a key from the caches of all servers.
func (f *Fleet) invalidate(key string) {
	for _, server := range f.servers {
		server.cache.drop(key)
	}
}

// closeIdleConns closes connections that have been idle for longer than their server's bound, twice per second.
func (f *Fleet) closeIdleConns() {
	now := f.loop.Now()
	for _, server := range f.servers {
		for c := range server.conns {
			if server.Idle > 0 && server.unreachable == 0 && c.idle() && now-c.lastBusy > server.Idle {
				c.disconnect(false)
			}
		}
	}
	f.loop.After(0.5, f.closeIdleConns)
}

// Close stops the list service and all servers.
func (f *Fleet) Close() {
	f.list.close()
	for _, server := range f.servers {
		server.removed = true
		server.dropConnections()
		server.unreachable = 0
		server.updateListening()
	}
}

// Lateness measures with a periodic timer how late an event loop runs its timers.
type Lateness struct {
	loop  *eventloop.Loop
	due   float64
	Times []float64 // lateness in seconds, one sample every 10 ms
	At    []float64
}

const latenessInterval = 0.01 // seconds between samples: a tenth of the shortest latency objectives

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

// Quantile returns a quantile of the lateness: the value that this fraction of the samples did not exceed.
func (l *Lateness) Quantile(fraction float64) float64 {
	if len(l.Times) == 0 {
		return 0
	}
	sorted := append([]float64(nil), l.Times...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
