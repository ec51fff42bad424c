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

// routed is a router that gives the same answer to every call that acts.
type routed struct{ err error }

func (r routed) Zones() ([]Zone, error) {
	return []Zone{{Zone: "a", State: "left", Reason: "by hand"}}, r.err
}
func (r routed) Status() (Status, error)        { return Status{Phase: "full"}, r.err }
func (r routed) EvacuateZone(zone string) error { return r.err }
func (r routed) RestoreZone(zone string) error  { return r.err }

func (r routed) Ready() bool                { return r.err == nil }
func (r routed) Metrics() []byte            { return []byte("gw.current=1\n") }
func (r routed) DisableServer(string) error { return r.err }
func (r routed) EnableServer(string) error  { return r.err }
func (r routed) Drain() error               { return r.err }
func (r routed) Undrain() error             { return r.err }

// ask makes a call and gives what is answered, with its status; a call that is not answered within its second is an error.
func ask(addr, call, body string) string {
	method, path, _ := strings.Cut(call, " ")
	q, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	answer, err := (&http.Client{Timeout: time.Second}).Do(q)
	if err != nil {
		return err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprint(answer.StatusCode, " ", answer.Header.Get("Allow"), string(text))
}

// Calls are answered within a second, beside more callers than there are places that say nothing or stop midway, and more in a row
// than there are places; what is no call gets a clear no. The address may be another process's at first.
func TestCalls(t *testing.T) {
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
		d := Start(addr, 24, routed{c.err}, zerolog.Nop())
		held.Close()
		var callers []net.Conn
		for i := 0; len(callers) < 60 && i < 200; i++ {
			if conn, err := net.Dial("tcp", addr); err != nil {
				time.Sleep(20 * time.Millisecond) // the door opens once the address is free
			} else {
				fmt.Fprint(conn, []string{"", "GET /rea", "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"}[i%3])
				callers = append(callers, conn)
			}
		}
		for range 30 {
			if got := ask(addr, c.call, c.body); !strings.HasPrefix(got, c.want) {
				t.Errorf("%s %.20q: got %q, want %q", c.call, c.body, got, c.want)
				break
			}
		}
		for _, conn := range callers {
			conn.Close()
		}
		d.Close()
	}
}
