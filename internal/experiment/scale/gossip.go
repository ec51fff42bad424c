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
	// 300 routers use 2.4 cores at 0.8% of a core each (docs/design/gossip.md), 1.0 in docs/capacity/gossip-1.json
	maxGossipRouters        = 300
	gossipRoutersPerProcess = 50              // 0.4 of a core at most, far below the two threads of a process
	gossipSettle            = 6 * time.Second // a router probes and pulls more often in its first 5 s
)

// gossipSizes returns the fleet sizes at which gossip is measured: those of the plan that one machine can run and at
// which real routers gossip. If these are too few for a line, thirds of the maximum are added.
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
		b.addNote(
			"gossip is not measured at %s routers: over %d need too much CPU at 0.8%% each, or broadcasts use fewer bytes",
			strings.Join(skipped, ", "), maxGossipRouters)
	}
	if len(all) < minPoints {
		all = append(all, maxGossipRouters/3, 2*maxGossipRouters/3, maxGossipRouters)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// measureGossip measures fleets of simulated routers that gossip, each paired with one whose routers broadcast.
func measureGossip(b *bench) error {
	settle := gossipSettle
	if b.plan.Small {
		settle = b.plan.Settle
	}
	for _, n := range b.gossipSizes() {
		b.progressf("%d simulated routers that gossip", n)
		traffic, err := b.measureTraffic("gossip", n, settle)
		if err != nil {
			return err
		}
		b.add("gossip.core.routers", float64(n), traffic.cpuRate(), traffic.loop)
		b.add("gossip.bytes.mean", float64(n), traffic.meanBytes, 0)
		b.add("gossip.bytes.most", float64(n), traffic.mostBytes, 0)
		b.progressf("%d simulated routers that broadcast", n)
		if traffic, err = b.measureTraffic("all", n, b.plan.Settle); err != nil {
			return err
		}
		b.add("gossip.pair.core.routers", float64(n), traffic.cpuRate(), traffic.loop)
		b.add("gossip.pair.bytes.mean", float64(n), traffic.meanBytes, 0)
	}
	return nil
}

// trafficUsage is what the routers used in a window, and their bytes per second.
type trafficUsage struct {
	usage
	meanBytes, mostBytes float64
}

// measureTraffic lets each router of a fleet send a message per second about all servers in turn. It waits for settle,
// then measures a window.
func (b *bench) measureTraffic(transport string, n int, settle time.Duration) (traffic trafficUsage, err error) {
	err = b.withServers(slices.Max(b.plan.Servers), func(t *testbed) error {
		initialList, err := fetchList(t.listServices[0].Addr(), "")
		if err != nil {
			return err
		}
		fleet, err := b.startSimFleetBy(min(b.plan.Hollow, gossipRoutersPerProcess),
			simrouter.Spec{Transport: transport, Peers: b.peerAddresses(n), InitialList: initialList,
				ListService: t.listServices[0].Addr(), Follow: spreadIndexes(0, n, senderCount)}, n)
		if err != nil {
			return err
		}
		defer fleet.close()
		if _, err = fleet.sendOrder(&simrouter.Order{Send: spreadIndexes(0, n, n), Period: time.Second,
			RotateServers: true}); err != nil {
			return err
		}
		if err = sleep(b.ctx, settle, &fleet.processes[0].process); err != nil {
			return err
		}
		before, err := fleet.sendOrder(&simrouter.Order{PerRouter: true})
		began := time.Now()
		if err != nil {
			return err
		}
		if traffic.usage, err = fleet.measureWindow(b); err != nil {
			return err
		}
		after, err := fleet.sendOrder(&simrouter.Order{PerRouter: true})
		seconds := time.Since(began).Seconds()
		if err != nil {
			return err
		}
		for i, bytes := range after.RouterBytes {
			each := float64(bytes-before.RouterBytes[i]) / seconds
			traffic.meanBytes, traffic.mostBytes = traffic.meanBytes+each/float64(n), max(traffic.mostBytes, each)
		}
		const maxLoss = 0.01 // fraction of the datagrams; with more lost, the routers receive less than the figures say
		sent := float64(after.Traffic.DatagramsOut - before.Traffic.DatagramsOut)
		if received := float64(after.Traffic.DatagramsIn - before.Traffic.DatagramsIn); received < (1-maxLoss)*sent &&
			!b.plan.Small {
			b.addNote("of %.0f datagrams that %d routers sent by transport %q %.1f%% were not received", sent, n,
				transport, 100*(1-received/sent))
		}
		return nil
	})
	return traffic, err
}
