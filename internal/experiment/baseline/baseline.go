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
type policy func(m *Module, req *request) *server

var policies = map[string]policy{
	"random":     random,
	"least":      least,
	"ring":       func(m *Module, req *request) *server { return m.firstOnRing(req, math.Inf(1)) },
	"bounded":    func(m *Module, req *request) *server { return m.firstOnRing(req, 1.25) }, // the usual factor of its paper
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
	return func(now float64, settings balancer.Settings, host balancer.Host) requestcore.Balancer {
		m := &Module{host: host, settings: settings, choose: p, servers: map[uint64]*server{}, requests: map[uint64]*request{},
			classes: map[string]balancer.TrafficClass{}}
		m.SetTrafficClasses(settings.TrafficClasses)
		return m
	}, nil
}

// Module is one instance.
type Module struct {
	host          balancer.Host
	settings      balancer.Settings
	choose        policy
	classes       map[string]balancer.TrafficClass
	servers       map[uint64]*server
	ready         []*server // by id
	ring          []virtualNode
	requests      map[uint64]*request
	draws         uint64
	totalInFlight int
	meanDuration  float64 // of a finished execution's time
}

type server struct {
	balancer.Endpoint
	inFlight int
}

type virtualNode struct {
	position uint32
	owner    *server
}

type request struct {
	id       uint64
	class    balancer.TrafficClass
	hash     uint32
	deadline float64
	answered bool
	inFlight int
	attempts []*attempt
}

type attempt struct {
	target    *server
	sent      float64
	inFlight  bool
	retrySafe bool
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

func (m *Module) randomBelow(n int) int {
	m.draws++
	return int(hash(m.settings.Seed, m.draws) % uint32(n))
}

const virtualNodesPerServer = 100 // of a server on the ring: shares within a tenth of the mean

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
		for i := range virtualNodesPerServer {
			m.ring = append(m.ring, virtualNode{hash(uint32(i), s.ID), s})
		}
	}
	slices.SortFunc(m.ring, func(a, b virtualNode) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.owner.ID, b.owner.ID))
	})
}

func (req *request) wasSentTo(s *server) bool {
	return slices.ContainsFunc(req.attempts, func(e *attempt) bool { return e.target == s })
}

// may tells whether a server may execute an operation by the second and third rules.
func (m *Module) mayAttempt(now float64, req *request, s *server) bool {
	return s.State == balancer.Ready && !slices.ContainsFunc(req.attempts, func(e *attempt) bool {
		switch {
		case e.retrySafe || req.class.Idempotency == balancer.Idempotent:
			return false
		case req.class.Idempotency == balancer.AtMostOnce || now-e.sent >= req.class.DeduplicationWindow:
			return true
		case req.class.DeduplicationScope == balancer.ScopeZone:
			return e.target.Zone != s.Zone
		case req.class.DeduplicationScope == balancer.ScopeCell:
			return e.target.Cell != s.Cell
		}
		return false
	})
}

// fresh gives the ready servers that an operation has not been sent to; where it was sent to all, all.
func (m *Module) untriedServers(req *request) []*server {
	all := slices.DeleteFunc(slices.Clone(m.ready), req.wasSentTo)
	if len(all) == 0 {
		return m.ready
	}
	return all
}

func random(m *Module, req *request) *server {
	all := m.untriedServers(req)
	return all[m.randomBelow(len(all))]
}

