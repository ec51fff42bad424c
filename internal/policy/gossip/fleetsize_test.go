package gossip

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const tableHead = "| routers | | mean bytes/s | max bytes/s | peak of 1 s | messages/s | half, s | 99% | last " +
	"| load error, median | 95% | mean |"

// For each fleet size, checks that the traffic of a router stays within the budget and that a refusal reaches all
// routers in time: without disturbance, with a tenth of the datagrams lost, with restarting routers, and after a
// partition. GOSSIP_SIZES lists the sizes; without it only a fleet of 100 routers is tested.
func TestFleetSizes(t *testing.T) {
	sizes := "100"
	if named := os.Getenv("GOSSIP_SIZES"); named != "" {
		sizes = named
	}
	t.Log(tableHead)
	for _, text := range strings.Split(sizes, ",") {
		routers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		testFleetSize(t, routers)
	}
}

func testFleetSize(t *testing.T, routers int) {
	began := time.Now()
	net := newNetwork(t, routers, 380)
	for _, server := range []int{5, 6, 7, 8} {
		net.unobserved[server] = true
	}
	net.run(35) // until all routers have probed each other
	check := func(phase string, half, most, last, seconds float64) {
		t.Helper()
		mean, largest, _, _ := net.traffic(seconds)
		t.Log(net.tableRow(phase, half, most, last, seconds))
		if largest > 7000 || mean > 7000 {
			t.Errorf("%d routers, %s: bytes per second: mean %v, largest %v, want at most 7000", routers, phase, mean, largest)
		}
		if last > maxSpreadTime {
			t.Errorf("%d routers, %s: the refusal reached the last router after %v s, want at most maxSpreadTime",
				routers, phase, last)
		}
	}
	measure := func(phase string, reporter, server int) {
		net.resetCounters()
		from := net.step
		net.observe(reporter, server, refusalByte)
		half, most, last := net.measureSpread(5, holdsRefusal(server))
		net.run(max(0, 5-float64(net.step-from)/100))
		check(phase, half, most, last, float64(net.step-from)/100)
	}
	reporter := net.running()[len(net.running())/3]
	measure("no disturbance", reporter, 5)
	net.lossRate = 0.1
	net.duplicateRate = 0.05
	measure("a tenth lost", reporter, 6) // and a twentieth duplicated
	net.lossRate = 0
	net.duplicateRate = 0
	// 820 restarts a day are one per 105 s; here a hundredth of the routers restart at the same time.
	for n := 3; n < routers; n += 100 {
		net.start(n)
	}
	measure("a hundredth restarted", reporter, 7)
	// An eighth of the routers is partitioned from the others for 30 s; then one of them reports a refusal.
	isolated := func(n int) bool { return n < routers/8 }
	net.partitioned = func(a, b int) bool { return isolated(a) != isolated(b) }
	net.run(30)
	net.partitioned = func(int, int) bool { return false }
	measure("after a 30 s partition", 1, 8)
	t.Logf("%d routers: %.1f s", routers, time.Since(began).Seconds())
}
