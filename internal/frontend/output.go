package frontend

import "bendtrestle/internal/requestcore"

// segment is a part of a complete answer that is not in the connection's buffer yet: a text, or a body stream.
type segment struct {
	text   []byte // what is left of it
	answer *answer
	last   bool                   // with it the answer has left
	body   requestcore.BodyStream // in place of a text
}

// queueCompleteAnswers moves the answers that are complete, up to the first that is not, into segments.
func (c *ClientConn) queueCompleteAnswers() {
	for len(c.answers) > 0 && c.answers[0].parts != nil {
		c.queueAnswer(c.answers[0])
		c.answers = c.answers[1:]
	}
}

func (c *ClientConn) queueAnswer(a *answer) {
	for i, part := range a.parts {
		last := i == len(a.parts)-1
		c.segments = append(c.segments, segment{text: part, answer: a, last: last})
		if i == 0 && a.body != nil {
			c.segments = append(c.segments, segment{answer: a, body: a.body})
			c.frontend.openBodies++
		}
	}
}

// Flushed fills the connection's buffer from the segments, and reads on if that was held up. The event loop calls it
// when the buffer has room again.
func (c *ClientConn) Flushed() {
	if !c.writeSegments() {
		return
	}
	if !c.isFull() && !c.closing {
		c.conn.Resume()
		if c.conn.In.Len() > 0 {
			c.frontend.loop.Later(c.resumeInput)
		}
	}
	if c.closing || c.frontend.closingIdle {
		c.frontend.loop.Later(c.closeIfIdle)
	}
}

// writeSegments writes while there is room, and reports whether no segment is left.
func (c *ClientConn) writeSegments() (done bool) {
	for len(c.segments) > 0 {
		first := &c.segments[0]
		if first.body != nil {
			c.continueBody(first)
			return false
		}
		if !c.writeText(first) {
			return false
		}
		if first.last {
			first.answer.countEnd(true)
		}
		c.segments = c.segments[1:]
	}
	return true
}

// writeText writes a segment's text as far as there is room, and reports whether all of it is written.
func (c *ClientConn) writeText(s *segment) (done bool) {
	n := c.conn.Write(s.text)
	s.answer.addHeldBytes(-n)
	if n > 0 {
		c.lastActive = c.frontend.loop.Now()
	}
	s.text = s.text[n:]
	return len(s.text) == 0
}

// continueBody starts the body stream that is the first segment, or goes on with it.
func (c *ClientConn) continueBody(s *segment) {
	body := s.body
	if c.bodyStarted {
		body.ResumeReading()
		return
	}
	sink := s.answer
	c.bodyStarted = true
	c.frontend.loop.Later(func() {
		if c.isOpen() {
			body.StartReading(sink)
		}
	})
}

// OnPart writes some of the body, and returns how many bytes there was room for.
func (a *answer) OnPart(part []byte) int {
	c := a.conn
	n := c.conn.Write(part)
	a.bodyBytes += n
	if n > 0 {
		c.lastActive = c.frontend.loop.Now()
	}
	return n
}

// OnComplete ends the body; what is owed behind it goes on.
func (a *answer) OnComplete() {
	c := a.conn
	if !c.isOpen() {
		return
	}
	c.frontend.openBodies--
	c.bodyStarted = false
	c.sendBufferExtended = false
	c.segments = c.segments[1:]
	c.Flushed()
}

// OnBroken closes the connection: only by that can the client tell that the value is not complete.
func (a *answer) OnBroken() {
	c := a.conn
	if !c.isOpen() {
		return
	}
	a.outcome = outcomeFailed
	a.countEnd(true)
	c.frontend.openBodies--
	c.segments = c.segments[1:]
	c.segments[0].last = false // it is the end of this answer, which is counted already
	c.cutReason = BodyBroken
	c.close()
}
