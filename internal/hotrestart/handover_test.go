package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// next gives what comes, or the zero value if nothing does.
func next[T any](from chan T) (x T) {
	select {
	case x = <-from:
	case <-time.After(3 * time.Second):
	}
	return x
}

// opened gives a set and where its changes are told, as a text each.
func opened(t *testing.T, path string) (*Registry, chan string) {
	told := make(chan string, 1000)
	b, ids := OpenBans(path, func(ids []string) { told <- strings.Join(ids, " ") }, zerolog.Nop())
	t.Cleanup(b.Close)
	told <- strings.Join(ids, " ")
	return b, told
}

// soon is when a call must have ended, far beyond what a busy machine needs.
func soon() time.Time { return time.Now().Add(time.Minute) }

// What is called at one process holds at the other, whichever writes, and at one that starts later; of calls at once none is lost.
func TestBansOfTwoProcesses(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	a, toldA := opened(t, path)
	b, toldB := opened(t, path)
	come := func(told chan string, want string) {
		t.Helper()
		for got := "?"; got != want; {
			if got = next(told); got == "" && want != "" && len(told) == 0 {
				t.Fatalf("%q does not come", want)
			}
		}
	}
	next(toldB)
	a.Update("s-1", true, soon())
	come(toldB, "s-1")
	b.Update("s-2", true, soon())
	b.Update("s-2", true, soon())
	come(toldA, "s-1 s-2")
	b.Update("s-1", false, soon())
	come(toldA, "s-2")
	done := make(chan bool)
	for i, bans := range []*Registry{a, b} {
		go func() {
			for j := range 40 {
				if err := bans.Update(fmt.Sprint("s-", i, "-", j), true, soon()); err != nil {
					t.Error(err)
				}
			}
			done <- true
		}()
	}
	<-done
	<-done
	_, told := opened(t, path)
	if ids := strings.Fields(<-told); len(ids) != 81 {
		t.Errorf("%d are out, 81 were called out", len(ids))
	}
}

// Without a folder, in one that is gone, with a file that is no list or another user's: calls hold here, bounded, and nothing fails.
func TestBansWithoutAFile(t *testing.T) {
	dir := t.TempDir()
	large, theirs := filepath.Join(dir, "large"), filepath.Join(dir, "theirs")
	os.WriteFile(large, slices.Repeat([]byte("x\n"), fileBound), 0o600)
	os.WriteFile(theirs, []byte("s-2\n"), 0o600)
	if os.Chown(theirs, 65534, 65534) != nil {
		theirs = "" // not for this user to try
	}
	for _, c := range []struct {
		path, first string
		kept        bool
		err         error
	}{{"", "", true, nil}, {filepath.Join(dir, "gone", "x"), "", false, nil}, {theirs, "", true, nil}, {large, strings.Repeat("x ", mostBans-1) + "x", false, ErrTooMany}} {
		b, told := opened(t, c.path)
		if first := next(told); first != c.first {
			t.Errorf("%q: first out is %.20q", c.path, first)
		}
		if err := b.Update("s-1", true, soon()); c.kept != (err == nil) || c.err != nil && err != c.err {
			t.Errorf("%q: a call gets %v", c.path, err)
		}
		if got := "s-1"; c.err == nil && next(told) != got {
			t.Errorf("%q: the call does not hold", c.path)
		}
	}
	if Path("", "a", "out") != "" || Path("/nowhere", "a", "out") != "" {
		t.Error("a folder that is not there gives a path")
	}
}

// held locks one of a set's files, as another process does.
func held(t *testing.T, path string) *os.File {
	t.Helper()
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	}
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// says gives what a set's file says, as a text.
func says(path string) string {
	text, _ := os.ReadFile(path)
	return strings.Join(strings.Fields(string(text)), " ")
}

