package experiment

import (
	"slices"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// Each breach is caught, and what looks like one but is not is left alone.
func TestJudgeReportsBreaches(t *testing.T) {
	a, b, far := server("s-1", "z1"), server("s-2", "z1"), server("s-3", "z2")
	for name, c := range map[string]struct {
		kind  string
		write func(st *runRecord)
		want  []int
	}{
		"all in order": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"a made-up answer": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered).Made = 8
		}, []int{1}},
		"an answer made from a spoilt one": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Spoilt)
		}, []int{1}},
		"no answer": {"read", func(st *runRecord) { st.attempt("x", emulator.Silent, 1.45) }, []int{1}},
		"no answer, for the router was killed": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Silent, 1.45)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1001.2, How: endKilled}}
		}, nil},
		"no answer, though it was another router that was killed": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Silent, 1.45)
			st.rec.Processes = []RouterProcess{{Router: 1, From: 999, To: 1001.2, How: endKilled}}
		}, []int{1}},
		"no answer at a planned end": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Silent, 1.45)
			st.rec.Processes = []RouterProcess{{From: 999, Told: 1001, To: 1001.2, How: endAsked}}
		}, []int{1}},
		"lost after it was sent on": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Lost, 1.2)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{1}},
		"closed before anything was sent on": {"read", func(st *runRecord) { st.attempt("x", emulator.Lost, 1.2) }, nil},
		"sent once more where the first was not read": {"read", func(st *runRecord) {
			x := st.attempt("x", emulator.Finished, 1.2)
			x.Again, x.AgainAt = true, 1001.1
			st.execution("x", a, 1.15, emulator.Answered)
		}, nil},
		"sent once more where the first was read": {"read", func(st *runRecord) {
			x := st.attempt("x", emulator.Finished, 1.2)
			x.Again, x.AgainAt = true, 1001.1
			st.execution("x", a, 1.05, emulator.Cancelled)
			st.execution("x", a, 1.15, emulator.Answered)
		}, []int{1}},
		"sent after its answer": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Declined, 1.05)
			st.execution("x", a, 1.2, emulator.Cancelled)
		}, []int{1}},
		"on its way when it was answered": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Declined, 1.05)
			st.execution("x", a, 1.08, emulator.Cancelled)
		}, nil},
		"answered twice": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
			st.rec.Clients.Twice = []string{"x"}
		}, []int{1}},
		"two copies of what may run again": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"a long value whole": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.longExecution("x", a, 1.25, 0)
		}, nil},
		"a long value whole of a server that reset behind it": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.longExecution("x", a, 1.1, 1.15)
		}, nil},
		"a long value with other bytes in it": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3).Garble("byte 7 of 9 is 0x00 and ought to be 0x41")
			st.longExecution("x", a, 1.25, 0)
		}, []int{1}},
		"cut, though its server gave it whole": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
		}, []int{1}},
		"cut, though its server went on": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 0)
		}, []int{1}},
		"cut, though its server broke off only later": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 1.5)
		}, []int{1}},
		"cut, for its server broke off": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 1.2)
		}, nil},
		"cut, for its server reset what it had given whole": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 1.2)
		}, nil},
		"cut, though it was another's server that broke off": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.longExecution("x", b, 0, 1.15).Made = 8
		}, []int{1}},
		"cut before it was known whose, and one of two broke off": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3).Begun = 0
			st.longExecution("x", a, 1.1, 0)
			st.longExecution("x", b, 0, 1.15).Made = 8
		}, nil},
		"cut, though its server said nothing long": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{1}},
		"cut, for what its server gave was spoilt": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.execution("x", a, 1.01, emulator.Spoilt)
		}, nil},
		"cut, for its router was killed": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1001.25, How: endKilled}}
		}, nil},
		"cut at its router's planned end": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.rec.Processes = []RouterProcess{{From: 999, Told: 1001, To: 1001.25, How: endAsked}}
		}, []int{1}},
		"left within it by its client": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Left, 1.3)
			st.longExecution("x", a, 0, 0)
		}, nil},
		"nothing more of it, though its server gave it whole": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Silent, 9)
			st.longExecution("x", a, 1.1, 0)
		}, []int{1}},
		"nothing more of it, for its server ceased": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Silent, 9)
			st.longExecution("x", a, 0, 1.1)
		}, nil},
		"a long write that came altered": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.execution("x", a, 1.01, emulator.Answered).Damaged = "9 bytes came of 10"
		}, []int{1}},
		"at-most-once, sent again": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Failed)
			st.execution("x", b, 1.02, emulator.Answered)
		}, []int{2}},
		"at-most-once, sent again after it was turned away": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.TurnedAway)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"at-most-once, declined though it may have run": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Declined, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, []int{2}},
		"at-most-once, terminated after it may have run": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Terminated, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, nil},
		"at-most-once, two effects of two tries": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Declined, 1.05)
			st.attempt("y", emulator.Finished, 1.3)
			st.execution("x", a, 1.01, emulator.Answered).Effect = true
			st.execution("y", b, 1.2, emulator.Answered).Effect = true
		}, []int{2, 2}},
		"numbered, within group and window": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"numbered, outside its group": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", far, 1.02, emulator.Answered)
		}, []int{2}},
		"numbered, after its window": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 4)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 3.1, emulator.Answered)
		}, []int{2}},
		"numbered in a narrow group, declined though it may have run": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Declined, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, []int{2}},
		"to a draining server within the grace": {"read", func(st *runRecord) {
			st.rec.Told[0] = []emulator.Told{{At: 1000.6, Server: "s-1", Mode: emulator.Draining}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"to a draining server after the grace": {"read", func(st *runRecord) {
			st.rec.Told[0] = []emulator.Told{{At: 1000.3, Server: "s-1", Mode: emulator.Draining}, {At: 1000.9, Server: "s-1", Mode: emulator.Gone}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{3}},
		"to one that was taken back": {"read", func(st *runRecord) {
			st.rec.Told[0] = []emulator.Told{{At: 1000.1, Server: "s-1", Mode: emulator.Draining}, {At: 1000.9, Server: "s-1", Mode: emulator.Ready}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"to one of which another router was told": {"read", func(st *runRecord) {
			st.rec.Told[1] = []emulator.Told{{At: 1000.1, Server: "s-1", Mode: emulator.Draining}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"a bound type where it may run": {"bound", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.TurnedAway)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"a bound type's further try elsewhere": {"bound", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.TurnedAway)
			st.execution("x", far, 1.02, emulator.Answered)
		}, []int{5}},
		"a cold server pushed over": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Fleet.Falls = []emulator.Fall{{At: 1002, Server: a}}
		}, []int{4}},
		"the origin stopped by misses at cold servers": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Fleet.Halts = []emulator.Halt{{At: 1002, ColdPart: 0.6}, {At: 1005, ColdPart: 0.4}}
		}, []int{4}},
		"a router ended by itself": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1003, How: endCrashed, Exit: 2}}
		}, []int{0}},
		"a router did not end in time": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Processes = []RouterProcess{{From: 999, Told: 1001, To: 1003, How: endKilled}}
		}, []int{0}},
	} {
		st := newRunRecord(c.kind)
		c.write(st)
		if got := st.brokenRules(); !slices.Equal(got, c.want) {
			t.Errorf("%s: rules broken %v, want %v", name, got, c.want)
		}
	}
}

