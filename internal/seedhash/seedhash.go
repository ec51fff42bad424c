// Package seedhash is the one hash and the one source of chance of all decisions: equal inputs give equal values at every router and
// in every build. It holds no global state; a Sequence belongs to the one goroutine that draws from it.
package seedhash

import (
	"encoding/binary"
	"hash/crc32"
)

// Multipliers of the finalizer of MurmurHash3 (32 bits).
const (
	firstMultiplier  = 0x85ebca6b
	secondMultiplier = 0xc2b2ae35
)

// uint32Range is one more than the largest uint32, as a float64.
const uint32Range = 1 << 32

// Mix hashes a number under a seed. CRC-32 alone is affine: inputs would compare alike under any seed, so its bits go through Avalanche.
func Mix(seed uint32, value uint64) uint32 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], value)
	return Avalanche(crc32.Update(seed, crc32.IEEETable, bytes[:]) ^ seed)
}

// Avalanche spreads every bit of a hash over all its bits (the finalizer of MurmurHash3).
func Avalanche(hash uint32) uint32 {
	hash = (hash ^ hash>>16) * firstMultiplier
	hash = (hash ^ hash>>13) * secondMultiplier
	return hash ^ hash>>16
}

// Sequence is a repeatable sequence of random numbers: the n-th drawn depends on the seed and n alone.
type Sequence struct {
	seed  uint32
	draws uint64
}

// NewSequence starts a sequence.
func NewSequence(seed uint32) Sequence { return Sequence{seed: seed} }

// Uint32 draws a number.
func (s *Sequence) Uint32() uint32 {
	s.draws++
	return Mix(s.seed, s.draws)
}

// Float64 draws a number from 0 up to, not including, 1.
func (s *Sequence) Float64() float64 { return float64(s.Uint32()) / uint32Range }

// Intn draws a number from 0 up to n-1; n is above 0.
func (s *Sequence) Intn(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }
