package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// tilePoolFile has places for the pool's list service, the team's listener and more of its first layer.
const tilePoolFile = `
[[pool]]
name = "maps"
protocol = "tiles"
scheme = "wmts-rest"
discovery = "%s"
connections = 0.5
largest_kb = 64
[[team]]
name = "vets"
pool = "maps"
listen = "%s"
budget = 100.0
[team.tiles]
title = "Clinics"
wait_header = "X-Wait-Ms"
[[team.tiles.layer]]
name = "roads"
title = "Roads"
max_zoom = 6
%s
[[team.type]]
name = "tile"
effect = "reissuable"
promised_ms = 500
hard_stop_ms = 1900
benefit = 1
`

// startTileServer starts one tile server of the standard library's and the list service that names it t-1.
func startTileServer(t *testing.T, serve http.HandlerFunc) (discovery string) {
	server := httptest.NewServer(serve)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a poll for changes goes on, without any
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[
			{"instanceId":"t-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`, server.Listener.Addr())
	}))
	t.Cleanup(func() {
		list.CloseClientConnections()
		list.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return list.Listener.Addr().String()
}

// addTilePool has a service take an operators' file, and waits until its tile pool answers at an address.
func addTilePool(t *testing.T, s *Service, addr, text string) {
	t.Helper()
	operators := parseOperators(t, text)
	s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: operators}) })
	waitFor(t, "the pool", 300, func() bool {
		return sendCommand(addr, "GET /roads/0/0/0.png HTTP/1.1\r\nHost: a\r\n") == "HTTP/1.1 200 OK"
	})
}

// tileReply is what a client of a tile service has read.
type tileReply struct {
	status int // 0: none came, and body is the error
	body   string
	header http.Header
}

// getTile asks the tile service at an address for a target, with headers as pairs of name and value.
func getTile(addr, target string, headers ...string) tileReply {
	request, _ := http.NewRequest("GET", "http://"+addr+target, nil)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return tileReply{body: err.Error()}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return tileReply{response.StatusCode, string(body), response.Header}
}

// The same tile by each of the three schemes; byPairs is the one by keys and values.
const (
	byTemplate = "/roads/3/2/5.png"
	byPairs    = "/wmts?service=WMTS&request=GetTile&version=1.0.0&layer=roads&style=&format=image/png" +
		"&tilematrixset=GoogleMapsCompatible&tilematrix=3&tilerow=5&tilecol=2"
	byPath = "/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png"
)

// serveTestTiles serves tiles as the tests of all requests need them: an error in column 1 of zoom 6, a body beyond
// all bounds in column 2, else a tile with a tag that names its path.
func serveTestTiles(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.Contains(r.URL.Path, "/6/1/"):
		w.WriteHeader(500)
	case strings.Contains(r.URL.Path, "/6/2/"):
		w.Header().Set("Content-Length", "200000000")
		w.WriteHeader(200)
	case r.Header.Get("If-None-Match") == `"tag"`:
		w.WriteHeader(304)
	default:
		w.Header().Set("ETag", `"tag"`)
		w.Header().Set("Content-Type", "image/png")
		fmt.Fprintf(w, "tile %s for %s", r.URL.Path, r.Header.Get("X-Request-Id"))
	}
}

// A tile is served by every scheme as the tile server made it; every address of the capabilities works; what is
// faulty is told as the standard has it, and reaches no server.
func TestTiles(t *testing.T) {
	forwarded := make(chan string, 10000)
	list := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		forwarded <- r.URL.Path
		serveTestTiles(w, r)
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	addr := freeAddress(t)
	addTilePool(t, s, addr, fmt.Sprintf(tilePoolFile, list, addr, ""))
	expectTilesByEveryScheme(t, addr)
	for len(forwarded) > 0 {
		<-forwarded
	}
	expectFaultyTargetsRefused(t, addr)
	if len(forwarded) > 0 {
		t.Errorf("%d faulty addresses reached a server", len(forwarded))
	}
	for name, target := range map[string]string{
		"an error":                             "/roads/6/3/1.png",
		"a body that is refused at its header": "/roads/6/3/2.png",
	} {
		began := time.Now()
		reply := getTile(addr, target)
		if reply.status != 503 || reply.header.Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("%s: answered %d %v after %v", name, reply.status, reply.header, time.Since(began))
		}
	}
	expectCapabilitiesLeadToTiles(t, addr)
	if reply := getTile(addr, "/health"); reply.status != 200 || reply.body != "serving\n" {
		t.Errorf("its health check answers %d %s", reply.status, reply.body)
	}
}

