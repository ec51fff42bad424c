package hotrestart

import (
	"bufio"
	"flag"
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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden with the output of the current code")

// golden compares a text with a golden file and returns the text of the file. The golden files were recorded with the
// build of commit 15122f5.
func golden(t *testing.T, name, got string) string {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.TrimSuffix(string(text), "\n")
	if got != want {
		t.Errorf("%s: got\n%q\nwant\n%q", name, got, want)
	}
	return want
}

// A predecessor and a successor of different builds must find the same files by the address that clients connect to.
func TestGoldenPaths(t *testing.T) {
	var names []string
	for _, ending := range []string{"out", "zones", "sock"} {
		names = append(names, filepath.Base(Path(t.TempDir(), "127.0.0.1:11211", ending)))
	}
	golden(t, "paths", strings.Join(names, "\n"))
}

// The bytes that a serving process sends to a successor of another build must not change: the line with the addresses
// of the sockets, sent with the sockets, and the state behind its length.
func TestGoldenServingProcess(t *testing.T) {
	process := fakeHandler{[]byte(`{"some":"state"}`), make(chan string, 10)}
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	successors, err := Listen(path, process, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer successors.Close()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(conn, "bendtrestle 1 listens\n")
	line := make([]byte, 4096)
	rights := make([]byte, unix.CmsgSpace(4*64))
	lineLength, rightsLength, _, _, err := conn.(*net.UnixConn).ReadMsgUnix(line, rights)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:rightsLength])
	if err != nil || len(messages) != 1 {
		t.Fatalf("got %d control messages, %v; want 1", len(messages), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		t.Fatalf("got descriptors %v, %v; want 1", descriptors, err)
	}
	unix.Close(descriptors[0])
	sent := string(line[:lineLength])
	reader := bufio.NewReader(conn)
	for !strings.HasSuffix(sent, "}") {
		next, err := reader.ReadByte()
		if err != nil {
			t.Fatalf("after %q: %v, want the complete state", sent, err)
		}
		sent += string(next)
	}
	golden(t, "serving-process", sent)
	if got := receive(process.calls); got != "started" {
		t.Errorf("got handler call %q, want started", got)
	}
	fmt.Fprint(conn, "serving\n")
	if got := receive(process.calls); got != "serving" {
		t.Errorf("got handler call %q, want serving", got)
	}
	conn.Close()
	if got := receive(process.calls); got != "ended true" {
		t.Errorf("got handler call %q, want ended true", got)
	}
}

// The bytes that a starting process sends to a predecessor of another build must not change, and it must accept the
// bytes that such a predecessor sends.
func TestGoldenStartingProcess(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sent := make(chan string, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			sent <- err.Error()
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		hello, _ := in.ReadString('\n')
		var descriptors []int
		for range 2 {
			descriptor, _ := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			defer unix.Close(descriptor)
			descriptors = append(descriptors, descriptor)
		}
		conn.WriteMsgUnix([]byte("sockets 127.0.0.1:11211 127.0.0.1:11212\n"), unix.UnixRights(descriptors...), nil)
		fmt.Fprint(conn, "state 16\n{\"some\":\"state\"}")
		serving, _ := in.ReadString('\n')
		sent <- hello + serving
	}()
	predecessor, sockets, err := Takeover(path)
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	if len(sockets) != 2 || string(predecessor.State) != `{"some":"state"}` {
		t.Errorf("got sockets %v and state %q, want 2 sockets and the complete state", sockets, predecessor.State)
	}
	for _, addr := range []string{"127.0.0.1:11211", "127.0.0.1:11212"} {
		if descriptor, found := sockets[addr]; !found || unix.Close(descriptor) != nil {
			t.Errorf("got no open socket of %s", addr)
		}
	}
	predecessor.NotifyServing()
	golden(t, "starting-process", receive(sent))
}
