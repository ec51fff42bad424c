package upstream

// Limits are the limits and timeouts of connections. Times are in seconds.
type Limits struct {
	MaxConnections           int     // to all servers together; each server may have an equal fraction, at least one
	MaxInFlightPerConnection int     // attempts pipelined on one connection, once no more connections may be opened
	ConnectTimeout           float64 // a connection that is not established by then is closed
	StallTimeout             float64 // a reply that has begun and gets no further byte for this long has stalled
	HedgingAllowed           bool    // a request may have another attempt while its reply has stalled
	IdleTimeout              float64 // servers close a connection that has been idle for this long
}

const (
	// probeRoundTripSeconds is the time for a probe in addition to the connect timeout. It is far above a network round
	// trip within a fleet.
	probeRoundTripSeconds = 0.1

	// minIdleSeconds is how long a connection must have been idle to be preferred for another attempt. By then it is known
	// whether the server has closed the connection with or right after its last reply.
	minIdleSeconds = 0.005

	// duplicateReplySeconds is the time after a reply within which a duplicate of it may arrive. The protocol allows the
	// same tolerance for everything that is late.
	duplicateReplySeconds = 0.05

	// bodyStallSeconds is how long a server may send nothing of a body that is being forwarded.
	bodyStallSeconds = 5

	// stalledFraction is the fraction of an attempt's time left for which a stalled reply is waited for where hedging is not
	// allowed. The rest is for a retry.
	stalledFraction = 0.25

	// maxStalledSeconds limits that time.
	maxStalledSeconds = 4

	// memoryWaitMarginSeconds is how long before its attempt's deadline a value stops to wait for memory, so that the attempt
	// does not end as one that its server has not answered.
	memoryWaitMarginSeconds = 0.02

	// minSweepSeconds is the minimum interval between two sweeps for connections that have been idle for too long.
	minSweepSeconds = 0.1

	// sweepsPerIdleTimeout is the number of such sweeps per idle timeout.
	sweepsPerIdleTimeout = 8
)

// maxIdleSeconds is how long the router keeps an idle connection. It is below the servers' own timeout: if the server
// closes a connection while a command is being written to it, it is unknown whether the command was executed.
func (l Limits) maxIdleSeconds() float64 { return l.IdleTimeout * 3 / 4 }

// sweepSeconds is the interval between two sweeps for idle connections.
func (l Limits) sweepSeconds() float64 {
	return max(l.IdleTimeout/sweepsPerIdleTimeout, minSweepSeconds)
}
