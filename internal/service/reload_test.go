package service

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/testaddress"
)

// A reload of an invalid file changes nothing, and a reload of one that names another list service moves the watch
// there without a gap. Neither ends the router or a request in flight.
func TestReloadOnSIGHUP(t *testing.T) {
	old := startCacheServer(t, 300*time.Millisecond)
	other := startCacheServer(t, 0)
	s, addr, _ := startServing(t, old)
	defer s.loop.Post(s.end)
	path := filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal)
	go s.handleSignals(signals, func() (Setup, error) {
		conf, err := config.Read(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
		return Setup{Platform: conf}, err
	})
	defer close(signals)
	answer := make(chan string, 1)
	go func() { answer <- sendCommand(addr, firstGet) }()
	for _, file := range []struct{ name, text, watched string }{
		{"invalid JSON", "{", old},
		{"invalid address", fmt.Sprintf(baseConfig, addr, "nowhere"), old},
		{"list service that does not answer", fmt.Sprintf(baseConfig, addr, "127.0.0.1:1"), old}, // the old one stays in use
		{"another list service", fmt.Sprintf(baseConfig, "127.0.0.1:1", other), other},
	} {
		os.WriteFile(path, []byte(file.text), 0o600)
		signals <- syscall.SIGHUP
		var watched string
		for deadline := time.Now().Add(3 * time.Second); watched != file.watched && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
			watched = callOnLoop(s, func() string { return s.pools.platform.watch.address })
		}
		if watched != file.watched {
			t.Errorf("%s: got the list service %s, want %s", file.name, watched, file.watched)
		}
	}
	if got := <-answer; got != "VA 2 Oa1" {
		t.Errorf("request in flight: got %q, want VA 2 Oa1", got)
	}
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" || s.clients.listener == nil {
		t.Errorf("after the change of the list service: got %q, want VA 2 Oa2", got)
	}
}

// The disk hangs while the file is read after a SIGHUP. SIGTERM must still shut the router down, however many SIGHUPs
// came before it.
func TestSIGTERMDuringHungReload(t *testing.T) {
	s, _, ended := startServing(t, startCacheServer(t, 0))
	signals := make(chan os.Signal)
	hang := make(chan bool)
	defer close(hang)
	go s.handleSignals(signals, func() (Setup, error) {
		<-hang
		return Setup{}, errors.New("never")
	})
	for range 20 {
		signals <- syscall.SIGHUP
	}
	signals <- syscall.SIGTERM
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the router has not ended within 10 s of SIGTERM")
	}
	close(signals)
}

// A reload after SIGTERM, or in the same round of the loop, changes the list service and opens no listeners.
func TestReloadAfterSIGTERMChangesOnlyTheListService(t *testing.T) {
	s, _, _ := startServing(t, startCacheServer(t, 0))
	team := operatorconfig.Team{Name: "late", Listen: testaddress.New(), Budget: 1}
	setup := Setup{Platform: s.conf, Operators: operatorconfig.File{Teams: []operatorconfig.Team{team}}}
	setup.Platform.Discovery = "127.0.0.1:1"
	runOnLoop(s, func() {
		s.beginShutdown()
		s.reconfigure(setup)
		listeners := len(s.clients.teamListeners)
		next := s.pools.platform.nextWatch
		if listeners > 0 || s.broker.Revision() > 0 || next == nil || next.address != "127.0.0.1:1" {
			t.Errorf("got %d listeners, revision %d and watch %+v, want a watch only", listeners, s.broker.Revision(), next)
		}
	})
}
