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
	"time"
)

func init() { cases["tiles-second-copy"] = tilesSecondCopy }

const (
	tileWork        = 8 * time.Millisecond // of a tile server for a tile
	secondCopyEvery = 20                   // one answer in so many comes twice
	secondCopyLate  = 4 * time.Millisecond // "some milliseconds late"
	tileClients     = 6
	tileRequests    = 300 // of each client, one after another
	tilePause       = 2 * time.Millisecond
)

// tileServer is a tile server: each tile's content names its path. With doubles, one answer in secondCopyEvery comes a
// second time, where no further request had come on its connection when it was given.
type tileServer struct {
	play     *play
	listener net.Listener
	doubles  bool
	answers  atomic.Int64
	copies   atomic.Int64
}

func (p *play) startTileServer(doubles bool) *tileServer {
	s := &tileServer{play: p, listener: p.listen(), doubles: doubles}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *tileServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		time.Sleep(tileWork)
		body := "tile " + request.URL.RequestURI() + "\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: image/png\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		io.WriteString(conn, answer)
		writing.Unlock()
		s.play.log("tile server %s answered %s", conn.RemoteAddr(), request.URL.RequestURI())
		n := s.answers.Add(1)
		if s.doubles && n%secondCopyEvery == 0 && in.Buffered() == 0 {
			time.AfterFunc(secondCopyLate, func() {
				writing.Lock()
				defer writing.Unlock()
				io.WriteString(conn, answer)
				s.copies.Add(1)
				s.play.log("tile server %s gave its second copy of %s", conn.RemoteAddr(), request.URL.RequestURI())
			})
		}
	}
}

const tileContract = `
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
name = "tile"
effect = "reissuable"
promised_ms = 400
hard_stop_ms = 3000
benefit = 1.0
`

// tilesSecondCopy has clients fetch tiles one after another, while tile servers send some answers twice.
func tilesSecondCopy(p *play) int {
	keys := p.startCacheServer("s-1", func(c command) ([]byte, time.Duration) { return []byte(c.key), 5 * time.Millisecond })
	platformLists := p.startLists(ready("s-1", keys.address()))
	one, two := p.startTileServer(p.trouble), p.startTileServer(p.trouble)
	tileLists := p.startLists(ready("t-1", one.listener.Addr().String()), ready("t-2", two.listener.Addr().String()))
	listen, tilesAt := p.freeAddress(), p.freeAddress()
	conf := platformConfig(listen, platformLists.address(), 192, nil, trafficType("read", "retryable", 150, 750))
	r := p.startRouter("n1", conf, fmt.Sprintf(tileContract, tileLists.address(), tilesAt))
	r.awaitReady(listen)
	for range 100 { // until the tile servers' list is known
		response, err := http.Get("http://" + tilesAt + "/roads/12/0/0.png")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var served, foreign, others atomic.Int64
	var clients tasks
	for client := range tileClients {
		clients.start(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			caller := &http.Client{Transport: transport, Timeout: 4 * time.Second}
			for i := range tileRequests {
				path := fmt.Sprintf("/roads/12/%d/%d.png", client+1, i+1)
				response, err := caller.Get("http://" + tilesAt + path)
				if err != nil {
					others.Add(1)
					p.log("client %d asked for %s and got %v", client, path, err)
					continue
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				got := strings.TrimSpace(string(body))
				p.log("client %d asked for %s and got %d %q %v", client, path, response.StatusCode, got, err)
				switch {
				case err != nil || response.StatusCode != http.StatusOK:
					others.Add(1)
				case got != "tile "+path:
					foreign.Add(1)
					p.log("FOREIGN: client %d asked for %s and was given %q", client, path, got)
				default:
					served.Add(1)
				}
				time.Sleep(tilePause)
			}
		})
	}
	clients.wait()
	copies := one.copies.Load() + two.copies.Load()
	p.log("served %d, foreign %d, refused or failed %d; answers of tile servers %d, second copies %d",
		served.Load(), foreign.Load(), others.Load(), one.answers.Load()+two.answers.Load(), copies)
	fmt.Printf("served %d, foreign %d, refused or failed %d, second copies %d\n",
		served.Load(), foreign.Load(), others.Load(), copies)
	switch {
	case foreign.Load() > 0:
		return ruleBroken
	case served.Load() == 0 || p.trouble && copies == 0:
		return couldNotRun
	}
	return ruleHeld
}
