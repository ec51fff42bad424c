package operatorconfig

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/tiles"
)

// Pool is a set of servers besides the platform's. For a key that is left out, the platform's setting applies.
type Pool struct {
	Name             string   `toml:"name"`
	Discovery        string   `toml:"discovery"`   // address of its list service
	Capacity         float64  `toml:"capacity"`    // seconds of load a second, over all routers; 0: not stated
	Connections      float64  `toml:"connections"` // its fraction of the connections to servers
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

	Protocol  string   `toml:"protocol"`   // memcache (the default) or tiles
	Scheme    string   `toml:"scheme"`     // form of the URLs at tile servers: xyz, wmts-kvp, wmts-rest
	Host      string   `toml:"host"`       // in the Host header of requests to tile servers
	Probe     string   `toml:"probe"`      // path for health checks of tile servers
	LargestKB int      `toml:"largest_kb"` // largest size of a tile
	StallMS   *float64 `toml:"stall_ms"`   // time without a further byte after which a reply that has begun is given up
}

const (
	protocolMemcache = "memcache"
	protocolTiles    = "tiles"

	maxTileKB              = 16 << 10
	maxConnectionsFraction = 0.9 // of all connections, for all pools together; the rest is for the platform's pool
	tileStallTimeout       = 1.0 // seconds; tiles are larger than values, and a server may render them while it sends them
)

// checkedPools holds the properties of pools that the checks of teams need.
type checkedPools struct {
	capacity map[string]float64 // by name; 0 for the platform's pool, "", whose capacity is not stated
	tiles    map[string]bool    // by name; whether the protocol is tiles
}

func (f *File) checkPools() checkedPools {
	pools := checkedPools{capacity: map[string]float64{"": 0}, tiles: map[string]bool{}}
	connections := 0.0
	for i, pool := range f.Pools {
		key := keyIn("pool.%d", i)
		f.checkName(key("name"), pool.Name)
		_, duplicate := pools.capacity[pool.Name]
		if duplicate && pool.Name != "" {
			f.toml.Fault(key("name"), "duplicate name %q", pool.Name)
		}
		pools.capacity[pool.Name] = pool.Capacity
		pools.tiles[pool.Name] = pool.Protocol == protocolTiles
		connections += pool.Connections
		f.checkPool(key, pool)
	}
	if connections > maxConnectionsFraction {
		f.toml.Fault("pool",
			"the pools have %v of the connections together, more than 0.9; the platform's pool needs the rest", connections)
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

// Settings returns the balancer's settings for a pool: the platform's settings, overridden by the keys of the pool. The
// pool's traffic classes come from its teams.
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

// override replaces a value by that of the file, if the file has one.
func override[T any](value *T, stated *T) {
	if stated != nil {
		*value = *stated
	}
}

// ConnectTimeout returns the time to establish a connection, in seconds; platform is the platform's setting.
func (p Pool) ConnectTimeout(platform float64) float64 {
	if p.ConnectTimeoutMS != nil {
		return *p.ConnectTimeoutMS / 1e3
	}
	return platform
}

// IdleTimeout returns the time after which the pool's servers close an idle connection, in seconds; platform is the
// platform's setting.
func (p Pool) IdleTimeout(platform float64) float64 {
	override(&platform, p.Idle)
	return platform
}

// StallTimeout returns the time without a further byte after which a reply that has begun is given up, in seconds;
// platform is the time for the platform's protocol.
func (p Pool) StallTimeout(platform float64) float64 {
	if p.StallMS != nil {
		return *p.StallMS / 1e3
	}
	if p.Protocol == protocolTiles {
		return tileStallTimeout
	}
	return platform
}

// AttemptsPerConnection returns how many attempts a connection to the pool's servers carries at the same time; platform
// is the platform's setting.
func (p Pool) AttemptsPerConnection(platform int) int {
	if p.Protocol == protocolTiles {
		return 1 // a second tile on the connection would wait for the first
	}
	override(&platform, p.PerConnection)
	return platform
}
