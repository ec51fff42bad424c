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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current code")

// Over some thousands of acquisitions, releases and repartitions, the same slots are granted and denied as in the build
// of commit 15122f5. The formatted texts, such as "take", are part of the hashes.
func TestGoldenDecisions(t *testing.T) {
	const file = "testdata/decisions.golden"
	random := rand.New(rand.NewPCG(5, 51))
	bulkhead := New(50)
	names := []string{"a", "b", "c", "d"}
	used := map[*Partition]int{}
	sum := []byte(nil)
	var lines []string
	for step := range 4000 {
		partition := bulkhead.Partition(names[random.IntN(4)])
		n := 1 + random.IntN(3)
		decision := ""
		switch random.IntN(8) {
		case 0, 1, 2:
			decision = fmt.Sprint("take ", bulkhead.CanAcquire(partition, n))
			acquired := bulkhead.TryAcquire(partition, n)
			if acquired {
				used[partition] += n
			}
			decision += fmt.Sprint(" ", acquired)
		case 3:
			if random.IntN(4) == 0 {
				bulkhead.ForceAcquire(partition, n)
				used[partition] += n
			}
		case 4, 5, 6:
			if used[partition] >= n {
				bulkhead.Release(partition, n)
				used[partition] -= n
			}
		case 7:
			if step%5 == 0 {
				weights := map[string]float64{}
				for _, name := range names {
					if random.IntN(4) > 0 {
						weights[name] = float64(random.IntN(5)) * random.Float64()
					}
				}
				bulkhead.Repartition(30+random.IntN(40), weights)
			}
		}
		h := sha256.New()
		fmt.Fprintf(h, "%x %s %d %d\n", sum, decision, bulkhead.InUse(), bulkhead.Capacity())
		for _, name := range names {
			if partition := bulkhead.Partition(name); partition != nil {
				fmt.Fprintf(h, "%s %d %d\n", name, partition.Reserved(), partition.InUse())
			}
		}
		sum = h.Sum(nil)
		if step%100 == 99 {
			lines = append(lines, fmt.Sprintf("%d: %d of %d, %x", step, bulkhead.InUse(), bulkhead.Capacity(), sum[:8]))
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
