package hotrestart

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Words of the protocol.
const (
	helloLine   = "bendtrestle 1 listens"
	servingLine = "serving"
	socketsWord = "sockets" // before the addresses of the sockets that come with the line
	stateWord   = "state"   // before the length of the state
)

const (
	replyTimeout = time.Second // for the other process, on the same machine, to reply
	maxStateSize = 4 << 20     // bytes; the list of ten thousand servers
	maxSockets   = 64          // that are passed on

	// maxSocketsLine bounds the line with the sockets' addresses, in bytes.
	maxSocketsLine = maxSockets*64 + 256
)

// Errors of Takeover and Listen.
var (
	ErrNoDirectory = errors.New("there is no folder for a socket")
	ErrOtherUser   = errors.New("the process before is another user's")
	// ErrProtocol: the predecessor is of a build that speaks another version.
	ErrProtocol = errors.New("the process before speaks otherwise")
)

// ownedByThisUser reports whether the process at the other side is this user's.
func ownedByThisUser(conn *net.UnixConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	raw.Control(func(fd uintptr) {
		peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && int(peer.Uid) == os.Getuid()
	})
	return same
}
