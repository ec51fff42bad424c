package hotrestart

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	hello      = "bendtrestle 1 listens"
	serving    = "serving"
	knows      = "state"           // before the length of what a process knows
	stateBound = 4 << 20           // a list of ten thousand servers
	told       = "sockets"         // before the addresses of those that come with the line
	answering  = time.Second       // for the other process to answer on the same machine
	mostHeirs  = 3                 // processes that may ask at once: one takes over, others may try
	mostSock   = 64                // of clients' addresses that go over
	lineBound  = mostSock*64 + 256 // of the line that names them
)

// Predecessor is the process that ran before, as the next one sees it.
type Predecessor struct {
	State []byte // what it knows, in a form of the service's; empty: it said nothing
	conn  *net.UnixConn
}

// Takeover asks the process that serves, if there is one, for its listening sockets; they come by their addresses.
func Takeover(path string) (*Predecessor, map[string]int, error) {
	if path == "" {
		return nil, nil, errors.New("there is no folder for a socket")
	}
	c, err := net.DialTimeout("unix", path, answering)
	if err != nil {
		return nil, nil, err
	}
	conn := c.(*net.UnixConn)
	if !ours(conn) {
		conn.Close()
		return nil, nil, errors.New("the process before is another user's")
	}
	conn.SetDeadline(time.Now().Add(answering))
	sockets, state, err := ask(conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return &Predecessor{state, conn}, sockets, nil
}

func ask(conn *net.UnixConn) (map[string]int, []byte, error) {
	if _, err := fmt.Fprintln(conn, hello); err != nil {
		return nil, nil, err
	}
	line, rights := make([]byte, lineBound), make([]byte, unix.CmsgSpace(4*mostSock))
	n, m, _, _, err := conn.ReadMsgUnix(line, rights)
	if err != nil {
		return nil, nil, err
	}
	var fds []int
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	for _, message := range messages {
		more, other := unix.ParseUnixRights(&message)
		fds, err = append(fds, more...), errors.Join(err, other)
	}
	first, rest, _ := bytes.Cut(line[:n], []byte("\n"))
	words := strings.Fields(string(first))
	if err == nil && (len(words) == 0 || words[0] != told || len(words)-1 != len(fds)) {
		err = errors.New("the process before speaks otherwise")
	}
	sockets := map[string]int{}
	for i, fd := range fds {
		if unix.CloseOnExec(fd); err != nil {
			unix.Close(fd)
		} else {
			sockets[words[i+1]] = fd
		}
	}
	if err != nil {
		return nil, nil, err
	}
	return sockets, state(bufio.NewReader(io.MultiReader(bytes.NewReader(rest), conn))), nil
}

// state reads what the process before knows; nothing of it if it does not come whole.
func state(in *bufio.Reader) []byte {
	var length int
	if _, err := fmt.Fscanf(in, knows+" %d\n", &length); err != nil || length <= 0 || length > stateBound {
		return nil
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(in, text); err != nil {
		return nil
	}
	return text
}

// NotifyServing tells it that this process takes clients from now on.
func (p *Predecessor) NotifyServing() { fmt.Fprintln(p.conn, serving) }

// WaitForExit waits for its end.
func (p *Predecessor) WaitForExit() { p.conn.Read(make([]byte, 1)) }

// Close lets go of it.
func (p *Predecessor) Close() { p.conn.Close() }

// SuccessorHandler are told what becomes of processes that ask, on goroutines of their own.
type SuccessorHandler interface {
	Sockets() map[string]int // descriptors by their addresses, to be closed once they are sent
	State() []byte           // what this process knows
	Started()                // another process runs beside this one
	Serving()                // and takes clients from now on
	Ended(served bool)       // it has ended
}

// Listener waits at a path for processes that come after this one.
type Listener struct {
	ln    *net.UnixListener
	path  string
	mine  os.FileInfo
	heirs SuccessorHandler
	log   zerolog.Logger
	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// Listen takes the path over from whoever had it.
func Listen(path string, heirs SuccessorHandler, log zerolog.Logger) (*Listener, error) {
	if path == "" {
		return nil, errors.New("there is no folder for a socket")
	}
	first := fmt.Sprint(path, ".", os.Getpid()%1000)
	os.Remove(first)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: first, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	os.Chmod(first, 0o600)
	mine, err := os.Stat(first)
	if err = errors.Join(err, os.Rename(first, path)); err != nil {
		ln.Close()
		os.Remove(first)
		return nil, err
	}
	o := &Listener{ln: ln, path: path, mine: mine, heirs: heirs, log: log, conns: map[net.Conn]bool{}}
	go o.accept()
	return o, nil
}

// followed tells whether another process waits at the path by now.
func (o *Listener) followed() bool {
	if now, err := os.Stat(o.path); err != nil || os.SameFile(now, o.mine) {
		return false
	}
	conn, err := net.DialTimeout("unix", o.path, answering)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// Close ends it; the path stays another's if one has taken it over.
func (o *Listener) Close() {
	o.mu.Lock()
	again := o.ended
	o.ended = true
	o.mu.Unlock()
	if again { // what is at the path now is another's, though its file may have the number that this one's had
		return
	}
	if now, err := os.Stat(o.path); err == nil && os.SameFile(now, o.mine) {
		os.Remove(o.path)
	}
	o.ln.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for conn := range o.conns {
		conn.Close()
	}
}

func (o *Listener) accept() {
	for {
		conn, err := o.ln.AcceptUnix()
		if err != nil {
			return
		}
		o.mu.Lock()
		room := len(o.conns) < mostHeirs
		if room {
			o.conns[conn] = true
		}
		o.mu.Unlock()
		if !room || !ours(conn) {
			o.done(conn)
			continue
		}
		go o.serve(conn)
	}
}

// ours tells whether the other side is this user's.
func ours(conn *net.UnixConn) (same bool) {
	raw, err := conn.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) {
			who, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
			same = err == nil && int(who.Uid) == os.Getuid()
		})
	}
	return same
}

func (o *Listener) done(conn net.Conn) {
	o.mu.Lock()
	delete(o.conns, conn)
	o.mu.Unlock()
	conn.Close()
}

// serve follows one process that asks.
func (o *Listener) serve(conn *net.UnixConn) {
	defer o.done(conn)
	conn.SetDeadline(time.Now().Add(answering))
	in := bufio.NewReaderSize(conn, 64)
	if line, err := in.ReadSlice('\n'); err != nil || strings.TrimSpace(string(line)) != hello {
		return
	}
	line, fds := told, []int(nil)
	for addr, fd := range o.heirs.Sockets() {
		defer unix.Close(fd)
		line, fds = line+" "+addr, append(fds, fd)
	}
	if len(fds) == 0 || len(fds) > mostSock {
		return
	}
	if _, _, err := conn.WriteMsgUnix([]byte(line+"\n"), unix.UnixRights(fds...), nil); err != nil {
		return
	}
	if text := o.heirs.State(); len(text) <= stateBound {
		fmt.Fprintf(conn, "%s %d\n%s", knows, len(text), text)
	}
	conn.SetDeadline(time.Time{})
	o.heirs.Started()
	word, err := in.ReadSlice('\n')
	served := err == nil && strings.TrimSpace(string(word)) == serving
	if served {
		o.heirs.Serving()
		in.ReadByte() // until it ends
	}
	for served && o.followed() { // one that came after it has the path, and the clients
		time.Sleep(looking)
	}
	o.heirs.Ended(served)
}
