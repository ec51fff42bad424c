package service

import (
	"bufio"
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

// startTileServer is one tile server of the standard library's and the list service that names it.
func startTileServer(t *testing.T, serve http.HandlerFunc) (discovery string) {
	server := httptest.NewServer(serve)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[{"instanceId":"t-1","hostPort":"%s","lifecycle":"ready","weight":1}]}`,
			server.Listener.Addr())
	}))
	t.Cleanup(func() { list.CloseClientConnections(); list.Close(); server.CloseClientConnections(); server.Close() })
	return list.Listener.Addr().String()
}

// A tile is served by every scheme as the tile server made it; every address of the description works; what cannot be meant
// is told as the standard has it, and reaches no server.
func TestTiles(t *testing.T) {
	asked := make(chan string, 10000)
	maps := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
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
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	own := freeAddress(t)
	f := parseOperators(t, fmt.Sprintf(tilePoolFile, maps, own, ""))
	s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: f}) })
	get := func(target string, headers ...string) (int, string, http.Header) {
		t.Helper()
		r, _ := http.NewRequest("GET", "http://"+own+target, nil)
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		got, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, err.Error(), nil
		}
		defer got.Body.Close()
		body, _ := io.ReadAll(got.Body)
		return got.StatusCode, string(body), got.Header
	}
	const pairs = "/wmts?service=WMTS&request=GetTile&version=1.0.0&layer=roads&style=&format=image/png&tilematrixset=GoogleMapsCompatible&tilematrix=3&tilerow=5&tilecol=2"
	for i := 0; ; i++ { // until the pool has its list
		if status, _, _ := get("/roads/0/0/0.png"); status == 200 || i > 200 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, target := range []string{"/roads/3/2/5.png", pairs, "/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png"} {
		status, body, head := get(target, "X-Request-Id", "me")
		if status != 200 || body != "tile /wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png for me" || head.Get("ETag") != `"tag"` ||
			head.Get("Content-Type") != "image/png" {
			t.Errorf("%s is answered %d %q %v", target, status, body, head)
		}
	}
	if status, body, _ := get("/roads/3/2/5.png", "If-None-Match", `"tag"`); status != 304 || body != "" {
		t.Errorf("with a copy it is answered %d %q", status, body)
	}
	if got, err := http.Head("http://" + own + "/roads/3/2/5.png"); err != nil || got.StatusCode != 200 || got.ContentLength < 40 {
		t.Errorf("HEAD is answered %+v, %v", got, err)
	}
	for len(asked) > 0 {
		<-asked
	}
	for target, want := range map[string]string{
		"/roads/-1/0/0.png": "400 the zoom", "/roads/9/0/0.png": "404 the layer", "/rivers/1/0/0.png": "404 there is no layer", "/": "404 no tile",
		pairs + "9": "400 TileOutOfRange TileCol", strings.Replace(pairs, "GetTile", "GetMap", 1): "501 OperationNotSupported Request",
		strings.Replace(pairs, "layer=roads", "layer=x", 1): "400 InvalidParameterValue Layer", strings.Replace(pairs, "version=1.0.0&", "", 1): "400 MissingParameterValue Version",
	} {
		status, body, head := get(target)
		got := fmt.Sprint(status, " ", body)
		if m := regexp.MustCompile(`exceptionCode="(\w+)" locator="(\w+)"`).FindStringSubmatch(body); m != nil && head.Get("Content-Type") == "application/xml" {
			got = fmt.Sprint(status, " ", m[1], " ", m[2])
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%.150s is answered %.300s, want %s", target, got, want)
		}
	}
	if status, body, _ := get("/roads/3/2/5.png", "X-Wait-Ms", "soon"); status != 400 {
		t.Errorf("a strange time to wait is answered %d %s", status, body)
	}
	if len(asked) > 0 {
		t.Errorf("%d faulty addresses reached a server", len(asked))
	}
	for _, target := range []string{"/roads/6/3/1.png", "/roads/6/3/2.png"} { // an error; a body that is refused at its header
		began := time.Now()
		if status, _, head := get(target); status != 503 || head.Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("%s is answered %d %v after %v", target, status, head, time.Since(began))
		}
	}
	_, description, _ := get("/wmts/1.0.0/WMTSCapabilities.xml")
	template := regexp.MustCompile(`template="([^"]+)"`).FindStringSubmatch(description)
	if template == nil {
		t.Fatalf("the description is %.300s", description)
	}
	at := strings.NewReplacer("http://"+own, "", "{Style}", "default", "{TileMatrixSet}", "GoogleMapsCompatible", "{TileMatrix}", "4", "{TileRow}", "7",
		"{TileCol}", "9").Replace(template[1])
	if status, body, _ := get(at); status != 200 || !strings.Contains(body, "/4/7/9.png") {
		t.Errorf("the described address %s is answered %d %s", at, status, body)
	}
	if status, body, _ := get("/health"); status != 200 || body != "serving\n" {
		t.Errorf("asked for its health it says %d %s", status, body)
	}
}

