package zonefailover

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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden with the output of the current code")

// golden compares a text with a golden file of commit 15122f5, and returns the content of the file.
func golden(t *testing.T, name, got string) string {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := string(text)
	if got == want {
		return want
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s, line %d:\n got %s\nwant %s", name, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: %d lines, want %d", name, len(gotLines), len(wantLines))
	return ""
}

const goldenNow = 100.0

// goldenMessages returns messages that cover all fields, with their names, in a fixed order.
func goldenMessages() (names []string, messages [][]byte) {
	servers := map[string]int{"zone-a": 4, "zone-b": 4, "zone-c": 1}
	newRouter := func(ids map[uint16]bool) *Controller {
		router := New(Settings{RouterIndex: 513, RouterCount: 1000, Incarnation: 0xbeef, WarmupSeconds: 6})
		router.OnEndpoints(goldenNow, servers, ids)
		router.peers[7] = &peer{lastHeard: goldenNow} // it has heard from another router, so it is not isolated
		return router
	}
	add := func(name string, message []byte) {
		names, messages = append(names, name), append(messages, message)
	}
	add("no zone", newRouter(nil).message(goldenNow, nil))
	for state := Serving; state <= Recovering; state++ {
		for _, override := range []bool{false, true} {
			router := newRouter(nil)
			z := router.find("zone-a")
			z.state, z.operatorOverride, z.share = state, override, 0.375
			z.evidence.lastAnswer, z.evidence.failingSince, z.step.previous = 99.5, 99.7, stepCounts{9, 3}
			add(fmt.Sprintf("%v, by an operator %v", state, override), router.message(goldenNow, []*zone{z}))
		}
	}
	router := newRouter(nil)
	delete(router.peers, 7)
	add("from a router that hears no other", router.message(goldenNow, []*zone{router.find("zone-a")}))
	router = newRouter(nil)
	all := []*zone{router.find("zone-a"), router.find("zone-b"), router.find("zone-c")}
	for n, ages := range [][2]float64{{0, 0}, {1, 0}, {0, 94.92}, {94.93, 100}, {99.985, 101}, {99.971, 99.969}} {
		for i, z := range all {
			z.evidence.lastAnswer, z.evidence.failingSince = ages[0], ages[1]
			z.share = []float64{1, 1.0 / 64, 0.3}[i]
			z.step.previous = stepCounts{n * 5, 20 - n*4}
		}
		add(fmt.Sprintf("three zones, answer at %v, none since %v", ages[0], ages[1]), router.message(goldenNow, all))
	}
	router = newRouter(nil)
	add("as many zones as it holds", router.message(goldenNow, fullMessage(router)))
	ids := map[uint16]bool{}
	for n, end := range []uint16{0, 0xffc7, 0xfe5a, 0xfdb1, 0xfc3e} {
		ids[end] = true
		router = newRouter(ids)
		add(fmt.Sprintf("%d markers taken by servers' ids", n), router.message(goldenNow, []*zone{router.find("zone-a")}))
	}
	return names, messages
}

// Routers of other builds receive these messages, so no byte of them may change.
func TestGoldenMessages(t *testing.T) {
	text := ""
	names, messages := goldenMessages()
	for i, message := range messages {
		text += names[i] + ": " + hex.EncodeToString(message) + "\n"
	}
	golden(t, "messages", text)
}

// The messages of commit 15122f5 are decoded with the same values as by that commit.
func TestGoldenMessagesAreDecoded(t *testing.T) {
	names, messages := goldenMessages()
	text, err := os.ReadFile(filepath.Join("testdata", "messages.golden"))
	if err != nil && !*writeGolden {
		t.Fatal(err)
	}
	if err == nil {
		for i, line := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
			name, digits, _ := strings.Cut(line, ": ")
			if messages[i], err = hex.DecodeString(digits); err != nil || name != names[i] {
				t.Fatal(name, err)
			}
		}
	}
	decoded := ""
	for i, message := range messages {
		router := New(Settings{RouterIndex: 1, RouterCount: 1000, Incarnation: 1})
		router.OnEndpoints(200, map[string]int{"zone-a": 1, "zone-b": 1, "zone-c": 1}, nil)
		if !router.OnMessage(200, message) {
			t.Fatalf("%s: not accepted as a message", names[i])
		}
		p := router.peers[513]
		decoded += fmt.Sprintf("%s: %d %d %v %v", names[i], p.incarnation, p.sequence, p.lastHeard, p.isolated)
		zones := []string{"zone-a", "zone-b", "zone-c"}
		for n := range maxZonesPerMessage {
			zones = append(zones, fmt.Sprint("z", n))
		}
		for _, name := range zones {
			if r, reported := p.reports[NameHash(name)]; reported {
				decoded += fmt.Sprintf("; %s %v %v %v %v %v %v %v", name, r.state, r.share, r.lastAnswer, r.failingSince,
					r.operatorOverride, r.lastStep.answered, r.lastStep.degraded)
			}
		}
		decoded += "\n"
	}
	golden(t, "messages-read", decoded)
}

