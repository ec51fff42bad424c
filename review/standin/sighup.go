package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"
)

// samabaySettings are the settings of the site samabay-booking.
func samabaySettings() map[string]any {
	ms := func(n int) int { return n * 1000000 }
	return map[string]any{
		"me": 0, "fleetSize": 1, "step": ms(2), "discovery": "pushed", "weights": "nominal",
		"kinds":      []string{"full-box", "small-box"},
		"localities": []string{"kolkata-salt-lake", "howrah", "durgapur", "siliguri"}, "az": "kolkata-salt-lake",
		"familyInfo": map[string]any{"mode": "through"},
		"limits": map[string]any{
			"cancelling": true, "secondCopies": true, "mostExecutions": 5, "probes": true, "peers": false,
			"retryAfter": false, "maxRetryAfter": ms(1200), "connIdle": ms(60000), "connectTimeout": ms(75),
			"streamsPerConn": 100, "openCap": 1000,
		},
		"rules": map[string]any{
			"drainGrace": ms(500), "fall": ms(3000), "startCapacity": 0.31, "tipMultiple": 4.0, "warmWithin": ms(9000),
			"askWithin": ms(10000),
		},
		"penalties": map[string]any{"probe": 0.0083, "peer": 0.01},
		"trafficTypes": []map[string]any{
			{"name": "slot-view", "effect": "retryable", "promisedTime": ms(150), "hardStop": ms(750), "benefit": 5.0},
			{"name": "roster-sync", "effect": "retryable", "promisedTime": ms(600), "hardStop": ms(1200), "benefit": 3.0},
		},
		"tenants": []any{},
	}
}

const (
	sighupServers = 12
	sighupRate    = 60.0 // requests a second, to one router of three
	// The list reaches an agent 1.4 to 4.6 s after a change: the first one has it 3.2 s before the second.
	sighupLag   = 3200 * time.Millisecond
	sighupAfter = 300 * time.Millisecond // after the router was told

	// The rule's time, the 50 ms that each limit is longer on sockets, and the 0.15 s for which a router may be held up.
	sighupGrace = 500*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
)

// case3: a cache server drains; soon after the router was told, a new configuration moves discovery to another agent,
// which is told of the same change later.
func case3(folder string, rec *record, trouble bool) int {
	random := newDraws(1)
	known := list{Generation: 41, Reset: true}
	var servers []*server
	for n := range sighupServers {
		s, err := startServer(fmt.Sprintf("s-%d", n+1), "127.0.0.1:0", rec)
		if err != nil {
			rec.add("cannot run: %v", err)
			return notRun
		}
		go s.serve()
		servers = append(servers, s)
		known.Instances = append(known.Instances, instance{InstanceID: s.name, HostPort: s.address(),
			Zone: "kolkata-salt-lake", MachineType: "full-box", Lifecycle: "ready", Weight: 1})
	}
	first, err := startAgent("a", rec, 41, known.Instances)
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	second, err := startAgent("b", rec, 41, known.Instances)
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	r, err := startRouter(folder, first.address(), known, 1024, samabaySettings())
	if err != nil {
		rec.add("cannot run: %v", err)
		return notRun
	}
	defer r.stop()

	var mu sync.Mutex
	var drained *server
	late, after := 0, 0
	came := map[string]int{}
	for _, s := range servers {
		s.onCommand = func(c *command) {
			mu.Lock()
			defer mu.Unlock()
			came[c.server]++
			told := first.told(43)
			if s != drained || told.IsZero() || !c.beganAt.After(told) {
				return
			}
			after++
			if c.beganAt.After(told.Add(sighupGrace)) {
				late++
				rec.add("BROKEN: request %s was sent to %s %.3f s after the router was told that it drains", c.id, c.server,
					c.beganAt.Sub(told).Seconds())
			}
		}
	}

	time.AfterFunc(5*time.Second, func() {
		mu.Lock()
		drained = slices.MaxFunc(servers, func(x, y *server) int { return cmp.Compare(came[x.name], came[y.name]) })
		mu.Unlock()
		drained.setDraining()
		first.set(43, drained.name, "draining")
		time.AfterFunc(sighupLag, func() { second.set(43, drained.name, "draining") })
		for first.told(43).IsZero() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(sighupAfter)
		if trouble {
			r.config["discovery"] = second.address()
			if err := r.writeConfig(); err != nil {
				rec.add("cannot write the configuration: %v", err)
			}
			rec.add("platform: a new configuration names agent b; SIGHUP to the router")
			r.signal(syscall.SIGHUP)
			first.moveAway()
		}
	})
	clients := &clientPool{address: r.listen, record: rec}
	keys := rand.NewZipf(rand.New(rand.NewSource(2)), 1.05, 5, 5000)
	next := time.Now()
	for end := next.Add(11 * time.Second); next.Before(end); {
		next = next.Add(time.Duration(-math.Log(1-random()) / sighupRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		id := newID()
		key := fmt.Sprintf("clinic-%d", keys.Uint64())
		if random() < 0.24 {
			go clients.ask(id, getCommand(key, id, "roster-sync", 1200))
		} else {
			go clients.ask(id, getCommand(key, id, "slot-view", 750))
		}
	}
	time.Sleep(1300 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	rec.add("%d requests came to %s after the router was told, %d of them after the grace", after, drained.name, late)
	switch {
	case first.told(43).IsZero():
		rec.add("cannot run: the router was not told")
		return notRun
	case late > 0:
		return broken
	}
	return held
}
