package service

import (
	"fmt"
	"net"
	"slices"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/requestcore"

	"github.com/rs/zerolog"
)

// fleetSizeRecorder is a module that keeps how many routers it was told of.
type fleetSizeRecorder struct {
	requestcore.Balancer
	sizes []int
}

func (c *fleetSizeRecorder) SetFleetSize(now float64, n int) {
	c.sizes = append(c.sizes, n)
	c.Balancer.SetFleetSize(now, n)
}

// More routers are heard than the settings say: the module is told, once for each number; of fewer it hears nothing new.
func TestFleetSizeCountsRoutersHeard(t *testing.T) {
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.LocalAddr().String()
	free.Close()
	text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","peer_listen":"%s","settings":{"me":0,"fleetSize":3,"limits":{"peers":true,"mostExecutions":3},
		"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1000000000,"hardStop":2000000000,"benefit":1}]}}`
	conf, err := config.Parse(fmt.Appendf(nil, text, at), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	told := &fleetSizeRecorder{}
	s, err := assemble(Setup{Platform: conf}, func(now float64, set balancer.Settings, host balancer.Host) requestcore.Balancer {
		told.Balancer = requestcore.DefaultBalancer(now, set, host)
		return told
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	for n := range 5 {
		from, err := net.Dial("udp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		for range 2 { // the second time it is no other
			if _, err := from.Write([]byte{1, 0, 32}); err != nil {
				t.Fatal(err)
			}
		}
		waitUntil(t, fmt.Sprint(n+1, " heard"), s, func() bool { return slices.Max(append(told.sizes, 0)) == max(3, n+2) })
	}
	if got := callOnLoop(s, func() []int { return slices.Clone(told.sizes) }); !slices.Equal(got, []int{3, 4, 5, 6}) {
		t.Errorf("the module was told %v", got)
	}
}
