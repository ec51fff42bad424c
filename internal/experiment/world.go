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

// World is a run whose course its holder decides: real routers, stand-ins and clients, with faults begun and ended when something
// seen from outside is the case. What it tells is told by the stand-ins, the clients and the relays.
type World struct {
	world *world
}

// Open starts one; its clients' operations arrive until Close. The scenario's faults are not played.
func Open(ctx context.Context, s *Scenario, o Options) (*World, error) {
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
	return &World{w}, nil
}

// Close lets no more operations arrive, waits for those that are open, ends all processes and gives the records.
func (x *World) Close() (*Records, error) {
	w := x.world
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

// Now is the time, in Unix seconds.
func (x *World) Now() float64 { return x.world.fleetLoop.Now() }

// Since is the time since the clients began.
func (x *World) Since() float64 { return x.Now() - x.world.startTime }

// Until waits until something holds; an error tells that it does not within a bound of seconds.
func (x *World) Until(what string, bound float64, holds func() bool) (took float64, err error) {
	began := x.Now()
	for !holds() {
		if x.Now()-began > bound {
			return bound, fmt.Errorf("%s: not within %v s", what, bound)
		}
		time.Sleep(pollInterval)
	}
	return x.Now() - began, nil
}

// Cut begins a fault between processes, of a kind of a scenario's; heal ends it.
func (x *World) Cut(f Fault) (heal func() error, err error) {
	r, err := x.world.rule(f)
	if err != nil {
		return nil, err
	}
	x.world.recordEvent("%s %s begins", f.Kind, f.Target)
	end, err := x.world.net.Begin(r)
	return func() error {
		x.world.recordEvent("%s %s ends", f.Kind, f.Target)
		return end()
	}, err
}

// Fault begins a fault on all cache servers of a zone, by what is done to each; end undoes it.
func (x *World) Fault(zone string, begin func(s *emulator.Server) (end func() error)) (end func()) {
	var ends []func() error
	x.OnFleet(func(f *emulator.Fleet) {
		for _, s := range f.Servers() {
			if s.Zone == zone {
				ends = append(ends, begin(s))
			}
		}
	})
	x.world.recordEvent("trouble in %s begins", zone)
	return func() {
		x.world.recordEvent("trouble in %s ends", zone)
		x.OnFleet(func(*emulator.Fleet) {
			for _, end := range ends {
				x.world.fail(end())
			}
		})
	}
}

// OnFleet calls where the stand-ins' records and faults may be touched.
func (x *World) OnFleet(f func(f *emulator.Fleet)) {
	runOnLoop(x.world.fleetLoop, func() { f(x.world.fleet) })
}

// OnClients calls where the clients' records may be read.
func (x *World) OnClients(f func(c *emulator.Clients)) {
	runOnLoop(x.world.clientLoop, func() { f(x.world.clients) })
}

// Served is the part of the operations due between two times, all over by now, that were answered in the promised time.
func (x *World) Served(from, to float64) (part float64, n int) {
	x.OnClients(func(c *emulator.Clients) {
		in := 0
		for _, o := range c.Book().Ops {
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

// Arrived counts the executions that servers of a zone saw since a time; of the routers, those that sent them.
func (x *World) Arrived(zone string, since float64) (n int) {
	x.OnFleet(func(f *emulator.Fleet) {
		all := f.Book().Executions
		for i := len(all) - 1; i >= 0 && all[i].First >= since; i-- {
			if all[i].Server.Zone == zone {
				n++
			}
		}
	})
	return n
}

// Burnt counts what routers have written to servers of a zone since a time while nothing came through, by router.
func (x *World) Burnt(zone string, since float64) map[int]int {
	by := map[int]int{}
	for _, s := range x.world.net.Sent() {
		if s.At >= since && s.To.Zone == zone {
			by[s.Router]++
		}
	}
	return by
}

// Words gives the newest words between routers.
func (x *World) Words(most int) []faultproxy.Word { return x.world.net.Last(most) }

// Kill ends routers' processes at once, Stop stands them still, Go lets them go on, Start begins new ones and Ready waits for them.
func (x *World) Kill(routers ...int) {
	for _, n := range routers {
		x.world.routerNodes[n].kill()
		x.world.recordEvent("router %d is killed", n)
	}
}

// Stop stands routers still; they do not notice.
func (x *World) Stop(routers ...int) {
	for _, n := range routers {
		x.world.routerNodes[n].pause()
		x.world.recordEvent("router %d is stopped", n)
	}
}

// Go lets routers that were stopped go on.
func (x *World) Go(routers ...int) {
	for _, n := range routers {
		x.world.routerNodes[n].resume()
		x.world.recordEvent("router %d goes on", n)
	}
}

// Start begins new processes of routers, which know the list as their last ones had it.
func (x *World) Start(routers ...int) error {
	for _, n := range routers {
		if !x.world.startRouter(n) {
			return x.world.failed
		}
	}
	return nil
}

// Ready waits until routers serve.
func (x *World) Ready(within float64, routers ...int) error {
	for _, n := range routers {
		if err := x.world.routerNodes[n].ready(within); err != nil {
			return err
		}
	}
	return nil
}

// Folder is what outlives a router's processes.
func (x *World) Folder(router int) string { return x.world.routerNodes[router].folder }

// Routers is how many there are.
func (x *World) Routers() int { return len(x.world.routerNodes) }

// Played is what was done so far, with its times.
func (x *World) Played() []string {
	x.world.mu.Lock()
	defer x.world.mu.Unlock()
	return append([]string(nil), x.world.played...)
}

// Log is the lines of a router's log that hold a text, the newest last.
func (x *World) Log(router int, holds string, most int) (lines []string) {
	text, _ := os.ReadFile(x.world.routerNodes[router].file("log"))
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, holds) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines[max(0, len(lines)-most):]
}

var caller = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ask calls a router's door: GET without a body, else POST; into takes the answer as JSON, nil takes none.
func (x *World) Ask(router int, path, body string, into any) (status int, err error) {
	method, url := http.MethodGet, "http://"+x.world.address(routersAt, router, 9400)+path
	if body != "" {
		method = http.MethodPost
	}
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Accept", "application/json")
	answer, err := caller.Do(q)
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

// Operators rewrites a router's operators' file, and tells its process by SIGHUP.
func (x *World) Operators(router int, change func(text string) string) error {
	n := x.world.routerNodes[router]
	return n.reload(func() { n.operators = change(n.operators) })
}

// Judge makes the verdict on records of this run.
func (x *World) Judge(rec *Records) Result { return NewResult(x.world.scenario, x.world.options, rec) }

// Build builds the router of this working tree into a folder.
func Build(ctx context.Context) (Program, string, error) {
	dir, err := os.MkdirTemp("", "trestle-experiment-build-")
	if err != nil {
		return Program{}, "", err
	}
	p, err := Resolve(ctx, "head", dir)
	return p, dir, err
}

// Replace ends all servers of a zone for good and brings others, cold, at the same addresses.
func (x *World) Replace(zone string) {
	var gone []*emulator.Server
	x.OnFleet(func(f *emulator.Fleet) {
		for _, s := range f.Servers() {
			if s.Zone == zone {
				s.Leave()
				gone = append(gone, s)
			}
		}
	})
	x.OnFleet(func(f *emulator.Fleet) { // a later turn: the listeners are closed by then
		for _, s := range gone {
			spec := s.Spec
			spec.Name = f.NextName()
			_, err := f.Add(spec, true)
			x.world.fail(err)
		}
	})
	x.world.recordEvent("%s has other servers", zone)
}

// Course counts the executions that servers of a zone saw since a time, by slices of so many seconds.
func (x *World) Course(zone string, since, slice float64) []int {
	counts := make([]int, int(max(0, x.Now()-since)/slice))
	x.OnFleet(func(f *emulator.Fleet) {
		for _, e := range f.Book().Executions {
			if i := int((e.First - since) / slice); e.Server.Zone == zone && e.First >= since && i < len(counts) {
				counts[i]++
			}
		}
	})
	return counts
}