// trace runs a simulation and returns digests of all outputs of the controllers for each second: the changes, the
// messages in order, the statuses of all zones, and the message counts.
func trace(t *testing.T, sim *simulation, seconds float64) string {
	t.Helper()
	var sent []byte
	sim.onMessage = func(from int, text []byte) { sent = append(append(sent, byte(from)), text...) }
	text := ""
	for range int(seconds) {
		sim.run(1)
		states := ""
		for n, router := range sim.routers {
			if !sim.down[n] {
				states += fmt.Sprintln(n, router.Statuses(sim.clock(n)), router.MessagesSent)
			}
		}
		text += fmt.Sprintf("%.0f: %d changes %s, messages %s, states %s\n", sim.now-simulationStart, len(sim.log),
			digest(strings.Join(sim.log, "\n")), digest(string(sent)), digest(states))
	}
	return text
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:6])
}

// In simulations of faults with fixed seeds, every change with its reason, every message and every status equal those
// of commit 15122f5.
func TestGoldenFaultScenarios(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario func(t *testing.T, sim *simulation) string
	}{
		{"lost-and-back", func(t *testing.T, sim *simulation) string {
			text := trace(t, sim, 3)
			sim.answered["b"] = 0
			text += trace(t, sim, 5)
			sim.answered["b"] = 1
			return text + trace(t, sim, 8)
		}},
		{"messages-lost", func(t *testing.T, sim *simulation) string {
			text := trace(t, sim, 3)
			sim.loss, sim.answered["b"], sim.answered["c"] = 0.5, 0, 0.5
			text += trace(t, sim, 6)
			sim.loss, sim.answered["b"], sim.overloaded["b"] = 0.2, 1, true
			text += trace(t, sim, 5)
			sim.overloaded["b"], sim.answered["c"] = false, 1
			return text + trace(t, sim, 9)
		}},
		{"flapping", func(t *testing.T, sim *simulation) string {
			text := trace(t, sim, 2)
			for i := range 12 {
				sim.answered["b"] = float64(i % 2)
				text += trace(t, sim, 3)
			}
			return text
		}},
		{"region-and-restarts", func(t *testing.T, sim *simulation) string {
			for n := range sim.routers {
				sim.start(n, 2, [][]string{{"b", "c"}})
			}
			text := trace(t, sim, 3)
			sim.answered["b"], sim.answered["c"] = 0, 0
			text += trace(t, sim, 2)
			sim.start(5, 3, [][]string{{"b", "c"}})
			sim.down[7], sim.suspended[7] = true, true
			text += trace(t, sim, 3)
			sim.answered["b"], sim.answered["c"] = 1, 1
			sim.down[7], sim.suspended[7] = false, false
			return text + trace(t, sim, 10)
		}},
		{"operators-and-lists", func(t *testing.T, sim *simulation) string {
			text := trace(t, sim, 3)
			for n, router := range sim.routers {
				b := router.SetOperatorOverride(sim.clock(n), "b", true)
				unlisted := router.SetOperatorOverride(sim.clock(n), "new", true)
				text += fmt.Sprintln(b, unlisted)
			}
			text += trace(t, sim, 2)
			for n, router := range sim.routers {
				untracked := router.OnEndpoints(sim.clock(n), map[string]int{"b": 4, "c": 2}, nil)
				text += fmt.Sprintln(untracked, router.SetOperatorOverride(sim.clock(n), "b", n%2 == 0))
			}
			sim.answered["c"], sim.slow["a"] = 0, true
			text += trace(t, sim, 3)
			for n, router := range sim.routers {
				c, a := router.StartRecovery(sim.clock(n), "c"), router.StartRecovery(sim.clock(n), "a")
				text += fmt.Sprintln(c, a, router.Tracked("new"), router.Tracked("c"))
			}
			text += trace(t, sim, 70)
			for n, router := range sim.routers {
				untracked := router.OnEndpoints(sim.clock(n), map[string]int{"a": 1, "b": 4}, nil)
				text += fmt.Sprintln(untracked, router.Tracked("c"))
			}
			return text + trace(t, sim, 3)
		}},
		{"cut-in-parts", func(t *testing.T, sim *simulation) string {
			text := trace(t, sim, 3)
			few := func(n int) bool { return n < 4 }
			sim.reaches = func(n int, z string) bool { return few(n) || z != "b" }
			sim.receives = func(from, to int) bool { return few(from) == few(to) }
			text += trace(t, sim, 3)
			sim.reaches, sim.receives = func(int, string) bool { return true }, func(int, int) bool { return true }
			return text + trace(t, sim, 6)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden(t, "course-"+c.name, c.scenario(t, newSimulation(t, 12, "a", "b", "c", "d")))
		})
	}
}

// The hashes equal those of commit 15122f5, because routers of different builds have to select the same probers.
func TestGoldenProberHashes(t *testing.T) {
	for _, c := range []struct {
		zone   string
		round  uint32
		router int
		want   uint32
	}{
		{"a", 0, 0, 0x4c775418},
		{"a", 0, 1, 0x9ad1799a},
		{"a", 1, 1, 0xf162d77a},
		{"zone-b", 1, 1, 0xa5ef54c2},
		{"zone-b", 65537, 65535, 0x829762d8},
		{"zone-b", 4294967295, 300, 0x36cdd579},
	} {
		if got := proberHash(newZone(c.zone), c.round, c.router); got != c.want {
			t.Errorf("%+v: got hash %#x", c, got)
		}
	}
	zone, sum := newZone("a"), uint32(0)
	for round := range uint32(2000) {
		for router := range 300 {
			sum = sum*31 + proberHash(zone, round, router)
		}
	}
	if sum != 0x207a9701 {
		t.Errorf("got checksum %#x over 2000 rounds of 300 routers, want 0x207a9701", sum)
	}
}
