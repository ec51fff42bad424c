package snapshot

import (
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

func at(t *testing.T) string { return filepath.Join(t.TempDir(), "r") }

func open(base string) *Store { return Open(base, "r", zerolog.Nop()) }

// What was put is there for the next process, and nothing older replaces it.
func TestKeepsTheNewest(t *testing.T) {
	base := at(t)
	s := open(base)
	s.Put("rate", Entry{Generation: 7, StoredAt: 5, Body: []byte("seven")})
	s.Put("rate", Entry{Generation: 6, StoredAt: 9, Body: []byte("six")})
	s.Close(5 * time.Second)
	if e, there := open(base).Get("rate"); !there || string(e.Body) != "seven" || e.StoredAt != 5 {
		t.Errorf("got %+v, %t", e, there)
	}
}

// A copy that is cut or changed at any byte, foreign, newer, or another router's: the other copy counts, this one is put aside, and the
// start goes on.
func TestAnyByte(t *testing.T) {
	base := at(t)
	s := open(base)
	old, _ := pack(content{Owner: "r", Number: 2, Entries: map[string]Entry{"k": {Generation: 1, Body: []byte("old")}}})
	next, _ := pack(content{Owner: "r", Number: 3, Entries: map[string]Entry{"k": {Generation: 2, Body: []byte("new")}}})
	other, _ := pack(content{Owner: "q", Number: 9, Entries: map[string]Entry{"k": {Generation: 9, Body: []byte("theirs")}}})
	s.Close(time.Second)
	tries := [][]byte{other, []byte("# a file"), nil, append([]byte(magic), 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)}
	for i := range next {
		tries = append(tries, next[:i])
		flipped := append([]byte(nil), next...)
		flipped[i] ^= 0x10
		tries = append(tries, flipped)
	}
	for i, text := range tries {
		os.WriteFile(s.path(0), old, 0o600)
		os.WriteFile(s.path(1), text, 0o600)
		c := open(base)
		if e, _ := c.Get("k"); string(e.Body) != "old" || c.Stats().SetAside != 1 {
			t.Fatalf("try %d: %q counts, %d put aside", i, e.Body, c.Stats().SetAside)
		}
		if _, err := os.Stat(s.path(1) + aside); err != nil {
			t.Fatal(err)
		}
		c.Close(time.Second)
	}
	os.WriteFile(s.path(1), next, 0o600)
	if e, _ := open(base).Get("k"); string(e.Body) != "new" {
		t.Errorf("the newer copy does not count: %q", e.Body)
	}
}

// A disk that takes nothing costs nothing but a figure.
func TestNoDisk(t *testing.T) {
	s := open(filepath.Join(at(t), "gone", "r"))
	for i := range 5 {
		s.Put("k", Entry{Generation: uint64(i), Body: []byte("x")})
	}
	if e, there := s.Get("k"); !there || e.Generation != 4 {
		t.Errorf("got %+v, %t", e, there)
	}
	s.Put("big", Entry{Body: make([]byte, largest)})
	s.Close(3 * time.Second)
	if c := s.Stats(); c.Failed == 0 || c.Rejected != 1 {
		t.Errorf("%+v", c)
	}
}

// TestMain lets the test's own program be one that writes without end.
func TestMain(m *testing.M) {
	if base := os.Getenv("STORE_WRITES"); base != "" {
		s := open(base)
		for i := uint64(1); ; i++ { // both entries are of one number, whatever of it is on disk
			s.mu.Lock()
			for _, kind := range []string{"a", "b"} {
				s.now.Entries[kind] = Entry{Generation: i, Body: []byte(strconv.FormatUint(i, 10) + string(make([]byte, 3000)))}
			}
			s.now.Number++
			s.mu.Unlock()
			s.write()
			fmt.Println(i)
		}
	}
	os.Exit(m.Run())
}

// A process killed at any moment of a write leaves the state before it or after it, never a mixture, and no start fails.
func TestKilledWhileWriting(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	base, last := at(t), uint64(0)
	for i := range 150 {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), "STORE_WRITES="+base)
		out, _ := cmd.StdoutPipe()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		out.Read(make([]byte, 16)) // it writes
		time.Sleep(time.Duration(i%17) * 300 * time.Microsecond)
		cmd.Process.Kill()
		io.Copy(io.Discard, out)
		cmd.Wait()
		s := open(base)
		a, _ := s.Get("a")
		b, _ := s.Get("b")
		if a.Generation != b.Generation || s.Stats().SetAside > 0 || s.now.Number < last {
			t.Fatalf("after kill %d: generations %d and %d, %d put aside, number %d after %d", i, a.Generation, b.Generation, s.Stats().SetAside, s.now.Number, last)
		}
		last = s.now.Number
		s.Close(time.Second)
	}
	t.Logf("%d copies over 150 kills", last)
}

func FuzzUnpack(f *testing.F) {
	text, _ := pack(content{Owner: "r", Number: 2, Entries: map[string]Entry{"k": {Generation: 1, Body: []byte("x")}}})
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) { unpack(text, "r") })
}

// A disk that does not answer, here a pipe that nobody writes, holds no start up; what is no file of this user is not read.
func TestDiskThatHangs(t *testing.T) {
	base := at(t)
	if err := syscall.Mkfifo(base+".store-0", 0o600); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	s := open(base)
	if took := time.Since(began); took > 2*patience {
		t.Errorf("the start took %v", took)
	}
	s.Put("k", Entry{Body: []byte("x")})
	s.Close(time.Second)
	f, err := os.OpenFile(base+".store-0", os.O_RDWR, 0) // lets the reader go, which puts it aside
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	os.Mkdir(base+".store-1", 0o700)
	if e, there := open(base).Get("k"); there {
		t.Errorf("got %+v", e)
	}
}
