package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["long-value-in-pieces"] = longValueInPieces }

const (
	longValueBytes = 200_000 // over 64 KiB, far under 4 MiB
	firstPiece     = 20      // bytes: a part of the line before the value
	nextPiece      = 20_000
	betweenPieces  = 100 * time.Millisecond // so a server takes 1.1 s to write a value
	longRequests   = 20
	longDeadline   = 720 // milliseconds: a try has 60 % of the hard stop
)

// cutOffs records the requests whose answer a server was giving when the router cut it off.
type cutOffs struct {
	mu  sync.Mutex
	ids map[string]time.Duration // by id: for how long the server had been giving the answer
}

// writingServer is a cache server that writes its answers in pieces.
func (p *play) writingServer(name string, slowly bool, cut *cutOffs) string {
	listener := p.listen()
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			c, err := readCommand(in)
			if err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			answer := fmt.Sprintf("VA %d O%s\r\n%s\r\n", longValueBytes, c.id, strings.Repeat("x", longValueBytes))
			size := len(answer)
			if slowly {
				size = firstPiece
			}
			began := time.Now()
			p.log("%s begins the answer to %s", name, c.id)
			for len(answer) > 0 {
				n := min(size, len(answer))
				_, err := conn.Write([]byte(answer[:n]))
				answer = answer[n:]
				if err == nil && len(answer) > 0 {
					err = awaitEnd(conn, in, betweenPieces)
				}
				if err != nil {
					p.log("%s: the router ended the connection within the answer to %s, after %v, with %d bytes to go: %v",
						name, c.id, time.Since(began), len(answer), err)
					cut.mu.Lock()
					cut.ids[c.id] = time.Since(began)
					cut.mu.Unlock()
					return
				}
				size = nextPiece
			}
			p.log("%s has given the answer to %s", name, c.id)
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

// awaitEnd waits, and returns an error as soon as the other side has ended the connection.
func awaitEnd(conn net.Conn, in *bufio.Reader, wait time.Duration) error {
	until := time.Now().Add(wait)
	conn.SetReadDeadline(until)
	defer conn.SetReadDeadline(time.Time{})
	_, err := in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	time.Sleep(time.Until(until))
	return err
}

// longValueInPieces has clients read long values from cache servers that take a second to write them.
func longValueInPieces(p *play) int {
	cut := &cutOffs{ids: map[string]time.Duration{}}
	var entries []instance
	for i := range 3 {
		name := fmt.Sprint("s-", i)
		entries = append(entries, ready(name, p.writingServer(name, p.trouble, cut)))
	}
	service := p.startLists(entries...)
	listen := p.freeAddress()
	conf := platformConfig(listen, service.address(), 192, nil, trafficType("roster-sync", "retryable", 600, 1200))
	r := p.startRouter("n1", conf, "")
	r.awaitReady(listen)
	var ids freshIDs
	served, lost, other := 0, 0, 0
	for i := range longRequests {
		c := p.dial(listen)
		id := ids.next()
		asked := time.Now()
		line, value, err := c.ask(fmt.Sprintf("mg roster-%d v O%s Pc=roster-sync,d=%d", i, id, longDeadline))
		took := time.Since(asked)
		c.conn.Close()
		p.log("the client of %s got %q and %d bytes after %v: %v", id, line, len(value), took, err)
		time.Sleep(betweenPieces + 50*time.Millisecond) // by then the server has noticed
		cut.mu.Lock()
		_, wasCut := cut.ids[id]
		cut.mu.Unlock()
		switch {
		case err == nil && len(value) == longValueBytes:
			served++
		case wasCut && took < longDeadline*time.Millisecond:
			lost++
			p.log("LOST: %s was cut off while its server gave the value, with %v of its time left", id, longDeadline*time.Millisecond-took)
		default:
			other++
		}
	}
	summary := fmt.Sprintf("requests: %d served, %d cut off while their servers gave the value, %d others", served, lost, other)
	p.log("%s", summary)
	fmt.Println(summary)
	switch {
	case lost > 0:
		return ruleBroken
	case served == 0:
		return couldNotRun
	}
	return ruleHeld
}
