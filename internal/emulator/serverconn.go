package emulator

import (
	"hash/crc32"
	"strconv"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/meta"
)

// serverConn is one connection to a cache server. Commands are started as they arrive and answered in order.
type serverConn struct {
	server       *Server
	conn         *eventloop.Conn
	out          output
	protocol     serverProtocol
	firstByteAt  float64  // when the first byte of the current command was read
	replies      []*reply // not yet written, in the order of the commands
	overLimit    bool     // beyond the server's connection limit
	handshakeDue bool     // the handshake's work is still to be charged
	lastBusy     float64  // when it last wrote a reply
	corrupted    bool     // a malformed answer was sent: no further command is read
	closed       bool
	unsentLong   []*reply // long values that the kernel has not taken completely, in order
	lastLong     *reply   // the last long value that was written
	written      uint64   // bytes that were added to out
}

// reply is the pending reply to one command.
type reply struct {
	conn         *serverConn
	execution    *Execution
	key          string
	protocolData any      // e.g. the requested tile
	etag         string   // ETag of the copy that the sender has; empty: none
	deadline     float64  // when its sender stops waiting; 0: unknown
	job          *job     // waiting for or running on a core
	fetch        *job     // waiting or running at the origin
	text         [][]byte // nil until it is ready
	endOffset    uint64   // offset of its last byte among all bytes written to the connection
	ending       ending   // of the connection, if it carries a long value
}

func (s *Server) accepted(conn *eventloop.Conn) eventloop.Handler {
	c := &serverConn{server: s, conn: conn, handshakeDue: true, lastBusy: s.fleet.loop.Now()}
	c.out.conn = conn
	if c.protocol = (&memcacheServer{conn: c}); s.fleet.tileService != nil {
		c.protocol = &tileServer{conn: c}
	}
	if len(s.fleet.records.Accepts) < maxRecords {
		s.fleet.records.Accepts = append(s.fleet.records.Accepts, Accept{At: s.fleet.loop.Now(), Server: s})
	}
	c.overLimit = s.Connections > 0 && len(s.conns) >= s.Connections
	s.conns[c] = true
	return c
}

// Opened is never called: the connection was accepted, not dialled.
func (c *serverConn) Opened() {}

// Input reads commands until the connection's limit of commands in progress is reached.
func (c *serverConn) Input() {
	if c.closed || c.server.unreachable > 0 {
		return
	}
	for c.conn.In.Len() > 0 && !c.full() && !c.corrupted {
		if !c.protocol.begun() {
			c.firstByteAt = c.server.fleet.loop.Now()
		}
		before := c.conn.In.Len()
		if _, err := c.protocol.read(c.conn.In); err != nil {
			c.disconnect(false)
			return
		}
		if c.closed {
			return
		}
		if c.conn.In.Len() == before {
			break // a long write's line is incomplete
		}
	}
	if c.full() || c.corrupted {
		c.conn.Pause()
	}
}

func (c *serverConn) full() bool { return len(c.replies) >= max(1, c.server.PerConnection) }

// Flushed writes pending replies.
func (c *serverConn) Flushed() {
	c.out.flush()
	c.handleSentValues()
}

func (c *serverConn) replyText(text string) {
	c.replies = append(c.replies, &reply{conn: c, text: [][]byte{[]byte(text)}})
	c.writeReplies()
}

// startExecution starts an execution, or rejects it. remaining is for how many seconds its sender waits, 0 if it is not
// stated. damage is what was wrong with the value of a write, empty if nothing.
func (c *serverConn) startExecution(trafficType *TrafficType, key, id, idempotencyKey string, remaining float64,
	extra any, damage string) {
	server, now := c.server, c.server.fleet.loop.Now()
	execution := &Execution{ID: id, Server: server, Type: trafficType, First: c.firstByteAt, Last: now,
		Cold: server.capacityFraction(now) < 1, Work: trafficType.drawWork(server.rng)}
	execution.IdempotencyKey, execution.Damaged = idempotencyKey, damage
	server.fleet.records.open(execution)
	reply := &reply{conn: c, execution: execution, key: key, protocolData: extra}
	if remaining > 0 {
		reply.deadline = now + remaining
	}
	c.replies = append(c.replies, reply)
	work := execution.Work
	if c.handshakeDue {
		work += server.Handshake
		c.handshakeDue = false
	}
	if server.addLoad(work) {
		return
	}
	if c.overLimit || server.mode != Ready && server.fleet.drainingRejects ||
		len(server.processor.waiting) >= server.Queue {
		reply.finish(RejectedExecution, []byte(reply.conn.protocol.busyReply()))
		return
	}
	reply.job = server.processor.add(work, reply.begin, reply.workDone)
}

// begin is called when a core is free. It rejects the command if its sender no longer waits.
func (r *reply) begin() bool {
	now := r.conn.server.fleet.loop.Now()
	if r.deadline > 0 && now >= r.deadline {
		r.finish(RejectedExecution, []byte(r.conn.protocol.busyReply()))
		return false
	}
	r.execution.Began = now
	return true
}

// workDone continues after the work on a core: a read that misses goes to the origin, a write takes effect.
func (r *reply) workDone() {
	r.job = nil
	server := r.conn.server
	switch {
	case server.rng.Float64() < server.failFraction:
		r.finish(Failed, []byte(r.conn.protocol.failedReply()))
	case r.execution.Type.Write:
		r.applyWrite()
	case server.cache.has(r.key):
		r.answer()
	default:
		r.execution.Miss = true
		r.fetch = server.fleet.origin.fetch(server, r.fetched)
	}
}

