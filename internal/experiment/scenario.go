// Package experiment plays scenarios: real router processes between emulated cache servers and clients, with faults at
// stated times. It judges the runs by the records of the emulated servers and clients, and compares builds and
// policies.
package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/emulator"
	"bendtrestle/internal/meta"
	"bendtrestle/internal/tiles"
	"bendtrestle/internal/tomlfile"
)

// Scenario is the content of a scenario file. Times are seconds, or milliseconds if the key ends in _ms.
type Scenario struct {
	Name    string       `toml:"name"`
	About   string       `toml:"about"`
	Seconds float64      `toml:"seconds"`
	Settle  float64      `toml:"settle"` // requests due before this time do not count in the figures
	Fleet   FleetPart    `toml:"fleet"`
	Ledger  LedgerPart   `toml:"ledger"`
	List    ListPart     `toml:"list"`
	Routers RoutersPart  `toml:"routers"`
	Clients ClientsPart  `toml:"clients"`
	Rules   RulesPart    `toml:"rules"`
	Types   []TypePart   `toml:"type"`
	Pools   []PoolPart   `toml:"pool"`
	Teams   []TeamPart   `toml:"team"`
	Regions []RegionPart `toml:"region"`
	Broker  BrokerPart   `toml:"broker"`
	Faults  []Fault      `toml:"fault"`
	Control []string     `toml:"control"` // kinds of fault left out of the control run; none: no control run
	file    *tomlfile.File
}

// FleetPart describes the cache servers.
type FleetPart struct {
	Servers       int       `toml:"servers"`
	Zones         int       `toml:"zones"`
	Cell          int       `toml:"cell"`     // servers per cell
	Machines      []string  `toml:"machines"` // machine types, assigned to the servers of a zone in turn
	Cores         int       `toml:"cores"`
	Speed         []float64 `toml:"speed"` // lowest and highest factor on the speed of a server, drawn at random
	Queue         int       `toml:"queue"`
	PerConnection int       `toml:"per_connection"`
	Connections   int       `toml:"connections"`
	HandshakeMS   float64   `toml:"handshake_ms"`
	Idle          float64   `toml:"idle"`
	Keep          int       `toml:"keep"`
	Cancels       bool      `toml:"cancels"`
	Filled        float64   `toml:"filled"` // fraction of the keys, the most popular, that all servers cache at the start
	ColdFrom      float64   `toml:"cold_from"`
	Warm          float64   `toml:"warm"`
}

// LedgerPart describes the origin.
type LedgerPart struct {
	AtOnce   int     `toml:"at_once"`
	TakesMS  float64 `toml:"takes_ms"`
	Multiple float64 `toml:"multiple"`
	Within   float64 `toml:"within"`
	Halt     float64 `toml:"halt"`
}

// ListPart describes the list service.
type ListPart struct {
	Delay   float64 `toml:"delay"`
	Spread  float64 `toml:"spread"`
	Calls   float64 `toml:"calls"`   // a second, accepted from all routers together, which then poll it; 0 for no bound
	Forgets bool    `toml:"forgets"` // the platform's configuration contains no endpoint list for a router that starts
	Within  float64 `toml:"within"`  // seconds within which routers have to poll it, if calls are bounded
}

// RoutersPart describes the routers.
type RoutersPart struct {
	Count    int       `toml:"count"`
	Cores    float64   `toml:"cores"`
	MemoryMB int       `toml:"memory_mb"`
	Sockets  int       `toml:"sockets"`
	Peers    bool      `toml:"peers"`
	Probes   bool      `toml:"probes"`
	Skew     []float64 `toml:"skew"`    // weights of their shares of the requests
	Zones    bool      `toml:"zones"`   // zone failover is on
	Relays   bool      `toml:"relays"`  // all their traffic goes through relays, even if no fault needs relays
	Doors    bool      `toml:"doors"`   // their admin servers are on
	Folders  bool      `toml:"folders"` // each has its own folder that outlives its processes
}

// RegionPart is a region: zones with common dependencies.
type RegionPart struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// ClientsPart describes the clients.
type ClientsPart struct {
	Rate        float64 `toml:"rate"`
	Keys        int     `toml:"keys"`
	Zipf        float64 `toml:"zipf"`
	Retries     int     `toml:"retries"`
	TryShare    float64 `toml:"try_share"`
	PauseMS     float64 `toml:"pause_ms"`
	Honour      float64 `toml:"honour"`
	Impatient   float64 `toml:"impatient"`
	Connections string  `toml:"connections"`
	Most        int     `toml:"most"`
}

