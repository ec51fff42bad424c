package scale

import (
	"context"
	"slices"
	"strings"
	"testing"
)

// Gossip is measured at the sizes of the plan that one machine can run and at which gossip takes fewer bytes than
// broadcasts. A note names the other sizes.
func TestGossipSizes(t *testing.T) {
	for _, c := range []struct {
		routers, want []int
		left          string // sizes that the note names; empty: no note
	}{
		{Full().Routers, []int{100, 200, 300}, "1000, 3700"},
		{[]int{90, 150, 250, 280}, []int{90, 150, 250, 280}, ""},
		{[]int{50, 100, 150, 200, 301}, []int{100, 150, 200}, "50, 301"},
		{[]int{1000, 2000, 3700}, []int{100, 200, 300}, "1000, 2000, 3700"},
		{[]int{120, 400, 500}, []int{100, 120, 200, 300}, "400, 500"},
	} {
		p := Full()
		p.Routers = c.routers
		b := newBench(t.Context(), Options{Plan: p})
		if got := b.gossipSizes(); !slices.Equal(got, c.want) {
			t.Errorf("plan with %v: sizes %v, want %v", c.routers, got, c.want)
		}
		note := strings.Join(b.notes, " ")
		if (note != "") != (c.left != "") || !strings.Contains(note, c.left+" ") && c.left != "" {
			t.Errorf("plan with %v: the note is %q, want it to name %q", c.routers, note, c.left)
		}
	}
	b := newBench(t.Context(), Options{Plan: Small()})
	if got := b.gossipSizes(); !slices.Equal(got, Small().Routers) || len(b.notes) > 0 {
		t.Errorf("test plan: sizes %v with notes %v, want the plan's sizes without notes", got, b.notes)
	}
}

// Bytes are counted with gossip and with broadcasts, and the router with the most bytes has no fewer than the mean.
func TestGossipBytesMeanAndMaximum(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), options(t, "gossip"))
	if err != nil {
		t.Fatal(err)
	}
	mean, most, pair := r.line(t, "gossip.bytes.mean"), r.line(t, "gossip.bytes.most"), r.line(t, "gossip.pair.bytes.mean")
	for i, n := range Small().Routers {
		if mean.Points[i].X != float64(n) || mean.Points[i].Runs[0] <= 0 || most.Points[i].Runs[0] < mean.Points[i].Runs[0] {
			t.Errorf("%d routers that gossip: mean %v, maximum %v; want a mean above 0 and no lower maximum", n,
				mean.Points[i], most.Points[i])
		}
		if pair.Points[i].Runs[0] <= 0 {
			t.Errorf("%d routers that broadcast: %v bytes, want more than 0", n, pair.Points[i])
		}
	}
}
