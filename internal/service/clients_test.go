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

// sendCommand sends one command on a connection of its own and gives the first line of the answer, or what went
// wrong.
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

// waitAnswer sends a command again and again until it is answered as wanted, for some five seconds.
func waitAnswer(t *testing.T, addr, command, want string) {
	t.Helper()
	for i := 0; sendCommand(addr, command) != want; i++ {
		if i > 500 {
			t.Fatalf("%q is never answered %q", command, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// dialAndSend returns a connection on which a key was asked for; with the key "", nothing was.
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

// closeWriteAndWait ends a client's sending and waits until the other side's kernel knows.
func closeWriteAndWait(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.(*net.TCPConn).CloseWrite()
	raw, _ := conn.(*net.TCPConn).SyscallConn()
	const finWait2, closed = 5, 7 // of the kernel's states; closed: it was even answered by a reset
	for state := uint8(0); state != finWait2 && state != closed; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
	}
}

// startLoad sends commands on ever new connections until it is stopped; then all must have been answered, and many.
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
					t.Errorf("under load it answers %q", got)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	end := func() {
		done.Store(1)
		clients.Wait()
	}
	t.Cleanup(end) // also where the test fails before: an error after its end would end the whole program
	return func() {
		end()
		if sent.Load() < 100 {
			t.Errorf("only %d commands were sent", sent.Load())
		}
	}
}

// startClient sends one command after another on one connection, and without a pause one ahead. It tells when the
// connection is closed, and whether that cut an answer off.
func startClient(t *testing.T, addr, name string, pause time.Duration) (ended chan error) {
	ended = make(chan error, 1)
	key := "short"
	if pause == 0 {
		key = "later"
	}
	conn, in := dialAndSend(t, addr, name, key)
	go func() {
		if pause == 0 { // answers and commands cross
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(conn, "mg later v O%s- Pc=t,d=1900\r\n", name)
		}
		for i := 0; ; i++ {
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "VA") {
				_, err = in.ReadString('\n')
			}
			if err != nil && line != "" {
				ended <- fmt.Errorf("cut in %q", line)
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

// keepConnections keeps so many connections to an address open until done is closed, each anew as it ends. On each
// it sends what text gives, and passes on the lines that are answered.
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
