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

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// golden compares a text with a file that the build of 15122f5 wrote, and returns what the file holds.
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
		t.Errorf("%s:\n got %q\nwant %q", name, got, want)
	}
	return want
}

// Both processes find the router's files by the address that clients connect to.
func TestGoldenPaths(t *testing.T) {
	var names []string
	for _, ending := range []string{"out", "zones", "sock"} {
		names = append(names, filepath.Base(Path(t.TempDir(), "127.0.0.1:11211", ending)))
	}
	golden(t, "paths", strings.Join(names, "\n"))
}

// What a process that serves says to one of another build: the line with the sockets' addresses, which has the sockets
// with it, and the state behind its length.
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
	n, m, _, _, err := conn.(*net.UnixConn).ReadMsgUnix(line, rights)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	if err != nil || len(messages) != 1 {
		t.Fatalf("%d messages, %v", len(messages), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		t.Fatalf("sockets %v, %v", descriptors, err)
	}
	unix.Close(descriptors[0])
	said := string(line[:n])
	reader := bufio.NewReader(conn)
	for !strings.HasSuffix(said, "}") {
		next, err := reader.ReadByte()
		if err != nil {
			t.Fatalf("%q: %v", said, err)
		}
		said += string(next)
	}
	golden(t, "serving-process", said)
	if got := receive(process.calls); got != "started" {
		t.Errorf("the handler's call is %q", got)
	}
	fmt.Fprint(conn, "serving\n")
	if got := receive(process.calls); got != "serving" {
		t.Errorf("the handler's call is %q", got)
	}
	conn.Close()
	if got := receive(process.calls); got != "ended true" {
		t.Errorf("the handler's call is %q", got)
	}
}

// What a process that starts says to one of another build, and how it takes what that one says.
func TestGoldenStartingProcess(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:11211", "sock")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	said := make(chan string, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			said <- err.Error()
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
		said <- hello + serving
	}()
	predecessor, sockets, err := Takeover(path)
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	if len(sockets) != 2 || string(predecessor.State) != `{"some":"state"}` {
		t.Errorf("took %v with %q", sockets, predecessor.State)
	}
	for _, addr := range []string{"127.0.0.1:11211", "127.0.0.1:11212"} {
		if descriptor, there := sockets[addr]; !there || unix.Close(descriptor) != nil {
			t.Errorf("no socket of %s", addr)
		}
	}
	predecessor.NotifyServing()
	golden(t, "starting-process", receive(said))
}
