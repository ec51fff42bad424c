// Package experiment plays scenarios: stand-ins, real router processes and clients, with faults at stated times. It judges what
// happened by the stand-ins' own records, and sets builds and policies side by side.
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

// Scenario is a file that says what is played. Times are seconds, or milliseconds where the key ends in _ms.
type Scenario struct {
	Name    string       `toml:"name"`
	About   string       `toml:"about"`
	Seconds float64      `toml:"seconds"`
	Settle  float64      `toml:"settle"` // before its figures count
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
	Control []string     `toml:"control"` // kinds of fault without which it is played as well, to compare
	file    *tomlfile.File
}

// FleetPart describes the cache servers.
type FleetPart struct {
	Servers       int       `toml:"servers"`
	Zones         int       `toml:"zones"`
	Cell          int       `toml:"cell"`     // servers of one cell
	Machines      []string  `toml:"machines"` // kinds, given to the servers of a zone in turn
	Cores         int       `toml:"cores"`
	Speed         []float64 `toml:"speed"` // from, to
	Queue         int       `toml:"queue"`
	PerConnection int       `toml:"per_connection"`
	Connections   int       `toml:"connections"`
	HandshakeMS   float64   `toml:"handshake_ms"`
	Idle          float64   `toml:"idle"`
	Keep          int       `toml:"keep"`
	Cancels       bool      `toml:"cancels"`
	Filled        float64   `toml:"filled"` // part of the keys that all hold at the start, the most popular first
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
	Calls   float64 `toml:"calls"`   // that it takes a second from all routers together, which then have to ask it; 0: any number
	Forgets bool    `toml:"forgets"` // the platform gives a router that starts no list
	Within  float64 `toml:"within"`  // seconds within which it wants to be asked, where it is bounded
}

// RoutersPart describes the routers.
type RoutersPart struct {
	Count    int       `toml:"count"`
	Cores    float64   `toml:"cores"`
	MemoryMB int       `toml:"memory_mb"`
	Sockets  int       `toml:"sockets"`
	Peers    bool      `toml:"peers"`
	Probes   bool      `toml:"probes"`
	Skew     []float64 `toml:"skew"`    // their parts of the arrivals, as weights
	Zones    bool      `toml:"zones"`   // they leave zones and return to them as one
	Relays   bool      `toml:"relays"`  // relays stand between them and all else, also without a fault that needs them
	Doors    bool      `toml:"doors"`   // the operators' doors are open
	Folders  bool      `toml:"folders"` // each has a folder of its own that outlives its processes
}

// RegionPart is zones that share what they depend on.
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

// RulesPart is the rules' figures.
type RulesPart struct {
	GraceMS        float64 `toml:"grace_ms"`
	Fall           float64 `toml:"fall"`
	Multiple       float64 `toml:"multiple"`
	MostExecutions int     `toml:"most_executions"`
	SecondCopies   bool    `toml:"second_copies"`
	RetryAfter     bool    `toml:"retry_after"`
}

// TypePart is a traffic type.
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
	Scheme     string  `toml:"scheme"` // xyz, wmts-kvp, wmts-rest: it is map tiles, of a team with a pool of tile servers

	RunsIn    []string `toml:"runs_in"`    // zones, zone-0 and on, to which alone it may be sent (rule 5); left out: all
	AllowedOn []string `toml:"allowed_on"` // kinds of machine, likewise
}

// BrokerPart says what the routers do with contracts.
type BrokerPart struct {
	Budgets string `toml:"budgets"` // load: as the product has them, and the default; none: nobody comes near one
	Others  string `toml:"others"`
}

// PoolPart is a pool besides the usual one, with a fleet and an origin of its own, described as the usual one is.
type PoolPart struct {
	Name        string  `toml:"name"`
	Servers     int     `toml:"servers"`
	Capacity    float64 `toml:"capacity"`
	Connections float64 `toml:"connections"`
	Scheme      string  `toml:"scheme"` // its servers are tile servers, asked so
}

