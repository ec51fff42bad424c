package quota

import "math"

// demandDecay is the time constant of the demand, in seconds.
const demandDecay = 1.0

// Demand is the rate of load that a team requests, whether admitted or not, averaged with the time constant
// demandDecay.
type Demand struct {
	rate      float64
	updatedAt float64
}

func (d *Demand) add(now, load float64) {
	d.rate = d.Rate(now) + load/demandDecay
	d.updatedAt = now
}

// Rate returns the demand at a time of the limiter's clock, in seconds of load per second.
func (d *Demand) Rate(now float64) float64 { return d.rate * math.Exp(-(now-d.updatedAt)/demandDecay) }
