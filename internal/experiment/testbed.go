package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bendtrestle/internal/emulator"
	"bendtrestle/internal/experiment/faultproxy"
)

// Testbed is a run that its caller controls: real routers, emulated servers and clients, with faults that begin and end
// when an observed condition holds. All observations are from the emulated servers, the clients and the relays.
type Testbed struct {
	run *runState
}

// Open starts a run. Its clients send requests until Close. The scenario's faults are not played.
func Open(ctx context.Context, s *Scenario, o Options) (*Testbed, error) {
	w, err := begin(ctx, s, o)
	if err != nil {
		if w != nil {
			w.end()
		}
		return nil, err
	}
	runOnLoop(w.clientLoop, func() {
		w.startTime = w.clientLoop.Now()
		w.clients.Start(1e6)
	})
	return &Testbed{w}, nil
}

// Close stops the clients, waits for the requests in flight, ends all processes and returns the records.
func (x *Testbed) Close() (*Records, error) {
	w := x.run
	rec := &Records{From: w.startTime, To: w.clientLoop.Now()}
	runOnLoop(w.clientLoop, w.clients.Stop)
	longest := w.longestAnswer()
	for busy := true; busy && w.clientLoop.Now() < rec.To+longest+1; time.Sleep(pollInterval) {
		runOnLoop(w.clientLoop, func() { busy = w.clients.Busy() })
	}
	w.end()
	w.collect(rec)
	return rec, w.failed
}

// Now returns the time in Unix seconds.
func (x *Testbed) Now() float64 { return x.run.fleetLoop.Now() }

// Elapsed returns the seconds since the clients started.
func (x *Testbed) Elapsed() float64 { return x.Now() - x.run.startTime }

// WaitUntil waits until a condition holds, and returns how long it waited. It returns an error if the condition does not
// hold within bound seconds.
func (x *Testbed) WaitUntil(what string, bound float64, holds func() bool) (took float64, err error) {
	began := x.Now()
	for !holds() {
		if x.Now()-began > bound {
			return bound, fmt.Errorf("%s: not within %v s", what, bound)
		}
		time.Sleep(pollInterval)
	}
	return x.Now() - began, nil
}

// BeginFault begins a fault between processes; heal ends it.
func (x *Testbed) BeginFault(f Fault) (heal func() error, err error) {
	r, err := x.run.rule(f)
	if err != nil {
		return nil, err
	}
	x.run.recordEvent("%s %s begins", f.Kind, f.Target)
	end, err := x.run.net.Begin(r)
	return func() error {
		x.run.recordEvent("%s %s ends", f.Kind, f.Target)
		return end()
	}, err
}

// Fault calls begin for each cache server of a zone; end calls the functions that begin returned.
func (x *Testbed) Fault(zone string, begin func(s *emulator.Server) (end func() error)) (end func()) {
	var ends []func() error
	x.OnFleet(func(f *emulator.Fleet) {
		for _, s := range f.Servers() {
			if s.Zone == zone {
				ends = append(ends, begin(s))
			}
		}
	})
	x.run.recordEvent("fault in %s begins", zone)
	return func() {
		x.run.recordEvent("fault in %s ends", zone)
		x.OnFleet(func(*emulator.Fleet) {
			for _, end := range ends {
				x.run.fail(end())
			}
		})
	}
}

// OnFleet runs f on the event loop of the emulated servers, where their records and faults may be accessed, and waits
// for it.
func (x *Testbed) OnFleet(f func(f *emulator.Fleet)) {
	runOnLoop(x.run.fleetLoop, func() { f(x.run.fleet) })
}

// OnClients runs f on the event loop of the clients, where their records may be read, and waits for it.
func (x *Testbed) OnClients(f func(c *emulator.Clients)) {
	runOnLoop(x.run.clientLoop, func() { f(x.run.clients) })
}

// FractionInTime returns the fraction of the requests due between two times that were answered within the latency
// objective, and the number of these requests. All of them must have ended.
func (x *Testbed) FractionInTime(from, to float64) (part float64, n int) {
	x.OnClients(func(c *emulator.Clients) {
		in := 0
		for _, o := range c.Records().Requests {
			if o.Due >= from && o.Due < to {
				n++
				if _, timely := o.Served(); timely {
					in++
				}
			}
		}
		part = float64(in) / max(1, float64(n))
	})
	return part, n
}

// ExecutionCount returns the number of executions that reached servers of a zone since a time.
func (x *Testbed) ExecutionCount(zone string, since float64) (n int) {
	x.OnFleet(func(f *emulator.Fleet) {
		all := f.Records().Executions
		for i := len(all) - 1; i >= 0 && all[i].First >= since; i-- {
			if all[i].Server.Zone == zone {
				n++
			}
		}
	})
	return n
}

// BlockedSends counts, by router, the writes to servers of a zone since a time while relays had cut the connections.
func (x *Testbed) BlockedSends(zone string, since float64) map[int]int {
	by := map[int]int{}
	for _, s := range x.run.net.BlockedSends() {
		if s.At >= since && s.To.Zone == zone {
			by[s.Router]++
		}
	}
	return by
}

