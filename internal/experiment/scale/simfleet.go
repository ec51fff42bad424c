package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"bendtrestle/internal/experiment/scale/simrouter"
)

// simProcess is a child process that runs simulated routers.
type simProcess struct {
	process
	stdin   io.WriteCloser
	stdout  *json.Decoder
	orders  *json.Encoder
	answers chan answerResult
	count   int
}

type answerResult struct {
	simrouter.Answer
	err error
}

// simFleet is the processes that run a fleet of simulated routers.
type simFleet struct {
	owner     *bench
	processes []*simProcess
}

// startSimFleet starts count simulated routers from the spec's first peer on, as many per process as the plan allows.
// It waits until all can receive messages.
func (b *bench) startSimFleet(spec simrouter.Spec, count int) (f *simFleet, err error) {
	return b.startSimFleetBy(b.plan.Hollow, spec, count)
}

// startSimFleetBy is startSimFleet with at most perProcess routers in a process.
func (b *bench) startSimFleetBy(perProcess int, spec simrouter.Spec, count int) (f *simFleet, err error) {
	err = retryWhileAddressInUse(b.ctx, func() (err error) {
		f, err = b.tryStartSimFleet(perProcess, spec, count)
		return err
	})
	return f, err
}

func (b *bench) tryStartSimFleet(perProcess int, spec simrouter.Spec, count int) (*simFleet, error) {
	f := &simFleet{owner: b}
	for first := spec.First; first < spec.First+count; first += perProcess {
		processSpec := spec
		processSpec.First, processSpec.Count = first, min(perProcess, spec.First+count-first)
		c, err := b.startSimProcess(len(f.processes), processSpec)
		if err != nil {
			f.close()
			return nil, err
		}
		f.processes = append(f.processes, c)
	}
	_, err := f.sendOrder(nil)
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (b *bench) startSimProcess(n int, spec simrouter.Spec) (*simProcess, error) {
	c := &simProcess{process: process{logPath: filepath.Join(b.dir, fmt.Sprintf("hollow-%d.log", n)),
		ended: make(chan struct{})}, count: spec.Count,
		answers: make(chan answerResult)}
	log, err := os.Create(c.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(b.simRouterCommand[0], b.simRouterCommand[1:]...)
	c.cmd.Env, c.cmd.Stderr = append(os.Environ(), b.simRouterEnv...), log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	c.cmd.Stdout = in
	err = c.cmd.Start()
	in.Close()
	if err != nil {
		out.Close()
		return nil, fmt.Errorf("starting simulated routers: %w", err)
	}
	go func() { c.cmd.Wait(); close(c.ended) }()
	c.orders, c.stdout = json.NewEncoder(c.stdin), json.NewDecoder(bufio.NewReader(out))
	go func() { // reads one answer to the spec and one to each order, until the process ends
		defer out.Close()
		for {
			var a answerResult
			if a.err = c.stdout.Decode(&a.Answer); a.err == nil && a.Error != "" {
				a.err = errors.New(a.Error)
			}
			select {
			case c.answers <- a:
			case <-b.ctx.Done():
				return
			case <-c.ended:
				return
			}
			if a.err != nil {
				return
			}
		}
	}()
	return c, c.orders.Encode(spec)
}

// sendOrder sends an order to all processes, waits for their answers and returns the sum. If the order is nil, it waits
// for the answers to the specs.
func (f *simFleet) sendOrder(o *simrouter.Order) (sum simrouter.Answer, err error) {
	if o != nil {
		for _, c := range f.processes {
			if err := c.orders.Encode(o); err != nil {
				return sum, fmt.Errorf("sending an order to simulated routers: %w; their log ends with\n%s", err,
					c.logTail())
			}
		}
	}
	timeout := time.After(readyTimeout)
	for i, c := range f.processes {
		var result answerResult
		select {
		case result = <-c.answers:
		case <-f.owner.ctx.Done():
			return sum, f.owner.ctx.Err()
		case <-timeout:
			return sum, fmt.Errorf("simulated routers did not answer within %v", readyTimeout)
		}
		if result.err != nil {
			return sum, fmt.Errorf("answer of simulated routers: %w; their log ends with\n%s", result.err, c.logTail())
		}
		if sum.Traffic.Add(result.Traffic, i == 0); i == 0 {
			sum.OldestGeneration = result.OldestGeneration
		}
		sum.ZoneMessages += result.ZoneMessages
		if result.OldestGeneration > 0 {
			sum.OldestGeneration = min(max(sum.OldestGeneration, 1), result.OldestGeneration)
		}
		sum.LatestChange = max(sum.LatestChange, result.LatestChange)
		sum.RouterBytes = append(sum.RouterBytes, result.RouterBytes...)
	}
	return sum, nil
}

// totals returns the CPU seconds and the resident KiB of all processes.
func (f *simFleet) totals() (cpu, resident float64, err error) {
	for _, c := range f.processes {
		p, err := cpuSeconds(c.pid())
		if err != nil {
			return 0, 0, err
		}
		m, _, err := residentKiB(c.pid())
		if err != nil {
			return 0, 0, err
		}
		cpu, resident = cpu+p, resident+m
	}
	return cpu, resident, nil
}

// close ends all processes. They exit when their input is closed, and are killed if they do not exit in time.
func (f *simFleet) close() {
	for _, c := range f.processes {
		c.stdin.Close()
	}
	timeout := time.After(exitTimeout)
	for _, c := range f.processes {
		select {
		case <-c.ended:
		case <-timeout:
		}
		c.kill()
	}
}

const (
	senderCount     = 37       // broadcast a message per second; all 3,700 would send 13.7 million datagrams a second
	maxResidentKiB  = 12 << 20 // resident memory of all simulated routers
	maxCPUDeviation = 0.25     // relative difference of a simulated and a real router's CPU time per message
)

// spreadIndexes returns n indexes spread evenly over the routers from first on.
func spreadIndexes(first, routers, n int) (all []int) {
	n = min(n, routers)
	for i := range n {
		all = append(all, first+i*routers/n)
	}
	return all
}

// measureSimulatedRouters measures fleets of simulated routers, and compares a simulated router with a real one.
func measureSimulatedRouters(b *bench) error {
	mostServers := slices.Max(b.plan.Servers)
	lost, sent, size := 0.0, 0.0, 0.0
	for _, n := range b.plan.Routers {
		b.progressf("%d simulated routers", n)
		err := b.withServers(mostServers, func(t *testbed) error {
			initialList, err := fetchList(t.listServices[0].Addr(), "")
			if err != nil {
				return err
			}
			began := time.Now()
			spec := simrouter.Spec{Transport: "all", Peers: b.peerAddresses(n), InitialList: initialList,
				ListService: t.listServices[0].Addr(), Follow: spreadIndexes(0, n, senderCount)}
			fleet, err := b.startSimFleet(spec, n)
			if err != nil {
				return err
			}
			defer fleet.close()
			b.add("hollow.ready", float64(n), time.Since(began).Seconds()*1e3, 0)
			if err = sleep(b.ctx, b.plan.Settle, &fleet.processes[0].process); err != nil {
				return err
			}
			idleUsage, err := fleet.measureWindow(b)
			if err != nil {
				return err
			}
			b.add("hollow.memory", float64(n), idleUsage.resident, 0)
			if idleUsage.resident > maxResidentKiB {
				return fmt.Errorf("%d simulated routers use %.0f KiB of memory, limit %d; use fewer with --routers",
					n, idleUsage.resident, maxResidentKiB)
			}
			b.add("hollow.core.quiet", float64(n), idleUsage.cpuRate(), idleUsage.loop)
			before, err := fleet.sendOrder(&simrouter.Order{}) // while no datagram is in flight
			if err != nil {
				return err
			}
			if _, err = fleet.sendOrder(&simrouter.Order{Send: spreadIndexes(0, n, senderCount),
				Period: time.Second}); err != nil {
				return err
			}
			if err = sleep(b.ctx, b.plan.Settle, &fleet.processes[0].process); err != nil {
				return err
			}
			used, err := fleet.measureWindow(b)
			if err != nil {
				return err
			}
			after, err := fleet.stopAndSettle()
			if err != nil {
				return err
			}
			receivedNow := float64(after.Traffic.DatagramsIn - before.Traffic.DatagramsIn)
			sentNow := float64(after.Traffic.DatagramsOut - before.Traffic.DatagramsOut)
			lost, sent, size = lost+sentNow-receivedNow, sent+sentNow,
				size+float64(after.Traffic.BytesIn-before.Traffic.BytesIn)
			b.add("hollow.core.datagrams", float64(min(n, senderCount)*(n-1)), used.cpuRate()-idleUsage.cpuRate(),
				used.loop)
			return b.measureListChange(t, fleet, n)
		})
		if err != nil {
			return err
		}
	}
	b.add("hollow.datagrams", 0, sent, 0)
	b.add("hollow.lost", 0, lost, 0)
	b.add("hollow.bytes.datagram", 0, size/(sent-lost), 0)
	return b.compareWithRealRouter()
}

// measureWindow returns what all processes use in a window.
func (f *simFleet) measureWindow(b *bench) (used usage, err error) {
	before, _, err := f.totals()
	if err != nil {
		return used, err
	}
	began := time.Now()
	if err = sleep(b.ctx, max(b.plan.Window, 500*time.Millisecond), &f.processes[0].process); err != nil {
		return used, err
	}
	after, resident, err := f.totals()
	used.seconds, used.cpu, used.resident, used.loop = time.Since(began).Seconds(), after-before, resident, plainLoop()
	return b.recordLoop(used), err
}

// stopAndSettle stops all sending, and returns the counters once no datagram is in flight.
func (f *simFleet) stopAndSettle() (simrouter.Answer, error) {
	answer, err := f.sendOrder(&simrouter.Order{Stop: true})
	for range 100 {
		if err != nil || answer.Traffic.DatagramsIn >= answer.Traffic.DatagramsOut {
			break
		}
		time.Sleep(50 * time.Millisecond)
		before := answer.Traffic.DatagramsIn
		if answer, err = f.sendOrder(&simrouter.Order{}); err == nil && answer.Traffic.DatagramsIn == before {
			break
		}
	}
	return answer, err
}

// measureListChange measures the time until a change of the list is in force at all routers that watch it.
func (b *bench) measureListChange(t *testbed, simulated *simFleet, n int) error {
	answer, err := simulated.sendOrder(&simrouter.Order{})
	if err != nil {
		return err
	}
	var changedAt float64
	t.onLoop(func() {
		changedAt = t.loop.Now()
		t.fleet.Servers()[0].Drain()
	})
	wantGeneration := answer.OldestGeneration + 1
	err = simulated.processes[0].waitFor(b.ctx, "waiting for a change of the list at simulated routers", func() bool {
		answer, err = simulated.sendOrder(&simrouter.Order{})
		return err != nil || answer.OldestGeneration >= wantGeneration
	})
	if err == nil {
		b.add("hollow.force.list", float64(n), max(0, answer.LatestChange-changedAt)*1e3, 0)
	}
	return err
}

// compareWithRealRouter compares simulated routers with a real one: in the CPU time per message, and in the messages
// sent and received.
func (b *bench) compareWithRealRouter() error {
	mostServers, fewestPeers := slices.Max(b.plan.Servers), slices.Min(b.plan.Routers)
	rate := float64(fixedMessageRate)
	if b.plan.Small {
		rate = 200
	}
	b.progressf("comparing a simulated router with a real one")
	peers, err := b.openPeerSockets(fewestPeers)
	if err != nil {
		return err
	}
	defer peers.close()
	perMessage := map[string]float64{}
	measureMessage := func(name string, p *process, message []byte) error {
		before, err := b.measureWindow(p)
		if err != nil {
			return err
		}
		used, received, err := b.measureReceipt(p, peers, rate, func(int) []byte { return message })
		perMessage[name] = (used.cpuRate() - before.cpuRate()) / max(received, 1)
		return err
	}
	err = b.withRouter(mostServers, routerSetup{peers: b.peerAddresses(fewestPeers), gossip: true},
		func(t *testbed, p *process) error {
			return measureMessage("real", p, typicalMessage(t))
		})
	if err != nil {
		return err
	}
	err = b.withServers(mostServers, func(t *testbed) error { // at the real router's address, alone in its process
		initialList, err := fetchList(t.listServices[0].Addr(), "")
		if err != nil {
			return err
		}
		own := b.address(routerOctet, 0, gossipPort)
		fleet, err := b.startSimFleet(simrouter.Spec{Transport: "all",
			Peers: append([]string{own}, b.peerAddresses(fewestPeers)...), InitialList: initialList,
			ListService: t.listServices[0].Addr(), Follow: []int{0}}, 1)
		if err != nil {
			return err
		}
		defer fleet.close()
		if err = sleep(b.ctx, b.plan.Settle, &fleet.processes[0].process); err != nil {
			return err
		}
		return measureMessage("hollow", &fleet.processes[0].process, typicalMessage(t))
	})
	if err != nil {
		return err
	}
	peers.close()
	peers.sockets = nil
	b.add("hollow.core.word", 0, perMessage["hollow"], 0)
	b.add("hollow.agree.core", 0, perMessage["hollow"]/perMessage["real"], 0)
	if deviation := perMessage["hollow"]/perMessage["real"] - 1; !b.plan.Small &&
		(deviation > maxCPUDeviation || deviation < -maxCPUDeviation) {
		b.addNote("a message costs a simulated router %.0f us of CPU time and a real one %.0f: over %.0f%% apart",
			perMessage["hollow"], perMessage["real"], 100*maxCPUDeviation)
	}
	return b.countBesideRealRouter(fewestPeers)
}

// countBesideRealRouter runs a real router in a fleet of simulated ones, and compares the messages that each side sends
// and receives.
func (b *bench) countBesideRealRouter(n int) error {
	b.progressf("a real router in a fleet of %d simulated ones", n)
	c := routerSetup{peers: b.peerAddresses(n), gossip: true, zoneFailover: true, adminServer: true, fleetSize: 50}
	return b.withRouter(slices.Max(b.plan.Servers), c, func(t *testbed, p *process) error {
		initialList, err := fetchList(t.listServices[0].Addr(), "")
		if err != nil {
			return err
		}
		peers := append([]string{b.address(routerOctet, 0, gossipPort)}, b.peerAddresses(n)...)
		fleet, err := b.startSimFleet(simrouter.Spec{Transport: "all", Peers: peers, First: 1, InitialList: initialList,
			ListService: t.listServices[0].Addr()}, n)
		if err != nil {
			return err
		}
		defer fleet.close()
		sentBefore, before, err := b.countsAtRest(fleet)
		if err != nil {
			return err
		}
		allSimulated := spreadIndexes(1, n, n)
		for range repetitions {
			if _, err = fleet.sendOrder(&simrouter.Order{SendOnce: allSimulated}); err != nil {
				return err
			}
			if err = sleep(b.ctx, 200*time.Millisecond, p); err != nil {
				return err
			}
		}
		sentAfter, after, err := b.countsAtRest(fleet)
		if err != nil {
			return err
		}
		dropped, err := droppedDatagrams(b.address(routerOctet, 0, gossipPort))
		if err != nil {
			return err
		}
		b.add("hollow.agree.heard", 0, float64(after.Traffic.Received-after.ZoneMessages)-
			float64(repetitions*n*(n-1)), 0)
		b.add("hollow.agree.real", 0, float64(dropped), 0)
		b.add("hollow.agree.told", 0, float64(after.ZoneMessages-before.ZoneMessages)-
			(sentAfter-sentBefore)*float64(n), 0)
		return nil
	})
}

// countsAtRest returns the number of zone messages that the real router reports as sent, and the simulated routers'
// counters at the same time. It waits for a pause between messages that is longer than the update interval of the real
// router's metrics.
func (b *bench) countsAtRest(fleet *simFleet) (sent float64, answer simrouter.Answer, err error) {
	const refreshWait = 150 * time.Millisecond // the router updates its metrics every tenth of a second
	for range 200 {
		if sent, err = b.adminMetric("zone_words"); err != nil {
			return 0, answer, err
		}
		if err = sleep(b.ctx, refreshWait, nil); err != nil {
			return 0, answer, err
		}
		if answer, err = fleet.sendOrder(&simrouter.Order{}); err != nil {
			return 0, answer, err
		}
		if err = sleep(b.ctx, refreshWait, nil); err != nil {
			return 0, answer, err
		}
		sentAfter, err := b.adminMetric("zone_words")
		if err != nil || sentAfter == sent {
			return sent, answer, err
		}
	}
	return 0, answer,
		errors.New("the real router's zone messages have no pause long enough to compare the counters")
}

// adminMetric reads a metric from the real router's admin server.
func (b *bench) adminMetric(name string) (float64, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.address(routerOctet, 0, 9400) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, is := strings.CutPrefix(line, "gw."+name+"="); is {
			var x float64
			_, err = fmt.Sscan(rest, &x)
			return x, err
		}
	}
	return 0, fmt.Errorf("the router's admin server has no metric gw.%s", name)
}
