package pollschedule

import "bendtrestle/internal/seedhash"

// Waits are spread by chance between these multiples, so that callers that failed together do not come back together.
const (
	minSpread = 0.5
	maxSpread = 1.5
)

// randomRange is one more than the largest number that a draw gives.
const randomRange = 1 << 32

// Backoff is the waits of one caller after failures, in seconds. Each call that is made too early is one that the
// service rejects, and so is the next.
type Backoff struct {
	Initial float64 // the first wait; longer leaves a service that is back unused, shorter keeps a full one full
	Max     float64 // the longest; Initial if that is longer
	Seed    uint32  // of the caller's chance: each caller has one of its own

	draws uint64
	wait  float64 // the last one without its spread; 0: the last call succeeded
}

// AfterFailure returns how long to wait after a call that failed: twice the wait before. It is at most limit seconds,
// spread as much, for callers that are cut off at a bound come back together; 0 for a limit that is over.
func (b *Backoff) AfterFailure(limit float64) float64 {
	b.wait = min(max(2*b.wait, b.Initial), max(b.Max, b.Initial))
	return b.AfterTimeout(limit)
}

// AfterTimeout returns how long to wait after a call that had no answer, within a limit as AfterFailure. That a service
// is down does not tell that it is full, and the caller has waited already: the wait does not grow.
func (b *Backoff) AfterTimeout(limit float64) float64 {
	wait := max(0, min(max(b.wait, b.Initial), limit/maxSpread))
	return wait * (minSpread + b.randomFraction())
}

// Reset handles that a call succeeded: the next wait is the first one again.
func (b *Backoff) Reset() { b.wait = 0 }

// randomFraction draws a number from 0 up to, not including, 1. The n-th depends on the seed and n alone.
func (b *Backoff) randomFraction() float64 {
	b.draws++
	return float64(seedhash.Mix(b.Seed, b.draws)) / randomRange
}
