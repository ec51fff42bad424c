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

// Request is what a front takes from a client.
type Request struct {
	Class, Tenant, Key string
	ID                 string // its name at the front, by which a result is known to be its own
	Flags, Figures     string // what else the front wants passed on; not looked at here
	Write              bool
	Value              []byte        // of a write
	TimeLeft           float64       // seconds until the client gives up
	NotIdempotent      bool          // a repeat may have an effect; set here
	Account            UsageObserver // told what becomes of it; nil: nobody is
}

// UsageObserver is told what an operation costs and how it ends.
type UsageObserver interface {
	AttemptEnded(seconds float64)              // an execution ended that was out for so long
	Answered(end RequestEnd, why RejectReason) // the final answer
	RequestDone()                              // nothing of it is out any more
}

// RequestEnd is an operation's final answer, or that its client left without one.
type RequestEnd int

// The ends.
const (
	Succeeded RequestEnd = iota
	Rejected
	Failed
	ClientGone
)

// RejectReason tells what made a decline.
type RejectReason int

// The reasons, all that there are on the way of an operation.
const (
	NoReason         RejectReason = iota
	ReasonOverloaded              // the module: its server takes too long
	ReasonNoEndpoint              // the module: none may execute it
	ReasonNoTime                  // the module: too little is left
	ReasonQuota                   // its team is beyond its budget
	ReasonNoCapacity              // there is no place left for it
)

// ReasonNames name them, by their numbers.
var ReasonNames = [...]string{"none", "strain", "no server", "no time", "budget", "place"}

var reasons = map[balancer.RejectReason]RejectReason{balancer.ReasonOverloaded: ReasonOverloaded, balancer.ReasonNoEndpoint: ReasonNoEndpoint, balancer.ReasonNoTime: ReasonNoTime}

// Result is what a cache server made of an execution that finished.
type Result struct {
	Value   []byte
	Receipt string
	Status  int        // where the protocol has one
	Head    string     // what is passed on beside the value, as the protocol writes it
	Body    BodyStream // in place of a value that is too long to be held; nil: there is none
}

// BodyStream is a value on its way from a cache server, from its first bytes on.
type BodyStream interface {
	Length() int
	StartReading(to BodySink) // hands it on from now on
	ResumeReading()           // its taker has room again
	Discard()                 // nobody wants it
}

// BodySink takes a long value. It is not called back before the call that told of its room has returned, but for Part.
type BodySink interface {
	OnPart(part []byte) int // takes as much as there is room for
	OnComplete()
	OnBroken() // the rest will not come
}

// Client takes the one final answer to an operation.
type Client interface {
	Succeeded(Result)
	Rejected(retryAfter float64)
	Failed()

	// Disconnected tells whether the client has left, asked of its connection: that may not have been heard of yet, for the loop may have been
	// stopped. If so, Left follows after the present callback.
	Disconnected() bool
}

// AttemptObserver is told how it ended, exactly once and never before the call that began it has returned.
type AttemptObserver interface {
	OnAttemptEnd(how balancer.Outcome, with Result)
	StillWanted() bool // somebody still waits for it, as far as can be told now; asked before it is written later than it began
}

// PendingAttempt is an execution that has not settled.
type PendingAttempt interface {
	Cancel()         // give it up; it settles as Withdrawn
	CancelIfUnsent() // give it up if it has not been sent; it settles as NotSent
}

// Upstream makes executions and probes at cache servers, named by their ids.
type Upstream interface {
	// StartAttempt gives it up after limit, or where it is not written after within.
	StartAttempt(server uint64, op *Request, limit, within float64, x AttemptObserver) PendingAttempt
	Probe(server uint64, ended func(balancer.Outcome))
}

// Clock is the loop's time and timers.
type Clock interface {
	Now() float64
	After(delay float64, f func())
}

// Dependencies is all that the module acts on through its host.
type Dependencies struct {
	Clock          Clock
	Upstream       Upstream
	Gossip         func(words []byte)
	WatchEndpoints func(on bool)
	Log            zerolog.Logger
	ZoneObserver   ZoneObserver // nil: nobody wants to know
}

// ZoneObserver is told how executions go in the zones that the list names.
type ZoneObserver interface {
	AttemptStarted(zone string, within float64) (mark uint64) // within is the time promised for the operation
	AttemptEnded(zone string, mark uint64, how balancer.Outcome, took, within float64)
}

