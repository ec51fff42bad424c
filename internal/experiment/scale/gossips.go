package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bendtrestle/internal/experiment/scale/simrouter"
	"bendtrestle/internal/policy/gossip"
)

const (
	maxGossipRouters        = 300             // routers that gossip at once: 2.4 cores at the 0.8% each of docs/design/gossip.md, 1.0 in docs/capacity/gossip-1.json
	gossipRoutersPerProcess = 50              // to a process: 0.4 of a core at most, far below its two threads
	gossipSettle            = 6 * time.Second // one that starts calls and pulls more for 5 s
)

// gossipSizes gives the numbers of routers at which gossip is measured: the plan's that one machine bears and at which real routers
// gossip, or thirds of the most where these are too few for a line.
func (b *bench) gossipSizes() (all []int) {
	var skipped []string
	for _, n := range b.plan.Routers {
		if n > maxGossipRouters || !b.plan.Small && !gossip.CheaperThanBroadcast(n, simrouter.GossipBytesPerSecond) {
			skipped = append(skipped, fmt.Sprint(n))
			continue
		}
		all = append(all, n)
	}
	if len(skipped) > 0 {
		b.addNote("gossip is not measured at %s routers: it takes at most %d, as one may cost up to 0.8%% of a core, and none so few that telling all takes fewer bytes",
			strings.Join(skipped, ", "), maxGossipRouters)
	}
	if len(all) < minPoints {
		all = append(all, maxGossipRouters/3, 2*maxGossipRouters/3, maxGossipRouters)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// measureGossip measures fleets of hollow routers that gossip, each beside one whose routers tell all.
func measureGossip(b *bench) error {
	settle := gossipSettle
	if b.plan.Small {
		settle = b.plan.Settle
	}
	for _, n := range b.gossipSizes() {
		b.progressf("%d hollow routers that gossip", n)
		w, err := b.measureTraffic("gossip", n, settle)
		if err != nil {
			return err
		}
		b.add("gossip.core.routers", float64(n), w.cpuRate(), w.loop)
		b.add("gossip.bytes.mean", float64(n), w.meanBytes, 0)
		b.add("gossip.bytes.most", float64(n), w.mostBytes, 0)
		b.progressf("%d hollow routers that tell all", n)
		if w, err = b.measureTraffic("all", n, b.plan.Settle); err != nil {
			return err
		}
		b.add("gossip.pair.core.routers", float64(n), w.cpuRate(), w.loop)
		b.add("gossip.pair.bytes.mean", float64(n), w.meanBytes, 0)
	}
	return nil
}

// trafficUsage is what routers took in a window, and their bytes a second.
type trafficUsage struct {
	usage
	meanBytes, mostBytes float64
}

// measureTraffic lets a fleet's routers say a word a second each, of all servers in turn, and looks at it for a window once it is calm.
func (b *bench) measureTraffic(transport string, n int, settle time.Duration) (w trafficUsage, err error) {
	err = b.withServers(slices.Max(b.plan.Servers), func(s *testbed) error {
		known, err := fetchList(s.listServices[0].Addr(), "")
		if err != nil {
			return err
		}
		h, err := b.startSimFleetBy(min(b.plan.Hollow, gossipRoutersPerProcess),
			simrouter.Spec{Transport: transport, Peers: b.peerAddresses(n), InitialList: known, ListService: s.listServices[0].Addr(), Follow: spreadIndexes(0, n, senderCount)}, n)
		if err != nil {
			return err
		}
		defer h.close()
		if _, err = h.sendOrder(&simrouter.Order{Send: spreadIndexes(0, n, n), Period: time.Second, RotateServers: true}); err != nil {
			return err
		}
		if err = sleep(b.ctx, settle, &h.processes[0].process); err != nil {
			return err
		}
		before, err := h.sendOrder(&simrouter.Order{PerRouter: true})
		began := time.Now()
		if err != nil {
			return err
		}
		if w.usage, err = h.measureWindow(b); err != nil {
			return err
		}
		after, err := h.sendOrder(&simrouter.Order{PerRouter: true})
		seconds := time.Since(began).Seconds()
		if err != nil {
			return err
		}
		for i, bytes := range after.RouterBytes {
			each := float64(bytes-before.RouterBytes[i]) / seconds
			w.meanBytes, w.mostBytes = w.meanBytes+each/float64(n), max(w.mostBytes, each)
		}
		const maxLoss = 0.01 // of the datagrams, as where words are heard: with more lost, less is heard than the figures are of
		sent := float64(after.Traffic.DatagramsOut - before.Traffic.DatagramsOut)
		if received := float64(after.Traffic.DatagramsIn - before.Traffic.DatagramsIn); received < (1-maxLoss)*sent && !b.plan.Small {
			b.addNote("of %.0f datagrams of %d routers by the way %q %.1f%% were not heard", sent, n, transport, 100*(1-received/sent))
		}
		return nil
	})
	return w, err
}
