package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	// maxSuccessors bounds the processes that may ask at once: one takes over, others may try.
	maxSuccessors = 3
	// otherListenerPollInterval is between two looks for a process that has followed the successor.
	otherListenerPollInterval = 100 * time.Millisecond
	maxHelloLine              = 64 // bytes
)

// SuccessorHandler gives successors what they need and is notified of what becomes of them. The methods are called
// from a goroutine for each successor, in the order Sockets, State, Started, Serving where it comes to that, Ended.
// They may wait.
type SuccessorHandler interface {
	// Sockets returns the descriptors of the listening sockets, by address. The listener owns them, and closes them once
	// the successor has ended. With none of them the successor is not answered.
	Sockets() map[string]int
	// State returns what this process knows, in a form of the service's; it is left out where it is longer than
	// maxStateSize.
	State() []byte
	// Started: the successor has the sockets, and runs beside this process.
	Started()
	// Serving: the successor accepts clients from now on.
	Serving()
	// Ended: the successor has ended, and no other process has followed it. Served reports whether Serving was called.
	Ended(served bool)
}

// Listener waits at a path for successors of this process.
type Listener struct {
	listener *net.UnixListener
	path     string
	file     os.FileInfo // of the path, as long as it is this process's
	handler  SuccessorHandler
	log      zerolog.Logger

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Listen takes the path over from the process that listened there, and calls the handler from then on.
func Listen(path string, handler SuccessorHandler, log zerolog.Logger) (*Listener, error) {
	if path == "" {
		return nil, ErrNoDirectory
	}
	temporary := fmt.Sprint(path, ".", os.Getpid()%1000)
	os.Remove(temporary)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	os.Chmod(temporary, 0o600)
	file, err := os.Stat(temporary)
	err = errors.Join(err, os.Rename(temporary, path))
	if err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, err
	}
	l := &Listener{
		listener:    listener,
		path:        path,
		file:        file,
		handler:     handler,
		log:         log,
		connections: map[net.Conn]bool{},
	}
	go l.acceptSuccessors()
	return l, nil
}

// Close ends the listening and the successors' connections. The path stays if another process has taken it over.
func (l *Listener) Close() {
	l.mu.Lock()
	again := l.closed
	l.closed = true
	l.mu.Unlock()
	if again { // the file at the path is another's by now, even if it has the inode number that this one's had
		return
	}
	present, err := os.Stat(l.path)
	if err == nil && os.SameFile(present, l.file) {
		os.Remove(l.path)
	}
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		conn.Close()
	}
}

func (l *Listener) acceptSuccessors() {
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		if !l.register(conn) || !ownedByThisUser(conn) {
			l.release(conn)
			continue
		}
		go l.serveSuccessor(conn)
	}
}

// register takes a connection in; false: there are too many.
func (l *Listener) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= maxSuccessors {
		return false
	}
	l.connections[conn] = true
	return true
}

func (l *Listener) release(conn net.Conn) {
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
	conn.Close()
}

// serveSuccessor serves one successor until it ends.
func (l *Listener) serveSuccessor(conn *net.UnixConn) {
	defer l.release(conn)
	conn.SetDeadline(time.Now().Add(replyTimeout))
	in := bufio.NewReaderSize(conn, maxHelloLine)
	if !readLine(in, helloLine) {
		return
	}
	sockets := l.handler.Sockets()
	defer closeSockets(sockets)
	if !sendSockets(conn, sockets) {
		return
	}
	l.sendState(conn)
	conn.SetDeadline(time.Time{})
	l.handler.Started()
	served := readLine(in, servingLine)
	if served {
		l.handler.Serving()
		in.ReadByte() // returns at its end
		l.waitWhileOtherListens()
	}
	l.handler.Ended(served)
}

// readLine reads a line, and reports whether it is the one that is wanted.
func readLine(in *bufio.Reader, want string) bool {
	line, err := in.ReadSlice('\n')
	return err == nil && strings.TrimSpace(string(line)) == want
}

// sendSockets sends the addresses and the sockets; false: there are none or too many, or the successor does not take
// them.
func sendSockets(conn *net.UnixConn, sockets map[string]int) bool {
	line := socketsWord
	var descriptors []int
	for addr, descriptor := range sockets {
		line += " " + addr
		descriptors = append(descriptors, descriptor)
	}
	if len(descriptors) == 0 || len(descriptors) > maxSockets {
		return false
	}
	_, _, err := conn.WriteMsgUnix([]byte(line+"\n"), unix.UnixRights(descriptors...), nil)
	return err == nil
}

func closeSockets(sockets map[string]int) {
	for _, descriptor := range sockets {
		unix.Close(descriptor)
	}
}

func (l *Listener) sendState(conn *net.UnixConn) {
	state := l.handler.State()
	if len(state) <= maxStateSize {
		fmt.Fprintf(conn, "%s %d\n%s", stateWord, len(state), state)
	}
}

// waitWhileOtherListens returns once no other process listens at the path: as long as one does, it has the clients.
func (l *Listener) waitWhileOtherListens() {
	for l.otherProcessListens() {
		time.Sleep(otherListenerPollInterval)
	}
}

// otherProcessListens reports whether another process listens at the path.
func (l *Listener) otherProcessListens() bool {
	present, err := os.Stat(l.path)
	if err != nil || os.SameFile(present, l.file) {
		return false
	}
	conn, err := net.DialTimeout("unix", l.path, replyTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
