package pollschedule

// Schedule configures when a list service is polled. Times are in seconds.
type Schedule struct {
	// LongPollWait is how long the service may hold a poll until the list changes. It is short, so that a hanging poll
	// is detected soon; a shorter wait polls more often.
	LongPollWait float64
	// AnswerTolerance is how much longer than LongPollWait an answer may take before it counts as late. A longer time
	// detects a hanging poll later, with a shorter one answers of a service that is only slow count as late.
	AnswerTolerance float64
	// RetryInterval is the time between polls while an answer is late; the service doesn't hold these polls. It applies
	// only if MaxInFlight is above 1.
	RetryInterval float64
	// MaxInterval is the longest time from the start of a poll to the start of the next, regardless of its outcome.
	MaxInterval float64
	// OutdatedRetry is the wait before the next poll of a service whose list is older than the current one.
	OutdatedRetry float64
	// MinLifetime is the minimum time for which the oldest poll is kept, because its answer may only be slow.
	MinLifetime float64
	// MaxInFlight is the maximum number of polls in flight, 1 or more. One is abandoned when a further one has to
	// start.
	MaxInFlight int
	// Backoff computes the wait between a failed poll and the next.
	Backoff Backoff
}

// maxStaleness is the bound guaranteed to operators, in seconds: regardless of the outcome of earlier polls, the router
// knows a change at most this long after the service had it and was reachable.
const maxStaleness = 6

// Polls of an agent on the router's own machine. Times without a unit are fractions of the drain grace period.
const (
	minAgentGrace         = 0.1 // seconds; a shorter one would keep the agent busy with polls
	maxAgentGrace         = 1   // seconds
	agentLongPollWait     = 0.6
	agentAnswerTolerance  = 0.3
	agentRetryInterval    = 0.5
	agentMaxInterval      = 0.9
	agentOutdatedRetry    = 0.2
	agentBackoff          = 0.2
	agentMinLifetime      = maxStaleness / 2 // seconds
	maxAgentPollsInFlight = 7
)

// Polls of a service that answers all routers.
const (
	sharedLongPollWait     = 2   // seconds, as long as an overloaded service queues polls
	sharedAnswerTolerance  = 0.5 // seconds
	sharedOutdatedRetry    = 1   // seconds
	minSharedInitialWait   = 0.1 // seconds
	maxSharedInitialWait   = 1   // seconds
	minSharedMaxWait       = 1   // seconds
	maxSharedMaxWait       = 2   // seconds
	sharedInitialDivisor   = 4   // first wait: the poll interval divided by this
	sharedMaxDivisor       = 2   // longest wait: the poll interval divided by this
	maxSharedPollsInFlight = 1   // rejected polls cost the service capacity, too
)

// ForLocalAgent returns the schedule for an agent on the router's own machine, which answers immediately and at no
// cost. A draining server must get no new requests after the grace period in seconds, so a hanging or failed poll or an
// outdated list must not delay a change that the agent already has by that long. Therefore further polls start while an
// answer is late, and the next poll starts in time also after a failure. The oldest poll is kept for MinLifetime,
// however short the grace period: if it hangs, the poll that is the oldest after it was started when the agent was
// reachable again, and is kept long enough for a slow answer.
func ForLocalAgent(grace float64, seed uint32) Schedule {
	grace = min(max(grace, minAgentGrace), maxAgentGrace)
	return Schedule{
		LongPollWait:    agentLongPollWait * grace,
		AnswerTolerance: agentAnswerTolerance * grace,
		RetryInterval:   agentRetryInterval * grace,
		MaxInterval:     agentMaxInterval * grace,
		OutdatedRetry:   agentOutdatedRetry * grace,
		MinLifetime:     agentMinLifetime,
		MaxInFlight:     maxAgentPollsInFlight,
		Backoff:         Backoff{Initial: agentBackoff * grace, Max: agentBackoff * grace, Seed: seed},
	}
}

// ForSharedService returns the schedule for a service that answers all routers and expects each to poll once in
// interval seconds. Rejected polls cost the service capacity, too, so there is one poll at a time. A poll without an
// answer is abandoned, and the next starts immediately. If that has no answer either, or after a failed poll, the
// Poller waits before the next. The wait ends early enough for the latest possible answer to arrive within
// maxStaleness.
func ForSharedService(interval float64, seed uint32) Schedule {
	return Schedule{
		LongPollWait:    sharedLongPollWait,
		AnswerTolerance: sharedAnswerTolerance,
		MaxInterval:     maxStaleness - (sharedLongPollWait + sharedAnswerTolerance),
		OutdatedRetry:   sharedOutdatedRetry,
		MaxInFlight:     maxSharedPollsInFlight,
		Backoff: Backoff{
			Initial: min(max(minSharedInitialWait, interval/sharedInitialDivisor), maxSharedInitialWait),
			Max:     min(max(interval/sharedMaxDivisor, minSharedMaxWait), maxSharedMaxWait),
			Seed:    seed,
		},
	}
}
