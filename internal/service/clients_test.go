package service

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Commands of clients; the reply to each begins with VA, the length and the id.
const (
	firstGet  = "mg k v Oa1 Pc=t,d=1900"
	secondGet = "mg k v Oa2 Pc=t,d=1900"
)

// sendCommand sends one command on a connection of its own and returns the first line of the answer, "no connection" or
// "no answer".
func sendCommand(addr, command string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(conn, command+"\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer"
	}
	return strings.TrimSpace(line)
}

// waitAnswer repeats a command until it gets the wanted answer, for at least five seconds.
func waitAnswer(t *testing.T, addr, command, want string) {
	t.Helper()
	for i := 0; sendCommand(addr, command) != want; i++ {
		if i > 500 {
			t.Fatalf("%q never got the answer %q", command, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// dialAndSend returns a connection on which it has sent a request for a key; with the key "" it has sent nothing.
func dialAndSend(t *testing.T, addr, id, key string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(15 * time.Second))
	if key != "" {
		fmt.Fprintf(conn, "mg %s v O%s Pc=t,d=1900\r\n", key, id)
	}
	return conn, bufio.NewReader(conn)
}

// closeWriteAndWait closes a client's sending side and waits until the peer's kernel has acknowledged that.
func closeWriteAndWait(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.(*net.TCPConn).CloseWrite()
	raw, _ := conn.(*net.TCPConn).SyscallConn()
	const finWait2, closed = 5, 7 // TCP states of the kernel; closed: the peer answered with a reset
	for state := uint8(0); state != finWait2 && state != closed; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
	}
}

// startLoad sends commands, each on a new connection, until it is stopped. All of them must have been answered by then,
// and at least 100 sent.
func startLoad(t *testing.T, addr string) (stop func()) {
	var done, sent atomic.Int64
	var clients sync.WaitGroup
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for done.Load() == 0 {
				command := fmt.Sprintf("mg k v Ol%d Pc=t,d=1900", sent.Add(1))
				if got := sendCommand(addr, command); !strings.HasPrefix(got, "VA") {
					t.Errorf("under load: got %q, want a value", got)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	end := func() {
		done.Store(1)
		clients.Wait()
	}
	t.Cleanup(end) // also if the test fails earlier: an error that is reported after its end panics
	return func() {
		end()
		if sent.Load() < 100 {
			t.Errorf("%d commands were sent, want at least 100", sent.Load())
		}
	}
}

// startClient sends commands on one connection, each after the last answer and a pause. Without a pause it has two
// commands in flight. The channel receives nil when the connection is closed, or an error if that truncated an answer.
func startClient(t *testing.T, addr, name string, pause time.Duration) (ended chan error) {
	ended = make(chan error, 1)
	key := "short"
	if pause == 0 {
		key = "later"
	}
	conn, in := dialAndSend(t, addr, name, key)
	go func() {
		if pause == 0 { // so that answers and commands cross
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(conn, "mg later v O%s- Pc=t,d=1900\r\n", name)
		}
		for i := 0; ; i++ {
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "VA") {
				_, err = in.ReadString('\n')
			}
			if err != nil && line != "" {
				ended <- fmt.Errorf("the connection was closed within the line %q", line)
			}
			if err != nil {
				ended <- nil
				return
			}
			time.Sleep(pause)
			fmt.Fprintf(conn, "mg %s v O%s%d Pc=t,d=1900\r\n", key, name, i)
		}
	}()
	return ended
}

// keepConnections keeps a number of connections to an address open until done is closed: it replaces those that end. On
// each it sends the result of text, and passes the lines that it receives to received.
func keepConnections(addr string, text func() string, connections int, done chan bool, received func(line string)) {
	for range connections {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				fmt.Fprint(conn, text())
				in := bufio.NewReader(conn)
				for line, err := in.ReadString('\n'); err == nil; line, err = in.ReadString('\n') {
					received(line)
				}
				conn.Close()
			}
		}()
	}
}
