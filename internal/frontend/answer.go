package frontend

import "bendtrestle/internal/requestcore"

// answer is what is owed for one command. It is the requestcore.Client of the command's request, and the
// requestcore.BodySink of a value that is passed on as it comes.
type answer struct {
	conn      *ClientConn
	core      *requestcore.Core // has the request; nil: there is none, or it was answered at once
	requestID uint64            // of the core
	route     requestcore.Route
	request   *requestcore.Request // nil: the command was answered without one
	class     string               // as the client names it; a quota renames it in the request
	outcome   outcome
	heldBytes int // bytes of a write's value, held until the answer
	parts     [][]byte
	body      requestcore.BodyStream // follows the first part; nil: there is none
	bodyBytes int                    // bytes of the body that were written
}

// Succeeded passes on a server's result, or begins to.
func (a *answer) Succeeded(result requestcore.Result) {
	a.body = result.Body
	a.complete(a.conn.codec.Succeeded(a.request, result)...)
}

// Rejected says that a retry is safe, after so many seconds.
func (a *answer) Rejected(retryAfter float64) {
	a.outcome = outcomeRejected
	a.complete(a.conn.codec.Rejected(a.request, retryAfter))
}

// Failed says that it is unknown whether the request was executed.
func (a *answer) Failed() {
	a.outcome = outcomeFailed
	a.complete(a.conn.codec.Failed(a.request))
}

// Disconnected reports whether the client has ended the connection. If the loop has not told of that yet, the
// connection is closed after the present callback.
func (a *answer) Disconnected() bool {
	c := a.conn
	if c.isOpen() && !c.conn.PeerClosed() {
		return false
	}
	c.frontend.loop.Later(c.close)
	return true
}

// complete takes the answer's text and writes what is due on the connection.
func (a *answer) complete(parts ...[]byte) {
	a.parts = parts
	a.addHeldBytes(-a.heldBytes)
	a.heldBytes = 0
	for _, part := range parts {
		a.addHeldBytes(len(part))
	}
	c := a.conn
	if !c.isOpen() {
		a.discard()
		return
	}
	c.queueCompleteAnswers()
	c.Flushed()
}

// discard gives up an answer that is complete and not queued.
func (a *answer) discard() {
	if a.body != nil {
		a.body.Discard()
	}
	for _, part := range a.parts {
		a.addHeldBytes(-len(part))
	}
}

// abandon gives up an answer whose client has disconnected, complete or not.
func (a *answer) abandon() {
	a.countEnd(false)
	if a.parts != nil {
		a.discard()
		return
	}
	if a.core != nil {
		a.addHeldBytes(-a.heldBytes)
		a.core.OnClientGone(a.requestID)
	}
}

// addHeldBytes counts bytes held for the answer's route. What is answered without a route is not counted.
func (a *answer) addHeldBytes(n int) {
	if a.route != nil {
		a.route.AddHeldBytes(n)
	}
}

// countEnd counts a request as its last byte leaves, or as its client disconnects before that.
func (a *answer) countEnd(delivered bool) {
	if a.request == nil {
		return
	}
	f := a.conn.frontend
	f.openRequests--
	if delivered {
		f.countOutcome(a.class, a.outcome)
	}
}
