package service

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"bendtrestle/internal/admin"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/upstream"
)

const publishing = 0.1 // seconds between two snapshots of the figures: they may be 0.5 s old

// desk is what the operators' door may call, from its goroutines.
type desk struct {
	s       *Service
	ready   atomic.Bool
	figures atomic.Pointer[[]byte]
	shown   bool // the next snapshot is on its way
}

// Ready tells whether clients are taken.
func (d *desk) Ready() bool { return d.ready.Load() }

// Metrics gives the last snapshot.
func (d *desk) Metrics() []byte { return *d.figures.Load() }

// do acts on the loop, and tells how it went. What the loop has not begun in time is not done.
func (d *desk) do(act func() error) error {
	const late = 400 * time.Millisecond // an answer is owed in a second, and a call may come to the loop twice
	var begun atomic.Bool
	ended := make(chan error, 1)
	d.s.loop.Post(func() {
		if begun.CompareAndSwap(false, true) {
			err := act()
			d.s.publish()
			ended <- err
		}
	})
	select {
	case err := <-ended:
		return err
	case <-time.After(late):
		if begun.CompareAndSwap(false, true) {
			return admin.ErrBusy
		}
		return <-ended
	}
}

// Drain sends clients away until Undrain.
func (d *desk) Drain() error { return d.do(func() error { return d.s.drain(true) }) }

// Undrain takes clients again.
func (d *desk) Undrain() error { return d.do(func() error { return d.s.drain(false) }) }

var errEnding = errors.New("the router is ending")

const shutting = 1.5 // seconds after a drain's call, when no connection is read any more: at 4 s no request may be of the last 2

// drain begins or ends sending clients away.
func (s *Service) drain(on bool) error {
	if s.phase >= Leaving {
		return errEnding
	}
	if s.draining == on {
		return nil
	}
	s.draining = on
	s.drains++
	s.log.Info().Bool("draining", on).Int("clients", s.front.Clients()).Msg("drain")
	s.front.Drain(on)
	if number := s.drains; on {
		step := func(after float64, then func()) {
			s.loop.After(after, func() {
				if s.draining && s.drains == number && s.phase < Leaving {
					then()
				}
			})
		}
		step(lingering, s.front.Leave)
		step(shutting, s.front.Shut)
	}
	return nil
}

// publish makes a snapshot of what the door shows, now and again and again.
func (s *Service) publish() {
	d := s.desk
	if d == nil {
		return
	}
	d.ready.Store(s.taking())
	text := s.figures()
	d.figures.Store(&text)
	if !d.shown && s.phase != Ended {
		d.shown = true
		s.loop.After(publishing, func() { d.shown = false; s.publish() })
	}
}

// taking tells whether clients are taken.
func (s *Service) taking() bool { return s.phase == Serving && !s.draining && s.heirs == 0 }

// figures are the numbers that operators' dashboards read, a line each; docs/operators/operations.md tells what each shows.
func (s *Service) figures() []byte {
	var all strings.Builder
	say := func(name string, value uint64) { fmt.Fprintf(&all, "gw.%s=%d\n", name, value) }
	for _, kind := range s.kinds() {
		t := s.front.Tally(kind)
		say("transactions."+kind+".answered", t.Answered)
		say("transactions."+kind+".deferred", t.Deferred)
		say("transactions."+kind+".errored", t.Errored)
	}
	serving := append(slices.Collect(maps.Values(s.pools)), s.platform)
	sends, servers, listed, avoided := s.sent, s.cut, 0, 0
	for _, p := range slices.Concat(serving, s.leaving) { // these have their last operations out
		sends += p.fleet.Sends()
		for why, n := range p.fleet.Cut() {
			servers[why] += n
		}
	}
	for _, p := range serving {
		more, worse := p.standing()
		listed, avoided = listed+more, avoided+worse
	}
	say("sends", sends)
	say("current", uint64(s.front.Open()))
	say("cluster_size", uint64(listed))
	say("cluster_unhealthy", uint64(avoided))
	say("conf_loaded", s.loaded)
	say("conf_invalid", s.invalid)
	for why, n := range s.front.Cut() {
		say("cut.clients."+frontend.Cuts[why], n)
	}
	for why, n := range servers {
		say("cut.servers."+upstream.Cuts[why], n)
	}
	s.zones.figures(say)
	s.gossip.figures(say)
	if s.operators.Recovery.On {
		s.recovery.figures(say)
	}
	return []byte(all.String())
}

// kinds names the traffic types of the settings and of the contracts.
func (s *Service) kinds() (all []string) {
	for _, t := range s.conf.Settings.TrafficClasses {
		all = append(all, t.Name)
	}
	all = append(all, s.broker.TrafficClassNames()...)
	slices.Sort(all)
	return slices.Compact(all)
}
