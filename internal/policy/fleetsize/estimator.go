package fleetsize

const (
	// silenceTimeout is the time in seconds after which a silent router counts no more. Routers that have something
	// to say say it each second or two: longer counts routers that have gone, shorter drops those whose messages are
	// lost.
	silenceTimeout = 10.0
	// maxRouters bounds the other routers that are kept, several times the largest fleet: whoever claims to be more
	// lies.
	maxRouters = 4096
	// expiryInterval is the time in seconds between two looks at who is silent.
	expiryInterval = 1.0
)

// Estimator is one router's view of how many there are. Address tells the others apart.
type Estimator[Address comparable] struct {
	configured int
	lastHeard  map[Address]float64 // of each of the others
	lastExpiry float64
}

// New makes an Estimator for a fleet that has so many routers by its settings; values below 1 count as 1.
func New[Address comparable](configured int) *Estimator[Address] {
	return &Estimator[Address]{configured: max(1, configured), lastHeard: map[Address]float64{}}
}

// OnMessage handles that another router was heard.
func (e *Estimator[Address]) OnMessage(now float64, from Address) {
	_, known := e.lastHeard[from]
	if known || len(e.lastHeard) < maxRouters {
		e.lastHeard[from] = now
	}
}

// Size is how many routers there are, this one included: those that are heard, but never fewer than configured, as
// one that is silent may be cut off, and sends as much as any other.
func (e *Estimator[Address]) Size(now float64) int {
	if now-e.lastExpiry >= expiryInterval || now < e.lastExpiry {
		e.expire(now)
	}
	return max(e.configured, len(e.lastHeard)+1)
}

// expire forgets the routers that are silent.
func (e *Estimator[Address]) expire(now float64) {
	e.lastExpiry = now
	for from, at := range e.lastHeard {
		if now-at >= silenceTimeout {
			delete(e.lastHeard, from)
		}
	}
}
