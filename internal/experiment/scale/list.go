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

// countingProxy is a TCP proxy between a router and its list service. It counts the calls and bytes that it forwards.
type countingProxy struct {
	ln           net.Listener
	target       string
	calls, bytes atomic.Int64
	mu           sync.Mutex
	connections  []net.Conn
	goroutines   sync.WaitGroup
}

func newCountingProxy(addr, to string) (*countingProxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &countingProxy{ln: ln, target: to}
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.goroutines.Add(1)
			go c.forward(conn)
		}
	}()
	return c, nil
}

func (c *countingProxy) forward(conn net.Conn) {
	defer c.goroutines.Done()
	defer conn.Close()
	upstream, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	c.mu.Lock()
	c.connections = append(c.connections, conn, upstream)
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		io.Copy(upstream, io.TeeReader(conn, writerFunc(func(p []byte) {
			c.calls.Add(int64(bytes.Count(p, []byte("GET /")))) // the router writes a call in one piece
			c.bytes.Add(int64(len(p)))
		})))
		upstream.Close()
		close(done)
	}()
	io.Copy(conn, io.TeeReader(upstream, writerFunc(func(p []byte) { c.bytes.Add(int64(len(p))) })))
	conn.Close()
	<-done
}

type writerFunc func(p []byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

func (c *countingProxy) close() {
	c.ln.Close()
	c.mu.Lock()
	for _, conn := range c.connections {
		conn.Close()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// fetchList returns the list service's response body.
func fetchList(addr, query string) ([]byte, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + addr + "/catalog/members" + query)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// measureLists measures the endpoint list: its size, the cost of applying a full list and a change of one server, and
// the calls to the list service while nothing changes.
func measureLists(b *bench) error {
	for _, n := range b.plan.Servers {
		b.progressf("list of %d servers", n)
		err := b.withRouter(n, routerSetup{}, func(t *testbed, p *process) error {
			loop := b.recordLoop(usage{loop: plainLoop()}).loop
			fullList, err := fetchList(t.listServices[0].Addr(), "")
			if err != nil {
				return err
			}
			b.add("list.bytes.servers", float64(n), float64(len(fullList)), 0)
			reloadMicros, _, err := b.measureReload(t, p, logReloaded, func(int) routerSetup { return routerSetup{} })
			if err != nil {
				return err
			}
			moveMicros, delayMillis, err := b.measureReload(t, p, logListInForce,
				func(k int) routerSetup { return routerSetup{listService: 1 - k%2} })
			if err != nil {
				return err
			}
			b.add("list.core.servers", float64(n), moveMicros-reloadMicros, loop)
			b.add("list.force.servers", float64(n), delayMillis, 0)
			changeMicros, delayMillis, size, err := b.measureListChanges(t, p)
			if err != nil {
				return err
			}
			b.add("list.core.change", float64(n), changeMicros, loop)
			b.add("list.force.change", float64(n), delayMillis, 0)
			b.add("list.bytes.change", 0, size, 0)
			_, peak, err := residentKiB(p.pid())
			b.add("list.memory.servers", float64(n), peak, 0)
			return err
		})
		if err != nil {
			return err
		}
	}
	b.progressf("calls to the list service without changes")
	return b.withRouter(slices.Max(b.plan.Servers), routerSetup{countListCalls: true},
		func(t *testbed, p *process) error {
			calls, size := t.listProxy.calls.Load(), t.listProxy.bytes.Load()
			used, err := p.measureWindow(b.ctx, max(b.plan.Window, time.Second))
			b.recordLoop(used)
			b.add("list.calls", 0, float64(t.listProxy.calls.Load()-calls)/used.seconds, 0)
			b.add("list.bytes.calls", 0, float64(t.listProxy.bytes.Load()-size)/used.seconds, 0)
			return err
		})
}

// measureListChanges drains servers and brings them back, one after another. For one such change it returns the
// router's CPU microseconds beyond what it uses when idle, the milliseconds until it is in force, and the bytes of the
// list service's response.
func (b *bench) measureListChanges(t *testbed, p *process) (cpuMicros, delay, size float64, err error) {
	idleUsage, err := b.measureWindow(p)
	if err != nil {
		return 0, 0, 0, err
	}
	began, elapsed := time.Now(), 0.0
	before, err := cpuSeconds(p.pid())
	if err != nil {
		return 0, 0, 0, err
	}
	for n := range 2 * repetitions {
		seen, changedAt := p.countLogLines(logListInForce), time.Now()
		t.onLoop(func() {
			if server := t.fleet.Servers()[n/2%len(t.fleet.Servers())]; n%2 == 0 {
				server.Drain()
			} else {
				server.Undrain()
			}
		})
		if err = p.waitFor(b.ctx, "waiting for a change of the list",
			func() bool { return p.countLogLines(logListInForce) > seen }); err != nil {
			return 0, 0, 0, err
		}
		elapsed += time.Since(changedAt).Seconds()
	}
	after, err := cpuSeconds(p.pid())
	if err != nil {
		return 0, 0, 0, err
	}
	cpuMicros = (after - before - idleUsage.cpuRate()/1e6*time.Since(began).Seconds()) * 1e6 / (2 * repetitions)
	last, err := fetchList(t.listServices[0].Addr(), fmt.Sprintf("?from=%d&hold_ms=0",
		len(t.fleet.Servers())+2*repetitions-1))
	return cpuMicros, elapsed * 1e3 / (2 * repetitions), float64(len(last)), err
}
