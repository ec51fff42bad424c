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

// receive returns the next value from a channel, or the zero value if there is none within 3 s.
func receive[T any](from chan T) (value T) {
	select {
	case value = <-from:
	case <-time.After(3 * time.Second):
	}
	return value
}

// registryPath returns the path of the file of a test's registry.
func registryPath(t *testing.T) string {
	return filepath.Join(t.TempDir(), "bendtrestle-17416036.out")
}

// openRegistry opens a registry, and returns it with a channel of the sets that it reports, each joined to one text.
// The first is the set that Open returned.
func openRegistry(t *testing.T, path string) (*Registry, chan string) {
	reported := make(chan string, 1000)
	registry, ids := Open(path, func(ids []string) { reported <- strings.Join(ids, " ") }, zerolog.Nop())
	t.Cleanup(registry.Close)
	reported <- strings.Join(ids, " ")
	return registry, reported
}

// farDeadline returns a deadline far longer than an update takes on a busy machine.
func farDeadline() time.Time { return time.Now().Add(time.Minute) }

// An update by one process reaches a concurrent process and one that starts later. Concurrent updates by two processes
// don't overwrite each other.
func TestUpdatesReachOtherProcesses(t *testing.T) {
	path := registryPath(t)
	first, reportedByFirst := openRegistry(t, path)
	second, reportedBySecond := openRegistry(t, path)
	waitFor := func(reported chan string, want string) {
		t.Helper()
		for got := "?"; got != want; {
			got = receive(reported)
			if got == "" && want != "" && len(reported) == 0 {
				t.Fatalf("set %q is not reported", want)
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
		t.Errorf("got %d disabled entries, want 81", len(ids))
	}
}

// Without a usable file, because there is no folder or the file is too large or another user's, Open succeeds and
// updates apply to this process, up to the limit on entries.
func TestUpdatesWithoutUsableFile(t *testing.T) {
	folder := t.TempDir()
	large := filepath.Join(folder, "large")
	os.WriteFile(large, slices.Repeat([]byte("x\n"), maxFileSize), 0o600)
	otherUsers := filepath.Join(folder, "theirs")
	os.WriteFile(otherUsers, []byte("s-2\n"), 0o600)
	if os.Chown(otherUsers, 65534, 65534) != nil {
		otherUsers = "" // this user must not change the owner
	}
	for _, c := range []struct {
		name, path, first string
		persisted         bool
		err               error
	}{
		{"no folder", "", "", true, nil},
		{"a missing folder", filepath.Join(folder, "gone", "x"), "", false, nil},
		{"another user's file", otherUsers, "", true, nil},
		{"a file that is too large", large, strings.Repeat("x ", maxDisabled-1) + "x", false, ErrTooMany},
	} {
		registry, reported := openRegistry(t, c.path)
		if first := receive(reported); first != c.first {
			t.Errorf("%s: got unexpected first set %.20q", c.name, first)
		}
		err := registry.Update("s-1", true, farDeadline())
		if c.persisted != (err == nil) || c.err != nil && err != c.err {
			t.Errorf("%s: got unexpected result %v from an update", c.name, err)
		}
		if c.err == nil && receive(reported) != "s-1" {
			t.Errorf("%s: the update is not reported as applied", c.name)
		}
	}
}

// mustLock locks one of a registry's lock files, as another process would.
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

// fileEntries returns the entries of a registry's file, joined to one text.
func fileEntries(path string) string {
	text, _ := os.ReadFile(path)
	return strings.Join(strings.Fields(string(text)), " ")
}

// If an update can't get the lock, because another process writes or is next in the queue, or the lock file can't be
// opened, it must not revert what the other process has written. A server to be disabled is then disabled in this
// process only, one to be enabled stays disabled, and the error says so. The same updates succeed later.
func TestUpdateWithoutLockDoesNotChangeFile(t *testing.T) {
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
		{"the lock file cannot be opened", func(path string) func() {
			os.Mkdir(path+".lock", 0o700)
			return func() { os.Remove(path + ".lock") }
		}, unix.EISDIR},
	} {
		path := registryPath(t)
		os.WriteFile(path, []byte("s-1\ns-2\n"), 0o600)
		registry, _ := openRegistry(t, path)
		unblock := c.block(path)
		os.WriteFile(path, []byte("s-1\ns-2\ns-3\n"), 0o600) // written by the other process
		if err := registry.Update("s-4", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, c.reason) {
			t.Errorf("%s: got error %v from disabling, want ErrLocalOnly with the case's reason", c.name, err)
		}
		if err := registry.Update("s-1", false, time.Now()); !errors.Is(err, ErrUnchanged) || !errors.Is(err, c.reason) {
			t.Errorf("%s: got error %v from enabling, want ErrUnchanged with the case's reason", c.name, err)
		}
		if got := fileEntries(path); got != "s-1 s-2 s-3" {
			t.Errorf("%s: got file entries %q, want s-1 s-2 s-3", c.name, got)
		}
		if ids := registry.IDs(); !slices.Contains(ids, "s-1") || !slices.Contains(ids, "s-4") {
			t.Errorf("%s: got entries %q in this process, want s-1 and s-4 among them", c.name, ids)
		}
		unblock()
		for id, disabled := range map[string]bool{"s-4": true, "s-1": false} {
			if err := registry.Update(id, disabled, farDeadline()); err != nil {
				t.Errorf("%s: got error %v from the repeated update", c.name, err)
			}
		}
		if got := fileEntries(path); got != "s-2 s-3 s-4" || strings.Join(registry.IDs(), " ") != got {
			t.Errorf("%s: got file entries %q and %q in this process, want s-2 s-3 s-4", c.name, got, registry.IDs())
		}
	}
}

// An update that waits for the lock while another process writes is applied to what that process wrote.
func TestUpdateThatWaitsForLockKeepsOtherChanges(t *testing.T) {
	path := registryPath(t)
	registry, _ := openRegistry(t, path)
	lock := mustLock(t, path+".lock")
	done := make(chan error, 1)
	go func() { done <- registry.Update("s-2", true, farDeadline()) }()
	queue, err := os.OpenFile(path+".turn", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	// Wait until the update holds the queue file.
	for len(done) == 0 && unix.Flock(int(queue.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
		unix.Flock(int(queue.Fd()), unix.LOCK_UN)
		time.Sleep(time.Millisecond)
	}
	os.WriteFile(path, []byte("s-1\n"), 0o600)
	lock.Close()
	if err := <-done; err != nil || fileEntries(path) != "s-1 s-2" {
		t.Errorf("got error %v and file entries %q, want no error and s-1 s-2", err, fileEntries(path))
	}
}

// If the file can't be written or read, or has too many entries, an update changes nothing that was persisted. An entry
// disabled in this process only stays disabled regardless of later writes by another process, until an update enables
// it.
func TestUpdateThatCannotBePersisted(t *testing.T) {
	// The name of the lock file is short enough for the file system, that of the temporary file is not.
	long := filepath.Join(t.TempDir(), strings.Repeat("x", 250))
	os.WriteFile(long, []byte("s-1\n"), 0o600)
	registry, reported := openRegistry(t, long)
	receive(reported)
	err := registry.Update("s-2", true, farDeadline())
	if !errors.Is(err, ErrLocalOnly) || receive(reported) != "s-1 s-2" || fileEntries(long) != "s-1" {
		t.Errorf("got error %v from disabling and file entries %q, want ErrLocalOnly and s-1", err, fileEntries(long))
	}
	err = registry.Update("s-1", false, farDeadline())
	if !errors.Is(err, ErrUnchanged) || strings.Join(registry.IDs(), " ") != "s-1 s-2" {
		t.Errorf("got error %v from enabling and entries %q, want ErrUnchanged and s-1 s-2", err, registry.IDs())
	}
	os.WriteFile(long, []byte("s-1\ns-3\n"), 0o600)
	for got := ""; got != "s-1 s-3 s-2"; {
		if got = receive(reported); got == "" {
			t.Fatalf("got entries %q, want s-1 s-3 s-2", registry.IDs())
		}
	}
	err = registry.Update("s-2", false, farDeadline())
	if err != nil || strings.Join(registry.IDs(), " ") != "s-1 s-3" {
		t.Errorf("got error %v from enabling a local entry and entries %q, want no error and s-1 s-3", err, registry.IDs())
	}

	folder := filepath.Join(t.TempDir(), "folder") // a folder can be opened, but not read
	os.Mkdir(folder, 0o700)
	registry, _ = openRegistry(t, folder)
	err = registry.Update("s-1", true, farDeadline())
	if !errors.Is(err, ErrLocalOnly) || !errors.Is(err, unix.EISDIR) {
		t.Errorf("unreadable file: got error %v, want ErrLocalOnly with EISDIR", err)
	}

	overfull := filepath.Join(t.TempDir(), "many")
	os.WriteFile(overfull, slices.Repeat([]byte("x\n"), maxDisabled+1), 0o600)
	registry, _ = openRegistry(t, overfull)
	err = registry.Update("x", false, farDeadline())
	if err != ErrTooMany || strings.Count(fileEntries(overfull), "x") != maxDisabled+1 {
		t.Errorf("too many entries: got error %v and %d entries left, want ErrTooMany and 1025",
			err, strings.Count(fileEntries(overfull), "x"))
	}
}

// A hanging disk does not block callers, and a write that continues after it hung does not revert other changes.
func TestHangingDiskDoesNotBlockUpdates(t *testing.T) {
	path := registryPath(t)
	registry, _ := Open(path, func([]string) {}, zerolog.Nop())
	registry.Close()
	if err := unix.Mkfifo(path, 0o600); err != nil { // opening it waits for a writer
		t.Fatal(err)
	}
	if err := registry.Update("s-1", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrPending) {
		t.Errorf("got error %v from the first update, want ErrLocalOnly with ErrPending", err)
	}
	if err := registry.Update("s-2", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrLockTimeout) {
		t.Errorf("got error %v from the second update, want ErrLocalOnly with ErrLockTimeout", err)
	}
	if err := os.WriteFile(path, []byte("s-3\n"), 0); err != nil {
		t.Fatal(err)
	}
	err := registry.Update("s-2", true, farDeadline())
	if err != nil || fileEntries(path) != "s-3 s-1 s-2" || strings.Join(registry.IDs(), " ") != fileEntries(path) {
		t.Errorf("got error %v, file entries %q and entries %q, want no error and s-3 s-1 s-2 in both",
			err, fileEntries(path), registry.IDs())
	}
}

// A start does not wait longer than openTimeout for a hanging disk. The set applies as soon as it could be read.
func TestHangingDiskDoesNotBlockStart(t *testing.T) {
	path := registryPath(t)
	if err := unix.Mkfifo(path, 0o600); err != nil { // opening it waits for a writer
		t.Fatal(err)
	}
	registry, reported := openRegistry(t, path)
	if first := <-reported; first != "" {
		t.Errorf("got first set %q, want an empty one", first)
	}
	if err := os.WriteFile(path, []byte("s-1\n"), 0); err != nil {
		t.Fatal(err)
	}
	if got := receive(reported); got != "s-1" || strings.Join(registry.IDs(), " ") != got {
		t.Errorf("got entries %q and reported set %q, want s-1", registry.IDs(), got)
	}
	if file, err := os.OpenFile(path, os.O_RDWR, 0); err == nil { // unblocks a waiting poll
		os.Remove(path)
		file.Close()
	}
}

// A changed file is read even if it has the inode number and modification time of the previous one. File systems assign
// the same values to files that replace each other within a short time.
func TestFileWithSameInodeAndTimeIsRead(t *testing.T) {
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
	registry.mu.Lock() // no poll between writing the text and setting the time
	writeInPlace("s-2\n")
	registry.mu.Unlock()
	if got := receive(reported); got != "s-2" {
		t.Errorf("got set %q, want s-2", got)
	}
}