// TeamPart is a contract. The team's traffic types are those that name it as their tenant.
type TeamPart struct {
	Name   string   `toml:"name"`
	Pool   string   `toml:"pool"`
	Budget float64  `toml:"budget"`
	Burst  *float64 `toml:"burst"`
	Borrow float64  `toml:"borrow"`
	Weight float64  `toml:"weight"`
}

// Fault is something that happens.
type Fault struct {
	Kind   string   `toml:"kind"`
	Target string   `toml:"target"`
	Pool   string   `toml:"pool"` // whose servers, list or origin; "": the usual one's
	At     float64  `toml:"at"`
	For    float64  `toml:"for"`
	Factor float64  `toml:"factor"` // of slow and surge
	Part   float64  `toml:"part"`   // of answers, or of arrivals
	Drain  float64  `toml:"drain"`  // seconds from draining to gone
	Count  int      `toml:"count"`  // servers that come; changes ago
	Delay  float64  `toml:"delay"`  // seconds
	Rate   float64  `toml:"rate"`   // bytes a second
	From   string   `toml:"from"`   // of a part: the other group; left out: the rest
	What   []string `toml:"what"`   // of a part: servers, words, list; left out: all
}

// Usual is what a scenario has where its file says nothing.
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

// ReadScenario reads and checks a file. All faults are told at once, by file, line and key.
func ReadScenario(path string) (*Scenario, error) {
	s := DefaultScenario()
	file, err := tomlfile.Read(path, &s)
	if err != nil {
		return nil, err
	}
	s.file = file
	return s.checked()
}

// ParseScenario reads a scenario from a text.
func ParseScenario(name, text string) (*Scenario, error) {
	s := DefaultScenario()
	file, err := tomlfile.Parse(name, []byte(text), &s)
	if err != nil {
		return nil, err
	}
	s.file = file
	return s.checked()
}

var (
	effects = map[string]balancer.Idempotency{"reissuable": balancer.Idempotent, "numbered": balancer.IdempotencyKeyed, "at-most-once": balancer.AtMostOnce}
	groups  = map[string]balancer.DeduplicationScope{"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
	wire    = map[balancer.Idempotency]string{balancer.Idempotent: "retryable", balancer.IdempotencyKeyed: "dedup", balancer.AtMostOnce: "unsafe"}
)

// above and part check one figure.
func (s *Scenario) above(key string, x, least float64) {
	if !(x > least) || math.IsInf(x, 0) {
		s.file.Fault(key, "%v is not above %v", x, least)
	}
}

func (s *Scenario) within(key string, x, from, to float64) {
	if !(x >= from && x <= to) {
		s.file.Fault(key, "%v is not between %v and %v", x, from, to)
	}
}

func (s *Scenario) checked() (*Scenario, error) {
	if s.Name == "" {
		s.file.Fault("name", "missing")
	}
	s.within("seconds", s.Seconds, 0.5, 3600)
	s.within("settle", s.Settle, 0, s.Seconds/2)
	f := &s.Fleet
	s.within("fleet.servers", float64(f.Servers), 1, 400)
	s.within("fleet.zones", float64(f.Zones), 1, 50)
	s.within("fleet.cell", float64(f.Cell), 1, 400)
	s.within("fleet.cores", float64(f.Cores), 1, 64)
	if len(f.Speed) != 2 || !(f.Speed[0] > 0) || f.Speed[1] < f.Speed[0] {
		s.file.Fault("fleet.speed", "%v is not a least and a largest speed above 0", f.Speed)
	}
	if len(f.Machines) == 0 || slices.Contains(f.Machines, "") {
		s.file.Fault("fleet.machines", "%q does not name a kind for every server", f.Machines)
	}
	s.within("fleet.queue", float64(f.Queue), 0, 1e6)
	s.within("fleet.per_connection", float64(f.PerConnection), 1, 1e4)
	s.within("fleet.connections", float64(f.Connections), 1, 1e5)
	s.within("fleet.filled", f.Filled, 0, 1)
	s.within("fleet.cold_from", f.ColdFrom, 0.01, 1)
	s.within("fleet.warm", f.Warm, 0, 600)
	s.within("ledger.at_once", float64(s.Ledger.AtOnce), 1, 1e4)
	s.above("ledger.takes_ms", s.Ledger.TakesMS, 0)
	s.within("routers.count", float64(s.Routers.Count), 1, 100)
	s.above("list.within", s.List.Within, 0)
	s.within("list.calls", s.List.Calls, 0, 1e6)
	s.above("routers.cores", s.Routers.Cores, 0)
	s.within("routers.memory_mb", float64(s.Routers.MemoryMB), 32, 1e6)
	s.within("routers.sockets", float64(s.Routers.Sockets), 64, 1e6)
	s.above("clients.rate", s.Clients.Rate, 0)
	s.within("clients.keys", float64(s.Clients.Keys), 1, 1e7)
	s.within("clients.zipf", s.Clients.Zipf, 0, 3)
	s.within("clients.retries", float64(s.Clients.Retries), 0, 20)
	s.within("clients.try_share", s.Clients.TryShare, 0.01, 1)
	s.within("clients.impatient", s.Clients.Impatient, 0, 1)
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
			s.above(key("window"), t.Window, 0)
		}
		s.above(key("share"), t.Share, 0)
		s.above(key("work_ms"), t.WorkMS, 0)
		s.above(key("promised_ms"), t.PromisedMS, 0)
		s.above(key("benefit"), t.Benefit, 0)
		most := meta.LongBound
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
			s.file.Fault(key("scheme"), "map tiles are read, and reissuable")
		}
		s.places(key("runs_in"), t.RunsIn, zones)
		s.places(key("allowed_on"), t.AllowedOn, f.Machines)
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