func expectTilesByEveryScheme(t *testing.T, addr string) {
	t.Helper()
	for _, target := range []string{byTemplate, byPairs, byPath} {
		reply := getTile(addr, target, "X-Request-Id", "me")
		sameBody := reply.body == "tile "+byPath+" for me"
		sameHeader := reply.header.Get("ETag") == `"tag"` && reply.header.Get("Content-Type") == "image/png"
		if reply.status != 200 || !sameBody || !sameHeader {
			t.Errorf("%s is answered %d %q %v", target, reply.status, reply.body, reply.header)
		}
	}
	if reply := getTile(addr, byTemplate, "If-None-Match", `"tag"`); reply.status != 304 || reply.body != "" {
		t.Errorf("with a cached copy it is answered %d %q", reply.status, reply.body)
	}
	head, err := http.Head("http://" + addr + byTemplate)
	if err != nil || head.StatusCode != 200 || head.ContentLength < 40 {
		t.Errorf("HEAD is answered %+v, %v", head, err)
	}
}

func expectFaultyTargetsRefused(t *testing.T, addr string) {
	t.Helper()
	exception := regexp.MustCompile(`exceptionCode="(\w+)" locator="(\w+)"`)
	for target, want := range map[string]string{
		"/roads/-1/0/0.png": "400 the zoom",
		"/roads/9/0/0.png":  "404 the layer",
		"/rivers/1/0/0.png": "404 there is no layer",
		"/":                 "404 no tile",
		byPairs + "9":       "400 TileOutOfRange TileCol",
		strings.Replace(byPairs, "GetTile", "GetMap", 1):      "501 OperationNotSupported Request",
		strings.Replace(byPairs, "layer=roads", "layer=x", 1): "400 InvalidParameterValue Layer",
		strings.Replace(byPairs, "version=1.0.0&", "", 1):     "400 MissingParameterValue Version",
	} {
		reply := getTile(addr, target)
		got := fmt.Sprint(reply.status, " ", reply.body)
		found := exception.FindStringSubmatch(reply.body)
		if found != nil && reply.header.Get("Content-Type") == "application/xml" {
			got = fmt.Sprint(reply.status, " ", found[1], " ", found[2])
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%.150s is answered %.300s, want %s", target, got, want)
		}
	}
	if reply := getTile(addr, byTemplate, "X-Wait-Ms", "soon"); reply.status != 400 {
		t.Errorf("a strange time to wait is answered %d %s", reply.status, reply.body)
	}
}

func expectCapabilitiesLeadToTiles(t *testing.T, addr string) {
	t.Helper()
	capabilities := getTile(addr, "/wmts/1.0.0/WMTSCapabilities.xml").body
	template := regexp.MustCompile(`template="([^"]+)"`).FindStringSubmatch(capabilities)
	if template == nil {
		t.Fatalf("the capabilities are %.300s", capabilities)
	}
	target := strings.NewReplacer("http://"+addr, "", "{Style}", "default", "{TileMatrixSet}", "GoogleMapsCompatible",
		"{TileMatrix}", "4", "{TileRow}", "7", "{TileCol}", "9").Replace(template[1])
	if reply := getTile(addr, target); reply.status != 200 || !strings.Contains(reply.body, "/4/7/9.png") {
		t.Errorf("the described address %s is answered %d %s", target, reply.status, reply.body)
	}
}

