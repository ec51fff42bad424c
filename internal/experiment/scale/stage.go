package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/emulator"
	"bendtrestle/internal/eventloop"

	"golang.org/x/sys/unix"
)

// The layout of the loopback addresses 127.NET.x.y: the third byte is at or above the constant of its kind.
const (
	routerOctet       = 1
	listServicesOctet = 2
	peersOctet        = 10 // 16 values with 250 addresses each
	serversOctet      = 40 // eight values with 250 addresses each
	addressesPerOctet = 250

	gossipPort        = 7946
	routerDescriptors = 4096 // the usual 1024 leave 372 connections to servers, fewer than there are servers
	zoneCount         = 20   // servers are assigned to zones in turn
)

func (b *bench) address(x, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.net, x+n/addressesPerOctet, 1+n%addressesPerOctet, port)
}

// peerAddress returns the gossip address of the n-th other router.
func (b *bench) peerAddress(n int) string { return b.address(peersOctet, n, gossipPort) }

func (b *bench) peerAddresses(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = b.peerAddress(i)
	}
	return all
}

// testbed is a set of emulated cache servers and their list services, on an event loop of their own.
type testbed struct {
	loop         *eventloop.Loop
	fleet        *emulator.Fleet
	listServices []*emulator.Agent // serve the same list at different addresses
	listProxy    *countingProxy    // in front of a list service; nil: calls are not counted
	ended        chan error
}

// smallReads is a traffic type with small values and little work per request.
var smallReads = &emulator.TrafficType{Name: "read", Share: 1, Idempotency: balancer.Idempotent, Work: 0.0002, Size: 100,
	LatencyObjective: 0.150, Deadline: 0.750, Benefit: 5}

// retryWhileAddressInUse calls f until it returns no address-in-use error, for about a second. Such errors are
// transient: a process that is being started holds all sockets of this one between fork and exec.
func retryWhileAddressInUse(ctx context.Context, f func() error) error {
	const attempts, pause = 20, 50 * time.Millisecond
	for n := 1; ; n++ {
		err := f()
		// a child process reports it as text
		inUse := errors.Is(err, unix.EADDRINUSE) || err != nil && strings.Contains(err.Error(), unix.EADDRINUSE.Error())
		if !inUse {
			return err
		}
		if n == attempts {
			return fmt.Errorf("%w (another --net may be free)", err)
		}
		if sleepErr := sleep(ctx, pause, nil); sleepErr != nil {
			return sleepErr
		}
	}
}

// openTestbed starts a testbed with the number of servers.
func (b *bench) openTestbed(servers int) (t *testbed, err error) {
	err = retryWhileAddressInUse(b.ctx, func() error {
		loop, err := eventloop.New()
		if err != nil {
			return err
		}
		t = &testbed{loop: loop, ended: make(chan error, 1)}
		t.fleet = emulator.NewFleet(loop, 1, []*emulator.TrafficType{smallReads}, emulator.OriginSpec{Concurrency: 64,
			MeanSeconds: 0.001, Multiple: 4, OverloadSeconds: 3, HaltSeconds: 1},
			emulator.Delay{})
		go func() { t.ended <- loop.Run() }()
		t.onLoop(func() { err = t.addServers(b, servers) })
		if err != nil {
			t.close()
		}
		return err
	})
	return t, err
}

// addServers adds the servers and two list services for them.
func (t *testbed) addServers(b *bench, servers int) error {
	for n := range servers {
		spec := emulator.Spec{Name: t.fleet.NextName(), Addr: b.address(serversOctet, n, 11300),
			Zone: fmt.Sprintf("zone-%02d", n%zoneCount), Machine: "m1", Cell: n / zoneCount,
			Cores: 8, Speed: 1, Weight: 8, Queue: 1000, PerConnection: 100, Connections: 10000, Idle: 3600, CacheSize: 100000, Cancels: true,
			Cold: emulator.Cold{From: 0.3, Warm: 9, Multiple: 4, CollapseSeconds: 3}}
		if _, err := t.fleet.Add(spec, false); err != nil {
			return err
		}
	}
	for n := range 2 {
		a, err := t.fleet.List().Agent(b.address(listServicesOctet, n, 8500))
		if err != nil {
			return err
		}
		t.listServices = append(t.listServices, a)
	}
	return nil
}

// onLoop calls f on the event loop, which owns the emulated servers, and waits for it.
func (t *testbed) onLoop(f func()) {
	done := make(chan struct{})
	t.loop.Post(func() { f(); close(done) })
	<-done
}

func (t *testbed) close() {
	if t.listProxy != nil {
		t.listProxy.close()
	}
	t.onLoop(t.fleet.Close)
	t.loop.Post(t.loop.Stop)
	<-t.ended
}

// routerSetup is the settings in which the measured routers differ.
type routerSetup struct {
	listService       int      // index of the list service
	peers             []string // addresses of the other routers; the configuration has the router's own before them
	fleetSize         int      // 0: the peers and this router
	gossip            bool     // sending gossip messages is allowed
	serverIdleSeconds float64  // until cache servers close idle connections; 0: an hour
	adminServer       bool     // the admin server listens
	zoneFailover      bool
	recovery          bool
	teamBudget        int  // budget of the one team; 0: no team
	countListCalls    bool // a counting proxy is put in front of the list service
	invalid           bool // the configuration has a fault
}

