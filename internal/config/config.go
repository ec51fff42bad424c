package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/configerror"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/settings"
)

const (
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultDescriptors = 1024
	minMemoryMB        = 32
	minDescriptors     = 64

	nanoseconds                  = 1e9 // in a second; times in the file are in nanoseconds
	defaultConnectTimeout        = 1.0 // seconds
	defaultIdleTimeout           = 60.0
	defaultDrainGrace            = 0.5
	defaultAttemptsPerConnection = 1
)

// Config is the platform's configuration of a router, with defaults. Times are in seconds.
type Config struct {
	Name         string
	Listen       string // address for clients
	Discovery    string // address of the list service
	AdminListen  string // address of the admin server; empty: there is none
	SharedFolder string // folder shared with the router's next process; empty: there is none
	PeerListen   string // address for gossip from other routers; empty: none is received
	PeersAll     string // address that reaches all other routers; empty: there is none
	Peers        []string

	Cores       float64
	MemoryBytes int
	Descriptors int

	InitialEndpoints      discovery.EndpointList
	Settings              balancer.Settings
	LoadReports           LoadReports // only logged: responses in the platform's protocol carry no load reports
	ConnectTimeout        float64     // to establish a connection to a cache server
	IdleTimeout           float64     // after which a cache server closes an idle connection
	AttemptsPerConnection int         // that one connection to a cache server carries at the same time
	DrainGrace            float64     // after a server's drain is announced, during which it may still receive requests
	OpenRequestsCap       int         // upper bound for OpenRequests; 0: none

	// Derived from the limits.
	ClientConnections   int
	RejectConnections   int // connections beyond ClientConnections that are accepted and answered with an error
	UpstreamConnections int
	MaxConnections      int // all of these, and those that are closed but not released yet
	OpenRequests        int
	BufferedBytes       int // bytes of clients' values in memory
	AdminConnections    int // concurrent connections to the admin server

	reservedDescriptors int // for the listeners and pools in the operators' file
}

// Read reads the file that GW_CONFIG names. Environment variables supply some of the keys that the file lacks. The
// error joins all faults, each a configerror.FieldError and a line of the text.
func Read(env func(string) string) (Config, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set; set it to the path of the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, faults := parse(text, env)
	return c, locate(faults, path, text)
}

// locate returns the faults as one error, with the file and the line of each key. The line of a missing key is that of
// the innermost object that should contain it.
func locate(faults []settings.Fault, path string, text []byte) error {
	if len(faults) == 0 {
		return nil
	}
	lines := settings.Lines(text)
	var all []error
	for _, fault := range faults {
		at := fault.Path
		for at != "" && lines[at] == 0 {
			at = at[:strings.LastIndexByte(at, '/')]
		}
		located := fault.FieldError
		located.File = path
		located.Line = lines[at]
		all = append(all, &located)
	}
	return errors.Join(all...)
}

// Parse reads a configuration. The error joins all faults, each a configerror.FieldError without a file and line
// number.
func Parse(text []byte, env func(string) string) (Config, error) {
	c, faults := parse(text, env)
	var all []error
	for i := range faults {
		all = append(all, &faults[i].FieldError)
	}
	return c, errors.Join(all...)
}

// parse reads a configuration. The order in which it reads fields is the order in which faults are reported.
func parse(text []byte, env func(string) string) (Config, []settings.Fault) {
	object, err := settings.Parse(text, "configuration")
	if err != nil {
		return Config{}, []settings.Fault{{FieldError: configerror.FieldError{Problem: err.Error()}}}
	}
	var c Config
	c.readAddresses(object, env)
	c.readLimits(object.OptionalObject("limits"))
	if !object.Absent("known") {
		c.InitialEndpoints = discovery.FromObject(object.RequiredObject("known"))
	}
	set := object.RequiredObject("settings")
	c.Settings = set.Settings()
	if len(c.Settings.TrafficClasses) == 0 {
		set.Fault("trafficTypes", "missing or empty; at least one is required")
	}
	c.Settings.Seed = readSeed(object)
	c.readDeployment(object, set)
	c.readConnections(set)
	c.deriveLimits()
	return c, object.Faults()
}

