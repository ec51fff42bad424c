package startup

import (
	"fmt"
	"testing"
)

const wantTexts = `listening: a list of servers
listed: the list service
confirmed: answers of servers
learning: nineteen in twenty operations finished in a second
full: nothing
rate: executions a second that servers finished here	hint	300	it allows cold servers work; what finishes now takes its place over the warm-up
list: the last list, where the platform gives none	hint	600	its servers are used as if they had just started: which have, it cannot tell (rule 4)
out: servers and zones out by hand	binding	0	held as they stand, in files of their own
0.5 {listening listed an endpoint list has ready servers}
0.5 {listed confirmed the list service has returned the endpoint list}
0.5 {confirmed learning servers answer requests}
3.5 {learning full 388 of 176 requests were completed in a second}
0.5 {listening listed an endpoint list has ready servers}
0.5 {listed confirmed the list service has returned the endpoint list}
0.5 {confirmed learning servers answer requests}
61 {learning full too few requests are completed after 60 s; the cause is not the start}
1 {listening listed an endpoint list has ready servers}
1 {listed confirmed the list service has returned the endpoint list}
5 {confirmed full hardly any requests were received for five seconds}
`

// Logs, the admin server and the check command show these texts, and records in a snapshot are found by their kind's
// name. The names, and the texts about what phases wait for and what records hold, equal those of commit 15122f5.
func TestGoldenTexts(t *testing.T) {
	got := ""
	for phase := Listening; phase <= FullService; phase++ {
		got += fmt.Sprintf("%v: %s\n", phase, phase.WaitsFor())
	}
	for _, k := range RecordKinds {
		got += fmt.Sprintf("%s: %s\t%s\t%v\t%s\n", k.Name, k.Content, k.Rule, k.MaxAgeSeconds, k.Fallback)
	}
	for _, enough := range []bool{true, false} {
		tracker := NewTracker(0)
		tracker.OnEndpoints(1, true)
		for now := 0.5; now < 7; now += 0.5 {
			for _, c := range tracker.Tick(now, uint64(now*8), uint64(now*4)) {
				got += fmt.Sprintln(now, c)
			}
			if enough && now > 3 {
				for _, c := range tracker.Tick(now+1.25, 200, 400) {
					got += fmt.Sprintln(now, c)
				}
				break
			}
		}
		if !enough {
			for _, c := range tracker.Tick(61, 400, 24) {
				got += fmt.Sprintln(61, c)
			}
		}
	}
	tracker := NewTracker(0)
	tracker.OnEndpoints(1, true)
	for now := 1.0; now < 7; now++ {
		for _, c := range tracker.Tick(now, 0, 0) {
			got += fmt.Sprintln(now, c)
		}
	}
	if got != wantTexts {
		t.Errorf("got\n%s\nwant\n%s", got, wantTexts)
	}
}
