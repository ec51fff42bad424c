package zonefailover

import "math"

// zone is the state of one zone at this router.
type zone struct {
	name             string
	hash             uint32 // of the name, as encoded in messages
	servers          int    // in service, by the endpoint list
	operatorOverride bool   // evacuated by an operator

	state       State
	share       float64 // fraction of its keys that the zone serves, 0 to 1
	since       float64 // when the state began
	reason      string
	transitions uint64

	attempts     attempts
	evidence     evidence
	history      history
	step         step
	announcement announcement
}

// evidence holds this router's own observations of a zone. Times are by its own clock.
type evidence struct {
	lastAnswer      float64 // 0: never
	failingSince    float64 // start of the first attempt after the last answer that got no answer; 0: there is none
	sufficientSince float64 // since when the votes against the zone suffice; 0: they do not
}

// history holds a zone's earlier evacuations and recoveries.
type history struct {
	evacuatedAt   float64
	recoveryBegan float64 // evidence from before this time is ignored
	recoveredAt   float64
	evacuations   int // recent ones, see historyRetention
}

// stepCounts counts the attempts of one step of a recovery.
type stepCounts struct {
	answered int
	degraded int // late, rejected or unanswered
}

// isDegraded reports whether so many attempts were degraded that the zone counts as overloaded by its share: at least
// minDegradedAttempts, and more than a quarter of the answered attempts.
func (s stepCounts) isDegraded() bool {
	return s.degraded >= minDegradedAttempts && degradedDivisor*s.degraded > s.answered
}

// step is the current step of a recovery.
type step struct {
	began    float64
	counts   stepCounts
	previous stepCounts // of the step before, which messages carry
}

// announcement tracks what messages still have to report of a zone.
type announcement struct {
	pendingMessages int     // messages that still have to carry the zone
	newFailure      bool    // the zone has begun to fail since a message last carried it
	lastSent        float64 // when a message last carried the zone
}

// newZone returns a zone that serves all of its keys.
func newZone(name string) *zone {
	return &zone{
		name:     name,
		hash:     NameHash(name),
		share:    1,
		reason:   reasonInitial,
		attempts: attempts{inFlight: map[uint64]inFlightAttempt{}},
		history:  history{recoveredAt: math.Inf(-1)},
	}
}

// recordFailure records that an attempt got no answer. An attempt that began before the last answer is no evidence.
func (z *zone) recordFailure(attemptBegan float64) {
	if attemptBegan <= z.evidence.lastAnswer || z.evidence.failingSince != 0 {
		return
	}
	z.evidence.failingSince = attemptBegan
	z.announcement.newFailure = true
}

// beginStep starts the next step of a recovery with zero counts.
func (z *zone) beginStep(now float64) {
	z.step = step{began: now, previous: z.step.counts}
}

// holdTime returns how long the zone stays evacuated before it is probed, in seconds.
func (z *zone) holdTime() float64 {
	doublings := max(0, z.history.evacuations-1)
	return minHoldTime * math.Pow(2, float64(doublings))
}

// failedRecently reports whether the zone failed so recently that fewer votes evacuate it again.
func (z *zone) failedRecently(now float64) bool {
	if z.history.evacuations == 0 {
		return false
	}
	return z.state == Recovering || now-z.history.recoveredAt < historyRetention
}
