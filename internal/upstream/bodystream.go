package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// bodyStallTimeout is how long a cache server may give nothing of a long value: peers take seconds, and one that is cut off never goes on.
const bodyStallTimeout = 5

// bodyStream is a long value on its way from a server's connection to whoever takes it.
type bodyStream struct {
	connection *connection // nil once it is whole or broken
	length     int
	sink       requestcore.BodySink
	outcome    func(requestcore.BodySink) // what became of it, where nobody had pulled yet
}

// Length is how many bytes it has.
func (p *bodyStream) Length() int { return p.length }

// StartReading hands it on from now on.
func (p *bodyStream) StartReading(to requestcore.BodySink) {
	if p.sink = to; p.outcome != nil {
		p.finish(p.outcome)
		return
	}
	p.ResumeReading()
}

// ResumeReading goes on reading.
func (p *bodyStream) ResumeReading() {
	if l := p.connection; l != nil && p.sink != nil {
		l.Input()
		if p.connection != nil && l.socket.In.Room() > 0 {
			l.socket.Resume()
		}
	}
}

// Discard gives it up: the rest is of no use, and its connection ends. Where others wait for answers behind it the rest is let go of as it
// comes: a client that leaves does not end the attempts of others.
func (p *bodyStream) Discard() {
	if l := p.connection; l != nil && l.awaitedBesides(nil) {
		p.sink = discardSink{}
		l.pool.pools.loop.Later(p.ResumeReading)
		return
	} else if l != nil {
		l.fail(ClientDisconnected)
	}
	p.sink, p.outcome = nil, func(requestcore.BodySink) {}
}

// awaited tells whether somebody waits for the rest of it.
func (p *bodyStream) awaited() bool { return p.sink != discardSink{} && p.outcome == nil }

// finish tells what became of it, once there is somebody to tell.
func (p *bodyStream) finish(how func(requestcore.BodySink)) {
	if p.outcome = how; p.sink != nil {
		to := p.sink
		p.sink = nil
		how(to)
	}
}

// OnBodyStart settles the attempt whose turn it is at the first bytes of a long value. It stays first on its connection until all of
// that has come.
func (l *connection) OnBodyStart(length int) {
	if len(l.inFlight) == 0 || !l.inFlight[0].fullyWritten() {
		l.fail(UnexpectedReply)
		return
	}
	l.body = &bodyStream{connection: l, length: length}
	if l.inFlight[0].settled { // nobody waits for it, but for what is behind it
		l.body.sink = discardSink{}
	}
	l.inFlight[0].settle(balancer.Succeeded, requestcore.Result{Body: l.body})
}

// discardSink takes what discardSink wants.
type discardSink struct{}

func (discardSink) OnPart(part []byte) int { return len(part) }
func (discardSink) OnComplete()            {}
func (discardSink) OnBroken()              {}

// OnBodyPart takes the next bytes, as far as they can be handed on. The rest is held: a server may end the connection right behind an answer,
// and its taker reads the end of that much later.
func (l *connection) OnBodyPart(part []byte) (n int) {
	if l.body != nil && l.body.sink != nil {
		n = l.body.sink.OnPart(part)
	}
	l.socket.Hold(n < len(part))
	return n
}

// OnBodyEnd takes the end of a long value. If nobody waits for an answer behind it any more the connection is of no use.
func (l *connection) OnBodyEnd() {
	p := l.body
	if p == nil {
		return
	}
	l.body, p.connection = nil, nil
	l.inFlight = l.inFlight[1:]
	l.pool.pools.loop.Later(func() { p.finish(requestcore.BodySink.OnComplete) })
	switch {
	case len(l.inFlight) == 0:
		l.pool.release(l)
	case !l.awaitedBesides(nil):
		l.fail(AttemptAbandoned)
	}
}

// breakBody tells that the rest of a long value will not come.
func (l *connection) breakBody() {
	if p := l.body; p != nil {
		l.body, p.connection = nil, nil
		l.pool.pools.loop.Later(func() { p.finish(requestcore.BodySink.OnBroken) })
	}
}
