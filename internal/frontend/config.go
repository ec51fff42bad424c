package frontend

// Limits bound the connections and the memory of long writes. What is open or held else is bounded by the routes.
type Limits struct {
	// Connections is how many clients may be connected. From half of it on a new connection evicts an idle one, those
	// that have sent nothing usable first. Beyond it, if none is idle, the new one has its requests rejected and is
	// closed.
	Connections int
	// RejectConnections is how many connections beyond that are accepted in order to be rejected.
	RejectConnections int
	// LongWriteBytes is how many bytes are reserved at most for long writes that are being received. Half of it also
	// bounds what is held for clients that do not read (closeSlowestReader): the memory for values is as large.
	LongWriteBytes int
}

// SetLimits sets the limits from now on. Connections beyond them make room as they become idle.
func (f *Frontend) SetLimits(limits Limits) { f.limits = limits }

// Limits of what one connection may owe and do.
const (
	// maxOwedAnswers is how many answers may be owed on a connection before its next commands stay in the socket.
	maxOwedAnswers = 32
	// maxBadCommands is how many unusable commands end a connection. A person may mistype.
	maxBadCommands = 3
	// defaultTimeLeftSeconds is how long a client waits that states no deadline, if its class has none either.
	defaultTimeLeftSeconds = 1
	// expired is a time left, in seconds, that says that the client waits no longer. 0 says that it stated none.
	expired = -1.0
	// recentIDCount is how many slots there are for the ids of requests that were submitted lately.
	recentIDCount = 4096
)

// Timeouts of connections.
const (
	// sweepSeconds is how often timeouts are looked at: a small part of the least of them.
	sweepSeconds = 0.25
	// unreadAnswerSeconds is how long a client may leave an answer unread: several times the longest deadlines.
	unreadAnswerSeconds = 10
	// commandSeconds is how long a command may take to become complete, or the first one to come. Clients may take 2.
	commandSeconds = 2.4
	// longWriteStallSeconds is how long a long write may go on without a byte.
	longWriteStallSeconds = 5
	// longWriteSeconds is how long a long write may take in all.
	longWriteSeconds = 30
	// idleAfterSeconds is how long a connection is silent before it counts as not needed now.
	idleAfterSeconds = 1
	// evictableAfterSeconds is the same where a new connection needs room. A client that has just connected sends at
	// once; with a longer time, clients that ask once and stay hold all places.
	evictableAfterSeconds = 0.1
	// idleTimeoutSeconds is how long an idle connection is kept while fewer than half of the places are taken.
	idleTimeoutSeconds = 2
	// lingerSeconds is how long a client may take to read its last answer and to close its side: far more than a round
	// trip.
	lingerSeconds = 0.5
)
