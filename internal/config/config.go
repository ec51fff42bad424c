// Package config is the one place where a router's configuration is read, checked and given defaults.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/settings"
)

// Config is all that a router is told.
type Config struct {
	Name, Listen, Discovery string
	Cores                   float64
	Memory, Sockets         int // bytes, descriptors
	PeerListen, PeersAll    string
	Ops                     string // the operators' door; empty: none
	Shared                  string // a folder that the next process of this router sees, too; empty: none
	Peers                   []string
	Known                   discovery.EndpointList
	Settings                balancer.Settings
	Reports                 Reports // of load; the platform's protocol carries none with answers
	ConnectTimeout          float64
	ConnIdle                float64
	PerConnection           int
	DrainGrace              float64 // seconds after a drain is told in which servers may still be sent to
	OpenCap                 int     // operations that the settings allow, 0: any number

	// What follows from the limits.
	Clients, Spare, Caches, Connections, Open, Held int
	OpsPlaces                                       int // callers at the operators' door at once
	apart                                           int // descriptors for what the operators' file names
}

// Read reads the file that GW_CONFIG names. What the file lacks may come from the variables beside it.
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
	return c, located(path, text, faults)
}

// located tells all faults, a line each, with the file and the line where each key stands, or the line of what should
// hold it.
func located(path string, text []byte, faults []settings.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines, all := settings.Lines(text), []error(nil)
	for _, f := range faults {
		at := f.Path
		for at != "" && lines[at] == 0 {
			at = at[:strings.LastIndexByte(at, '/')]
		}
		if line := lines[at]; line > 0 {
			all = append(all, fmt.Errorf("%s:%d: %s", path, line, f.Text))
		} else {
			all = append(all, fmt.Errorf("%s: %s", path, f.Text))
		}
	}
	return errors.Join(all...)
}

// Parse reads a configuration; the error tells all faults, a line each.
func Parse(text []byte, env func(string) string) (Config, error) {
	c, faults := parse(text, env)
	var all []error
	for _, f := range faults {
		all = append(all, errors.New(f.Text))
	}
	return c, errors.Join(all...)
}

func parse(text []byte, env func(string) string) (Config, []settings.Fault) {
	o, err := settings.Parse(text, "configuration")
	if err != nil {
		return Config{}, []settings.Fault{{Text: err.Error()}}
	}
	told := func(key, variable string) string {
		if text := o.Text(key); text != "" {
			return text
		}
		return env(variable)
	}
	c := Config{Name: told("name", "GW_NAME"), Listen: told("listen", "GW_LISTEN"),
		Discovery: told("discovery", "GW_DISCOVERY"), PeerListen: o.Text("peer_listen"), PeersAll: o.Text("peers_all"),
		Peers: o.Texts("peers"), Ops: told("ops", "GW_OPS"), Shared: env("TMPDIR")}
	address(o, "listen", c.Listen, true)
	address(o, "discovery", c.Discovery, true)
	address(o, "peer_listen", c.PeerListen, false)
	address(o, "peers_all", c.PeersAll, false)
	address(o, "ops", c.Ops, false)
	for _, peer := range c.Peers {
		address(o, "peers", peer, true)
	}
	limits := o.Part("limits")
	c.Cores = positive(limits, "cores", 1)
	c.Memory = int(positive(limits, "memory_mb", 192)) << 20 // the limits of the scored days
	c.Sockets = int(positive(limits, "sockets", 1024))
	if c.Memory < 32<<20 {
		limits.Fault("memory_mb", "below 32")
	}
	if c.Sockets < 64 {
		limits.Fault("sockets", "below 64")
	}
	if !o.Absent("known") {
		c.Known = discovery.FromObject(o.Sub("known"))
	}
	set := o.Sub("settings")
	c.Settings = set.Settings()
	if len(c.Settings.TrafficClasses) == 0 {
		set.Fault("trafficTypes", "none")
	}
	c.Settings.Seed = seed(o)
	shape(o, set, &c)
	bounds := set.Part("limits")
	c.ConnectTimeout = positive(bounds, "connectTimeout", 1e9) / 1e9
	if c.DrainGrace = 0.5; !set.Part("rules").Absent("drainGrace") { // 0 is a grace, too: none
		c.DrainGrace = set.Part("rules").Seconds("drainGrace")
	}
	c.ConnIdle = positive(bounds, "connIdle", 60e9) / 1e9
	c.PerConnection = max(1, int(positive(bounds, "streamsPerConn", 1)))
	c.OpenCap = int(bounds.Count("openCap"))
	c.derive()
	return c, o.Faults()
}

