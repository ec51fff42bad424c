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

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// golden compares a text with a file that the build of 15122f5 wrote, and gives what the file says.
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

// goldenMessages gives a message of every kind, by its name, in a fixed order.
func goldenMessages() (names []string, messages [][]byte) {
	servers := map[string]int{"zone-a": 4, "zone-b": 4, "zone-c": 1}
	fleet := func(ids map[uint16]bool) *Controller {
		f := New(Settings{RouterIndex: 513, RouterCount: 1000, Incarnation: 0xbeef, WarmupSeconds: 6})
		f.OnEndpoints(goldenNow, servers, ids)
		f.peers[7] = &peer{at: goldenNow} // it hears another router, so it is not cut off
		return f
	}
	add := func(name string, message []byte) {
		names, messages = append(names, name), append(messages, message)
	}
	add("no zone", fleet(nil).words(goldenNow, nil))
	for state := Serving; state <= Recovering; state++ {
		for _, hand := range []bool{false, true} {
			f := fleet(nil)
			z := f.find("zone-a")
			z.state, z.hand, z.share = state, hand, 0.375
			z.ok, z.bad, z.before = 99.5, 99.7, [2]int{9, 3}
			add(fmt.Sprintf("%v, by an operator %v", state, hand), f.words(goldenNow, []*zone{z}))
		}
	}
	f := fleet(nil)
	delete(f.peers, 7)
	add("from a router that hears no other", f.words(goldenNow, []*zone{f.find("zone-a")}))
	f = fleet(nil)
	all := []*zone{f.find("zone-a"), f.find("zone-b"), f.find("zone-c")}
	for n, ages := range [][2]float64{{0, 0}, {1, 0}, {0, 94.92}, {94.93, 100}, {99.985, 101}, {99.971, 99.969}} {
		for i, z := range all {
			z.ok, z.bad = ages[0], ages[1]
			z.share = []float64{1, 1.0 / 64, 0.3}[i]
			z.before = [2]int{n * 5, 20 - n*4}
		}
		add(fmt.Sprintf("three zones, answer at %v, none since %v", ages[0], ages[1]), f.words(goldenNow, all))
	}
	f = fleet(nil)
	add("as many zones as it holds", f.words(goldenNow, make9(f)))
	ids := map[uint16]bool{}
	for n, end := range []uint16{0, 0xffc7, 0xfe5a, 0xfdb1, 0xfc3e} {
		ids[end] = true
		f = fleet(ids)
		add(fmt.Sprintf("%d markers taken by servers' ids", n), f.words(goldenNow, []*zone{f.find("zone-a")}))
	}
	return names, messages
}

// Routers of other builds hear these messages: every byte stays.
func TestGoldenMessages(t *testing.T) {
	text := ""
	names, messages := goldenMessages()
	for i, message := range messages {
		text += names[i] + ": " + hex.EncodeToString(message) + "\n"
	}
	golden(t, "messages", text)
}

// What the build of 15122f5 sends is read as that build reads it.
func TestGoldenMessagesAreRead(t *testing.T) {
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
	read := ""
	for i, message := range messages {
		f := New(Settings{RouterIndex: 1, RouterCount: 1000, Incarnation: 1})
		f.OnEndpoints(200, map[string]int{"zone-a": 1, "zone-b": 1, "zone-c": 1}, nil)
		if !f.OnMessage(200, message) {
			t.Fatalf("%s: no message", names[i])
		}
		p := f.peers[513]
		read += fmt.Sprintf("%s: %d %d %v %v", names[i], p.life, p.number, p.at, p.cut)
		zones := []string{"zone-a", "zone-b", "zone-c"}
		for n := range perWord {
			zones = append(zones, fmt.Sprint("z", n))
		}
		for _, name := range zones {
			if s, said := p.said[NameHash(name)]; said {
				read += fmt.Sprintf("; %s %v %v %v %v %v %v %v", name, s.state, s.share, s.ok, s.bad, s.hand, s.good, s.poor)
			}
		}
		read += "\n"
	}
	golden(t, "messages-read", read)
}

