package gossip

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current code")

// golden compares lines with testdata/NAME.golden, whose values the build of commit 15122f5 wrote, and returns the
// file's lines.
func golden(t *testing.T, name string, lines []string) []string {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := range max(len(lines), len(want)) {
		switch {
		case i >= len(lines):
			t.Fatalf("%s: line %d is missing: want %s", name, i+1, want[i])
		case i >= len(want):
			t.Fatalf("%s: line %d is not in the golden file: %s", name, i+1, lines[i])
		case lines[i] != want[i]:
			t.Fatalf("%s: line %d:\n got %s\nwant %s", name, i+1, lines[i], want[i])
		}
	}
	return want
}

// goldenSummaries returns summaries with each flag, and with values at and beyond the bounds of the encoding.
func goldenSummaries() []summary {
	return []summary{
		{originatedAt: 1000},
		{rank: 1, incarnation: 7, version: 1, load: 1, mean: 1, originatedAt: 999.95},
		{rank: 2, incarnation: 255, version: 255, load: 4095.9375, mean: 7.9375, originatedAt: 995.5},
		{rank: 15, refusing: true, load: 0.03, mean: 0.0156, originatedAt: 999.999},
		{rank: 3, answering: true, load: 0.04, mean: 0.0157, originatedAt: 987.25},
		{rank: 4, urgent: true, load: 5000, mean: 100, originatedAt: 900},
		{rank: 5, refusing: true, answering: true, urgent: true, incarnation: 128, version: 200, load: 123.456, mean: 2.5,
			originatedAt: 1003},
		{rank: 0, load: -4, mean: 0.5, originatedAt: 999.4999},
	}
}

// goldenSummary formats a decoded summary.
func goldenSummary(id uint16, s summary) string {
	return fmt.Sprintf(
		"id=%d rank=%d refusing=%t answering=%t urgent=%t incarnation=%d version=%d originated=%v load=%v mean=%v",
		id, s.rank, s.refusing, s.answering, s.urgent, s.incarnation, s.version, s.originatedAt, s.load, s.mean)
}

// Summaries keep their encoding, and the bytes in the golden file are decoded to the same values by a router with
// another clock.
func TestGoldenSummaries(t *testing.T) {
	var lines []string
	for i, written := range goldenSummaries() {
		id := uint16(i*8191 + 7)
		b := appendSummary(nil, id, written, 1000)
		readID, read := parseSummary(b, 50)
		lines = append(lines, hex.EncodeToString(b), goldenSummary(readID, read))
	}
	want := golden(t, "summaries", lines)
	for i := 0; i < len(want); i += 2 {
		b, err := hex.DecodeString(want[i])
		if err != nil {
			t.Fatal(err)
		}
		id, read := parseSummary(b, 50)
		if got := goldenSummary(id, read); got != want[i+1] {
			t.Errorf("%s is decoded as %s, want %s", want[i], got, want[i+1])
		}
	}
}

// goldenRouter returns router 0 of a group of four, to which all others have acknowledged that they support the
// protocol.
func goldenRouter() *Gossiper {
	settings := Settings{Self: 0, Seed: 9, Incarnation: 77, BytesPerSecond: 7000, LongestObjective: 0.6}
	router := New(1000, settings, NewView(nameHashes(4)))
	router.SetServers(serverIDs(5))
	router.Tick(1000)
	for from := 1; from < 4; from++ {
		router.OnDatagram(1000, from, []byte{probeAckByte})
	}
	return router
}

// goldenTicks runs a router for a time and returns a line for each datagram that it sends and for each batch of
// observations that it synthesizes.
func goldenTicks(router *Gossiper, from, to float64) (lines []string) {
	for i := 0; from+float64(i)*0.05 < to; i++ {
		now := from + float64(i)*0.05
		for _, d := range router.Tick(now) {
			lines = append(lines, fmt.Sprintf("%.2f to %d: %s", now-1000, d.To, hex.EncodeToString(d.Bytes)))
		}
		if b := router.SynthesizeObservations(now); len(b) > 0 {
			lines = append(lines, fmt.Sprintf("%.2f synthesizes %s", now-1000, hex.EncodeToString(b)))
		}
	}
	return lines
}

