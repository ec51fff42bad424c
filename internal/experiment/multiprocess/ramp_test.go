package multiprocess

import (
	"encoding/json"
	"math"
	"time"
)

// The recovery ramp of a zone whose servers are warm within 3 s, as zonefailover documents it: it begins with a
// sixteenth of the zone's keys, and doubles that share every quarter of a second.
const (
	firstRampShare  = 1.0 / 16
	rampStepSeconds = 0.25
	// logTimeTolerance covers the time from a transition until its log line has its time, and the line's rounding.
	logTimeTolerance = 0.1 // seconds
)

// zoneTransition is a zone's transition as a router logs it.
type zoneTransition struct {
	router int
	at     float64 // Unix seconds

	Time  time.Time
	Zone  string
	From  string
	To    string
	Share float64
}

// isRecoveryStart reports whether the zone begins a recovery by this transition.
func (z zoneTransition) isRecoveryStart() bool { return z.To == "returning" && z.From != "returning" }

// transitions returns a router's transitions of a zone since a time, in their order.
func (f *fleet) transitions(router int, zone string, since float64) (all []zoneTransition) {
	f.t.Helper()
	for _, line := range f.LogLines(router, `"message":"zone"`, 1000) {
		transition := zoneTransition{router: router}
		if err := json.Unmarshal([]byte(line), &transition); err != nil {
			f.t.Fatalf("router %d: log line %q: %v", router, line, err)
		}
		transition.at = float64(transition.Time.UnixNano()) / 1e9
		if transition.Zone == zone && transition.at >= since {
			all = append(all, transition)
		}
	}
	return all
}

// recoveryRamp is how the first router that gives a zone all of its keys back has recovered it.
type recoveryRamp struct {
	start, full zoneTransition
}

// recoveryRamp returns the ramp of a zone's recovery since a time, and the first start of a recovery at any router.
func (f *fleet) recoveryRamp(zone string, since float64) (ramp recoveryRamp, first zoneTransition) {
	f.t.Helper()
	ramp.full.at, first.at = math.Inf(1), math.Inf(1)
	for router := range f.Routers() {
		var start zoneTransition
		for _, transition := range f.transitions(router, zone, since) {
			if transition.isRecoveryStart() {
				start = transition
			}
			if transition.isRecoveryStart() && transition.at < first.at {
				first = transition
			}
			if transition.To == "returning" && transition.Share == 1 && transition.at < ramp.full.at {
				ramp = recoveryRamp{start, transition}
			}
		}
	}
	if math.IsInf(ramp.full.at, 1) {
		f.t.Fatalf("no router logged a recovery of %s", zone)
	}
	return ramp, first
}

// checkRecoveryRamp checks that the routers have recovered a zone since a time in the steps of the ramp, and that the
// servers were sent what the steps allow. The share is one of keys, not of requests: how many requests a single step
// admits depends on which keys are in it. Therefore the steps' times are read from the log, and the executions are
// counted over the whole ramp, during which the share is never above a half.
func (f *fleet) checkRecoveryRamp(zone string, usualRate, since float64) {
	f.t.Helper()
	ramp, first := f.recoveryRamp(zone, since)
	if first.Share != firstRampShare {
		f.t.Errorf("the recovery began with a share of %v at router %d, want %v", first.Share, first.router, firstRampShare)
	}
	steps := math.Log2(1 / ramp.start.Share)
	seconds := ramp.full.at - ramp.start.at
	if seconds < steps*rampStepSeconds-logTimeTolerance {
		f.t.Errorf("router %d: share from %v to 1 within %.3f s, want %v steps of %v s",
			ramp.start.router, ramp.start.Share, seconds, steps, rampStepSeconds)
	}
	executions := f.ExecutionCount(zone, ramp.start.at) - f.ExecutionCount(zone, ramp.full.at)
	if float64(executions) >= usualRate*seconds/2 {
		f.t.Errorf("%d executions in the %.3f s of the ramp, want less than half of the usual %.0f a second",
			executions, seconds, usualRate)
	}
	f.t.Logf("ramp of %.3f s at router %d, %d executions, usual %.0f a second",
		seconds, ramp.start.router, executions, usualRate)
}
