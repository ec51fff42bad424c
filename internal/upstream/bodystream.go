package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// bodyStream is a body on its way from a connection to its sink. It is a requestcore.BodyStream.
type bodyStream struct {
	connection *connection // nil once the body is complete or broken
	length     int         // bytes
	sink       requestcore.BodySink
	onEnd      func(requestcore.BodySink) // what to call on a sink that comes after the end; nil: it has not ended
}

// Length is how many bytes the body has.
func (b *bodyStream) Length() int { return b.length }

// StartReading hands the body to a sink from now on.
func (b *bodyStream) StartReading(sink requestcore.BodySink) {
	b.sink = sink
	if b.onEnd != nil {
		b.finish(b.onEnd)
		return
	}
	b.ResumeReading()
}

// ResumeReading goes on reading; the sink calls it when it has room again.
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

// Discard gives the rest up, and its connection ends. Where others wait for replies behind it, the rest is read and
// dropped instead: a client that leaves does not end the attempts of others.
func (b *bodyStream) Discard() {
	c := b.connection
	if c != nil && c.hasPendingExcept(nil) {
		b.sink = discardSink{}
		c.pool.pools.loop.Later(b.ResumeReading)
		return
	}
	if c != nil {
		c.fail(ClientDisconnected)
	}
	b.sink = nil
	b.onEnd = func(requestcore.BodySink) {}
}

// wanted tells whether somebody waits for the rest.
func (b *bodyStream) wanted() bool { return b.sink != discardSink{} && b.onEnd == nil }

// finish tells the sink how the body ended, now or once there is a sink.
func (b *bodyStream) finish(ending func(requestcore.BodySink)) {
	b.onEnd = ending
	if b.sink == nil {
		return
	}
	sink := b.sink
	b.sink = nil
	ending(sink)
}

// discardSink takes a body that nobody waits for.
type discardSink struct{}

func (discardSink) OnPart(part []byte) int { return len(part) }
func (discardSink) OnComplete()            {}
func (discardSink) OnBroken()              {}

// OnBodyStart settles the attempt whose turn it is with a body that follows. The attempt stays the first in flight
// until all of the body has come.
func (c *connection) OnBodyStart(length int) {
	if len(c.inFlight) == 0 || !c.inFlight[0].fullyWritten() {
		c.fail(UnexpectedReply)
		return
	}
	first := c.inFlight[0]
	c.body = &bodyStream{connection: c, length: length}
	if first.settled { // nobody waits for it, but for what is behind it
		c.body.sink = discardSink{}
	}
	first.settle(balancer.Succeeded, requestcore.Result{Body: c.body})
}

// OnBodyPart hands the next bytes of a body on, and returns how many were taken. The rest is held: a server may end
// the connection right behind a reply, and the sink is told of the end after all bytes.
func (c *connection) OnBodyPart(part []byte) int {
	taken := 0
	if c.body != nil && c.body.sink != nil {
		taken = c.body.sink.OnPart(part)
	}
	c.socket.Hold(taken < len(part))
	return taken
}

// OnBodyEnd takes the end of a body. If nobody waits for a reply behind it the connection is of no use any more.
func (c *connection) OnBodyEnd() {
	body := c.body
	if body == nil {
		return
	}
	c.body = nil
	body.connection = nil
	c.inFlight = c.inFlight[1:]
	c.pool.pools.loop.Later(func() { body.finish(requestcore.BodySink.OnComplete) })
	if len(c.inFlight) == 0 {
		c.pool.release(c)
		return
	}
	if !c.hasPendingExcept(nil) {
		c.fail(AttemptAbandoned)
	}
}

// abortBody tells that the rest of a body will not come, if one is being passed on.
func (c *connection) abortBody() {
	body := c.body
	if body == nil {
		return
	}
	c.body = nil
	body.connection = nil
	c.pool.pools.loop.Later(func() { body.finish(requestcore.BodySink.OnBroken) })
}
