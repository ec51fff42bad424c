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

	nanoseconds                  = 1e9 // of a second; the file's unit of time
	defaultConnectTimeout        = 1.0 // seconds
	defaultIdleTimeout           = 60.0
	defaultDrainGrace            = 0.5
	defaultAttemptsPerConnection = 1
)

// Config is all that a router is configured with. Times are in seconds.
type Config struct {
	Name         string
	Listen       string // where clients connect
	Discovery    string // the list service
	AdminListen  string // of the admin server; empty: there is none
	SharedFolder string // that the next process of this router sees, too; empty: there is none
	PeerListen   string // where other routers' gossip comes in; empty: nowhere
	PeersAll     string // an address that reaches all other routers; empty: there is none
	Peers        []string

	Cores       float64
	MemoryBytes int
	Descriptors int

	Known                 discovery.EndpointList // the endpoint list to begin with
	Settings              balancer.Settings
	LoadReports           LoadReports // the platform's protocol carries none with answers
	ConnectTimeout        float64     // for a connection to a cache server to come up
	IdleTimeout           float64     // after which cache servers close an idle connection
	AttemptsPerConnection int         // to a cache server, at once
	DrainGrace            float64     // after a server's drain was announced, in which it may still be sent requests
	OpenRequestsCap       int         // that the settings allow; 0: any number

	// What follows from the limits.
	ClientConnections   int
	RejectConnections   int // of clients beyond those, to tell them so
	UpstreamConnections int
	MaxConnections      int // all, with those that are closed and not released yet
	OpenRequests        int
	HeldBytes           int // of clients' values in memory
	AdminConnections    int // to the admin server, at once

	reservedDescriptors int // for what the operators' file names
}

// Read reads the file that GW_CONFIG names. What the file lacks may come from the variables beside it. The error tells
// all faults, a configerror.FieldError and a line each.
func Read(env func(string) string) (Config, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, faults := parse(text, env)
	return c, locate(faults, path, text)
}

// locate returns the faults as one error, with the file, and the line where each key stands or where what should hold
// it does.
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

// Parse reads a configuration. The error has all faults, a configerror.FieldError and a line each, without their
// lines in the text.
func Parse(text []byte, env func(string) string) (Config, error) {
	c, faults := parse(text, env)
	var all []error
	for i := range faults {
		all = append(all, &faults[i].FieldError)
	}
	return c, errors.Join(all...)
}

// parse reads a configuration. Fields are read in the order in which their faults are reported.
func parse(text []byte, env func(string) string) (Config, []settings.Fault) {
	object, err := settings.Parse(text, "configuration")
	if err != nil {
		return Config{}, []settings.Fault{{FieldError: configerror.FieldError{Problem: err.Error()}}}
	}
	var c Config
	c.readAddresses(object, env)
	c.readLimits(object.OptionalObject("limits"))
	if !object.Absent("known") {
		c.Known = discovery.FromObject(object.RequiredObject("known"))
	}
	set := object.RequiredObject("settings")
	c.Settings = set.Settings()
	if len(c.Settings.TrafficClasses) == 0 {
		set.Fault("trafficTypes", "none")
	}
	c.Settings.Seed = readSeed(object)
	c.readDeployment(object, set)
	c.readConnections(set)
	c.deriveLimits()
	return c, object.Faults()
}

// readAddresses reads names and addresses; the environment has some of them where the file has not.
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

// readConnections reads what the settings say beside the balancer's.
func (c *Config) readConnections(set *settings.Object) {
	limits := set.OptionalObject("limits")
	c.ConnectTimeout = positive(limits, "connectTimeout", defaultConnectTimeout*nanoseconds) / nanoseconds
	c.DrainGrace = defaultDrainGrace
	rules := set.OptionalObject("rules")
	if !rules.Absent("drainGrace") { // 0 is a value, too: no grace
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

// positive reads a number above 0; absent it is the usual one.
func positive(object *settings.Object, key string, usual float64) float64 {
	if object.Absent(key) {
		return usual
	}
	number := object.Number(key)
	if !(number > 0) { // also for NaN
		object.Want(key, "above 0")
		return usual
	}
	return number
}

// readSeed reads the seed of random numbers, in hexadecimal digits; absent it is the process's number.
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
