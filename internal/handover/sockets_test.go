package handover

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// running is a process that serves.
type running struct {
	t     *testing.T
	state []byte
	said  chan string
}

func (r running) Sockets() map[string]int {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		r.t.Error(err)
	}
	return map[string]int{"127.0.0.1:11211": fd}
}
func (r running) State() []byte { return r.state }
func (r running) Asked()        { r.said <- "asked" }
func (r running) Serves()       { r.said <- "serves" }
func (r running) Lost(served bool) {
	r.said <- map[bool]string{true: "lost after", false: "lost before"}[served]
}

func (r running) want(want string) {
	r.t.Helper()
	select {
	case got := <-r.said:
		if got != want {
			r.t.Errorf("told %q, want %q", got, want)
		}
	case <-time.After(3 * time.Second):
		r.t.Errorf("not told %q", want)
	}
}

// Sockets and a state larger than any buffer go over; what becomes of the one that asked is told, whenever it ends.
func TestTake(t *testing.T) {
	r := running{t, bytes.Repeat([]byte("state"), 200000), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	o, err := Open(path, r, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for _, serves := range []bool{false, true} {
		p, sockets, err := Take(path)
		if err != nil {
			t.Fatal(err)
		}
		if fd, there := sockets["127.0.0.1:11211"]; !there || unix.Close(fd) != nil || !bytes.Equal(p.State, r.state) {
			t.Errorf("sockets %v and %d bytes of state came", sockets, len(p.State))
		}
		r.want("asked")
		last := "lost before"
		if serves {
			p.Serving()
			r.want("serves")
			last = "lost after"
		}
		p.Close()
		r.want(last)
	}
	o.Close()
	if _, err := os.Stat(path); err == nil {
		t.Error("the path stays")
	}
}

// What is no process of a router is not answered, holds nobody up, and a path left over is no predecessor.
func TestStrangers(t *testing.T) {
	r := running{t, nil, make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	os.WriteFile(path, nil, 0o600)
	if _, _, err := Take(path); err == nil {
		t.Error("a file that is no socket is taken for a process")
	}
	o, err := Open(path, r, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", string(bytes.Repeat([]byte("x"), 9999))} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write([]byte(text))
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		if n, err := conn.Read(make([]byte, 1)); n > 0 || os.IsTimeout(err) {
			t.Errorf("%.20q is answered, or held: %v", text, err)
		}
		conn.Close()
	}
	if _, _, err := Take(path); err != nil {
		t.Errorf("afterwards: %v", err)
	}
	r.want("asked")
	long := filepath.Join(t.TempDir(), string(bytes.Repeat([]byte("d"), 90)))
	os.Mkdir(long, 0o700)
	if _, err := Open(Path(long, "a", "sock"), r, zerolog.Nop()); err == nil {
		t.Error("a path that is too long is no error")
	}
}