func (r *reply) fetched() {
	r.fetch = nil
	if server := r.conn.server; !server.collapsed && server.crashed == 0 {
		server.cache.put(r.key)
		r.answer()
	}
}

func (r *reply) answer() {
	text, sum := r.conn.protocol.encodeValue(r)
	r.execution.AnswerSum = sum
	r.finish(Answered, text...)
}

// applyWrite lets a write take effect, unless its idempotency key is in the deduplication table. In that case it
// answers with the receipt of the first write.
func (r *reply) applyWrite() {
	server, execution, now := r.conn.server, r.execution, r.conn.server.fleet.loop.Now()
	receipt := strconv.FormatUint(server.fleet.nextSerial(), 10)
	if m := server.fleet.dedupTable(server, execution.Type); execution.IdempotencyKey != "" && m != nil {
		if known, there := m.lookup(now, execution.IdempotencyKey); there {
			execution.Repeat, receipt = true, known
		} else {
			m.add(now, execution.IdempotencyKey, receipt, execution.Type.Window)
		}
	}
	if !execution.Repeat {
		execution.Effect = true
		server.fleet.invalidate(r.key)
		server.fleet.origin.write(server)
	}
	execution.AnswerSum = crc32.ChecksumIEEE([]byte(receipt))
	r.finish(Answered, meta.AppendStored(nil, execution.ID, receipt))
}

// finish ends the execution and sends its answer, or what an active fault makes of it.
func (r *reply) finish(outcome Outcome, text ...[]byte) {
	server := r.conn.server
	r.execution.End = server.fleet.loop.Now()
	r.execution.Outcome = outcome
	if outcome == Answered && !r.conn.closed {
		if server.rng.Float64() < server.resetFraction {
			r.execution.Outcome = Failed
			r.conn.disconnect(true)
			return
		}
		if server.rng.Float64() < server.corruptFraction {
			r.execution.Outcome = MalformedAnswer
			text = [][]byte{[]byte(r.conn.protocol.corrupt(prefixText(text, meta.MaxBufferedValueBytes)))}
			r.conn.corrupted = true
		} else if r.execution.Length > 0 {
			text = r.drawEnding(text)
		}
	}
	r.text = text
	r.conn.writeReplies()
}

// writeReplies writes the replies that are ready, in the order of the commands.
func (c *serverConn) writeReplies() {
	if c.closed {
		return
	}
	c.lastBusy = c.server.fleet.loop.Now()
	for len(c.replies) > 0 && c.replies[0].text != nil && (c.lastLong == nil || c.lastLong.ending == staysOpen) {
		reply := c.replies[0]
		for _, piece := range reply.text {
			c.out.add(piece)
			c.written += uint64(len(piece))
		}
		if c.replies = c.replies[1:]; reply.execution != nil && reply.execution.Length > 0 {
			reply.endOffset = c.written
			c.unsentLong, c.lastLong = append(c.unsentLong, reply), reply
		}
		if c.server.unreachable == 0 {
			c.out.flush()
		}
		if c.handleSentValues(); c.closed {
			return
		}
	}
	if !c.full() && !c.corrupted && c.server.unreachable == 0 {
		c.conn.Resume()
		if c.conn.In.Len() > 0 {
			c.server.fleet.loop.Defer(c.Input)
		}
	}
}

// setUnreachable makes the connection silent, or ends its silence. A machine that becomes reachable again resets the
// connections that it had.
func (c *serverConn) setUnreachable(on bool) {
	if on {
		c.markBroken(false)
		c.conn.Pause()
	} else if c.out.paused {
		c.disconnect(true)
	}
	c.out.paused = on
}

// disconnect ends the connection from the server's side.
func (c *serverConn) disconnect(reset bool) {
	if c.closed {
		return
	}
	if c.markBroken(reset); reset {
		c.conn.Reset()
	} else {
		c.conn.Close()
	}
	c.Closed()
}

// Closed handles the connection's end. Unanswered work is cancelled if the server supports cancellation or has crashed
// or collapsed.
func (c *serverConn) Closed() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	for _, reply := range c.replies {
		if reply.execution == nil || reply.text != nil || reply.execution.Outcome != Open {
			continue
		}
		if !c.server.Cancels && c.server.crashed == 0 && !c.server.collapsed {
			continue // the work continues, although its answer can't be sent
		}
		if reply.execution.Outcome, reply.execution.End = Cancelled, c.server.fleet.loop.Now(); reply.job != nil {
			c.server.processor.cancel(reply.job)
		}
		if reply.fetch != nil {
			c.server.fleet.origin.processor.cancel(reply.fetch)
		}
	}
}

func (c *serverConn) idle() bool {
	return len(c.replies) == 0 && len(c.unsentLong) == 0 && !c.protocol.begun() && c.conn.In.Len() == 0
}

// output is the data that waits to be written to a connection.
type output struct {
	conn    interface{ Write(p []byte) (taken int) }
	pending [][]byte
	paused  bool // nothing is written while set
}

func (o *output) add(p []byte) { o.pending = append(o.pending, p) }

func (o *output) flush() {
	for len(o.pending) > 0 && !o.paused {
		n := o.conn.Write(o.pending[0])
		if o.pending[0] = o.pending[0][n:]; len(o.pending[0]) > 0 {
			return
		}
		o.pending = o.pending[1:]
	}
}
