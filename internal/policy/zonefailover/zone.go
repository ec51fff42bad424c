package zonefailover

import "math"

// zone is what this router knows and has decided of one zone.
type zone struct {
	name             string
	hash             uint32 // of the name, as messages have it
	servers          int    // that the endpoint list has in service
	operatorOverride bool   // evacuated by an operator

	state       State
	share       float64 // of its keys, 0 to 1
	since       float64 // when the state began
	reason      string
	transitions uint64

	attempts     attempts
	evidence     evidence
	history      history
	step         step
	announcement announcement
}

// evidence is what this router has seen of a zone itself. Times are by its own clock.
type evidence struct {
	lastAnswer      float64 // 0: never
	failingSince    float64 // when the first attempt after the last answer began that had no answer; 0: there is none
	sufficientSince float64 // since when the votes against the zone suffice; 0: they do not
}

// history is how a zone failed and recovered before.
type history struct {
	evacuatedAt   float64
	recoveryBegan float64 // evidence from before it is over
	recoveredAt   float64
	evacuations   int // of late
}

// stepCounts are the attempts of one step of a recovery.
type stepCounts struct {
	answered int
	degraded int // late, rejected or without an answer
}

// isDegraded reports whether so many attempts were degraded that the zone is taken not to bear its share: at least
// minDegradedAttempts, and more than a quarter of those that were answered.
func (s stepCounts) isDegraded() bool {
	return s.degraded >= minDegradedAttempts && degradedDivisor*s.degraded > s.answered
}

// step is the present step of a recovery.
type step struct {
	began    float64
	counts   stepCounts
	previous stepCounts // of the step before, which others are told of
}

// announcement is what other routers still have to be told of a zone.
type announcement struct {
	pendingMessages int     // messages that are to carry the zone
	newFailure      bool    // it has begun to fail since a message last carried it
	lastSent        float64 // when a message last carried it
}

// newZone makes a zone that serves all of its keys.
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

// recordFailure notes that an attempt had no answer. One that began before the last answer is no evidence.
func (z *zone) recordFailure(attemptBegan float64) {
	if attemptBegan <= z.evidence.lastAnswer || z.evidence.failingSince != 0 {
		return
	}
	z.evidence.failingSince = attemptBegan
	z.announcement.newFailure = true
}

// beginStep starts to count anew how attempts in the zone go.
func (z *zone) beginStep(now float64) {
	z.step = step{began: now, previous: z.step.counts}
}

// holdTime is how long the zone stays evacuated before it is probed, in seconds.
func (z *zone) holdTime() float64 {
	doublings := max(0, z.history.evacuations-1)
	return minHoldTime * math.Pow(2, float64(doublings))
}

// failedRecently reports whether the zone failed so lately that fewer votes evacuate it again.
func (z *zone) failedRecently(now float64) bool {
	if z.history.evacuations == 0 {
		return false
	}
	return z.state == Recovering || now-z.history.recoveredAt < historyRetention
}
