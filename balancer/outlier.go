package balancer

import "math"

const (
	// ejectionFailures is the number of consecutive failures from which on a server is ejected.
	ejectionFailures = 3
	// restartFailures is the number of consecutive failures after which a server that refused connections and
	// answers again is taken to have started anew, and so to be cold. Less is an accident of the network.
	restartFailures = 5
)

// health counts the failures of a server and holds its ejection.
type health struct {
	consecutiveFailures int
	ejectedUntil        float64 // seconds; it matters from ejectionFailures on
	refusesConnections  bool    // it refused one since it last answered
}

// ejected tells whether a server is passed over for its failures. Once the ejection is over one attempt at a
// time tries it.
func (b *Balancer) ejected(server *serverState) bool {
	if server.health.consecutiveFailures < ejectionFailures {
		return false
	}
	return b.now < server.health.ejectedUntil || len(server.inFlight) > 0
}

// Avoids tells whether a server gets no new requests now: it is not ready, disabled by an operator, or failed
// so often that it is ejected or tried with one attempt at a time. It is for status pages, and changes nothing.
func (b *Balancer) Avoids(id uint64) bool {
	server := b.servers.byID[id]
	if server == nil || server.State != Ready || server.disabled {
		return true
	}
	return server.health.consecutiveFailures >= ejectionFailures
}

// failServer counts a failure. A refused connection ejects at once. The ejection lasts for the class's latency
// objective, doubled with each further failure up to the warm-up's duration.
func (b *Balancer) failServer(server *serverState, how Outcome, class *classState) {
	health := &server.health
	health.consecutiveFailures++
	if how == ConnectFailed {
		health.refusesConnections = true
	}
	if health.refusesConnections {
		health.consecutiveFailures = max(health.consecutiveFailures, ejectionFailures)
	}
	doublings := float64(health.consecutiveFailures - ejectionFailures)
	longest := max(class.LatencyObjective, b.settings.WarmupDuration)
	health.ejectedUntil = b.now + min(class.LatencyObjective*math.Pow(2, doublings), longest)
}

// recoverServer ends the ejection of a server that answered.
func (b *Balancer) recoverServer(server *serverState) {
	mayHaveRestarted := server.health.refusesConnections && server.health.consecutiveFailures >= restartFailures
	if mayHaveRestarted {
		b.restartSlowStart(server)
	}
	server.health.consecutiveFailures = 0
	server.health.refusesConnections = false
}

// ejectByReport ejects a server that refused a peer's connection, for the longest latency objective.
func (b *Balancer) ejectByReport(server *serverState) {
	health := &server.health
	health.consecutiveFailures = max(health.consecutiveFailures, ejectionFailures)
	health.refusesConnections = true
	health.ejectedUntil = max(health.ejectedUntil, b.now+b.classes.longestObjective)
}

// errorFollowsRequest tells that an error is of the request and not of the server: another server answered it
// so, too, or requests for keys of its slot were so answered and none has succeeded since. Such errors eject no
// server.
func (b *Balancer) errorFollowsRequest(ended *attempt) bool {
	errors := &b.errorsByKey[ended.request.slot()]
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
