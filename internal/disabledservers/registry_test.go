package disabledservers

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// receive returns the receive value, or the zero value if none comes.
func receive[T any](from chan T) (value T) {
	select {
	case value = <-from:
	case <-time.After(3 * time.Second):
	}
	return value
}

// registryPath is where a test's registry has its file.
func registryPath(t *testing.T) string {
	return filepath.Join(t.TempDir(), "bendtrestle-17416036.out")
}

// openRegistry returns a registry, and the sets that it reports, each as one text; the first is what Open returned.
func openRegistry(t *testing.T, path string) (*Registry, chan string) {
	reported := make(chan string, 1000)
	registry, ids := Open(path, func(ids []string) { reported <- strings.Join(ids, " ") }, zerolog.Nop())
	t.Cleanup(registry.Close)
	reported <- strings.Join(ids, " ")
	return registry, reported
}

// farDeadline is a deadline far beyond what a busy machine needs.
func farDeadline() time.Time { return time.Now().Add(time.Minute) }

// An update of one process reaches the other, whichever writes, and one that starts later; of concurrent updates none
// is lost.
func TestRegistryOfTwoProcesses(t *testing.T) {
	path := registryPath(t)
	first, reportedByFirst := openRegistry(t, path)
	second, reportedBySecond := openRegistry(t, path)
	waitFor := func(reported chan string, want string) {
		t.Helper()
		for got := "?"; got != want; {
			got = receive(reported)
			if got == "" && want != "" && len(reported) == 0 {
				t.Fatalf("%q does not come", want)
			}
		}
	}
	receive(reportedBySecond)
	first.Update("s-1", true, farDeadline())
	waitFor(reportedBySecond, "s-1")
	second.Update("s-2", true, farDeadline())
	second.Update("s-2", true, farDeadline())
	waitFor(reportedByFirst, "s-1 s-2")
	second.Update("s-1", false, farDeadline())
	waitFor(reportedByFirst, "s-2")
	done := make(chan bool)
	for i, registry := range []*Registry{first, second} {
		go func() {
			for j := range 40 {
				if err := registry.Update(fmt.Sprint("s-", i, "-", j), true, farDeadline()); err != nil {
					t.Error(err)
				}
			}
			done <- true
		}()
	}
	<-done
	<-done
	_, reported := openRegistry(t, path)
	if ids := strings.Fields(<-reported); len(ids) != 81 {
		t.Errorf("%d are disabled, want 81", len(ids))
	}
}

// Without a folder, in one that is gone, with a file that is no list or another user's: updates hold in this process,
// up to the bound, and nothing fails.
func TestRegistryWithoutAFile(t *testing.T) {
	folder := t.TempDir()
	large := filepath.Join(folder, "large")
	os.WriteFile(large, slices.Repeat([]byte("x\n"), maxFileSize), 0o600)
	otherUsers := filepath.Join(folder, "theirs")
	os.WriteFile(otherUsers, []byte("s-2\n"), 0o600)
	if os.Chown(otherUsers, 65534, 65534) != nil {
		otherUsers = "" // this user may not try it
	}
	for _, c := range []struct {
		name, path, first string
		persisted         bool
		err               error
	}{
		{"no folder", "", "", true, nil},
		{"a folder that is gone", filepath.Join(folder, "gone", "x"), "", false, nil},
		{"another user's file", otherUsers, "", true, nil},
		{"no list", large, strings.Repeat("x ", maxDisabled-1) + "x", false, ErrTooMany},
	} {
		registry, reported := openRegistry(t, c.path)
		if first := receive(reported); first != c.first {
			t.Errorf("%s: at first %.20q are disabled", c.name, first)
		}
		err := registry.Update("s-1", true, farDeadline())
		if c.persisted != (err == nil) || c.err != nil && err != c.err {
			t.Errorf("%s: an update gets %v", c.name, err)
		}
		if c.err == nil && receive(reported) != "s-1" {
			t.Errorf("%s: the update does not hold", c.name)
		}
	}
}

// mustLock locks one of a registry's lock files, as another process does.
func mustLock(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	}
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// fileEntries returns the entries of a registry's file, as one text.
func fileEntries(path string) string {
	text, _ := os.ReadFile(path)
	return strings.Join(strings.Fields(string(text)), " ")
}

