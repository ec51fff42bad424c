// Package pollschedule decides how long a caller waits before a call that failed is made anew, so that many callers of one service
// do not keep it full: each call made too early is one that the service turns away, and so is the next.
package pollschedule

import (
	"encoding/binary"
	"hash/crc32"
)

// Backoff is one caller's. Its waits double with each failure in a row, from First to Most, and are spread by half to either
// side, so that callers that failed together do not come back together.
type Backoff struct {
	Initial, Max float64 // seconds
	Seed         uint32  // each caller has one of its own
	draws        uint64
	wait         float64
}

// Failed gives how long to wait, after a call that failed: less than the draw where the next is to begin sooner, and then spread
// as much, for what is cut off at a bound comes back together.
func (p *Backoff) Failed(within float64) float64 {
	p.wait = min(max(2*p.wait, p.Initial), max(p.Max, p.Initial))
	return p.Silent(within)
}

// Silent gives how long to wait, after a call that had no answer. That the service is down does not tell that it is full, and the caller has
// waited already: the waits do not grow, so that one that is turned away once it is back comes again soon.
func (p *Backoff) Silent(within float64) float64 {
	p.draws++
	return max(0, min(max(p.wait, p.Initial), within/1.5)) * (0.5 + p.chance())
}

// Answered takes a call that succeeded.
func (p *Backoff) Answered() { p.wait = 0 }

// chance draws a number from 0 up to 1. crc32 alone is affine, so that two callers would keep their distance.
func (p *Backoff) chance() float64 {
	h := crc32.Update(p.Seed, crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, p.draws)) ^ p.Seed
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return float64(h^h>>16) / (1 << 32)
}
