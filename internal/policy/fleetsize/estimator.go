// Package fleetsize counts the routers of a tier by those that are heard. It is stepped: what is heard goes in with its time.
package fleetsize

// Estimator is one router's view of how many there are.
type Estimator[From comparable] struct {
	stated int
	heard  map[From]float64 // when each of the others spoke last
	looked float64
}

const (
	stale = 10.0 // seconds after which one that is silent counts no more: routers that have something to say say it each second or two
	most  = 4096 // senders that are kept: several times the largest tier, for whoever says more than that lies
	look  = 1.0  // seconds between two looks at who is silent
)

// New makes it for a tier of which the settings say that so many are in it.
func New[From comparable](stated int) *Estimator[From] {
	return &Estimator[From]{stated: max(1, stated), heard: map[From]float64{}}
}

// OnMessage takes that another router spoke.
func (c *Estimator[From]) OnMessage(now float64, from From) {
	if _, known := c.heard[from]; known || len(c.heard) < most {
		c.heard[from] = now
	}
}

// Size is how many there are, this one included: those that are heard, but never fewer than stated. One that is silent may be cut
// off, and sends as much as any other.
func (c *Estimator[From]) Size(now float64) int {
	if now-c.looked >= look || now < c.looked {
		c.looked = now
		for from, at := range c.heard {
			if now-at >= stale {
				delete(c.heard, from)
			}
		}
	}
	return max(c.stated, len(c.heard)+1)
}
