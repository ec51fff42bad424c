// Package baseline holds textbook policies that drive the same core as the product's module, so that a comparison is of
// decisions alone. They are for the laboratory and in no router that operators start. All keep the first three rules the
// same plain way; none knows the fourth, and none sheds, learns or passes over what fails.
package baseline

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// policy orders the servers for a key; the first that has not been tried is taken.
type policy func(m *Module, op *operation) *server

var policies = map[string]policy{
	"random":     random,
	"least":      least,
	"ring":       func(m *Module, op *operation) *server { return m.walk(op, math.Inf(1)) },
	"bounded":    func(m *Module, op *operation) *server { return m.walk(op, 1.25) }, // the usual factor of its paper
	"rendezvous": rendezvous,
}

// Names names all policies.
func Names() []string { return slices.Sorted(maps.Keys(policies)) }

// Maker gives what starts a module with a policy.
func Maker(name string) (requestcore.NewBalancer, error) {
	p, known := policies[name]
	if !known {
		return nil, fmt.Errorf("%q is not a baseline; there are %s", name, strings.Join(Names(), ", "))
	}
	return func(now float64, set balancer.Settings, host balancer.Host) requestcore.Balancer {
		m := &Module{host: host, set: set, pick: p, servers: map[uint64]*server{}, ops: map[uint64]*operation{},
			types: map[string]balancer.TrafficClass{}}
		m.SetTrafficClasses(set.TrafficClasses)
		return m
	}, nil
}

// Module is one instance.
type Module struct {
	host    balancer.Host
	set     balancer.Settings
	pick    policy
	types   map[string]balancer.TrafficClass
	servers map[uint64]*server
	ready   []*server // by id
	ring    []point
	ops     map[uint64]*operation
	draws   uint64
	flying  int
	mean    float64 // of a finished execution's time
}

type server struct {
	balancer.Endpoint
	out int
}

type point struct {
	at uint32
	on *server
}

type operation struct {
	id         uint64
	t          balancer.TrafficClass
	hash       uint32
	hardStop   float64
	answered   bool
	out        int
	executions []*execution
}

type execution struct {
	on       *server
	sent     float64
	out      bool
	harmless bool
}

// hash mixes a number; crc32 alone is affine.
func hash(seed uint32, x uint64) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	h := crc32.Update(seed, crc32.IEEETable, b[:])
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return h ^ h>>16
}

func (m *Module) chance(n int) int {
	m.draws++
	return int(hash(m.set.Seed, m.draws) % uint32(n))
}

const points = 100 // of a server on the ring: shares within a tenth of the mean

// OnEndpoints takes an update of the list.
func (m *Module) OnEndpoints(_ float64, kind balancer.EndpointUpdate, members []balancer.Endpoint) {
	if kind == balancer.UpdateFailed {
		return
	}
	seen := map[uint64]bool{}
	for _, e := range members {
		seen[e.ID] = true
		if m.servers[e.ID] == nil {
			m.servers[e.ID] = &server{}
		}
		m.servers[e.ID].Endpoint = e
	}
	for id, s := range m.servers {
		if s.State == balancer.Removed || kind != balancer.UpdateDelta && !seen[id] {
			s.State = balancer.Removed
			delete(m.servers, id)
		}
	}
	m.ready, m.ring = nil, nil
	for _, s := range m.servers {
		if s.State == balancer.Ready {
			m.ready = append(m.ready, s)
		}
	}
	slices.SortFunc(m.ready, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range m.ready {
		for i := range points {
			m.ring = append(m.ring, point{hash(uint32(i), s.ID), s})
		}
	}
	slices.SortFunc(m.ring, func(a, b point) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.on.ID, b.on.ID)) })
}

func (op *operation) used(s *server) bool {
	return slices.ContainsFunc(op.executions, func(e *execution) bool { return e.on == s })
}

// may tells whether a server may execute an operation by the second and third rules.
func (m *Module) may(now float64, op *operation, s *server) bool {
	return s.State == balancer.Ready && !slices.ContainsFunc(op.executions, func(e *execution) bool {
		switch {
		case e.harmless || op.t.Idempotency == balancer.Idempotent:
			return false
		case op.t.Idempotency == balancer.AtMostOnce || now-e.sent >= op.t.DeduplicationWindow:
			return true
		case op.t.DeduplicationScope == balancer.ScopeZone:
			return e.on.Zone != s.Zone
		case op.t.DeduplicationScope == balancer.ScopeCell:
			return e.on.Cell != s.Cell
		}
		return false
	})
}

// fresh gives the ready servers that an operation has not been sent to; where it was sent to all, all.
func (m *Module) fresh(op *operation) []*server {
	all := slices.DeleteFunc(slices.Clone(m.ready), op.used)
	if len(all) == 0 {
		return m.ready
	}
	return all
}

func random(m *Module, op *operation) *server {
	all := m.fresh(op)
	return all[m.chance(len(all))]
}

