package multiprocess

import (
	"slices"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// A zone that nobody reaches any more is left by all within a second or so, and returned to in steps once it is reached.
func TestZoneIsLeftAsOneAndReturnedTo(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	heal := f.cut("part", "zone:1", "routers", 0, "servers")
	began := f.Now()
	f.until("zone-1 is left", 2.5, f.left("zone-1"))
	f.OnClients(func(c *emulator.Clients) { // what was out there was sent elsewhere, and is answered in its first try
		n, again := 0, 0
		for _, o := range c.Book().Ops {
			if o.Type.Name == "slots" && o.Due > began-0.05 && o.Due < began+0.2 {
				if n++; len(o.Tries) > 1 {
					again++
				}
			}
		}
		if n < 20 || 20*again > n { // of all zones; a fifth where they are let wait
			t.Errorf("%d of %d operations were tried again", again, n)
		}
	})
	if burnt := f.Burnt("zone-1", began); len(burnt) < 6 {
		t.Errorf("only routers %v had sent there: the test shows little", burnt)
	}
	f.until("all is served", 4, func() bool { return f.serves(1, 0.97) })
	heal()
	healed := f.Now()
	f.until("zone-1 is back", 8, f.back("zone-1", usual, 0.7))
	course := f.Course("zone-1", healed, 0.25)
	tenth := slices.IndexFunc(course, func(n int) bool { return float64(n) >= 0.1*usual/4 })
	most := slices.IndexFunc(course, func(n int) bool { return float64(n) >= 0.7*usual/4 })
	if most-tenth < 2 { // a sixteenth, an eighth, a quarter, a half, all: a quarter of a second each, with servers that are warm within 3 s
		t.Errorf("from a tenth to most of its usual load within %.2f s, executions by quarter seconds %v: at no pace", float64(most-tenth)/4, course)
	}
	t.Logf("executions by quarter seconds since it was healed: %v, usual %.0f", course, usual/4)
	f.until("all is served", 3, func() bool { return f.serves(1, 0.98) })
}

// What one router sees, or what a part of a zone's servers does, moves nobody; and where no zone answers, none is left, so that all
// is served as soon as they do.
func TestZoneIsNotLeft(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	stays := func(what string, seconds, part float64) {
		t.Helper()
		f.during(what+", zone-1 is used", seconds, func() bool { return f.back("zone-1", usual, part)() })
	}
	heal := f.cut("part", "router:3", "zone:1", 0, "servers")
	stays("one router does not reach it", 3, 0.4)
	heal()
	f.until("all reach it", 8, f.back("zone-1", usual, 0.75))
	heal = f.cut("part", "server:1", "routers", 0, "servers")
	stays("one of its three servers is not reached", 3, 0.4)
	heal()
	f.until("all three are used", 8, f.back("zone-1", usual, 0.75))
	heal = f.cut("part", "router:3", "rest", 0)
	stays("one router is cut off from all", 3, 0.4)
	heal()
	f.until("all is served", 5, func() bool { return f.serves(1, 0.97) })
	heal = f.cut("part", "servers", "routers", 0, "servers")
	f.until("nothing is served", 3, func() bool { part, n := f.Served(f.Now()-1.5, f.Now()-1); return n > 50 && part < 0.05 })
	f.during("nothing is served", 1, func() bool { return f.Arrived("zone-1", f.Now()-0.5) == 0 })
	heal()
	f.until("all is served", 8, func() bool { return f.serves(0.5, 0.97) })
}

// Words that are lost by half, late and doubled leave the fleet able to leave a zone and to return.
func TestZoneWithBadWords(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	for what, begin := range map[string]func() func(){
		"lost by half": func() func() { return f.cut("words-lose", "routers", "", 0.5) },
		"late":         func() func() { return f.cut("words-late", "routers", "", 0.3) },
		"doubled":      func() func() { return f.cut("words-double", "routers", "", 1) },
	} {
		end := begin()
		heal := f.cut("part", "zone:1", "routers", 0, "servers")
		f.until("words "+what+": zone-1 is left", 4, f.left("zone-1"))
		heal()
		f.until("words "+what+": zone-1 is back", 14, f.back("zone-1", usual, 0.7))
		end()
	}
}

// The zone is lost in the second in which most routers are killed; those that start again follow the others. One that was stopped
// meanwhile wakes with what it believed before, and words from the past in its socket.
func TestZoneIsLostWithMostRouters(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	heal := f.cut("part", "zone:1", "routers", 0, "servers")
	f.Stop(11)
	f.Kill(every(0, 8)...)
	f.until("zone-1 is left by who lives", 5, f.left("zone-1"))
	if err := f.Start(every(0, 8)...); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(10, every(0, 8)...); err != nil {
		t.Fatal(err)
	}
	f.until("zone-1 is left by who came", 4, f.left("zone-1"))
	f.until("all is served", 6, func() bool { part, n := f.Served(f.Now()-1.5, f.Now()-0.5); return n > 50 && part > 0.85 }) // a twelfth goes to the stopped one
	heal()
	f.until("zone-1 is back", 14, f.back("zone-1", usual, 0.6))
	f.Go(11)
	f.during("the one that wakes moves nobody, zone-1 is used", 2, f.back("zone-1", usual, 0.5))
	f.until("all is served", 6, func() bool { return f.serves(1, 0.97) })
}

// A zone is cut off from all others, with the routers in it: the others leave it, those inside judge nobody, and both halves are one
// again once they reach each other. Before, the cut is one way only.
func TestZoneIsCutOffWithItsRouters(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-2")
	for _, kind := range []string{"part-one-way", "part"} {
		heal := f.cut(kind, "zone:2", "rest", 0)
		outside := f.leftBy("zone-2", func(router int) bool { return router%4 != 2 })
		f.until(kind+": the others have left it", 4, outside)
		f.during(kind+": its own routers use it", 2, func() bool { return f.Arrived("zone-2", f.Now()-1) > 0 })
		heal()
		f.until(kind+": all is served", 8, func() bool { return f.serves(1, 0.97) })
		f.until(kind+": zone-2 is back", 14, f.back("zone-2", usual, 0.7))
	}
}

// A zone dies while its servers restart, and comes back cold: no cold server is pushed over, which the verdict tells.
func TestZoneComesBackCold(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	for range 2 {
		end := f.on("zone-1", func(s *emulator.Server) func() error { return s.Crash() })
		f.until("nothing runs there", 3, func() bool { return f.Arrived("zone-1", f.Now()-0.5) == 0 })
		end()
		f.until("zone-1 is back", 14, f.back("zone-1", usual, 0.6))
	}
	f.until("all is served", 5, func() bool { return f.serves(1, 0.97) })
}

// A zone that comes and goes is returned to less and less often: what is burnt there does not go on with each time.
func TestZoneThatFlaps(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	var burnt, served []int
	used := 0
	for range 5 {
		heal := f.cut("part", "zone:1", "routers", 0, "servers")
		began := f.Now()
		f.during("it is gone", 1.5, func() bool { return true })
		n := 0
		for _, x := range f.Burnt("zone-1", began) {
			n += x
		}
		burnt = append(burnt, n)
		heal()
		f.during("it is there", 2.5, func() bool { return true })
		served = append(served, f.Arrived("zone-1", f.Now()-2.5))
		if float64(served[len(served)-1]) > 0.1*2.5*usual {
			used++
		}
	}
	t.Logf("burnt each time: %v; executions while it is there: %v, of %.0f", burnt, served, 2.5*usual)
	if used > 3 { // held for 1, 2, 4 and 8 s it is, the first, second and fourth time
		t.Errorf("it is returned to each time")
	}
}

// Left by hand at a router's door, a zone stays left over that router's restart, until it is returned by hand.
func TestZoneByHand(t *testing.T) {
	f := start(t, func(text string) string { return strings.Replace(text, "count = 12", "count = 2", 1) })
	f.calm("zone-1")
	for n := range 2 {
		if status, err := f.Ask(n, "/zones/leave", "zone-1", nil); err != nil || status != 200 {
			t.Fatalf("router %d: status %d, %v", n, status, err)
		}
	}
	none := func() bool { return f.Arrived("zone-1", f.Now()-0.5) == 0 }
	f.until("nothing goes there", 2, none)
	f.Kill(0)
	if err := f.Start(0); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(10, 0); err != nil {
		t.Fatal(err)
	}
	f.during("nothing goes there", 1.5, none)
	var zones []struct{ Zone, State, Why string }
	if _, err := f.Ask(0, "/zones", "", &zones); err != nil || len(zones) != 4 || zones[1].State != "left" || zones[1].Why != "by hand" {
		t.Errorf("the door shows %+v, %v", zones, err)
	}
	for _, zone := range []string{"zone-0", "zone-2", "zone-3"} {
		status, err := f.Ask(1, "/zones/leave", zone, nil)
		if want := map[bool]int{true: 503, false: 200}[zone == "zone-3"]; err != nil || status != want {
			t.Errorf("leave %s: status %d, %v, want %d: the last zone is not left", zone, status, err, want)
		}
	}
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		f.Ask(0, "/zones/return", zone, nil)
		f.Ask(1, "/zones/return", zone, nil)
	}
	f.until("it is used again", 5, func() bool { return f.Arrived("zone-1", f.Now()-0.5) > 10 })
	f.until("all is served", 8, func() bool { return f.serves(1, 0.97) })
}