// A breach while the lab itself was late is not held against the router: the run is void. Other breaches still count.
func TestBreachNearLabLatenessIsDoubtful(t *testing.T) {
	st := newRunRecord("read")
	st.attempt("x", emulator.Silent, 1.45)
	late := &emulator.Lateness{}
	for i := range 1000 {
		late.Times, late.At = append(late.Times, 0.0001), append(late.At, 1000+float64(i)*0.01)
	}
	late.Times[140] = 0.08
	st.rec.ClientsLate = late
	if v := Judge(st.s, st.rec); len(v.Breaches) > 0 || !strings.Contains(v.Void, "late by more than 25 ms") || v.Kept() {
		t.Errorf("near a late moment the verdict is %+v", v)
	}
	late.Times[140], late.Times[900] = 0, 0.08
	if v := Judge(st.s, st.rec); len(v.Breaches) != 1 || v.Void != "" {
		t.Errorf("far from a late moment the verdict is %+v", v)
	}
	for i := range 100 {
		late.Times[i] = 0.02
	}
	if v := Judge(st.s, st.rec); !strings.Contains(v.Void, "ran late") {
		t.Errorf("with a tenth of the looks late the verdict is %+v", v)
	}
	// A value that was cut was cut, however late the lab was; what hangs on times does not count beside it.
	st.partialAttempt("y", emulator.Cut, 1.3)
	st.longExecution("y", server("s-1", "z1"), 1.1, 0)
	if v := Judge(st.s, st.rec); v.Void != "" || len(v.Breaches) != 1 || v.Breaches[0].ID != "y" || len(v.Doubtful) != 1 {
		t.Errorf("with a value cut as well the verdict is %+v", v)
	}
}

// A broken rule tells the operation's course.
func TestBreachListsEventsOfRequest(t *testing.T) {
	st := newRunRecord("pay")
	st.attempt("x", emulator.Finished, 1.05)
	st.execution("x", server("s-1", "z"), 1.01, emulator.Failed)
	st.execution("x", server("s-2", "z"), 1.03, emulator.Answered)
	text := strings.Join(Judge(st.s, st.rec).Breaches[0].Course, "\n")
	for _, want := range []string{"due: operation 0, pay, key k", "reaches s-1", "at s-1: failed", "reaches s-2", "ends: finished"} {
		at := strings.Index(text, want)
		if at < 0 {
			t.Fatalf("%q is not in the course, or not in order:\n%s", want, text)
		}
		text = text[at:]
	}
}
