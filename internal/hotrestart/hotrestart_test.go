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

// receive returns the next value from a channel, or the zero value if there is none within 3 s.
func receive[T any](from chan T) (value T) {
	select {
	case value = <-from:
	case <-time.After(3 * time.Second):
	}
	return value
}

// There is no path in a directory that does not exist.
func TestPathWithoutDirectory(t *testing.T) {
	if Path("", "a", "out") != "" || Path("/nowhere", "a", "out") != "" {
		t.Error("got a path in a missing directory, want none")
	}
}

// fakeHandler is the SuccessorHandler of a serving process.
type fakeHandler struct {
	state []byte
	calls chan string // calls for successors, in order
}

func (h fakeHandler) Sockets() map[string]int {
	descriptor, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	return map[string]int{"127.0.0.1:11211": descriptor}
}
func (h fakeHandler) State() []byte     { return h.state }
func (h fakeHandler) Started()          { h.calls <- "started" }
func (h fakeHandler) Serving()          { h.calls <- "serving" }
func (h fakeHandler) Ended(served bool) { h.calls <- fmt.Sprint("ended ", served) }

// The sockets and a state larger than any buffer are transferred, and the handler is notified of the successor's
// progress, whether it ends before or after it serves. A client that is not a router process gets no reply and does not
// block others. A file left over at the path is not a predecessor.
func TestTakeover(t *testing.T) {
	process := fakeHandler{bytes.Repeat([]byte("state"), 200000), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	os.WriteFile(path, nil, 0o600)
	if _, _, err := Takeover(path); err == nil {
		t.Error("got no error for a file that is not a socket, want one")
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
			t.Errorf("%.20q: got a reply or a timeout, %v; want the connection closed", text, err)
		}
	}
	for _, serves := range []bool{false, true} {
		predecessor, sockets, err := Takeover(path)
		if err != nil {
			t.Fatal(err)
		}
		descriptor, found := sockets["127.0.0.1:11211"]
		if !found || unix.Close(descriptor) != nil || !bytes.Equal(predecessor.State, process.state) {
			t.Errorf("got sockets %v and %d bytes of state, want one open socket and the handler's state",
				sockets, len(predecessor.State))
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
				t.Errorf("got handler call %q, want %q", got, call)
			}
		}
	}
	listener.Close()
	if _, err := os.Stat(path); err == nil {
		t.Error("the socket is still at the path after Close")
	}
	// A Unix socket's path has at most 107 bytes; this one is too long whatever suffix the temporary name has.
	if _, err := Listen("/tmp/"+strings.Repeat("d", 108), process, zerolog.Nop()); err == nil {
		t.Error("got no error for a path that is too long, want one")
	}
}

// A file system may reuse the inode number of a removed file for the next one. A listener that is closed a second time
// must then not remove the socket that another process has created at the path. Here that socket has the inode number
// that the listener's own one had.
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
		t.Errorf("the socket of the other process was removed: %v", err)
	}
}