// Balancer makes the decisions. The product's is logic.Router; a laboratory may put another in its place, to see what
// the decisions alone are worth.
type Balancer interface {
	OnRequest(now float64, id uint64, kind, realm, key string, left float64)
	OnAttemptEnd(now float64, id uint64, n int, how balancer.Outcome, lag float64, final bool)
	OnClientGone(now float64, id uint64)
	OnEndpoints(now float64, kind balancer.EndpointUpdate, members []balancer.Endpoint)
	OnGossip(now float64, words []byte)
	SetFleetSize(now float64, routers int)
	OnProbeResult(now float64, server uint64, how balancer.Outcome)
	OnTimer(now float64, name string)
	SetTrafficClasses(types []balancer.TrafficClass)
	SetDisabled(now float64, server uint64, out bool)
	SetZoneShare(now float64, zone string, share float64)
	Avoids(server uint64) bool
}

// NewBalancer starts a module.
type NewBalancer func(now float64, set balancer.Settings, host balancer.Host) Balancer

// DefaultBalancer makes the product's module.
func DefaultBalancer(now float64, set balancer.Settings, host balancer.Host) Balancer {
	return balancer.New(now, set, host)
}

// Core is one instance: the module and what it has taken.
type Core struct {
	Dependencies
	module Balancer
	ops    map[uint64]*operation
	last   uint64
	zones  map[uint64]string  // of servers, while somebody wants to know
	times  map[string]float64 // promised, by traffic type
	again  map[string]bool    // the traffic types whose operations may simply be repeated
	Counts Counts
}

// Counts is what has happened since the start.
type Counts struct {
	Taken, Succeeded, Rejected, Failed, ClientsGone, Attempts, Faults uint64
	Reasons                                                           [len(ReasonNames)]uint64 // of what was declined
}

type operation struct {
	*Request
	r          *Core
	id         uint64
	client     Client // nil once answered
	executions []*execution
	out        int
}

type execution struct {
	of      *operation
	n       int
	began   float64
	pending PendingAttempt
	zone    string
	mark    uint64 // by which its zone's watcher knows it; 0: it does not
}

// New starts the module that decides.
func New(set balancer.Settings, out Dependencies, module NewBalancer) *Core {
	r := &Core{Dependencies: out, ops: map[uint64]*operation{}, zones: map[uint64]string{}}
	r.promise(set.TrafficClasses)
	r.module = module(out.Clock.Now(), set, r)
	return r
}

func (r *Core) promise(types []balancer.TrafficClass) {
	r.times, r.again = map[string]float64{}, map[string]bool{}
	for _, t := range types {
		r.times[t.Name], r.again[t.Name] = t.LatencyObjective, t.Idempotency == balancer.Idempotent
	}
}

// OpenRequests is how many operations have no final answer or have executions out.
func (r *Core) OpenRequests() int { return len(r.ops) }

// Submit takes an operation, and gives the id by which its client's departure is told.
func (r *Core) Submit(op *Request, client Client) uint64 {
	r.last++
	r.Counts.Taken++
	op.NotIdempotent = !r.again[op.Class]
	o := &operation{Request: op, r: r, id: r.last, client: client}
	r.ops[o.id] = o
	r.guard(o, func() {
		r.module.OnRequest(r.Clock.Now(), o.id, op.Class, op.Tenant, op.Key, op.TimeLeft)
	})
	return o.id
}

// OnClientGone takes a client's departure.
func (r *Core) OnClientGone(id uint64) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.ClientsGone++
		o.client = nil
		o.tell(ClientGone, NoReason)
		r.guard(o, func() { r.module.OnClientGone(r.Clock.Now(), id) })
		o.forget()
	}
}

// OnEndpoints takes an update of the list.
func (r *Core) OnEndpoints(kind balancer.EndpointUpdate, members []balancer.Endpoint) {
	if kind == balancer.UpdateFull || kind == balancer.UpdateSaved {
		clear(r.zones)
	}
	for _, m := range members {
		if r.zones[m.ID] = m.Zone; m.State == balancer.Removed || m.Zone == "" {
			delete(r.zones, m.ID)
		}
	}
	r.guard(nil, func() { r.module.OnEndpoints(r.Clock.Now(), kind, members) })
}

// SetDisabled takes that operators leave a server out, or that it may serve again.
func (r *Core) SetDisabled(server uint64, out bool) {
	r.guard(nil, func() { r.module.SetDisabled(r.Clock.Now(), server, out) })
}

// SetZoneShare takes the part of its keys that a zone serves from now on.
func (r *Core) SetZoneShare(zone string, share float64) {
	r.guard(nil, func() { r.module.SetZoneShare(r.Clock.Now(), zone, share) })
}

// Avoids tells whether the module sends a server nothing new now.
func (r *Core) Avoids(server uint64) (avoided bool) {
	r.guard(nil, func() { avoided = r.module.Avoids(server) })
	return avoided
}

// SetTrafficClasses takes the traffic types that operations may have from now on.
func (r *Core) SetTrafficClasses(types []balancer.TrafficClass) {
	r.promise(types)
	r.guard(nil, func() { r.module.SetTrafficClasses(types) })
}

