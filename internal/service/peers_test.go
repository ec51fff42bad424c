package service

import (
	"fmt"
	"net"
	"slices"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/config"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// fleetSizeRecorder is a balancer that records the fleet sizes that it is given.
type fleetSizeRecorder struct {
	requestcore.Balancer
	sizes []int
}

func (r *fleetSizeRecorder) SetFleetSize(now float64, routers int) {
	r.sizes = append(r.sizes, routers)
	r.Balancer.SetFleetSize(now, routers)
}

// Messages arrive from more routers than the settings have. The balancer is given each larger fleet size once; as long
// as there are fewer senders, it keeps the size of the settings.
func TestFleetSizeCountsSendersOfMessages(t *testing.T) {
	at := testaddress.New()
	text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","peer_listen":"%s",
		"settings":{"me":0,"fleetSize":3,"limits":{"peers":true,"mostExecutions":3},
		"trafficTypes":[{"name":"t","effect":"retryable","promisedTime":1000000000,"hardStop":2000000000,"benefit":1}]}}`
	conf, err := config.Parse(fmt.Appendf(nil, text, at), environment(""))
	if err != nil {
		t.Fatal(err)
	}
	recorder := &fleetSizeRecorder{}
	newBalancer := func(now float64, settings balancer.Settings, host balancer.Host) requestcore.Balancer {
		recorder.Balancer = requestcore.DefaultBalancer(now, settings, host)
		return recorder
	}
	s, err := assemble(Setup{Platform: conf}, newBalancer, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	for n := range 5 {
		from, err := net.Dial("udp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		for range 2 { // the second message is of the same router
			if _, err := from.Write([]byte{1, 0, 32}); err != nil {
				t.Fatal(err)
			}
		}
		waitUntil(t, fmt.Sprint(n+1, " senders to count"), s, func() bool {
			return slices.Max(append(recorder.sizes, 0)) == max(3, n+2)
		})
	}
	sizes := callOnLoop(s, func() []int { return slices.Clone(recorder.sizes) })
	if !slices.Equal(sizes, []int{3, 4, 5, 6}) {
		t.Errorf("fleet sizes: got %v, want [3 4 5 6]", sizes)
	}
}