// RulesPart has the parameters of the rules.
type RulesPart struct {
	GraceMS        float64 `toml:"grace_ms"`
	Fall           float64 `toml:"fall"`
	Multiple       float64 `toml:"multiple"`
	MostExecutions int     `toml:"most_executions"`
	SecondCopies   bool    `toml:"second_copies"`
	RetryAfter     bool    `toml:"retry_after"`
}

// TypePart is a traffic class.
type TypePart struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	Write      bool    `toml:"write"`
	Effect     string  `toml:"effect"`
	Group      string  `toml:"group"`
	Window     float64 `toml:"window"`
	WorkMS     float64 `toml:"work_ms"`
	Spread     float64 `toml:"spread"`
	Size       int     `toml:"size"`
	PromisedMS float64 `toml:"promised_ms"`
	HardStopMS float64 `toml:"hard_stop_ms"`
	Benefit    float64 `toml:"benefit"`
	Tenant     string  `toml:"tenant"`
	Scheme     string  `toml:"scheme"` // of map tiles: xyz, wmts-kvp or wmts-rest; they need a team with a pool of tile servers

	RunsIn    []string `toml:"runs_in"`    // the only zones (zone-0, zone-1 ...) that it may be sent to (rule 5); all if left out
	AllowedOn []string `toml:"allowed_on"` // the only machine types that it may be sent to; all if left out
}

// BrokerPart describes how the routers apply quotas.
type BrokerPart struct {
	Budgets string `toml:"budgets"` // load, the default: the teams' budgets; none: budgets that no team reaches
	Others  string `toml:"others"`
}

// PoolPart is a pool besides the default one. It has its own cache servers and origin, with the settings of the default
// pool.
type PoolPart struct {
	Name        string  `toml:"name"`
	Servers     int     `toml:"servers"`
	Capacity    float64 `toml:"capacity"`
	Connections float64 `toml:"connections"`
	Scheme      string  `toml:"scheme"` // its servers are tile servers with this URL scheme
}

// TeamPart is a team with its quota. The team's traffic classes are those with its name as their tenant.
type TeamPart struct {
	Name   string   `toml:"name"`
	Pool   string   `toml:"pool"`
	Budget float64  `toml:"budget"`
	Burst  *float64 `toml:"burst"`
	Borrow float64  `toml:"borrow"`
	Weight float64  `toml:"weight"`
}

// Fault is a fault or another event of a scenario.
type Fault struct {
	Kind   string   `toml:"kind"`
	Target string   `toml:"target"`
	Pool   string   `toml:"pool"` // pool of the servers, list or origin; "" for the default pool
	At     float64  `toml:"at"`
	For    float64  `toml:"for"`
	Factor float64  `toml:"factor"` // factor of slow, surge, dear, ledger-slow and contract
	Part   float64  `toml:"part"`   // fraction of the answers, requests or messages
	Drain  float64  `toml:"drain"`  // seconds from draining to removed
	Count  int      `toml:"count"`  // servers that are added; or how many changes old a list is
	Delay  float64  `toml:"delay"`  // seconds
	Rate   float64  `toml:"rate"`   // bytes a second
	From   string   `toml:"from"`   // of faults between processes: the other group; all other processes if left out
	What   []string `toml:"what"`   // of faults between processes: servers, words, list; all if left out
}

// DefaultScenario returns the default values of a scenario.
func DefaultScenario() Scenario {
	return Scenario{
		Seconds: 10, Settle: 1,
		Fleet: FleetPart{Servers: 6, Zones: 2, Cell: 3, Machines: []string{"stand-in"}, Cores: 1, Speed: []float64{1, 1}, Queue: 400, PerConnection: 100,
			Connections: 800, HandshakeMS: 0.5, Idle: 60, Keep: 400, Cancels: true, Filled: 0.2, ColdFrom: 0.35, Warm: 6},
		Ledger:  LedgerPart{AtOnce: 16, TakesMS: 30, Multiple: 3, Within: 3, Halt: 3},
		List:    ListPart{Delay: 0.3, Spread: 0.3, Within: 10},
		Routers: RoutersPart{Count: 2, Cores: 1, MemoryMB: 64, Sockets: 512},
		Clients: ClientsPart{Rate: 200, Keys: 2000, Zipf: 0.9, Retries: 2, TryShare: 0.55, PauseMS: 20, Honour: 0.6,
			Connections: "kept", Most: 120},
		Rules: RulesPart{GraceMS: 500, Fall: 3, Multiple: 4, MostExecutions: 5, SecondCopies: true, RetryAfter: true},
	}
}

