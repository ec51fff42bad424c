package balancer

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current code")

// gossipRecorder is a host that records the messages to peers.
type gossipRecorder struct {
	recordingHost
	messages []string
}

func (r *gossipRecorder) Gossip(message []byte) {
	r.messages = append(r.messages, hex.EncodeToString(message))
}

// gossipingBalancer starts the balancer of one of 80 routers, which gets few samples of each of ten servers.
func gossipingBalancer(host Host) *Balancer {
	b := New(0, Settings{
		Seed:                3,
		RouterCount:         80,
		EventInterval:       0.001,
		MaxAttempts:         3,
		GossipAllowed:       true,
		GossipPrice:         0.0001,
		WarmupDuration:      20,
		WarmupStartCapacity: 0.25,
		TrafficClasses: []TrafficClass{
			{Name: "view", Idempotency: Idempotent, LatencyObjective: 0.4, Deadline: 2, PriorityWeight: 1},
		},
	}, host)
	var list []Endpoint
	for i := range 10 {
		list = append(list, Endpoint{ID: uint64(i+1) * 0x10101, State: Ready, Capacity: 1})
	}
	b.OnEndpoints(0, UpdateFull, list)
	return b
}

// Routers of different builds exchange gossip, so the encoding must not change: a record is the low 16 bits of a
// server's id, little endian, and a byte for the latency relative to the mean of its class, in 32nds, or 255 where
// the connection was refused.
func TestGoldenGossipMessages(t *testing.T) {
	host := &gossipRecorder{}
	b := gossipingBalancer(host)
	outcomes := []Outcome{Succeeded, TimedOut, ConnectFailed, ServerError, Succeeded, Overloaded, Succeeded}
	for i := range uint64(200) {
		now := float64(i) / 10
		outcome := outcomes[i%uint64(len(outcomes))]
		b.OnRequest(now, i, "view", "", fmt.Sprint("key-", i%37), 2)
		b.OnAttemptEnd(now+0.09, i, 0, outcome, 0.01+float64(i%9)*0.06, outcome == Succeeded)
		b.OnClientDisconnected(now+0.1, i)
	}
	got := strings.Join(host.messages, "\n") + "\n"
	const path = "testdata/gossip.golden"
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("messages:\n%swant:\n%s", got, want)
	}
}

// Messages of the previous build must be understood: a refused connection ejects its server, and other records
// count as load.
func TestGoldenGossipMessagesAreRead(t *testing.T) {
	text, err := os.ReadFile("testdata/gossip.golden")
	if err != nil {
		t.Fatal(err)
	}
	b := gossipingBalancer(&gossipRecorder{})
	var refused []uint64
	for line := range strings.Lines(string(text)) {
		message, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil || len(message)%3 != 0 {
			t.Fatalf("message %q: error %v, want hexadecimal records of 3 bytes", line, err)
		}
		for record := range slices.Chunk(message, 3) {
			if id := uint64(record[0]) * 0x10101; record[2] == 255 && !slices.Contains(refused, id) {
				refused = append(refused, id)
			}
		}
		b.OnGossip(1, message)
	}
	if len(refused) == 0 {
		t.Fatal("the golden messages contain no refused connection")
	}
	b = gossipingBalancer(&gossipRecorder{})
	for _, id := range refused {
		b.OnGossip(1, []byte{byte(id), byte(id >> 8), 255})
		if !b.Avoids(id) {
			t.Errorf("server %#x is not ejected after a peer reported a refused connection", id)
		}
	}
}
