// Package faultproxy stands between processes: words between routers, and connections from routers to cache servers and to the
// list service, go through relays of the laboratory, which cut, delay, lose, double and reorder what they carry, in either
// direction by itself, and heal. A relay notes what a router wanted to send where nothing came through.
package faultproxy

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// End is one end of what is carried: a router by its number, a cache server by its name, or a router's list service.
type End struct {
	Kind Kind
	N    int    // of a router, and of the router whose list service it is
	Name string // of a cache server
	Zone string // of a cache server
}

// Kind is what stands at an end.
type Kind uint8

// The kinds.
const (
	Router Kind = iota
	Server
	List
)

// Effect is what happens to what goes from one end to another. Effects of several rules add up.
type Effect struct {
	Cut    bool
	Delay  float64 // seconds
	Spread float64 // seconds by which each delay is longer, drawn evenly: words overtake each other, connections keep their order
	Lose   float64 // part of the words that is lost
	Double float64 // part of the words that comes twice, the second one up to half a second later
}

// Rule is a fault between ends, while it is in force.
type Rule struct {
	Match  func(from, to End) bool
	Effect Effect
}

// Sending is what a router wrote to an end that was cut off.
type Sending struct {
	At     float64 // Unix seconds
	Router int
	To     End
}

// Net is all relays of a run.
type Net struct {
	mu     sync.Mutex
	now    func() float64
	chance *rand.Rand
	rules  []*Rule
	words  []*wordsRelay
	conns  []*connRelay
	sent   []Sending
	last   []Word
	closed bool
	wg     sync.WaitGroup
}

// Word is a message that went between two routers.
type Word struct {
	At       float64
	From, To int
	Bytes    int
	Lost     bool
}

const (
	mostSent  = 200_000 // notes kept: far more than a run of minutes makes
	lastWords = 4000    // the newest: what a failure's report shows
)

// New makes an empty one; now gives Unix seconds.
func New(now func() float64, seed uint64) *Net {
	return &Net{now: now, chance: rand.New(rand.NewPCG(seed, 99))}
}

// Begin puts a rule in force; heal ends it.
func (n *Net) Begin(r Rule) (heal func() error, err error) {
	rule := &r
	n.mu.Lock()
	n.rules = append(n.rules, rule)
	n.mu.Unlock()
	var once sync.Once
	heal = func() (err error) {
		once.Do(func() {
			n.mu.Lock()
			n.rules = slices.DeleteFunc(n.rules, func(x *Rule) bool { return x == rule })
			n.mu.Unlock()
			err = n.changed()
		})
		return err
	}
	return heal, n.changed()
}

// between is the effect of all rules on one direction. The net is locked.
func (n *Net) between(from, to End) (e Effect) {
	pass := 1.0
	for _, r := range n.rules {
		if !r.Match(from, to) {
			continue
		}
		e.Cut = e.Cut || r.Effect.Cut
		e.Delay += r.Effect.Delay
		e.Spread += r.Effect.Spread
		pass *= 1 - r.Effect.Lose
		e.Double = max(e.Double, r.Effect.Double)
	}
	e.Lose = 1 - pass
	return e
}

func (n *Net) effect(from, to End) Effect {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.between(from, to)
}

// changed brings all relays of connections in line with the rules.
func (n *Net) changed() (err error) {
	n.mu.Lock()
	conns := slices.Clone(n.conns)
	n.mu.Unlock()
	for _, c := range conns {
		err = errors.Join(err, c.attend())
	}
	return err
}

func (n *Net) note(s Sending) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.sent) < mostSent {
		n.sent = append(n.sent, s)
	}
}

func (n *Net) noteWord(w Word) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last = append(n.last, w); len(n.last) > 2*lastWords {
		n.last = slices.Clone(n.last[lastWords:])
	}
}

// Sent gives what routers wrote to ends that were cut off, in the order of time.
func (n *Net) Sent() []Sending {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := slices.Clone(n.sent)
	slices.SortStableFunc(all, func(a, b Sending) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Last gives the newest words that went between routers.
func (n *Net) Last(most int) []Word {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.last[max(0, len(n.last)-most):])
}

func (n *Net) draw() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.chance.Float64()
}

// Close ends all relays and waits for them.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	words, conns := n.words, n.conns
	n.mu.Unlock()
	for _, w := range words {
		w.close()
	}
	for _, c := range conns {
		c.close()
	}
	n.wg.Wait()
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
