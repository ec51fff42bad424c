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

// The layout of the loopback addresses, 127.NET.x.y: the router's, its list services', the servers' and the other routers'.
const (
	routerAt  = 1
	listsAt   = 2
	othersAt  = 10 // 16 numbers of 250 each
	serversAt = 40 // eight of 250 each
	each      = 250

	wordsPort   = 7946
	descriptors = 4096 // of a router: at the usual 1024 it has 372 connections to servers, fewer than there are servers
	inZones     = 20   // of the fleet; a server is in one, in turn
)

func (b *bench) at(x, n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.net, x+n/each, 1+n%each, port)
}

// other is where the n-th of the other routers is.
func (b *bench) other(n int) string { return b.at(othersAt, n, wordsPort) }

func (b *bench) others(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = b.other(i)
	}
	return all
}

// stage is stand-in cache servers with their list, on a loop of its own.
type stage struct {
	loop    *eventloop.Loop
	fleet   *emulator.Fleet
	lists   []*emulator.Agent // the same list at several addresses
	counter *counter          // before the first of them; nil: there is none
	ended   chan error
}

// small is a traffic type of short values without much work.
var small = &emulator.TrafficType{Name: "read", Share: 1, Effect: balancer.Idempotent, Work: 0.0002, Size: 100, Promised: 0.150, HardStop: 0.750, Benefit: 5}

// again calls f anew while an address that it wants is taken, for a while: a process that is just being started holds all sockets of this
// one between its fork and its exec.
func again(ctx context.Context, f func() error) error {
	const tries, pause = 20, 50 * time.Millisecond
	for n := 1; ; n++ {
		err := f()
		taken := errors.Is(err, unix.EADDRINUSE) || err != nil && strings.Contains(err.Error(), unix.EADDRINUSE.Error()) // a child says it in words
		if !taken {
			return err
		}
		if n == tries {
			return fmt.Errorf("%w (another --net may be free)", err)
		}
		if other := sleep(ctx, pause, nil); other != nil {
			return other
		}
	}
}

// open sets up so many servers.
func (b *bench) open(servers int) (s *stage, err error) {
	err = again(b.ctx, func() error {
		loop, err := eventloop.New()
		if err != nil {
			return err
		}
		s = &stage{loop: loop, ended: make(chan error, 1)}
		s.fleet = emulator.NewFleet(loop, 1, []*emulator.TrafficType{small}, emulator.LedgerSpec{AtOnce: 64, Takes: 0.001, Multiple: 4, Time: 3, Halt: 1},
			emulator.Delay{})
		go func() { s.ended <- loop.Run() }()
		s.on(func() { err = s.fill(b, servers) })
		if err != nil {
			s.close()
		}
		return err
	})
	return s, err
}

// fill adds servers, and list services that name them.
func (s *stage) fill(b *bench, servers int) error {
	for n := range servers {
		spec := emulator.Spec{Name: s.fleet.NextName(), Addr: b.at(serversAt, n, 11300), Zone: fmt.Sprintf("zone-%02d", n%inZones), Machine: "m1", Cell: n / inZones,
			Cores: 8, Speed: 1, Weight: 8, Queue: 1000, PerConnection: 100, Connections: 10000, Idle: 3600, Keep: 100000, Cancels: true,
			Cold: emulator.Cold{From: 0.3, Warm: 9, Multiple: 4, Fall: 3}}
		if _, err := s.fleet.Add(spec, false); err != nil {
			return err
		}
	}
	for n := range 2 {
		a, err := s.fleet.List().Agent(b.at(listsAt, n, 8500))
		if err != nil {
			return err
		}
		s.lists = append(s.lists, a)
	}
	return nil
}

