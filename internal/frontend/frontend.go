package frontend

import (
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
)

// Frontend is all client connections. It belongs to the loop's goroutine.
type Frontend struct {
	loop        *eventloop.Loop
	dispatcher  requestcore.Dispatcher
	limits      Limits
	connections map[*ClientConn]bool

	openWork
	servingState
	endCounts
	recentIDs recentIDs
}

// openWork is what has begun and not ended.
type openWork struct {
	openRequests    int  // requests that were submitted or rejected and whose last byte has not left
	openBodies      int  // body streams on their way to clients
	kernelBodyBytes int  // bytes of them that the kernel's send buffers were extended for
	longWriteBytes  int  // bytes reserved for long writes
	capacityMissed  bool // a request found no capacity since the last sweep
}

// endCounts counts how requests and connections ended, since the start.
type endCounts struct {
	outcomes       map[string]*Outcomes   // by the class that clients name
	cutConnections [cutReasonCount]uint64 // connections that ended with an answer owed, by CutReason
}

// New makes a frontend without connections, and starts its sweep on the loop.
func New(loop *eventloop.Loop, dispatcher requestcore.Dispatcher, limits Limits) *Frontend {
	f := &Frontend{
		loop:        loop,
		dispatcher:  dispatcher,
		limits:      limits,
		connections: map[*ClientConn]bool{},
		endCounts:   endCounts{outcomes: map[string]*Outcomes{}},
		recentIDs:   newRecentIDs(),
	}
	f.sweep()
	return f
}

// OpenRequests returns how many requests were taken and have not ended: their last byte has not left.
func (f *Frontend) OpenRequests() int { return f.openRequests }

// OpenBodyStreams returns how many body streams are on their way to clients.
func (f *Frontend) OpenBodyStreams() int { return f.openBodies }

// Connections returns how many clients are connected.
func (f *Frontend) Connections() int { return len(f.connections) }
