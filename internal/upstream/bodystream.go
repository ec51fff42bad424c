package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// bodyEndBytes is the length of the line end behind a body.
const bodyEndBytes = 2

// bodyStream forwards a body from a connection to a sink. It implements requestcore.BodyStream.
type bodyStream struct {
	connection *connection // nil once the body is complete or broken
	length     int         // bytes
	sink       requestcore.BodySink
	broken     bool                       // the rest cannot be received
	onBroken   func()                     // called when that becomes known while there is no sink; may be nil
	onEnd      func(requestcore.BodySink) // the sink's method for the way in which the body ended; nil: not ended
}

// Length returns the length of the body in bytes.
func (b *bodyStream) Length() int { return b.length }

// SetOnBroken sets a function that is called if the rest of the body is lost before StartReading.
func (b *bodyStream) SetOnBroken(call func()) { b.onBroken = call }

// Broken reports whether it is known that the rest of the body cannot be received. It also detects, and then closes, a
// connection that has ended without the loop having reported that.
func (b *bodyStream) Broken() bool {
	if b.connection != nil {
		b.connection.failIfCutShort()
	}
	return b.broken
}

// isWaiting reports whether no byte of the body has been forwarded, because there is no sink yet.
func (b *bodyStream) isWaiting() bool { return b.sink == nil && b.onEnd == nil }

// cutShort reports whether the server has ended the connection before the end of a body of which nothing has been
// forwarded: fewer bytes remain than the body and its line end have.
func (b *bodyStream) cutShort() bool {
	if b.connection == nil || !b.isWaiting() {
		return false
	}
	bytes, ended := b.connection.socket.BytesBeforeEnd()
	return ended && bytes < b.length+bodyEndBytes
}

// StartReading forwards the body to a sink from now on.
func (b *bodyStream) StartReading(sink requestcore.BodySink) {
	b.sink = sink
	if b.onEnd != nil {
		b.finish(b.onEnd)
		return
	}
	b.ResumeReading()
}

// ResumeReading continues to read. It is called when the sink has room again.
func (b *bodyStream) ResumeReading() {
	c := b.connection
	if c == nil || b.sink == nil {
		return
	}
	c.Input()
	if b.connection != nil && c.socket.In.Room() > 0 {
		c.socket.Resume()
	}
}

// Discard drops the rest of the body and closes its connection. If other attempts wait for replies behind the body, the
// rest is read and dropped instead, so that a client that disconnects does not end the attempts of other clients.
func (b *bodyStream) Discard() {
	c := b.connection
	if c != nil && c.hasPendingExcept(nil) {
		b.sink = discardSink{}
		c.pool.pools.loop.Defer(b.ResumeReading)
		return
	}
	if c != nil {
		c.fail(ClientDisconnected)
	}
	b.sink = nil
	b.onEnd = func(requestcore.BodySink) {}
}

// wanted reports whether a client still waits for the rest.
func (b *bodyStream) wanted() bool { return b.sink != discardSink{} && b.onEnd == nil }

// finish notifies the sink of the end of the body, now or as soon as there is a sink.
func (b *bodyStream) finish(onEnd func(requestcore.BodySink)) {
	b.onEnd = onEnd
	if b.sink == nil {
		return
	}
	sink := b.sink
	b.sink = nil
	onEnd(sink)
}

// discardSink drops a body that no client waits for.
type discardSink struct{}

func (discardSink) OnPart(part []byte) int { return len(part) }
func (discardSink) OnComplete()            {}
func (discardSink) OnAborted()             {}
func (discardSink) HasBegun() bool         { return false }

// OnBodyStart settles the first attempt in flight with a body that follows. The attempt stays the first in flight until
// the whole body has been received.
func (c *connection) OnBodyStart(length int) {
	if len(c.inFlight) == 0 || !c.inFlight[0].fullyWritten() {
		c.fail(UnexpectedReply)
		return
	}
	first := c.inFlight[0]
	c.body = &bodyStream{connection: c, length: length}
	if first.settled { // no client waits for this body, but replies behind it may be expected
		c.body.sink = discardSink{}
	}
	first.settle(balancer.Succeeded, requestcore.Result{Body: c.body})
}

// OnBodyPart forwards the next bytes of a body, and returns how many the sink accepted. While bytes remain, the end of
// the connection is held back: a server may close it right behind a reply, and the sink must get all bytes before it is
// notified of the end.
func (c *connection) OnBodyPart(part []byte) int {
	accepted := 0
	if c.body != nil && c.body.sink != nil {
		accepted = c.body.sink.OnPart(part)
	}
	c.socket.SetInputHeld(accepted < len(part))
	return accepted
}

// OnBodyEnd handles the end of a body. If all attempts in flight behind it are settled, no client waits for their
// replies, and the connection is closed.
func (c *connection) OnBodyEnd() {
	body := c.body
	if body == nil {
		return
	}
	c.body = nil
	body.connection = nil
	c.removeFirstInFlight()
	c.pool.pools.loop.Defer(func() { body.finish(requestcore.BodySink.OnComplete) })
	if len(c.inFlight) == 0 {
		c.pool.release(c)
		return
	}
	if !c.hasPendingExcept(nil) {
		c.fail(AttemptAbandoned)
	}
}

// abortBody notifies the sink that the rest of the body cannot be received, if a body is being forwarded.
func (c *connection) abortBody() {
	body := c.body
	if body == nil {
		return
	}
	c.body = nil
	body.connection = nil
	body.broken = true
	c.pool.pools.loop.Defer(func() {
		waiting := body.isWaiting()
		body.finish(requestcore.BodySink.OnAborted)
		if waiting && body.onBroken != nil {
			body.onBroken()
		}
	})
}

// PeerEnded is called when the server has ended the connection and bytes before that end are unread.
func (c *connection) PeerEnded() {
	if c.isOpen() {
		c.failIfCutShort()
	}
}

// failIfCutShort closes the connection if the server has ended it before the end of a body of which no client has
// received a part: the body's request can be retried.
func (c *connection) failIfCutShort() {
	if c.body != nil && c.body.cutShort() {
		c.fail(ServerClosed)
	}
}
