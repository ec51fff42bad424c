package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refusal-said-twice"] = refusalSaidTwice }

const (
	twiceServers  = 4
	twiceWork     = 30 * time.Millisecond
	refuseEvery   = 12                   // a server turns one command in so many away
	copyEvery     = 2                    // and says one in so many of these twice
	copyLate      = 4 * time.Millisecond // the second copy comes "some milliseconds late"
	twiceClients  = 12
	twiceRequests = 300 // of each client, one after another
	twicePause    = 5 * time.Millisecond
)

// executions records which server has an execution of a request out on an open connection.
type executions struct {
	play *play
	mu   sync.Mutex
	out  map[string][]string // names of the servers, by the request's id
	two  int                 // requests of which two were out at the same time
}

func (e *executions) begin(id, server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.out[id]) > 0 {
		e.two++
		e.play.log("TWO: request %s begins at %s while it is out at %v", id, server, e.out[id])
	}
	e.out[id] = append(e.out[id], server)
}

func (e *executions) end(id, server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, name := range e.out[id] {
		if name == server {
			e.out[id] = append(e.out[id][:i:i], e.out[id][i+1:]...)
			return
		}
	}
}

// refusingServer is a cache server that turns some commands away, because its queue is full. With copies, it says so a
// second time, where nothing else waits on the connection.
func (p *play) refusingServer(name string, copies bool, all *executions) (address string, refusals, second *atomic.Int64) {
	listener := p.listen()
	refusals, second = new(atomic.Int64), new(atomic.Int64)
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
			if c.verb != "mg" {
				write("CLIENT_ERROR bad command\r\n")
				continue
			}
			if commands.Add(1)%refuseEvery == 0 {
				write("SERVER_ERROR busy\r\n")
				n := refusals.Add(1)
				p.log("%s turned %s away", name, c.id)
				if copies && n%copyEvery == 0 && in.Buffered() == 0 {
					time.AfterFunc(copyLate, func() {
						write("SERVER_ERROR busy\r\n")
						second.Add(1)
						p.log("%s gave the second copy of its answer to %s", name, c.id)
					})
				}
				continue
			}
			all.begin(c.id, name)
			p.log("%s begins %s", name, c.id)
			// It works. Where the router closes the connection or ends its sending, the execution is given up.
			conn.SetReadDeadline(time.Now().Add(twiceWork))
			_, err = in.Peek(1)
			conn.SetReadDeadline(time.Time{})
			all.end(c.id, name)
			timedOut, _ := err.(net.Error)
			if err != nil && (timedOut == nil || !timedOut.Timeout()) {
				p.log("%s: %s is given up", name, c.id)
				return
			}
			value := "value of " + c.key + " for " + c.id
			write(fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), c.id, value))
			p.log("%s answered %s", name, c.id)
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
	return listener.Addr().String(), refusals, second
}

// refusalSaidTwice has cache servers say some refusals twice, in a deployment that allows no second copies.
func refusalSaidTwice(p *play) int {
	all := &executions{play: p, out: map[string][]string{}}
	var entries []instance
	var refusals, second []*atomic.Int64
	for i := range twiceServers {
		name := fmt.Sprint("s-", i)
		address, r, s := p.refusingServer(name, p.trouble, all)
		refusals, second = append(refusals, r), append(second, s)
		entries = append(entries, ready(name, address))
	}
	service := p.startLists(entries...)
	listen := p.freeAddress()
	conf := platformConfig(listen, service.address(), 192, nil, trafficType("call-script", "retryable", 1000, 2000))
	limits := conf["settings"].(map[string]any)["limits"].(map[string]any)
	limits["secondCopies"], limits["mostExecutions"] = false, 4
	r := p.startRouter("n1", conf, "")
	r.awaitReady(listen)
	var ids freshIDs
	var served, foreign, others atomic.Int64
	var clients tasks
	for i := range twiceClients {
		clients.start(func() {
			c := p.dial(listen)
			defer c.conn.Close()
			for n := range twiceRequests {
				id := ids.next()
				line, value, err := c.ask(fmt.Sprintf("mg key-%d-%d v O%s Pc=call-script,d=1000", i, n%40, id))
				switch {
				case err != nil:
					p.must(err, "a client's connection")
				case strings.HasPrefix(line, "VA ") && strings.HasSuffix(string(value), " for "+id):
					served.Add(1)
				case strings.HasPrefix(line, "VA "):
					foreign.Add(1)
				default:
					others.Add(1)
				}
				time.Sleep(twicePause)
			}
		})
	}
	clients.wait()
	turnedAway, copies := int64(0), int64(0)
	for i := range refusals {
		turnedAway += refusals[i].Load()
		copies += second[i].Load()
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	summary := fmt.Sprintf("requests: %d served, %d foreign, %d refused or failed; servers turned %d away, %d of these said twice; requests with two executions at once: %d",
		served.Load(), foreign.Load(), others.Load(), turnedAway, copies, all.two)
	p.log("%s", summary)
	fmt.Println(summary)
	switch {
	case all.two > 0 || foreign.Load() > 0:
		return ruleBroken
	case served.Load() == 0 || p.trouble && copies == 0:
		return couldNotRun
	}
	return ruleHeld
}
