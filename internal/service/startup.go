package service

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/admin"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/policy/startup"
	"bendtrestle/internal/snapshot"

	"github.com/fxamacker/cbor/v2"
)

const (
	rateWindowSeconds       = 10.0 // over which the completion rate is averaged: a burst is no rate
	startupStepSeconds      = 0.1  // between two steps of a start
	rateSaveIntervalSeconds = 2.0  // between two rates that are saved
	// snapshotCloseTimeout is how long the end waits for the disk: what is not written by then is a hint of the last
	// second.
	snapshotCloseTimeout = 100 * time.Millisecond
)

// startupAdapter follows this process's way to full service, and keeps a snapshot of what helps the next start. A
// nil one takes no endpoint list yet.
type startupAdapter struct {
	service  *Service
	tracker  *startup.Tracker
	snapshot *snapshot.Store // nil: nothing is saved

	rate          float64 // requests completed a second, averaged
	rateCompleted uint64  // requests completed when the rate was last updated
	rateAt        float64 // when that was, in seconds of the loop's clock
	rateSavedAt   float64 // when the rate was last saved

	// generation is that of the entry saved last, also by the processes before: what this one saves is newer than all
	// it found.
	generation uint64
}

// openStartup begins to follow this start. What the snapshot has is read here, and used where it may still be
// believed.
func (s *Service) openStartup(operators operatorconfig.File) {
	now := s.loop.Now()
	a := &startupAdapter{service: s, tracker: startup.NewTracker(now), rateAt: now}
	s.startup = a
	if !operators.Recovery.On {
		return
	}
	path := snapshot.Path(s.conf.SharedFolder, s.conf.Listen)
	if path == "" {
		s.log.Warn().Msg("recovery is on, but there is no folder (TMPDIR) for the snapshot")
		return
	}
	a.snapshot = snapshot.Open(path, s.conf.Listen, s.log)
	now = s.loop.Now() // the disk may have taken its time
	a.loadRate(now)
	a.loadList(now)
}

// loadRate takes the completion rate of the last run as the one to begin with.
func (a *startupAdapter) loadRate(now float64) {
	entry, found := a.snapshot.Get(startup.CompletionRate)
	if !found {
		return
	}
	a.generation = entry.Generation
	settings := &a.service.conf.Settings
	rate, err := strconv.ParseFloat(string(entry.Body), 64)
	valid := err == nil && rate > 0 && !math.IsInf(rate, 0)
	if valid && startup.Usable(startup.CompletionRate, entry.StoredAt, now) {
		settings.InitialCompletionRate = rate
		a.rate = rate
	}
	a.service.log.Info().
		Float64("rate", rate).
		Float64("age", now-entry.StoredAt).
		Bool("used", settings.InitialCompletionRate > 0).
		Msg("completion rate of the last run, from the snapshot")
}

// loadList takes the endpoint list of the last run, where the platform gives none and the list service is the same.
func (a *startupAdapter) loadList(now float64) {
	entry, found := a.snapshot.Get(startup.EndpointList)
	if !found {
		return
	}
	a.generation = max(a.generation, entry.Generation)
	conf := &a.service.conf
	usable := len(conf.Known.Instances) == 0 && entry.Source == conf.Discovery
	if !usable || !startup.Usable(startup.EndpointList, entry.StoredAt, now) {
		return
	}
	conf.Known = parseSnapshotList(entry.Body, now)
	a.service.log.Info().
		Uint64("generation", conf.Known.Generation).
		Int("servers", len(conf.Known.Instances)).
		Float64("age", now-entry.StoredAt).
		Msg("the endpoint list of the snapshot is used until another comes")
}

func (a *startupAdapter) begin() { a.step() }

