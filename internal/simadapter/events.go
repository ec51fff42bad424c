package simadapter

import (
	"encoding/base64"
	"fmt"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// router is one router of the simulation. It holds the router's balancer and is that balancer's host.
type router struct {
	session  *session
	id       uint64
	balancer *balancer.Balancer // nil if its start panicked
}

// reportPanic makes a call and reports a panic of the balancer as FATAL for its router.
func (r *router) reportPanic(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.line(replyPanic).text("what", fmt.Sprint(cause)).end()
		}
	}()
	call()
}

// handleEvent makes the balancer call for an event. If a field that it reads is malformed, it makes no call.
func (r *router) handleEvent(name string, fields *settings.Object) {
	switch name {
	case eventListUpdate:
		r.handleListUpdate(fields)
	case eventRequest:
		r.handleRequest(fields)
	case eventStreamStart:
		r.handleStreamStart(fields)
	case eventAttemptEnd:
		r.handleAttemptEnd(fields)
	case eventClientDisconnected:
		r.handleClientDisconnected(fields)
	case eventTimer:
		r.handleTimer(fields)
	case eventGossip:
		r.handleGossip(fields)
	case eventProbeResult:
		r.handleProbeResult(fields)
	}
}

func (r *router) now() float64 { return r.session.now }

func (r *router) handleListUpdate(fields *settings.Object) {
	form := fields.Text("form")
	update, known := endpointUpdates[form]
	if !known {
		fields.Fault("form", fmt.Sprintf("unknown %q", form))
	}
	list := r.session.endpointLists[fields.Count("table")]
	if fields.Err() == nil {
		r.balancer.OnEndpoints(r.now(), update, list)
	}
}

func (r *router) handleRequest(fields *settings.Object) {
	id := fields.ID("txn")
	class := fields.Text("band")
	timeLeft := fields.Seconds("remaining")
	tenant := fields.NameOrZero("realm")
	key := fields.Text("key")
	if fields.Err() == nil {
		r.balancer.OnRequest(r.now(), id, class, tenant, key, timeLeft)
	}
}

func (r *router) handleStreamStart(fields *settings.Object) {
	id := fields.ID("txn")
	number := int(fields.Count("n"))
	if fields.Err() == nil {
		r.balancer.OnStreamStart(r.now(), id, number)
	}
}

func (r *router) handleAttemptEnd(fields *settings.Object) {
	id := fields.ID("txn")
	number := int(fields.Count("n"))
	outcome := outcomes[fields.Text("reason")]
	latency := fields.Seconds("lag")
	final := fields.Flag("final")
	if fields.Err() == nil {
		r.balancer.OnAttemptEnd(r.now(), id, number, outcome, latency, final)
	}
}

func (r *router) handleClientDisconnected(fields *settings.Object) {
	id := fields.ID("txn")
	if fields.Err() == nil {
		r.balancer.OnClientDisconnected(r.now(), id)
	}
}

func (r *router) handleTimer(fields *settings.Object) {
	timer := fields.Text("name")
	if fields.Err() == nil {
		r.balancer.OnTimer(r.now(), timer)
	}
}

func (r *router) handleGossip(fields *settings.Object) {
	message, err := base64.StdEncoding.DecodeString(fields.Text("body"))
	if err != nil {
		fields.Fault("body", "not base64")
	}
	if fields.Err() == nil {
		r.balancer.OnGossip(r.now(), message)
	}
}

func (r *router) handleProbeResult(fields *settings.Object) {
	server := fields.ID("server")
	outcome := outcomes[fields.Text("reason")]
	if fields.Err() == nil {
		r.balancer.OnProbeResult(r.now(), server, outcome)
	}
}
