package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/configerror"
)

const fullConfig = `{"name":"n3","listen":"127.0.0.4:11211","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":2.5,"memory_mb":64,"sockets":512},"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],
 "peers_all":"127.3.255.1:7946","known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"}]},
 "settings":{"me":2,"limits":{"connIdle":30000000000,"connectTimeout":75000000,"streamsPerConn":100,"openCap":33},
 "trafficTypes":[{"name":"t","hardStop":750000000}]}}`

const minimalConfig = `{"listen":"127.0.0.4:11211","settings":{"trafficTypes":[{"name":"t"}]}}`

func env(name string) string {
	return map[string]string{"GW_NAME": "n9", "GW_DISCOVERY": "127.2.0.9:8500"}[name]
}

func TestParseFullConfig(t *testing.T) {
	c, err := Parse([]byte(fullConfig), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Cores != 2.5 || c.MemoryBytes != 64<<20 || c.Descriptors != 512 ||
		c.Discovery != "127.2.0.1:8500" {
		t.Errorf("read %+v", c)
	}
	if c.IdleTimeout != 30 || c.ConnectTimeout != 0.075 || c.AttemptsPerConnection != 100 || c.Settings.RouterIndex != 2 ||
		c.Settings.TrafficClasses[0].Deadline != 0.75 || len(c.InitialEndpoints.Instances) != 1 || c.InitialEndpoints.Generation != 41 {
		t.Errorf("read %+v", c)
	}
	if c.Settings.Seed != 0x8c1f30d2^0x7a5be964 || c.OpenRequests != 33 {
		t.Errorf("got %+v, want the seed of the file and 33 open requests", c)
	}
}

// The derived numbers stay within the descriptors, whatever their number and the number of those reserved for the
// operators' file, with and without an admin server, and in each of two processes of a router. A router that exceeded
// them would fail to open connections or files.
func TestDescriptorsStayWithinLimit(t *testing.T) {
	for _, adminListen := range []string{"", "127.0.0.1:9180"} {
		for _, reserved := range []int{0, DescriptorsPerWatch, 5*DescriptorsPerListener + DescriptorsPerWatch, 10000} {
			for descriptors := 64; descriptors < 5000; descriptors++ {
				checkDescriptors(t, adminListen, reserved, descriptors)
			}
		}
	}
}

func checkDescriptors(t *testing.T, adminListen string, reserved, descriptors int) {
	t.Helper()
	const memory = 64 << 20
	c, enough := Config{Descriptors: descriptors, MemoryBytes: memory, AdminListen: adminListen}.WithReserved(reserved)
	both := Config{Descriptors: 2 * descriptors, MemoryBytes: 2 * memory, AdminListen: adminListen}
	both, _ = both.WithReserved(reserved)
	half := both.WithHalfLimits()
	admin := 0
	if adminListen != "" {
		admin = 2 + 2*c.AdminConnections
	}
	all := fixedDescriptors + min(reserved, descriptors/2) + admin + c.MaxConnections
	parts := c.ClientConnections + c.RejectConnections + c.UpstreamConnections
	for name, wrong := range map[string]bool{
		"no connection for clients or cache servers": c.ClientConnections < 1 || c.UpstreamConnections < 1,
		"no connection to the admin server":          adminListen != "" && c.AdminConnections < 1,
		"sum of connections exceeds MaxConnections":  parts > c.MaxConnections,
		"sum of all exceeds the descriptors":         all > descriptors && (reserved == 0 || descriptors >= 256),
		"WithHalfLimits has other BufferedBytes":     half.BufferedBytes != c.BufferedBytes,
		"WithHalfLimits has other ClientConnections": reserved == 0 && half.ClientConnections != c.ClientConnections,
		"WithReserved reports the wrong result":      enough != (reserved <= descriptors/2),
	} {
		if wrong {
			t.Errorf("%s: with %d descriptors, %d of them reserved, got %d in all, %d for clients, %d for rejected clients, "+
				"%d for cache servers, %d for the admin server", name, descriptors, reserved, all, c.ClientConnections,
				c.RejectConnections, c.UpstreamConnections, c.AdminConnections)
		}
	}
}

// With the minimum memory a router must be able to hold the requests that are open during one second at four times the
// usual load, and use at most half of the memory for requests, values and connections.
func TestMinimumMemoryHoldsPeakLoad(t *testing.T) {
	c := Config{Descriptors: 256, MemoryBytes: 32 << 20}
	c.deriveLimits()
	if c.OpenRequests < 320 || c.OpenRequests*4<<10+c.BufferedBytes+c.UpstreamConnections*64<<10 > c.MemoryBytes/2 {
		t.Errorf("got %d open requests, %d bytes held, %d connections to cache servers, "+
			"want at least 320 requests, and all of them within half of the memory",
			c.OpenRequests, c.BufferedBytes, c.UpstreamConnections)
	}
}

func TestParseAppliesDefaults(t *testing.T) {
	c, err := Parse([]byte(minimalConfig), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n9" || c.Discovery != "127.2.0.9:8500" || c.Cores != 1 || c.MemoryBytes != 192<<20 ||
		c.Descriptors != 1024 || c.IdleTimeout != 60 || c.ConnectTimeout != 1 || c.AttemptsPerConnection != 1 ||
		c.OpenRequests < 1 {
		t.Errorf("read %+v", c)
	}
}

// The examples of both kinds of deployment are valid configurations.
func TestExampleConfigsParse(t *testing.T) {
	for file, want := range map[string]balancer.WeightMode{
		"config.json":      balancer.WeightsStatic,
		"config-live.json": balancer.WeightsLive,
	} {
		text, err := os.ReadFile("../../examples/" + file)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := Parse(text, env); err != nil || c.Settings.WeightMode != want {
			t.Errorf("%s: got weight mode %v, %v, want %v", file, c.Settings.WeightMode, err, want)
		}
	}
}

// Read returns each fault as a FieldError with the file, the line and the key.
func TestReadReturnsFieldErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(fullConfig, `"cores":2.5`, `"cores":0`, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
	var fault *configerror.FieldError
	if !errors.As(err, &fault) {
		t.Fatalf("got %v", err)
	}
	want := configerror.FieldError{File: path, Line: 2, Key: "limits: cores", Want: "above 0"}
	if *fault != want {
		t.Errorf("got %+v, want %+v", *fault, want)
	}
}

// An error text begins with the path of the faulty key.
func TestErrorsNameTheFaultyKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`{"name"`, `"name"`, "configuration: "},
		{`127.0.0.4:11211`, `here`, "listen: not an address and a port"},
		{`"discovery":"127.2.0.1:8500"`, `"discovery":7`, "discovery: not a string"},
		{`"peer_listen"`, `"ops":"here","peer_listen"`, "ops: not an address and a port"},
		{`"127.3.0.1:7946"`, `"x"`, "peers: not an address and a port"},
		{`"cores":2.5`, `"cores":0`, "limits: cores: not above 0"},
		{`"memory_mb":64`, `"memory_mb":"lots"`, "limits: memory_mb: not a number"},
		{`"memory_mb":64`, `"memory_mb":8`, "limits: memory_mb: below 32"},
		{`"sockets":512`, `"sockets":10`, "limits: sockets: below 64"},
		{`8c1f30d27a5be964`, `seed`, "seed: not up to 16 hexadecimal digits"},
		{`"settings"`, `"setting"`, "settings: not an object"},
		{`"hardStop":750000000`, `"hardStop":"soon"`, "settings: trafficTypes: hardStop: not a number"},
		{`"hardStop":750000000`, `"hardStop":750000000,"runsIn":[]`, "settings: trafficTypes: runsIn: empty list"},
		{`"hardStop":750000000`, `"hardStop":750000000,"allowedOn":[7]`,
			"settings: trafficTypes: allowedOn: contains an element that is not a string"},
		{`"trafficTypes":[{"name":"t","hardStop":750000000}]`, `"trafficTypes":[]`,
			"settings: trafficTypes: missing or empty"},
		{`"settings":{`, `"settings":{"familyInfo":{"mode":"aside"},`,
			`settings: familyInfo: mode: "aside" is not one of through`},
		{`"settings":{`, `"settings":{"weights":"heavy",`,
			`settings: weights: "heavy" is not one of off, nominal, rough, live`},
		{`"settings":{`, `"settings":{"discovery":"asked",`,
			`settings: discovery: "asked" is not one of pushed, on_request`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"often"},`,
			`settings: loadInfo: how: "often" is not one of off, inline, on_probe`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"inline"},`,
			`settings: loadInfo: names: 0 names, but how is "inline"`},
		{`"settings":{`, `"settings":{"loadInfo":{"names":["depth"]},`,
			`settings: loadInfo: names: ["depth"], but how is "off"`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"inline","names":["qqs"]},`,
			`settings: loadInfo: names: "qqs" is not one of concurrent`},
		{`"settings":{`, `"settings":{"loadInfo":{"how":"on_probe","names":["depth"]},`,
			`settings: loadInfo: how: "on_probe", but settings.limits.probes is false`},
		{`"limits":{"connIdle"`, `"weights":"live","limits":{"peers":true,"connIdle"`,
			`settings: limits: peers: true, but settings.weights is "live"`},
		{`"limits":{"connIdle"`, `"limits":{"peers":false,"connIdle"`, `peers`},
		{`"connectTimeout":75000000`, `"connectTimeout":-1`, "settings: limits: connectTimeout: not above 0"},
	} {
		text := strings.Replace(fullConfig, c.old, c.new, 1)
		if _, err := Parse([]byte(text), env); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
	if _, err := Read(func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), "GW_CONFIG: ") {
		t.Errorf("without GW_CONFIG: got %v, want an error about it", err)
	}
}

// A changed value that needs a restart is reported by its key. The list service's address, and the values that only the
// start of a process uses, need none.
func TestRestartKeys(t *testing.T) {
	now, _ := Parse([]byte(fullConfig), env)
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
		next, err := Parse([]byte(strings.ReplaceAll(fullConfig, c.old, c.new)), env)
		if got := strings.Join(now.RestartKeys(next), " "); err != nil || got != c.want {
			t.Errorf("%s: got restart keys %q, %v, want %q", c.new, got, err, c.want)
		}
	}
}