func (a *startupAdapter) step() {
	s := a.service
	if s.lifecycle.phase == Ended {
		return
	}
	now := s.loop.Now()
	counts := s.pools.platform.core.Counts
	for _, change := range a.tracker.Tick(now, counts.Taken, counts.Succeeded) {
		s.log.Info().
			Stringer("from", change.From).
			Stringer("to", change.To).
			Float64("after", now-s.lifecycle.startedAt).
			Str("why", change.Reason).
			Msg("start")
	}
	a.updateRate(now, counts.Succeeded)
	phase, _, _ := a.tracker.Phase()
	if a.snapshot != nil && phase == startup.FullService && now-a.rateSavedAt > rateSaveIntervalSeconds {
		a.rateSavedAt = now
		a.save(startup.CompletionRate, "this router", fmt.Appendf(nil, "%.6g", a.correctedRate(now)))
	}
	if a.snapshot != nil || phase < startup.FullService { // else there is nothing left to do
		s.loop.After(startupStepSeconds, a.step)
	}
}

// updateRate averages the completion rate with exponentially falling weights.
func (a *startupAdapter) updateRate(now float64, finished uint64) {
	elapsed := now - a.rateAt
	if elapsed <= 0 {
		return
	}
	a.rate += (float64(finished-a.rateCompleted)/elapsed - a.rate) * (1 - math.Exp(-elapsed/rateWindowSeconds))
	a.rateCompleted = finished
	a.rateAt = now
}

// correctedRate is the rate as a process that has run for long would have it: at first less time has passed than it is
// averaged over.
func (a *startupAdapter) correctedRate(now float64) float64 {
	if a.service.conf.Settings.InitialCompletionRate > 0 {
		return a.rate
	}
	return a.rate / (1 - math.Exp(-max(now-a.service.lifecycle.startedAt, 1)/rateWindowSeconds))
}

func (a *startupAdapter) save(kind, from string, body []byte) {
	a.generation++
	a.snapshot.Put(kind, snapshot.Entry{
		Generation: a.generation,
		StoredAt:   a.service.loop.Now(),
		Source:     from,
		Body:       body,
	})
}

// onEndpoints handles the platform's endpoint list, confirmed where the list service has brought it in this process's
// life.
func (a *startupAdapter) onEndpoints(p *pool, confirmed bool) {
	if a == nil || p != a.service.pools.platform {
		return
	}
	ready := 0
	list := snapshotList{Generation: p.generation}
	for _, entry := range p.endpoints {
		if entry.State == balancer.Ready {
			ready++
		}
		list.Servers = append(list.Servers, snapshotServer{saveEndpoint(entry.Endpoint), entry.Addr.String()})
	}
	a.tracker.OnEndpoints(ready, confirmed)
	if !confirmed || a.snapshot == nil {
		return
	}
	body, err := cbor.Marshal(list)
	if err == nil {
		a.save(startup.EndpointList, a.service.conf.Discovery, body)
	}
}

func (a *startupAdapter) close() {
	if a.snapshot != nil {
		a.snapshot.Close(snapshotCloseTimeout)
	}
}

// writeMetrics shows how far the start is, and how the snapshot fares.
func (a *startupAdapter) writeMetrics(write func(name string, value uint64)) {
	phase, _, fullServiceSeconds := a.tracker.Phase()
	write("start_phase", uint64(phase))
	write("full_service_ms", uint64(fullServiceSeconds*1e3))
	if a.snapshot != nil {
		counts := a.snapshot.Stats()
		write("store_written", counts.Written)
		write("store_failed", counts.Failed)
		write("store_slowest_ms", uint64(counts.SlowestWrite*1e3))
	}
}

// Status returns how far this start is, and what it waits for.
func (h *adminHandler) Status() (admin.Status, error) {
	var status admin.Status
	err := h.onLoop(func() error {
		phase, since, fullServiceSeconds := h.service.startup.tracker.Phase()
		status = admin.Status{
			Phase:              phase.String(),
			PhaseSeconds:       h.service.loop.Now() - since,
			FullServiceSeconds: fullServiceSeconds,
			WaitsFor:           phase.WaitsFor(),
			AcceptsClients:     h.service.acceptsClients(),
		}
		return nil
	})
	return status, err
}
