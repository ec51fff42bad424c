package balancer

import "testing"

// A single hot key can exceed the capacity of a server, and no router detects that by its own attempts in flight.
func TestHotKeyIsReplicatedOnNearestServers(t *testing.T) {
	b, _ := newTestBalancer(40, nil)
	class := b.classes.byName["view"]
	b.replicasFor(5, class)
	for i := range uint32(200) {
		b.replicasFor(100+i, class)
	}
	expectEqual(t, "replicas at the second use", b.replicasFor(5, class), 1.0)
	for i := range uint32(100) {
		b.replicasFor(5, class)
		b.replicasFor(300+i, class)
	}
	req := requestWithAttempt(b, "view", nil, false, true)
	expectEqual(t, "a key with a third of all uses has more than 20 replicas", b.replicasFor(5, class) > 20, true)
	req.replicas = 3
	picked := map[uint64]bool{}
	for range 100 {
		picked[b.pick(req).ID] = true
	}
	expectEqual(t, "servers picked", len(picked), 3)
}
