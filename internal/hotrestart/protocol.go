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
	socketsWord = "sockets" // followed by the addresses of the sockets that are sent with the line
	stateWord   = "state"   // followed by the length of the state
)

const (
	replyTimeout = time.Second // for a reply of the other process, which is on the same machine
	maxStateSize = 4 << 20     // bytes; enough for the endpoint list of ten thousand servers
	maxSockets   = 64          // sockets that are passed to a successor

	// maxSocketsLine is the maximum length of the line with the addresses of the sockets, in bytes.
	maxSocketsLine = maxSockets*64 + 256
)

// Errors of Takeover and Listen.
var (
	ErrNoDirectory = errors.New("the directory for the hot restart socket is missing or not configured")
	ErrOtherUser   = errors.New("the predecessor process belongs to another user")
	// ErrProtocol means that the predecessor is of a build with another version of the protocol.
	ErrProtocol = errors.New("the predecessor process uses another hot restart protocol")
)

// ownedByThisUser reports whether the peer process runs as the same user as this process.
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
