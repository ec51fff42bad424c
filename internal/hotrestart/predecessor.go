package hotrestart

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Predecessor is the process that serves so far, as its successor sees it.
type Predecessor struct {
	State []byte // what it knows, in the service's form; empty: it sent none
	conn  *net.UnixConn
}

// Takeover asks the process that serves, if there is one, for its listening sockets, and returns their descriptors by
// address. The caller owns the descriptors and closes the Predecessor. An error means that there is none to take over
// from: no process listens at the path, or one of another user (ErrOtherUser) or another protocol (ErrProtocol).
func Takeover(path string) (*Predecessor, map[string]int, error) {
	if path == "" {
		return nil, nil, ErrNoDirectory
	}
	dialed, err := net.DialTimeout("unix", path, replyTimeout)
	if err != nil {
		return nil, nil, err
	}
	conn := dialed.(*net.UnixConn)
	sockets, state, err := handshake(conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return &Predecessor{State: state, conn: conn}, sockets, nil
}

// handshake says hello and reads the sockets and the state.
func handshake(conn *net.UnixConn) (sockets map[string]int, state []byte, err error) {
	if !ownedByThisUser(conn) {
		return nil, nil, ErrOtherUser
	}
	conn.SetDeadline(time.Now().Add(replyTimeout))
	defer conn.SetDeadline(time.Time{})
	_, err = fmt.Fprintln(conn, helloLine)
	if err != nil {
		return nil, nil, err
	}
	text := make([]byte, maxSocketsLine)
	rights := make([]byte, unix.CmsgSpace(4*maxSockets))
	textLength, rightsLength, _, _, err := conn.ReadMsgUnix(text, rights)
	if err != nil {
		return nil, nil, err
	}
	line, rest, _ := bytes.Cut(text[:textLength], []byte("\n"))
	sockets, err = receiveSockets(string(line), rights[:rightsLength])
	if err != nil {
		return nil, nil, err
	}
	return sockets, readState(bufio.NewReader(io.MultiReader(bytes.NewReader(rest), conn))), nil
}

// receiveSockets pairs the addresses of the line with the descriptors that came with it. On an error it closes them
// all.
func receiveSockets(line string, rights []byte) (map[string]int, error) {
	descriptors, err := receiveDescriptors(rights)
	words := strings.Fields(line)
	if err == nil && (len(words) == 0 || words[0] != socketsWord || len(words)-1 != len(descriptors)) {
		err = ErrProtocol
	}
	sockets := map[string]int{}
	for i, descriptor := range descriptors {
		unix.CloseOnExec(descriptor)
		if err != nil {
			unix.Close(descriptor)
			continue
		}
		sockets[words[i+1]] = descriptor
	}
	if err != nil {
		return nil, err
	}
	return sockets, nil
}

// receiveDescriptors returns all descriptors of a message, also where it has an error beside.
func receiveDescriptors(rights []byte) (descriptors []int, err error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	for _, message := range messages {
		received, malformed := unix.ParseUnixRights(&message)
		descriptors = append(descriptors, received...)
		err = errors.Join(err, malformed)
	}
	return descriptors, err
}

// readState reads the predecessor's state; nil where it does not come whole.
func readState(in *bufio.Reader) []byte {
	var length int
	_, err := fmt.Fscanf(in, stateWord+" %d\n", &length)
	if err != nil || length <= 0 || length > maxStateSize {
		return nil
	}
	state := make([]byte, length)
	_, err = io.ReadFull(in, state)
	if err != nil {
		return nil
	}
	return state
}

// NotifyServing tells the predecessor that this process accepts clients from now on.
func (p *Predecessor) NotifyServing() { fmt.Fprintln(p.conn, servingLine) }

// WaitForExit returns once the predecessor has ended, or after Close.
func (p *Predecessor) WaitForExit() { p.conn.Read(make([]byte, 1)) }

// Close ends the connection; the predecessor takes it for the end of this process.
func (p *Predecessor) Close() { p.conn.Close() }
