package gossip

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const tableHead = "| routers | | bytes/s mean | most of one | in a second | messages/s | half, s | 99% | last " +
	"| load off, middle | 95% | mean |"

// At each size the cost of a router stays within the budget, and a refusal reaches all in time: undisturbed, with a
// tenth of the datagrams lost, with routers that restart, and after a partition. The sizes come from GOSSIP_SIZES;
// without it only the smallest is run.
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
	net.run(35) // until all have probed each other
	check := func(what string, half, most, last, seconds float64) {
		t.Helper()
		mean, top, _, _ := net.traffic(seconds)
		t.Log(net.tableRow(what, half, most, last, seconds))
		if top > 7000 || mean > 7000 {
			t.Errorf("%d routers, %s: %v bytes a second, %v at most", routers, what, mean, top)
		}
		if last > inTime {
			t.Errorf("%d routers, %s: the last knew after %v s", routers, what, last)
		}
	}
	measure := func(what string, reporter, server int) {
		net.resetCounters()
		from := net.step
		net.observe(reporter, server, refusalByte)
		half, most, last := net.measureSpread(5, believesRefusing(server))
		net.run(max(0, 5-float64(net.step-from)/100))
		check(what, half, most, last, float64(net.step-from)/100)
	}
	reporter := net.running()[len(net.running())/3]
	measure("calm", reporter, 5)
	net.lossRate = 0.1
	net.duplicateRate = 0.05
	measure("a tenth lost", reporter, 6)
	net.lossRate = 0
	net.duplicateRate = 0
	// 820 restarts a day are one in 105 s; here a hundredth of all restart at once.
	for n := 3; n < routers; n += 100 {
		net.start(n)
	}
	measure("a hundredth restarted", reporter, 7)
	// An eighth of the list is cut off for 30 s; then a router there reports what the others do not know.
	cutOff := func(n int) bool { return n < routers/8 }
	net.partitioned = func(a, b int) bool { return cutOff(a) != cutOff(b) }
	net.run(30)
	net.partitioned = func(int, int) bool { return false }
	measure("after a cut of 30 s", 1, 8)
	t.Logf("%d routers: %.1f s", routers, time.Since(began).Seconds())
}
