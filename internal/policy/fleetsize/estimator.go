package fleetsize

const (
	// silenceTimeout is the time in seconds after which a silent router is no longer counted. Routers that send
	// messages send one each second or two. A longer timeout counts stopped routers, a shorter one drops routers whose
	// messages are lost.
	silenceTimeout = 10.0
	// maxRouters bounds the stored senders. It is several times the largest fleet; more senders than that can't be
	// genuine.
	maxRouters = 4096
	// expiryInterval is the time in seconds between two searches for silent routers.
	expiryInterval = 1.0
)

// Estimator is one router's estimate of the fleet size. Address identifies the other routers.
type Estimator[Address comparable] struct {
	configured int
	lastHeard  map[Address]float64 // when each other router was last heard from
	lastExpiry float64
}

// New returns an Estimator for a configured fleet size; values below 1 count as 1.
func New[Address comparable](configured int) *Estimator[Address] {
	return &Estimator[Address]{configured: max(1, configured), lastHeard: map[Address]float64{}}
}

// OnMessage handles a message from another router.
func (e *Estimator[Address]) OnMessage(now float64, from Address) {
	_, known := e.lastHeard[from]
	if known || len(e.lastHeard) < maxRouters {
		e.lastHeard[from] = now
	}
}

// Size returns the number of routers, including this one: the routers heard from, but at least the configured number. A
// silent router may only be cut off from this one, and sends as many requests to the servers as any other.
func (e *Estimator[Address]) Size(now float64) int {
	if now-e.lastExpiry >= expiryInterval || now < e.lastExpiry {
		e.expire(now)
	}
	return max(e.configured, len(e.lastHeard)+1)
}

// expire removes the routers that have been silent for silenceTimeout.
func (e *Estimator[Address]) expire(now float64) {
	e.lastExpiry = now
	for from, at := range e.lastHeard {
		if now-at >= silenceTimeout {
			delete(e.lastHeard, from)
		}
	}
}