// Restart names the keys in which a configuration differs from the present one, but for those that are taken while
// the router serves (discovery) and those that only a start uses (known, seed).
func (c Config) Restart(next Config) (keys []string) {
	now, then := c.Settings, next.Settings
	then.Seed = now.Seed
	for key, same := range map[string]bool{
		"name": c.Name == next.Name, "listen": c.Listen == next.Listen,
		"limits": c.Cores == next.Cores && c.Memory == next.Memory && c.Sockets == next.Sockets,
		"ops":    c.Ops == next.Ops, "peer_listen": c.PeerListen == next.PeerListen, "peers_all": c.PeersAll == next.PeersAll,
		"peers": slices.Equal(c.Peers, next.Peers),
		"settings": reflect.DeepEqual(now, then) && c.ConnectTimeout == next.ConnectTimeout &&
			reflect.DeepEqual(c.Reports, next.Reports) && c.ConnIdle == next.ConnIdle && c.DrainGrace == next.DrainGrace && c.PerConnection == next.PerConnection && c.OpenCap == next.OpenCap,
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Descriptors that are nobody's but their own users', as many as there may be at most.
const (
	standing  = 11 // standard files 3; epoll and eventfd of the runtime, of netpoll's own poll and of the loop 6; the loop's other eventfd and timerfd
	listening = 2  // clients, peers
	following = 9  // a successor's socket, three that ask and one that is turned away, a copy of the clients' socket for each; the predecessor
	PerWatch  = 14 // six calls to a list service and one that is being given up, and as many where it is moved to another
	files     = 12 // out by hand and zones, 4 each; the store, a configuration
	fixed     = standing + listening + following + PerWatch + files

	PerListener = 4  // a team's: itself, and a copy for each successor that asks
	mostOps     = 24 // callers at the operators' door at once: several times the dashboards and people that look at one router
)

// derive splits the limits. What is fixed, an operators' door (its socket, its places, as many more that are being answered, one that is
// declined) and what the operators' file names have their descriptors to themselves. Of what is left, and of all but 32 and a
// door's places, half go to clients, a sixteenth of that to clients that are declined, three eighths to caches: 29 parts of 32. The
// rest, at most, is what is closed and not let go of yet. Values are bounded apart, by an eighth of the memory for clients and by the
// connections to caches; an open operation without them holds some 4 KiB, and all may fill a sixteenth of the memory.
func (c *Config) derive() {
	sockets, left := c.Sockets-32, c.Sockets-fixed-c.apart
	if c.OpsPlaces = 0; c.Ops != "" {
		c.OpsPlaces = min(mostOps, max(1, (c.Sockets-fixed)/8)) // the door stays as it was opened, whatever is named later
		sockets -= mostOps + 2
		left -= 2*c.OpsPlaces + 2
	}
	sockets = max(min(sockets, left*32/29), 4)
	c.Clients = sockets / 2
	c.Spare = max(1, c.Clients/16)
	c.Caches = sockets * 3 / 8
	c.Connections = max(left, c.Clients+c.Spare+c.Caches)
	c.Open = c.Memory / 16 / (4 << 10)
	if c.OpenCap > 0 {
		c.Open = min(c.Open, c.OpenCap)
	}
	c.Held = c.Memory / 8
}

// Apart is the configuration with so many descriptors set apart for what the operators' file names, half of all at most; false: that
// is not enough.
func (c Config) Apart(descriptors int) (Config, bool) {
	c.apart = min(descriptors, c.Sockets/2)
	c.derive()
	return c, c.apart == descriptors
}

// Half is the configuration of one of two processes of a router that run side by side: limits are for both.
func (c Config) Half() Config {
	c.Sockets /= 2
	c.Memory /= 2
	c.derive()
	return c
}

func address(o *settings.Object, key, text string, needed bool) {
	if _, err := netip.ParseAddrPort(text); err != nil && (needed || text != "") {
		o.Fault(key, "not an address and a port")
	}
}

func positive(o *settings.Object, key string, usual float64) float64 {
	if o.Absent(key) {
		return usual
	}
	x := o.Number(key)
	if !(x > 0) {
		o.Fault(key, "not above 0")
		return usual
	}
	return x
}

// seed reads the random numbers' seed, in hexadecimal digits.
func seed(o *settings.Object) uint32 {
	text := o.Text("seed")
	if text == "" {
		return uint32(os.Getpid())
	}
	x, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		o.Fault("seed", "not up to 16 hexadecimal digits")
	}
	return uint32(x>>32) ^ uint32(x)
}