// configure writes the router's configuration and operators' file.
func (b *bench) configure(t *testbed, c routerSetup) error {
	ns := func(seconds float64) int64 { return int64(seconds * 1e9) }
	if c.fleetSize == 0 {
		c.fleetSize = 1 + len(c.peers)
	}
	if c.serverIdleSeconds == 0 {
		c.serverIdleSeconds = 3600
	}
	conf := map[string]any{
		"name": "n0", "listen": b.address(routerOctet, 0, 11211), "discovery": t.listServices[c.listService].Addr(),
		"seed":   "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": routerDescriptors},
		"known":  json.RawMessage(`{"generation": 0, "reset": true, "instances": []}`),
		"settings": map[string]any{
			"me": 0, "fleetSize": c.fleetSize, "step": 2000000, "discovery": "pushed", "weights": "nominal",
			"familyInfo": map[string]any{"mode": "through"},
			"limits": map[string]any{"cancelling": true, "secondCopies": true, "mostExecutions": 3, "probes": false,
				"peers":      c.gossip,
				"retryAfter": true, "maxRetryAfter": ns(1.2), "connIdle": ns(c.serverIdleSeconds),
				"connectTimeout": ns(0.075), "streamsPerConn": 100},
			"rules":     map[string]any{"drainGrace": ns(0.5), "fall": ns(3), "startCapacity": 0.3, "tipMultiple": 4.0, "warmWithin": ns(9)},
			"penalties": map[string]any{"probe": 0.01, "peer": 0.01},
			"trafficTypes": []any{map[string]any{"name": smallReads.Name, "effect": "retryable",
				"promisedTime": ns(smallReads.LatencyObjective),
				"hardStop":     ns(smallReads.Deadline), "benefit": smallReads.Benefit}},
			"tenants": []any{},
		},
	}
	if len(c.peers) > 0 {
		own := b.address(routerOctet, 0, gossipPort)
		conf["peer_listen"], conf["peers"] = own, append([]string{own}, c.peers...)
	}
	if t.listProxy != nil {
		conf["discovery"] = t.listProxy.ln.Addr().String()
	}
	if c.adminServer {
		conf["ops"] = b.address(routerOctet, 0, 9400)
	}
	if c.invalid {
		conf["name"] = 7 // invalid: the name must be a string
	}
	text, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	var operators strings.Builder
	if c.recovery {
		fmt.Fprint(&operators, "[recovery]\non = true\n")
	}
	if c.zoneFailover {
		fmt.Fprint(&operators, "[zones]\non = true\n")
	}
	if c.teamBudget > 0 {
		fmt.Fprintf(&operators,
			"[broker]\nothers = \"platform\"\n[[team]]\nname = \"one\"\ntenant = \"one\"\nbudget = %d\nburst = 100\n"+
				"[[team.type]]\nname = \"one\"\neffect = \"reissuable\"\npromised_ms = 150\nhard_stop_ms = 750\nbenefit = 5\n", c.teamBudget)
	}
	if err = writeFileAtomically(filepath.Join(b.dir, "router.toml"), []byte(operators.String())); err != nil {
		return err
	}
	return writeFileAtomically(filepath.Join(b.dir, "router.json"), text)
}

func writeFileAtomically(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// startRouter starts a real router for the testbed's servers. It does not wait until the router is ready.
func (b *bench) startRouter(t *testbed, c routerSetup) (*process, error) {
	if err := b.configure(t, c); err != nil {
		return nil, err
	}
	env := []string{"GW_CONFIG=" + filepath.Join(b.dir, "router.json"), "GW_OPERATORS=" + filepath.Join(b.dir, "router.toml"), "TMPDIR="}
	if c.recovery {
		folder, err := os.MkdirTemp(b.dir, "folder-")
		if err != nil {
			return nil, err
		}
		env[2] += folder
	}
	p, err := startProcess(b.dir, "router", b.program.Args, env)
	if err != nil {
		return nil, err
	}
	p.addr, p.configPath = b.address(routerOctet, 0, 11211), filepath.Join(b.dir, "router.json")
	return p, nil
}

// withServers calls f with a testbed of the number of servers, and closes the testbed afterwards.
func (b *bench) withServers(servers int, f func(t *testbed) error) error {
	t, err := b.openTestbed(servers)
	if err != nil {
		return err
	}
	defer t.close()
	return f(t)
}

// withRouter calls f with a testbed and a router that is ready and has settled, and stops both afterwards.
func (b *bench) withRouter(servers int, c routerSetup, f func(t *testbed, p *process) error) error {
	return b.withServers(servers, func(t *testbed) (err error) {
		if c.countListCalls {
			err = retryWhileAddressInUse(b.ctx, func() (err error) {
				t.listProxy, err = newCountingProxy(b.address(listServicesOctet, len(t.listServices), 8500),
					t.listServices[c.listService].Addr())
				return err
			})
			if err != nil {
				t.listProxy = nil
				return err
			}
		}
		p, err := b.startRouter(t, c)
		if err != nil {
			return err
		}
		defer p.kill()
		if err = p.waitReady(b.ctx); err != nil {
			return err
		}
		if err = sleep(b.ctx, b.plan.Settle, p); err != nil {
			return err
		}
		return f(t, p)
	})
}