// What cannot be read is told by its status and ends the connection; requests behind one another are answered in order.
func TestTileConnections(t *testing.T) {
	slow := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/1/0/0.png") {
			time.Sleep(200 * time.Millisecond)
		}
		io.WriteString(w, r.URL.Path)
	})
	s, _, _ := startServing(t, startCacheServer(t, 0))
	defer s.loop.Post(s.end)
	own := freeAddress(t)
	f := parseOperators(t, fmt.Sprintf(tilePoolFile, slow, own, ""))
	s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: f}) })
	say := func(text string) *bufio.Reader {
		t.Helper()
		conn, err := net.Dial("tcp", own)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, text)
		return bufio.NewReader(conn)
	}
	for i := 0; sendCommand(own, "GET /roads/0/0/0.png HTTP/1.1\r\nHost: a\r\n") != "HTTP/1.1 200 OK"; i++ {
		if i > 300 {
			t.Fatal("the pool does not come")
		}
		time.Sleep(10 * time.Millisecond)
	}
	in := say("GET /roads/1/0/0.png HTTP/1.1\r\nHost: a\r\n\r\nGET /roads/1/1/1.png HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	all, _ := io.ReadAll(in)
	if first, second := strings.Index(string(all), "/1/0/0.png"), strings.Index(string(all), "/1/1/1.png"); first < 0 || second < first {
		t.Errorf("two behind one another are answered %q", all)
	}
	for text, want := range map[string]string{
		"POST / HTTP/1.1\r\n": "405", "BREW / HTTP/1.1\r\n": "501", "GET / HTTP/3.0\r\n": "505", "GET / HTTP/1.1\n": "400", "GET /\r\n": "400",
		"GET /" + strings.Repeat("7", 5000): "414", "GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 5000): "431",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n": "400", "GET / HTTP/1.1\r\nHost: a": "408",
	} {
		all, err := io.ReadAll(say(text))
		if err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 "+want+" ") || !strings.Contains(string(all), "Connection: close") {
			t.Errorf("%.40q is answered %.100q, %v, want %s", text, all, err, want)
		}
	}
}

// A client that closes its connection has gone: what it asked for is given up at the tile server, and what it sent before its end, or
// while it waited to be accepted, is not asked for.
func TestATileWhoseClientHasLeft(t *testing.T) {
	asked, over := make(chan string, 1000), make(chan string, 1000)
	maps := startTileServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "/0/0/0.png") { // by which the test knows that the pool is there
			return
		}
		asked <- r.URL.Path
		<-r.Context().Done()
		over <- r.URL.Path
	})
	s, _, err := assembleConfig(strings.Replace(baseConfig, `"mostExecutions":3`, `"cancelling":true`, 1), startCacheServer(t, 0), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(func() { s.loop.Post(s.end) })
	waitServing(t, s)
	own := freeAddress(t)
	f := parseOperators(t, strings.NewReplacer("= 500", "= 50000", "= 1900", "= 190000").Replace(fmt.Sprintf(tilePoolFile, maps, own, "")))
	s.loop.Post(func() { s.reconfigure(Setup{Platform: s.conf, Operators: f}) })
	for i := 0; sendCommand(own, "GET /roads/0/0/0.png HTTP/1.1\r\nHost: a\r\n") != "HTTP/1.1 200 OK"; i++ {
		if i > 300 {
			t.Fatal("the pool does not come")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for name, leave := range map[string]func(conn net.Conn){
		"closes": func(conn net.Conn) { conn.Close() },
		"resets": func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0); conn.Close() },
	} {
		conn, _ := dialAndSend(t, own, "", "")
		io.WriteString(conn, "GET /roads/3/1/1.png HTTP/1.1\r\nHost: a\r\n\r\n")
		<-asked
		leave(conn)
		select {
		case <-over:
		case <-time.After(5 * time.Second):
			t.Errorf("it %s, and the tile server is still asked", name)
		}
	}
	begun := func() uint64 { return s.pools.named["maps"].core.Counts.Attempts }
	before := callOnLoop(s, begun)
	callOnLoop(s, func() bool { // the loop is held until the end is behind all of it
		conn, _ := dialAndSend(t, own, "", "")
		for i := range 20 { // more than is read at once
			fmt.Fprintf(conn, "GET /roads/5/%d/1.png HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		closeWriteAndWait(t, conn)
		return true
	})
	waitUntil(t, "an end", s, func() bool { return s.clients.frontend.Clients() == 0 })
	if n := callOnLoop(s, begun) - before; n > 0 {
		t.Errorf("%d more executions began", n)
	}
}
