package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func basePath(t *testing.T) string { return filepath.Join(t.TempDir(), "r") }

func open(base string) *Store { return Open(base, "r", zerolog.Nop()) }

// The next process reads the entry that was put, and an entry of a lower generation doesn't replace it.
func TestNewestGenerationIsKept(t *testing.T) {
	base := basePath(t)
	store := open(base)
	store.Put("rate", Entry{Generation: 7, StoredAt: 5, Body: []byte("seven")})
	store.Put("rate", Entry{Generation: 6, StoredAt: 9, Body: []byte("six")})
	store.Close(5 * time.Second)
	entry, found := open(base).Get("rate")
	if !found || string(entry.Body) != "seven" || entry.StoredAt != 5 {
		t.Errorf("got %+v, %t", entry, found)
	}
}

// If a copy is truncated or corrupted at any byte, is of another program, a newer build or another router, the start
// succeeds with the other copy, and the unusable copy is renamed.
func TestUnusableCopyIsSetAside(t *testing.T) {
	base := basePath(t)
	store := open(base)
	encoded := func(owner string, number uint64, entry Entry) []byte {
		data, err := encode(content{Owner: owner, Number: number, Entries: map[string]Entry{"k": entry}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	old := encoded("r", 2, Entry{Generation: 1, Body: []byte("old")})
	newer := encoded("r", 3, Entry{Generation: 2, Body: []byte("new")})
	otherRouters := encoded("q", 9, Entry{Generation: 9, Body: []byte("theirs")})
	store.Close(time.Second)
	unusable := [][]byte{
		otherRouters,
		[]byte("# a file"),
		nil,
		append([]byte(magic), 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
	}
	for i := range newer {
		flipped := append([]byte(nil), newer...)
		flipped[i] ^= 0x10
		unusable = append(unusable, newer[:i], flipped)
	}
	for i, data := range unusable {
		os.WriteFile(store.copyPath(0), old, 0o600)
		os.WriteFile(store.copyPath(1), data, 0o600)
		next := open(base)
		if entry, _ := next.Get("k"); string(entry.Body) != "old" || next.Stats().SetAside != 1 {
			t.Fatalf("case %d: got entry %q and %d copies set aside, want \"old\" and 1", i, entry.Body, next.Stats().SetAside)
		}
		if _, err := os.Stat(store.copyPath(1) + unusableEnding); err != nil {
			t.Fatal(err)
		}
		next.Close(time.Second)
	}
	os.WriteFile(store.copyPath(1), newer, 0o600)
	if entry, _ := open(base).Get("k"); string(entry.Body) != "new" {
		t.Errorf("got entry %q, want that of the newer copy", entry.Body)
	}
}

// A caller can distinguish by type why a copy cannot be used and why an entry was rejected.
func TestErrorsAreTyped(t *testing.T) {
	data, err := encode(content{Owner: "r", Number: 2, Entries: map[string]Entry{}})
	if err != nil {
		t.Fatal(err)
	}
	newer := append([]byte(nil), data...)
	newer[versionOffset+1] = 9
	_, err = decode(newer, "r")
	var version *VersionError
	if !errors.As(err, &version) || version.Version != 9 || version.Newest != formatVersion {
		t.Errorf("copy of a newer build: got error %v, want a VersionError", err)
	}
	_, err = decode(data[:len(data)-1], "r")
	var damaged *DamagedError
	if !errors.As(err, &damaged) {
		t.Errorf("truncated copy: got error %v, want a DamagedError", err)
	}
	_, err = decode(data, "q")
	var owner *OwnerError
	if !errors.As(err, &owner) || owner.Owner != "r" || owner.Want != "q" {
		t.Errorf("copy of another router: got error %v, want an OwnerError", err)
	}
	_, err = decode([]byte("# a file"), "r")
	if !errors.Is(err, ErrForeign) {
		t.Errorf("file of another program: got error %v, want ErrForeign", err)
	}
	err = open(basePath(t)).Put("big", Entry{Body: make([]byte, maxStoreSize+1)})
	var capacity *CapacityError
	if !errors.As(err, &capacity) || capacity.Kind != "big" || capacity.Limit != maxStoreSize {
		t.Errorf("entry that is too large: got error %v, want a CapacityError", err)
	}
}

// If no copy can be written, Put and Get still work in memory, and the failures are only counted.
func TestFailedWritesAreOnlyCounted(t *testing.T) {
	store := open(filepath.Join(basePath(t), "gone", "r"))
	for i := range 5 {
		store.Put("k", Entry{Generation: uint64(i), Body: []byte("x")})
	}
	if entry, found := store.Get("k"); !found || entry.Generation != 4 {
		t.Errorf("got %+v, %t", entry, found)
	}
	store.Put("big", Entry{Body: make([]byte, maxCopySize)})
	store.Close(3 * time.Second)
	if stats := store.Stats(); stats.Failed == 0 || stats.Rejected != 1 {
		t.Errorf("got %+v, want failed writes and 1 rejected entry", stats)
	}
}

// TestMain runs the test binary as a process that writes without end, if STORE_WRITES is set.
func TestMain(m *testing.M) {
	if base := os.Getenv("STORE_WRITES"); base != "" {
		writeWithoutEnd(base)
	}
	os.Exit(m.Run())
}

// writeWithoutEnd repeatedly writes copies with two entries of the same generation, and ignores errors.
func writeWithoutEnd(base string) {
	store := open(base)
	for i := uint64(1); ; i++ {
		body := []byte(strconv.FormatUint(i, 10) + string(make([]byte, 3000)))
		store.mu.Lock()
		for _, kind := range []string{"a", "b"} {
			store.content.Entries[kind] = Entry{Generation: i, Body: body}
		}
		store.content.Number++
		store.mu.Unlock()
		store.writeCopy()
		fmt.Println(i)
	}
}

// A process that is killed at any moment of a write leaves the state before or after the write, never a mixture, and
// every later start reads it.
func TestKillDuringWriteLeavesIntactCopy(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	base := basePath(t)
	last := uint64(0)
	for i := range 150 {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "STORE_WRITES="+base)
		out, _ := cmd.StdoutPipe()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		out.Read(make([]byte, 16)) // the process has begun to write
		time.Sleep(time.Duration(i%17) * 300 * time.Microsecond)
		cmd.Process.Kill()
		io.Copy(io.Discard, out)
		cmd.Wait()
		store := open(base)
		a, _ := store.Get("a")
		b, _ := store.Get("b")
		number := store.content.Number
		if a.Generation != b.Generation || store.Stats().SetAside > 0 || number < last {
			t.Fatalf("after kill %d: generations %d and %d, %d set aside, number %d after %d",
				i, a.Generation, b.Generation, store.Stats().SetAside, number, last)
		}
		last = number
		store.Close(time.Second)
	}
	t.Logf("%d copies written over 150 kills", last)
}

func FuzzDecode(f *testing.F) {
	data, _ := encode(content{Owner: "r", Number: 2, Entries: map[string]Entry{"k": {Generation: 1, Body: []byte("x")}}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) { decode(data, "r") })
}

// A hanging disk, simulated by a pipe without a writer, doesn't delay a start beyond openTimeout. A path that is not a
// regular file of this user is not read.
func TestHangingDiskDoesNotDelayStart(t *testing.T) {
	base := basePath(t)
	if err := syscall.Mkfifo(base+".store-0", 0o600); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	store := open(base)
	if took := time.Since(began); took > 2*openTimeout {
		t.Errorf("the start took %v, want at most 2 s", took)
	}
	store.Put("k", Entry{Body: []byte("x")})
	store.Close(time.Second)
	pipe, err := os.OpenFile(base+".store-0", os.O_RDWR, 0) // unblocks the reader, which then renames the pipe
	if err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	os.Mkdir(base+".store-1", 0o700)
	if entry, found := open(base).Get("k"); found {
		t.Errorf("got entry %+v, want none", entry)
	}
}
