package balancer

import (
	"math/bits"
	"sync"

	"bendtrestle/internal/seedhash"
)

// The table of circular hypervectors (docs/design.md). All routers of a deployment must use the same values.
const (
	hypervectorDimensions = 10000                                   // d: bits of a hypervector
	ringSlots             = 4096                                    // n: hypervectors in the table, a power of two
	flipsPerStep          = hypervectorDimensions / (ringSlots / 2) // d/m, rounded down: bits between neighbours
	hypervectorTableSeed  = 0x8d3a                                  // arbitrary
)

const hypervectorWords = (hypervectorDimensions + 63) / 64

// hypervector is a vector of hypervectorDimensions bits.
type hypervector [hypervectorWords]uint64

// hypervectorTable builds the circle by Algorithm 1 of the paper, once per process. The first half of the steps
// flips random bits. The second half undoes these flips in the order in which they were made, which closes the
// circle.
var hypervectorTable = sync.OnceValue(func() *[ringSlots]hypervector {
	var circle [ringSlots]hypervector
	random := seedhash.NewSequence(hypervectorTableSeed)
	circle[0] = randomHypervector(&random)
	for slot := 1; slot < ringSlots; slot++ {
		circle[slot] = circle[slot-1]
		if slot < ringSlots/2 {
			flipRandomBits(&circle[slot], &circle[slot-1], &random)
		}
		undone := slot - ringSlots/2 + 1
		if undone > 0 && undone < ringSlots/2 {
			undoStep(&circle[slot], &circle[undone], &circle[undone-1])
		}
	}
	return &circle
})

func randomHypervector(random *seedhash.Sequence) (drawn hypervector) {
	for word := range drawn {
		high := uint64(random.Uint32())
		low := uint64(random.Uint32())
		drawn[word] = high<<32 | low
	}
	drawn[hypervectorWords-1] &= 1<<(hypervectorDimensions%64) - 1
	return drawn
}

// flipRandomBits flips flipsPerStep distinct random bits of next, which initially equals previous.
func flipRandomBits(next, previous *hypervector, random *seedhash.Sequence) {
	for flipped := 0; flipped < flipsPerStep; {
		bit := random.Uint32() % hypervectorDimensions
		word := bit / 64
		alreadyFlipped := (next[word]^previous[word])>>(bit%64)&1 == 1
		if alreadyFlipped {
			continue
		}
		next[word] ^= 1 << (bit % 64)
		flipped++
	}
}

// undoStep flips the bits in which two neighbours of the first half, after and before, differ.
func undoStep(next, after, before *hypervector) {
	for word := range next {
		next[word] ^= after[word] ^ before[word]
	}
}

// hammingDistance returns the number of bits in which two hypervectors differ.
func hammingDistance(a, b *hypervector) (distance int) {
	for word := range a {
		distance += bits.OnesCount64(a[word] ^ b[word])
	}
	return distance
}
