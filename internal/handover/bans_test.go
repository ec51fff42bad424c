package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// opened gives a set and where its changes are told.
func opened(t *testing.T, path string) (*Bans, chan []string) {
	told := make(chan []string, 100)
	b, ids := OpenBans(path, func(ids []string) { told <- ids }, zerolog.Nop())
	t.Cleanup(b.Close)
	told <- ids
	return b, told
}

// comes waits until a set is told.
func comes(t *testing.T, told chan []string, want ...string) {
	t.Helper()
	last, late := []string(nil), time.After(3*time.Second)
	for {
		select {
		case last = <-told:
			if slices.Equal(last, want) {
				return
			}
		case <-late:
			t.Fatalf("told last: %q, want %q", last, want)
		}
	}
}

// What is called at one process holds at the other, whichever writes, and at one that starts later.
func TestTwoProcesses(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	a, toldA := opened(t, path)
	b, toldB := opened(t, path)
	a.Set("s-1", true)
	comes(t, toldB, "s-1")
	b.Set("s-2", true)
	b.Set("s-2", true)
	comes(t, toldA, "s-1", "s-2")
	_, toldC := opened(t, path)
	comes(t, toldC, "s-1", "s-2")
	b.Set("s-1", false)
	comes(t, toldA, "s-2")
	comes(t, toldC, "s-2")
	if left, _ := filepath.Glob(path + ".*"); len(left) != 1 { // the lock file
		t.Errorf("files left: %q", left)
	}
}

// Both call at once: none of what was called is lost.
func TestCallsAtOnce(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	done := make(chan bool)
	for p := range 2 {
		b, _ := OpenBans(path, func([]string) {}, zerolog.Nop())
		defer b.Close()
		go func() {
			for i := range 40 {
				b.Set(fmt.Sprint("s-", p, "-", i), true)
			}
			done <- true
		}()
	}
	<-done
	<-done
	_, told := opened(t, path)
	if ids := <-told; len(ids) != 80 {
		t.Errorf("%d are out, 80 were called out", len(ids))
	}
}

// Without a folder, with one that is gone, and with a file that is no list: calls hold here, and nothing fails.
func TestWithoutAFolder(t *testing.T) {
	gone := filepath.Join(t.TempDir(), "gone", "x")
	b, told := opened(t, gone)
	if err := b.Set("s-1", true); err == nil {
		t.Error("no error tells that it cannot be kept")
	}
	comes(t, told, "s-1")
	if Path("", "a", "out") != "" || Path("/nowhere", "a", "out") != "" {
		t.Error("a folder that is not there gives a path")
	}
	b, told = opened(t, "")
	if err := b.Set("s-1", true); err != nil {
		t.Error(err)
	}
	comes(t, told, "s-1")
	large := filepath.Join(t.TempDir(), "large")
	os.WriteFile(large, slices.Repeat([]byte("x\n"), fileBound), 0o600)
	b, told = opened(t, large)
	if ids := <-told; len(ids) != mostBans {
		t.Errorf("%d are out", len(ids))
	}
	if err := b.Set("s-1", true); err != ErrMany {
		t.Errorf("one more gets %v", err)
	}
}
