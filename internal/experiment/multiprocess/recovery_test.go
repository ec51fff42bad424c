package multiprocess

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// startWithSnapshots starts a fleet and waits until each router's snapshot contains its rate of finished requests; a
// snapshot holds the endpoint list, too.
func startWithSnapshots(t *testing.T) *fleet {
	f := start(t, nil)
	f.steadyRate("zone-1")
	f.waitFor("all routers have a snapshot with their rate", 15, func() bool {
		for n := range f.Routers() {
			paths, _ := filepath.Glob(filepath.Join(f.RouterFolder(n), "*.store-*"))
			hasRate := false
			for _, path := range paths {
				text, _ := os.ReadFile(path)
				hasRate = hasRate || strings.Contains(string(text), "rate")
			}
			if !hasRate {
				return false
			}
		}
		return true
	})
	return f
}

// killAll kills all routers and restarts all servers cold; restart starts the routers again.
func (f *fleet) killAll() (restart func()) {
	f.t.Helper()
	f.Kill(routerRange(0, f.Routers())...)
	var ends []func()
	for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3"} {
		ends = append(ends, f.faultZone(zone, func(s *emulator.Server) func() error { return s.Crash() }))
	}
	for _, end := range ends {
		end()
	}
	f.requireDuring("the list service notices the restarts", 0.5, func() bool { return true })
	return func() {
		f.ignoreBefore = f.Now()
		if err := f.Start(routerRange(0, f.Routers())...); err != nil {
			f.t.Fatal(err)
		}
	}
}

// All routers are killed within one second, and all servers restart cold. The snapshots contain the rate of requests
// finished before, from which the routers estimate what the servers can take, so the servers are used immediately,
// not only when they are warm. The rules check that no cold server and no origin is overloaded.
func TestFleetRestartWithColdServers(t *testing.T) {
	f := startWithSnapshots(t)
	f.killAll()()
	began := f.Now()
	f.waitFor("a fifth of the requests is served within a second", 2, func() bool {
		fraction, n := f.FractionInTime(f.ignoreBefore+0.5, f.ignoreBefore+1)
		return f.Now() > f.ignoreBefore+1.5 && n > 50 && fraction > 0.2
	})
	f.waitFor("all requests are served in time", 9, func() bool { return f.servedInTime(1, 0.97) })
	t.Logf("full service %.1f s after the last router started; servers are warm after 3 s", f.Now()-began)
	f.waitFor("each router reports full service", 3, func() bool {
		for n := range f.Routers() {
			var status struct {
				Phase string  `json:"phase"`
				Full  float64 `json:"full_service_seconds"`
			}
			if _, err := f.CallAdmin(n, "/status", "", &status); err != nil || status.Phase != "full" || status.Full <= 0 {
				return false
			}
		}
		return true
	})
}

// All routers restart, and each snapshot is lost, damaged, or from another router. All routers must start without it
// and serve, later than with it.
func TestFleetRestartWithoutUsableSnapshots(t *testing.T) {
	f := startWithSnapshots(t)
	restart := f.killAll()
	for n := range f.Routers() {
		paths, _ := filepath.Glob(filepath.Join(f.RouterFolder(n), "*.store-*"))
		for i, path := range paths {
			text, _ := os.ReadFile(path)
			switch {
			case n%3 == 0:
				os.Remove(path)
			case n%3 == 1:
				os.WriteFile(path, append(text[:len(text)/2], 0xff), 0o600)
			default: // the snapshot of another router
				otherPaths, _ := filepath.Glob(filepath.Join(f.RouterFolder((n+3)%f.Routers()), "*.store-*"))
				if other, err := os.ReadFile(otherPaths[i%len(otherPaths)]); err == nil {
					os.WriteFile(path, other, 0o600)
				}
			}
		}
	}
	restart()
	f.waitFor("all requests are served in time", 15, func() bool { return f.servedInTime(1, 0.97) })
	for n := range f.Routers() {
		if lines := f.LogLines(n, "cannot be used and is renamed", 3); n%3 != 0 && len(lines) == 0 {
			t.Errorf("router %d: got no log line on its unusable snapshot, want one", n)
		}
	}
}

// Most routers are killed three times, each time while they still start up. The others must keep serving, and all
// requests must be served in time afterwards.
func TestRepeatedKillsOfMostRouters(t *testing.T) {
	f := startWithSnapshots(t)
	for range 3 {
		f.Kill(routerRange(0, 8)...)
		if err := f.Start(routerRange(0, 8)...); err != nil {
			t.Fatal(err)
		}
		f.ignoreBefore = f.Now()
		f.requireDuring("some restarted routers may serve", 0.3, func() bool { return true })
	}
	f.waitFor("all requests are served in time", 6, func() bool { return f.servedInTime(1, 0.97) })
}

// The list service is silent during a restart of all routers, and the platform provides no endpoint list: the routers
// must serve with the list in their snapshots.
func TestListServiceSilentAtRestart(t *testing.T) {
	f := start(t, func(text string) string { return strings.Replace(text, "[list]", "[list]\nforgets = true", 1) })
	f.steadyRate("zone-1")
	f.waitFor("all routers have a snapshot", 10, func() bool {
		for n := range f.Routers() {
			if paths, _ := filepath.Glob(filepath.Join(f.RouterFolder(n), "*.store-*")); len(paths) == 0 {
				return false
			}
		}
		return true
	})
	heal := f.beginFault("part", "lists", "routers", 0)
	f.Kill(routerRange(0, f.Routers())...)
	f.ignoreBefore = f.Now()
	if err := f.Start(routerRange(0, f.Routers())...); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(5, routerRange(0, f.Routers())...); err != nil {
		t.Fatalf("routers are not ready without a list service: %v", err)
	}
	f.waitFor("all requests are served in time", 6, func() bool { return f.servedInTime(1, 0.97) })
	heal()
	f.requireDuring("all requests are served in time", 1, func() bool { return f.servedInTime(0.5, 0.9) })
}
