package upstream

// Limits bound the connections. Times are in seconds.
type Limits struct {
	MaxConnections           int     // to all servers together; each server may have an equal part, at least one
	MaxInFlightPerConnection int     // attempts that a connection carries at once, when no more connections may be opened
	ConnectTimeout           float64 // a connection that is not established by then is given up
	StallTimeout             float64 // a reply that has begun and gets no further byte for so long will not go on
	IdleTimeout              float64 // servers close a connection that stood idle for so long
}

const (
	// probeRoundTripSeconds is how long a probe may take beyond the connect timeout: far above a round trip in a fleet.
	probeRoundTripSeconds = 0.1

	// minIdleSeconds is how long a connection is to be idle before it is preferred for another attempt. A server that
	// ends a connection with or right after a reply is heard of by then.
	minIdleSeconds = 0.005

	// duplicateReplySeconds is how long after a reply the same one may come again, which is the slack that the protocol
	// allows to all that is late.
	duplicateReplySeconds = 0.05

	// bodyStallSeconds is how long a server may send nothing of a body that is passed on.
	bodyStallSeconds = 5

	// minSweepSeconds is the least time between two looks for connections that are idle for too long.
	minSweepSeconds = 0.1

	// sweepsPerIdleTimeout is how often in an idle timeout such connections are looked for.
	sweepsPerIdleTimeout = 8
)

// maxIdleSeconds is how long a connection may stay idle here. It is below the servers' own timeout: a command that is
// written to a connection that the server is just closing may have run.
func (l Limits) maxIdleSeconds() float64 { return l.IdleTimeout * 3 / 4 }

// sweepSeconds is how long it takes from one look for idle connections to the next.
func (l Limits) sweepSeconds() float64 {
	return max(l.IdleTimeout/sweepsPerIdleTimeout, minSweepSeconds)
}