// DatagramRecords returns records of the newest datagrams between routers, at most as many as given.
func (x *Testbed) DatagramRecords(most int) []faultproxy.DatagramRecord {
	return x.run.net.RecentDatagrams(most)
}

// Kill sends SIGKILL to routers' processes and waits until they have ended.
func (x *Testbed) Kill(routers ...int) {
	for _, n := range routers {
		x.run.routerNodes[n].kill()
		x.run.recordEvent("router %d is killed", n)
	}
}

// Pause stops routers' processes by SIGSTOP, which they cannot observe.
func (x *Testbed) Pause(routers ...int) {
	for _, n := range routers {
		x.run.routerNodes[n].pause()
		x.run.recordEvent("router %d is stopped", n)
	}
}

// Resume continues routers' processes after Pause.
func (x *Testbed) Resume(routers ...int) {
	for _, n := range routers {
		x.run.routerNodes[n].resume()
		x.run.recordEvent("router %d continues", n)
	}
}

// Start starts new processes of routers, with the endpoint list that their last processes had.
func (x *Testbed) Start(routers ...int) error {
	for _, n := range routers {
		if !x.run.startRouter(n) {
			return x.run.failed
		}
	}
	return nil
}

// Ready waits until routers serve requests.
func (x *Testbed) Ready(within float64, routers ...int) error {
	for _, n := range routers {
		if err := x.run.routerNodes[n].ready(within); err != nil {
			return err
		}
	}
	return nil
}

// RouterFolder returns the path of a router's folder that outlives its processes.
func (x *Testbed) RouterFolder(router int) string { return x.run.routerNodes[router].folder }

// Routers returns the number of routers.
func (x *Testbed) Routers() int { return len(x.run.routerNodes) }

// Played returns the faults and actions so far, with their times.
func (x *Testbed) Played() []string {
	x.run.mu.Lock()
	defer x.run.mu.Unlock()
	return append([]string(nil), x.run.played...)
}

// LogLines returns the last lines of a router's log that contain a text, the newest last.
func (x *Testbed) LogLines(router int, holds string, most int) (lines []string) {
	text, _ := os.ReadFile(x.run.routerNodes[router].file("log"))
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, holds) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines[max(0, len(lines)-most):]
}

var adminClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// CallAdmin calls a router's admin server by GET, or by POST if body is not empty. If into is not nil, the JSON answer
// is decoded into it.
func (x *Testbed) CallAdmin(router int, path, body string, into any) (status int, err error) {
	method, url := http.MethodGet, "http://"+x.run.address(routerAddrByte, router, 9400)+path
	if body != "" {
		method = http.MethodPost
	}
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Accept", "application/json")
	answer, err := adminClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && into != nil && answer.StatusCode == http.StatusOK {
		err = json.Unmarshal(text, into)
	}
	return answer.StatusCode, err
}

// ChangeOperatorsFile changes a router's operators' file and sends SIGHUP to its process.
func (x *Testbed) ChangeOperatorsFile(router int, change func(text string) string) error {
	n := x.run.routerNodes[router]
	return n.reload(func() { n.operators = change(n.operators) })
}

// CheckRules returns the verdict and the figures of this run's records.
func (x *Testbed) CheckRules(rec *Records) Result {
	return NewResult(x.run.scenario, x.run.options, rec)
}

// Build builds the router of this working tree in a new temporary folder, and returns the folder's path.
func Build(ctx context.Context) (Program, string, error) {
	dir, err := os.MkdirTemp("", "trestle-experiment-build-")
	if err != nil {
		return Program{}, "", err
	}
	p, err := Resolve(ctx, "head", dir)
	return p, dir, err
}

// ReplaceServers removes all servers of a zone permanently and starts new, cold ones at the same addresses.
func (x *Testbed) ReplaceServers(zone string) {
	var gone []*emulator.Server
	x.OnFleet(func(f *emulator.Fleet) {
		for _, s := range f.Servers() {
			if s.Zone == zone {
				s.Leave()
				gone = append(gone, s)
			}
		}
	})
	x.OnFleet(func(f *emulator.Fleet) { // in a later turn of the event loop, so that the listeners are closed
		for _, s := range gone {
			spec := s.Spec
			spec.Name = f.NextName()
			_, err := f.Add(spec, true)
			x.run.fail(err)
		}
	})
	x.run.recordEvent("%s has new servers", zone)
}

// ExecutionCounts returns the numbers of executions that reached servers of a zone since a time, by slices of the given
// seconds.
func (x *Testbed) ExecutionCounts(zone string, since, slice float64) []int {
	counts := make([]int, int(max(0, x.Now()-since)/slice))
	x.OnFleet(func(f *emulator.Fleet) {
		for _, e := range f.Records().Executions {
			if i := int((e.First - since) / slice); e.Server.Zone == zone && e.First >= since && i < len(counts) {
				counts[i]++
			}
		}
	})
	return counts
}
