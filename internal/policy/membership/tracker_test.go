package membership

import (
	"slices"
	"testing"
)

// A server was withdrawn at time 100 by the list of generation 43. An entry that names it as ready is believed if it
// cannot be outdated, or once its service and the withdrawal had the time to catch up.
func TestReadyEntryAgainstWithdrawal(t *testing.T) {
	const withdrawnAt = 100.0
	for name, c := range map[string]struct {
		entry     ReadyEntry
		now       float64
		heldUntil float64 // 0: believed
	}{
		"another server": {ReadyEntry{ID: 2, Generation: 41, SourceSince: 100}, 100.1, 0},
		"a later list":   {ReadyEntry{ID: 1, Generation: 44, SourceSince: 100}, 100.1, 0},
		"the same list":  {ReadyEntry{ID: 1, Generation: 43, SourceSince: 100}, 100.1, 0},
		"an older list":  {ReadyEntry{ID: 1, Generation: 41, SourceSince: 100}, 100.1, 106},
		"an older list of a service followed later": {ReadyEntry{ID: 1, Generation: 41, SourceSince: 105}, 105.1, 109},
		"an older list, just before the time":       {ReadyEntry{ID: 1, Generation: 41, SourceSince: 100}, 105.99, 106},
		"an older list, at the time":                {ReadyEntry{ID: 1, Generation: 41, SourceSince: 100}, 106, 0},
		"an older list, the server started since": {
			ReadyEntry{ID: 1, Generation: 41, StartedAt: 101, SourceSince: 100}, 102, 0,
		},
		"an older list, the server started before": {
			ReadyEntry{ID: 1, Generation: 41, StartedAt: 99, SourceSince: 100}, 102, 106,
		},
		"numbered anew, long after the withdrawal":   {ReadyEntry{ID: 1, Generation: 1, SourceSince: 500}, 503.9, 504},
		"numbered anew, followed for the whole time": {ReadyEntry{ID: 1, Generation: 1, SourceSince: 500}, 504, 0},
	} {
		tracker := NewTracker()
		tracker.Withdraw(1, false, 43, withdrawnAt)
		got := tracker.Ready(c.entry, c.now)
		if want := (Verdict{Believed: c.heldUntil == 0, HeldUntil: c.heldUntil}); got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

// An agent that lags repeats its list, and another repeats the withdrawal: neither prolongs the time. What an older
// list withdraws as well does not make the withdrawal older.
func TestRepeatedListsDoNotProlongAWithdrawal(t *testing.T) {
	tracker := NewTracker()
	for i := range 50 {
		now := 100 + float64(i)/10
		tracker.Withdraw(1, false, 43+uint64(i), now)
		tracker.Withdraw(1, false, 7, now)
	}
	entry := ReadyEntry{ID: 1, Generation: 50, SourceSince: 100}
	if got := tracker.Ready(entry, 105); got.HeldUntil != 106 {
		t.Errorf("got %+v, want held until 106", got)
	}
	if got := tracker.Ready(entry, 106); !got.Believed {
		t.Errorf("got %+v, want believed", got)
	}
	if got := tracker.Ready(ReadyEntry{ID: 1, Generation: 1, SourceSince: 106}, 106.1); !got.Believed {
		t.Errorf("after it was believed: got %+v, want believed", got)
	}
}

// Removals are passed on to a successor while some list service may not know of them.
func TestRecentlyRemoved(t *testing.T) {
	tracker := NewTracker()
	tracker.Withdraw(3, true, 43, 100)
	tracker.Withdraw(1, true, 43, 102)
	tracker.Withdraw(2, false, 43, 102)
	if got := tracker.RecentlyRemoved(103); !slices.Equal(got, []uint64{1, 3}) {
		t.Errorf("got %v, want 1 and 3", got)
	}
	if got := tracker.RecentlyRemoved(106); !slices.Equal(got, []uint64{1}) {
		t.Errorf("got %v, want 1", got)
	}
}

// In a fleet whose servers are replaced all day, ever new ids are withdrawn: the memory is bounded.
func TestWithdrawalsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for id := range uint64(2 * maxWithdrawals) {
		tracker.Withdraw(id, true, id, float64(id))
	}
	if n := len(tracker.withdrawn); n > maxWithdrawals || n < maxWithdrawals/2 {
		t.Errorf("got %d withdrawals, want at most %d and no less than half of that", n, maxWithdrawals)
	}
	if tracker.Generation(2*maxWithdrawals-1) == 0 || tracker.Generation(0) != 0 {
		t.Error("the oldest withdrawals are kept instead of the latest")
	}
}
