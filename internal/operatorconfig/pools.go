package operatorconfig

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/tiles"
)

// Pool is a set of servers besides the platform's. What it does not say is as the platform's.
type Pool struct {
	Name             string   `toml:"name"`
	Discovery        string   `toml:"discovery"`   // its list service
	Capacity         float64  `toml:"capacity"`    // seconds of load a second, over all routers; 0: not stated
	Connections      float64  `toml:"connections"` // its part of the connections to servers
	MostExecutions   *int     `toml:"most_executions"`
	SecondCopies     *bool    `toml:"second_copies"`
	Cancelling       *bool    `toml:"cancelling"`
	ConnectTimeoutMS *float64 `toml:"connect_timeout_ms"`
	Idle             *float64 `toml:"idle"` // seconds
	PerConnection    *int     `toml:"per_connection"`
	ColdFrom         *float64 `toml:"cold_from"`
	Warm             *float64 `toml:"warm"` // seconds
	Fall             *float64 `toml:"fall"` // seconds
	Multiple         *float64 `toml:"multiple"`

	Protocol  string   `toml:"protocol"`   // memcache, and the default; or tiles
	Scheme    string   `toml:"scheme"`     // how tile servers are asked: xyz, wmts-kvp, wmts-rest
	Host      string   `toml:"host"`       // that requests to tile servers name
	Probe     string   `toml:"probe"`      // a path at which a tile server tells that it is there
	LargestKB int      `toml:"largest_kb"` // of a tile
	StallMS   *float64 `toml:"stall_ms"`   // a reply that has begun and gets no further byte for so long will not go on
}

const (
	protocolMemcache = "memcache"
	protocolTiles    = "tiles"

	maxTileKB              = 16 << 10
	maxConnectionsFraction = 0.9 // of all pools together: the platform's pool needs some
	tileStallTimeout       = 1.0 // seconds; tiles are larger than values, and may be made as they are sent
)

// checkedPools is what checks of teams need to know of the pools.
type checkedPools struct {
	capacity map[string]float64 // by name; that of the platform's pool, "", is not stated
	tiles    map[string]bool    // by name
}

func (f *File) checkPools() checkedPools {
	pools := checkedPools{capacity: map[string]float64{"": 0}, tiles: map[string]bool{}}
	connections := 0.0
	for i, pool := range f.Pools {
		key := keyIn("pool.%d", i)
		f.checkName(key("name"), pool.Name)
		_, twice := pools.capacity[pool.Name]
		if twice && pool.Name != "" {
			f.toml.Fault(key("name"), "%q is there twice", pool.Name)
		}
		pools.capacity[pool.Name] = pool.Capacity
		pools.tiles[pool.Name] = pool.Protocol == protocolTiles
		connections += pool.Connections
		f.checkPool(key, pool)
	}
	if connections > maxConnectionsFraction {
		f.toml.Fault("pool", "together they have %v of the connections, more than 0.9: the platform's pool needs some",
			connections)
	}
	return pools
}

func (f *File) checkPool(key func(string) string, pool Pool) {
	f.checkAddress(key("discovery"), pool.Discovery)
	f.checkNotNegative(key("capacity"), pool.Capacity)
	if pool.Protocol != "" {
		f.checkOneOf(key("protocol"), pool.Protocol, protocolMemcache, protocolTiles)
	}
	if pool.Scheme != "" && !slices.Contains(tiles.Schemes, tiles.Scheme(pool.Scheme)) {
		f.toml.Want(key("scheme"), pool.Scheme, "one of xyz, wmts-kvp, wmts-rest")
	}
	if pool.Probe != "" && (pool.Probe[0] != '/' || strings.ContainsAny(pool.Probe, " \r\n")) {
		f.toml.Want(key("probe"), pool.Probe, "a path")
	}
	if strings.ContainsAny(pool.Host, " /\r\n") {
		f.toml.Want(key("host"), pool.Host, "a host")
	}
	if pool.LargestKB < 0 || pool.LargestKB > maxTileKB {
		f.toml.Want(key("largest_kb"), pool.LargestKB, fmt.Sprintf("between 0 and %d", maxTileKB))
	}
	if !(pool.Connections > 0 && pool.Connections <= maxConnectionsFraction) { // also for NaN
		f.toml.Want(key("connections"), pool.Connections, "above 0 and at most 0.9 of all")
	}
	f.checkOptionalPositive(key("connect_timeout_ms"), pool.ConnectTimeoutMS)
	f.checkOptionalPositive(key("stall_ms"), pool.StallMS)
	f.checkOptionalPositive(key("idle"), pool.Idle)
	f.checkOptionalPositive(key("warm"), pool.Warm)
	f.checkOptionalPositive(key("fall"), pool.Fall)
	f.checkOptionalPositive(key("multiple"), pool.Multiple)
	f.checkOptionalPositive(key("cold_from"), pool.ColdFrom)
	f.checkOptionalCount(key("most_executions"), pool.MostExecutions)
	f.checkOptionalCount(key("per_connection"), pool.PerConnection)
}

func (f *File) checkOptionalPositive(key string, value *float64) {
	if value != nil {
		f.checkPositive(key, *value)
	}
}

func (f *File) checkOptionalCount(key string, value *int) {
	if value != nil && *value < 1 {
		f.toml.Want(key, *value, "above 0")
	}
}

// Settings returns the balancer's settings for a pool: the platform's, but for what the pool says.
func (p Pool) Settings(platform balancer.Settings) balancer.Settings {
	settings := platform
	settings.TrafficClasses = nil
	settings.Tenants = nil
	settings.RetryBudgetPerTenant = true
	settings.GossipAllowed = false
	settings.PollEndpoints = false
	settings.OrderedConnections = false
	override(&settings.MaxAttempts, p.MostExecutions)
	override(&settings.HedgingAllowed, p.SecondCopies)
	override(&settings.CancellationAllowed, p.Cancelling)
	override(&settings.WarmupStartCapacity, p.ColdFrom)
	override(&settings.WarmupDuration, p.Warm)
	override(&settings.OverloadWindow, p.Fall)
	override(&settings.OverloadFactor, p.Multiple)
	return settings
}

// override sets a value to what the file says, if it says it.
func override[T any](value *T, stated *T) {
	if stated != nil {
		*value = *stated
	}
}

// ConnectTimeout returns the seconds for a connection to come up; platform is the platform's.
func (p Pool) ConnectTimeout(platform float64) float64 {
	if p.ConnectTimeoutMS != nil {
		return *p.ConnectTimeoutMS / 1e3
	}
	return platform
}

// IdleTimeout returns the seconds after which its servers close an idle connection; platform is the platform's.
func (p Pool) IdleTimeout(platform float64) float64 {
	override(&platform, p.Idle)
	return platform
}

// StallTimeout returns the seconds that a reply that has begun may stand still; platform is what suits the platform's
// protocol.
func (p Pool) StallTimeout(platform float64) float64 {
	if p.StallMS != nil {
		return *p.StallMS / 1e3
	}
	if p.Protocol == protocolTiles {
		return tileStallTimeout
	}
	return platform
}

// AttemptsPerConnection returns how many attempts a connection to its servers carries at once; platform is the
// platform's.
func (p Pool) AttemptsPerConnection(platform int) int {
	if p.Protocol == protocolTiles {
		return 1 // a tile behind another would wait for it
	}
	override(&platform, p.PerConnection)
	return platform
}