// While another process writes, or waits to and is next, or a lock cannot be had, what it has written stays: a server
// that is to be disabled is so in this process only and the caller is told so, one that is to be enabled stays
// disabled. Repeated later, all is persisted.
func TestUpdateWithoutTheLockUndoesNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		block  func(path string) (unblock func())
		reason error
	}{
		{"another process writes", func(path string) func() {
			lock := mustLock(t, path+".lock")
			return func() { lock.Close() }
		}, ErrLockTimeout},
		{"another process waits", func(path string) func() {
			queue := mustLock(t, path+".turn")
			return func() { queue.Close() }
		}, ErrLockTimeout},
		{"no lock file", func(path string) func() {
			os.Mkdir(path+".lock", 0o700)
			return func() { os.Remove(path + ".lock") }
		}, unix.EISDIR},
	} {
		path := registryPath(t)
		os.WriteFile(path, []byte("s-1\ns-2\n"), 0o600)
		registry, _ := openRegistry(t, path)
		unblock := c.block(path)
		os.WriteFile(path, []byte("s-1\ns-2\ns-3\n"), 0o600) // what the other process writes now
		if err := registry.Update("s-4", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, c.reason) {
			t.Errorf("%s: disabling gets %v", c.name, err)
		}
		if err := registry.Update("s-1", false, time.Now()); !errors.Is(err, ErrUnchanged) || !errors.Is(err, c.reason) {
			t.Errorf("%s: enabling gets %v", c.name, err)
		}
		if got := fileEntries(path); got != "s-1 s-2 s-3" {
			t.Errorf("%s: the file holds %q", c.name, got)
		}
		if ids := registry.IDs(); !slices.Contains(ids, "s-1") || !slices.Contains(ids, "s-4") {
			t.Errorf("%s: %q are disabled here", c.name, ids)
		}
		unblock()
		for id, disabled := range map[string]bool{"s-4": true, "s-1": false} {
			if err := registry.Update(id, disabled, farDeadline()); err != nil {
				t.Errorf("%s: repeated it gets %v", c.name, err)
			}
		}
		if got := fileEntries(path); got != "s-2 s-3 s-4" || strings.Join(registry.IDs(), " ") != got {
			t.Errorf("%s: the file holds %q then, %q are disabled here", c.name, got, registry.IDs())
		}
	}
}

