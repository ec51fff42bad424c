package balancer

import "math"

const (
	// ejectionFailures is the number of consecutive failures from which on a server is ejected.
	ejectionFailures = 3
	// restartFailures is the value of health.consecutiveFailures from which on a server that refused a connection is
	// taken to have restarted once it answers again. A refusal raises that value to ejectionFailures at once, so a
	// first refusal and two failures after it are enough. Fewer may be an accident of the network.
	restartFailures = 5
)

// health counts the failures of a server and holds its ejection.
type health struct {
	// consecutiveFailures is the number of failures since the server last answered, and at least ejectionFailures
	// after a refused connection. An error that turns out to follow its request is taken back.
	consecutiveFailures int
	ejectedUntil        float64 // seconds; read only while consecutiveFailures >= ejectionFailures
	refusesConnections  bool    // this router or a peer was refused a connection since the server last answered here
}

// ejected reports whether a server is passed over for its failures. After the ejection time one attempt at a time
// is sent to it, until one is answered.
func (b *Balancer) ejected(server *serverState) bool {
	if server.health.consecutiveFailures < ejectionFailures {
		return false
	}
	return b.now < server.health.ejectedUntil || len(server.inFlight) > 0
}

// Avoids reports whether a server gets no new requests now, or at most one at a time: it is not ready, disabled
// by an operator, or was ejected and has not answered since. It is for status pages, and changes nothing.
//
// What depends on a request is not included: overload, a slow-start budget that is spent, an evacuated zone, the
// zones and machine types that a class allows, and the capacity of the origin's servers.
func (b *Balancer) Avoids(id uint64) bool {
	server := b.servers.byID[id]
	if server == nil || server.State != Ready || server.disabled {
		return true
	}
	return server.health.consecutiveFailures >= ejectionFailures
}

// countFailure counts a failure of a server. A refused connection ejects it at once. The ejection lasts for the
// latency objective of the class, and twice as long with each further failure, up to the warm-up's duration.
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

// clearFailures ends the ejection of a server that answered. One that may have restarted counts as cold from
// now on.
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

// errorIsDueToRequest reports whether an error is due to the request and not to the server: another server
// answered the same request with an error, too, or requests for keys of its slot were so answered and none has
// succeeded since. Such errors count against no server; the failure of the server that answered first is taken
// back.
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