// While another process writes, or waits to and so is first, or a lock cannot be had, what it has written stays: a server that is to be
// out is out here alone and the caller is told so, one that is to be back stays out. Called again later, all is written.
func TestACallWithoutTheLockTakesNothingBack(t *testing.T) {
	for _, c := range []struct {
		name string
		bar  func(path string) (free func())
		why  error
	}{
		{"another writes", func(path string) func() { f := held(t, path+".lock"); return func() { f.Close() } }, ErrLockTimeout},
		{"another waits to", func(path string) func() { f := held(t, path+".turn"); return func() { f.Close() } }, ErrLockTimeout},
		{"no lock file", func(path string) func() {
			os.Mkdir(path+".lock", 0o700)
			return func() { os.Remove(path + ".lock") }
		}, unix.EISDIR},
	} {
		path := Path(t.TempDir(), "127.0.0.1:11211", "out")
		os.WriteFile(path, []byte("s-1\ns-2\n"), 0o600)
		b, _ := opened(t, path)
		free := c.bar(path)
		os.WriteFile(path, []byte("s-1\ns-2\ns-3\n"), 0o600) // what the other writes now
		if err := b.Update("s-4", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, c.why) {
			t.Errorf("%s: out gets %v", c.name, err)
		}
		if err := b.Update("s-1", false, time.Now()); !errors.Is(err, ErrUnchanged) || !errors.Is(err, c.why) {
			t.Errorf("%s: back gets %v", c.name, err)
		}
		if got := says(path); got != "s-1 s-2 s-3" {
			t.Errorf("%s: the file says %q", c.name, got)
		}
		if ids := b.IDs(); !slices.Contains(ids, "s-1") || !slices.Contains(ids, "s-4") {
			t.Errorf("%s: here are out %q", c.name, ids)
		}
		free()
		for id, out := range map[string]bool{"s-4": true, "s-1": false} {
			if err := b.Update(id, out, soon()); err != nil {
				t.Errorf("%s: called again it gets %v", c.name, err)
			}
		}
		if got := says(path); got != "s-2 s-3 s-4" || strings.Join(b.IDs(), " ") != got {
			t.Errorf("%s: the file says %q then, here are out %q", c.name, got, b.IDs())
		}
	}
}

