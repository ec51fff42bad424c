package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["answers-behind-a-slow-value"] = answersBehindASlowValue }

const (
	behindServers   = 5 // one of them dies: 20 %
	slowValueBytes  = 400_000
	slowPieces      = 20 // of the value, one each slowPieceEvery: 1.9 s in all
	slowPieceEvery  = 100 * time.Millisecond
	diesAfter       = 1500 * time.Millisecond // after the value's first bytes
	viewDeadline    = 2000                    // milliseconds: a try has 80 % of the hard stop
	writeDeadline   = 3200
	behindAnswerDue = 6 * time.Second
)

// mortalServer is a cache server that can die: it resets its connections and takes no new ones.
type mortalServer struct {
	play     *play
	name     string
	listener net.Listener
	slow     func(s *mortalServer, id string) // called with the first bytes of a long value

	mu       sync.Mutex
	dead     bool
	conns    []net.Conn
	answered map[string]time.Time // by id: when it had answered it whole
}

func (s *mortalServer) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.play.log("%s dies", s.name)
	s.dead = true
	s.listener.Close()
	for _, conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (s *mortalServer) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		c, err := readCommand(in)
		if err != nil {
			conn.Close()
			return
		}
		time.Sleep(30 * time.Millisecond)
		answer := fmt.Sprintf("VA %d O%s\r\nvalue\r\n", len("value"), c.id)
		switch {
		case c.verb == "ms":
			answer = fmt.Sprintf("HD O%s cr-%s\r\n", c.id, c.id)
		case strings.HasPrefix(c.key, "long-"):
			s.play.log("%s begins the long value of %s", s.name, c.id)
			if s.slow != nil {
				s.slow(s, c.id)
			}
			head := fmt.Sprintf("VA %d O%s\r\n", slowValueBytes, c.id)
			for i := range slowPieces {
				piece := strings.Repeat("x", slowValueBytes/slowPieces)
				if i == 0 {
					piece = head + piece
				} else {
					time.Sleep(slowPieceEvery)
				}
				if _, err := conn.Write([]byte(piece)); err != nil {
					return
				}
			}
			answer = "\r\n"
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		s.mu.Lock()
		s.answered[c.id] = time.Now()
		s.mu.Unlock()
		s.play.log("%s has answered %s %s", s.name, c.verb, c.id)
	}
}

func (p *play) startMortalServer(name string, slow func(*mortalServer, string)) *mortalServer {
	s := &mortalServer{play: p, name: name, listener: p.listen(), slow: slow, answered: map[string]time.Time{}}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// answersBehindASlowValue has a client send commands behind a read of a long value, whose server dies within it.
func answersBehindASlowValue(p *play) int {
	slow := func(s *mortalServer, _ string) { time.AfterFunc(diesAfter, s.die) }
	if !p.trouble {
		slow = nil
	}
	var servers []*mortalServer
	var entries []instance
	for i := range behindServers {
		s := p.startMortalServer(fmt.Sprint("s-", i), slow)
		servers = append(servers, s)
		entries = append(entries, ready(s.name, s.listener.Addr().String()))
	}
	answeredAt := func(id string) (string, time.Time) {
		for _, s := range servers {
			s.mu.Lock()
			at, answered := s.answered[id]
			s.mu.Unlock()
			if answered {
				return s.name, at
			}
		}
		return "", time.Time{}
	}
	service := p.startLists(entries...)
	listen := p.freeAddress()
	conf := platformConfig(listen, service.address(), 192, nil,
		trafficType("view-order", "retryable", 1000, 2500), trafficType("accept-delivery", "fragile", 1500, 4000))
	r := p.startRouter("n1", conf, "")
	r.awaitReady(listen)
	var ids freshIDs
	warm := p.dial(listen)
	for i := range 40 {
		warm.ask(fmt.Sprintf("mg order-%d v O%s Pc=view-order,d=%d", i, ids.next(), viewDeadline))
		warm.ask(fmt.Sprintf("ms order-%d 2 O%s Pc=accept-delivery,d=%d\r\nok", i, ids.next(), writeDeadline))
	}
	warm.conn.Close()

	c := p.dial(listen)
	defer c.conn.Close()
	c.conn.SetDeadline(time.Now().Add(behindAnswerDue))
	long, view, first, second := ids.next(), ids.next(), ids.next(), ids.next()
	text := fmt.Sprintf("mg long-1 v O%s Pc=view-order,d=%d\r\n", long, viewDeadline) +
		fmt.Sprintf("mg order-1 v O%s Pc=view-order,d=%d\r\n", view, viewDeadline) +
		fmt.Sprintf("ms order-2 2 O%s Pc=accept-delivery,d=%d\r\nok\r\n", first, writeDeadline) +
		fmt.Sprintf("ms order-3 2 O%s Pc=accept-delivery,d=%d\r\nok\r\n", second, writeDeadline)
	fmt.Fprint(c.conn, text)
	p.log("the client sends at once: a read of a long value %s, a read %s, writes %s and %s", long, view, first, second)
	served, ended, lost := 0, 0, 0
	var failure error
	for i, id := range []string{long, view, first, second} {
		if failure == nil {
			var line string
			var value []byte
			line, value, failure = readAnswer(c.in)
			p.log("the client of %s got %q and %d bytes: %v", id, line, len(value), failure)
			if failure == nil {
				ended++
				if strings.HasPrefix(line, "VA ") || strings.HasPrefix(line, "HD ") {
					served++
				}
				continue
			}
		}
		if i == 0 {
			continue // the value itself: begun, and the client can tell that it is not whole
		}
		lost++
		name, at := answeredAt(id)
		p.log("LOST: %s has no answer: %v; %q had answered it, %v ago", id, failure, name, time.Since(at).Round(time.Millisecond))
	}
	summary := fmt.Sprintf("of four requests: %d served, %d answered, %d behind the long value lost", served, ended, lost)
	p.log("%s", summary)
	fmt.Println(summary)
	switch {
	case lost > 0:
		return ruleBroken
	case ended == 0:
		return couldNotRun
	}
	return ruleHeld
}
