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

	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

// tilePoolFile is a format with the pool's list service, the team's listener and further keys of its first layer.
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

// startTileServer starts a tile server (an HTTP server of the standard library) and a list service whose list names it
// t-1.
func startTileServer(t *testing.T, serve http.HandlerFunc) (discovery string) {
	server := httptest.NewServer(serve)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a long poll for changes, of which there are none
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

// addTilePool applies an operators' file to a service, and waits until its tile pool answers at an address.
func addTilePool(t *testing.T, s *Service, addr, text string) {
	t.Helper()
	operators := parseOperators(t, text)
	s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: operators}) })
	waitFor(t, "the pool", 300, func() bool {
		return sendCommand(addr, "GET /roads/0/0/0.png HTTP/1.1\r\nHost: a\r\n") == "HTTP/1.1 200 OK"
	})
}

// tileReply is the response that a client of a tile service received.
type tileReply struct {
	status int // 0: there was none, and body is the error
	body   string
	header http.Header
}

// getTile requests a target from the tile service at an address. headers are pairs of name and value.
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

// The targets of the same tile in each of the three schemes. That of byPairs has keys and values.
const (
	byTemplate = "/roads/3/2/5.png"
	byPairs    = "/wmts?service=WMTS&request=GetTile&version=1.0.0&layer=roads&style=&format=image/png" +
		"&tilematrixset=GoogleMapsCompatible&tilematrix=3&tilerow=5&tilecol=2"
	byPath = "/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png"
)

// serveTestTiles serves an error in column 1 of zoom 6, a body that is too large in column 2, and otherwise a tile with
// an ETag and a body that names its path.
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

// A tile is served in every scheme as the tile server sent it, and the targets in the capabilities document work.
// Invalid targets get the errors that the standard requires, and are not forwarded to a server.
func TestTilesByEveryScheme(t *testing.T) {
	forwarded := make(chan string, 10000)
	list := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		forwarded <- r.URL.Path
		serveTestTiles(w, r)
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	addr := testaddress.New()
	addTilePool(t, s, addr, fmt.Sprintf(tilePoolFile, list, addr, ""))
	expectTilesByEveryScheme(t, addr)
	for len(forwarded) > 0 {
		<-forwarded
	}
	expectFaultyTargetsRefused(t, addr)
	if len(forwarded) > 0 {
		t.Errorf("%d invalid targets were forwarded to a server, want 0", len(forwarded))
	}
	for name, target := range map[string]string{
		"an error":                               "/roads/6/3/1.png",
		"a body that is too large by its header": "/roads/6/3/2.png",
	} {
		began := time.Now()
		reply := getTile(addr, target)
		if reply.status != 503 || reply.header.Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("%s: got %d %v after %v, want 503 with Retry-After", name, reply.status, reply.header, time.Since(began))
		}
	}
	expectCapabilitiesLeadToTiles(t, addr)
	if reply := getTile(addr, "/health"); reply.status != 200 || reply.body != "serving\n" {
		t.Errorf("health check: got %d %q, want 200 and serving", reply.status, reply.body)
	}
}

func expectTilesByEveryScheme(t *testing.T, addr string) {
	t.Helper()
	for _, target := range []string{byTemplate, byPairs, byPath} {
		reply := getTile(addr, target, "X-Request-Id", "me")
		sameBody := reply.body == "tile "+byPath+" for me"
		sameHeader := reply.header.Get("ETag") == `"tag"` && reply.header.Get("Content-Type") == "image/png"
		if reply.status != 200 || !sameBody || !sameHeader {
			t.Errorf("%s: got %d %q %v, want the tile", target, reply.status, reply.body, reply.header)
		}
	}
	if reply := getTile(addr, byTemplate, "If-None-Match", `"tag"`); reply.status != 304 || reply.body != "" {
		t.Errorf("with If-None-Match: got %d %q, want 304 without a body", reply.status, reply.body)
	}
	head, err := http.Head("http://" + addr + byTemplate)
	if err != nil || head.StatusCode != 200 || head.ContentLength < 40 {
		t.Errorf("HEAD: got %+v, %v, want 200 and a length", head, err)
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
			t.Errorf("%.150s: got %.300s, want %s", target, got, want)
		}
	}
	if reply := getTile(addr, byTemplate, "X-Wait-Ms", "soon"); reply.status != 400 {
		t.Errorf("invalid X-Wait-Ms: got %d %s, want 400", reply.status, reply.body)
	}
}

func expectCapabilitiesLeadToTiles(t *testing.T, addr string) {
	t.Helper()
	capabilities := getTile(addr, "/wmts/1.0.0/WMTSCapabilities.xml").body
	template := regexp.MustCompile(`template="([^"]+)"`).FindStringSubmatch(capabilities)
	if template == nil {
		t.Fatalf("capabilities: got %.300s, want a template", capabilities)
	}
	target := strings.NewReplacer("http://"+addr, "", "{Style}", "default", "{TileMatrixSet}", "GoogleMapsCompatible",
		"{TileMatrix}", "4", "{TileRow}", "7", "{TileCol}", "9").Replace(template[1])
	if reply := getTile(addr, target); reply.status != 200 || !strings.Contains(reply.body, "/4/7/9.png") {
		t.Errorf("target %s from the template: got %d %s, want the tile", target, reply.status, reply.body)
	}
}

// A request that cannot be parsed is answered with the right status and ends the connection. Pipelined requests are
// answered in order.
func TestTileConnectionErrorsAndPipelining(t *testing.T) {
	slow := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/1/0/0.png") {
			time.Sleep(200 * time.Millisecond)
		}
		io.WriteString(w, r.URL.Path)
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	addr := testaddress.New()
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
		t.Errorf("two pipelined requests: got %q, want both replies in order", replies)
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
		asExpected := strings.HasPrefix(reply, "HTTP/1.1 "+want+" ") && strings.Contains(reply, "Connection: close")
		if err != nil || !asExpected {
			t.Errorf("%.40q: got %.100q, %v, want %s and a close", text, reply, err, want)
		}
	}
}

// When a client closes its connection, its request is cancelled at the tile server. Requests that it sent before the
// close, or while its connection waited in the backlog, must not be attempted.
func TestTileRequestIsCancelledWhenClientDisconnects(t *testing.T) {
	begun := make(chan string, 1000)
	cancelled := make(chan string, 1000)
	list := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/0/0/0.png") { // addTilePool's check that the pool answers
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
	addr := testaddress.New()
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
			t.Errorf("the client %s: its request is not cancelled at the tile server", name)
		}
	}
	attempts := func() uint64 { return s.pools.named["maps"].core.Counts.Attempts }
	before := callOnLoop(s, attempts)
	runOnLoop(s, func() { // blocks the loop until the client has sent everything and closed
		conn, _ := dialAndSend(t, addr, "", "")
		for i := range 20 { // more than one read returns
			fmt.Fprintf(conn, "GET /roads/5/%d/1.png HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		closeWriteAndWait(t, conn)
	})
	waitUntil(t, "the end of all connections", s, func() bool { return s.clients.frontend.Connections() == 0 })
	if n := callOnLoop(s, attempts) - before; n > 0 {
		t.Errorf("%d attempts after the client had left, want 0", n)
	}
}