// trace runs a world and gives digests of all that leaves the decision: the changes, the messages in their order, what is told of
// each zone, and the routers' own counts.
func trace(t *testing.T, w *world, seconds float64) string {
	t.Helper()
	var sent []byte
	w.sent = func(from int, text []byte) { sent = append(append(sent, byte(from)), text...) }
	text := ""
	for range int(seconds) {
		w.run(1)
		states := ""
		for n, f := range w.fleets {
			if !w.down[n] {
				states += fmt.Sprintln(n, f.Statuses(w.at(n)), f.MessagesSent)
			}
		}
		text += fmt.Sprintf("%.0f: %d changes %s, messages %s, states %s\n", w.now-1000, len(w.log), digest(strings.Join(w.log, "\n")), digest(string(sent)), digest(states))
	}
	return text
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:6])
}

// Days of trouble at fixed seeds: every change with its reason, every message and every state are those of the build of 15122f5.
func TestGoldenCourses(t *testing.T) {
	for _, c := range []struct {
		name   string
		course func(t *testing.T, w *world) string
	}{
		{"lost-and-back", func(t *testing.T, w *world) string {
			text := trace(t, w, 3)
			w.up["b"] = 0
			text += trace(t, w, 5)
			w.up["b"] = 1
			return text + trace(t, w, 8)
		}},
		{"messages-lost", func(t *testing.T, w *world) string {
			text := trace(t, w, 3)
			w.loss, w.up["b"], w.up["c"] = 0.5, 0, 0.5
			text += trace(t, w, 6)
			w.loss, w.up["b"], w.full["b"] = 0.2, 1, true
			text += trace(t, w, 5)
			w.full["b"], w.up["c"] = false, 1
			return text + trace(t, w, 9)
		}},
		{"flapping", func(t *testing.T, w *world) string {
			text := trace(t, w, 2)
			for i := range 12 {
				w.up["b"] = float64(i % 2)
				text += trace(t, w, 3)
			}
			return text
		}},
		{"region-and-restarts", func(t *testing.T, w *world) string {
			for n := range w.fleets {
				w.start(n, 2, [][]string{{"b", "c"}})
			}
			text := trace(t, w, 3)
			w.up["b"], w.up["c"] = 0, 0
			text += trace(t, w, 2)
			w.start(5, 3, [][]string{{"b", "c"}})
			w.down[7], w.stopped[7] = true, true
			text += trace(t, w, 3)
			w.up["b"], w.up["c"] = 1, 1
			w.down[7], w.stopped[7] = false, false
			return text + trace(t, w, 10)
		}},
		{"operators-and-lists", func(t *testing.T, w *world) string {
			text := trace(t, w, 3)
			for n, f := range w.fleets {
				text += fmt.Sprintln(f.SetOperatorOverride(w.at(n), "b", true), f.SetOperatorOverride(w.at(n), "new", true))
			}
			text += trace(t, w, 2)
			for n, f := range w.fleets {
				text += fmt.Sprintln(f.OnEndpoints(w.at(n), map[string]int{"b": 4, "c": 2}, nil), f.SetOperatorOverride(w.at(n), "b", n%2 == 0))
			}
			w.up["c"], w.slow["a"] = 0, true
			text += trace(t, w, 3)
			for n, f := range w.fleets {
				text += fmt.Sprintln(f.StartRecovery(w.at(n), "c"), f.StartRecovery(w.at(n), "a"), f.Known("new"), f.Known("c"))
			}
			text += trace(t, w, 70)
			for n, f := range w.fleets {
				text += fmt.Sprintln(f.OnEndpoints(w.at(n), map[string]int{"a": 1, "b": 4}, nil), f.Known("c"))
			}
			return text + trace(t, w, 3)
		}},
		{"cut-in-parts", func(t *testing.T, w *world) string {
			text := trace(t, w, 3)
			few := func(n int) bool { return n < 4 }
			w.reaches = func(n int, z string) bool { return few(n) || z != "b" }
			w.hears = func(from, to int) bool { return few(from) == few(to) }
			text += trace(t, w, 3)
			w.reaches, w.hears = func(int, string) bool { return true }, func(int, int) bool { return true }
			return text + trace(t, w, 6)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden(t, "course-"+c.name, c.course(t, build(t, 12, "a", "b", "c", "d")))
		})
	}
}
