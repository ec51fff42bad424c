package zonefailover

import (
	"fmt"
	"hash/crc32"
	"math"

	"bendtrestle/internal/seedhash"
)

// advance advances the probing or recovery of a zone that does not serve all of its keys.
func (c *Controller) advance(now float64, z *zone) {
	if z.operatorOverride || z.servers == 0 {
		return
	}
	switch z.state {
	case Evacuated, Probing:
		c.probe(now, z)
	case Recovering:
		c.advanceRecovery(now, z)
	}
}

// probe begins the recovery of a zone once enough probes were answered. Until then routers take turns to probe it.
func (c *Controller) probe(now float64, z *zone) {
	probingSince := z.history.evacuatedAt + z.holdTime()
	if now < probingSince {
		return
	}
	answered := c.routersAnswered(now, z)
	if answered >= min(minFailureVotes, c.probers()) && c.mayRecover(z) {
		c.transition(now, z, Recovering, firstRecoveryShare, fmt.Sprintf("%d routers had answers there", answered))
		return
	}
	round := math.Floor((now - z.history.evacuatedAt - z.holdTime()) / probeRound)
	prober := c.isProber(z, uint32(round))
	if prober && z.state == Evacuated {
		c.transition(now, z, Probing, z.probeShare(), reasonProbeHere)
	}
	if !prober && z.state == Probing {
		c.transition(now, z, Evacuated, 0, reasonProbeOthers)
	}
}

// probeShare returns the share of a zone's keys that leads to about probesPerRound attempts a round. A larger share
// would lose more attempts while nothing answers.
func (z *zone) probeShare() float64 {
	const minAttempts = 1e-9 // attempts a round; keeps the quotient finite
	share := probesPerRound / max(z.attempts.rate*probeRound, minAttempts)
	return min(max(share, minShare), maxProbeShare)
}

// routersAnswered counts the routers with an answer in an evacuated zone. Answers from the first half of its hold time
// don't count, because they may belong to attempts sent before the evacuation.
func (c *Controller) routersAnswered(now float64, z *zone) int {
	since := z.history.evacuatedAt + z.holdTime()/2
	count := 0
	if answeredSince(since, z.evidence.lastAnswer, z.evidence.failingSince) {
		count++
	}
	for _, p := range c.peers {
		r, reported := p.reports[z.hash]
		if !reported || !c.heardRecently(now, p) {
			continue
		}
		if answeredSince(since, r.lastAnswer, r.failingSince) {
			count++
		}
	}
	return count
}

func answeredSince(since, lastAnswer, failingSince float64) bool {
	return lastAnswer > since && lastAnswer > failingSince
}

// probers returns how many routers probe a zone at once.
func (c *Controller) probers() int {
	return min(c.settings.RouterCount, max(minProbers, c.settings.RouterCount/proberDivisor))
}

// isProber reports whether this router probes a zone in a round: the probers are the routers with the smallest hashes.
func (c *Controller) isProber(z *zone, round uint32) bool {
	own := proberHash(z, round, c.settings.RouterIndex)
	smaller := 0
	for router := range c.settings.RouterCount {
		hash := proberHash(z, round, router)
		if hash < own || hash == own && router < c.settings.RouterIndex {
			smaller++
		}
	}
	return smaller < c.probers()
}

// proberHash returns the hash by which routers are ordered in a round of probes. CRC-32 alone is affine: the same
// routers would be the first in every round. Therefore seedhash.Avalanche is applied to it, but without its last step,
// hash ^ hash>>16. That step is its own inverse, so repeating it undoes it. Routers of all builds have to compute the
// same hashes, so the last step must stay omitted.
func proberHash(z *zone, round uint32, router int) uint32 {
	input := [...]byte{
		byte(z.hash), byte(z.hash >> 8), byte(z.hash >> 16),
		byte(round), byte(round >> 8),
		byte(router), byte(router >> 8),
	}
	hash := seedhash.Avalanche(crc32.ChecksumIEEE(input[:]))
	return hash ^ hash>>16
}
