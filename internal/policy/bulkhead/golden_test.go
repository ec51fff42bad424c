package bulkhead

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// What is given and what is refused, over some thousands of takes, releases and splits, is as in the build of 15122f5.
func TestGoldenDecisions(t *testing.T) {
	const file = "testdata/decisions.golden"
	chance := rand.New(rand.NewPCG(5, 51))
	p := New(50)
	names := []string{"a", "b", "c", "d"}
	held := map[*Partition]int{}
	sum := []byte(nil)
	var lines []string
	for step := range 4000 {
		s := p.Partition(names[chance.IntN(4)])
		n := 1 + chance.IntN(3)
		what := ""
		switch chance.IntN(8) {
		case 0, 1, 2:
			what = fmt.Sprint("take ", p.CanAcquire(s, n))
			took := p.TryAcquire(s, n)
			if took {
				held[s] += n
			}
			what += fmt.Sprint(" ", took)
		case 3:
			if chance.IntN(4) == 0 {
				p.ForceAcquire(s, n)
				held[s] += n
			}
		case 4, 5, 6:
			if held[s] >= n {
				p.Release(s, n)
				held[s] -= n
			}
		case 7:
			if step%5 == 0 {
				weights := map[string]float64{}
				for _, name := range names {
					if chance.IntN(4) > 0 {
						weights[name] = float64(chance.IntN(5)) * chance.Float64()
					}
				}
				p.Repartition(30+chance.IntN(40), weights)
			}
		}
		h := sha256.New()
		fmt.Fprintf(h, "%x %s %d %d\n", sum, what, p.InUse(), p.Capacity())
		for _, name := range names {
			if s := p.Partition(name); s != nil {
				fmt.Fprintf(h, "%s %d %d\n", name, s.Reserved(), s.InUse())
			}
		}
		sum = h.Sum(nil)
		if step%100 == 99 {
			lines = append(lines, fmt.Sprintf("%d: %d of %d, %x", step, p.InUse(), p.Capacity(), sum[:8]))
		}
	}
	got := strings.Join(lines, "\n") + "\n"
	if *writeGolden {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
