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
// watch there without a gap, and neither ends the router nor an operation.
func TestNewConfiguration(t *testing.T) {
	old, other := startCacheServer(t, 300*time.Millisecond), startCacheServer(t, 0)
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
	for _, c := range []struct{ text, follows string }{
		{"{", old}, // the file is broken
		{fmt.Sprintf(baseConfig, addr, "nowhere"), old},
		{fmt.Sprintf(baseConfig, addr, "127.0.0.1:1"), old}, // nobody is there: the old list service goes on telling
		{fmt.Sprintf(baseConfig, "127.0.0.1:1", other), other},
	} {
		os.WriteFile(path, []byte(c.text), 0o600)
		signals <- syscall.SIGHUP
		var follows string
		for deadline := time.Now().Add(3 * time.Second); follows != c.follows && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
			done := make(chan string)
			s.loop.Post(func() { done <- s.pools.platform.watch.address })
			follows = <-done
		}
		if follows != c.follows {
			t.Errorf("after %s it follows %s", c.text, follows)
		}
	}
	if got := <-answer; got != "VA 2 Oa1" {
		t.Errorf("an operation under way is answered %q", got)
	}
	if got := sendCommand(addr, secondGet); got != "VA 2 Oa2" || s.clients.listener == nil {
		t.Errorf("moved, it answers %q", got)
	}
}

// A disk that hangs while SIGHUP's file is read must not hide SIGTERM, however many SIGHUPs came before it.
func TestSIGTERMIsHeardWhileAFileIsRead(t *testing.T) {
	s, _, ended := startServing(t, startCacheServer(t, 0))
	signals, read := make(chan os.Signal), make(chan bool)
	defer close(read)
	go s.handleSignals(signals, func() (Setup, error) { <-read; return Setup{}, errors.New("never") })
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
	set := Setup{Platform: s.conf, Operators: operatorconfig.File{Teams: []operatorconfig.Team{{Name: "late", Listen: freeAddress(t), Budget: 1}}}}
	set.Platform.Discovery = "127.0.0.1:1"
	callOnLoop(s, func() bool {
		s.beginShutdown()
		s.reconfigure(set)
		if len(s.clients.teamListeners) > 0 || s.broker.Revision() > 0 || s.pools.platform.nextWatch == nil || s.pools.platform.nextWatch.address != "127.0.0.1:1" {
			t.Errorf("%d listeners, revision %d, it goes on to %+v", len(s.clients.teamListeners), s.broker.Revision(), s.pools.platform.nextWatch)
		}
		return true
	})
}
