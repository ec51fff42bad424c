package frontend

// Limits limit the connections and the memory of writes that are being received. Other memory and the open requests are
// limited by the routes.
type Limits struct {
	// Connections is how many clients may be connected. From half of this number on, a new connection evicts an idle
	// one; idle ones that have sent no valid command are evicted first. Beyond this number, if none is idle, the new
	// connection's requests are rejected and it is closed.
	Connections int
	// RejectConnections is how many connections beyond that are accepted in order to reject their requests.
	RejectConnections int
	// WriteBytes is the maximum number of bytes reserved for values of writes that are being received. Half of it also
	// limits the bytes held for clients that do not read (closeSlowestReader), because the memory for values has the
	// same size.
	WriteBytes int
}

// SetLimits changes the limits. Connections beyond the new limits are closed as they become idle.
func (f *Frontend) SetLimits(limits Limits) {
	f.limits = limits
	f.writes.SetLimit(limits.WriteBytes)
}

// Limits of one connection and of its requests.
const (
	// maxPendingAnswers is how many answers may be pending on a connection. Then its next commands are not read.
	maxPendingAnswers = 32
	// maxBadCommands is after how many invalid commands a connection is closed. It is above 1 because a person may
	// mistype.
	maxBadCommands = 3
	// defaultTimeLeftSeconds is the time left of a request whose client states none and whose class has no deadline.
	defaultTimeLeftSeconds = 1
	// expired is the time left, in seconds, of a request whose client does not wait any longer. 0 means that the client
	// stated none.
	expired = -1.0
	// recentIDCount is the number of slots for the ids of recently submitted requests.
	recentIDCount = 4096
)

// Timeouts of connections.
const (
	// sweepSeconds is the interval at which timeouts are checked: a small fraction of the shortest of them.
	sweepSeconds = 0.25
	// unreadAnswerSeconds is how long a client may leave an answer unread: several times the longest deadlines.
	unreadAnswerSeconds = 10
	// commandSeconds is how long a command may take to become complete, and how long a client may take to send its
	// first one. Clients are allowed 2 s.
	commandSeconds = 2.4
	// drainCommandSeconds is how long a command that has begun may take to become complete once a connection rejects
	// requests. Clients may take 2 s, and connections are to be closed 4 s after the start of a drain.
	drainCommandSeconds = 1.9
	// longWriteStallSeconds is how long a long write may go without receiving a byte.
	longWriteStallSeconds = 5
	// longWriteSeconds is how long a long write may take in total.
	longWriteSeconds = 30
	// idleAfterSeconds is after how long without a byte an idle connection may be closed while more than half of the
	// limit is used, and after how long a client with unread answers counts as a slow reader.
	idleAfterSeconds = 1
	// evictableAfterSeconds is after how long without a byte a connection may be evicted for a new one. A client that
	// has just connected sends its command immediately. With a longer time, clients that send one request and stay
	// connected use up the whole limit.
	evictableAfterSeconds = 0.1
	// idleTimeoutSeconds is how long an idle connection is kept while at most half of the limit is used.
	idleTimeoutSeconds = 2
	// lingerSeconds is how long a client may take to read its last answer and to close its side: far more than a round
	// trip.
	lingerSeconds = 0.5
)
