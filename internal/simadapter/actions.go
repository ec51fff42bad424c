package simadapter

import (
	"encoding/base64"

	"bendtrestle/balancer"
)

// router implements balancer.Host: each call writes one line of the reply.

var _ balancer.Host = (*router)(nil)

// line starts a line of the reply that contains the router's number.
func (r *router) line(name string) *replyWriter {
	return r.session.reply.line(name).uint("router", r.id)
}

// StartAttempt ignores the write timeout: in the simulator no attempt waits for a connection.
func (r *router) StartAttempt(request, server uint64, timeout, _ float64) {
	r.line(actionStartAttempt).uint("txn", request).uint("server", server).time("limit", timeout).end()
}

// CancelAttempt cancels an attempt.
func (r *router) CancelAttempt(request uint64, number int) {
	r.line(actionCancelAttempt).uint("txn", request).uint("n", uint64(number)).end()
}

// Reject rejects a request. The simulator's action has no field for the reason.
func (r *router) Reject(request uint64, retryAfter float64, _ balancer.RejectReason) {
	r.line(actionReject).uint("txn", request).time("pause", retryAfter).end()
}

// Fail answers a request whose outcome is unknown with an error.
func (r *router) Fail(request uint64) {
	r.line(actionFail).uint("txn", request).end()
}

// Gossip sends a message to all peers.
func (r *router) Gossip(message []byte) {
	body := base64.StdEncoding.EncodeToString(message)
	r.line(actionGossip).text("addressee", "all").text("body", body).end()
}

// Probe checks a server's health.
func (r *router) Probe(server uint64) {
	r.line(actionProbe).uint("server", server).end()
}

// SetTimer requests a WAKE event after a delay in seconds.
func (r *router) SetTimer(delay float64, name string) {
	r.line(actionSetTimer).time("delay", delay).text("name", name).end()
}

// WatchEndpoints starts or stops the updates of the endpoint list.
func (r *router) WatchEndpoints(on bool) {
	r.line(actionWatchEndpoints).flag("want", on).end()
}
