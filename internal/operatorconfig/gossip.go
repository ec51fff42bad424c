package operatorconfig

// Gossip says whether what routers tell each other of cache servers goes through the fleet by a few of them instead of from each to all.
type Gossip struct {
	On             bool    `toml:"on"`
	BytesPerSecond float64 `toml:"bytes_per_second"` // in and out, with headers
}

const (
	usualBytes = 7000  // what operators allow a router for control
	leastBytes = 7000  // with less it was not tried
	mostBytes  = 70000 // more buys nothing: all is told as often as it is summed up
)

// checkGossip tells every fault of it.
func (f *File) checkGossip() {
	if b := f.Gossip.BytesPerSecond; !(b >= leastBytes && b <= mostBytes) {
		f.from.Fault("gossip.bytes_per_second", "%v is not from %v to %v, bytes of a router in and out, with headers", b, leastBytes, mostBytes)
	}
	if !f.Gossip.On && f.from.Has("gossip.bytes_per_second") {
		f.from.Fault("gossip.bytes_per_second", "it does nothing while gossip.on is false")
	}
}
