// Package requestcore is the core of a real router: it owns the decision module, is its host, and keeps the
// operations and timers. It knows no wire: a front hands it operations and takes their answers, and the
// executions are made elsewhere. All of it runs on one loop.
package requestcore

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"bendtrestle/balancer"

	"github.com/rs/zerolog"
)

// Operation is what a front takes from a client.
type Operation struct {
	Kind, Tenant, Key string
	ID                string // its name at the front, by which a result is known to be its own
	Flags, Figures    string // what else the front wants passed on; not looked at here
	Write             bool
	Value             []byte  // of a write
	Left              float64 // seconds until the client gives up
	Once              bool    // a repeat may have an effect; set here
	Account           Account // told what becomes of it; nil: nobody is
}

// Account is told what an operation costs and how it ends.
type Account interface {
	Took(seconds float64)         // an execution ended that was out for so long
	Answered(end End, why Reason) // the final answer
	Ended()                       // nothing of it is out any more
}

// End is an operation's final answer, or that its client left without one.
type End int

// The ends.
const (
	Finished End = iota
	Declined
	Terminated
	Left
)

// Reason tells what made a decline.
type Reason int

// The reasons, all that there are on the way of an operation.
const (
	NoReason Reason = iota
	Strained        // the module: its server takes too long
	NoServer        // the module: none may execute it
	NoTime          // the module: too little is left
	Budget          // its team is beyond its budget
	Place           // there is no place left for it
)

// Reasons name them, by their numbers.
var Reasons = [...]string{"none", "strain", "no server", "no time", "budget", "place"}

var reasons = map[balancer.RejectReason]Reason{balancer.ReasonOverloaded: Strained, balancer.ReasonNoEndpoint: NoServer, balancer.ReasonNoTime: NoTime}

// Result is what a cache server made of an execution that finished.
type Result struct {
	Value   []byte
	Receipt string
	Status  int    // where the protocol has one
	Head    string // what is passed on beside the value, as the protocol writes it
	Long    Long   // in place of a value that is too long to be held; nil: there is none
}

// Long is a value on its way from a cache server, from its first bytes on.
type Long interface {
	Length() int
	Pull(to Taker) // hands it on from now on
	More()         // its taker has room again
	Drop()         // nobody wants it
}

// Taker takes a long value. It is not called back before the call that told of its room has returned, but for Part.
type Taker interface {
	Part(part []byte) int // takes as much as there is room for
	Whole()
	Broken() // the rest will not come
}

// Client takes the one final answer to an operation.
type Client interface {
	Finished(Result)
	Declined(retryAfter float64)
	Terminated()

	// Gone tells whether the client has left, asked of its connection: that may not have been heard of yet, for the loop may have been
	// stopped. If so, Left follows after the present callback.
	Gone() bool
}

// Execution is told how it ended, exactly once and never before the call that began it has returned.
type Execution interface {
	Settled(how balancer.Outcome, with Result)
	Wanted() bool // somebody still waits for it, as far as can be told now; asked before it is written later than it began
}

// Pending is an execution that has not settled.
type Pending interface {
	Drop()       // give it up; it settles as Withdrawn
	DropUnsent() // give it up if it has not been sent; it settles as NotSent
}

// Caches makes executions and probes at cache servers, named by their ids.
type Caches interface {
	// Execute gives it up after limit, or where it is not written after within.
	Execute(server uint64, op *Operation, limit, within float64, x Execution) Pending
	Probe(server uint64, ended func(balancer.Outcome))
}

// Clock is the loop's time and timers.
type Clock interface {
	Now() float64
	After(delay float64, f func())
}

// Outside is all that the module acts on through its host.
type Outside struct {
	Clock  Clock
	Caches Caches
	Tell   func(words []byte)
	Watch  func(on bool)
	Log    zerolog.Logger
	Zones  Zones // nil: nobody wants to know
}

// Zones is told how executions go in the zones that the list names.
type Zones interface {
	Began(zone string, within float64) (mark uint64) // within is the time promised for the operation
	Ended(zone string, mark uint64, how balancer.Outcome, took, within float64)
}

// Module makes the decisions. The product's is logic.Router; a laboratory may put another in its place, to see what
// the decisions alone are worth.
type Module interface {
	Arrived(now float64, id uint64, kind, realm, key string, left float64)
	Settled(now float64, id uint64, n int, how balancer.Outcome, lag float64, final bool)
	Left(now float64, id uint64)
	Listed(now float64, kind balancer.EndpointUpdate, members []balancer.Endpoint)
	Told(now float64, words []byte)
	Counted(now float64, routers int)
	Probed(now float64, server uint64, how balancer.Outcome)
	Wake(now float64, name string)
	Offer(types []balancer.TrafficClass)
	Barred(now float64, server uint64, out bool)
	Zoned(now float64, zone string, share float64)
	Avoids(server uint64) bool
}