// OnGossip takes a peer's words.
func (r *Core) OnGossip(words []byte) {
	r.guard(nil, func() { r.module.OnGossip(r.Clock.Now(), words) })
}

// SetFleetSize takes how many routers there are, by those that are heard.
func (r *Core) SetFleetSize(routers int) {
	r.guard(nil, func() { r.module.SetFleetSize(r.Clock.Now(), routers) })
}

// OnAttemptEnd takes the end of an execution. A result is passed on before anything else.
func (x *execution) OnAttemptEnd(how balancer.Outcome, with Result) {
	o, r, now := x.of, x.of.r, x.of.r.Clock.Now()
	o.out--
	x.pending = nil
	if x.mark > 0 {
		r.ZoneObserver.AttemptEnded(x.zone, x.mark, how, now-x.began, r.times[o.Class])
	}
	final := how == balancer.Succeeded && o.client != nil
	if final {
		r.Counts.Succeeded++
		o.answer().Succeeded(with)
		o.tell(Succeeded, NoReason)
	} else if with.Body != nil {
		with.Body.Discard()
	}
	if o.Account != nil {
		o.Account.AttemptEnded(now - x.began)
	}
	r.guard(o, func() { r.module.OnAttemptEnd(now, o.id, x.n, how, now-x.began, final) })
	o.forget()
}

// StillWanted tells whether its operation has no answer and its client is there.
func (x *execution) StillWanted() bool { return x.of.client != nil && !x.of.client.Disconnected() }

// tell lets the account know the final answer.
func (o *operation) tell(end RequestEnd, why RejectReason) {
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
			x.pending.CancelIfUnsent()
		}
	}
	if o.out == 0 && o.r.ops[o.id] == o {
		delete(o.r.ops, o.id)
		if o.Account != nil {
			o.Account.RequestDone()
		}
	}
}

// guard calls the module. Should it fail, the failure is logged and the operation at hand is answered; the
// router serves on, for the other operations have their answers to get.
func (r *Core) guard(o *operation, call func()) {
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
func (r *Core) StartAttempt(id, server uint64, limit, within float64) {
	o := r.ops[id]
	x := &execution{of: o, n: len(o.executions), began: r.Clock.Now()}
	o.executions = append(o.executions, x)
	o.out++
	// After a fault of the module nothing is sent for what has its final answer, nor a further one for who left meanwhile; a first
	// one begins as its command is read, which tells the same.
	if o.client == nil || x.n > 0 && o.client.Disconnected() {
		r.Clock.After(0, func() { x.OnAttemptEnd(balancer.NotAttempted, Result{}) })
		return
	}
	r.Counts.Attempts++
	if x.zone = r.zones[server]; r.ZoneObserver != nil && x.zone != "" {
		x.mark = r.ZoneObserver.AttemptStarted(x.zone, r.times[o.Class])
	}
	x.pending = r.Upstream.StartAttempt(server, o.Request, limit, within, x)
}

// CancelAttempt stops waiting for an execution.
func (r *Core) CancelAttempt(id uint64, n int) {
	if o := r.ops[id]; o != nil && n < len(o.executions) && o.executions[n].pending != nil {
		o.executions[n].pending.Cancel()
	}
}

// Reject answers an operation.
func (r *Core) Reject(id uint64, retryAfter float64, why balancer.RejectReason) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.Rejected++
		r.Counts.Reasons[reasons[why]]++
		o.answer().Rejected(retryAfter)
		o.tell(Rejected, reasons[why])
		o.forget()
	}
}

// Fail answers an operation.
func (r *Core) Fail(id uint64) {
	if o := r.ops[id]; o != nil && o.client != nil {
		r.Counts.Failed++
		o.answer().Failed()
		o.tell(Failed, NoReason)
		o.forget()
	}
}

// FailAll gives what has no final answer one, in the order in which it came: the process ends.
func (r *Core) FailAll() {
	for _, id := range slices.Sorted(maps.Keys(r.ops)) {
		r.Fail(id)
	}
}

// Gossip sends words to the peers.
func (r *Core) Gossip(words []byte) { r.Dependencies.Gossip(words) }

// Probe looks at a server.
func (r *Core) Probe(server uint64) {
	r.Upstream.Probe(server, func(how balancer.Outcome) {
		r.guard(nil, func() { r.module.OnProbeResult(r.Clock.Now(), server, how) })
	})
}

// SetTimer wakes the module.
func (r *Core) SetTimer(delay float64, name string) {
	r.Clock.After(delay, func() { r.guard(nil, func() { r.module.OnTimer(r.Clock.Now(), name) }) })
}

// WatchEndpoints asks for list changes.
func (r *Core) WatchEndpoints(on bool) { r.Dependencies.WatchEndpoints(on) }
