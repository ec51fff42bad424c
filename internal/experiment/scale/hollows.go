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

// child is a process of hollow routers.
type child struct {
	process
	in      io.WriteCloser
	out     *json.Decoder
	orders  *json.Encoder
	answers chan answered
	count   int
}

type answered struct {
	simrouter.Answer
	err error
}

// hollows are the processes that hold a fleet of hollow routers.
type hollows struct {
	b   *bench
	all []*child
}

// hollows starts routers with these numbers among the peers, as many to a process as the plan allows, and waits until all hear.
func (b *bench) hollows(spec simrouter.Spec, numbers int) (h *hollows, err error) {
	return b.hollowsBy(b.plan.Hollow, spec, numbers)
}

// hollowsBy starts them with so many to a process at most.
func (b *bench) hollowsBy(most int, spec simrouter.Spec, numbers int) (h *hollows, err error) {
	err = again(b.ctx, func() (err error) {
		h, err = b.openHollows(most, spec, numbers)
		return err
	})
	return h, err
}

func (b *bench) openHollows(most int, spec simrouter.Spec, numbers int) (*hollows, error) {
	h := &hollows{b: b}
	for first := spec.First; first < spec.First+numbers; first += most {
		one := spec
		one.First, one.Count = first, min(most, spec.First+numbers-first)
		c, err := b.child(len(h.all), one)
		if err != nil {
			h.close()
			return nil, err
		}
		h.all = append(h.all, c)
	}
	_, err := h.ask(nil)
	if err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func (b *bench) child(n int, spec simrouter.Spec) (*child, error) {
	c := &child{process: process{log: filepath.Join(b.dir, fmt.Sprintf("hollow-%d.log", n)), ended: make(chan struct{})}, count: spec.Count,
		answers: make(chan answered)}
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(b.self[0], b.self[1:]...)
	c.cmd.Env, c.cmd.Stderr = append(os.Environ(), b.selfEnv...), log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.cmd.StdinPipe(); err != nil {
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
		return nil, fmt.Errorf("hollow routers: %w", err)
	}
	go func() { c.cmd.Wait(); close(c.ended) }()
	c.orders, c.out = json.NewEncoder(c.in), json.NewDecoder(bufio.NewReader(out))
	go func() { // one answer for the spec and one for each order, until the process ends
		defer out.Close()
		for {
			var a answered
			if a.err = c.out.Decode(&a.Answer); a.err == nil && a.Error != "" {
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

// ask gives all an order and waits for their answers; with none it waits for the answer to their spec. It gives their sums.
func (h *hollows) ask(o *simrouter.Order) (sum simrouter.Answer, err error) {
	if o != nil {
		for _, c := range h.all {
			if err := c.orders.Encode(o); err != nil {
				return sum, fmt.Errorf("hollow routers: %w; their log ends with\n%s", err, c.tail())
			}
		}
	}
	late := time.After(readying)
	for i, c := range h.all {
		var a answered
		select {
		case a = <-c.answers:
		case <-h.b.ctx.Done():
			return sum, h.b.ctx.Err()
		case <-late:
			return sum, fmt.Errorf("hollow routers did not answer within %v", readying)
		}
		if a.err != nil {
			return sum, fmt.Errorf("hollow routers: %w; their log ends with\n%s", a.err, c.tail())
		}
		if sum.Traffic.Add(a.Traffic, i == 0); i == 0 {
			sum.Oldest = a.Oldest
		}
		sum.Zoned += a.Zoned
		if a.Oldest > 0 {
			sum.Oldest = min(max(sum.Oldest, 1), a.Oldest)
		}
		sum.Latest = max(sum.Latest, a.Latest)
		sum.Each = append(sum.Each, a.Each...)
	}
	return sum, nil
}

// processor is the processor time of all, and what they hold resident.
func (h *hollows) spent() (processor, resident float64, err error) {
	for _, c := range h.all {
		p, err := processorOf(c.pid())
		if err != nil {
			return 0, 0, err
		}
		m, _, err := memoryOf(c.pid())
		if err != nil {
			return 0, 0, err
		}
		processor, resident = processor+p, resident+m
	}
	return processor, resident, nil
}

// close ends them all: they end with their input, and are killed if they do not.
func (h *hollows) close() {
	for _, c := range h.all {
		c.in.Close()
	}
	late := time.After(ending)
	for _, c := range h.all {
		select {
		case <-c.ended:
		case <-late:
		}
		c.kill()
	}
}

const (
	tellers   = 37       // routers that say a word a second to all, where all of 3,700 would be 13.7 million datagrams a second
	mostKept  = 12 << 20 // KiB that all hollow routers may hold resident
	agreement = 0.25     // part by which a hollow router's processor time for a word may differ from a real one's
)

// sample gives so many of the routers from first on, spread over all.
func sample(first, routers, n int) (all []int) {
	n = min(n, routers)
	for i := range n {
		all = append(all, first+i*routers/n)
	}
	return all
}

// hollowPart measures fleets of hollow routers, and sets one beside a real one.
func hollowPart(b *bench) error {
	most := slices.Max(b.plan.Servers)
	lost, said, size := 0.0, 0.0, 0.0
	for _, n := range b.plan.Routers {
		b.say("%d hollow routers", n)
		err := b.before(most, func(s *stage) error {
			known, err := fetch(s.lists[0].Addr(), "")
			if err != nil {
				return err
			}
			began := time.Now()
			spec := simrouter.Spec{Way: "all", Peers: b.others(n), Known: known, List: s.lists[0].Addr(), Follow: sample(0, n, tellers)}
			h, err := b.hollows(spec, n)
			if err != nil {
				return err
			}
			defer h.close()
			b.add("hollow.ready", float64(n), time.Since(began).Seconds()*1e3, 0)
			if err = sleep(b.ctx, b.plan.Settle, &h.all[0].process); err != nil {
				return err
			}
			quiet, err := h.window(b)
			if err != nil {
				return err
			}
			b.add("hollow.memory", float64(n), quiet.resident, 0)
			if quiet.resident > mostKept {
				return fmt.Errorf("%d hollow routers hold %.0f KiB; %d are what they may hold: take fewer by --routers", n, quiet.resident, mostKept)
			}
			b.add("hollow.core.quiet", float64(n), quiet.rate(), quiet.loop)
			told, err := h.ask(&simrouter.Order{}) // while nothing is on its way
			if err != nil {
				return err
			}
			if _, err = h.ask(&simrouter.Order{Talk: sample(0, n, tellers), Period: time.Second}); err != nil {
				return err
			}
			if err = sleep(b.ctx, b.plan.Settle, &h.all[0].process); err != nil {
				return err
			}
			w, err := h.window(b)
			if err != nil {
				return err
			}
			done, err := h.settled()
			if err != nil {
				return err
			}
			heard := float64(done.Traffic.DatagramsIn - told.Traffic.DatagramsIn)
			out := float64(done.Traffic.DatagramsOut - told.Traffic.DatagramsOut)
			lost, said, size = lost+out-heard, said+out, size+float64(done.Traffic.BytesIn-told.Traffic.BytesIn)
			b.add("hollow.core.datagrams", float64(min(n, tellers)*(n-1)), w.rate()-quiet.rate(), w.loop)
			return b.hollowChange(s, h, n)
		})
		if err != nil {
			return err
		}
	}
	b.add("hollow.datagrams", 0, said, 0)
	b.add("hollow.lost", 0, lost, 0)
	b.add("hollow.bytes.datagram", 0, size/(said-lost), 0)
	return b.agree()
}

// window is what all take in a window.
func (h *hollows) window(b *bench) (w spent, err error) {
	before, _, err := h.spent()
	if err != nil {
		return w, err
	}
	began := time.Now()
	if err = sleep(b.ctx, max(b.plan.Window, 500*time.Millisecond), &h.all[0].process); err != nil {
		return w, err
	}
	after, resident, err := h.spent()
	w.seconds, w.processor, w.resident, w.loop = time.Since(began).Seconds(), after-before, resident, plainLoop()
	return b.measured(w), err
}

// settled hushes all, and gives the counts once nothing is on its way.
func (h *hollows) settled() (simrouter.Answer, error) {
	a, err := h.ask(&simrouter.Order{Hush: true})
	for range 100 {
		if err != nil || a.Traffic.DatagramsIn >= a.Traffic.DatagramsOut {
			break
		}
		time.Sleep(50 * time.Millisecond)
		before := a.Traffic.DatagramsIn
		if a, err = h.ask(&simrouter.Order{}); err == nil && a.Traffic.DatagramsIn == before {
			break
		}
	}
	return a, err
}

// hollowChange measures how long a change of the list takes to be in force at all that follow it.
func (b *bench) hollowChange(s *stage, h *hollows, n int) error {
	a, err := h.ask(&simrouter.Order{})
	if err != nil {
		return err
	}
	var at float64
	s.on(func() {
		at = s.loop.Now()
		s.fleet.Servers()[0].Drain()
	})
	wanted := a.Oldest + 1
	err = h.all[0].until(b.ctx, "a change of the list at hollow routers", func() bool {
		a, err = h.ask(&simrouter.Order{})
		return err != nil || a.Oldest >= wanted
	})
	if err == nil {
		b.add("hollow.force.list", float64(n), max(0, a.Latest-at)*1e3, 0)
	}
	return err
}

// agree sets hollow routers beside a real one: in what they hear and tell, and in what a word takes of the processor.
func (b *bench) agree() error {
	most, fewest := slices.Max(b.plan.Servers), slices.Min(b.plan.Routers)
	rate := float64(fixedRate)
	if b.plan.Small {
		rate = 200
	}
	b.say("a hollow router beside a real one")
	v, err := b.voices(fewest)
	if err != nil {
		return err
	}
	defer v.close()
	times := map[string]float64{}
	one := func(name string, p *process, words []byte) error {
		before, err := b.watch(p)
		if err != nil {
			return err
		}
		s, heard, err := b.listen(p, v, rate, func(int) []byte { return words })
		times[name] = (s.rate() - before.rate()) / max(heard, 1)
		return err
	}
	err = b.with(most, setup{peers: b.others(fewest), words: true}, func(s *stage, p *process) error {
		return one("real", p, usualWord(s))
	})
	if err != nil {
		return err
	}
	err = b.before(most, func(s *stage) error { // at the real one's address, and as it is the only one of its process
		known, err := fetch(s.lists[0].Addr(), "")
		if err != nil {
			return err
		}
		own := b.at(routerAt, 0, wordsPort)
		h, err := b.hollows(simrouter.Spec{Way: "all", Peers: append([]string{own}, b.others(fewest)...), Known: known, List: s.lists[0].Addr(), Follow: []int{0}}, 1)
		if err != nil {
			return err
		}
		defer h.close()
		if err = sleep(b.ctx, b.plan.Settle, &h.all[0].process); err != nil {
			return err
		}
		return one("hollow", &h.all[0].process, usualWord(s))
	})
	if err != nil {
		return err
	}
	v.close()
	v.sockets = nil
	b.add("hollow.core.word", 0, times["hollow"], 0)
	b.add("hollow.agree.core", 0, times["hollow"]/times["real"], 0)
	if off := times["hollow"]/times["real"] - 1; !b.plan.Small && (off > agreement || off < -agreement) {
		b.note("a word takes %.0f us of a hollow router and %.0f of a real one: more than %.0f%% apart", times["hollow"], times["real"], 100*agreement)
	}
	return b.among(fewest)
}

// among puts a real router among hollow ones, and counts what each side says and hears.
func (b *bench) among(n int) error {
	b.say("a real router among %d hollow ones", n)
	c := setup{peers: b.others(n), words: true, zones: true, door: true, routers: 50}
	return b.with(slices.Max(b.plan.Servers), c, func(s *stage, p *process) error {
		known, err := fetch(s.lists[0].Addr(), "")
		if err != nil {
			return err
		}
		peers := append([]string{b.at(routerAt, 0, wordsPort)}, b.others(n)...)
		h, err := b.hollows(simrouter.Spec{Way: "all", Peers: peers, First: 1, Known: known, List: s.lists[0].Addr()}, n)
		if err != nil {
			return err
		}
		defer h.close()
		said, before, err := b.still(h)
		if err != nil {
			return err
		}
		everyone := sample(1, n, n)
		for range repeats {
			if _, err = h.ask(&simrouter.Order{SayOnce: everyone}); err != nil {
				return err
			}
			if err = sleep(b.ctx, 200*time.Millisecond, p); err != nil {
				return err
			}
		}
		now, a, err := b.still(h)
		if err != nil {
			return err
		}
		dropped, err := lost(b.at(routerAt, 0, wordsPort))
		if err != nil {
			return err
		}
		b.add("hollow.agree.heard", 0, float64(a.Traffic.Heard-a.Zoned)-float64(repeats*n*(n-1)), 0)
		b.add("hollow.agree.real", 0, float64(dropped), 0)
		b.add("hollow.agree.told", 0, float64(a.Zoned-before.Zoned)-(now-said)*float64(n), 0)
		return nil
	})
}

// still gives how many words a real router says that it has said, and what hollow ones have heard at that moment: when it says none
// for longer than its door's figures are old.
func (b *bench) still(h *hollows) (said float64, a simrouter.Answer, err error) {
	const older = 150 * time.Millisecond // its figures are published each tenth of a second
	for range 200 {
		if said, err = b.figure("zone_words"); err != nil {
			return 0, a, err
		}
		if err = sleep(b.ctx, older, nil); err != nil {
			return 0, a, err
		}
		if a, err = h.ask(&simrouter.Order{}); err != nil {
			return 0, a, err
		}
		if err = sleep(b.ctx, older, nil); err != nil {
			return 0, a, err
		}
		now, err := b.figure("zone_words")
		if err != nil || now == said {
			return said, a, err
		}
	}
	return 0, a, errors.New("the real router never falls silent for long enough to be counted")
}

// figure reads a number at the real router's door.
func (b *bench) figure(name string) (float64, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + b.at(routerAt, 0, 9400) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
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
	return 0, fmt.Errorf("the router's door has no figure %s", name)
}
