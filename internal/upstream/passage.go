package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
)

// silent is how long a cache server may give nothing of a long value: peers take seconds, and one that is cut off never goes on.
const silent = 5

// passage is a long value on its way from a server's connection to whoever takes it.
type passage struct {
	l      *link // nil once it is whole or broken
	length int
	to     requestcore.BodySink
	ended  func(requestcore.BodySink) // what became of it, where nobody had pulled yet
}

// Length is how many bytes it has.
func (p *passage) Length() int { return p.length }

// StartReading hands it on from now on.
func (p *passage) StartReading(to requestcore.BodySink) {
	if p.to = to; p.ended != nil {
		p.end(p.ended)
		return
	}
	p.ResumeReading()
}

// ResumeReading goes on reading.
func (p *passage) ResumeReading() {
	if l := p.l; l != nil && p.to != nil {
		l.Input()
		if p.l != nil && l.conn.In.Room() > 0 {
			l.conn.Resume()
		}
	}
}

// Discard gives it up: the rest is of no use, and its connection ends. Where others wait for answers behind it the rest is let go of as it
// comes: a client that leaves does not end the attempts of others.
func (p *passage) Discard() {
	if l := p.l; l != nil && l.carries(nil) {
		p.to = nobody{}
		l.on.f.loop.Later(p.ResumeReading)
		return
	} else if l != nil {
		l.broken(ClientGone)
	}
	p.to, p.ended = nil, func(requestcore.BodySink) {}
}

// wanted tells whether somebody waits for the rest of it.
func (p *passage) wanted() bool { return p.to != nobody{} && p.ended == nil }

// end tells what became of it, once there is somebody to tell.
func (p *passage) end(how func(requestcore.BodySink)) {
	if p.ended = how; p.to != nil {
		to := p.to
		p.to = nil
		how(to)
	}
}

// Passing settles the attempt whose turn it is at the first bytes of a long value. It stays first on its connection until all of
// that has come.
func (l *link) Passing(length int) {
	if len(l.queue) == 0 || !l.queue[0].written() {
		l.broken(OutOfOrder)
		return
	}
	l.passage = &passage{l: l, length: length}
	if l.queue[0].done { // nobody waits for it, but for what is behind it
		l.passage.to = nobody{}
	}
	l.queue[0].settle(balancer.Succeeded, requestcore.Result{Body: l.passage})
}

// nobody takes what nobody wants.
type nobody struct{}

func (nobody) OnPart(part []byte) int { return len(part) }
func (nobody) OnComplete()            {}
func (nobody) OnBroken()              {}

// Part takes the next bytes, as far as they can be handed on. The rest is held: a server may end the connection right behind an answer,
// and its taker reads the end of that much later.
func (l *link) Part(part []byte) (n int) {
	if l.passage != nil && l.passage.to != nil {
		n = l.passage.to.OnPart(part)
	}
	l.conn.Hold(n < len(part))
	return n
}

// Passed takes the end of a long value. If nobody waits for an answer behind it any more the connection is of no use.
func (l *link) Passed() {
	p := l.passage
	if p == nil {
		return
	}
	l.passage, p.l = nil, nil
	l.queue = l.queue[1:]
	l.on.f.loop.Later(func() { p.end(requestcore.BodySink.OnComplete) })
	switch {
	case len(l.queue) == 0:
		l.on.free(l)
	case !l.carries(nil):
		l.broken(GivenUp)
	}
}

// cut tells that the rest of a long value will not come.
func (l *link) cut() {
	if p := l.passage; p != nil {
		l.passage, p.l = nil, nil
		l.on.f.loop.Later(func() { p.end(requestcore.BodySink.OnBroken) })
	}
}
