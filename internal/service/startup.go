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
	rateWindowSeconds       = 10.0 // over which the completion rate is averaged, against bursts
	startupStepSeconds      = 0.1  // between two calls of startupAdapter.step
	rateSaveIntervalSeconds = 2.0  // between two saves of the completion rate
	// snapshotCloseTimeout is how long the shutdown waits for the disk. What is not written by then is only a hint from
	// the last second.
	snapshotCloseTimeout = 100 * time.Millisecond
)

// startupAdapter tracks this process's progress to full service, and saves a snapshot for the next start. A nil adapter
// ignores endpoint lists.
type startupAdapter struct {
	service  *Service
	tracker  *startup.Tracker
	snapshot *snapshot.Store // nil: nothing is saved

	rate          float64 // averaged requests completed per second
	rateCompleted uint64  // requests completed when the rate was last updated
	rateAt        float64 // time of that update, in seconds of the loop's clock
	rateSavedAt   float64 // time of the last save

	// generation is that of the newest entry saved by this process or found in the snapshot: each entry that this process
	// saves gets a higher one.
	generation uint64
}

// openStartup begins to track this start. It reads the snapshot and uses those entries that are not too old.
func (s *Service) openStartup(operators operatorconfig.File) {
	now := s.loop.Now()
	a := &startupAdapter{service: s, tracker: startup.NewTracker(now), rateAt: now}
	s.startup = a
	if !operators.Recovery.On {
		return
	}
	path := snapshot.Path(s.conf.SharedFolder, s.conf.Listen)
	if path == "" {
		s.log.Warn().Msg("recovery is on, but there is no folder (TMPDIR) for the snapshot; nothing is saved")
		return
	}
	a.snapshot = snapshot.Open(path, s.conf.Listen, s.log)
	now = s.loop.Now() // reading from the disk may have taken long
	a.loadRate(now)
	a.loadList(now)
}

// loadRate sets the completion rate of the last run as the initial one.
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

// loadList uses the endpoint list of the last run if the configuration has none and the list service is the same.
func (a *startupAdapter) loadList(now float64) {
	entry, found := a.snapshot.Get(startup.EndpointList)
	if !found {
		return
	}
	a.generation = max(a.generation, entry.Generation)
	conf := &a.service.conf
	usable := len(conf.InitialEndpoints.Instances) == 0 && entry.Source == conf.Discovery
	if !usable || !startup.Usable(startup.EndpointList, entry.StoredAt, now) {
		return
	}
	conf.InitialEndpoints = parseSnapshotList(entry.Body, now)
	a.service.log.Info().
		Uint64("generation", conf.InitialEndpoints.Generation).
		Int("servers", len(conf.InitialEndpoints.Instances)).
		Float64("age", now-entry.StoredAt).
		Msg("the endpoint list of the snapshot is used until the list service sends one")
}

func (a *startupAdapter) begin() { a.step() }

func (a *startupAdapter) step() {
	s := a.service
	if s.lifecycle.phase == Ended {
		return
	}
	now := s.loop.Now()
	counts := s.pools.platform.core.Counts
	for _, change := range a.tracker.Tick(now, counts.Received, counts.Succeeded) {
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
	if a.snapshot != nil || phase < startup.FullService { // otherwise there is nothing left to track or save
		s.loop.After(startupStepSeconds, a.step)
	}
}

// updateRate updates the completion rate, an exponentially weighted moving average.
func (a *startupAdapter) updateRate(now float64, completed uint64) {
	elapsed := now - a.rateAt
	if elapsed <= 0 {
		return
	}
	a.rate += (float64(completed-a.rateCompleted)/elapsed - a.rate) * (1 - math.Exp(-elapsed/rateWindowSeconds))
	a.rateCompleted = completed
	a.rateAt = now
}

// correctedRate returns the rate without the bias towards 0 of an average that starts at 0, which is large until the
// process has run for longer than rateWindowSeconds. A rate from the snapshot has no such bias.
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

// onEndpoints handles the platform's endpoint list. confirmed reports whether the list service has sent it to
// this process.
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

// writeMetrics writes the progress of the start and the snapshot's counts.
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

// Status returns the progress of this start, and what it waits for.
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