// Maker starts a module.
type Maker func(now float64, set balancer.Settings, host balancer.Host) Module

// Logic makes the product's module.
func Logic(now float64, set balancer.Settings, host balancer.Host) Module {
	return balancer.New(now, set, host)
}

// Router is one instance: the module and what it has taken.
type Router struct {
	Outside
	module Module
	ops    map[uint64]*operation
	last   uint64
	zones  map[uint64]string  // of servers, while somebody wants to know
	times  map[string]float64 // promised, by traffic type
	again  map[string]bool    // the traffic types whose operations may simply be repeated
	Counts Counts
}

// Counts is what has happened since the start.
type Counts struct {
	Taken, Finished, Declined, Terminated, Left, Executions, Faults uint64
	Reasons                                                         [len(Reasons)]uint64 // of what was declined
}

type operation struct {
	*Operation
	r          *Router
	id         uint64
	client     Client // nil once answered
	executions []*execution
	out        int
}

type execution struct {
	of      *operation
	n       int
	began   float64
	pending Pending
	zone    string
	mark    uint64 // by which its zone's watcher knows it; 0: it does not
}

// New starts the module that decides.
func New(set balancer.Settings, out Outside, module Maker) *Router {
	r := &Router{Outside: out, ops: map[uint64]*operation{}, zones: map[uint64]string{}}
	r.promise(set.TrafficClasses)
	r.module = module(out.Clock.Now(), set, r)
	return r
}

func (r *Router) promise(types []balancer.TrafficClass) {
	r.times, r.again = map[string]float64{}, map[string]bool{}
	for _, t := range types {
		r.times[t.Name], r.again[t.Name] = t.LatencyObjective, t.Idempotency == balancer.Idempotent
	}
}

// Open is how many operations have no final answer or have executions out.
func (r *Router) Open() int { return len(r.ops) }

// Taken takes an operation, and gives the id by which its client's departure is told.
func (r *Router) Taken(op *Operation, client Client) uint64 {
	r.last++
	r.Counts.Taken++
	op.Once = !r.again[op.Kind]
	o := &operation{Operation: op, r: r, id: r.last, client: client}
	r.ops[o.id] = o
	r.guard(o, func() {
		r.module.Arrived(r.Clock.Now(), o.id, op.Kind, op.Tenant, op.Key, op.Left)
	})
	return o.id
}

// Left takes a client's departure.
func (r *Router) Left(id uint64) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.Left++
		o.client = nil
		o.tell(Left, NoReason)
		r.guard(o, func() { r.module.Left(r.Clock.Now(), id) })
		o.forget()
	}
}

// Listed takes an update of the list.
func (r *Router) Listed(kind balancer.EndpointUpdate, members []balancer.Endpoint) {
	if kind == balancer.UpdateFull || kind == balancer.UpdateSaved {
		clear(r.zones)
	}
	for _, m := range members {
		if r.zones[m.ID] = m.Zone; m.State == balancer.Removed || m.Zone == "" {
			delete(r.zones, m.ID)
		}
	}
	r.guard(nil, func() { r.module.Listed(r.Clock.Now(), kind, members) })
}

// Barred takes that operators leave a server out, or that it may serve again.
func (r *Router) Barred(server uint64, out bool) {
	r.guard(nil, func() { r.module.Barred(r.Clock.Now(), server, out) })
}

// Zoned takes the part of its keys that a zone serves from now on.
func (r *Router) Zoned(zone string, share float64) {
	r.guard(nil, func() { r.module.Zoned(r.Clock.Now(), zone, share) })
}

// Avoids tells whether the module sends a server nothing new now.
func (r *Router) Avoids(server uint64) (avoided bool) {
	r.guard(nil, func() { avoided = r.module.Avoids(server) })
	return avoided
}

// Offer takes the traffic types that operations may have from now on.
func (r *Router) Offer(types []balancer.TrafficClass) {
	r.promise(types)
	r.guard(nil, func() { r.module.Offer(types) })
}

// Told takes a peer's words.
func (r *Router) Told(words []byte) {
	r.guard(nil, func() { r.module.Told(r.Clock.Now(), words) })
}

// Counted takes how many routers there are, by those that are heard.
func (r *Router) Counted(routers int) {
	r.guard(nil, func() { r.module.Counted(r.Clock.Now(), routers) })
}

