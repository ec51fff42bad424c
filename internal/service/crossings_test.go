package service

import (
	"fmt"
	"testing"

	"bendtrestle/internal/discovery"
)

// members gives a list that names s-1 and s-2 at an address, the first in a state.
func members(generation uint64, at, state string) discovery.List {
	l, err := discovery.Parse(fmt.Appendf(nil, `{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"%s","lifecycle":"%s"},{"instanceId":"s-2","hostPort":"%[2]s","lifecycle":"ready"}]}`, generation, at, state))
	if err != nil {
		panic(err)
	}
	return l
}

// SIGHUP moves the watch while the old one's news is on its way: a drain that it tells must not be taken back by the new service's
// first list, which lags behind it.
func TestADrainOnItsWayIsNotTakenBackByAServiceThatLags(t *testing.T) {
	s, _ := next(t, freeAddress(t), fleet(t, 0), "")
	serving(t, s)
	avoided := func() bool { return s.platform.router.Avoids(discovery.ID("s-1")) }
	on(s, func() bool {
		p := s.platform
		if p.watch == nil { // it has told nothing since the list that was known
			p.watch, p.next = p.next, nil
		}
		was := p.watch
		p.follow("127.0.0.1:1")
		moved := p.next
		if err := p.news(was, members(42, "127.0.0.1:2", "draining")); err != nil || !avoided() {
			t.Errorf("the drain is not taken: %v", err)
		}
		if err := p.news(moved, members(41, "127.0.0.1:2", "ready")); err == nil || !avoided() {
			t.Errorf("it is taken back: %v", err)
		}
		if p.watch != was {
			t.Error("the watch before is left before the new service has told a list that counts")
		}
		moved.since -= catchUp // it counts anew, then
		if err := p.news(moved, members(7, "127.0.0.1:2", "ready")); err != nil || avoided() || p.watch != moved {
			t.Errorf("the new service is never followed: %v", err)
		}
		if err := p.news(was, members(43, "127.0.0.1:2", "draining")); err != nil || avoided() {
			t.Errorf("news of a service that was left still counts: %v", err)
		}
		return true
	})
}
