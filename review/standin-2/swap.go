package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["contract-changes"] = contractChanges }

// Two teams exchange their addresses: what was the tiles' address serves keys, and the other way round.
const exchangedContracts = `
[[pool]]
name = "maps"
protocol = "tiles"
scheme = "xyz"
discovery = "%s"
connections = 0.4
probe = "/"

[[team]]
name = "vets"
pool = "maps"
listen = "%s"
budget = 50.0

[team.tiles]
title = "Clinics and roads"
wait_header = "X-Wait-Ms"

[[team.tiles.layer]]
name = "roads"
title = "Roads"
formats = ["png"]
max_zoom = 18

[[team.type]]
name = "view"
effect = "reissuable"
promised_ms = 400
hard_stop_ms = 2000
benefit = 1.0

[[team]]
name = "stock"
listen = "%s"
budget = 50.0

[[team.type]]
name = "view"
effect = "reissuable"
promised_ms = 400
hard_stop_ms = 2000
benefit = 1.0
`

const (
	changeAfter    = 2 * time.Second
	exchangePlays  = 6 * time.Second
	betweenQueries = 50 * time.Millisecond
)

// strictTileServer is a tile server: a request that HTTP forbids is answered 400, an address that no tile has 404.
func (p *play) strictTileServer(asked *sync.Map, unsent *atomic.Int64) string {
	listener := p.listen()
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			first, err := in.ReadString('\n')
			if err != nil {
				return
			}
			status := 200
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				line = strings.TrimRight(line, "\r\n")
				if line == "" {
					break
				}
				name, _, found := strings.Cut(line, ":")
				if !found || strings.ContainsAny(name, " \t") {
					status = 400
				}
			}
			words := strings.Fields(first)
			if len(words) != 3 {
				return
			}
			_, wanted := asked.Load(words[1])
			if !wanted && words[1] != "/" {
				unsent.Add(1)
				p.log("UNSENT: the tile server was asked for %s, for which no client has asked", words[1])
			}
			if status == 200 && !strings.HasPrefix(words[1], "/roads/") {
				status = 404
			}
			body := "tile " + words[1] + "\n"
			if status != 200 {
				body = http.StatusText(status) + "\n"
			}
			time.Sleep(tileWork)
			fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: image/png\r\nContent-Length: %d\r\n\r\n%s",
				status, http.StatusText(status), len(body), body)
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

// contractChanges has the operators change contracts while clients of both teams use the connections that they have.
func contractChanges(p *play) int {
	var unsent, foreign, servedTiles, servedKeys, others atomic.Int64
	var asked sync.Map // tiles and keys that clients have asked for
	keys := p.startCacheServer("s-1", func(c command) ([]byte, time.Duration) {
		_, wanted := asked.Load(c.key)
		if !wanted {
			unsent.Add(1)
			p.log("UNSENT: the cache server got %q, for a key that no client has asked for", c.line)
		}
		return []byte("value of " + c.key + " for " + c.id), 5 * time.Millisecond
	})
	keys.badForm = func(c command) {
		unsent.Add(1)
		p.log("UNSENT: the cache server got the line %q, which no client has sent", c.line)
	}
	tileServer := p.strictTileServer(&asked, &unsent)
	platformLists := p.startLists(ready("s-1", keys.address()))
	tileLists := p.startLists(ready("t-1", tileServer))
	listen, tilesAt, keysAt := p.freeAddress(), p.freeAddress(), p.freeAddress()
	conf := platformConfig(listen, platformLists.address(), 192, nil, trafficType("slot-view", "retryable", 150, 750))
	r := p.startRouter("n1", conf, fmt.Sprintf(exchangedContracts, tileLists.address(), tilesAt, keysAt))
	r.awaitReady(listen)
	time.Sleep(500 * time.Millisecond)

	over := make(chan struct{})
	time.AfterFunc(exchangePlays, func() { close(over) })
	if p.trouble {
		time.AfterFunc(changeAfter, func() {
			p.write("n1.toml", fmt.Sprintf(exchangedContracts, tileLists.address(), keysAt, tilesAt))
			r.signal(syscall.SIGHUP)
		})
	}
	var clients tasks
	clients.start(func() { // fetches tiles on one connection, as long as the router keeps it open
		caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 4 * time.Second}
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			case <-time.After(betweenQueries):
			}
			path := fmt.Sprintf("/roads/12/1/%d.png", i)
			asked.Store(path, true)
			request, _ := http.NewRequest(http.MethodGet, "http://"+tilesAt+path, nil)
			request.Header.Set("Accept", "image/png")
			response, err := caller.Do(request)
			if err != nil { // the connection has ended, and the address serves keys now
				others.Add(1)
				p.log("the client of tile %s: %v", path, err)
				continue
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			p.log("the client of tile %s got %d %q", path, response.StatusCode, body)
			switch {
			case err != nil || response.StatusCode != http.StatusOK:
				others.Add(1)
			case string(body) == "tile "+path+"\n":
				servedTiles.Add(1)
			default:
				foreign.Add(1)
				p.log("FOREIGN: the client of tile %s was given %q", path, body)
			}
		}
	})
	clients.start(func() { // reads keys on one connection, as long as the router keeps it open
		var ids freshIDs
		c := p.dial(keysAt)
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			case <-time.After(betweenQueries):
			}
			key, id := fmt.Sprint("clinic-", i), ids.next()
			asked.Store(key, true)
			line, value, err := c.ask("mg " + key + " v O" + id + " Pc=view,d=1000")
			p.log("the client of key %s got %q %q %v", key, line, value, err)
			switch {
			case err != nil:
				others.Add(1)
				c.conn.Close()
				conn, err := net.Dial("tcp4", keysAt)
				if err != nil {
					return
				}
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				c = &client{conn, bufio.NewReader(conn)}
			case !strings.HasPrefix(line, "VA "):
				others.Add(1)
			case string(value) == "value of "+key+" for "+id:
				servedKeys.Add(1)
			default:
				foreign.Add(1)
				p.log("FOREIGN: the client of key %s was given %q", key, value)
			}
		}
	})
	clients.wait()
	summary := fmt.Sprintf("served %d tiles and %d keys, refused or failed %d; given what was made for nobody or another %d; requests at servers that no client had sent %d",
		servedTiles.Load(), servedKeys.Load(), others.Load(), foreign.Load(), unsent.Load())
	p.log("%s", summary)
	fmt.Println(summary)
	switch {
	case foreign.Load() > 0 || unsent.Load() > 0:
		return ruleBroken
	case servedTiles.Load() == 0 || servedKeys.Load() == 0:
		return couldNotRun
	}
	return ruleHeld
}
