package logic

import (
	"fmt"
	"testing"
)

// notes is a host that writes down what the module does.
type notes struct{ did []string }

func (n *notes) Execute(op, s uint64, limit, _ float64) { n.add("execute %d on %d", op, s) }
func (n *notes) Withdraw(op uint64, at int)             { n.add("withdraw %d/%d", op, at) }
func (n *notes) Decline(op uint64, after float64, _ Reason) {
	n.add("decline %d after %t", op, after > 0)
}
func (n *notes) Terminate(op uint64)                 { n.add("terminate %d", op) }
func (n *notes) Tell(words []byte)                   { n.add("tell %x", words) }
func (n *notes) Probe(s uint64)                      { n.add("probe %d", s) }
func (n *notes) SetTimer(delay float64, name string) {}
func (n *notes) Watch(on bool)                       { n.add("watch %t", on) }

func (n *notes) add(format string, args ...any) { n.did = append(n.did, fmt.Sprintf(format, args...)) }

// last is the latest action, or nothing.
func (n *notes) last() string {
	if len(n.did) == 0 {
		return ""
	}
	return n.did[len(n.did)-1]
}

// fleet starts a router with caches 1 to n, long started.
func fleet(n int, change func(*Settings)) (*Router, *notes) {
	set := Settings{Routers: 2, Step: 0.001, MostExecutions: 3, SecondCopies: true, Cancelling: true,
		MaxRetryAfter: 1, Fall: 3, TipMultiple: 4, StartCapacity: 0.25, WarmWithin: 20,
		OverBenefit: 0.05, TrafficTypes: []TrafficType{
			{Name: "view", Effect: Reissuable, PromisedTime: 0.4, HardStop: 2, Benefit: 1},
			{Name: "amend", Effect: Numbered, Group: Zone, Window: 1, PromisedTime: 0.4, HardStop: 2, Benefit: 1},
			{Name: "pay", PromisedTime: 0.4, HardStop: 2, Benefit: 1}}}
	if change != nil {
		change(&set)
	}
	n0 := &notes{}
	r := New(0, set, n0)
	var members []Member
	for i := range n {
		members = append(members, Member{ID: uint64(i + 1), Mode: InService, Capacity: 1, Zone: "a"})
	}
	r.Listed(0, Snapshot, members)
	n0.did = nil
	return r, n0
}

// many starts one of 80 routers, which sees little of each cache; caches fetch.
func many(n int) (*Router, *notes) {
	return fleet(n, func(s *Settings) { s.Peers, s.Routers, s.Telling = true, 80, 0.01 })
}

// weighed starts one of 600 routers, of caches with these live weights.
func weighed(seed uint32, weights ...float64) (*Router, *notes) {
	r, did := fleet(0, func(s *Settings) { s.Seed, s.Routers, s.Weights, s.StartCapacity = seed, 600, Live, 0.17 })
	r.Listed(0, Snapshot, members(weights...))
	return r, did
}

func members(weights ...float64) (all []Member) {
	for i, w := range weights {
		all = append(all, Member{ID: uint64(i + 1), Mode: InService, Capacity: w})
	}
	return all
}

// leaves is the part of a thousand keys that pass a cache over.
func (r *Router) leaves(s *server) float64 {
	n := 0
	for key := range uint32(1000) {
		if r.passed(&operation{row: r.rows["view"], hash: stir(key)}, s) {
			n++
		}
	}
	return float64(n) / 1000
}

// begun is an operation with one execution on s, or another server, settled as harmless or not, or still out.
func begun(r *Router, kind string, s *server, out, harmless bool) *operation {
	if s == nil {
		s = &server{}
	}
	op := &operation{id: 7, row: r.rows[kind], worth: 1, due: r.now + 0.4, hardStop: r.now + 2}
	op.purse = &r.spare
	op.executions = []*execution{{of: op, on: s, sent: r.now, out: out, harmless: harmless}}
	r.ops[7] = op
	return op
}

// slice is how many of 2000 keys a cache answers for.
func (r *Router) slice(s *server) (n int) {
	for key := range uint32(2000) {
		if r.nearest(stir(key), func(*server) bool { return true }) == s {
			n++
		}
	}
	return n
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// reasons is a host that keeps why operations were declined.
type reasons struct {
	notes
	told []Reason
}

func (r *reasons) Decline(_ uint64, _ float64, why Reason) { r.told = append(r.told, why) }
