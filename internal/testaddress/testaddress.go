// Package testaddress gives tests loopback addresses that nothing else uses.
//
// A port that a test takes from the kernel and lets go of, for the program under test to listen at, may be taken in
// between: by another test, or as the source port of any connection. An address of this package cannot be.
package testaddress

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	firstNet  = 250   // second byte; the nets below it are those of the experiments' fleets
	firstPort = 20000 // outside the range from which the kernel takes source ports
	ports     = 12000
)

var used atomic.Uint32

// New returns the "host:port" of a loopback address at which nothing listens, for TCP and UDP. The host is one of this
// process; the port is another one at each call, 12,000 times.
func New() string {
	pid := os.Getpid()
	port := firstPort + (used.Add(1)-1)%ports
	return fmt.Sprintf("127.%d.%d.%d:%d", firstNet+pid>>16&3, pid>>8&255, pid&255, port)
}
