package experiment

import (
	"slices"
	"strings"
	"testing"

	"bendtrestle/internal/emulator"
)

// Each kind of breach is reported with its rule. Similar records that break no rule are not reported.
func TestJudgeReportsBreaches(t *testing.T) {
	a, b, far := server("s-1", "z1"), server("s-2", "z1"), server("s-3", "z2")
	for name, c := range map[string]struct {
		kind  string
		write func(st *runRecord)
		want  []int
	}{
		"finished in time": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"a made-up answer": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered).AnswerSum = 8
		}, []int{1}},
		"finished with an invalid value": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.MalformedAnswer)
		}, []int{1}},
		"no answer": {"read", func(st *runRecord) { st.attempt("x", emulator.NoAnswer, 1.45) }, []int{1}},
		"no answer, router killed": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoAnswer, 1.45)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1001.2, How: endKilled}}
		}, nil},
		"no answer, other router killed": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoAnswer, 1.45)
			st.rec.Processes = []RouterProcess{{Router: 1, From: 999, To: 1001.2, How: endKilled}}
		}, []int{1}},
		"no answer, router shut down gracefully": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoAnswer, 1.45)
			st.rec.Processes = []RouterProcess{{From: 999, Told: 1001, To: 1001.2, How: endAsked}}
		}, []int{1}},
		"connection lost after an execution": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Lost, 1.2)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{1}},
		"connection lost before any execution": {"read", func(st *runRecord) { st.attempt("x", emulator.Lost, 1.2) }, nil},
		"resent by the client, first copy not executed": {"read", func(st *runRecord) {
			x := st.attempt("x", emulator.Finished, 1.2)
			x.Resent, x.ResentAt = true, 1001.1
			st.execution("x", a, 1.15, emulator.Answered)
		}, nil},
		"resent by the client, first copy executed": {"read", func(st *runRecord) {
			x := st.attempt("x", emulator.Finished, 1.2)
			x.Resent, x.ResentAt = true, 1001.1
			st.execution("x", a, 1.05, emulator.Cancelled)
			st.execution("x", a, 1.15, emulator.Answered)
		}, []int{1}},
		"sent to a server after its answer": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Rejected, 1.05)
			st.execution("x", a, 1.2, emulator.Cancelled)
		}, []int{1}},
		"on its way to a server when answered": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Rejected, 1.05)
			st.execution("x", a, 1.08, emulator.Cancelled)
		}, nil},
		"answered twice": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
			st.rec.Clients.DuplicateAnswers = []string{"x"}
		}, []int{1}},
		"two copies of an idempotent request": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"a long value whole": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.longExecution("x", a, 1.25, 0)
		}, nil},
		"a long value whole, then a reset by its server": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.longExecution("x", a, 1.1, 1.15)
		}, nil},
		"a long value with altered bytes": {"read", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3).SetMalformed("byte 7 of 9 is 0x00 and ought to be 0x41")
			st.longExecution("x", a, 1.25, 0)
		}, []int{1}},
		"cut, server sent it whole": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
		}, []int{1}},
		"cut, server was still sending": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 0)
		}, []int{1}},
		"cut, server broke off later": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 1.5)
		}, []int{1}},
		"cut, server broke off before": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 0, 1.2)
		}, nil},
		"cut, server sent it whole and reset the connection": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 1.2)
		}, nil},
		"cut, server of another value broke off": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.longExecution("x", b, 0, 1.15).AnswerSum = 8
		}, []int{1}},
		"cut within its head, one of two servers broke off": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3).ValueSum = 0
			st.longExecution("x", a, 1.1, 0)
			st.longExecution("x", b, 0, 1.15).AnswerSum = 8
		}, nil},
		"cut, server made no long value": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{1}},
		"cut, server sent an invalid answer": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.execution("x", a, 1.01, emulator.MalformedAnswer)
		}, nil},
		"cut, router killed": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1001.25, How: endKilled}}
		}, nil},
		"cut, router shut down gracefully": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.Cut, 1.3)
			st.longExecution("x", a, 1.1, 0)
			st.rec.Processes = []RouterProcess{{From: 999, Told: 1001, To: 1001.25, How: endAsked}}
		}, []int{1}},
		"long value abandoned by its client": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.ClientDisconnected, 1.3)
			st.longExecution("x", a, 0, 0)
		}, nil},
		"long value stopped, server sent it whole": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.NoAnswer, 9)
			st.longExecution("x", a, 1.1, 0)
		}, []int{1}},
		"long value stopped, server stopped sending": {"read", func(st *runRecord) {
			st.partialAttempt("x", emulator.NoAnswer, 9)
			st.longExecution("x", a, 0, 1.1)
		}, nil},
		"a long write altered on its way": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.3)
			st.execution("x", a, 1.01, emulator.Answered).Damaged = "9 bytes came of 10"
		}, []int{1}},
		"at-most-once, sent again": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Failed)
			st.execution("x", b, 1.02, emulator.Answered)
		}, []int{2}},
		"at-most-once, sent again after it was rejected": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.RejectedExecution)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"at-most-once, declined though it may have run": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Rejected, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, []int{2}},
		"at-most-once, terminated after it may have run": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.FailedAttempt, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, nil},
		"at-most-once, two effects of two attempts": {"pay", func(st *runRecord) {
			st.attempt("x", emulator.Rejected, 1.05)
			st.attempt("y", emulator.Finished, 1.3)
			st.execution("x", a, 1.01, emulator.Answered).Effect = true
			st.execution("y", b, 1.2, emulator.Answered).Effect = true
		}, []int{2, 2}},
		"numbered, within scope and window": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"numbered, outside its scope": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", far, 1.02, emulator.Answered)
		}, []int{2}},
		"numbered, after its window": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 4)
			st.execution("x", a, 1.01, emulator.Cancelled)
			st.execution("x", b, 3.1, emulator.Answered)
		}, []int{2}},
		"numbered with a narrow scope, declined though it may have run": {"put", func(st *runRecord) {
			st.attempt("x", emulator.Rejected, 1.05)
			st.execution("x", a, 1.01, emulator.Cancelled)
		}, []int{2}},
		"to a draining server within the grace": {"read", func(st *runRecord) {
			st.rec.Reports[0] = []emulator.Report{{At: 1000.6, Server: "s-1", Mode: emulator.Draining}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"to a draining server after the grace": {"read", func(st *runRecord) {
			st.rec.Reports[0] = []emulator.Report{{At: 1000.3, Server: "s-1", Mode: emulator.Draining}, {At: 1000.9, Server: "s-1", Mode: emulator.Gone}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, []int{3}},
		"to a server that is ready again": {"read", func(st *runRecord) {
			st.rec.Reports[0] = []emulator.Report{{At: 1000.1, Server: "s-1", Mode: emulator.Draining}, {At: 1000.9, Server: "s-1", Mode: emulator.Ready}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"to a server that only another router's list shows as draining": {"read", func(st *runRecord) {
			st.rec.Reports[1] = []emulator.Report{{At: 1000.1, Server: "s-1", Mode: emulator.Draining}}
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.Answered)
		}, nil},
		"a bound type in its zone": {"bound", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.RejectedExecution)
			st.execution("x", b, 1.02, emulator.Answered)
		}, nil},
		"a bound type's retry outside its zone": {"bound", func(st *runRecord) {
			st.attempt("x", emulator.Finished, 1.05)
			st.execution("x", a, 1.01, emulator.RejectedExecution)
			st.execution("x", far, 1.02, emulator.Answered)
		}, []int{5}},
		"a cold server failed under load": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Fleet.Collapses = []emulator.Collapse{{At: 1002, Server: a}}
		}, []int{4}},
		"the origin halted by misses at cold servers": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Fleet.Halts = []emulator.Halt{{At: 1002, ColdFraction: 0.6}, {At: 1005, ColdFraction: 0.4}}
		}, []int{4}},
		"a router crashed": {"read", func(st *runRecord) {
			st.attempt("x", emulator.NoConnection, 1.05)
			st.rec.Processes = []RouterProcess{{From: 999, To: 1003, How: endCrashed, Exit: 2}}
		}, []int{0}},
		"a router did not exit in time": {"read", func(st *runRecord) {
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

// A breach near a time at which the lab itself ran late is doubtful, and a run with only doubtful breaches is void.
// Other breaches still count.
func TestBreachNearLabLatenessIsDoubtful(t *testing.T) {
	st := newRunRecord("read")
	st.attempt("x", emulator.NoAnswer, 1.45)
	late := &emulator.Lateness{}
	for i := range 1000 {
		late.Times, late.At = append(late.Times, 0.0001), append(late.At, 1000+float64(i)*0.01)
	}
	late.Times[140] = 0.08
	st.rec.ClientsLate = late
	if v := CheckRules(st.s, st.rec); len(v.Breaches) > 0 || !strings.Contains(v.Void, "late by more than 25 ms") || v.Kept() {
		t.Errorf("near a late sample: got verdict %+v, want void", v)
	}
	late.Times[140], late.Times[900] = 0, 0.08
	if v := CheckRules(st.s, st.rec); len(v.Breaches) != 1 || v.Void != "" {
		t.Errorf("far from a late sample: got verdict %+v, want one breach", v)
	}
	for i := range 100 {
		late.Times[i] = 0.02
	}
	if v := CheckRules(st.s, st.rec); !strings.Contains(v.Void, "ran late") {
		t.Errorf("with a tenth of the samples late: got verdict %+v, want void because the lab ran late", v)
	}
	// A cut value is a certain breach however late the lab ran. Breaches that depend on times stay doubtful beside it.
	st.partialAttempt("y", emulator.Cut, 1.3)
	st.longExecution("y", server("s-1", "z1"), 1.1, 0)
	if v := CheckRules(st.s, st.rec); v.Void != "" || len(v.Breaches) != 1 || v.Breaches[0].ID != "y" || len(v.Doubtful) != 1 {
		t.Errorf("with a cut value as well: got verdict %+v, want its breach alone, and one doubtful", v)
	}
}

// A breach lists the events of its request in order of time.
func TestBreachListsEventsOfRequest(t *testing.T) {
	st := newRunRecord("pay")
	st.attempt("x", emulator.Finished, 1.05)
	st.execution("x", server("s-1", "z"), 1.01, emulator.Failed)
	st.execution("x", server("s-2", "z"), 1.03, emulator.Answered)
	text := strings.Join(CheckRules(st.s, st.rec).Breaches[0].Course, "\n")
	for _, want := range []string{"due: request 0, pay, key k", "reaches s-1", "at s-1: failed", "reaches s-2", "ends: finished"} {
		at := strings.Index(text, want)
		if at < 0 {
			t.Fatalf("want %q next in the events, got:\n%s", want, text)
		}
		text = text[at:]
	}
}
