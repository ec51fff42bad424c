package handover

import (
	"bytes"
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
func opened(t *testing.T, path string) (*Bans, chan string) {
	told := make(chan string, 1000)
	b, ids := OpenBans(path, func(ids []string) { told <- strings.Join(ids, " ") }, zerolog.Nop())
	t.Cleanup(b.Close)
	told <- strings.Join(ids, " ")
	return b, told
}

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
	a.Set("s-1", true)
	come(toldB, "s-1")
	b.Set("s-2", true)
	b.Set("s-2", true)
	come(toldA, "s-1 s-2")
	b.Set("s-1", false)
	come(toldA, "s-2")
	done := make(chan bool)
	for i, bans := range []*Bans{a, b} {
		go func() {
			for j := range 40 {
				bans.Set(fmt.Sprint("s-", i, "-", j), true)
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
	}{{"", "", true, nil}, {filepath.Join(dir, "gone", "x"), "", false, nil}, {theirs, "", true, nil}, {large, strings.Repeat("x ", mostBans-1) + "x", false, ErrMany}} {
		b, told := opened(t, c.path)
		if first := next(told); first != c.first {
			t.Errorf("%q: first out is %.20q", c.path, first)
		}
		if err := b.Set("s-1", true); c.kept != (err == nil) || c.err != nil && err != c.err {
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

// running is a process that serves.
type running struct {
	state []byte
	said  chan string
}

func (r running) Sockets() map[string]int {
	fd, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	return map[string]int{"127.0.0.1:11211": fd}
}
func (r running) State() []byte    { return r.state }
func (r running) Asked()           { r.said <- "asked" }
func (r running) Serves()          { r.said <- "serves" }
func (r running) Lost(served bool) { r.said <- fmt.Sprint("lost ", served) }

// Sockets and a state larger than any buffer go over, and what becomes of who asked is told, whenever it ends. What is no process of a
// router is not answered and holds nobody up; a path left over is no predecessor.
func TestTake(t *testing.T) {
	r := running{bytes.Repeat([]byte("state"), 200000), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	os.WriteFile(path, nil, 0o600)
	if _, _, err := Take(path); err == nil {
		t.Error("a file that is no socket is taken for a process")
	}
	o, err := Open(path, r, zerolog.Nop())
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
		p, sockets, err := Take(path)
		if err != nil {
			t.Fatal(err)
		}
		if fd, there := sockets["127.0.0.1:11211"]; !there || unix.Close(fd) != nil || !bytes.Equal(p.State, r.state) {
			t.Errorf("sockets %v and %d bytes of state came", sockets, len(p.State))
		}
		want := []string{"asked", "lost false"}
		if serves {
			p.Serving()
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
	if _, err := Open("/tmp/"+strings.Repeat("d", 100), r, zerolog.Nop()); err == nil {
		t.Error("a path that is too long is no error")
	}
}

// One that is closed twice lets be what another process has put at its path since, though the file system gives numbers of files that
// are gone to new ones: here the other's has the number that its own had.
func TestASecondCloseRemovesNobodysPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sock")
	first, err := Open(path, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	second, err := Open(path, nil, zerolog.Nop())
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