// A call whose lock is let go while it waits is written behind what the other wrote.
func TestALockThatComesWhileACallWaits(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	b, _ := opened(t, path)
	other, done := held(t, path+".lock"), make(chan error, 1)
	go func() { done <- b.Update("s-2", true, soon()) }()
	turn, err := os.OpenFile(path+".turn", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	for len(done) == 0 && unix.Flock(int(turn.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil { // until the call has its turn and waits
		unix.Flock(int(turn.Fd()), unix.LOCK_UN)
		time.Sleep(time.Millisecond)
	}
	os.WriteFile(path, []byte("s-1\n"), 0o600)
	other.Close()
	if err := <-done; err != nil || says(path) != "s-1 s-2" {
		t.Errorf("it gets %v, and the file says %q", err, says(path))
	}
}

// What the disk does not take, or gives back as no list, changes nothing that was written; what is out here alone stays so whatever
// the other process writes, until it is called again, and can be taken back.
func TestWhatCannotBeWrittenDown(t *testing.T) {
	long := filepath.Join(t.TempDir(), strings.Repeat("x", 250)) // its lock has a name, its next version is too long for one
	os.WriteFile(long, []byte("s-1\n"), 0o600)
	b, told := opened(t, long)
	next(told)
	if err := b.Update("s-2", true, soon()); !errors.Is(err, ErrLocalOnly) || next(told) != "s-1 s-2" || says(long) != "s-1" {
		t.Errorf("out gets %v, and the file says %q", err, says(long))
	}
	if err := b.Update("s-1", false, soon()); !errors.Is(err, ErrUnchanged) || strings.Join(b.IDs(), " ") != "s-1 s-2" {
		t.Errorf("back gets %v, and out are %q", err, b.IDs())
	}
	os.WriteFile(long, []byte("s-1\ns-3\n"), 0o600)
	for got := ""; got != "s-1 s-3 s-2"; {
		if got = next(told); got == "" {
			t.Fatalf("out are %q", b.IDs())
		}
	}
	if err := b.Update("s-2", false, soon()); err != nil || strings.Join(b.IDs(), " ") != "s-1 s-3" {
		t.Errorf("taken back here alone it gets %v, and out are %q", err, b.IDs())
	}

	folder := filepath.Join(t.TempDir(), "folder") // it can be opened, and not be read
	os.Mkdir(folder, 0o700)
	b, _ = opened(t, folder)
	if err := b.Update("s-1", true, soon()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, unix.EISDIR) {
		t.Errorf("with a file that cannot be read it gets %v", err)
	}

	many := filepath.Join(t.TempDir(), "many")
	os.WriteFile(many, slices.Repeat([]byte("x\n"), mostBans+1), 0o600)
	b, _ = opened(t, many)
	if err := b.Update("x", false, soon()); err != ErrTooMany || strings.Count(says(many), "x") != mostBans+1 {
		t.Errorf("with more than may be out back gets %v, and %d are left", err, strings.Count(says(many), "x"))
	}
}

// A disk that hangs holds no caller, and what hangs takes nothing back when it goes on.
func TestADiskThatHangs(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	b, _ := OpenBans(path, func([]string) {}, zerolog.Nop())
	b.Close()
	if err := unix.Mkfifo(path, 0o600); err != nil { // to open it waits for who writes
		t.Fatal(err)
	}
	if err := b.Update("s-1", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrPending) {
		t.Errorf("out gets %v", err)
	}
	if err := b.Update("s-2", true, time.Now()); !errors.Is(err, ErrLocalOnly) || !errors.Is(err, ErrLockTimeout) {
		t.Errorf("the next gets %v", err)
	}
	if err := os.WriteFile(path, []byte("s-3\n"), 0); err != nil {
		t.Fatal(err)
	}
	if err := b.Update("s-2", true, soon()); err != nil || says(path) != "s-3 s-1 s-2" || strings.Join(b.IDs(), " ") != says(path) {
		t.Errorf("then it gets %v, the file says %q, and out are %q", err, says(path), b.IDs())
	}
}

// A start does not wait for a disk that hangs for long; what it says counts as soon as it is said.
func TestADiskThatHangsAtTheStart(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	if err := unix.Mkfifo(path, 0o600); err != nil { // to open it waits for who writes
		t.Fatal(err)
	}
	b, told := opened(t, path)
	if first := <-told; first != "" {
		t.Errorf("first out is %q", first)
	}
	if err := os.WriteFile(path, []byte("s-1\n"), 0); err != nil {
		t.Fatal(err)
	}
	if got := next(told); got != "s-1" || strings.Join(b.IDs(), " ") != got {
		t.Errorf("then are out %q, told was %q", b.IDs(), got)
	}
	if f, err := os.OpenFile(path, os.O_RDWR, 0); err == nil { // no look is to wait any more
		os.Remove(path)
		f.Close()
	}
}

// A file that has the number and the time of the one before, as file systems give to one that follows another at once, is read.
func TestAFileLikeTheOneBefore(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "out")
	at := time.Unix(1e9, 0)
	put := func(text string) { // in place
		f, _ := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
		f.WriteString(text)
		f.Close()
		os.Chtimes(path, at, at)
	}
	put("s-1\n")
	b, told := opened(t, path)
	next(told)
	b.mu.Lock() // no look between the bytes and the time
	put("s-2\n")
	b.mu.Unlock()
	if got := next(told); got != "s-2" {
		t.Errorf("it takes %q", got)
	}
}

// running is a process that serves.
type running struct {
	state []byte
	said  chan string
}

func (r running) Sockets() map[string]int {
	fd, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	return map[string]int{"127.0.0.1:11211": fd}
}
func (r running) State() []byte     { return r.state }
func (r running) Started()          { r.said <- "asked" }
func (r running) Serving()          { r.said <- "serves" }
func (r running) Ended(served bool) { r.said <- fmt.Sprint("lost ", served) }

// Sockets and a state larger than any buffer go over, and what becomes of who asked is told, whenever it ends. What is no process of a
// router is not answered and holds nobody up; a path left over is no predecessor.
func TestTake(t *testing.T) {
	r := running{bytes.Repeat([]byte("state"), 200000), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	os.WriteFile(path, nil, 0o600)
	if _, _, err := Takeover(path); err == nil {
		t.Error("a file that is no socket is taken for a process")
	}
	o, err := Listen(path, r, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 9999)} {
		conn, _ := net.Dial("unix", path)
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		conn.Write([]byte(text))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || os.IsTimeout(err) {
			t.Errorf("%.20q is answered, or held: %v", text, err)
		}
	}
	for _, serves := range []bool{false, true} {
		p, sockets, err := Takeover(path)
		if err != nil {
			t.Fatal(err)
		}
		if fd, there := sockets["127.0.0.1:11211"]; !there || unix.Close(fd) != nil || !bytes.Equal(p.State, r.state) {
			t.Errorf("sockets %v and %d bytes of state came", sockets, len(p.State))
		}
		want := []string{"asked", "lost false"}
		if serves {
			p.NotifyServing()
			want = []string{"asked", "serves", "lost true"}
		}
		time.Sleep(20 * time.Millisecond)
		p.Close()
		for _, word := range want {
			if got := next(r.said); got != word {
				t.Errorf("told %q, want %q", got, word)
			}
		}
	}
	o.Close()
	if _, err := os.Stat(path); err == nil {
		t.Error("the path stays")
	}
	if _, err := Listen("/tmp/"+strings.Repeat("d", 100), r, zerolog.Nop()); err == nil {
		t.Error("a path that is too long is no error")
	}
}

// One that is closed twice lets be what another process has put at its path since, though the file system gives numbers of files that
// are gone to new ones: here the other's has the number that its own had.
func TestASecondCloseRemovesNobodysPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sock")
	first, err := Listen(path, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	second, err := Listen(path, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	first.mine = second.mine
	first.Close()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the other's path is gone: %v", err)
	}
}
