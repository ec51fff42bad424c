package operatorconfig

import "fmt"

// Recovery says whether a router keeps a snapshot in its folder, of what helps its next process.
type Recovery struct {
	On bool `toml:"on"`
}

// Gossip says whether what routers tell each other of cache servers goes through the fleet by a few of them, instead
// of from each to all.
type Gossip struct {
	On             bool    `toml:"on"`
	BytesPerSecond float64 `toml:"bytes_per_second"` // in and out, with headers
}

// Bounds of Gossip.BytesPerSecond. With less gossip is not known to work; with more nothing is gained, since all is
// told as often as it is summed up.
const (
	defaultGossipBytes = 7000
	minGossipBytes     = 7000
	maxGossipBytes     = 70000
)

func (f *File) checkGossip() {
	const key = "gossip.bytes_per_second"
	bytes := f.Gossip.BytesPerSecond
	if !(bytes >= minGossipBytes && bytes <= maxGossipBytes) { // also for NaN
		want := fmt.Sprintf("from %v to %v, bytes of a router in and out, with headers", minGossipBytes, maxGossipBytes)
		f.toml.Want(key, bytes, want)
	}
	if !f.Gossip.On && f.toml.Has(key) {
		f.toml.Fault(key, "it does nothing while gossip.on is false")
	}
}

// Cold says up to how many routers share the slow-start budget of a server that is warming up. With more of them each
// keeps a request for the server, so that it is used as its budget allows; a demand that comes from all at once may
// then be too much for it.
type Cold struct {
	Routers int `toml:"routers"`
}

const (
	defaultSlowStartRouters = 64     // beyond it servers that start are used far less than they bear (docs/design.md)
	maxSlowStartRouters     = 100000 // more than any fleet has
)

func (f *File) checkSlowStart() {
	routers := f.Cold.Routers
	if routers < 1 || routers > maxSlowStartRouters {
		f.toml.Want("cold.routers", routers, fmt.Sprintf("from 1 to %v, a number of routers", maxSlowStartRouters))
	}
}
