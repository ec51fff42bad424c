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
	mostGossips = 300             // routers that gossip at once: 2.4 cores at the 0.8% each of docs/design/gossip.md, 1.0 in docs/capacity/gossip-1.json
	gossipsEach = 50              // to a process: 0.4 of a core at most, far below its two threads
	gossipCalm  = 6 * time.Second // one that starts calls and pulls more for 5 s
)

// gossipSizes gives the numbers of routers at which gossip is measured: the plan's that one machine bears and at which real routers
// gossip, or thirds of the most where these are too few for a line.
func (b *bench) gossipSizes() (all []int) {
	var left []string
	for _, n := range b.plan.Routers {
		if n > mostGossips || !b.plan.Small && !gossip.CheaperThanBroadcast(n, simrouter.GossipBudget) {
			left = append(left, fmt.Sprint(n))
			continue
		}
		all = append(all, n)
	}
	if len(left) > 0 {
		b.note("gossip is not measured at %s routers: it takes at most %d, as one may cost up to 0.8%% of a core, and none so few that telling all takes fewer bytes",
			strings.Join(left, ", "), mostGossips)
	}
	if len(all) < leastPoints {
		all = append(all, mostGossips/3, 2*mostGossips/3, mostGossips)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// gossipPart measures fleets of hollow routers that gossip, each beside one whose routers tell all.
func gossipPart(b *bench) error {
	calm := gossipCalm
	if b.plan.Small {
		calm = b.plan.Settle
	}
	for _, n := range b.gossipSizes() {
		b.say("%d hollow routers that gossip", n)
		w, err := b.talking("gossip", n, calm)
		if err != nil {
			return err
		}
		b.add("gossip.core.routers", float64(n), w.rate(), w.loop)
		b.add("gossip.bytes.mean", float64(n), w.meanBytes, 0)
		b.add("gossip.bytes.most", float64(n), w.mostBytes, 0)
		b.say("%d hollow routers that tell all", n)
		if w, err = b.talking("all", n, b.plan.Settle); err != nil {
			return err
		}
		b.add("gossip.pair.core.routers", float64(n), w.rate(), w.loop)
		b.add("gossip.pair.bytes.mean", float64(n), w.meanBytes, 0)
	}
	return nil
}

// talked is what routers took in a window, and their bytes a second.
type talked struct {
	spent
	meanBytes, mostBytes float64
}

// talking lets a fleet's routers say a word a second each, of all servers in turn, and looks at it for a window once it is calm.
func (b *bench) talking(way string, n int, calm time.Duration) (w talked, err error) {
	err = b.before(slices.Max(b.plan.Servers), func(s *stage) error {
		known, err := fetch(s.lists[0].Addr(), "")
		if err != nil {
			return err
		}
		h, err := b.hollowsBy(min(b.plan.Hollow, gossipsEach),
			simrouter.Spec{Way: way, Peers: b.others(n), Known: known, List: s.lists[0].Addr(), Follow: sample(0, n, tellers)}, n)
		if err != nil {
			return err
		}
		defer h.close()
		if _, err = h.ask(&simrouter.Order{Talk: sample(0, n, n), Period: time.Second, All: true}); err != nil {
			return err
		}
		if err = sleep(b.ctx, calm, &h.all[0].process); err != nil {
			return err
		}
		before, err := h.ask(&simrouter.Order{Each: true})
		began := time.Now()
		if err != nil {
			return err
		}
		if w.spent, err = h.window(b); err != nil {
			return err
		}
		after, err := h.ask(&simrouter.Order{Each: true})
		seconds := time.Since(began).Seconds()
		if err != nil {
			return err
		}
		for i, bytes := range after.Each {
			each := float64(bytes-before.Each[i]) / seconds
			w.meanBytes, w.mostBytes = w.meanBytes+each/float64(n), max(w.mostBytes, each)
		}
		const much = 0.01 // of the datagrams, as where words are heard: with more lost, less is heard than the figures are of
		out := float64(after.Traffic.DatagramsOut - before.Traffic.DatagramsOut)
		if in := float64(after.Traffic.DatagramsIn - before.Traffic.DatagramsIn); in < (1-much)*out && !b.plan.Small {
			b.note("of %.0f datagrams of %d routers by the way %q %.1f%% were not heard", out, n, way, 100*(1-in/out))
		}
		return nil
	})
	return w, err
}
