package scale

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// counter stands between a router and its list service, and counts what passes.
type counter struct {
	ln           net.Listener
	to           string
	calls, bytes atomic.Int64
	mu           sync.Mutex
	open         []net.Conn
	all          sync.WaitGroup
}

func newCounter(addr, to string) (*counter, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &counter{ln: ln, to: to}
	c.all.Add(1)
	go func() {
		defer c.all.Done()
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.all.Add(1)
			go c.pass(conn)
		}
	}()
	return c, nil
}

func (c *counter) pass(conn net.Conn) {
	defer c.all.Done()
	defer conn.Close()
	far, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer far.Close()
	c.mu.Lock()
	c.open = append(c.open, conn, far)
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		io.Copy(far, io.TeeReader(conn, counting(func(p []byte) {
			c.calls.Add(int64(bytes.Count(p, []byte("GET /")))) // a request is written in one go
			c.bytes.Add(int64(len(p)))
		})))
		far.Close()
		close(done)
	}()
	io.Copy(conn, io.TeeReader(far, counting(func(p []byte) { c.bytes.Add(int64(len(p))) })))
	conn.Close()
	<-done
}

type counting func(p []byte)

func (f counting) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

func (c *counter) close() {
	c.ln.Close()
	c.mu.Lock()
	for _, conn := range c.open {
		conn.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

// fetch gives a list as the service tells it.
func fetch(addr, query string) ([]byte, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + addr + "/catalog/members" + query)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	return io.ReadAll(answer.Body)
}

// list measures the list of servers: its size, what taking it costs whole and by one change, what calls cost that bring no news.
func list(b *bench) error {
	for _, n := range b.plan.Servers {
		b.say("lists of %d servers", n)
		err := b.with(n, setup{}, func(s *stage, p *process) error {
			loop := b.measured(spent{loop: plainLoop()}).loop
			whole, err := fetch(s.lists[0].Addr(), "")
			if err != nil {
				return err
			}
			b.add("list.bytes.servers", float64(n), float64(len(whole)), 0)
			same, _, err := b.hangUp(s, p, saysAnew, func(int) setup { return setup{} })
			if err != nil {
				return err
			}
			moved, force, err := b.hangUp(s, p, saysList, func(k int) setup { return setup{list: 1 - k%2} })
			if err != nil {
				return err
			}
			b.add("list.core.servers", float64(n), moved-same, loop)
			b.add("list.force.servers", float64(n), force, 0)
			each, force, size, err := b.changes(s, p)
			if err != nil {
				return err
			}
			b.add("list.core.change", float64(n), each, loop)
			b.add("list.force.change", float64(n), force, 0)
			b.add("list.bytes.change", 0, size, 0)
			_, top, err := memoryOf(p.pid())
			b.add("list.memory.servers", float64(n), top, 0)
			return err
		})
		if err != nil {
			return err
		}
	}
	b.say("calls of the list without news")
	return b.with(slices.Max(b.plan.Servers), setup{counted: true}, func(s *stage, p *process) error {
		calls, size := s.counter.calls.Load(), s.counter.bytes.Load()
		w, err := p.watch(b.ctx, max(b.plan.Window, time.Second))
		b.measured(w)
		b.add("list.calls", 0, float64(s.counter.calls.Load()-calls)/w.seconds, 0)
		b.add("list.bytes.calls", 0, float64(s.counter.bytes.Load()-size)/w.seconds, 0)
		return err
	})
}

// changes has servers drained and brought back, one after another, and gives what one such change takes of the router's processor
// beyond what it takes doing nothing, and until it is in force, and what is written of it in the list.
func (b *bench) changes(s *stage, p *process) (each, force, size float64, err error) {
	idling, err := b.watch(p)
	if err != nil {
		return 0, 0, 0, err
	}
	began, passed := time.Now(), 0.0
	before, err := processorOf(p.pid())
	if err != nil {
		return 0, 0, 0, err
	}
	for n := range 2 * repeats {
		known, told := p.said(saysList), time.Now()
		s.on(func() {
			if one := s.fleet.Servers()[n/2%len(s.fleet.Servers())]; n%2 == 0 {
				one.Drain()
			} else {
				one.Undrain()
			}
		})
		if err = p.until(b.ctx, "a change of the list", func() bool { return p.said(saysList) > known }); err != nil {
			return 0, 0, 0, err
		}
		passed += time.Since(told).Seconds()
	}
	after, err := processorOf(p.pid())
	if err != nil {
		return 0, 0, 0, err
	}
	each = (after - before - idling.rate()/1e6*time.Since(began).Seconds()) * 1e6 / (2 * repeats)
	last, err := fetch(s.lists[0].Addr(), fmt.Sprintf("?from=%d&hold_ms=0", len(s.fleet.Servers())+2*repeats-1))
	return each, passed * 1e3 / (2 * repeats), float64(len(last)), err
}