// What cannot be read is told by its status and ends the connection; requests behind one another are answered in
// order.
func TestTileConnections(t *testing.T) {
	slow := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/1/0/0.png") {
			time.Sleep(200 * time.Millisecond)
		}
		io.WriteString(w, r.URL.Path)
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	addr := freeAddress(t)
	addTilePool(t, s, addr, fmt.Sprintf(tilePoolFile, slow, addr, ""))
	send := func(text string) (reply string, err error) {
		t.Helper()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, text)
		all, err := io.ReadAll(conn)
		return string(all), err
	}
	replies, _ := send("GET /roads/1/0/0.png HTTP/1.1\r\nHost: a\r\n\r\n" +
		"GET /roads/1/1/1.png HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	first := strings.Index(replies, "/1/0/0.png")
	second := strings.Index(replies, "/1/1/1.png")
	if first < 0 || second < first {
		t.Errorf("two behind one another are answered %q", replies)
	}
	for text, want := range map[string]string{
		"POST / HTTP/1.1\r\n":       "405",
		"BREW / HTTP/1.1\r\n":       "501",
		"GET / HTTP/3.0\r\n":        "505",
		"GET / HTTP/1.1\n":          "400",
		"GET /\r\n":                 "400",
		"GET / HTTP/1.1\r\nHost: a": "408",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n": "400",
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 5000):            "431",
		"GET /" + strings.Repeat("7", 5000):                            "414",
	} {
		reply, err := send(text)
		asWanted := strings.HasPrefix(reply, "HTTP/1.1 "+want+" ") && strings.Contains(reply, "Connection: close")
		if err != nil || !asWanted {
			t.Errorf("%.40q is answered %.100q, %v, want %s", text, reply, err, want)
		}
	}
}

// A client that closes its connection has gone: its request is cancelled at the tile server, and what it sent
// before its end, or while it waited to be accepted, is not attempted.
func TestATileWhoseClientHasLeft(t *testing.T) {
	begun := make(chan string, 1000)
	cancelled := make(chan string, 1000)
	list := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/0/0/0.png") { // by which the test knows that the pool is there
			return
		}
		begun <- r.URL.Path
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	text := strings.Replace(baseConfig, `"mostExecutions":3`, `"cancelling":true`, 1)
	s, _, err := assembleConfig(text, startCacheServer(t, 0), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	s.runLoop(t)
	waitServing(t, s)
	addr := freeAddress(t)
	patient := strings.NewReplacer("= 500", "= 50000", "= 1900", "= 190000")
	addTilePool(t, s, addr, patient.Replace(fmt.Sprintf(tilePoolFile, list, addr, "")))
	for name, leave := range map[string]func(conn net.Conn){
		"closes": func(conn net.Conn) { conn.Close() },
		"resets": func(conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		},
	} {
		conn, _ := dialAndSend(t, addr, "", "")
		io.WriteString(conn, "GET /roads/3/1/1.png HTTP/1.1\r\nHost: a\r\n\r\n")
		<-begun
		leave(conn)
		select {
		case <-cancelled:
		case <-time.After(5 * time.Second):
			t.Errorf("it %s, and the tile server still has its request", name)
		}
	}
	attempts := func() uint64 { return s.pools.named["maps"].core.Counts.Attempts }
	before := callOnLoop(s, attempts)
	runOnLoop(s, func() { // the loop is held until the end is behind all of it
		conn, _ := dialAndSend(t, addr, "", "")
		for i := range 20 { // more than is read at once
			fmt.Fprintf(conn, "GET /roads/5/%d/1.png HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		closeWriteAndWait(t, conn)
	})
	waitUntil(t, "an end", s, func() bool { return s.clients.frontend.Connections() == 0 })
	if n := callOnLoop(s, attempts) - before; n > 0 {
		t.Errorf("%d more attempts began", n)
	}
}
