package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/testaddress"
)

var readType = &TrafficType{Name: "read", Share: 1, Idempotency: balancer.Idempotent, Work: 0.002, Size: 100,
	LatencyObjective: 0.2, Deadline: 0.5, Benefit: 1}
var putType = &TrafficType{Name: "put", Share: 1, Write: true, Idempotency: balancer.IdempotencyKeyed,
	DeduplicationScope: balancer.ScopeZone, Window: 0.3, Work: 0.002, Size: 10,
	LatencyObjective: 0.2, Deadline: 0.5, Benefit: 1}

func spec(name string) Spec {
	return Spec{Name: name, Addr: testaddress.New(), Zone: "z", Cores: 1, Speed: 1, Weight: 1, Queue: 100, PerConnection: 10,
		Connections: 20, CacheSize: 100,
		Cancels: true, Cold: Cold{From: 0.5, Warm: 1, Multiple: 3, CollapseSeconds: 0.5}}
}

// startFleet returns a fleet whose loop runs, with one server for each spec.
func startFleet(t *testing.T, specs ...Spec) (*Fleet, []*Server) {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	fleet := NewFleet(loop, 1, []*TrafficType{readType, putType}, OriginSpec{Concurrency: 2, MeanSeconds: 0.005, Multiple: 2,
		OverloadSeconds: 0.2, HaltSeconds: 0.3}, Delay{})
	var servers []*Server
	for _, s := range specs {
		server, err := fleet.Add(s, false)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
	}
	ended := make(chan error)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		fleet.runOnLoop(fleet.Close)
		loop.Post(loop.Stop)
		<-ended
	})
	return fleet, servers
}

// runOnLoop runs do on the fleet's event loop and waits for it.
func (f *Fleet) runOnLoop(do func()) {
	done := make(chan struct{})
	f.loop.Post(func() { do(); close(done) })
	<-done
}

// now returns the time of the fleet's loop in Unix seconds.
func (f *Fleet) now() float64 { return f.loop.Now() }

// testConn is a connection to an emulated server.
type testConn struct {
	net.Conn
	*bufio.Reader
	t *testing.T
}

func dialServer(t *testing.T, addr string) *testConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &testConn{conn, bufio.NewReader(conn), t}
}

func (c *testConn) sendLine(format string, args ...any) {
	fmt.Fprintf(c.Conn, format+"\r\n", args...)
}

// readLine reads a line. It fails if the connection ends or no line arrives in time.
func (c *testConn) readLine(within time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(within))
	text, err := c.ReadString('\n')
	return strings.TrimSpace(text), err
}

// get reads a key and returns "VA" for a value, else the answer's line or the error's text.
func (c *testConn) get(id string) string {
	c.t.Helper()
	c.sendLine("mg key v O%s Pc=read,d=400", id)
	text, err := c.readLine(time.Second)
	if err != nil {
		return err.Error()
	}
	if strings.HasPrefix(text, "VA ") {
		c.readLine(time.Second)
		return "VA"
	}
	return text
}

// queryList calls the list service. The generation is -1 if the call fails.
func queryList(t *testing.T, agent *Agent, query string) (out listResponse) {
	t.Helper()
	client := http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	got, err := client.Get("http://" + agent.Addr() + "/catalog/members" + query)
	if err != nil {
		return listResponse{Generation: -1}
	}
	defer got.Body.Close()
	if err := json.NewDecoder(got.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}
