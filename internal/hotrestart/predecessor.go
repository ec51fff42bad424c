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

// Predecessor is the connection of a successor to its predecessor process.
type Predecessor struct {
	State []byte // the predecessor's state, in the format of package service; empty: it sent none
	conn  *net.UnixConn
}

// Takeover requests the listening sockets of the process that serves, and returns their descriptors by address. The
// caller owns the descriptors and must close the Predecessor. An error means that there is no process to take over
// from: none listens at the path, or the one that does belongs to another user (ErrOtherUser) or uses another protocol
// (ErrProtocol).
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

// handshake sends the hello line and receives the sockets and the state.
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

// receiveSockets returns the descriptors that were received with a line by the addresses in that line. On an error it
// closes all of them.
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

// receiveDescriptors returns all descriptors of a message, even those of a message that also has an error.
func receiveDescriptors(rights []byte) (descriptors []int, err error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	for _, message := range messages {
		received, malformed := unix.ParseUnixRights(&message)
		descriptors = append(descriptors, received...)
		err = errors.Join(err, malformed)
	}
	return descriptors, err
}

// readState reads the predecessor's state. It returns nil if the state is missing, too long or incomplete.
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

// NotifyServing notifies the predecessor that this process accepts clients from now on.
func (p *Predecessor) NotifyServing() { fmt.Fprintln(p.conn, servingLine) }

// WaitForExit returns when the predecessor has ended, or after Close.
func (p *Predecessor) WaitForExit() { p.conn.Read(make([]byte, 1)) }

// Close closes the connection. The predecessor treats that as the end of this process.
func (p *Predecessor) Close() { p.conn.Close() }
