package balancer

// The names of the timers, which the host passes back to OnTimer.
const (
	pollTimer      = "watch"   // checks whether a poll was answered
	retryPollTimer = "rewatch" // polls again after a failed poll
)

const (
	// minPollCheckInterval is the minimum time, in seconds, after which an unanswered poll is repeated.
	minPollCheckInterval = 1
	// minRetryDelayLimit is the lower bound of the maximum backoff after failed polls, in seconds.
	minRetryDelayLimit = 1
	// retryDelayJitterStart is the least jitter factor of the backoff: it is multiplied by a random number from
	// retryDelayJitterStart up to 1 more.
	retryDelayJitterStart = 0.5
)

// endpointPolling is the state of polling for the endpoint list (Settings.PollEndpoints).
type endpointPolling struct {
	pendingSince float64 // seconds, when the unanswered poll was sent; 0: the last poll was answered or failed
	retryDelay   float64 // seconds, the backoff after the last failure; 0: the last poll did not fail
}

// pollEndpoints polls for the list, and sets a timer that repeats the poll if there is no answer.
func (b *Balancer) pollEndpoints() {
	b.polling.pendingSince = b.now
	b.host.WatchEndpoints(true)
	b.host.SetTimer(b.pollCheckInterval(), pollTimer)
}

// pollCheckInterval returns the time, in seconds, after which an unanswered poll is repeated.
func (b *Balancer) pollCheckInterval() float64 {
	return max(minPollCheckInterval, b.settings.PollInterval/2)
}

// retryPolling sets the timer for the next poll after a failed one. The backoff doubles up to half of the poll
// interval, so that failed polls do not keep the list service overloaded.
func (b *Balancer) retryPolling() {
	first := b.settings.PollInterval / 16
	longest := max(b.settings.PollInterval/2, minRetryDelayLimit)
	b.polling.retryDelay = min(max(2*b.polling.retryDelay, first, b.settings.EventInterval), longest)
	b.polling.pendingSince = 0
	jitter := retryDelayJitterStart + b.random.Float64()
	b.host.SetTimer(b.polling.retryDelay*jitter, retryPollTimer)
}

// OnTimer is called when a timer of Host.SetTimer expires. Unknown names are ignored.
func (b *Balancer) OnTimer(now float64, name string) {
	b.now = now
	switch name {
	case retryPollTimer:
		b.pollEndpoints()
	case pollTimer:
		if b.pollOverdue() {
			b.pollEndpoints()
		}
	}
}

func (b *Balancer) pollOverdue() bool {
	if b.polling.pendingSince <= 0 {
		return false
	}
	return b.now-b.polling.pendingSince >= b.pollCheckInterval()-b.settings.EventInterval
}
