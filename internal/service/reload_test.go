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
)

// SIGHUP under way: a file that cannot be used leaves all as it was, one that names another list service moves the
// watch there without a gap, and neither ends the router or a request.
func TestNewConfiguration(t *testing.T) {
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
	for _, file := range []struct{ name, text, follows string }{
		{"broken", "{", old},
		{"no address", fmt.Sprintf(baseConfig, addr, "nowhere"), old},
		{"nobody there", fmt.Sprintf(baseConfig, addr, "127.0.0.1:1"), old}, // the old list service goes on telling
		{"another list service", fmt.Sprintf(baseConfig, "127.0.0.1:1", other), other},
	} {
		os.WriteFile(path, []byte(file.text), 0o600)
		signals <- syscall.SIGHUP
		var follows string
		for deadline := time.Now().Add(3 * time.Second); follows != file.follows && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
			follows = callOnLoop(s, func() string { return s.pools.platform.watch.address })
		}
		if follows != file.follows {
			t.Errorf("%s: it follows %s", file.name, follows)
		}
	}
	if got := <-answer; got != "VA 2 Oa1" {
		t.Errorf("a request in flight is answered %q", got)
	}
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" || s.clients.listener == nil {
		t.Errorf("moved, it answers %q", got)
	}
}

// A disk that hangs while SIGHUP's file is read must not hide SIGTERM, however many SIGHUPs came before it.
func TestSIGTERMIsHeardWhileAFileIsRead(t *testing.T) {
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
		t.Error("it does not end")
	}
	close(signals)
}

// A configuration that comes after SIGTERM, or in one round with it, moves the list service and opens nothing.
func TestAConfigurationAfterTheEndBegan(t *testing.T) {
	s, _, _ := startServing(t, startCacheServer(t, 0))
	team := operatorconfig.Team{Name: "late", Listen: freeAddress(t), Budget: 1}
	setup := Setup{Platform: s.conf, Operators: operatorconfig.File{Teams: []operatorconfig.Team{team}}}
	setup.Platform.Discovery = "127.0.0.1:1"
	runOnLoop(s, func() {
		s.beginShutdown()
		s.reconfigure(setup)
		listeners := len(s.clients.teamListeners)
		next := s.pools.platform.nextWatch
		if listeners > 0 || s.broker.Revision() > 0 || next == nil || next.address != "127.0.0.1:1" {
			t.Errorf("%d listeners, revision %d, it goes on to %+v", listeners, s.broker.Revision(), next)
		}
	})
}
