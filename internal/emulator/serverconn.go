package emulator

import (
	"hash/crc32"
	"strconv"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/meta"
)

// serverConn is one connection to a cache server: commands are begun as they come and answered in their order.
type serverConn struct {
	s       *Server
	conn    *eventloop.Conn
	out     output
	speech  speech
	first   float64  // when the command at hand began to come
	replies []*reply // owed, in the order of the commands
	surplus bool     // beyond its bound
	fresh   bool     // its price is still to be paid
	used    float64  // when it was last busy
	spoilt  bool     // a spoilt answer was given: it is of no further use
	gone    bool
	giving  []*reply // long values that the kernel has not taken whole, in order
	last    *reply   // the long value that was given last
	given   uint64   // bytes that were written to out
}

// reply is what is owed for one command.
type reply struct {
	c     *serverConn
	x     *Execution
	key   string
	extra any      // of the protocol
	tag   string   // of a copy that its sender has
	until float64  // when its sender stops waiting
	job   *job     // at a core
	fetch *job     // at the origin
	text  [][]byte // nil while it is not ready
	end   uint64   // where its last byte stands in what its connection is given
	how   ending   // of a long value
}

func (s *Server) accepted(conn *eventloop.Conn) eventloop.Handler {
	c := &serverConn{s: s, conn: conn, fresh: true, used: s.f.loop.Now()}
	c.out.conn = conn
	if c.speech = (&memcacheSpeech{c: c}); s.f.tiles != nil {
		c.speech = &tileSpeech{c: c}
	}
	if len(s.f.book.Accepts) < bookBound {
		s.f.book.Accepts = append(s.f.book.Accepts, Accept{At: s.f.loop.Now(), Server: s})
	}
	c.surplus = s.Connections > 0 && len(s.conns) >= s.Connections
	s.conns[c] = true
	return c
}

// Opened is for dialled connections.
func (c *serverConn) Opened() {}

// Input reads commands while not too many are worked on.
func (c *serverConn) Input() {
	if c.gone || c.s.vanished > 0 {
		return
	}
	for c.conn.In.Len() > 0 && !c.full() && !c.spoilt {
		if !c.speech.begun() {
			c.first = c.s.f.loop.Now()
		}
		held := c.conn.In.Len()
		if _, err := c.speech.read(c.conn.In); err != nil {
			c.lose(false)
			return
		}
		if c.gone {
			return
		}
		if c.conn.In.Len() == held {
			break // a long write's line that has not come whole
		}
	}
	if c.full() || c.spoilt {
		c.conn.Pause()
	}
}

func (c *serverConn) full() bool { return len(c.replies) >= max(1, c.s.PerConnection) }

// Flushed writes on.
func (c *serverConn) Flushed() {
	c.out.flush()
	c.taken()
}

func (c *serverConn) say(text string) {
	c.replies = append(c.replies, &reply{c: c, text: [][]byte{[]byte(text)}})
	c.give()
}

// take begins an execution; left is how long its sender waits, 0 if it does not say; damage is what was wrong with its value.
func (c *serverConn) take(t *TrafficType, key, id, mark string, left float64, extra any, damage string) {
	s, now := c.s, c.s.f.loop.Now()
	x := &Execution{ID: id, Server: s, Type: t, First: c.first, Last: now, Cold: s.warmth(now) < 1, Work: t.draw(s.chance)}
	x.Mark, x.Damaged = mark, damage
	s.f.book.open(x)
	r := &reply{c: c, x: x, key: key, extra: extra}
	if left > 0 {
		r.until = now + left
	}
	c.replies = append(c.replies, r)
	work := x.Work
	if c.fresh {
		work += s.Handshake
		c.fresh = false
	}
	if s.comes(work) {
		return
	}
	if c.surplus || s.mode != Ready && s.f.drainTurnsAway || len(s.work.waiting) >= s.Queue {
		r.finish(TurnedAway, []byte(r.c.speech.busy()))
		return
	}
	r.job = s.work.add(work, r.begin, r.worked)
}

// begin is asked when a core is free: what is over already is turned away.
func (r *reply) begin() bool {
	now := r.c.s.f.loop.Now()
	if r.until > 0 && now >= r.until {
		r.finish(TurnedAway, []byte(r.c.speech.busy()))
		return false
	}
	r.x.Began = now
	return true
}

// worked follows the work: a read that misses goes to the origin, a write takes effect.
func (r *reply) worked() {
	r.job = nil
	s := r.c.s
	switch {
	case s.chance.Float64() < s.fail:
		r.finish(Failed, []byte(r.c.speech.failed()))
	case r.x.Type.Write:
		r.stored()
	case s.kept.has(r.key):
		r.made()
	default:
		r.x.Miss = true
		r.fetch = s.f.ledger.fetch(s, r.fetched)
	}
}