func least(m *Module, op *operation) *server {
	all := m.fresh(op)
	first := m.chance(len(all)) // ties go round
	best := all[first]
	for i := range all {
		if s := all[(first+i)%len(all)]; s.out < best.out {
			best = s
		}
	}
	return best
}

func rendezvous(m *Module, op *operation) (best *server) {
	most := uint32(0)
	for _, s := range m.fresh(op) {
		if h := hash(op.hash, s.ID); best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// walk goes round the ring from the key on, past those that hold more than a factor times the mean.
func (m *Module) walk(op *operation, factor float64) *server {
	bound := math.Ceil(factor * float64(m.flying+1) / float64(len(m.ready)))
	first, _ := slices.BinarySearchFunc(m.ring, op.hash, func(p point, h uint32) int { return cmp.Compare(p.at, h) })
	var spare *server
	for i := range m.ring {
		s := m.ring[(first+i)%len(m.ring)].on
		if op.used(s) {
			continue
		}
		if float64(s.out+1) <= bound {
			return s
		}
		if spare == nil {
			spare = s
		}
	}
	if spare == nil {
		return m.ready[0]
	}
	return spare
}

// OnRequest takes an operation.
func (m *Module) OnRequest(now float64, id uint64, kind, _, key string, left float64) {
	t, known := m.types[kind]
	if !known {
		t = balancer.TrafficClass{Deadline: left, LatencyObjective: left}
	}
	op := &operation{id: id, t: t, hash: hash(0, uint64(crc32.ChecksumIEEE([]byte(key)))), hardStop: now + left - m.set.EventInterval}
	m.ops[id] = op
	m.further(now, op)
}

// further sends an operation on, or gives its final answer at once.
func (m *Module) further(now float64, op *operation) {
	enough := m.set.MaxAttempts <= 0 || len(op.executions) < m.set.MaxAttempts
	if len(m.ready) > 0 && enough && op.hardStop-now > max(m.mean, 1e-3) {
		if s := m.pick(m, op); m.may(now, op, s) {
			op.executions = append(op.executions, &execution{on: s, sent: now, out: true})
			op.out++
			s.out++
			m.flying++
			m.host.StartAttempt(op.id, s.ID, op.hardStop-now, op.hardStop-now)
			return
		}
	}
	op.answered = true
	ran := slices.ContainsFunc(op.executions, func(e *execution) bool { return !e.harmless })
	if op.t.Idempotency == balancer.Idempotent || op.t.Idempotency == balancer.IdempotencyKeyed && op.t.DeduplicationScope == balancer.ScopeAll || !ran {
		m.host.Reject(op.id, 0, balancer.ReasonNoEndpoint)
	} else {
		m.host.Fail(op.id)
	}
	m.end(op)
}

func (m *Module) end(op *operation) {
	for n, e := range op.executions {
		if e.out && m.set.CancellationAllowed {
			m.host.CancelAttempt(op.id, n)
		}
	}
	if op.out == 0 {
		delete(m.ops, op.id)
	}
}

// OnAttemptEnd takes the end of an execution.
func (m *Module) OnAttemptEnd(now float64, id uint64, n int, how balancer.Outcome, lag float64, final bool) {
	op := m.ops[id]
	if op == nil || n >= len(op.executions) || !op.executions[n].out {
		return
	}
	e := op.executions[n]
	e.out = false
	e.harmless = how == balancer.Overloaded || how == balancer.ConnectFailed || how == balancer.NotAttempted || how == balancer.CacheMiss
	op.out--
	e.on.out--
	m.flying--
	if how == balancer.Succeeded {
		m.mean += (lag - m.mean) / 16
	}
	if final || op.answered {
		op.answered = true
		m.end(op)
	} else {
		m.further(now, op)
	}
}

// SetTrafficClasses takes the traffic types.
func (m *Module) SetTrafficClasses(types []balancer.TrafficClass) {
	m.types = map[string]balancer.TrafficClass{}
	for _, t := range types {
		m.types[t.Name] = t
	}
}

// OnClientGone takes the client's departure.
func (m *Module) OnClientGone(_ float64, id uint64) {
	if op := m.ops[id]; op != nil {
		op.answered = true
		m.end(op)
	}
}

// OnGossip takes nothing from peers.
func (m *Module) OnGossip(float64, []byte) {}

// OnProbeResult takes no probes: none are sent.
func (m *Module) OnProbeResult(float64, uint64, balancer.Outcome) {}

// SetFleetSize takes nothing.
func (m *Module) SetFleetSize(float64, int) {}

// OnTimer has no timers.
func (m *Module) OnTimer(float64, string) {}

// SetDisabled is not for baselines.
func (m *Module) SetDisabled(float64, uint64, bool) {}

// SetZoneShare is not for baselines.
func (m *Module) SetZoneShare(float64, string, float64) {}

// Avoids tells whether a server gets nothing by its mode: baselines avoid none for its failures.
func (m *Module) Avoids(id uint64) bool {
	s := m.servers[id]
	return s == nil || s.State != balancer.Ready
}