// on calls f where the stand-ins may be touched.
func (s *stage) on(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

func (s *stage) close() {
	if s.counter != nil {
		s.counter.close()
	}
	s.on(s.fleet.Close)
	s.loop.Post(s.loop.Stop)
	<-s.ended
}

// setup is what differs between the routers that are measured.
type setup struct {
	list     int      // the list service's number
	peers    []string // others' addresses; this router's own comes first in its configuration
	routers  int      // that there are; 0: as many as peers and this one
	words    bool     // words to peers are allowed
	idle     float64  // seconds until cache servers close an idle connection; 0: an hour
	door     bool     // the operators' door is open
	zones    bool
	recovery bool
	teams    int  // one team's budget; 0: no team
	counted  bool // its calls of the list service are counted
	garbled  bool // the configuration holds a fault
}

// configure writes a router's files.
func (b *bench) configure(s *stage, c setup) error {
	ns := func(seconds float64) int64 { return int64(seconds * 1e9) }
	if c.routers == 0 {
		c.routers = 1 + len(c.peers)
	}
	if c.idle == 0 {
		c.idle = 3600
	}
	conf := map[string]any{
		"name": "n0", "listen": b.at(routerAt, 0, 11211), "discovery": s.lists[c.list].Addr(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": descriptors},
		"known":  json.RawMessage(`{"generation": 0, "reset": true, "instances": []}`),
		"settings": map[string]any{
			"me": 0, "fleetSize": c.routers, "step": 2000000, "discovery": "pushed", "weights": "nominal",
			"familyInfo": map[string]any{"mode": "through"},
			"limits": map[string]any{"cancelling": true, "secondCopies": true, "mostExecutions": 3, "probes": false, "peers": c.words,
				"retryAfter": true, "maxRetryAfter": ns(1.2), "connIdle": ns(c.idle), "connectTimeout": ns(0.075), "streamsPerConn": 100},
			"rules":     map[string]any{"drainGrace": ns(0.5), "fall": ns(3), "startCapacity": 0.3, "tipMultiple": 4.0, "warmWithin": ns(9)},
			"penalties": map[string]any{"probe": 0.01, "peer": 0.01},
			"trafficTypes": []any{map[string]any{"name": small.Name, "effect": "retryable", "promisedTime": ns(small.Promised),
				"hardStop": ns(small.HardStop), "benefit": small.Benefit}},
			"tenants": []any{},
		},
	}
	if len(c.peers) > 0 {
		own := b.at(routerAt, 0, wordsPort)
		conf["peer_listen"], conf["peers"] = own, append([]string{own}, c.peers...)
	}
	if s.counter != nil {
		conf["discovery"] = s.counter.ln.Addr().String()
	}
	if c.door {
		conf["ops"] = b.at(routerAt, 0, 9400)
	}
	if c.garbled {
		conf["name"] = 7 // a text is wanted
	}
	text, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	var theirs strings.Builder
	if c.recovery {
		fmt.Fprint(&theirs, "[recovery]\non = true\n")
	}
	if c.zones {
		fmt.Fprint(&theirs, "[zones]\non = true\n")
	}
	if c.teams > 0 {
		fmt.Fprintf(&theirs, "[broker]\nothers = \"platform\"\n[[team]]\nname = \"one\"\ntenant = \"one\"\nbudget = %d\nburst = 100\n"+
			"[[team.type]]\nname = \"one\"\neffect = \"reissuable\"\npromised_ms = 150\nhard_stop_ms = 750\nbenefit = 5\n", c.teams)
	}
	if err = replace(filepath.Join(b.dir, "router.toml"), []byte(theirs.String())); err != nil {
		return err
	}
	return replace(filepath.Join(b.dir, "router.json"), text)
}

func replace(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// router starts a real router before a stage; it is not waited for.
func (b *bench) router(s *stage, c setup) (*process, error) {
	if err := b.configure(s, c); err != nil {
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
	p, err := launch(b.dir, "router", b.program.Args, env)
	if err != nil {
		return nil, err
	}
	p.addr, p.conf = b.at(routerAt, 0, 11211), filepath.Join(b.dir, "router.json")
	return p, nil
}

// before calls f with so many servers, and ends them after it.
func (b *bench) before(servers int, f func(s *stage) error) error {
	s, err := b.open(servers)
	if err != nil {
		return err
	}
	defer s.close()
	return f(s)
}

// with calls f with a ready and settled router before so many servers, and ends all after it.
func (b *bench) with(servers int, c setup, f func(s *stage, p *process) error) error {
	return b.before(servers, func(s *stage) (err error) {
		if c.counted {
			err = again(b.ctx, func() (err error) {
				s.counter, err = newCounter(b.at(listsAt, len(s.lists), 8500), s.lists[c.list].Addr())
				return err
			})
			if err != nil {
				s.counter = nil
				return err
			}
		}
		p, err := b.router(s, c)
		if err != nil {
			return err
		}
		defer p.kill()
		if err = p.ready(b.ctx); err != nil {
			return err
		}
		if err = sleep(b.ctx, b.plan.Settle, p); err != nil {
			return err
		}
		return f(s, p)
	})
}
