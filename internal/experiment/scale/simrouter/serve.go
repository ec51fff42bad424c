package simrouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"bendtrestle/internal/discovery"
	"bendtrestle/internal/eventloop"

	"github.com/rs/zerolog"
)

// Spec is the first input of a process of simulated routers.
type Spec struct {
	Transport   string          `json:"way"`
	Peers       []string        `json:"peers"` // addresses of all routers, including real ones
	First       int             `json:"first"` // index of this process's first router among the peers
	Count       int             `json:"count"`
	InitialList json.RawMessage `json:"known"` // endpoint list, as a list service sends it
	ListService string          `json:"list"`  // address of the list service
	Follow      []int           `json:"follow"`
	Threads     int             `json:"threads"` // GOMAXPROCS; 0: as in a real router
}

// Order is a command to a process of simulated routers.
type Order struct {
	Send          []int         `json:"talk,omitempty"` // routers that send a message each period from now on
	Period        time.Duration `json:"period,omitempty"`
	RotateServers bool          `json:"all,omitempty"`      // cycle through all servers; else always the same five
	Stop          bool          `json:"hush,omitempty"`     // all routers stop periodic sending
	SendOnce      []int         `json:"say_once,omitempty"` // routers that send one message now
	PerRouter     bool          `json:"each,omitempty"`     // the answer includes the bytes of each router
}

// Answer is the process's reply to its spec and to each order, after it has carried them out.
type Answer struct {
	Error            string  `json:"error,omitempty"`
	Traffic          Traffic `json:"traffic"`
	ZoneMessages     uint64  `json:"zoned"`  // zone messages received
	OldestGeneration uint64  `json:"oldest"` // oldest list generation among the routers that watch the list
	LatestChange     float64 `json:"latest"` // when the last of these routers applied its current list, Unix seconds

	RouterBytes []uint64 `json:"each,omitempty"` // bytes of each router, in and out
}

// Serve runs simulated routers. It reads a spec and then orders from in, each a JSON value, and writes an answer to
// each. It returns when in ends.
func Serve(in io.Reader, out io.Writer, log zerolog.Logger) error {
	orders, answers := json.NewDecoder(in), json.NewEncoder(out)
	var spec Spec
	if err := orders.Decode(&spec); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	debug.SetGCPercent(100)
	runtime.GOMAXPROCS(max(2, spec.Threads)) // two, as in the router service
	p, err := startProcess(spec, log)
	if err != nil {
		answers.Encode(Answer{Error: err.Error()})
		return err
	}
	defer p.stop()
	go p.loop.Run()
	var order Order
	for {
		if err := answers.Encode(p.counters(order.PerRouter)); err != nil {
			return err
		}
		order = Order{}
		if err := orders.Decode(&order); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("order: %w", err)
		}
		p.execute(order)
	}
}

type process struct {
	spec      Spec
	loop      *eventloop.Loop
	routers   []*router
	followers []*router
	stop      context.CancelFunc
}

func startProcess(spec Spec, log zerolog.Logger) (*process, error) {
	open, err := opener(spec.Transport)
	if err != nil {
		return nil, err
	}
	if spec.First < 0 || spec.Count < 1 || spec.First+spec.Count > len(spec.Peers) {
		return nil, fmt.Errorf("routers %d to %d: want indexes of the %d peers, and at least one router", spec.First,
			spec.First+spec.Count-1, len(spec.Peers))
	}
	initialList, err := discovery.Parse(spec.InitialList)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if len(initialList.Instances) == 0 {
		return nil, errors.New("known: the list is empty; want at least one server, because messages are about servers")
	}
	p := &process{spec: spec}
	if p.loop, err = eventloop.New(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	for n := spec.First; n < spec.First+spec.Count; n++ {
		r, err := newRouter(p.loop, open, Member{Index: n, Listen: spec.Peers[n], Peers: spec.Peers, Log: log},
			initialList)
		if err != nil {
			stop()
			return nil, fmt.Errorf("router %d: %w", n, err)
		}
		p.routers = append(p.routers, r)
	}
	p.forEach(spec.Follow, func(r *router, n int) {
		r.follow(ctx, spec.ListService, uint32(n+1), log)
		p.followers = append(p.followers, r)
	})
	return p, nil
}

// forEach calls f with the routers of this process that have one of the indexes.
func (p *process) forEach(numbers []int, f func(r *router, n int)) {
	for _, n := range numbers {
		if i := n - p.spec.First; i >= 0 && i < len(p.routers) {
			f(p.routers[i], n)
		}
	}
}

// onLoop calls f on the loop and waits for it.
func (p *process) onLoop(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

func (p *process) execute(order Order) {
	p.onLoop(func() {
		if order.Stop {
			for _, r := range p.routers {
				r.stopSending()
			}
		}
		p.forEach(order.SendOnce, func(r *router, _ int) { r.send(0) })
		p.forEach(order.Send, func(r *router, n int) { // spread over the period, as in a fleet of independent routers
			r.sendPeriodically(order.Period*time.Duration(n)/time.Duration(len(p.spec.Peers)), order.Period,
				order.RotateServers)
		})
	})
}

func (p *process) counters(perRouter bool) (answer Answer) {
	p.onLoop(func() {
		for i, r := range p.routers {
			t := r.transport.Traffic()
			if answer.Traffic.Add(t, i == 0); perRouter {
				answer.RouterBytes = append(answer.RouterBytes, t.BytesIn+t.BytesOut)
			}
			answer.ZoneMessages += r.zoneMessages
		}
		for i, r := range p.followers {
			if i == 0 || r.generation < answer.OldestGeneration {
				answer.OldestGeneration = r.generation
			}
			answer.LatestChange = max(answer.LatestChange, r.listSince)
		}
	})
	return answer
}
