package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory-of-held-answers"] = memoryOfHeldAnswers }

const (
	memoryMB        = 72
	pipelineClients = 36
	commandsAtOnce  = 32                      // of each client
	valueBytes      = 64 << 10                // the longest value that the protocol page allows
	hangs           = 2300 * time.Millisecond // how long the server of the first commands hangs
	serverWork      = 30 * time.Millisecond
	serverSlots     = 24 // commands that a server works on at the same time
	memoryLookEvery = 10 * time.Millisecond
	keysOfEach      = 40 // keys of each server that the clients read
	burstWithin     = 50 * time.Millisecond
	answersAreDueBy = 5 * time.Second
)

// anonymousKB returns the private memory of the process in KiB: without the pages of its program file.
func (r *router) anonymousKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, "RssAnon:")
		if found {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return n
		}
	}
	return 0
}

// queuedWork returns the work function of a server with serverSlots places: a command waits until one is free.
func queuedWork() func() time.Duration {
	var mu sync.Mutex
	var free [serverSlots]time.Time
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		first := 0
		for i := range free {
			if free[i].Before(free[first]) {
				first = i
			}
		}
		start := time.Now()
		if free[first].After(start) {
			start = free[first]
		}
		free[first] = start.Add(serverWork)
		return time.Until(free[first])
	}
}

// memoryOfHeldAnswers has clients send many commands at once, the first of which goes to a server that hangs, and ends
// the router as the platform does when it needs more than its memory.
func memoryOfHeldAnswers(p *play) int {
	var hanging atomic.Bool
	var entries []instance
	for i := range 2 {
		name := fmt.Sprint("s-", i)
		value := []byte(name + strings.Repeat(" value", valueBytes)[:valueBytes-len(name)])
		wait := queuedWork()
		s := p.startCacheServer(name, func(c command) ([]byte, time.Duration) {
			if i == 0 && hanging.Load() {
				return value, hangs
			}
			return value, wait()
		})
		entries = append(entries, ready(name, s.address()))
	}
	service := p.startLists(entries...)
	listen := p.freeAddress()
	conf := platformConfig(listen, service.address(), memoryMB, nil, trafficType("view-order", "retryable", 1000, 2500))
	r := p.startRouter("n1", conf, "")
	r.awaitReady(listen)

	// Which keys which server has, as the clients see it: half of them lie at the server that will hang.
	var ids freshIDs
	keysOf := map[string][]string{}
	c := p.dial(listen)
	for n := 0; len(keysOf["s-0"]) < keysOfEach || len(keysOf["s-1"]) < keysOfEach; n++ {
		key := fmt.Sprint("order-", n)
		_, value, err := c.ask(fmt.Sprintf("mg %s v O%s Pc=view-order,d=2000", key, ids.next()))
		p.must(err, "the first reads")
		name, _, _ := strings.Cut(string(value), " ")
		keysOf[name] = append(keysOf[name], key)
		if n > 1000 {
			p.fail("the keys of one server were not found")
		}
	}
	c.conn.Close()
	var all tasks
	p.log("before the burst: %d kB", r.anonymousKB())

	// The platform: over memory_mb the router is killed.
	var highest atomic.Int64
	var killed atomic.Bool
	go func() {
		for r.alive() {
			now := r.anonymousKB()
			if int64(now) > highest.Load() {
				highest.Store(int64(now))
				p.log("memory %d kB", now)
			}
			if now > memoryMB<<10 && !killed.Load() {
				killed.Store(true)
				p.log("KILLED: the router needs %d kB, more than its %d MB", now, memoryMB)
				r.signal(syscall.SIGKILL)
			}
			time.Sleep(memoryLookEvery)
		}
	}()

	hanging.Store(p.trouble)
	var served, refused, failed, lost atomic.Int64
	for i := range pipelineClients {
		all.start(func() {
			conn, err := net.DialTimeout("tcp4", listen, 2*time.Second)
			p.must(err, "connect to the router")
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(answersAreDueBy))
			time.Sleep(time.Duration(i) * burstWithin / pipelineClients)
			text := ""
			for n := range commandsAtOnce {
				key := keysOf["s-1"][(i*commandsAtOnce+n)%keysOfEach]
				if n == 0 {
					key = keysOf["s-0"][i%keysOfEach]
				}
				text += fmt.Sprintf("mg %s v O%s Pc=view-order,d=2000\r\n", key, ids.next())
			}
			fmt.Fprint(conn, text)
			p.log("client %d has sent %d commands at once", i, commandsAtOnce)
			in := bufio.NewReader(conn)
			for n := range commandsAtOnce {
				line, _, err := readAnswer(in)
				switch {
				case err != nil:
					p.log("client %d: no answer to its command %d and those behind it: %v", i, n, err)
					lost.Add(int64(commandsAtOnce - n))
					return
				case strings.HasPrefix(line, "VA "):
					served.Add(1)
				case strings.HasPrefix(line, "SERVER_ERROR busy"):
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	all.wait()
	summary := fmt.Sprintf("highest memory %.1f of %d MB; requests: %d served, %d refused, %d failed, %d lost",
		float64(highest.Load())/1024, memoryMB, served.Load(), refused.Load(), failed.Load(), lost.Load())
	p.log("%s", summary)
	fmt.Println(summary)
	if killed.Load() || lost.Load() > 0 || !r.alive() {
		return ruleBroken
	}
	return ruleHeld
}