// One router encodes each kind of datagram byte for byte as in the golden file: probes and acknowledgements,
// observations, group sums, summaries, a pull and the reply to one. What it decodes shows in what it sends next.
func TestGoldenDatagrams(t *testing.T) {
	router := goldenRouter()
	var lines []string
	heading := func(text string) { lines = append(lines, "# "+text) }
	heading("observations of this router")
	router.Report(1000.05, []byte{7, 0, 32, 157, 0, 64, 51, 1, 255, 201, 1, 96, 95, 2, 16})
	lines = append(lines, goldenTicks(router, 1000.05, 1003)...)
	heading("observations of other routers")
	for from := 1; from < 4; from++ {
		b, err := hex.DecodeString([]string{"6701070020", "67019d00fe", "67013301ff"}[from-1])
		if err != nil {
			t.Fatal(err)
		}
		if !router.OnDatagram(1003, from, appendChecksum(b)) {
			t.Errorf("OnDatagram(%x) = false, want true", b)
		}
	}
	lines = append(lines, goldenTicks(router, 1003, 1006)...)
	heading("a pull")
	router.OnDatagram(1006, 2, appendChecksum([]byte{messageTag, kindPull, 7, 0, 0, 157, 0, 0, 51, 1, 0}))
	lines = append(lines, goldenTicks(router, 1006, 1006.1)...)
	heading("a probe")
	router.OnDatagram(1006.1, 3, []byte{probeByte})
	lines = append(lines, goldenTicks(router, 1006.1, 1006.2)...)
	heading("summaries of other routers")
	b := []byte{messageTag, kindSummaries}
	for i, e := range goldenSummaries() {
		e.originatedAt += 6.2
		b = appendSummary(b, uint16(i*150+7), e, 1006.2)
	}
	router.OnDatagram(1006.2, 1, appendChecksum(b))
	lines = append(lines, goldenTicks(router, 1006.2, 1020)...)
	counters := router.Counters
	lines = append(lines, fmt.Sprintf("sent %d, %d bytes; received %d bytes; dropped %d; limited %d; unsent %d",
		counters.DatagramsSent, counters.BytesSent, counters.BytesReceived,
		counters.DatagramsDropped, counters.ObservationsLimited, counters.ObservationsUnsent))
	golden(t, "datagrams", lines)
}

// goldenStream hashes all datagrams and synthesized observations of a simulated fleet, and records a line every half
// second. A change of one byte, one receiver or one random choice changes all later hashes. The formats passed to add
// are part of the hashes.
type goldenStream struct {
	net   *network
	lines []string
	sum   []byte
}

func newGoldenStream(t *testing.T, routers, servers int) *goldenStream {
	s := &goldenStream{net: newNetwork(t, routers, servers)}
	s.net.onSend = func(p packet) {
		s.add("%d %d %x\n", p.from, p.to, p.bytes)
	}
	s.net.onSynthesized = func(n int, b []byte) {
		s.add("%d feeds %x\n", n, b)
	}
	return s
}

func (s *goldenStream) add(format string, about ...any) {
	h := sha256.New()
	h.Write(s.sum)
	fmt.Fprintf(h, format, about...)
	s.sum = h.Sum(nil)
}

func (s *goldenStream) run(phase string, seconds float64) {
	for ; seconds > 0; seconds -= 0.5 {
		s.net.run(0.5)
		s.line(phase)
	}
}

func (s *goldenStream) line(phase string) {
	var all Counters
	for n, f := range s.net.gossipers {
		all.DatagramsSent += f.Counters.DatagramsSent
		all.BytesSent += f.Counters.BytesSent
		all.BytesReceived += f.Counters.BytesReceived
		all.DatagramsDropped += f.Counters.DatagramsDropped
		all.ObservationsLimited += f.Counters.ObservationsLimited
		all.ObservationsUnsent += f.Counters.ObservationsUnsent
		for _, v := range f.servers {
			load, mean, age, ok := f.Summary(s.net.clock(n), v.id)
			s.add("%v %v %v %t\n", load, mean, age, ok)
		}
	}
	s.lines = append(s.lines, fmt.Sprintf("%s %.1f: %d %d %d %d %d %d %x", phase, s.net.now(),
		all.DatagramsSent, all.BytesSent, all.BytesReceived,
		all.DatagramsDropped, all.ObservationsLimited, all.ObservationsUnsent, s.sum[:8]))
}

