package frontend

import "bendtrestle/internal/requestcore"

// segment is a part of a complete answer that is not in the connection's buffer yet: a text, or a body stream.
type segment struct {
	text   []byte // the rest of the text that is not written yet
	answer *answer
	last   bool                   // it is the answer's last segment
	body   requestcore.BodyStream // instead of a text
}

// queueCompleteAnswers converts the answers before the first incomplete one to segments.
func (c *ClientConn) queueCompleteAnswers() {
	for len(c.answers) > 0 && c.answers[0].parts != nil {
		c.queueAnswer(c.answers[0])
		c.answers[0] = nil // the array of the slice must not keep the value in memory
		c.answers = c.answers[1:]
	}
}

// removeFirstSegment removes a segment that is written, or whose body has ended.
func (c *ClientConn) removeFirstSegment() {
	c.segments[0] = segment{} // the array of the slice must not keep the text in memory
	c.segments = c.segments[1:]
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
	a.parts = nil // the segments have them
}

// isNext reports whether an incomplete answer is the next to be written, and all those before it are.
func (c *ClientConn) isNext(a *answer) bool {
	return len(c.segments) == 0 && len(c.answers) > 0 && c.answers[0] == a
}

// startNextBody calls the next answer's onTurn, if it waits for its turn, after the current callback.
func (c *ClientConn) startNextBody() {
	if len(c.answers) == 0 || c.answers[0].onTurn == nil {
		return
	}
	next := c.answers[0]
	c.frontend.loop.Defer(next.onTurn)
	next.onTurn = nil
}

// Flushed writes the segments to the connection's buffer, and resumes reading if too many pending answers had paused
// it. The event loop calls it when the buffer has room again.
func (c *ClientConn) Flushed() {
	if !c.writeSegments() {
		return
	}
	c.startNextBody()
	if c.lacksMemory() {
		c.pauseForMemory()
	}
	if !c.isFull() && !c.closing {
		c.resumeReading()
		if c.conn.In.Len() > 0 {
			c.frontend.loop.Defer(c.resumeInput)
		}
	}
	if c.closing || c.frontend.closingIdle {
		c.frontend.loop.Defer(c.closeIfIdle)
	}
}

// writeSegments writes segments while the buffer has room, and reports whether none is left.
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
		c.removeFirstSegment()
	}
	return true
}

// writeText writes a segment's text as far as the buffer has room, and reports whether all of it is written.
func (c *ClientConn) writeText(s *segment) (done bool) {
	n := c.conn.Write(s.text)
	s.answer.addBufferedBytes(-n)
	if n > 0 {
		c.lastActive = c.frontend.loop.Now()
	}
	s.text = s.text[n:]
	return len(s.text) == 0
}

// continueBody starts or resumes the body stream that is the first segment.
func (c *ClientConn) continueBody(s *segment) {
	body := s.body
	if c.bodyStarted {
		body.ResumeReading()
		return
	}
	sink := s.answer
	c.bodyStarted = true
	c.frontend.loop.Defer(func() {
		if c.isOpen() {
			body.StartReading(sink)
		}
	})
}

// OnPart writes a part of the body, and returns how many bytes there was room for.
func (a *answer) OnPart(part []byte) int {
	c := a.conn
	n := c.conn.Write(part)
	a.bodyBytes += n
	if n > 0 {
		c.lastActive = c.frontend.loop.Now()
	}
	return n
}

// OnComplete ends the body, and writes the segments after it.
func (a *answer) OnComplete() {
	c := a.conn
	if !c.isOpen() {
		return
	}
	c.frontend.openBodies--
	c.bodyStarted = false
	c.sendBufferExtended = false
	c.removeFirstSegment()
	c.Flushed()
}

// OnAborted closes the connection, because the client cannot detect an incomplete value in any other way.
func (a *answer) OnAborted() {
	c := a.conn
	if !c.isOpen() {
		return
	}
	a.outcome = outcomeFailed
	a.countEnd(true)
	c.frontend.openBodies--
	c.removeFirstSegment()
	c.segments[0].last = false // the rest of this answer, whose end is counted already
	c.cutReason = BodyBroken
	c.close()
}