func (r *reply) fetched() {
	r.fetch = nil
	if s := r.c.s; !s.fallen && s.dead == 0 {
		s.kept.put(r.key)
		r.made()
	}
}

func (r *reply) made() {
	text, sum := r.c.speech.value(r)
	r.x.Made = sum
	r.finish(Answered, text...)
}

// stored lets a write take effect, unless its mark is known to those who drop its repeats.
func (r *reply) stored() {
	s, x, now := r.c.s, r.x, r.c.s.f.loop.Now()
	receipt := strconv.FormatUint(s.f.serial(), 10)
	if m := s.f.memory(s, x.Type); x.Mark != "" && m != nil {
		if known, there := m.repeat(now, x.Mark); there {
			x.Repeat, receipt = true, known
		} else {
			m.take(now, x.Mark, receipt, x.Type.Window)
		}
	}
	if !x.Repeat {
		x.Effect = true
		s.f.drop(r.key)
		s.f.ledger.write(s)
	}
	x.Made = crc32.ChecksumIEEE([]byte(receipt))
	r.finish(Answered, meta.AppendStored(nil, x.ID, receipt))
}

// finish gives an answer, or what a fault makes of it.
func (r *reply) finish(how How, text ...[]byte) {
	s := r.c.s
	r.x.End = s.f.loop.Now()
	r.x.How = how
	if how == Answered && !r.c.gone {
		if s.chance.Float64() < s.reset {
			r.x.How = Failed
			r.c.lose(true)
			return
		}
		if s.chance.Float64() < s.spoil {
			r.x.How = Spoilt
			text = [][]byte{[]byte(r.c.speech.spoiled(first(text, meta.ValueBound)))}
			r.c.spoilt = true
		} else if r.x.Length > 0 {
			text = r.draw(text)
		}
	}
	r.text = text
	r.c.give()
}

// give writes the answers whose turn it is.
func (c *serverConn) give() {
	if c.gone {
		return
	}
	c.used = c.s.f.loop.Now()
	for len(c.replies) > 0 && c.replies[0].text != nil && (c.last == nil || c.last.how == goesOn) {
		r := c.replies[0]
		for _, part := range r.text {
			c.out.add(part)
			c.given += uint64(len(part))
		}
		if c.replies = c.replies[1:]; r.x != nil && r.x.Length > 0 {
			r.end = c.given
			c.giving, c.last = append(c.giving, r), r
		}
		if c.s.vanished == 0 {
			c.out.flush()
		}
		if c.taken(); c.gone {
			return
		}
	}
	if !c.full() && !c.spoilt && c.s.vanished == 0 {
		c.conn.Resume()
		if c.conn.In.Len() > 0 {
			c.s.f.loop.Later(c.Input)
		}
	}
}

// mute makes it silent, or lets it go on: a machine that comes back resets what it had.
func (c *serverConn) mute(on bool) {
	if on {
		c.broke(false)
		c.conn.Pause()
	} else if c.out.held {
		c.lose(true)
	}
	c.out.held = on
}

// lose ends the connection from here.
func (c *serverConn) lose(reset bool) {
	if c.gone {
		return
	}
	if c.broke(reset); reset {
		c.conn.Reset()
	} else {
		c.conn.Close()
	}
	c.Closed()
}

// Closed takes its end: work that is not answered stops, if this kind of server can stop work.
func (c *serverConn) Closed() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.s.conns, c)
	for _, r := range c.replies {
		if r.x == nil || r.text != nil || r.x.How != Open {
			continue
		}
		if !c.s.Cancels && c.s.dead == 0 && !c.s.fallen {
			continue // it goes on, for nobody
		}
		if r.x.How, r.x.End = Cancelled, c.s.f.loop.Now(); r.job != nil {
			c.s.work.cancel(r.job)
		}
		if r.fetch != nil {
			c.s.f.ledger.work.cancel(r.fetch)
		}
	}
}

func (c *serverConn) idle() bool {
	return len(c.replies) == 0 && len(c.giving) == 0 && !c.speech.begun() && c.conn.In.Len() == 0
}

// output is what waits to be written to a connection.
type output struct {
	conn interface{ Write(p []byte) (taken int) }
	rest [][]byte
	held bool // nothing is written
}

func (o *output) add(p []byte) { o.rest = append(o.rest, p) }

func (o *output) flush() {
	for len(o.rest) > 0 && !o.held {
		n := o.conn.Write(o.rest[0])
		if o.rest[0] = o.rest[0][n:]; len(o.rest[0]) > 0 {
			return
		}
		o.rest = o.rest[1:]
	}
}
