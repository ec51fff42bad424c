package simrouter

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"bendtrestle/internal/operatorconfig"
	"bendtrestle/internal/testaddress"

	"github.com/rs/zerolog"
)

const servers = `{"generation": 3, "reset": true, "instances": [
	{"instanceId": "s-000", "hostPort": "127.0.0.1:11300", "lifecycle": "ready", "weight": 1},
	{"instanceId": "s-001", "hostPort": "127.0.0.2:11300", "lifecycle": "ready", "weight": 1}]}`

// freeAddresses returns n loopback addresses at which nothing listens.
func freeAddresses(n int) (addresses []string) {
	for range n {
		addresses = append(addresses, testaddress.New())
	}
	return addresses
}

// testProcess runs Serve in this process.
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
	s := &testProcess{t: t, orders: json.NewEncoder(orders), answers: json.NewDecoder(answers), in: orders,
		ended: make(chan error, 1)}
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

// A broadcast reaches each other router once, and messages, datagrams and bytes are counted exactly. Periodic sending
// goes on until it is stopped.
func TestBroadcastCountsMessagesAndBytes(t *testing.T) {
	const n = 5
	s := startTestProcess(t, Spec{Transport: "all", Peers: freeAddresses(n), Count: n, InitialList: []byte(servers)})
	if a := s.answer(); a.Error != "" || a.Traffic != (Traffic{}) {
		t.Fatalf("answer to the spec: %+v, want no error and no traffic", a)
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
	want := Traffic{Sent: 2, Received: out, DatagramsOut: out, DatagramsIn: out, BytesOut: out * size,
		BytesIn: out * size, LeastReceived: 1, MostReceived: 2,
		LeastBytesIn: size, MostBytesIn: 2 * size, MostBytesOut: (n - 1) * size}
	if a.Traffic != want {
		t.Errorf("traffic is %+v, want %+v", a.Traffic, want)
	}
	s.order(Order{Send: []int{1}, Period: 5 * time.Millisecond})
	for a.Traffic.Sent < 5 {
		a = s.order(Order{})
	}
	a = s.order(Order{Stop: true})
	if time.Sleep(30 * time.Millisecond); s.order(Order{}).Traffic.Sent != a.Traffic.Sent {
		t.Error("a router sends messages after it was stopped")
	}
	s.in.Close()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// With gossip, a message that one router sent reaches the balancer of every router. The bytes of the single routers add
// up to the total, and no more is received than was sent.
func TestGossipReachesEveryBalancer(t *testing.T) {
	const n = 5
	s := startTestProcess(t, Spec{Transport: "gossip", Peers: freeAddresses(n), Count: n,
		InitialList: []byte(servers)})
	if a := s.answer(); a.Error != "" || a.RouterBytes != nil {
		t.Fatalf("answer to the spec: %+v, want no error and no bytes of single routers", a)
	}
	s.order(Order{SendOnce: []int{2}})
	var a Answer
	for until := time.Now().Add(20 * time.Second); a.Traffic.LeastReceived == 0; time.Sleep(10 * time.Millisecond) {
		if a = s.order(Order{PerRouter: true}); time.Now().After(until) {
			t.Fatalf("not every balancer got observations within 20 s: %+v", a)
		}
	}
	c := a.Traffic
	if c.Sent != 1 || c.DatagramsIn == 0 || c.DatagramsIn > c.DatagramsOut || c.BytesIn > c.BytesOut {
		t.Errorf("traffic is %+v, want one message, and no more datagrams and bytes received than sent", c)
	}
	if c.BytesOut < c.DatagramsOut*(headerBytes+1) || c.BytesOut > c.DatagramsOut*(headerBytes+256) {
		t.Errorf("%d datagrams have %d bytes, want 1 to 256 and the headers for each", c.DatagramsOut, c.BytesOut)
	}
	sum := uint64(0)
	for _, bytes := range a.RouterBytes {
		sum += bytes
	}
	if len(a.RouterBytes) != n || sum != c.BytesIn+c.BytesOut {
		t.Errorf("bytes of each router %v, want as many routers and a sum of %d", a.RouterBytes, c.BytesIn+c.BytesOut)
	}
	if a = s.order(Order{}); a.RouterBytes != nil {
		t.Errorf("the answer has the bytes of each router, though the order did not ask for them: %v", a.RouterBytes)
	}
	s.in.Close()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// GossipBytesPerSecond must equal the default of the operators' file. Otherwise simulated routers gossip with another
// budget than real ones.
func TestGossipBudgetIsOperatorsDefault(t *testing.T) {
	if f, err := operatorconfig.Read(""); err != nil || f.Gossip.BytesPerSecond != GossipBytesPerSecond {
		t.Errorf("the operators' default is %v bytes per second (error %v), but GossipBytesPerSecond is %v",
			f.Gossip.BytesPerSecond, err, GossipBytesPerSecond)
	}
}

// A message names five servers spread over the list; the argument of send shifts all five.
func TestTypicalMessagesNameExpectedServers(t *testing.T) {
	recording := &recordingTransport{}
	r := &router{transport: recording}
	for id := range 20 {
		r.serverIDs = append(r.serverIDs, uint64(0x10000+id))
	}
	r.send(0)
	r.send(1)
	r.send(39)
	want := [][]byte{{0, 0, 32, 4, 0, 32, 8, 0, 32, 12, 0, 32, 16, 0, 32}, {1, 0, 32, 5, 0, 32, 9, 0, 32, 13, 0, 32, 17, 0, 32},
		{19, 0, 32, 3, 0, 32, 7, 0, 32, 11, 0, 32, 15, 0, 32}}
	if !reflect.DeepEqual(recording.sent, want) {
		t.Errorf("sent %v, want %v", recording.sent, want)
	}
}

// recordingTransport records the messages that are sent.
type recordingTransport struct{ sent [][]byte }

func (w *recordingTransport) Broadcast(message []byte) { w.sent = append(w.sent, message) }
func (w *recordingTransport) Traffic() Traffic         { return Traffic{} }

// An invalid spec is answered with an error that names the fault and the accepted values, and Serve returns.
func TestInvalidSpecIsRejected(t *testing.T) {
	at := freeAddresses(2)
	for _, c := range []struct {
		spec Spec
		want string
	}{
		{Spec{Transport: "some", Peers: at, Count: 2, InitialList: []byte(servers)},
			`way "some" is unknown; want one of all, gossip`},
		{Spec{Transport: "all", Peers: at, First: 1, Count: 2, InitialList: []byte(servers)},
			"routers 1 to 2: want indexes of the 2 peers"},
		{Spec{Transport: "all", Peers: at, Count: 2,
			InitialList: []byte(`{"generation": 1, "reset": true, "instances": []}`)},
			"known: the list is empty; want at least one server"},
		{Spec{Transport: "all", Peers: []string{"nowhere", at[0]}, Count: 1, InitialList: []byte(servers)},
			"router 0:"},
	} {
		s := startTestProcess(t, c.spec)
		if a := s.answer(); !strings.Contains(a.Error, c.want) {
			t.Errorf("the error is %q, want %q", a.Error, c.want)
		}
		if err := <-s.ended; err == nil {
			t.Errorf("%s: Serve returned no error", c.want)
		}
	}
}

// Every transport is found by its name. An empty name is an error that lists the available ones.
func TestTransportIsFoundByName(t *testing.T) {
	for name := range Transports {
		if _, err := opener(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := opener(""); err == nil || fmt.Sprint(err) != `way "" is unknown; want one of all, gossip` {
		t.Errorf("empty name: error %v, want the list of names", err)
	}
}
