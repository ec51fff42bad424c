package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["once-under-a-hold-up"] = onceUnderAHoldUp }

const (
	onceServers     = 4
	onceWork        = 30 * time.Millisecond
	onceRefuseEvery = 8                    // a server turns one command in so many away
	onceCopyEvery   = 2                    // and says one in so many of these twice
	onceCopyLate    = 8 * time.Millisecond // the second copy comes "some milliseconds late"
	onceClients     = 24
	oncePause       = 2 * time.Millisecond // of a client between an answer and its next request
	oncePlays       = 60 * time.Second
	heldUpFor       = 120 * time.Millisecond
	heldUpAtMost    = 150 * time.Millisecond // the pages allow no more
	heldUpEvery     = 850 * time.Millisecond
)

// begins records the executions of each request.
type begins struct {
	play  *play
	mu    sync.Mutex
	at    map[string][]string // names of the servers that began it, by the request's id
	twice int                 // requests that were begun more than once
}

func (b *begins) begin(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at[id] = append(b.at[id], server)
	if len(b.at[id]) == 2 {
		b.twice++
		b.play.log("TWICE: request %s, which must never run twice, is begun at %v", id, b.at[id])
	}
}

func (b *begins) times(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.at[id])
}

// onceServer is a cache server that turns some commands away, because its queue is full. With copies, it says so a
// second time, where nothing else waits on the connection.
func (p *play) onceServer(name string, copies bool, all *begins, refusals, second *atomic.Int64) string {
	listener := p.listen()
	var commands atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		var writing sync.Mutex
		write := func(text string) {
			writing.Lock()
			defer writing.Unlock()
			fmt.Fprint(conn, text)
		}
		for {
			c, err := readCommand(in)
			if err != nil {
				return
			}
			if c.verb != "ms" {
				write("CLIENT_ERROR bad command\r\n")
				continue
			}
			if commands.Add(1)%onceRefuseEvery == 0 {
				write("SERVER_ERROR busy\r\n")
				n := refusals.Add(1)
				if copies && n%onceCopyEvery == 0 && in.Buffered() == 0 {
					time.AfterFunc(onceCopyLate, func() {
						write("SERVER_ERROR busy\r\n")
						second.Add(1)
					})
				}
				continue
			}
			all.begin(c.id, name)
			time.Sleep(onceWork)
			write(fmt.Sprintf("HD O%s cr-%s\r\n", c.id, c.id))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// onceUnderAHoldUp has clients write what must never run twice, while cache servers say refusals twice and the router is
// held up now and then.
func onceUnderAHoldUp(p *play) int {
	all := &begins{play: p, at: map[string][]string{}}
	var entries []instance
	var refusals, second atomic.Int64
	for i := range onceServers {
		name := fmt.Sprint("s-", i)
		entries = append(entries, ready(name, p.onceServer(name, p.trouble, all, &refusals, &second)))
	}
	service := p.startLists(entries...)
	listen := p.freeAddress()
	conf := platformConfig(listen, service.address(), 192, nil, trafficType("accept-delivery", "fragile", 1500, 4000))
	conf["settings"].(map[string]any)["limits"].(map[string]any)["mostExecutions"] = 3
	r := p.startRouter("n1", conf, "")
	r.awaitReady(listen)
	over := make(chan struct{})
	time.AfterFunc(oncePlays, func() { close(over) })
	var clients tasks
	holdUps, longest := 0, time.Duration(0)
	if p.trouble && os.Getenv("HOLD_UPS") != "0" { // HOLD_UPS=0: only the second copies
		clients.start(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(heldUpEvery):
				}
				holdUps++
				began := time.Now()
				r.signal(syscall.SIGSTOP)
				time.Sleep(heldUpFor)
				r.signal(syscall.SIGCONT)
				longest = max(longest, time.Since(began))
			}
		})
	}
	var ids freshIDs
	var served, refused, failed, refusedRun atomic.Int64
	for i := range onceClients {
		clients.start(func() {
			c := p.dial(listen)
			c.conn.SetDeadline(time.Now().Add(oncePlays + 10*time.Second))
			defer c.conn.Close()
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(oncePause):
				}
				id := ids.next()
				line, _, err := c.ask(fmt.Sprintf("ms order-%d-%d 5 O%s Pc=accept-delivery,d=3000\r\nhello", i, n%40, id))
				p.must(err, "a client's connection")
				switch {
				case strings.HasPrefix(line, "HD O"+id+" "):
					served.Add(1)
				case strings.HasPrefix(line, "SERVER_ERROR busy"):
					refused.Add(1)
					if all.times(id) > 0 {
						refusedRun.Add(1)
						p.log("REFUSED: the client of %s is told that trying again is harmless, and it was begun", id)
					}
				default:
					failed.Add(1)
				}
			}
		})
	}
	clients.wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	summary := fmt.Sprintf("requests: %d served, %d refused, %d failed; servers turned %d away and said %d of these twice; hold-ups %d, the longest %v; run twice: %d; refused though run: %d",
		served.Load(), refused.Load(), failed.Load(), refusals.Load(), second.Load(), holdUps, longest.Round(time.Millisecond), all.twice, refusedRun.Load())
	p.log("%s", summary)
	fmt.Println(summary)
	switch {
	case longest > heldUpAtMost: // the machine was too busy
		return couldNotRun
	case all.twice > 0 || refusedRun.Load() > 0:
		return ruleBroken
	case served.Load() == 0 || p.trouble && second.Load() == 0:
		return couldNotRun
	}
	return ruleHeld
}
