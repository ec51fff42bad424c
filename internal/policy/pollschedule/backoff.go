package pollschedule

import "bendtrestle/internal/seedhash"

// A wait is multiplied by a random factor between these, so that callers that failed at the same time don't retry at
// the same time.
const (
	minSpread = 0.5
	maxSpread = 1.5
)

// randomRange is one more than the largest number that seedhash.Mix returns.
const randomRange = 1 << 32

// Backoff computes one caller's waits after failed calls, in seconds. Calls repeated too early are rejected by an
// overloaded service and keep it overloaded.
type Backoff struct {
	Initial float64 // first wait; a longer one uses a recovered service later, a shorter one keeps a full service full
	Max     float64 // longest wait; Initial if that is longer
	Seed    uint32  // of the caller's random numbers; it differs between callers

	draws uint64
	wait  float64 // the last one before the random factor; 0: the last call succeeded
}

// AfterFailure returns how long to wait after a failed call: twice the previous wait, but at most limit seconds, or 0
// for a limit that has passed. Waits shortened by the limit get the same random factor, because callers that all waited
// exactly until the limit would retry at the same time.
func (b *Backoff) AfterFailure(limit float64) float64 {
	b.wait = min(max(2*b.wait, b.Initial), max(b.Max, b.Initial))
	return b.AfterTimeout(limit)
}

// AfterTimeout returns how long to wait after a call without an answer, within a limit as for AfterFailure. The wait
// does not grow, because a missing answer does not show that the service is overloaded, and the caller has already
// waited.
func (b *Backoff) AfterTimeout(limit float64) float64 {
	wait := max(0, min(max(b.wait, b.Initial), limit/maxSpread))
	return wait * (minSpread + b.randomFraction())
}

// Reset handles a successful call: the next wait is Initial again.
func (b *Backoff) Reset() { b.wait = 0 }

// randomFraction returns a random number in [0, 1). The n-th number depends on the seed and n only.
func (b *Backoff) randomFraction() float64 {
	b.draws++
	return float64(seedhash.Mix(b.Seed, b.draws)) / randomRange
}
