// Package seedhash provides the hash function and the random numbers of all decisions: equal inputs give equal
// values at every router and in every build. It holds no global state. A Sequence must be used by one goroutine at
// a time.
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

// uint32Range is the number of uint32 values.
const uint32Range = 1 << 32

// Mix hashes a number with a seed. CRC-32 alone is affine: the hashes of two inputs differ in the same bits under
// any seed. Avalanche removes that relation.
func Mix(seed uint32, value uint64) uint32 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], value)
	return Avalanche(crc32.Update(seed, crc32.IEEETable, bytes[:]) ^ seed)
}

// Avalanche spreads every bit of a hash over all its bits (the 32-bit finalizer of MurmurHash3).
func Avalanche(hash uint32) uint32 {
	hash = (hash ^ hash>>16) * firstMultiplier
	hash = (hash ^ hash>>13) * secondMultiplier
	return hash ^ hash>>16
}

// Sequence is a reproducible sequence of random numbers: the n-th number depends only on the seed and n.
type Sequence struct {
	seed  uint32
	draws uint64
}

// NewSequence returns the sequence of a seed.
func NewSequence(seed uint32) Sequence { return Sequence{seed: seed} }

// Uint32 returns the next number.
func (s *Sequence) Uint32() uint32 {
	s.draws++
	return Mix(s.seed, s.draws)
}

// Float64 returns the next number as a fraction from 0 up to, not including, 1.
func (s *Sequence) Float64() float64 { return float64(s.Uint32()) / uint32Range }

// Intn returns the next number scaled to the range from 0 to n-1; n must be positive.
func (s *Sequence) Intn(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }
