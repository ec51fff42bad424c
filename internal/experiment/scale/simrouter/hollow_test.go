package simrouter

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/operatorconfig"

	"github.com/rs/zerolog"
)

const servers = `{"generation": 3, "reset": true, "instances": [
	{"instanceId": "s-000", "hostPort": "127.0.0.1:11300", "lifecycle": "ready", "weight": 1},
	{"instanceId": "s-001", "hostPort": "127.0.0.2:11300", "lifecycle": "ready", "weight": 1}]}`

// freeAddresses gives so many addresses that nothing listens at.
func freeAddresses(t *testing.T, n int) (all []string) {
	t.Helper()
	for range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c.LocalAddr().String())
	}
	return all
}

// testProcess is a process of hollow routers within this one.
type testProcess struct {
	t       *testing.T
	orders  *json.Encoder
	answers *json.Decoder
	in      io.Closer
	ended   chan error
}

func startTestProcess(t *testing.T, spec any) *testProcess {
	in, orders := io.Pipe()
	answers, out := io.Pipe()
	s := &testProcess{t: t, orders: json.NewEncoder(orders), answers: json.NewDecoder(answers), in: orders, ended: make(chan error, 1)}
	go func() {
		err := Serve(in, out, zerolog.Nop())
		in.CloseWithError(err)
		out.Close()
		s.ended <- err
	}()
	if err := s.orders.Encode(spec); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testProcess) answer() (a Answer) {
	s.t.Helper()
	if err := s.answers.Decode(&a); err != nil {
		s.t.Fatal(err)
	}
	return a
}

func (s *testProcess) order(o Order) Answer {
	s.t.Helper()
	if err := s.orders.Encode(o); err != nil {
		s.t.Fatal(err)
	}
	return s.answer()
}

// A word goes to each of the others once, and messages and bytes are counted exactly; talking goes on until it is hushed.
func TestCounts(t *testing.T) {
	const n = 5
	s := startTestProcess(t, Spec{Transport: "all", Peers: freeAddresses(t, n), Count: n, InitialList: []byte(servers)})
	if a := s.answer(); a.Error != "" || a.Traffic != (Traffic{}) {
		t.Fatalf("at first: %+v", a)
	}
	s.order(Order{SendOnce: []int{0, 3}})
	const out, size = 2 * (n - 1), 15 + 28
	var a Answer
	for range 500 {
		if a = s.order(Order{}); a.Traffic.DatagramsIn == out {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	want := Traffic{Told: 2, Heard: out, DatagramsOut: out, DatagramsIn: out, BytesOut: out * size, BytesIn: out * size, LeastHeard: 1, MostHeard: 2,
		LeastBytesIn: size, MostBytesIn: 2 * size, MostBytesOut: (n - 1) * size}
	if a.Traffic != want {
		t.Errorf("counted %+v, want %+v", a.Traffic, want)
	}
	s.order(Order{Send: []int{1}, Period: 5 * time.Millisecond})
	for a.Traffic.Told < 5 {
		a = s.order(Order{})
	}
	a = s.order(Order{Stop: true})
	if time.Sleep(30 * time.Millisecond); s.order(Order{}).Traffic.Told != a.Traffic.Told {
		t.Error("one that is hushed goes on talking")
	}
	s.in.Close()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// Routers that gossip reach every module by feeding, also with what one alone told; each router's bytes are those that all are summed up
// from, and nothing is heard that was not sent.
func TestGossip(t *testing.T) {
	const n = 5
	s := startTestProcess(t, Spec{Transport: "gossip", Peers: freeAddresses(t, n), Count: n, InitialList: []byte(servers)})
	if a := s.answer(); a.Error != "" || a.RouterBytes != nil {
		t.Fatalf("at first: %+v", a)
	}
	s.order(Order{SendOnce: []int{2}})
	var a Answer
	for until := time.Now().Add(20 * time.Second); a.Traffic.LeastHeard == 0; time.Sleep(10 * time.Millisecond) {
		if a = s.order(Order{PerRouter: true}); time.Now().After(until) {
			t.Fatalf("not every module was fed: %+v", a)
		}
	}
	c := a.Traffic
	if c.Told != 1 || c.DatagramsIn == 0 || c.DatagramsIn > c.DatagramsOut || c.BytesIn > c.BytesOut {
		t.Errorf("counted %+v", c)
	}
	if c.BytesOut < c.DatagramsOut*(headerBytes+1) || c.BytesOut > c.DatagramsOut*(headerBytes+256) {
		t.Errorf("%d datagrams are %d bytes", c.DatagramsOut, c.BytesOut)
	}
	sum := uint64(0)
	for _, bytes := range a.RouterBytes {
		sum += bytes
	}
	if len(a.RouterBytes) != n || sum != c.BytesIn+c.BytesOut {
		t.Errorf("%v bytes of each, and %d of all", a.RouterBytes, c.BytesIn+c.BytesOut)
	}
	if a = s.order(Order{}); a.RouterBytes != nil {
		t.Errorf("bytes of each were not asked for: %v", a.RouterBytes)
	}
	s.in.Close()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// What a router may spend here is what operators allow it.
func TestGossipBudget(t *testing.T) {
	if f, err := operatorconfig.Read(""); err != nil || f.Gossip.BytesPerSecond != GossipBytesPerSecond {
		t.Errorf("operators allow %v bytes, %v; here it is %v", f.Gossip.BytesPerSecond, err, GossipBytesPerSecond)
	}
}

// Words are of the same five servers, or in turn of all.
func TestSaid(t *testing.T) {
	w := &recordingTransport{}
	r := &router{transport: w}
	for id := range 20 {
		r.serverIDs = append(r.serverIDs, uint64(0x10000+id))
	}
	r.send(0)
	r.send(1)
	r.send(39)
	want := [][]byte{{0, 0, 32, 4, 0, 32, 8, 0, 32, 12, 0, 32, 16, 0, 32}, {1, 0, 32, 5, 0, 32, 9, 0, 32, 13, 0, 32, 17, 0, 32},
		{19, 0, 32, 3, 0, 32, 7, 0, 32, 11, 0, 32, 15, 0, 32}}
	if !reflect.DeepEqual(w.sent, want) {
		t.Errorf("said %v, want %v", w.sent, want)
	}
}

// recordingTransport is a way that keeps what is told.
type recordingTransport struct{ sent [][]byte }

func (w *recordingTransport) Broadcast(message []byte) { w.sent = append(w.sent, message) }
func (w *recordingTransport) Traffic() Traffic         { return Traffic{} }

// What a spec lacks is told, by what is wrong and what would be right.
func TestFaultySpec(t *testing.T) {
	at := freeAddresses(t, 2)
	for _, c := range []struct {
		spec Spec
		want string
	}{
		{Spec{Transport: "some", Peers: at, Count: 2, InitialList: []byte(servers)}, `way "some": there are all, gossip`},
		{Spec{Transport: "all", Peers: at, First: 1, Count: 2, InitialList: []byte(servers)}, "routers 1 to 2: there are 2 peers"},
		{Spec{Transport: "all", Peers: at, Count: 2, InitialList: []byte(`{"generation": 1, "reset": true, "instances": []}`)}, "known: it names no server"},
		{Spec{Transport: "all", Peers: []string{"nowhere", at[0]}, Count: 1, InitialList: []byte(servers)}, "router 0:"},
	} {
		s := startTestProcess(t, c.spec)
		if a := s.answer(); !strings.Contains(a.Error, c.want) {
			t.Errorf("answered %q, want %q", a.Error, c.want)
		}
		if err := <-s.ended; err == nil {
			t.Errorf("%s: it goes on", c.want)
		}
	}
}

// A way is found by its name alone, so that another can be put in.
func TestWays(t *testing.T) {
	for name := range Transports {
		if _, err := opener(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := opener(""); err == nil || fmt.Sprint(err) != `way "": there are all, gossip` {
		t.Errorf("no name: %v", err)
	}
}