// Half of the routers leave no zones as one: the others do, and are not held up by them.
func TestZoneInMixedFleet(t *testing.T) {
	f := start(t, nil)
	for _, n := range every(6, 12) {
		if err := f.Operators(n, func(text string) string { return strings.Replace(text, "on = true", "on = false", 1) }); err != nil {
			t.Fatal(err)
		}
	}
	f.Kill(every(6, 12)...)
	if err := f.Start(every(6, 12)...); err != nil {
		t.Fatal(err)
	}
	if err := f.Ready(10, every(6, 12)...); err != nil {
		t.Fatal(err)
	}
	usual := f.calm("zone-1")
	heal := f.cut("part", "zone:1", "routers", 0, "servers")
	left := f.leftBy("zone-1", func(router int) bool { return router < 6 })
	f.until("it fails", 1, func() bool { return len(f.Burnt("zone-1", f.Now()-0.5)) > 4 })
	f.until("those that leave zones have left it", 5, left)
	heal()
	f.until("zone-1 is back", 12, f.back("zone-1", usual, 0.7))
}

// While a zone is left its servers are replaced by others at the same addresses, cold: they are returned to as such.
func TestZoneComesBackWithOtherServers(t *testing.T) {
	f := start(t, nil)
	usual := f.calm("zone-1")
	heal := f.cut("part", "zone:1", "routers", 0, "servers")
	f.until("zone-1 is left", 2.5, f.left("zone-1"))
	f.Replace("zone-1")
	heal()
	f.until("zone-1 is back", 14, f.back("zone-1", usual, 0.6))
	f.until("all is served", 5, func() bool { return f.serves(1, 0.97) })
}

