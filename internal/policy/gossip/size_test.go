package gossip

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const head = "| routers | | bytes/s mean | most of one | in a second | messages/s | half, s | 99% | last | load off, middle | 95% | mean |"

// At each size the cost of a router stays within the budget, and a piece of news reaches all in time: calm, with a
// tenth lost, with routers that restart, and after a cut. The sizes come from GOSSIP_SIZES, by hand all four; else
// the smallest one.
func TestFleetSizes(t *testing.T) {
	sizes := "100"
	if named := os.Getenv("GOSSIP_SIZES"); named != "" {
		sizes = named
	}
	t.Log(head)
	for _, text := range strings.Split(sizes, ",") {
		routers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		net := newNetwork(t, routers, 380)
		for _, s := range []int{5, 6, 7, 8} {
			net.unobserved[s] = true
		}
		net.run(35) // until all have called each other
		within := func(what string, half, most, last, seconds float64) {
			t.Helper()
			mean, top, _, _ := net.traffic(seconds)
			t.Log(net.tableRow(what, half, most, last, seconds))
			if top > 7000 || mean > 7000 {
				t.Errorf("%d routers, %s: %v bytes a second, %v at most", routers, what, mean, top)
			}
			if last > 2.9 {
				t.Errorf("%d routers, %s: the last knew after %v s", routers, what, last)
			}
		}
		measure := func(what string, server int) {
			net.resetCounters()
			from := net.step
			teller := net.running()[len(net.running())/3]
			net.observe(teller, server, refusalByte)
			half, most, last := net.measureSpread(5, believesRefusing(server))
			if rest := 5 - float64(net.step-from)/100; rest > 0 {
				net.run(rest)
			}
			within(what, half, most, last, float64(net.step-from)/100)
		}
		measure("calm", 5)
		net.lossRate, net.duplicateRate = 0.1, 0.05
		measure("a tenth lost", 6)
		net.lossRate, net.duplicateRate = 0, 0
		// 820 restarts a day are one in 105 s; here are a hundredth of all at once
		for n := 3; n < routers; n += 100 {
			net.start(n)
		}
		measure("a hundredth restarted", 7)
		// an eighth of the list is cut off for 30 s; then a router there tells what the others do not know
		cut := func(n int) bool { return n < routers/8 }
		net.partitioned = func(a, b int) bool { return cut(a) != cut(b) }
		net.run(30)
		net.partitioned = func(int, int) bool { return false }
		net.resetCounters()
		from := net.step
		net.observe(1, 8, refusalByte)
		half, most, last := net.measureSpread(5, believesRefusing(8))
		net.run(max(0, 5-float64(net.step-from)/100))
		within("after a cut of 30 s", half, most, last, float64(net.step-from)/100)
		t.Logf("%d routers: %.1f s", routers, time.Since(began).Seconds())
	}
}
