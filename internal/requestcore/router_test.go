package requestcore

import (
	"testing"

	"bendtrestle/balancer"

	"github.com/rs/zerolog"
)

// outside stands for clock and caches: it notes what is begun and ends it when told.
type outside struct {
	now     float64
	timers  []func()
	began   []AttemptObserver
	ops     []*Request
	within  []float64
	dropped int
	unsent  int
	probes  int
}

func (o *outside) Now() float64                         { return o.now }
func (o *outside) After(_ float64, f func())            { o.timers = append(o.timers, f) }
func (o *outside) Probe(uint64, func(balancer.Outcome)) { o.probes++ }
func (o *outside) Cancel()                              { o.dropped++ }
func (o *outside) CancelIfUnsent()                      { o.unsent++ }
func (o *outside) StartAttempt(_ uint64, op *Request, _, within float64, x AttemptObserver) PendingAttempt {
	o.began, o.ops, o.within = append(o.began, x), append(o.ops, op), append(o.within, within)
	return o
}

// answers counts what a client was told.
type answers struct{ finished, declined, terminated int }

func (a *answers) Succeeded(Result)   { a.finished++ }
func (a *answers) Rejected(float64)   { a.declined++ }
func (a *answers) Failed()            { a.terminated++ }
func (a *answers) Disconnected() bool { return false }

func started(effect balancer.Idempotency) (*Core, *outside) {
	o := &outside{now: 1000}
	r := New(balancer.Settings{CancellationAllowed: true, MaxAttempts: 3, TrafficClasses: []balancer.TrafficClass{
		{Name: "t", Idempotency: effect, DeduplicationScope: balancer.ScopeAll, DeduplicationWindow: 0.3, LatencyObjective: 0.1, Deadline: 0.5, PriorityWeight: 1}}},
		Dependencies{Clock: o, Upstream: o, Gossip: func([]byte) {}, WatchEndpoints: func(bool) {}, Log: zerolog.Nop()}, DefaultBalancer)
	r.OnEndpoints(balancer.UpdateFull, []balancer.Endpoint{{ID: 1, State: balancer.Ready, Capacity: 1},
		{ID: 2, State: balancer.Ready, Capacity: 1}})
	return r, o
}

func (r *Core) take(a *answers) uint64 {
	return r.Submit(&Request{Class: "t", Key: "k", TimeLeft: 0.5}, a)
}

func check(t *testing.T, r *Core, a answers, want answers, open int) {
	t.Helper()
	if a != want || r.OpenRequests() != open {
		t.Errorf("the client was told %+v, want %+v; %d are open, want %d", a, want, r.OpenRequests(), open)
	}
}

// Each operation has one answer and is forgotten; an at-most-once one goes elsewhere only if it never ran.
func TestOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		effect balancer.Idempotency
		ends   []balancer.Outcome // of its executions, one after another
		want   answers
	}{
		"finished":                {balancer.Idempotent, []balancer.Outcome{balancer.Succeeded}, answers{finished: 1}},
		"refused, then finished":  {balancer.AtMostOnce, []balancer.Outcome{balancer.ConnectFailed, balancer.Succeeded}, answers{finished: 1}},
		"turned away everywhere":  {balancer.AtMostOnce, []balancer.Outcome{balancer.Overloaded, balancer.Overloaded}, answers{declined: 1}},
		"it may have run":         {balancer.AtMostOnce, []balancer.Outcome{balancer.ConnectionLost}, answers{terminated: 1}},
		"it may have run, safely": {balancer.Idempotent, []balancer.Outcome{balancer.ServerError, balancer.Succeeded}, answers{finished: 1}},
	} {
		r, o := started(c.effect)
		for range 20 { // operations, which earn further executions
			r.take(&answers{})
			o.began[len(o.began)-1].OnAttemptEnd(balancer.Succeeded, Result{})
		}
		var a answers
		r.take(&a)
		for _, how := range c.ends {
			o.began[len(o.began)-1].OnAttemptEnd(how, Result{})
		}
		if a != c.want || r.OpenRequests() != 0 {
			t.Errorf("%s: the client was told %+v, want %+v; %d are open", name, a, c.want, r.OpenRequests())
		}
	}
}

// A client that has gone away is told nothing; its execution is given up, and forgotten once it has settled.
func TestLeft(t *testing.T) {
	r, o := started(balancer.Idempotent)
	var a answers
	id := r.take(&a)
	r.OnClientGone(id)
	check(t, r, a, answers{}, 1)
	o.began[0].OnAttemptEnd(balancer.Succeeded, Result{})
	check(t, r, a, answers{}, 0)
	if o.dropped != 1 || o.unsent != 1 {
		t.Errorf("%d executions were given up, %d if not sent, want 1 of each", o.dropped, o.unsent)
	}
}

func TestWithoutServersDeclined(t *testing.T) {
	r, _ := started(balancer.Idempotent)
	r.OnEndpoints(balancer.UpdateFull, nil)
	var a answers
	r.take(&a)
	check(t, r, a, answers{declined: 1}, 0)
}

// A fault of the module costs its operation a termination, not the router its life, and sends nothing more.
func TestFaultOfTheModule(t *testing.T) {
	r, o := started(balancer.Idempotent)
	var a answers
	id := r.take(&a)
	r.guard(r.ops[id], func() { panic("an index") })
	check(t, r, a, answers{terminated: 1}, 1)
	r.StartAttempt(id, 1, 0.1, 0.1)
	if len(o.began) != 1 {
		t.Errorf("an execution was begun after the final answer")
	}
	o.timers[len(o.timers)-1]()
	o.began[0].OnAttemptEnd(balancer.Succeeded, Result{})
	check(t, r, a, answers{terminated: 1}, 0)
	if r.Counts.Faults != 1 {
		t.Errorf("%d faults are counted, want 1", r.Counts.Faults)
	}
}

// Those who make executions are told whether one may simply be repeated, and by when a repeat is to be written.
func TestExecutionsAreToldOfRepeats(t *testing.T) {
	for effect, once := range map[balancer.Idempotency]bool{balancer.Idempotent: false, balancer.IdempotencyKeyed: true, balancer.AtMostOnce: true} {
		r, o := started(effect)
		r.take(&answers{})
		if o.ops[0].NotIdempotent != once {
			t.Errorf("effect %d: once is %v", effect, !once)
		}
		if o.now += 0.1; effect == balancer.IdempotencyKeyed {
			o.began[0].OnAttemptEnd(balancer.Cancelled, Result{})
			if len(o.within) != 2 || o.within[1] < 0.19 || o.within[1] > 0.21 { // of a window of 0.3 s
				t.Errorf("executions are to be written within %v", o.within)
			}
		}
	}
}