// A group of a hundred routers sends the same bytes as the build that wrote the golden file, while a server refuses,
// datagrams are lost and duplicated, owners fail and restart, a process stalls, one router runs an older build, one
// sends a flood of forged messages, the list of servers changes, and some routers replace their view.
func TestGoldenFleetOfOneGroup(t *testing.T) {
	s := newGoldenStream(t, 100, 40)
	net := s.net
	net.relativeTimes[9] = 4
	s.run("starts", 6)
	net.refusing[5] = true
	s.run("a server refuses", 4)
	net.refusing[5] = false
	net.observe(3, 6, refusalByte)
	net.lossRate = 0.1
	net.duplicateRate = 0.05
	s.run("a tenth of the datagrams is lost", 6)
	net.lossRate = 0
	net.duplicateRate = 0
	first, second := int(net.ownersOf(0, 3)[0]), int(net.ownersOf(0, 3)[1])
	net.down[first], net.down[second] = true, true
	s.run("two owners are down", 24)
	net.start(first)
	net.start(second)
	net.stalled[20] = true
	net.oldBuild[21] = true
	s.run("owners restarted, one router stalls", 8)
	net.resume(20)
	delete(net.oldBuild, 21)
	net.start(21)
	net.observationRate = 40
	s.run("all exceed the observation rate", 4)
	net.observationRate = 5
	owner := int(net.ownersOf(0, 4)[0])
	forger := (owner + 1) % 100
	id := serverID(4)
	forged := net.gossipers[forger].serverByID[id].held
	forged.version += 100
	forged.load = 4000
	forged.urgent = true
	for i := range 300 {
		now := net.clock(owner)
		forgedSum := summary{load: 4000, mean: 1, originatedAt: now}
		for _, message := range [][]byte{
			append(newMessage(kindObservations), byte(id), byte(id>>8), 254, byte(i), byte(i>>8), 254),
			appendSummary(newMessage(kindGroupSums), id, forgedSum, now),
			appendSummary(newMessage(kindSummaries), id, forged, now),
		} {
			net.gossipers[owner].OnDatagram(now, forger, appendChecksum(message))
		}
		net.gossipers[owner].OnDatagram(now, forger, []byte{messageTag, kindSummaries, byte(i), 9, 1})
	}
	s.run("one router floods", 6)
	var ids []uint16
	for i := range 40 {
		if i != 8 {
			ids = append(ids, uint16(i*150+7))
		}
	}
	for n, f := range net.gossipers {
		f.SetServers(append(ids, 9999))
		if n%3 == 0 {
			f.SetView(NewView(nameHashes(100)))
		}
	}
	s.run("another list of servers, another view", 10)
	golden(t, "fleet-one-block", s.lines)
}

// Two groups send the same bytes as the build that wrote the golden file, while they are partitioned from each other
// for a time. A router at the edge of its group has an old list and assigns itself to the other group.
func TestGoldenFleetOfTwoGroups(t *testing.T) {
	s := newGoldenStream(t, 520, 12)
	net := s.net
	s.run("starts", 8)
	mapping, view := newShorterView(520, 20, 30, 40)
	from, to := net.view.groupBounds(1)
	net.indexMappings[from] = mapping
	net.startWith(from, view)
	net.gossipers[from].settings.Self = mapping.toOwn[from]
	net.gossipers[from].SetView(view)
	net.refusing[2] = true
	s.run("one router has an old list, a server refuses", 5)
	inGroup := func(n int) bool { return n >= from && n < to }
	net.partitioned = func(a, b int) bool { return inGroup(a) != inGroup(b) }
	net.refusing[2] = false
	s.run("partitioned", 12)
	net.partitioned = func(int, int) bool { return false }
	net.down[int(net.ownersOf(0, 1)[0])] = true
	net.down[int(net.ownersOf(from, 4)[0])] = true
	s.run("healed, owners are down", 14)
	golden(t, "fleet-two-blocks", s.lines)
}
