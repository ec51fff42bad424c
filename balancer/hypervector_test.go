package balancer

import (
	"fmt"
	"testing"
)

func TestHammingDistanceGrowsWithSteps(t *testing.T) {
	circle := hypervectorTable()
	expectEqual(t, "neighbours", hammingDistance(&circle[10], &circle[11]), flipsPerStep)
	last := 0
	for _, steps := range []int{64, 256, 1024, 2047} {
		distance := hammingDistance(&circle[10], &circle[10+steps])
		expectEqual(t, fmt.Sprint(steps, " steps apart are farther than fewer"), distance > last, true)
		last = distance
	}
}

func TestHypervectorCircleCloses(t *testing.T) {
	circle := hypervectorTable()
	expectEqual(t, "distance from the last slot to the first", hammingDistance(&circle[ringSlots-1], &circle[0]), 0)
	near := hammingDistance(&circle[ringSlots-100], &circle[0])
	far := hammingDistance(&circle[ringSlots-1000], &circle[0])
	expectEqual(t, "100 slots back are nearer than 1000", near < far, true)
}

// ring.nearestNodes leaves out slots beyond twice the steps and a margin. They must be farther by Hamming distance
// than all that it ranks, wherever virtual nodes lie.
func TestSlotsBeyondTwiceTheStepsAreFarther(t *testing.T) {
	circle := hypervectorTable()
	for slot := uint32(0); slot < ringSlots; slot += 64 {
		var least, most [ringSlots/2 + 1]int
		for steps := range least {
			up := hammingDistance(&circle[slot], &circle[(slot+uint32(steps))%ringSlots])
			down := hammingDistance(&circle[slot], &circle[(slot-uint32(steps))%ringSlots])
			least[steps] = min(up, down)
			most[steps] = max(up, down)
		}
		for steps := 1; steps < len(least); steps++ {
			most[steps] = max(most[steps], most[steps-1])
		}
		for steps := len(least) - 2; steps >= 0; steps-- {
			least[steps] = min(least[steps], least[steps+1])
		}
		for steps := 0; 2*steps+9 < len(least); steps++ {
			if least[2*steps+9] <= most[steps] {
				t.Fatalf("slot %d: got a distance of %d bits beyond %d steps, want more than the %d bits within %d steps",
					slot, least[2*steps+9], 2*steps+8, most[steps], steps)
			}
		}
	}
}
