// Package baseline contains textbook balancing policies. They run on the same request core as the product's balancer,
// so that a comparison covers only the balancing decisions. They are for experiments and not part of any router that
// operators start. All keep rules 1 to 3 in the same simple way. None implements rule 4, sheds load, learns from load,
// or avoids failing servers.
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

// policy chooses the server for the next attempt of a request, preferably one that the request has not been sent to.
type policy func(m *Module, req *request) *server

var policies = map[string]policy{
	"random":     random,
	"least":      least,
	"ring":       func(m *Module, req *request) *server { return m.firstOnRing(req, math.Inf(1)) },
	"bounded":    func(m *Module, req *request) *server { return m.firstOnRing(req, 1.25) }, // the usual factor of its paper
	"rendezvous": rendezvous,
}

// Names returns the names of all policies.
func Names() []string { return slices.Sorted(maps.Keys(policies)) }

// NewFactory returns a constructor of balancers with the named policy.
func NewFactory(name string) (requestcore.NewBalancer, error) {
	p, known := policies[name]
	if !known {
		return nil, fmt.Errorf("%q is not a baseline policy; the policies are %s", name, strings.Join(Names(), ", "))
	}
	return func(now float64, settings balancer.Settings, host balancer.Host) requestcore.Balancer {
		m := &Module{host: host, settings: settings, choose: p, servers: map[uint64]*server{}, requests: map[uint64]*request{},
			classes: map[string]balancer.TrafficClass{}}
		m.SetTrafficClasses(settings.TrafficClasses)
		return m
	}, nil
}

// Module is a balancer with one of the policies.
type Module struct {
	host          balancer.Host
	settings      balancer.Settings
	choose        policy
	classes       map[string]balancer.TrafficClass
	servers       map[uint64]*server
	ready         []*server // ordered by id
	ring          []virtualNode
	requests      map[uint64]*request
	draws         uint64
	totalInFlight int
	meanDuration  float64 // moving average of the duration of successful attempts, in seconds
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

// hash returns a hash of x with a seed. It mixes the CRC further, because crc32 alone is affine: the hashes of two
// seeds would differ by a constant XOR.
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

const virtualNodesPerServer = 100 // servers' shares of the keys are within 10% of the mean

// OnEndpoints applies an update of the endpoint list.
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

// mayAttempt reports whether rules 2 and 3 allow an attempt of a request at a server.
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

// untriedServers returns the ready servers that a request has not been sent to, or all ready servers if it was sent to
// all.
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
	first := m.randomBelow(len(all)) // a random start breaks ties
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

// firstOnRing returns the first server on the ring from the key's position that the request has not been sent to and
// that would have at most factor times the mean number of attempts in flight. If all have more, it returns the first
// that the request has not been sent to, or else any ready server.
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

// OnRequest accepts a request and sends its first attempt or answers it.
func (m *Module) OnRequest(now float64, id uint64, className, _, key string, remaining float64) {
	class, known := m.classes[className]
	if !known {
		class = balancer.TrafficClass{Deadline: remaining, LatencyObjective: remaining}
	}
	req := &request{id: id, class: class, hash: hash(0, uint64(crc32.ChecksumIEEE([]byte(key)))), deadline: now + remaining - m.settings.EventInterval}
	m.requests[id] = req
	m.sendOrAnswer(now, req)
}

// sendOrAnswer starts the next attempt of a request, or gives its final answer if no attempt is possible.
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

// OnReplyStalled does nothing: the comparison has no hedged requests.
func (m *Module) OnReplyStalled(float64, uint64, int) {}

// WouldRetry reports true: a stalled attempt is ended, as by a simple router.
func (m *Module) WouldRetry(float64, uint64, int) bool { return true }

// OnReplyDelayed does nothing: the baselines measure no servers.
func (m *Module) OnReplyDelayed(uint64, int) {}

// OnAttemptEnd handles the end of an attempt.
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

// SetTrafficClasses replaces the traffic classes.
func (m *Module) SetTrafficClasses(classes []balancer.TrafficClass) {
	m.classes = map[string]balancer.TrafficClass{}
	for _, class := range classes {
		m.classes[class.Name] = class
	}
}

// OnClientDisconnected ends a request whose client has closed its connection.
func (m *Module) OnClientDisconnected(_ float64, id uint64) {
	if req := m.requests[id]; req != nil {
		req.answered = true
		m.end(req)
	}
}

// OnGossip does nothing: baselines use no gossip.
func (m *Module) OnGossip(float64, []byte) {}

// OnProbeResult does nothing: baselines send no probes.
func (m *Module) OnProbeResult(float64, uint64, balancer.Outcome) {}

// SetFleetSize does nothing: baselines do not depend on the fleet size.
func (m *Module) SetFleetSize(float64, int) {}

// OnTimer does nothing: baselines set no timers.
func (m *Module) OnTimer(float64, string) {}

// SetDisabled does nothing: baselines cannot disable servers.
func (m *Module) SetDisabled(float64, uint64, bool) {}

// SetZoneShare does nothing: baselines have no zone shares.
func (m *Module) SetZoneShare(float64, string, float64) {}

// Avoids reports whether a server gets no requests because it is not ready. Baselines do not avoid servers for their
// failures.
func (m *Module) Avoids(id uint64) bool {
	s := m.servers[id]
	return s == nil || s.State != balancer.Ready
}
