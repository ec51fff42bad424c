package operatorconfig

import "fmt"

// Recovery switches on the snapshot, in which a router saves state for its next process.
type Recovery struct {
	On bool `toml:"on"`
}

// Gossip switches on package gossip, in which a few routers collect and spread the observations of a cache server.
// Without it each router sends its observations to all other routers.
type Gossip struct {
	On             bool    `toml:"on"`
	BytesPerSecond float64 `toml:"bytes_per_second"` // bytes a second that a router sends and receives, with headers
}

// Default and bounds of Gossip.BytesPerSecond. Gossip is not known to work with less than the minimum. More than the
// maximum has no benefit, because every summary is then sent as often as it is computed.
const (
	defaultGossipBytes = 7000
	minGossipBytes     = 7000
	maxGossipBytes     = 70000
)

func (f *File) checkGossip() {
	const key = "gossip.bytes_per_second"
	bytes := f.Gossip.BytesPerSecond
	if !(bytes >= minGossipBytes && bytes <= maxGossipBytes) { // also for NaN
		want := fmt.Sprintf("from %v to %v bytes per second, sent and received by a router, with headers",
			minGossipBytes, maxGossipBytes)
		f.toml.Want(key, bytes, want)
	}
	if !f.Gossip.On && f.toml.Has(key) {
		f.toml.Fault(key, "has no effect while gossip.on is false")
	}
}

// Cold sets the number of routers up to which a fleet shares the slow-start budget of a server that is warming up. In a
// larger fleet each router may hold the budget of one request unused, so that the whole budget can be used. If all
// routers then send that request at the same time, they can overload the server.
type Cold struct {
	Routers int `toml:"routers"`
}

const (
	defaultSlowStartRouters = 64     // above it, servers that warm up are used far below their capacity (docs/design.md)
	maxSlowStartRouters     = 100000 // more than the routers of any fleet
)

func (f *File) checkSlowStart() {
	routers := f.Cold.Routers
	if routers < 1 || routers > maxSlowStartRouters {
		f.toml.Want("cold.routers", routers, fmt.Sprintf("from 1 to %v routers", maxSlowStartRouters))
	}
}
