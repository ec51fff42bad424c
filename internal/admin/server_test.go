package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// fixedHandler returns the same error for every action.
type fixedHandler struct{ err error }

func (h fixedHandler) Ready() bool     { return h.err == nil }
func (h fixedHandler) Metrics() []byte { return []byte("gw.current=1\n") }

func (h fixedHandler) Status() (Status, error) { return Status{Phase: "full"}, h.err }
func (h fixedHandler) Zones() ([]Zone, error) {
	return []Zone{{Zone: "a", State: "left", Reason: "by hand"}}, h.err
}

func (h fixedHandler) DisableServer(string) error { return h.err }
func (h fixedHandler) EnableServer(string) error  { return h.err }
func (h fixedHandler) EvacuateZone(string) error  { return h.err }
func (h fixedHandler) RestoreZone(string) error   { return h.err }
func (h fixedHandler) Drain() error               { return h.err }
func (h fixedHandler) Undrain() error             { return h.err }

// statusAndBody sends a request and returns the status, the Allow header and the body of the response. If there is none
// within a second, it returns the error.
func statusAndBody(addr, call, body string) string {
	method, path, _ := strings.Cut(call, " ")
	request, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", response.Header.Get("Allow"), string(text))
}

// fillConnections opens 60 connections, more than the limit, that send nothing or an incomplete request.
func fillConnections(addr string) (connections []net.Conn) {
	unfinished := []string{"", "GET /rea", "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"}
	for i := 0; len(connections) < 60 && i < 200; i++ {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(20 * time.Millisecond) // the server does not listen until the address is free
			continue
		}
		fmt.Fprint(conn, unfinished[i%3])
		connections = append(connections, conn)
	}
	return connections
}

// Requests are answered within a second, even if clients hold more connections than the limit and send nothing or an
// incomplete request there, and even if more requests follow each other than the limit allows connections. Invalid
// requests are rejected with a clear text. Another process may hold the address at first.
func TestRequestsBesideStalledConnections(t *testing.T) {
	for _, c := range []struct {
		err              error
		call, body, want string
	}{
		{nil, "GET /ready", "", "200 yes"},
		{ErrBusy, "GET /ready", "", "503 no: clients"},
		{nil, "GET /metrics", "", "200 gw.current=1"},
		{nil, "POST /metrics", "", "405 GET, HEADMethod"},
		{nil, "GET /other", "", "404 "},
		{nil, "POST /drain", "", "200 done"},
		{ErrBusy, "POST /undrain", "", "503 " + ErrBusy.Error()},
		{nil, "GET /drain", "", "405 POSTMethod"},
		{nil, "POST /cache-servers/disable", " s-1\r\n", "200 done"},
		{nil, "POST /zones/leave", "a", "200 done"},
		{ErrUnknownZone, "POST /zones/return", "a", "404 " + ErrUnknownZone.Error()},
		{nil, "POST /zones/leave", "", "400 the body is to be the name of a zone"},
		{nil, "GET /zones", "", "200 ZONE  STATE"},
		{nil, "GET /status", "", `200 {"phase":"full"`},
		{ErrUnknownServer, "POST /cache-servers/enable", "s-2", "404 " + ErrUnknownServer.Error()},
		{nil, "POST /cache-servers/enable", "", "400 the body is to be"},
		{nil, "POST /cache-servers/disable", "s-1 s-2", "400 the body is to be"},
		{nil, "POST /cache-servers/disable", "s\x00", "400 the body is to be"},
		{nil, "POST /cache-servers/disable", "\xff", "400 the body is to be"},
		{nil, "POST /cache-servers/disable", strings.Repeat("s", 257), "400 the body is too long"},
		{nil, "POST /cache-servers/disable", strings.Repeat("s", 9999), "400 the body is too long"},
	} {
		held, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := held.Addr().String()
		server := Start(addr, 24, fixedHandler{c.err}, zerolog.Nop())
		held.Close()
		connections := fillConnections(addr)
		for range 30 {
			if got := statusAndBody(addr, c.call, c.body); !strings.HasPrefix(got, c.want) {
				t.Errorf("%s %.20q: got %q, want %q", c.call, c.body, got, c.want)
				break
			}
		}
		for _, conn := range connections {
			conn.Close()
		}
		server.Close()
	}
}
