package multiprocess

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// kept is a fleet whose routers keep what helps their next process: what they finish a second, and the list.
func kept(t *testing.T) *fleet {
	f := start(t, nil)
	f.calm("zone-1")
	f.until("all are in full service, and have kept their rate", 15, func() bool {
		for n := range f.Routers() {
			found, _ := filepath.Glob(filepath.Join(f.Folder(n), "*.store-*"))
			rated := false
			for _, path := range found {
				text, _ := os.ReadFile(path)
				rated = rated || strings.Contains(string(text), "rate")
			}
			if !rated {
				return false
			}
		}
		return true
	})
	return f
}

// blackout kills all routers and has all servers start anew, cold; restart begins the routers again.
func (f *fleet) blackout() (restart func()) {
	f.t.Helper()
	f.Kill(every(0, f.Routers())...)
	var ends []func()
	for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3"} {
		ends = append(ends, f.on(zone, func(s *emulator.Server) func() error { return s.Crash() }))
	}
	for _, end := range ends {
		end()
	}
	f.during("the list service learns of it", 0.5, func() bool { return true })
	return func() {
		f.mark = f.Now()
		if err := f.Start(every(0, f.Routers())...); err != nil {
			f.t.Fatal(err)
		}
	}
}

// All routers are killed in one second, and all servers are cold: what the routers finished before tells what servers bear, so that they
// are used at once and not only when they are warm. No cold server and no origin is pushed over, which the verdict tells.
func TestAllKilledAndAllCold(t *testing.T) {
	f := kept(t)
	f.blackout()()
	began := f.Now()
	f.until("a fifth is served, a second after", 2, func() bool {
		part, n := f.Served(f.mark+0.5, f.mark+1)
		return f.Now() > f.mark+1.5 && n > 50 && part > 0.2
	})
	f.until("all is served", 9, func() bool { return f.serves(1, 0.97) })
	t.Logf("full service %.1f s after the last start; servers are warm after 3 s", f.Now()-began)
	f.until("each router says so", 3, func() bool {
		for n := range f.Routers() {
			var st struct {
				Phase string  `json:"phase"`
				Full  float64 `json:"full_service_seconds"`
			}
			if _, err := f.Ask(n, "/status", "", &st); err != nil || st.Phase != "full" || st.Full <= 0 {
				return false
			}
		}
		return true
	})
}

// The same with every store lost, damaged, or another router's: all start and serve, later.
func TestAllKilledAndStoresLost(t *testing.T) {
	f := kept(t)
	restart := f.blackout()
	for n := range f.Routers() {
		found, _ := filepath.Glob(filepath.Join(f.Folder(n), "*.store-*"))
		for i, path := range found {
			text, _ := os.ReadFile(path)
			switch {
			case n%3 == 0:
				os.Remove(path)
			case n%3 == 1:
				os.WriteFile(path, append(text[:len(text)/2], 0xff), 0o600)
			default: // that of the router beside
				theirs, _ := filepath.Glob(filepath.Join(f.Folder((n+3)%f.Routers()), "*.store-*"))
				if other, err := os.ReadFile(theirs[i%len(theirs)]); err == nil {
					os.WriteFile(path, other, 0o600)
				}
			}
		}
	}
	restart()
	f.until("all is served", 15, func() bool { return f.serves(1, 0.97) })
	for n := range f.Routers() {
		if told := f.Log(n, "cannot be used and is renamed", 3); n%3 != 0 && len(told) == 0 {
			t.Errorf("router %d says nothing of its store", n)
		}
	}
}

// Most routers are killed, three times while they come back; each time all is served again, and the routers that live serve on.
func TestMostKilledAgainAndAgain(t *testing.T) {
	f := kept(t)
	for range 3 {
		f.Kill(every(0, 8)...)
		if err := f.Start(every(0, 8)...); err != nil {
			t.Fatal(err)
		}
		f.mark = f.Now()
		f.during("some of them may serve", 0.3, func() bool { return true })
	}
	f.until("all is served", 6, func() bool { return f.serves(1, 0.97) })
}

// The list service is silent for the whole restart, and the platform gives no list: the one that was kept serves.
func TestListServiceSilentAtRestart(t *testing.T) {
	f := start(t, func(text string) string { return strings.Replace(text, "[list]", "[list]\nforgets = true", 1) })
	f.calm("zone-1")
	f.until("the list is kept", 10, func() bool {
		for n := range f.Routers() {
			if found, _ := filepath.Glob(filepath.Join(f.Folder(n), "*.store-*")); len(found) == 0 {
				return false
			}
		}
		return true
	})
	heal := f.cut("part", "lists", "routers", 0)
	f.Kill(every(0, f.Routers())...)
	f.mark = f.Now()
	if err := f.Start(every(0, f.Routers())...); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(5, every(0, f.Routers())...); err != nil {
		t.Fatalf("without a list service none is ready: %v", err)
	}
	f.until("all is served", 6, func() bool { return f.serves(1, 0.97) })
	heal()
	f.during("all is served", 1, func() bool { return f.serves(0.5, 0.9) })
}
