package service

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/discovery"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
	"bendtrestle/internal/snapshot"

	"github.com/fxamacker/cbor/v2"
)

const (
	rateOver = 10.0 // seconds over which the rate is reckoned: a burst is no rate
	stepping = 0.1  // seconds between two steps of a start
	putting  = 2.0  // seconds between two rates that are kept
)

// recoveryWatch follows a start to full service, and keeps what helps the next. A nil one does nothing.
type recoveryWatch struct {
	s      *Service
	start  *startup.Tracker
	store  *snapshot.Store // nil: nothing is kept
	rate   float64
	done   uint64  // operations finished when the rate was last reckoned
	at     float64 // when that was
	put    float64
	number uint64 // generation of what was kept last, also before: what a process keeps is newer than all that it found
}

// openRecovery begins to follow this start. What was kept from before is read here, and used where it may still be believed.
func (s *Service) openRecovery(f operatorconfig.File) {
	w := &recoveryWatch{s: s, start: startup.NewTracker(s.loop.Now()), at: s.loop.Now()}
	s.recovery = w
	base := snapshot.Path(s.conf.Shared, s.conf.Listen)
	if !f.Recovery.On {
		return
	}
	if base == "" {
		s.log.Warn().Msg("recovery is on, and there is no folder (TMPDIR) to keep anything in")
		return
	}
	w.store = snapshot.Open(base, s.conf.Listen, s.log)
	now := s.loop.Now()
	if e, there := w.store.Get(startup.CompletionRate); there {
		w.number = e.Generation
		x, err := strconv.ParseFloat(string(e.Body), 64)
		if ok := err == nil && x > 0 && !math.IsInf(x, 0) && startup.Usable(startup.CompletionRate, e.StoredAt, now); ok {
			s.conf.Settings.InitialCompletionRate, w.rate = x, x
		}
		s.log.Info().Float64("rate", x).Float64("age", now-e.StoredAt).Bool("used", s.conf.Settings.InitialCompletionRate > 0).Msg("kept from before")
	}
	if e, there := w.store.Get(startup.EndpointList); there {
		w.number = max(w.number, e.Generation)
		if len(s.conf.Known.Instances) == 0 && e.Source == s.conf.Discovery && startup.Usable(startup.EndpointList, e.StoredAt, now) {
			s.conf.Known = keptList(e, now)
			s.log.Info().Uint64("generation", s.conf.Known.Generation).Int("servers", len(s.conf.Known.Instances)).Float64("age", now-e.StoredAt).
				Msg("the list of before is used until another comes")
		}
	}
}

// kept is a list as it is kept.
type kept struct {
	Generation uint64       `cbor:"1,keyasint"` // of the list service
	Servers    []keptServer `cbor:"2,keyasint"`
}

type keptServer struct {
	Member savedMember `cbor:"1,keyasint"`
	Addr   string      `cbor:"2,keyasint"`
}

// keptList reads it. Which of its servers have started anew since nobody knows, so each counts as one that has just done so.
func keptList(e snapshot.Entry, now float64) (l discovery.EndpointList) {
	var k kept
	if cbor.Unmarshal(e.Body, &k) != nil { // written by another build, then; its checksum is right
		return l
	}
	l.Generation, l.Complete = k.Generation, true
	for _, x := range k.Servers {
		if addr, err := netip.ParseAddrPort(x.Addr); err == nil {
			x.Member.Started = now
			l.Instances = append(l.Instances, discovery.Instance{Endpoint: x.Member.member(), Addr: addr})
		}
	}
	return l
}

func (w *recoveryWatch) begin() { w.tick() }

func (w *recoveryWatch) tick() {
	if w.s.phase == Ended {
		return
	}
	now, c := w.s.loop.Now(), w.s.platform.router.Counts
	for _, x := range w.start.Tick(now, c.Taken, c.Succeeded) {
		w.s.log.Info().Stringer("from", x.From).Stringer("to", x.To).Float64("after", now-w.s.began).Str("why", x.Reason).Msg("start")
	}
	if passed := now - w.at; passed > 0 {
		w.rate += (float64(c.Succeeded-w.done)/passed - w.rate) * (1 - math.Exp(-passed/rateOver))
		w.done, w.at = c.Succeeded, now
	}
	if p, _, _ := w.start.Phase(); w.store != nil && p == startup.FullService && now-w.put > putting {
		w.put = now
		w.keep(startup.CompletionRate, "this router", []byte(fmt.Sprintf("%.6g", w.usual(now))))
	}
	if p, _, _ := w.start.Phase(); w.store != nil || p < startup.FullService { // else there is nothing left to do
		w.s.loop.After(stepping, w.tick)
	}
}

func (w *recoveryWatch) keep(kind, from string, body []byte) {
	w.number++
	w.store.Put(kind, snapshot.Entry{Generation: w.number, StoredAt: w.s.loop.Now(), Source: from, Body: body})
}

// usual is the rate as one that has run for long would have it: at first less time than it is reckoned over has passed.
func (w *recoveryWatch) usual(now float64) float64 {
	if w.s.conf.Settings.InitialCompletionRate > 0 {
		return w.rate
	}
	return w.rate / (1 - math.Exp(-max(now-w.s.began, 1)/rateOver))
}

// listed takes the platform's list, confirmed where the list service has told it in this process's life.
func (w *recoveryWatch) listed(p *pool, confirmed bool) {
	if w == nil || p != w.s.platform {
		return
	}
	ready, k := 0, kept{Generation: p.told}
	for _, e := range p.entries {
		if e.State == balancer.Ready {
			ready++
		}
		k.Servers = append(k.Servers, keptServer{saveMember(e.Endpoint), e.Addr.String()})
	}
	if w.start.OnEndpoints(ready, confirmed); confirmed && w.store != nil {
		if body, err := cbor.Marshal(k); err == nil {
			w.keep(startup.EndpointList, w.s.conf.Discovery, body)
		}
	}
}

func (w *recoveryWatch) close() {
	if w.store != nil {
		w.store.Close(100 * time.Millisecond) // what is not written by then is a hint of the last second
	}
}

// figures shows how far the start is.
func (w *recoveryWatch) figures(say func(name string, value uint64)) {
	p, _, full := w.start.Phase()
	say("start_phase", uint64(p))
	say("full_service_ms", uint64(full*1e3))
	if w.store != nil {
		c := w.store.Stats()
		say("store_written", c.Written)
		say("store_failed", c.Failed)
		say("store_slowest_ms", uint64(c.SlowestWrite*1e3))
	}
}

// Status tells how far this start is, and what it waits for.
func (d *desk) Status() (st admin.Status, err error) {
	err = d.do(func() error {
		p, since, full := d.s.recovery.start.Phase()
		st = admin.Status{Phase: p.String(), PhaseSeconds: d.s.loop.Now() - since, FullServiceSeconds: full, WaitsFor: p.WaitsFor(), AcceptsClients: d.s.taking()}
		return nil
	})
	return st, err
}
