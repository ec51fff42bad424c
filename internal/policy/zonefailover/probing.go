package zonefailover

import (
	"fmt"
	"hash/crc32"
	"math"

	"bendtrestle/internal/seedhash"
)

// advance leads an evacuated zone back to all of its keys.
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

// probe begins the recovery of a zone once enough probes were answered; until then routers probe it in turn.
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
	mine := c.isProber(z, uint32(round))
	if mine && z.state == Evacuated {
		c.transition(now, z, Probing, z.probeShare(), reasonProbeHere)
	}
	if !mine && z.state == Probing {
		c.transition(now, z, Evacuated, 0, reasonProbeOthers)
	}
}

// probeShare is the share of a zone's keys that makes some probesPerRound attempts: more would be lost where nothing
// answers.
func (z *zone) probeShare() float64 {
	const minAttempts = 1e-9 // a round; it keeps the quotient finite
	share := probesPerRound / max(z.attempts.rate*probeRound, minAttempts)
	return min(max(share, minShare), maxProbeShare)
}

// routersAnswered counts the routers that had an answer since the zone was evacuated, not one that was on its way then.
func (c *Controller) routersAnswered(now float64, z *zone) int {
	since := z.history.evacuatedAt + z.holdTime()/2
	count := 0
	if answeredSince(since, z.evidence.lastAnswer, z.evidence.failingSince) {
		count++
	}
	for _, p := range c.peers {
		said, reported := p.reports[z.hash]
		if !reported || !c.heardRecently(now, p) {
			continue
		}
		if answeredSince(since, said.lastAnswer, said.failingSince) {
			count++
		}
	}
	return count
}

func answeredSince(since, lastAnswer, failingSince float64) bool {
	return lastAnswer > since && lastAnswer > failingSince
}

// probers is how many routers probe a zone at once.
func (c *Controller) probers() int {
	return min(c.settings.RouterCount, max(minProbers, c.settings.RouterCount/proberDivisor))
}

// isProber reports whether this router is one of those that probe a zone in a round: those of the least hashes.
func (c *Controller) isProber(z *zone, round uint32) bool {
	mine := proberHash(z, round, c.settings.RouterIndex)
	before := 0
	for router := range c.settings.RouterCount {
		hash := proberHash(z, round, router)
		if hash < mine || hash == mine && router < c.settings.RouterIndex {
			before++
		}
	}
	return before < c.probers()
}

// proberHash orders the routers for a round of probes. CRC-32 alone is affine: the same routers would be the first in
// every round. The finalizer behind it is seedhash.Avalanche without its last step, hash ^ hash>>16, which is undone by
// doing it again; routers of all builds have to draw alike, so it stays without.
func proberHash(z *zone, round uint32, router int) uint32 {
	input := [...]byte{
		byte(z.hash), byte(z.hash >> 8), byte(z.hash >> 16),
		byte(round), byte(round >> 8),
		byte(router), byte(router >> 8),
	}
	hash := seedhash.Avalanche(crc32.ChecksumIEEE(input[:]))
	return hash ^ hash>>16
}
