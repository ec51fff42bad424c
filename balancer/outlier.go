package balancer

import "math"

const (
	// ejectionFailures is the number of consecutive failures at which a server is ejected.
	ejectionFailures = 3
	// restartFailures is the value of health.consecutiveFailures at which a server that refused a connection is
	// taken to have restarted when it answers again. A refused connection raises that value to ejectionFailures, so
	// a first refused connection and two failures after it are enough. Fewer failures may be due to the network.
	restartFailures = 5
)

// health counts the failures of a server and holds the state of its ejection.
type health struct {
	// consecutiveFailures is the number of failures since the server last answered, and at least ejectionFailures
	// after a refused connection. An error that proves to be due to its request is subtracted.
	consecutiveFailures int
	ejectedUntil        float64 // seconds; valid only while consecutiveFailures >= ejectionFailures
	refusesConnections  bool    // a connection was refused to this router or a peer since the server last answered here
}

// ejected reports whether a server is passed over because of its failures. After the ejection time it gets one
// trial attempt at a time, until one is answered.
func (b *Balancer) ejected(server *serverState) bool {
	if server.health.consecutiveFailures < ejectionFailures {
		return false
	}
	return b.now < server.health.ejectedUntil || len(server.inFlight) > 0
}

// Avoids reports whether a server currently gets no new requests, or at most one at a time: it is not ready,
// disabled by an operator, or was ejected and has not answered since. It is meant for status pages, and changes no
// state.
//
// Conditions that depend on the request are not included: overload, a slow-start budget that is spent, an evacuated
// zone, the zones and machine types that a class allows, and the capacity of the origin's servers.
func (b *Balancer) Avoids(id uint64) bool {
	server := b.servers.byID[id]
	if server == nil || server.State != Ready || server.disabled {
		return true
	}
	return server.health.consecutiveFailures >= ejectionFailures
}

// countFailure counts a failure of a server. A refused connection ejects the server immediately. The ejection lasts
// for the latency objective of the class and doubles with each further failure, up to the warm-up duration.
func (b *Balancer) countFailure(server *serverState, outcome Outcome, class *classState) {
	state := &server.health
	state.consecutiveFailures++
	if outcome == ConnectFailed {
		state.refusesConnections = true
	}
	if state.refusesConnections {
		state.consecutiveFailures = max(state.consecutiveFailures, ejectionFailures)
	}
	doublings := float64(state.consecutiveFailures - ejectionFailures)
	longest := max(class.LatencyObjective, b.settings.WarmupDuration)
	state.ejectedUntil = b.now + min(class.LatencyObjective*math.Pow(2, doublings), longest)
}

// clearFailures ends the ejection of a server that answered. A server that may have restarted counts as warming up
// from now on.
func (b *Balancer) clearFailures(server *serverState) {
	mayHaveRestarted := server.health.refusesConnections && server.health.consecutiveFailures >= restartFailures
	if mayHaveRestarted {
		b.restartSlowStart(server)
	}
	server.health.consecutiveFailures = 0
	server.health.refusesConnections = false
}

// ejectByReport ejects a server that refused a peer's connection, for the longest latency objective of all classes.
func (b *Balancer) ejectByReport(server *serverState) {
	state := &server.health
	state.consecutiveFailures = max(state.consecutiveFailures, ejectionFailures)
	state.refusesConnections = true
	state.ejectedUntil = max(state.ejectedUntil, b.now+b.classes.longestObjective)
}

// errorIsDueToRequest reports whether an error is due to the request and not to the server: another server also
// answered the request with an error, or requests for keys of its slot got such errors and none has succeeded
// since. Such errors count against no server; the failure counted for the server that answered first is subtracted.
func (b *Balancer) errorIsDueToRequest(ended *attempt) bool {
	errors := &b.errorsBySlot[ended.request.slot()]
	for _, earlier := range ended.request.attempts {
		if earlier.serverError && earlier.server != ended.server {
			failures := &earlier.server.health.consecutiveFailures
			*failures = max(0, *failures-1)
			*errors++
			return true
		}
	}
	return *errors >= 1
}
