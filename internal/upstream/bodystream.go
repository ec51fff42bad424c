package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// bodyStream forwards a body from a connection to a sink. It implements requestcore.BodyStream.
type bodyStream struct {
	connection *connection // nil once the body is complete or broken
	length     int         // bytes
	sink       requestcore.BodySink
	onEnd      func(requestcore.BodySink) // the sink's method for the way in which the body ended; nil: not ended
}

// Length returns the length of the body in bytes.
func (b *bodyStream) Length() int { return b.length }

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
	c.inFlight = c.inFlight[1:]
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
	c.pool.pools.loop.Defer(func() { body.finish(requestcore.BodySink.OnAborted) })
}