// readAddresses reads names and addresses. Environment variables supply some of those that the file lacks.
func (c *Config) readAddresses(object *settings.Object, env func(string) string) {
	textOrVariable := func(key, variable string) string {
		text := object.Text(key)
		if text == "" {
			return env(variable)
		}
		return text
	}
	c.Name = textOrVariable("name", "GW_NAME")
	c.Listen = textOrVariable("listen", "GW_LISTEN")
	c.Discovery = textOrVariable("discovery", "GW_DISCOVERY")
	c.PeerListen = object.Text("peer_listen")
	c.PeersAll = object.Text("peers_all")
	c.Peers = object.Texts("peers")
	c.AdminListen = textOrVariable("ops", "GW_OPS")
	c.SharedFolder = env("TMPDIR")
	checkAddress(object, "listen", c.Listen)
	checkAddress(object, "discovery", c.Discovery)
	checkOptionalAddress(object, "peer_listen", c.PeerListen)
	checkOptionalAddress(object, "peers_all", c.PeersAll)
	checkOptionalAddress(object, "ops", c.AdminListen)
	for _, peer := range c.Peers {
		checkAddress(object, "peers", peer)
	}
}

func (c *Config) readLimits(limits *settings.Object) {
	c.Cores = positive(limits, "cores", defaultCores)
	c.MemoryBytes = int(positive(limits, "memory_mb", defaultMemoryMB)) << 20
	c.Descriptors = int(positive(limits, "sockets", defaultDescriptors))
	if c.MemoryBytes < minMemoryMB<<20 {
		limits.Fault("memory_mb", fmt.Sprint("below ", minMemoryMB))
	}
	if c.Descriptors < minDescriptors {
		limits.Fault("sockets", fmt.Sprint("below ", minDescriptors))
	}
}

// readConnections reads the settings that are not the balancer's.
func (c *Config) readConnections(set *settings.Object) {
	limits := set.OptionalObject("limits")
	c.ConnectTimeout = positive(limits, "connectTimeout", defaultConnectTimeout*nanoseconds) / nanoseconds
	c.DrainGrace = defaultDrainGrace
	rules := set.OptionalObject("rules")
	if !rules.Absent("drainGrace") { // 0 is valid: no grace period
		c.DrainGrace = rules.Seconds("drainGrace")
	}
	c.IdleTimeout = positive(limits, "connIdle", defaultIdleTimeout*nanoseconds) / nanoseconds
	c.AttemptsPerConnection = max(1, int(positive(limits, "streamsPerConn", defaultAttemptsPerConnection)))
	c.OpenRequestsCap = int(limits.Count("openCap"))
}

func checkAddress(object *settings.Object, key, text string) {
	_, err := netip.ParseAddrPort(text)
	if err != nil {
		object.Want(key, "an address and a port")
	}
}

func checkOptionalAddress(object *settings.Object, key, text string) {
	if text != "" {
		checkAddress(object, key, text)
	}
}

// positive reads an optional number above 0. It returns the default value if the number is absent or not above 0.
func positive(object *settings.Object, key string, defaultValue float64) float64 {
	if object.Absent(key) {
		return defaultValue
	}
	number := object.Number(key)
	if !(number > 0) { // also for NaN
		object.Want(key, "above 0")
		return defaultValue
	}
	return number
}

// readSeed reads the seed of the random numbers, in hexadecimal digits. The default is the process ID.
func readSeed(object *settings.Object) uint32 {
	text := object.Text("seed")
	if text == "" {
		return uint32(os.Getpid())
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		object.Want("seed", "up to 16 hexadecimal digits")
	}
	return uint32(seed>>32) ^ uint32(seed)
}