// Settled takes the end of an execution. A result is passed on before anything else.
func (x *execution) Settled(how balancer.Outcome, with Result) {
	o, r, now := x.of, x.of.r, x.of.r.Clock.Now()
	o.out--
	x.pending = nil
	if x.mark > 0 {
		r.Zones.Ended(x.zone, x.mark, how, now-x.began, r.times[o.Kind])
	}
	final := how == balancer.Succeeded && o.client != nil
	if final {
		r.Counts.Finished++
		o.answer().Finished(with)
		o.tell(Finished, NoReason)
	} else if with.Long != nil {
		with.Long.Drop()
	}
	if o.Account != nil {
		o.Account.Took(now - x.began)
	}
	r.guard(o, func() { r.module.Settled(now, o.id, x.n, how, now-x.began, final) })
	o.forget()
}

// Wanted tells whether its operation has no answer and its client is there.
func (x *execution) Wanted() bool { return x.of.client != nil && !x.of.client.Gone() }

// tell lets the account know the final answer.
func (o *operation) tell(end End, why Reason) {
	if o.Account != nil {
		o.Account.Answered(end, why)
	}
}

// answer takes the client, which is answered once.
func (o *operation) answer() (client Client) {
	client, o.client = o.client, nil
	return client
}

// forget drops an operation that is answered and has nothing out. Nothing is sent for it any more: an execution
// that still waits for its connection is given up, also where the module may withdraw none.
func (o *operation) forget() {
	if o.client != nil {
		return
	}
	for _, x := range o.executions {
		if x.pending != nil {
			x.pending.DropUnsent()
		}
	}
	if o.out == 0 && o.r.ops[o.id] == o {
		delete(o.r.ops, o.id)
		if o.Account != nil {
			o.Account.Ended()
		}
	}
}

// guard calls the module. Should it fail, the failure is logged and the operation at hand is answered; the
// router serves on, for the other operations have their answers to get.
func (r *Router) guard(o *operation, call func()) {
	defer func() {
		if p := recover(); p != nil {
			r.Counts.Faults++
			r.Log.Error().Str("fault", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("the module failed")
			if o != nil && o.client != nil {
				r.Fail(o.id)
			}
		}
	}()
	call()
}

// The host's side.

// StartAttempt begins an execution.
func (r *Router) StartAttempt(id, server uint64, limit, within float64) {
	o := r.ops[id]
	x := &execution{of: o, n: len(o.executions), began: r.Clock.Now()}
	o.executions = append(o.executions, x)
	o.out++
	// After a fault of the module nothing is sent for what has its final answer, nor a further one for who left meanwhile; a first
	// one begins as its command is read, which tells the same.
	if o.client == nil || x.n > 0 && o.client.Gone() {
		r.Clock.After(0, func() { x.Settled(balancer.NotAttempted, Result{}) })
		return
	}
	r.Counts.Executions++
	if x.zone = r.zones[server]; r.Zones != nil && x.zone != "" {
		x.mark = r.Zones.Began(x.zone, r.times[o.Kind])
	}
	x.pending = r.Caches.Execute(server, o.Operation, limit, within, x)
}

// CancelAttempt stops waiting for an execution.
func (r *Router) CancelAttempt(id uint64, n int) {
	if o := r.ops[id]; o != nil && n < len(o.executions) && o.executions[n].pending != nil {
		o.executions[n].pending.Drop()
	}
}

// Reject answers an operation.
func (r *Router) Reject(id uint64, retryAfter float64, why balancer.RejectReason) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.Declined++
		r.Counts.Reasons[reasons[why]]++
		o.answer().Declined(retryAfter)
		o.tell(Declined, reasons[why])
		o.forget()
	}
}

// Fail answers an operation.
func (r *Router) Fail(id uint64) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.Terminated++
		o.answer().Terminated()
		o.tell(Terminated, NoReason)
		o.forget()
	}
}

// End gives what has no final answer one, in the order in which it came: the process ends.
func (r *Router) End() {
	for _, id := range slices.Sorted(maps.Keys(r.ops)) {
		r.Fail(id)
	}
}

// Gossip sends words to the peers.
func (r *Router) Gossip(words []byte) { r.Outside.Tell(words) }

// Probe looks at a server.
func (r *Router) Probe(server uint64) {
	r.Caches.Probe(server, func(how balancer.Outcome) {
		r.guard(nil, func() { r.module.Probed(r.Clock.Now(), server, how) })
	})
}

// SetTimer wakes the module.
func (r *Router) SetTimer(delay float64, name string) {
	r.Clock.After(delay, func() { r.guard(nil, func() { r.module.Wake(r.Clock.Now(), name) }) })
}

// WatchEndpoints asks for list changes.
func (r *Router) WatchEndpoints(on bool) { r.Outside.Watch(on) }
