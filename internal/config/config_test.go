package config

import (
	"os"
	"strings"
	"testing"

	"bendtrestle/balancer"
)

const whole = `{"name":"n3","listen":"127.0.0.4:11211","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":2.5,"memory_mb":64,"sockets":512},"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],
 "peers_all":"127.3.255.1:7946","known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"}]},
 "settings":{"me":2,"limits":{"connIdle":30000000000,"connectTimeout":75000000,"streamsPerConn":100,"openCap":33},
 "trafficTypes":[{"name":"t","hardStop":750000000}]}}`

const least = `{"listen":"127.0.0.4:11211","settings":{"trafficTypes":[{"name":"t"}]}}`

func env(name string) string {
	return map[string]string{"GW_NAME": "n9", "GW_DISCOVERY": "127.2.0.9:8500"}[name]
}

func TestWhole(t *testing.T) {
	c, err := Parse([]byte(whole), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Cores != 2.5 || c.Memory != 64<<20 || c.Sockets != 512 || c.Discovery != "127.2.0.1:8500" {
		t.Errorf("read %+v", c)
	}
	if c.ConnIdle != 30 || c.ConnectTimeout != 0.075 || c.PerConnection != 100 || c.Settings.RouterIndex != 2 ||
		c.Settings.TrafficClasses[0].Deadline != 0.75 || len(c.Known.Instances) != 1 || c.Known.Generation != 41 {
		t.Errorf("read %+v", c)
	}
	if c.Settings.Seed != 0x8c1f30d2^0x7a5be964 || c.Open != 33 {
		t.Errorf("derived %+v", c)
	}
}

// Few descriptors must do as well, for all that may be open at once, whatever the operators' file names: so they must for each of two
// processes.
func TestDescriptorsAreEnough(t *testing.T) {
	for _, ops := range []string{"", "127.0.0.1:9180"} {
		for _, apart := range []int{0, PerWatch, 5*PerListener + PerWatch, 10000} {
			for c := (Config{Sockets: 64, Memory: 64 << 20, Ops: ops}); c.Sockets < 5000; c.Sockets++ {
				c, enough := c.Apart(apart)
				half, _ := Config{Sockets: 2 * c.Sockets, Memory: 2 * c.Memory, Ops: ops}.Apart(apart)
				half = half.Half()
				door := 0
				if ops != "" {
					door = 2 + 2*c.OpsPlaces
				}
				all := fixed + min(apart, c.Sockets/2) + door + c.Connections
				if c.Clients < 1 || c.Caches < 1 || ops != "" && c.OpsPlaces < 1 || c.Clients+c.Spare+c.Caches > c.Connections ||
					all > c.Sockets && (apart == 0 || c.Sockets >= 256) || half.Held != c.Held || apart == 0 && half.Clients != c.Clients || enough != (apart <= c.Sockets/2) {
					t.Errorf("of %d: %d in all, %d for clients, %d to decline, %d for caches, %d at the door", c.Sockets, all, c.Clients, c.Spare, c.Caches, c.OpsPlaces)
				}
			}
		}
	}
}

// The least memory must do for the operations that a second of four times the usual load has open.
func TestLeastMemoryHoldsTheLoad(t *testing.T) {
	c := Config{Sockets: 256, Memory: 32 << 20}
	if c.derive(); c.Open < 320 || c.Open*4<<10+c.Held+c.Caches*64<<10 > c.Memory/2 {
		t.Errorf("%d operations may be open, %d bytes held, %d connections to caches", c.Open, c.Held, c.Caches)
	}
}

func TestDefaults(t *testing.T) {
	c, err := Parse([]byte(least), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n9" || c.Discovery != "127.2.0.9:8500" || c.Cores != 1 || c.Memory != 192<<20 || c.Sockets != 1024 ||
		c.ConnIdle != 60 || c.ConnectTimeout != 1 || c.PerConnection != 1 || c.Open < 1 {
		t.Errorf("read %+v", c)
	}
}

// Both shapes of a deployment are whole configurations.
func TestExamples(t *testing.T) {
	for file, want := range map[string]balancer.WeightMode{"config.json": balancer.WeightsStatic, "config-live.json": balancer.WeightsLive} {
		text, err := os.ReadFile("../../examples/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := Parse(text, env); err != nil || c.Settings.WeightMode != want {
			t.Errorf("%s: weights %v, %v", file, c.Settings.WeightMode, err)
		}
	}
}

// A message names the faulty key.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`{"name"`, `"name"`, "configuration: "},
		{`127.0.0.4:11211`, `here`, "listen: not an address and a port"},
		{`"discovery":"127.2.0.1:8500"`, `"discovery":7`, "discovery: not a text"},
		{`"peer_listen"`, `"ops":"here","peer_listen"`, "ops: not an address and a port"},
		{`"127.3.0.1:7946"`, `"x"`, "peers: not an address and a port"},
		{`"cores":2.5`, `"cores":0`, "limits: cores: not above 0"},
		{`"memory_mb":64`, `"memory_mb":"lots"`, "limits: memory_mb: not a number"},
		{`"memory_mb":64`, `"memory_mb":8`, "limits: memory_mb: below 32"},
		{`"sockets":512`, `"sockets":10`, "limits: sockets: below 64"},
		{`8c1f30d27a5be964`, `seed`, "seed: not up to 16 hexadecimal digits"},
		{`"settings"`, `"setting"`, "settings: not an object"},
		{`"hardStop":750000000`, `"hardStop":"soon"`, "settings: trafficTypes: hardStop: not a number"},
		{`"hardStop":750000000`, `"hardStop":750000000,"runsIn":[]`, "settings: trafficTypes: runsIn: names nothing"},
		{`"hardStop":750000000`, `"hardStop":750000000,"allowedOn":[7]`, "settings: trafficTypes: allowedOn: holds what is not a text"},
		{`"trafficTypes":[{"name":"t","hardStop":750000000}]`, `"trafficTypes":[]`, "settings: trafficTypes: none"},
		{`"settings":{`, `"settings":{"familyInfo":{"mode":"aside"},`, `settings: familyInfo: mode: "aside" is none of through`},
		{`"settings":{`, `"settings":{"weights":"heavy",`, `settings: weights: "heavy" is none of off, nominal, rough, live`},
		{`"settings":{`, `"settings":{"discovery":"asked",`, `settings: discovery: "asked" is none of pushed, on_request`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"often"},`, `settings: loadInfo: how: "often" is none of off, inline, on_probe`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"inline"},`, `settings: loadInfo: names: 0 of them, but how is "inline"`},
		{`"settings":{`, `"settings":{"loadInfo":{"names":["depth"]},`, `settings: loadInfo: names: ["depth"], but how is "off"`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"inline","names":["qqs"]},`, `settings: loadInfo: names: "qqs" is none of concurrent`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"on_probe","names":["depth"]},`, `settings: loadInfo: how: "on_probe", but settings.limits.probes is false`},
		{`"limits":{"connIdle"`, `"weights":"live","limits":{"peers":true,"connIdle"`, `settings: limits: peers: true, but settings.weights is "live"`},
		{`"limits":{"connIdle"`, `"limits":{"peers":false,"connIdle"`, `peers`},
		{`"connectTimeout":75000000`, `"connectTimeout":-1`, "settings: limits: connectTimeout: not above 0"},
	} {
		text := strings.Replace(whole, c.old, c.new, 1)
		if _, err := Parse([]byte(text), env); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
	if _, err := Read(func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), "GW_CONFIG: ") {
		t.Errorf("without a file: %v", err)
	}
}

// What needs a restart is told by its key; the list service's address, and what only a start uses, does not.
func TestWhatNeedsARestart(t *testing.T) {
	now, _ := Parse([]byte(whole), env)
	for _, c := range []struct{ old, new, want string }{
		{`8c1f30d27a5be964`, `7`, ""},
		{`127.2.0.1:8500`, `127.2.0.2:8500`, ""},
		{`"generation":41`, `"generation":42`, ""},
		{`"cores":2.5`, `"cores":2`, "limits"},
		{`"openCap":33`, `"openCap":34`, "settings"},
		{`"name":"t"`, `"name":"u"`, "settings"},
		{`"peer_listen"`, `"ops":"127.0.0.4:1","peer_listen"`, "ops"},
		{`127.0.0.4`, `127.0.0.5`, "listen peer_listen"},
	} {
		next, err := Parse([]byte(strings.ReplaceAll(whole, c.old, c.new)), env)
		if got := strings.Join(now.Restart(next), " "); err != nil || got != c.want {
			t.Errorf("%s: a restart is needed for %q, want %q, %v", c.new, got, c.want, err)
		}
	}
}
