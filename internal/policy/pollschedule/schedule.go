package pollschedule

// Schedule is when a list service is polled. Times are in seconds.
type Schedule struct {
	// LongPollWait is how long the service is asked to hold a poll until there is news. Short, so that a poll that
	// hangs is soon found; shorter polls more often.
	LongPollWait float64
	// AnswerTolerance is how much longer than LongPollWait an answer may take before it is in doubt. Longer finds a
	// poll that hangs later, shorter doubts a service that is only slow.
	AnswerTolerance float64
	// RetryInterval is the time between polls while an answer is in doubt; these are not held. Only where MaxInFlight
	// is above 1.
	RetryInterval float64
	// MaxInterval is the longest time from a poll's start to the next one's, whatever became of it.
	MaxInterval float64
	// OutdatedRetry is the wait before a service is polled again whose list is older than what is known.
	OutdatedRetry float64
	// MinLifetime is how long the oldest poll counts at least, for it may only be slow.
	MinLifetime float64
	// MaxInFlight is the number of polls at once, 1 or more; where one more is to start, one is given up.
	MaxInFlight int
	// Backoff is the waits between a poll that failed and the next.
	Backoff Backoff
}

// maxStaleness is what is promised to operators: whatever became of polls, a change is known so many seconds after
// the service had it and could be reached.
const maxStaleness = 6

// The polls of an agent on the router's own machine. Times but the grace itself are parts of it.
const (
	minAgentGrace         = 0.1 // seconds; below it polls would be all that the agent does
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

// The polls of a service that answers all routers.
const (
	sharedLongPollWait     = 2   // seconds, as long as a full service lets polls wait
	sharedAnswerTolerance  = 0.5 // seconds
	sharedOutdatedRetry    = 1   // seconds
	minSharedInitialWait   = 0.1 // seconds
	maxSharedInitialWait   = 1   // seconds
	minSharedMaxWait       = 1   // seconds
	maxSharedMaxWait       = 2   // seconds
	sharedInitialDivisor   = 4   // the first wait is this part of the poll interval
	sharedMaxDivisor       = 2   // the longest likewise
	maxSharedPollsInFlight = 1   // a poll that is rejected costs the service, too
)

// ForLocalAgent is the schedule for an agent on the router's own machine, which answers at once and at no cost. What
// the agent has counts as known, whether or not a poll hangs, fails or brings a list that is behind: nothing may hide
// it for the grace in seconds after which a server that drains may get nothing new. So a poll that is in doubt has
// others beside it, the next starts in time after a failure, too, and the oldest poll is kept, however short the
// grace: the one that is the oldest after it started once the agent could be reached, so an answer that takes as long
// is heard.
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

// ForSharedService is the schedule for a service that answers all routers and wants each to poll within an interval
// in seconds. A poll that it rejects costs it too, so there is one at a time. One that is silent is given up, and the
// next starts at once; if that is silent, too, or one fails, there is a wait before the next, which ends so early
// that an answer as late as may be is still within maxStaleness.
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