// A region of two zones is left, and its zones come back one after the other, in the order of the operators' file.
func TestRegionReturnsZoneByZone(t *testing.T) {
	f := start(t, func(text string) string {
		return text + "[[region]]\nname = \"west\"\nzones = [\"zone-3\", \"zone-1\"]\n"
	})
	usual := f.calm("zone-1")
	heal := f.cut("part", "region:west", "routers", 0, "servers")
	f.until("zone-1 is left", 3, f.left("zone-1"))
	f.until("zone-3 is left", 3, f.left("zone-3"))
	heal()
	healed := f.Now()
	f.until("both are back", 14, func() bool { return f.back("zone-1", usual, 0.7)() && f.back("zone-3", usual, 0.7)() })
	one, other := f.Course("zone-1", healed, 0.25), f.Course("zone-3", healed, 0.25)
	reaches := func(course []int, part float64) int {
		return slices.IndexFunc(course, func(n int) bool { return float64(n) >= part*usual/4 })
	}
	if reaches(other, 0.3) < reaches(one, 0.3) {
		one, other = other, one
	}
	t.Logf("executions by quarter seconds since it was healed: %v, %v, usual %.0f", one, other, usual/4)
	if reaches(other, 0.3) <= reaches(one, 0.7) {
		t.Error("the second began to return before the first was back")
	}
}
