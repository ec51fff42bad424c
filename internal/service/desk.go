package service

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
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

// Figures gives the last snapshot.
func (d *desk) Figures() []byte { return *d.figures.Load() }

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
func (s *Service) taking() bool { return s.phase == Serving }

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
	sends := s.sent + s.platform.fleet.Sends()
	listed, avoided := s.platform.router.Standing()
	for _, p := range s.pools {
		sends += p.fleet.Sends()
		more, worse := p.router.Standing()
		listed, avoided = listed+more, avoided+worse
	}
	say("sends", sends)
	say("current", uint64(s.front.Open()))
	say("cluster_size", uint64(listed))
	say("cluster_unhealthy", uint64(avoided))
	say("conf_loaded", s.loaded)
	say("conf_invalid", s.invalid)
	return []byte(all.String())
}

// kinds names the traffic types of the settings and of the contracts.
func (s *Service) kinds() (all []string) {
	for _, t := range s.conf.Settings.TrafficTypes {
		all = append(all, t.Name)
	}
	all = append(all, s.broker.Kinds()...)
	slices.Sort(all)
	return slices.Compact(all)
}