// tileMost is the bytes of a tile at most: tiles are held, also by the stand-ins, and map tiles seldom have more.
const maxTileBytes = 60000

// long tells whether a type's values are passed on as they come.
func (t TypePart) long() bool { return t.Size > meta.ValueBound }

func (s *Scenario) long() bool { return slices.ContainsFunc(s.Types, TypePart.long) }

// places tells of places that no server is in: what is bound to nothing but these could not be served on the best of days.
func (s *Scenario) places(key string, named, there []string) {
	if named != nil && len(named) == 0 {
		s.file.Fault(key, "names nothing; leave it out where any will do")
	}
	for _, name := range named {
		if !slices.Contains(there, name) {
			s.file.Fault(key, "%q is none of %s", name, strings.Join(there, ", "))
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
		if p.Name == "" || s.pool(p.Name) != &s.Pools[i] {
			s.file.Fault(key("name"), "%q is empty or there twice", p.Name)
		}
		s.within(key("servers"), float64(p.Servers), 1, 190)
		s.within(key("capacity"), p.Capacity, 0, 1e6)
		s.within(key("connections"), p.Connections, 0.001, 0.9)
		parts += p.Connections
	}
	if parts > 0.9 || len(s.Pools) > 20 {
		s.file.Fault("pool", "%d pools with %v of the connections: at most 20 with 0.9", len(s.Pools), parts)
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		key := func(k string) string { return fmt.Sprintf("team.%d.%s", i, k) }
		if names[t.Name] {
			s.file.Fault(key("name"), "%q is there twice", t.Name)
		}
		names[t.Name] = true
		if t.Pool != "" && s.pool(t.Pool) == nil {
			s.file.Fault(key("pool"), "there is no pool %q", t.Pool)
		}
		if !slices.ContainsFunc(s.Types, func(k TypePart) bool { return k.Tenant == t.Name }) {
			s.file.Fault(key("name"), "no traffic type has the tenant %q", t.Name)
		}
		s.within(key("budget"), t.Budget, 0, 1e6)
		p := s.pool(t.Pool)
		for _, k := range s.Types {
			if k.Tenant == t.Name && (k.Scheme != "") != (p != nil && p.Scheme != "") {
				s.file.Fault(key("pool"), "traffic type %q is of map tiles and the pool is not, or the other way round", k.Name)
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

// A kind of fault: what it may hit, and which figures it needs.
type faultKind struct {
	targets         string  // server, router, list, type, ledger or none
	parameter       string  // or "" for none
	paramMin        float64 // of that figure
	paramMax        float64
	instantAllowed  bool // its length may be 0: it is over at once, or for good
	zeroAllowed     bool // its figure may be 0
	longValuesOnly  bool // it happens at values of more than 64 KiB
	secondParameter string
	secondMin       float64 // least of that second figure
	secondMax       float64 // and most
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
	"read-pause":     {targets: "none", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true, secondParameter: "delay", secondMin: 0, secondMax: longestPause},
	"read-leave":     {targets: "none", parameter: "part", paramMin: 0, paramMax: 1, longValuesOnly: true},
}

const (
	minReadRate      = 200_000 // bytes a second: the longest value takes 21 s, and a router that ends leaves it 30
	longestPause     = 8       // seconds: a router ends the connection of a client that takes nothing for 10
	longValueSeconds = 30      // seconds for which a long value may go on when all else has ended
)

// Kinds names all kinds of fault.
func Kinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }

func (s *Scenario) checkFault(key string, f Fault) {
	k, known := faultKinds[f.Kind]
	if !known {
		s.file.Fault(key+".kind", "%q is not a fault; there are %s", f.Kind, strings.Join(Kinds(), ", "))
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
			s.file.Fault(key+"."+name, "%s has none", f.Kind)
		}
	}
	if k.targets == "part" {
		s.checkPart(key, f)
		return
	} else if f.From != "" || f.What != nil {
		s.file.Fault(key+".from", "%s has neither from nor what", f.Kind)
	}
	if k.longValuesOnly && !s.long() {
		s.file.Fault(key+".kind", "%s needs a type whose size is above %d", f.Kind, meta.ValueBound)
	}
	if strings.HasPrefix(f.Kind, "state-") && !s.Routers.Folders {
		s.file.Fault(key+".kind", "%s needs routers.folders", f.Kind)
	}
	if f.Pool != "" && (!slices.Contains([]string{"server", "list", "ledger"}, k.targets) && f.Kind != "grow" || s.pool(f.Pool) == nil) {
		s.file.Fault(key+".pool", "%q is not a pool, or this fault has none", f.Pool)
		return
	}
	if err := s.checkTarget(k.targets, f.Target, f.Pool); err != nil {
		s.file.Fault(key+".target", "%v", err)
	}
}

// Target names what a fault hits: one by number, so many, a part, or all.
type target struct {
	what   string   // server, router, list, type, tenant
	number int      // of one, else -1
	count  int      // of many drawn by chance
	name   string   // of a type or tenant
	zones  []string // of servers: all that are in them
}

func (s *Scenario) checkTarget(on, text, pool string) error {
	if on == "none" || on == "ledger" {
		if text != "" {
			return fmt.Errorf("%q: this fault has none", text)
		}
		return nil
	}
	_, err := s.target(on, text, pool)
	return err
}

// pool gives a pool's part, nil if there is none.
func (s *Scenario) pool(name string) *PoolPart {
	if i := slices.IndexFunc(s.Pools, func(p PoolPart) bool { return p.Name == name }); i >= 0 {
		return &s.Pools[i]
	}
	return nil
}

func (s *Scenario) target(on, text, pool string) (target, error) {
	servers := s.Fleet.Servers
	if p := s.pool(pool); p != nil {
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

// types gives the traffic types as the stand-ins take them.
func (s *Scenario) types() (all []*emulator.TrafficType) {
	for _, t := range s.Types {
		all = append(all, &emulator.TrafficType{Name: t.Name, Share: t.Share, Write: t.Write, Effect: effects[t.Effect],
			Group: groups[t.Group], Window: t.Window, Work: t.WorkMS / 1e3, Spread: t.Spread, Size: t.Size,
			Promised: t.PromisedMS / 1e3, HardStop: t.HardStopMS / 1e3, Benefit: t.Benefit, Tenant: t.Tenant, Scheme: tiles.Scheme(t.Scheme),
			RunsIn: t.RunsIn, AllowedOn: t.AllowedOn})
	}
	return all
}
