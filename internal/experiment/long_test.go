package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// longValueScenario is a short scenario with few requests and long values.
func longValueScenario(size int, faults string) string {
	return fmt.Sprintf(`name = "long"
seconds = 3
settle = 0.5
[fleet]
servers = 4
cores = 4
filled = 1.0
[routers]
count = 2
[list]
delay = 0.1
spread = 0.1
[clients]
rate = 30
retries = 0
keys = 50
[[type]]
name = "bulk"
share = 4
effect = "reissuable"
work_ms = 3
size = %d
promised_ms = 5000
hard_stop_ms = 8000
benefit = 3
[[type]]
name = "upload"
share = 0.5
write = true
effect = "numbered"
window = 10
work_ms = 3
size = 500000
promised_ms = 5000
hard_stop_ms = 8000
benefit = 3
%s`, size, faults)
}

func faultTable(kind, more string) string {
	return "[[fault]]\nkind = \"" + kind + "\"\nat = 0.2\nfor = 2.6\n" + more + "\n"
}

// playLongValues plays a scenario once. It returns the records and all breaches, doubtful ones too: the checks of these
// tests do not depend on the lab's lateness.
func playLongValues(t *testing.T, text string, program Program) (*Records, []Breach) {
	t.Helper()
	s, o := scenario(t, text), options(t, program)
	rec, err := Play(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	v := CheckRules(s, rec)
	return rec, append(v.Breaches, v.Doubtful...)
}

// checkLongValues fails if values were cut, damaged or made up, or if no long value had one of the ends in want.
func checkLongValues(t *testing.T, rec *Records, found []Breach, want ...emulator.End) {
	t.Helper()
	ends := map[emulator.End]int{}
	for _, o := range rec.Clients.Requests {
		for _, try := range o.Attempts {
			if try.Length > 0 {
				ends[try.End]++
			}
		}
	}
	for _, end := range want {
		if ends[end] == 0 {
			t.Errorf("got no long value that ended as %v, want some; ends: %v", end, ends)
		}
	}
	n := 0
	for _, b := range found {
		if strings.Contains(b.What, cutByRouter) || strings.Contains(b.What, "long value") || strings.Contains(b.What, "no cache server made") || b.Rule == 0 {
			if n++; n <= 2 {
				t.Errorf("%v\n%s", b, strings.Join(b.Course, "\n"))
			}
		}
	}
	if n > 0 {
		t.Errorf("got %d breaches of long values, want none; ends: %v", n, ends)
	}
}

// Values of 1 MiB and writes of 500 kB pass whole through router processes with 64 MB, with clients that read
// immediately, slowly, with a pause, or only in part.
func TestRoutersStreamLongValuesWhole(t *testing.T) {
	t.Parallel()
	rec, found := playLongValues(t, longValueScenario(1<<20, faultTable("read-slow", "part = 0.2\nrate = 2e6")+faultTable("read-pause", "part = 0.1\ndelay = 0.5")+
		faultTable("read-leave", "part = 0.2")), routerProgram(t, "logic"))
	checkLongValues(t, rec, found, emulator.Finished, emulator.ClientDisconnected)
}

// No router is blamed for long values that servers break off, reset or stop sending, before or after their end. A long
// value in progress at the graceful shutdown of a router arrives whole.
func TestServerFaultsInLongValuesAreNotBreaches(t *testing.T) {
	t.Parallel()
	rec, found := playLongValues(t, longValueScenario(1<<20, faultTable("break-off", "part = 0.1\ntarget = \"servers\"")+faultTable("reset-under", "part = 0.1\ntarget = \"servers\"")+
		faultTable("reset-behind", "part = 0.1\ntarget = \"servers\"")+"[[fault]]\nkind = \"cease\"\ntarget = \"servers\"\npart = 0.1\nat = 0.2\nfor = 0.8\n"+
		"[[fault]]\nkind = \"crash\"\ntarget = \"server:1\"\nat = 1\nfor = 0.5\n[[fault]]\nkind = \"router-restart\"\ntarget = \"router:0\"\nat = 1.5\n"),
		routerProgram(t, "logic"))
	checkLongValues(t, rec, found, emulator.Finished, emulator.Cut)
}

// The judge reports a router that cuts or alters long values, and no other.
func TestRoutersThatCutOrAlterLongValuesAreReported(t *testing.T) {
	for how, want := range map[string]string{"honest": "", "cut": cutByRouter, "garble": "incomplete or altered"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			_, found := playLongValues(t, longValueScenario(200_000, ""), routerProgram(t, "bad:"+how))
			caught := slices.ContainsFunc(found, func(b Breach) bool { return want != "" && b.Rule == 1 && strings.Contains(b.What, want) })
			others := slices.IndexFunc(found, func(b Breach) bool {
				return strings.Contains(b.What, cutByRouter) && how != "cut" || strings.Contains(b.What, "incomplete or altered") && how != "garble"
			})
			if caught != (want != "") || others >= 0 {
				t.Errorf("got the wanted breach reported: %v; %d breaches in all, want no other kind: %v", caught, len(found), found)
			}
		})
	}
}
