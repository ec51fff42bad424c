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
	// maxSuccessors is the maximum number of concurrent successor connections: one process takes over, others may try.
	maxSuccessors = 3
	// otherListenerPollInterval is the interval between two checks whether another process listens in place of the
	// successor.
	otherListenerPollInterval = 100 * time.Millisecond
	maxHelloLine              = 64 // bytes
)

// SuccessorHandler provides the sockets and the state for successors, and is notified of their progress. The methods
// are called from one goroutine for each successor, in the order Sockets, State, Started, Serving (only if the
// successor reaches it), Ended. They may block.
type SuccessorHandler interface {
	// Sockets returns the descriptors of the listening sockets, by address. The Listener owns them, and closes them when
	// the successor has ended. If there are none, the successor gets no reply.
	Sockets() map[string]int
	// State returns the state of this process, in the format of package service. It is not sent if it is longer than
	// maxStateSize.
	State() []byte
	// Started is called when the successor has the sockets. It runs beside this process from now on.
	Started()
	// Serving is called when the successor accepts clients.
	Serving()
	// Ended is called when the successor has ended and no other process listens in its place. served reports whether
	// Serving was called.
	Ended(served bool)
}

// Listener listens at a path for successors of this process.
type Listener struct {
	listener *net.UnixListener
	path     string
	file     os.FileInfo // of the socket that this process created at the path
	handler  SuccessorHandler
	log      zerolog.Logger

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// Listen replaces the socket of the process that has listened at the path, and calls the handler for successors that
// connect there from then on.
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

// Close stops listening and closes the connections of successors. It does not remove the socket at the path if that is
// another process's.
func (l *Listener) Close() {
	l.mu.Lock()
	alreadyClosed := l.closed
	l.closed = true
	l.mu.Unlock()
	if alreadyClosed { // a file at the path is another process's, even if it has the inode number that this one's had
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

// register adds a connection. It returns false if there are too many.
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

// serveSuccessor handles one successor until it ends.
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
		in.ReadByte() // returns when the successor ends
		l.waitWhileOtherListens()
	}
	l.handler.Ended(served)
}

// readLine reads a line and reports whether it is the expected one.
func readLine(in *bufio.Reader, want string) bool {
	line, err := in.ReadSlice('\n')
	return err == nil && strings.TrimSpace(string(line)) == want
}

// sendSockets sends the addresses and the sockets. It returns false if there are none or too many, or if they cannot be
// sent.
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

// waitWhileOtherListens returns when no other process listens at the path. While one does, that process accepts the
// clients.
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
