package hotrestart

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
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

// A folder that is not there gives no path.
func TestPathWithoutDirectory(t *testing.T) {
	if Path("", "a", "out") != "" || Path("/nowhere", "a", "out") != "" {
		t.Error("a folder that is not there gives a path")
	}
}

// fakeHandler is a process that serves.
type fakeHandler struct {
	state []byte
	calls chan string // those of the successors, in order
}

func (r fakeHandler) Sockets() map[string]int {
	descriptor, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	return map[string]int{"127.0.0.1:11211": descriptor}
}
func (r fakeHandler) State() []byte     { return r.state }
func (r fakeHandler) Started()          { r.calls <- "started" }
func (r fakeHandler) Serving()          { r.calls <- "serving" }
func (r fakeHandler) Ended(served bool) { r.calls <- fmt.Sprint("ended ", served) }

// Sockets and a state larger than any buffer go over, and what becomes of the successor is told, whenever it ends.
// What is no process of a router is not answered and holds nobody up; a path that was left over is no predecessor.
func TestTakeover(t *testing.T) {
	process := fakeHandler{bytes.Repeat([]byte("state"), 200000), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	os.WriteFile(path, nil, 0o600)
	if _, _, err := Takeover(path); err == nil {
		t.Error("a file that is no socket is taken for a process")
	}
	listener, err := Listen(path, process, zerolog.Nop())
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
		predecessor, sockets, err := Takeover(path)
		if err != nil {
			t.Fatal(err)
		}
		descriptor, found := sockets["127.0.0.1:11211"]
		if !found || unix.Close(descriptor) != nil || !bytes.Equal(predecessor.State, process.state) {
			t.Errorf("sockets %v and %d bytes of state came", sockets, len(predecessor.State))
		}
		want := []string{"started", "ended false"}
		if serves {
			predecessor.NotifyServing()
			want = []string{"started", "serving", "ended true"}
		}
		time.Sleep(20 * time.Millisecond)
		predecessor.Close()
		for _, call := range want {
			if got := receive(process.calls); got != call {
				t.Errorf("the handler's call is %q, want %q", got, call)
			}
		}
	}
	listener.Close()
	if _, err := os.Stat(path); err == nil {
		t.Error("the path stays")
	}
	if _, err := Listen("/tmp/"+strings.Repeat("d", 100), process, zerolog.Nop()); err == nil {
		t.Error("a path that is too long is no error")
	}
}

// A file system may give the inode number of a file that is gone to the next one. A listener that is closed a second
// time must then not take the file that another process has put at the path for its own. Here the other's has the
// number that its own had.
func TestSecondCloseKeepsOtherProcessSocket(t *testing.T) {
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
	first.file = second.file
	first.Close()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the other's path is gone: %v", err)
	}
}
