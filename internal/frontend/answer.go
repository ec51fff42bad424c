package frontend

import "bendtrestle/internal/requestcore"

// answer is the answer to one command. It is the requestcore.Client of the command's request, and the
// requestcore.BodySink of a value that is passed on while it is received.
type answer struct {
	conn          *ClientConn
	core          *requestcore.Core // processes the request; nil: no request, or it was answered within Submit
	requestID     uint64            // the request's id in the core
	route         requestcore.Route
	request       *requestcore.Request // nil: the command was answered without one
	class         string               // the class that the client named; a quota replaces it in the request
	outcome       outcome
	bufferedBytes int // bytes of a write's value, buffered until the answer
	promisedBytes int // bytes that are expected for a read's value, until the answer
	parts         [][]byte
	body          requestcore.BodyStream // follows the first part; nil: none
	bodyBytes     int                    // bytes of the body that were written
	onTurn        func()                 // called when no answer precedes this one any more; nil: no body waits
}

// Succeeded answers with a server's result; a body stream follows later.
func (a *answer) Succeeded(result requestcore.Result) {
	a.body = result.Body
	a.complete(a.conn.codec.Succeeded(a.request, result)...)
}

// Rejected answers that the request was not executed and that a retry is safe, after retryAfter seconds.
func (a *answer) Rejected(retryAfter float64) {
	a.outcome = outcomeRejected
	a.complete(a.conn.codec.Rejected(a.request, retryAfter))
}

// Failed answers that it is unknown whether the request was executed.
func (a *answer) Failed() {
	a.outcome = outcomeFailed
	a.complete(a.conn.codec.Failed(a.request))
}

// AwaitTurn reports whether no answer precedes this one in the connection's output; otherwise onTurn is called as soon
// as none does. On a connection that has ended the turn has come, too: the body is then discarded.
func (a *answer) AwaitTurn(onTurn func()) (now bool) {
	if !a.conn.isOpen() || a.conn.isNext(a) {
		return true
	}
	a.onTurn = onTurn
	return false
}

// IsNext reports whether no answer precedes this one in the connection's output.
func (a *answer) IsNext() bool { return a.conn.isOpen() && a.conn.isNext(a) }

// HasAnswersBehind reports whether the client has sent further commands. Their answers are lost if the connection is
// closed within this one. Commands that wait in the socket count, too: reading may be paused.
func (a *answer) HasAnswersBehind() bool {
	c := a.conn
	return c.isOpen() && (c.answers[len(c.answers)-1] != a || c.conn.In.Len() > 0 || c.conn.Unread())
}

// HasBegun reports that the client may have received a part of the body: its answer is being written.
func (a *answer) HasBegun() bool { return true }

// Disconnected reports whether the client has ended the connection. If the loop has not reported that yet, the
// connection is closed after the current callback.
func (a *answer) Disconnected() bool {
	c := a.conn
	if c.isOpen() && !c.conn.PeerClosed() {
		return false
	}
	c.frontend.loop.Defer(c.close)
	return true
}

// complete sets the answer's text, and writes all answers of the connection that are due.
func (a *answer) complete(parts ...[]byte) {
	a.parts = parts
	a.releaseRequest()
	for _, part := range parts {
		a.addBufferedBytes(len(part))
	}
	c := a.conn
	if !c.isOpen() {
		a.discard()
		return
	}
	c.queueCompleteAnswers()
	c.Flushed()
}

// discard drops an answer that is complete and not queued, and releases what it holds.
func (a *answer) discard() {
	if a.body != nil {
		a.body.Discard()
	}
	for _, part := range a.parts {
		a.addBufferedBytes(-len(part))
	}
}

// abandon drops an answer whose client has disconnected, and cancels its request if it is not complete.
func (a *answer) abandon() {
	a.countEnd(false)
	if a.parts != nil {
		a.discard()
		return
	}
	if a.core != nil {
		a.releaseRequest()
		a.core.OnClientDisconnected(a.requestID)
	}
}

// releaseRequest releases what is held for the request until its answer is complete.
func (a *answer) releaseRequest() {
	a.addBufferedBytes(-a.bufferedBytes)
	a.bufferedBytes = 0
	a.withdrawPromise()
}

// addBufferedBytes adds to the bytes buffered for the answer's route. Answers without a route are not counted.
func (a *answer) addBufferedBytes(n int) {
	if a.route == nil {
		return
	}
	a.route.AddBufferedBytes(n)
	f := a.conn.frontend
	f.values.AddHeld(n)
	if n < 0 {
		f.scheduleResume()
	}
}

// countEnd counts the end of a request: when its last byte is written, or when its client disconnects before that.
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