// An update whose lock is released while it waits is written behind what the other process wrote.
func TestLockReleasedWhileAnUpdateWaits(t *testing.T) {
	path := registryPath(t)
	registry, _ := openRegistry(t, path)
	lock := mustLock(t, path+".lock")
	done := make(chan error, 1)
	go func() { done <- registry.Update("s-2", true, farDeadline()) }()
	queue, err := os.OpenFile(path+".turn", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	// Until the update holds the queue.
	for len(done) == 0 && unix.Flock(int(queue.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
		unix.Flock(int(queue.Fd()), unix.LOCK_UN)
		time.Sleep(time.Millisecond)
	}
	os.WriteFile(path, []byte("s-1\n"), 0o600)
	lock.Close()
	if err := <-done; err != nil || fileEntries(path) != "s-1 s-2" {
		t.Errorf("it gets %v, and the file holds %q", err, fileEntries(path))
	}
}

// What the disk does not take, or returns as no list, changes nothing that was persisted. What is disabled in this
// process only stays so whatever the other process writes, until it is updated again, and can be enabled again.
func TestUpdateThatCannotBePersisted(t *testing.T) {
	// Its lock file has a name, that of its next version would be too long.
	long := filepath.Join(t.TempDir(), strings.Repeat("x", 250))
	os.WriteFile(long, []byte("s-1\n"), 0o600)
	registry, reported := openRegistry(t, long)
	receive(reported)
	err := registry.Update("s-2", true, farDeadline())
	if !errors.Is(err, ErrLocalOnly) || receive(reported) != "s-1 s-2" || fileEntries(long) != "s-1" {
		t.Errorf("disabling gets %v, and the file holds %q", err, fileEntries(long))
	}
	err = registry.Update("s-1", false, farDeadline())
	if !errors.Is(err, ErrUnchanged) || strings.Join(registry.IDs(), " ") != "s-1 s-2" {
		t.Errorf("enabling gets %v, and %q are disabled", err, registry.IDs())
	}
	os.WriteFile(long, []byte("s-1\ns-3\n"), 0o600)
	for got := ""; got != "s-1 s-3 s-2"; {
		if got = receive(reported); got == "" {
			t.Fatalf("%q are disabled", registry.IDs())
		}
	}
	err = registry.Update("s-2", false, farDeadline())
	if err != nil || strings.Join(registry.IDs(), " ") != "s-1 s-3" {
		t.Errorf("enabling what is disabled here only gets %v, and %q are disabled", err, registry.IDs())
	}

	folder := filepath.Join(t.TempDir(), "folder") // can be opened, but not read
	os.Mkdir(folder, 0o700)
	registry, _ = openRegistry(t, folder)
	err = registry.Update("s-1", true, farDeadline())
	if !errors.Is(err, ErrLocalOnly) || !errors.Is(err, unix.EISDIR) {
		t.Errorf("with a file that cannot be read it gets %v", err)
	}

	overfull := filepath.Join(t.TempDir(), "many")
	os.WriteFile(overfull, slices.Repeat([]byte("x\n"), maxDisabled+1), 0o600)
	registry, _ = openRegistry(t, overfull)
	err = registry.Update("x", false, farDeadline())
	if err != ErrTooMany || strings.Count(fileEntries(overfull), "x") != maxDisabled+1 {
		t.Errorf("with more than the bound enabling gets %v, and %d are left", err, strings.Count(fileEntries(overfull), "x"))
	}
}

// A disk that hangs holds no caller, and an update that hangs undoes nothing when it goes on.
func TestDiskThatHangs(t *testing.T) {
	path := registryPath(t)
	registry, _ := Open(path, func([]string) {}, zerolog.Nop())
	registry.Close()
	if err := unix.Mkfifo(path, 0o600); err != nil { // opening it waits for a writer
		t.Fatal(err)
	}
	if err := registry.Update("s-1", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrPending) {
		t.Errorf("disabling gets %v", err)
	}
	if err := registry.Update("s-2", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrLockTimeout) {
		t.Errorf("the next update gets %v", err)
	}
	if err := os.WriteFile(path, []byte("s-3\n"), 0); err != nil {
		t.Fatal(err)
	}
	err := registry.Update("s-2", true, farDeadline())
	if err != nil || fileEntries(path) != "s-3 s-1 s-2" || strings.Join(registry.IDs(), " ") != fileEntries(path) {
		t.Errorf("then it gets %v, the file holds %q, and %q are disabled", err, fileEntries(path), registry.IDs())
	}
}

// A start does not wait for a disk that hangs for long; what it returns counts as soon as it does.
func TestDiskThatHangsAtTheStart(t *testing.T) {
	path := registryPath(t)
	if err := unix.Mkfifo(path, 0o600); err != nil { // opening it waits for a writer
		t.Fatal(err)
	}
	registry, reported := openRegistry(t, path)
	if first := <-reported; first != "" {
		t.Errorf("at first %q are disabled", first)
	}
	if err := os.WriteFile(path, []byte("s-1\n"), 0); err != nil {
		t.Fatal(err)
	}
	if got := receive(reported); got != "s-1" || strings.Join(registry.IDs(), " ") != got {
		t.Errorf("then %q are disabled, %q was reported", registry.IDs(), got)
	}
	if file, err := os.OpenFile(path, os.O_RDWR, 0); err == nil { // no poll is to wait any more
		os.Remove(path)
		file.Close()
	}
}

// A file that has the inode number and the time of the one before, as file systems give them to files that follow one
// another at once, is read.
func TestFileWithTheInodeAndTimeOfTheOneBefore(t *testing.T) {
	path := registryPath(t)
	modified := time.Unix(1e9, 0)
	writeInPlace := func(text string) {
		file, _ := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
		file.WriteString(text)
		file.Close()
		os.Chtimes(path, modified, modified)
	}
	writeInPlace("s-1\n")
	registry, reported := openRegistry(t, path)
	receive(reported)
	registry.mu.Lock() // no poll between the bytes and the time
	writeInPlace("s-2\n")
	registry.mu.Unlock()
	if got := receive(reported); got != "s-2" {
		t.Errorf("it takes %q", got)
	}
}
