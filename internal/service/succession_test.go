package service

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

// gone ends a service as SIGTERM does, and waits for it.
func gone(t *testing.T, s *Service, ended chan error) {
	t.Helper()
	s.loop.Post(s.leave)
	select {
	case <-ended:
	case <-time.After(4 * time.Second):
		t.Fatal("it does not end")
	}
}

// halted waits until a process has been followed by another.
func halted(t *testing.T, s *Service) {
	t.Helper()
	until(t, "the old one's halt", s, func() bool { return s.heirs == 1 && !s.taking() })
}

// Under load, all in a row: one that follows dies before its yes, by SIGTERM; one after it; two follow at once and one of them goes; the
// last follows a process in a drain, and takes clients. Nothing is refused, reset or left unread, and limits are shared.
func TestUpgradesUnderLoad(t *testing.T) {
	list, shared, addr := fleet(t, time.Millisecond), t.TempDir(), freeAddress(t)
	s, ended := next(t, addr, list, shared)
	serving(t, s)
	stop := load(t, addr)
	early, earlyEnded := next(t, addr, "127.0.0.1:1", shared) // it never has a list
	until(t, "the old one's notice", s, func() bool { return s.beside == 1 && s.bounds().Clients < s.conf.Clients })
	gone(t, early, earlyEnded)
	late, lateEnded := next(t, addr, list, shared)
	halted(t, s)
	until(t, "half of the limits", late, func() bool { return late.bounds().Clients < late.conf.Clients })
	gone(t, late, lateEnded)
	until(t, "the old one's return", s, func() bool { return s.taking() && s.bounds().Clients == s.conf.Clients })
	one, oneEnded := next(t, addr, list, shared)
	halted(t, s)
	two, twoEnded := next(t, addr, list, shared)
	halted(t, one)
	gone(t, one, oneEnded)
	gone(t, s, ended)
	until(t, "the whole limits", two, func() bool { return two.bounds().Clients == two.conf.Clients && two.taking() })
	stop()
	on(two, func() error { return two.drain(true) })
	last, _ := next(t, addr, list, shared)
	halted(t, two)
	for range 20 { // the one in a drain accepts no more
		if got := ask(addr, "mn"); got != "MN" || !on(last, last.taking) {
			t.Fatalf("after one in a drain mn is answered %q", got)
		}
	}
	gone(t, two, twoEnded)
}

// One that cannot serve yet takes no client from the process before it, by sockets handed over or, without a folder, a shared address;
// it takes them as soon as it can, whether that one has ended, been killed before, or goes on.
func TestNotBeforeItServes(t *testing.T) {
	for _, c := range []struct{ folder, killed bool }{{true, true}, {true, false}, {false, false}} {
		list, shared, addr := fleet(t, 0), "", freeAddress(t)
		if c.folder {
			shared = t.TempDir()
		}
		s, ended := next(t, addr, list, shared)
		serving(t, s)
		after, _ := next(t, addr, "127.0.0.1:1", shared)
		want := "MN"
		if c.killed {
			want = "SERVER_ERROR starting"
			s.loop.Post(s.end)
			until(t, "the notice of its end", after, func() bool { return after.beside == 0 })
		}
		for range 20 {
			if got := ask(addr, "mn"); got != want {
				t.Fatalf("%v: before the next serves it answers %q", c, got)
			}
		}
		after.loop.Post(func() { after.platform.follow(list) })
		serving(t, after)
		if !c.killed {
			gone(t, s, ended)
		}
		if got := ask(addr, "mn"); got != "MN" {
			t.Errorf("%v: the next one answers %q", c, got)
		}
	}
}

// What the process before was told last is known from the start: the list service may be silent, and a drain must be kept. What cannot
// be read, is of another list service, or older, is refused whole.
func TestListIsHandedOver(t *testing.T) {
	list, shared, addr := fleet(t, 0), t.TempDir(), freeAddress(t)
	s, _ := next(t, addr, list, shared)
	serving(t, s)
	id := discovery.ID("s-1")
	on(s, func() bool {
		drains := s.platform.entries[id]
		other := drains
		drains.State, other.ID, other.Zone = balancer.Draining, 7, "b"
		s.platform.hear(balancer.UpdateDelta, discovery.EndpointList{Instances: []discovery.Instance{drains, other}})
		s.platform.told = 5
		return true
	})
	after, _ := next(t, addr, list, shared) // whose own start says that it is ready, generation 1
	on(after, func() bool {
		p := after.platform
		if e := p.entries[7]; len(p.entries) != 2 || p.entries[id].State != balancer.Draining || e.Zone != "b" || !e.Addr.IsValid() || p.listed[id] {
			t.Errorf("it knows %+v", p.entries)
		}
		for _, state := range []string{"", "{", `{"List":{"Entries":"x"}}`, `{"Discovery":"127.0.0.1:1","List":{"Generation":9,"Entries":[{}]}}`,
			fmt.Sprintf(`{"Discovery":%q,"List":{"Generation":4,"Entries":[{}]}}`, list)} {
			if after.learn([]byte(state)); after.conf.Known.Generation != 5 {
				t.Errorf("%s is taken", state)
			}
		}
		return true
	})
}

// Where second copies are barred nothing is sent behind another execution: one given up behind a long value would still be out.
func TestNothingBehindAnotherWhereCopiesAreBarred(t *testing.T) {
	if piped(balancer.Settings{}, 100) != 1 || piped(balancer.Settings{HedgingAllowed: true}, 100) != 100 {
		t.Error("executions are sent behind others")
	}
}

// Two versions follow each other as real processes under load: every operation is answered, each old process ends by itself with 0,
// and what was taken out by hand at one is out at the next, which takes it back.
func TestUpgradeOfRealProcesses(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	program, conf := filepath.Join(dir, "bendtrestle"), filepath.Join(dir, "config.json")
	if out, err := exec.Command("go", "build", "-o", program, "bendtrestle/cmd/bendtrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	os.WriteFile(conf, fmt.Appendf(nil, usual, addr, fleet(t, time.Millisecond)), 0o600)
	start := func() (p *exec.Cmd, ops string) {
		p, ops = exec.Command(program), freeAddress(t)
		p.Env = append(os.Environ(), "GW_CONFIG="+conf, "TMPDIR="+dir, "GW_OPS="+ops)
		p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where the tests end without their cleanup
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.Process.Kill() })
		for i := 0; i < 300; i++ {
			if answer, err := http.Get("http://" + ops + "/ready"); err == nil && answer.StatusCode == http.StatusOK {
				return p, ops
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatal("it does not come to serve")
		return nil, ""
	}
	p, ops := start()
	stop := load(t, addr)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		old := p
		p, ops = start()
		old.Process.Signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
	}
	stop()
	for i, call := range []string{"disable", "enable"} {
		answer, err := http.Post("http://"+ops+"/cache-servers/"+call, "", strings.NewReader("s-1"))
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Errorf("%s: %v", call, err)
		}
		_, ops = start()
		if got := ask(addr, fmt.Sprintf("mg k v Oz%d Pc=t,d=1900", i)); strings.HasPrefix(got, "VA") != (call == "enable") {
			t.Errorf("after %s and another version it answers %q", call, got)
		}
	}
}