func least(m *Module, req *request) *server {
	all := m.untriedServers(req)
	first := m.randomBelow(len(all)) // ties go round
	best := all[first]
	for i := range all {
		if s := all[(first+i)%len(all)]; s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

func rendezvous(m *Module, req *request) (best *server) {
	most := uint32(0)
	for _, s := range m.untriedServers(req) {
		if h := hash(req.hash, s.ID); best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// walk goes round the ring from the key on, past those that hold more than a factor times the mean.
func (m *Module) firstOnRing(req *request, factor float64) *server {
	bound := math.Ceil(factor * float64(m.totalInFlight+1) / float64(len(m.ready)))
	first, _ := slices.BinarySearchFunc(m.ring, req.hash, func(p virtualNode, h uint32) int { return cmp.Compare(p.position, h) })
	var fallback *server
	for i := range m.ring {
		s := m.ring[(first+i)%len(m.ring)].owner
		if req.wasSentTo(s) {
			continue
		}
		if float64(s.inFlight+1) <= bound {
			return s
		}
		if fallback == nil {
			fallback = s
		}
	}
	if fallback == nil {
		return m.ready[0]
	}
	return fallback
}

// OnRequest takes an operation.
func (m *Module) OnRequest(now float64, id uint64, className, _, key string, remaining float64) {
	class, known := m.classes[className]
	if !known {
		class = balancer.TrafficClass{Deadline: remaining, LatencyObjective: remaining}
	}
	req := &request{id: id, class: class, hash: hash(0, uint64(crc32.ChecksumIEEE([]byte(key)))), deadline: now + remaining - m.settings.EventInterval}
	m.requests[id] = req
	m.sendOrAnswer(now, req)
}

// further sends an operation on, or gives its final answer at once.
func (m *Module) sendOrAnswer(now float64, req *request) {
	attemptsLeft := m.settings.MaxAttempts <= 0 || len(req.attempts) < m.settings.MaxAttempts
	if len(m.ready) > 0 && attemptsLeft && req.deadline-now > max(m.meanDuration, 1e-3) {
		if s := m.choose(m, req); m.mayAttempt(now, req, s) {
			req.attempts = append(req.attempts, &attempt{target: s, sent: now, inFlight: true})
			req.inFlight++
			s.inFlight++
			m.totalInFlight++
			m.host.StartAttempt(req.id, s.ID, req.deadline-now, req.deadline-now)
			return
		}
	}
	req.answered = true
	ran := slices.ContainsFunc(req.attempts, func(e *attempt) bool { return !e.retrySafe })
	if req.class.Idempotency == balancer.Idempotent || req.class.Idempotency == balancer.IdempotencyKeyed && req.class.DeduplicationScope == balancer.ScopeAll || !ran {
		m.host.Reject(req.id, 0, balancer.ReasonNoEndpoint)
	} else {
		m.host.Fail(req.id)
	}
	m.end(req)
}

func (m *Module) end(req *request) {
	for n, e := range req.attempts {
		if e.inFlight && m.settings.CancellationAllowed {
			m.host.CancelAttempt(req.id, n)
		}
	}
	if req.inFlight == 0 {
		delete(m.requests, req.id)
	}
}

// OnAttemptEnd takes the end of an execution.
func (m *Module) OnAttemptEnd(now float64, id uint64, n int, outcome balancer.Outcome, duration float64, final bool) {
	req := m.requests[id]
	if req == nil || n >= len(req.attempts) || !req.attempts[n].inFlight {
		return
	}
	e := req.attempts[n]
	e.inFlight = false
	e.retrySafe = outcome == balancer.Overloaded || outcome == balancer.ConnectFailed || outcome == balancer.NotAttempted || outcome == balancer.CacheMiss
	req.inFlight--
	e.target.inFlight--
	m.totalInFlight--
	if outcome == balancer.Succeeded {
		m.meanDuration += (duration - m.meanDuration) / 16
	}
	if final || req.answered {
		req.answered = true
		m.end(req)
	} else {
		m.sendOrAnswer(now, req)
	}
}

// SetTrafficClasses takes the traffic types.
func (m *Module) SetTrafficClasses(classes []balancer.TrafficClass) {
	m.classes = map[string]balancer.TrafficClass{}
	for _, class := range classes {
		m.classes[class.Name] = class
	}
}

// OnClientGone takes the client's departure.
func (m *Module) OnClientGone(_ float64, id uint64) {
	if req := m.requests[id]; req != nil {
		req.answered = true
		m.end(req)
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