// ReadScenario reads and checks a scenario file. Its error lists all mistakes, each with file, line and key.
func ReadScenario(path string) (*Scenario, error) {
	s := DefaultScenario()
	file, err := tomlfile.Read(path, &s)
	if err != nil {
		return nil, err
	}
	s.file = file
	return s.validate()
}

// ParseScenario parses and checks the text of a scenario. Its error lists all mistakes with the given file name.
func ParseScenario(name, text string) (*Scenario, error) {
	s := DefaultScenario()
	file, err := tomlfile.Parse(name, []byte(text), &s)
	if err != nil {
		return nil, err
	}
	s.file = file
	return s.validate()
}

var (
	effects         = map[string]balancer.Idempotency{"reissuable": balancer.Idempotent, "numbered": balancer.IdempotencyKeyed, "at-most-once": balancer.AtMostOnce}
	groups          = map[string]balancer.DeduplicationScope{"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
	platformEffects = map[balancer.Idempotency]string{balancer.Idempotent: "retryable", balancer.IdempotencyKeyed: "dedup", balancer.AtMostOnce: "unsafe"}
)

// checkAbove and checkBetween each report a mistake if x is outside its bounds.
func (s *Scenario) checkAbove(key string, x, least float64) {
	if !(x > least) || math.IsInf(x, 0) {
		s.file.Fault(key, "%v is not above %v", x, least)
	}
}

func (s *Scenario) checkBetween(key string, x, from, to float64) {
	if !(x >= from && x <= to) {
		s.file.Fault(key, "%v is not between %v and %v", x, from, to)
	}
}

func (s *Scenario) validate() (*Scenario, error) {
	if s.Name == "" {
		s.file.Fault("name", "missing")
	}
	s.checkBetween("seconds", s.Seconds, 0.5, 3600)
	s.checkBetween("settle", s.Settle, 0, s.Seconds/2)
	f := &s.Fleet
	s.checkBetween("fleet.servers", float64(f.Servers), 1, 400)
	s.checkBetween("fleet.zones", float64(f.Zones), 1, 50)
	s.checkBetween("fleet.cell", float64(f.Cell), 1, 400)
	s.checkBetween("fleet.cores", float64(f.Cores), 1, 64)
	if len(f.Speed) != 2 || !(f.Speed[0] > 0) || f.Speed[1] < f.Speed[0] {
		s.file.Fault("fleet.speed", "%v is not a lowest and a highest speed above 0", f.Speed)
	}
	if len(f.Machines) == 0 || slices.Contains(f.Machines, "") {
		s.file.Fault("fleet.machines", "%q does not name a machine type for every server", f.Machines)
	}
	s.checkBetween("fleet.queue", float64(f.Queue), 0, 1e6)
	s.checkBetween("fleet.per_connection", float64(f.PerConnection), 1, 1e4)
	s.checkBetween("fleet.connections", float64(f.Connections), 1, 1e5)
	s.checkBetween("fleet.filled", f.Filled, 0, 1)
	s.checkBetween("fleet.cold_from", f.ColdFrom, 0.01, 1)
	s.checkBetween("fleet.warm", f.Warm, 0, 600)
	s.checkBetween("ledger.at_once", float64(s.Ledger.AtOnce), 1, 1e4)
	s.checkAbove("ledger.takes_ms", s.Ledger.TakesMS, 0)
	s.checkBetween("routers.count", float64(s.Routers.Count), 1, 100)
	s.checkAbove("list.within", s.List.Within, 0)
	s.checkBetween("list.calls", s.List.Calls, 0, 1e6)
	s.checkAbove("routers.cores", s.Routers.Cores, 0)
	s.checkBetween("routers.memory_mb", float64(s.Routers.MemoryMB), 32, 1e6)
	s.checkBetween("routers.sockets", float64(s.Routers.Sockets), 64, 1e6)
	s.checkAbove("clients.rate", s.Clients.Rate, 0)
	s.checkBetween("clients.keys", float64(s.Clients.Keys), 1, 1e7)
	s.checkBetween("clients.zipf", s.Clients.Zipf, 0, 3)
	s.checkBetween("clients.retries", float64(s.Clients.Retries), 0, 20)
	s.checkBetween("clients.try_share", s.Clients.TryShare, 0.01, 1)
	s.checkBetween("clients.impatient", s.Clients.Impatient, 0, 1)
	if !slices.Contains([]string{"kept", "new", "once"}, s.Clients.Connections) {
		s.file.Fault("clients.connections", "%q is not kept, new or once", s.Clients.Connections)
	}
	if len(s.Routers.Skew) > 0 && len(s.Routers.Skew) != s.Routers.Count {
		s.file.Fault("routers.skew", "%d weights for %d routers", len(s.Routers.Skew), s.Routers.Count)
	}
	if len(s.Types) == 0 {
		s.file.Fault("type", "none: at least one [[type]] is needed")
	}
	names, zones := map[string]bool{}, s.zoneNames()
	for i, t := range s.Types {
		key := func(k string) string { return fmt.Sprintf("type.%d.%s", i, k) }
		if t.Name == "" || strings.ContainsAny(t.Name, " ,=\r\n") {
			s.file.Fault(key("name"), "%q is not a word without spaces, commas and equals signs", t.Name)
		}
		if names[t.Name] {
			s.file.Fault(key("name"), "%q is there twice", t.Name)
		}
		names[t.Name] = true
		if _, known := effects[t.Effect]; !known {
			s.file.Fault(key("effect"), "%q is not reissuable, numbered or at-most-once", t.Effect)
		}
		if _, known := groups[t.Group]; !known {
			s.file.Fault(key("group"), "%q is not all, zone or cell", t.Group)
		}
		if t.Effect == "numbered" {
			s.checkAbove(key("window"), t.Window, 0)
		}
		s.checkAbove(key("share"), t.Share, 0)
		s.checkAbove(key("work_ms"), t.WorkMS, 0)
		s.checkAbove(key("promised_ms"), t.PromisedMS, 0)
		s.checkAbove(key("benefit"), t.Benefit, 0)
		most := meta.MaxLongValueBytes
		if t.Scheme != "" {
			most = maxTileBytes
		}
		if t.Size < 0 || t.Size > most {
			s.file.Fault(key("size"), "%d bytes are not between 0 and %d", t.Size, most)
		}
		if t.Scheme != "" && !slices.Contains(tiles.Schemes, tiles.Scheme(t.Scheme)) {
			s.file.Fault(key("scheme"), "%q is not xyz, wmts-kvp or wmts-rest", t.Scheme)
		}
		if t.Scheme != "" && (t.Write || t.Effect != "reissuable") {
			s.file.Fault(key("scheme"), "traffic types of map tiles have to be reads and reissuable")
		}
		s.checkPlaces(key("runs_in"), t.RunsIn, zones)
		s.checkPlaces(key("allowed_on"), t.AllowedOn, f.Machines)
		if t.HardStopMS < t.PromisedMS {
			s.file.Fault(key("hard_stop_ms"), "%v is below the promised time, %v", t.HardStopMS, t.PromisedMS)
		}
	}
	s.checkTeams()
	s.checkRegions(zones)
	for i, fault := range s.Faults {
		s.checkFault(fmt.Sprintf("fault.%d", i), fault)
	}
	if err := s.file.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// maxTileBytes is the largest size of a tile in bytes. Routers and emulated servers buffer whole tiles, and map tiles
// are seldom larger.
const maxTileBytes = 60000

// hasLongValues reports whether a class's values are too large to be buffered whole, so that routers stream them.
func (t TypePart) hasLongValues() bool { return t.Size > meta.MaxBufferedValueBytes }

func (s *Scenario) hasLongValues() bool { return slices.ContainsFunc(s.Types, TypePart.hasLongValues) }

// checkPlaces reports names of zones or machine types without servers: requests that are bound to only these could
// never be served.
func (s *Scenario) checkPlaces(key string, named, there []string) {
	if named != nil && len(named) == 0 {
		s.file.Fault(key, "names nothing; leave it out where any will do")
	}
	for _, name := range named {
		if !slices.Contains(there, name) {
			s.file.Fault(key, "%q is not one of %s", name, strings.Join(there, ", "))
		}
	}
}

func (s *Scenario) checkTeams() {
	if !slices.Contains([]string{"", "load", "none"}, s.Broker.Budgets) {
		s.file.Fault("broker.budgets", "%q is not load or none", s.Broker.Budgets)
	}
	if !slices.Contains([]string{"", "platform", "nobody"}, s.Broker.Others) {
		s.file.Fault("broker.others", "%q is not platform or nobody", s.Broker.Others)
	}
	parts := 0.0
	for i, p := range s.Pools {
		key := func(k string) string { return fmt.Sprintf("pool.%d.%s", i, k) }
		if p.Name == "" || s.poolByName(p.Name) != &s.Pools[i] {
			s.file.Fault(key("name"), "%q is empty or there twice", p.Name)
		}
		s.checkBetween(key("servers"), float64(p.Servers), 1, 190)
		s.checkBetween(key("capacity"), p.Capacity, 0, 1e6)
		s.checkBetween(key("connections"), p.Connections, 0.001, 0.9)
		parts += p.Connections
	}
	if parts > 0.9 || len(s.Pools) > 20 {
		s.file.Fault("pool", "%d pools with a fraction of %v of the connections: at most 20 pools with 0.9 are allowed", len(s.Pools), parts)
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		key := func(k string) string { return fmt.Sprintf("team.%d.%s", i, k) }
		if names[t.Name] {
			s.file.Fault(key("name"), "%q is there twice", t.Name)
		}
		names[t.Name] = true
		if t.Pool != "" && s.poolByName(t.Pool) == nil {
			s.file.Fault(key("pool"), "there is no pool %q", t.Pool)
		}
		if !slices.ContainsFunc(s.Types, func(k TypePart) bool { return k.Tenant == t.Name }) {
			s.file.Fault(key("name"), "no traffic type has the tenant %q", t.Name)
		}
		s.checkBetween(key("budget"), t.Budget, 0, 1e6)
		p := s.poolByName(t.Pool)
		for _, k := range s.Types {
			if k.Tenant == t.Name && (k.Scheme != "") != (p != nil && p.Scheme != "") {
				s.file.Fault(key("pool"), "traffic type %q and the pool have to be both for map tiles, or neither", k.Name)
			}
		}
	}
	for i, k := range s.Types {
		if k.Scheme != "" && !slices.ContainsFunc(s.Teams, func(t TeamPart) bool { return t.Name == k.Tenant }) {
			s.file.Fault(fmt.Sprintf("type.%d.tenant", i), "map tiles need a team")
		}
	}
	for _, k := range s.Control {
		if _, known := faultKinds[k]; !known {
			s.file.Fault("control", "%q is not a fault", k)
		}
	}
}

// faultKind describes a kind of fault: its targets and parameters.
type faultKind struct {
	targets         string  // server, router, list, type, team, ledger, part (between processes) or none
	parameter       string  // name of its parameter, or "" for none
	paramMin        float64 // least value of that parameter
	paramMax        float64
	instantAllowed  bool // its duration may be 0: it has no duration, or is permanent
	zeroAllowed     bool // its parameter may be 0
	longValuesOnly  bool // it applies only to values of more than 64 KiB
	secondParameter string
	secondMin       float64 // least value of the second parameter
	secondMax       float64 // and largest value
}

var faultKinds = map[string]faultKind{
	"stall":          {targets: "server"},
	"slow":           {targets: "server", parameter: "factor", paramMin: 1, paramMax: 1000},
	"crash":          {targets: "server"},
	"vanish":         {targets: "server"},
	"restart":        {targets: "server", instantAllowed: true},
	"refuse":         {targets: "server"},
	"reset":          {targets: "server", parameter: "part", paramMin: 0, paramMax: 1},
	"spoil":          {targets: "server", parameter: "part", paramMin: 0, paramMax: 1},
	"error":          {targets: "server", parameter: "part", paramMin: 0, paramMax: 1},
	"drain":          {targets: "server"},
	"deploy":         {targets: "server"},
	"shrink":         {targets: "server"},
	"grow":           {targets: "none", parameter: "count", paramMin: 1, paramMax: 400, instantAllowed: true},
	"ledger-stall":   {targets: "ledger"},
	"ledger-slow":    {targets: "ledger", parameter: "factor", paramMin: 1, paramMax: 1000},
	"list-late":      {targets: "list", parameter: "delay", paramMin: 0, paramMax: 600},
	"list-lag":       {targets: "list"},
	"list-silent":    {targets: "list"},
	"list-refuse":    {targets: "list"},
	"list-old":       {targets: "list", parameter: "count", paramMin: 1, paramMax: 1000},
	"list-move":      {targets: "list", instantAllowed: true},
	"contract":       {targets: "team", parameter: "factor", paramMin: 0, paramMax: 1000, zeroAllowed: true},
	"hot-key":        {targets: "none", parameter: "part", paramMin: 0, paramMax: 1},
	"dear":           {targets: "type", parameter: "factor", paramMin: 0, paramMax: 1000},
	"surge":          {targets: "type", parameter: "factor", paramMin: 0, paramMax: 1000},
	"router-kill":    {targets: "router"},
	"router-restart": {targets: "router", instantAllowed: true},
	"router-stop":    {targets: "router"},
	"state-lost":     {targets: "router", instantAllowed: true},
	"state-old":      {targets: "router"},
	"state-damaged":  {targets: "router", instantAllowed: true},
	"part":           {targets: "part"},
	"part-one-way":   {targets: "part"},
	"conns-late":     {targets: "part", parameter: "delay", paramMin: 0, paramMax: 60},
	"conns-reset":    {targets: "part", instantAllowed: true},
	"words-lose":     {targets: "part", parameter: "part", paramMin: 0, paramMax: 1},
	"words-late":     {targets: "part", parameter: "delay", paramMin: 0, paramMax: 600},
	"words-double":   {targets: "part", parameter: "part", paramMin: 0, paramMax: 1},
	"close-behind":   {targets: "server", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
	"reset-behind":   {targets: "server", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
	"break-off":      {targets: "server", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
	"reset-under":    {targets: "server", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
	"cease":          {targets: "server", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
	"read-slow":      {targets: "none", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true, secondParameter: "rate", secondMin: minReadRate, secondMax: 1e9},
	"read-pause":     {targets: "none", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true, secondParameter: "delay", secondMin: 0, secondMax: maxReadPause},
	"read-leave":     {targets: "none", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
}

const (
	minReadRate      = 200_000 // bytes a second: the longest value takes 21 s, and a router that shuts down allows it 30 s
	maxReadPause     = 8       // seconds: a router closes the connection of a client that reads nothing for 10 s
	longValueSeconds = 30      // seconds for which a long value may continue after the longest deadline
)

// FaultKinds returns the names of all kinds of fault.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }

func (s *Scenario) checkFault(key string, f Fault) {
	k, known := faultKinds[f.Kind]
	if !known {
		s.file.Fault(key+".kind", "%q is not a fault; there are %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	switch {
	case !(f.At >= 0):
		s.file.Fault(key+".at", "%v is below 0", f.At)
	case f.At >= s.Seconds:
		s.file.Fault(key+".at", "%v is past the end, %v", f.At, s.Seconds)
	case f.For < 0 || f.For == 0 && !k.instantAllowed:
		s.file.Fault(key+".for", "%v is not above 0", f.For)
	case f.At+f.For > s.Seconds:
		s.file.Fault(key+".for", "it ends at %v, past the end, %v", f.At+f.For, s.Seconds)
	}
	figures := map[string]float64{"factor": f.Factor, "part": f.Part, "count": float64(f.Count), "delay": f.Delay, "rate": f.Rate}
	for _, name := range []string{"factor", "part", "count", "delay", "rate"} {
		paramMin, paramMax := k.paramMin, k.paramMax
		if name == k.secondParameter {
			paramMin, paramMax = k.secondMin, k.secondMax
		}
		if x := figures[name]; (name == k.parameter || name == k.secondParameter) && !((x > 0 || k.zeroAllowed) && x >= paramMin && x <= paramMax) {
			s.file.Fault(key+"."+name, "%v is not above 0 and between %v and %v", x, paramMin, paramMax)
		} else if name != k.parameter && name != k.secondParameter && x != 0 {
			s.file.Fault(key+"."+name, "%s has no such parameter", f.Kind)
		}
	}
	if k.targets == "part" {
		s.checkPart(key, f)
		return
	} else if f.From != "" || f.What != nil {
		s.file.Fault(key+".from", "%s has neither from nor what", f.Kind)
	}
	if k.longValuesOnly && !s.hasLongValues() {
		s.file.Fault(key+".kind", "%s needs a type whose size is above %d", f.Kind, meta.MaxBufferedValueBytes)
	}
	if strings.HasPrefix(f.Kind, "state-") && !s.Routers.Folders {
		s.file.Fault(key+".kind", "%s needs routers.folders", f.Kind)
	}
	if f.Pool != "" && (!slices.Contains([]string{"server", "list", "ledger"}, k.targets) && f.Kind != "grow" || s.poolByName(f.Pool) == nil) {
		s.file.Fault(key+".pool", "%q is not a pool, or this kind of fault has no pool", f.Pool)
		return
	}
	if err := s.checkTarget(k.targets, f.Target, f.Pool); err != nil {
		s.file.Fault(key+".target", "%v", err)
	}
}

// target selects what a fault applies to: one by number, several at random, or all.
type target struct {
	what   string   // server, router, list, type, tenant
	number int      // number of the one selected, else -1
	count  int      // how many are drawn at random
	name   string   // name of a type, tenant or team
	zones  []string // zones whose servers are selected
}

func (s *Scenario) checkTarget(on, text, pool string) error {
	if on == "none" || on == "ledger" {
		if text != "" {
			return fmt.Errorf("%q: this kind of fault has no target", text)
		}
		return nil
	}
	_, err := s.parseTarget(on, text, pool)
	return err
}

// poolByName returns the settings of a pool, or nil if there is none with that name.
func (s *Scenario) poolByName(name string) *PoolPart {
	if i := slices.IndexFunc(s.Pools, func(p PoolPart) bool { return p.Name == name }); i >= 0 {
		return &s.Pools[i]
	}
	return nil
}

func (s *Scenario) parseTarget(on, text, pool string) (target, error) {
	servers := s.Fleet.Servers
	if p := s.poolByName(pool); p != nil {
		servers = p.Servers
	}
	most := map[string]int{"server": servers, "router": s.Routers.Count, "list": s.Routers.Count}[on]
	what, of, _ := strings.Cut(text, ":")
	t := target{what: on, number: -1, count: most}
	number := func(least, most int) (int, error) {
		n, err := strconv.Atoi(of)
		if err != nil || n < least || n > most {
			return 0, fmt.Errorf("%q: %q is not a number from %d to %d", text, of, least, most)
		}
		return n, nil
	}
	var err error
	switch {
	case on == "team":
		t.name = of
		if what != "team" || !slices.ContainsFunc(s.Teams, func(p TeamPart) bool { return p.Name == of }) {
			err = fmt.Errorf("%q is not team:NAME of a team", text)
		}
	case on == "type" && text == "":
	case on == "type" && (what == "type" || what == "tenant"):
		t.what, t.name = what, of
		if !slices.ContainsFunc(s.Types, func(p TypePart) bool {
			return what == "type" && p.Name == of || what == "tenant" && p.Tenant == of && of != ""
		}) {
			err = fmt.Errorf("%q: there is no such %s", text, what)
		}
	case on == "type":
		err = fmt.Errorf("%q is not type:NAME, tenant:NAME or empty for all", text)
	case on == "server" && (what == "zone" || what == "region") && pool == "":
		if t.zones, err = s.zonesOf(what, of); err != nil {
			err = fmt.Errorf("%q: %w", text, err)
		}
	case text == on+"s" || on == "list" && text == "":
	case what == on:
		t.number, err = number(0, most-1)
	case what == on+"s" && strings.HasSuffix(of, "%"):
		of = strings.TrimSuffix(of, "%")
		var n int
		n, err = number(1, 100)
		t.count = max(1, int(math.Round(float64(most*n)/100)))
	case what == on+"s":
		t.count, err = number(1, most)
	default:
		err = fmt.Errorf("%q is not %s:NUMBER, %ss:COUNT, %ss:PART%% or %ss for all", text, on, on, on, on)
	}
	return t, err
}

// trafficClasses returns the traffic classes as the emulator's settings.
func (s *Scenario) trafficClasses() (all []*emulator.TrafficType) {
	for _, t := range s.Types {
		all = append(all, &emulator.TrafficType{Name: t.Name, Share: t.Share, Write: t.Write, Idempotency: effects[t.Effect],
			DeduplicationScope: groups[t.Group], Window: t.Window, Work: t.WorkMS / 1e3, Spread: t.Spread, Size: t.Size,
			LatencyObjective: t.PromisedMS / 1e3, Deadline: t.HardStopMS / 1e3, Benefit: t.Benefit, Tenant: t.Tenant, Scheme: tiles.Scheme(t.Scheme),
			RunsIn: t.RunsIn, AllowedOn: t.AllowedOn})
	}
	return all
}
