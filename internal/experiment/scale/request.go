package scale

import (
	"fmt"
	"net"
	"slices"
	"time"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/eventloop"
)

const keyCount = 4000 // about as many as the balancer's ring has slots, so that most slots are looked up within seconds

// runLoad runs clients that send requests at a rate, for the warm-up time and then for a window. It returns the
// router's usage in the window, the number of all requests, and the number of those that got their value.
func (b *bench) runLoad(t *testbed, p *process, rate float64, warm time.Duration) (
	used usage, requested, served int, err error) {
	loop, err := eventloop.New()
	if err != nil {
		return used, 0, 0, err
	}
	// The ids of requests count up from the seed. They must not repeat within the seconds for which a router remembers
	// them.
	b.loadCount++
	clients, err := emulator.NewClients(loop, b.loadCount<<20, emulator.Load{Types: []*emulator.TrafficType{smallReads},
		Rate: rate, Keys: keyCount,
		Connections: emulator.Kept, MaxConnections: 200}, []string{p.addr}, nil)
	if err != nil {
		return used, 0, 0, err
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	on := func(f func()) {
		done := make(chan struct{})
		loop.Post(func() { f(); close(done) })
		<-done
	}
	on(func() { clients.Start(1e6) })
	if err = sleep(b.ctx, warm, p); err == nil {
		used, err = b.measureWindow(p)
	}
	on(clients.Stop)
	busy := true
	for until := time.Now().Add(2 * time.Second); busy && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		on(func() { busy = clients.Busy() })
	}
	loop.Post(loop.Stop)
	<-ended
	for _, request := range clients.Records().Requests {
		if any, _ := request.Served(); any {
			served++
		} else {
			b.addNote("a read at %.0f requests per second ended as %v", rate, request.End)
		}
	}
	return used, len(clients.Records().Requests), served, err
}

// measureRequests measures requests for small values, connections to servers and clients, and handshakes.
func measureRequests(b *bench) error {
	mostServers, topRate := slices.Max(b.plan.Servers), slices.Max(b.plan.Rates)
	requested, served := 0, 0
	load := func(t *testbed, p *process, rate float64, warm time.Duration) (usage, error) {
		used, n, done, err := b.runLoad(t, p, rate, warm)
		requested, served = requested+n, served+done
		return used, err
	}
	acceptedConnections := func(t *testbed) (n int) {
		t.onLoop(func() { n = len(t.fleet.Records().Accepts) })
		return n
	}
	reusedRate := 0.0
	err := b.withRouter(mostServers, routerSetup{}, func(t *testbed, p *process) error {
		for _, rate := range b.plan.Rates {
			b.progressf("%.0f requests per second", rate)
			used, err := load(t, p, rate, b.plan.Settle)
			if err != nil {
				return err
			}
			b.add("request.core.operation", rate, used.cpuRate(), used.loop)
			reusedRate = used.cpuRate()
		}
		return nil
	})
	if err != nil {
		return err
	}
	b.progressf("a handshake for each request")
	err = b.withRouter(mostServers, routerSetup{serverIdleSeconds: 0.001}, func(t *testbed, p *process) error {
		before := acceptedConnections(t)
		began := time.Now()
		used, err := load(t, p, topRate, b.plan.Settle)
		if err != nil {
			return err
		}
		connectionsPerSecond := float64(acceptedConnections(t)-before) / time.Since(began).Seconds()
		if connectionsPerSecond <= 0 {
			return fmt.Errorf("the router opened no connection to a server")
		}
		b.add("request.core.handshake", 0, (used.cpuRate()-reusedRate)/connectionsPerSecond, used.loop)
		return nil
	})
	if err != nil {
		return err
	}
	for _, n := range b.plan.Servers {
		b.progressf("memory of connections to %d servers", n)
		err = b.withRouter(n, routerSetup{}, func(t *testbed, p *process) error {
			// until each server has a connection and most slots are looked up
			used, err := load(t, p, topRate, b.plan.Window)
			b.add("request.memory.servers", float64(n), used.resident, 0)
			b.add("request.connections", float64(n), float64(acceptedConnections(t)), 0)
			return err
		})
		if err != nil {
			return err
		}
	}
	b.progressf("memory of client connections")
	err = b.withRouter(mostServers, routerSetup{}, func(_ *testbed, p *process) error {
		var open []net.Conn
		defer func() {
			for _, c := range open {
				c.Close()
			}
		}()
		for _, n := range []int{0, 100, 200, 400} {
			for len(open) < n {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					return err
				}
				if open = append(open, c); !repliesToNoOp(c) {
					return fmt.Errorf("client %d: the router does not reply to a no-op command", len(open))
				}
			}
			now, _, err := residentKiB(p.pid())
			if err != nil {
				return err
			}
			b.add("request.memory.clients", float64(n), now, 0)
		}
		return nil
	})
	b.add("request.unserved", 0, float64(requested-served), 0)
	b.add("request.asked", 0, float64(requested), 0)
	return err
}
