// Package faultproxy injects network faults between processes of the laboratory. Datagrams between routers, and
// connections from routers to cache servers and to the list service, go through its relays. Relays block and delay
// traffic, and lose, duplicate and reorder datagrams, in either direction separately, until the fault ends. A relay
// records when a router sends data over a blocked connection.
package faultproxy

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// End is one end of a relay: a router by its number, a cache server by its name, or a router's list service.
type End struct {
	Kind   Kind
	Number int    // of a router, and of the router whose list service it is
	Name   string // of a cache server
	Zone   string // of a cache server
}

// Kind is the kind of process at an end.
type Kind uint8

// The kinds of ends.
const (
	Router Kind = iota
	Server
	ListService
)

// Effect is what happens to traffic from one end to another. When several rules match, a cut by any of them applies,
// their delays and spreads are added, their fractions of datagrams not lost are multiplied, and the highest fraction
// of duplicates applies.
type Effect struct {
	Cut               bool
	Delay             float64 // seconds
	Spread            float64 // seconds, bound of a uniform random extra delay; it reorders datagrams, but not the data of a connection
	LossFraction      float64 // fraction of datagrams that is lost
	DuplicateFraction float64 // fraction of datagrams that arrives twice, the second copy up to half a second later
}

// Rule is a fault between ends, while it is in force.
type Rule struct {
	Match  func(from, to End) bool
	Effect Effect
}

// BlockedSend records that a router sent data to an end that was cut off.
type BlockedSend struct {
	At     float64 // Unix seconds
	Router int
	To     End
}

// Network holds all relays of a run.
type Network struct {
	mu        sync.Mutex
	now       func() float64
	random    *rand.Rand
	rules     []*Rule
	datagrams []*datagramRelay
	conns     []*connRelay
	blocked   []BlockedSend
	recent    []DatagramRecord
	closed    bool
	wg        sync.WaitGroup
}

// DatagramRecord records a datagram from one router to another.
type DatagramRecord struct {
	At       float64
	From, To int
	Bytes    int
	Lost     bool
}

const (
	maxBlockedSends = 200_000 // records kept: far more than a run of minutes produces
	recentDatagrams = 4000    // newest records kept, for the report of a failure
)

// New returns a Net without relays; now returns Unix seconds, and seed determines all random draws.
func New(now func() float64, seed uint64) *Network {
	return &Network{now: now, random: rand.New(rand.NewPCG(seed, 99))}
}

// Begin puts a rule in force. Calling heal ends it; further calls do nothing.
func (network *Network) Begin(r Rule) (heal func() error, err error) {
	rule := &r
	network.mu.Lock()
	network.rules = append(network.rules, rule)
	network.mu.Unlock()
	var once sync.Once
	heal = func() (err error) {
		once.Do(func() {
			network.mu.Lock()
			network.rules = slices.DeleteFunc(network.rules, func(other *Rule) bool { return other == rule })
			network.mu.Unlock()
			err = network.updateRelays()
		})
		return err
	}
	return heal, network.updateRelays()
}

// effectLocked returns the combined effect of all rules on one direction. The caller holds network.mu.
func (network *Network) effectLocked(from, to End) (e Effect) {
	passed := 1.0
	for _, r := range network.rules {
		if !r.Match(from, to) {
			continue
		}
		e.Cut = e.Cut || r.Effect.Cut
		e.Delay += r.Effect.Delay
		e.Spread += r.Effect.Spread
		passed *= 1 - r.Effect.LossFraction
		e.DuplicateFraction = max(e.DuplicateFraction, r.Effect.DuplicateFraction)
	}
	e.LossFraction = 1 - passed
	return e
}

func (network *Network) effect(from, to End) Effect {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.effectLocked(from, to)
}

// updateRelays makes all connection relays follow the rules in force.
func (network *Network) updateRelays() (err error) {
	network.mu.Lock()
	conns := slices.Clone(network.conns)
	network.mu.Unlock()
	for _, c := range conns {
		err = errors.Join(err, c.applyRules())
	}
	return err
}

func (network *Network) recordBlocked(s BlockedSend) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if len(network.blocked) < maxBlockedSends {
		network.blocked = append(network.blocked, s)
	}
}

func (network *Network) recordDatagram(w DatagramRecord) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.recent = append(network.recent, w); len(network.recent) > 2*recentDatagrams {
		network.recent = slices.Clone(network.recent[recentDatagrams:])
	}
}

// BlockedSends returns the records of data that routers sent to ends that were cut off, ordered by time.
func (network *Network) BlockedSends() []BlockedSend {
	network.mu.Lock()
	defer network.mu.Unlock()
	all := slices.Clone(network.blocked)
	slices.SortStableFunc(all, func(a, b BlockedSend) int { return cmp.Compare(a.At, b.At) })
	return all
}

// RecentDatagrams returns the records of the newest datagrams between routers, up to most of them.
func (network *Network) RecentDatagrams(most int) []DatagramRecord {
	network.mu.Lock()
	defer network.mu.Unlock()
	return slices.Clone(network.recent[max(0, len(network.recent)-most):])
}

func (network *Network) randomFloat() float64 {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.random.Float64()
}

// Close closes all relays and waits for their goroutines.
func (network *Network) Close() {
	network.mu.Lock()
	network.closed = true
	datagrams, conns := network.datagrams, network.conns
	network.mu.Unlock()
	for _, d := range datagrams {
		d.close()
	}
	for _, c := range conns {
		c.close()
	}
	network.wg.Wait()
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
