package frontend

import (
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/policy/valuememory"
	"bendtrestle/internal/requestcore"
)

// Frontend serves all client connections. It is used on the loop's goroutine only.
type Frontend struct {
	loop        *eventloop.Loop
	dispatcher  requestcore.Dispatcher
	limits      Limits
	values      *valuememory.Budget
	writes      *valuememory.Reservations // for values of writes that are being received
	connections map[*ClientConn]bool
	paused      []*ClientConn // connections that wait for memory to read commands, in the order in which they began to

	openWork
	servingState
	endCounts
	recentIDs recentIDs
}

// openWork counts open requests, body streams and reserved memory.
type openWork struct {
	openRequests    int  // requests that were submitted or rejected and whose last byte is not written
	openBodies      int  // body streams that are being sent to clients
	kernelBodyBytes int  // bytes of them for which the kernel's send buffers were extended
	capacityMissed  bool // a request was rejected for lack of capacity since the last sweep
	resumeScheduled bool // resumePaused will be called
}

// endCounts counts how requests and connections ended, since the start.
type endCounts struct {
	outcomes       map[string]*Outcomes   // by the class that clients name
	cutConnections [cutReasonCount]uint64 // connections that ended while an answer was pending, by CutReason
}

// New returns a frontend without connections, and starts its sweep on the loop. The budget is that of all values of the
// process.
func New(loop *eventloop.Loop, dispatcher requestcore.Dispatcher, limits Limits, values *valuememory.Budget) *Frontend {
	f := &Frontend{
		loop:        loop,
		dispatcher:  dispatcher,
		limits:      limits,
		values:      values,
		writes:      valuememory.NewReservations(limits.WriteBytes),
		connections: map[*ClientConn]bool{},
		endCounts:   endCounts{outcomes: map[string]*Outcomes{}},
		recentIDs:   newRecentIDs(),
	}
	f.sweep()
	return f
}

// OpenRequests returns how many requests have not ended: the last byte of their answers is not written.
func (f *Frontend) OpenRequests() int { return f.openRequests }

// OpenBodyStreams returns how many body streams are being sent to clients.
func (f *Frontend) OpenBodyStreams() int { return f.openBodies }

// Connections returns how many clients are connected.
func (f *Frontend) Connections() int { return len(f.connections) }
