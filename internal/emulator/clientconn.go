package emulator

import (
	"slices"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/ringbuffer"
)

// clientConn is one connection of a client to a router. It carries one try at a time.
type clientConn struct {
	d      *door
	conn   socket
	in     *ringbuffer.Buffer
	out    output
	speech clientSpeech
	up     bool
	used   int    // tries that were answered on it
	last   string // the id of the try that was answered last
	try    *Try
	end    uint64           // where the try's last byte stands in what was written
	timer  *eventloop.Timer // until the client leaves
	leave  bool             // before its time is up
	moved  float64          // when a byte of a long value last came
	leaves int              // bytes of a long value after which its client leaves; 0: it does not
	closed bool
}

// stuck is how many seconds a client waits for the next byte of a long value: longer than a router waits for a server's, which is 5.
const stuck = 7

// send puts a try on an idle connection, or on a new one.
func (d *door) send(t *Try) {
	for len(d.idle) > 0 && !t.Reading.plain() {
		c := d.idle[len(d.idle)-1]
		if d.idle = d.idle[:len(d.idle)-1]; c.conn.Quiet() {
			c.write(t)
			return
		}
		c.close()
	}
	d.fresh(t)
}

func (d *door) fresh(t *Try) {
	c := &clientConn{d: d}
	if c.speech = (&memcacheClient{c: c}); t.Op.Type.Scheme != "" {
		c.speech = &tileClient{c: c}
	}
	t.Router = d.n
	if d.c.load.Most > 0 && d.open >= d.c.load.Most {
		d.c.loop.Later(func() { d.c.over(t, NoConnection) })
		return
	}
	if t.Reading.plain() {
		d.open++
		conn := dialPlain(d.c.loop, d.addr.String(), t.Reading, t.Op.Type.Size/2, c)
		c.conn, c.in, c.out.conn = conn, conn.in, conn
		c.write(t)
		return
	}
	conn, err := d.c.loop.Dial(d.addr, c)
	if err != nil {
		d.shunt = d.c.loop.Now() + 0.5
		d.c.loop.Later(func() { d.c.over(t, NoConnection) })
		return
	}
	d.open++
	c.conn, c.in, c.out.conn = conn, conn.In, conn
	c.write(t)
}

func (c *clientConn) write(t *Try) {
	loop := c.d.c.loop
	c.try = t
	c.leave = c.d.c.load.Impatient > 0 && c.d.c.chance.Float64() < c.d.c.load.Impatient
	left := max(1e-3, t.Began+t.Wait-loop.Now())
	c.end = c.conn.Sent()
	for _, part := range c.speech.command(t, left) {
		c.out.add(part)
		c.end += uint64(len(part))
	}
	if c.leaves = 0; t.Reading.Leave {
		c.leaves = 1 + c.d.c.chance.IntN(t.Op.Type.Size-1)
	}
	c.timer = loop.Timer(c.overdue)
	if c.leave {
		left *= c.d.c.chance.Float64()
	} else {
		left += Tolerance
	}
	c.timer.Set(loop.Now() + left)
	if c.up {
		c.Flushed()
	}
}

// Opened takes that the connection is up.
func (c *clientConn) Opened() {
	c.up = true
	c.Flushed()
}

// Flushed writes on, and notes when a try was written whole.
func (c *clientConn) Flushed() {
	c.out.flush()
	if c.try != nil && c.try.Sent == 0 && c.conn.Sent() >= c.end {
		c.try.Sent = c.d.c.loop.Now()
	}
}

// overdue takes the time when the client goes away.
func (c *clientConn) overdue() {
	switch t := c.try; {
	case t == nil:
		return
	case t.Length > 0 && !c.leave:
		if wait := c.moved + stuck + t.Reading.Pause; c.d.c.loop.Now() < wait {
			c.timer.Set(wait)
			return
		}
		c.finish(Silent)
	case !c.up || t.Sent == 0:
		c.finish(NoConnection)
	case c.leave:
		c.finish(Left)
	default:
		c.finish(Silent)
	}
	c.close()
}

// finish ends the present try.
func (c *clientConn) finish(how End) {
	t := c.try
	c.try = nil
	c.timer.Stop()
	c.last = t.ID
	c.d.c.over(t, how)
}

// Input reads answers.
func (c *clientConn) Input() {
	for c.in.Len() > 0 && !c.closed {
		if _, err := c.speech.read(c.in); err != nil {
			c.strange(err.Error())
			return
		}
	}
}

// answered takes the answer to the present try, and uses the connection on as this kind of client does.
func (c *clientConn) answered(how End) {
	c.used++
	unsent := len(c.out.rest) > 0 || c.conn.Sent() < c.end // it was answered before all of it was written
	plain := c.try.Reading.plain()
	c.finish(how)
	switch use := c.d.c.load.Use; {
	case use == New || plain || unsent:
		c.close()
	case use == Once:
	default:
		c.d.idle = append(c.d.idle, c)
	}
}

// due tells whether an answer with this id, if it has one, is owed. One that is not is an answer too many.
func (c *clientConn) due(id string) bool {
	if c.try != nil && (id == "" || id == c.try.ID) {
		return true
	}
	if c.try == nil {
		c.d.c.book.Twice = append(c.d.c.book.Twice, c.last)
		c.close()
	} else {
		c.strange("an answer with the id " + id)
	}
	return false
}

// strange takes what means nothing: any other line is a failure.
func (c *clientConn) strange(what string) {
	if t := c.try; t != nil {
		if t.strange = what; t.Length > 0 {
			c.finish(Cut)
		} else {
			c.finish(Terminated)
		}
	}
	c.close()
}

// Closed takes the router's end of the connection. One that crosses a command that was not read is no loss: the command
// goes out once more.
func (c *clientConn) Closed() {
	if c.closed {
		return
	}
	if c.speech.closed() && c.closed {
		return
	}
	t, d := c.try, c.d
	reused := c.used > 0
	if t != nil {
		c.timer.Stop()
		c.try = nil
	}
	c.close()
	switch {
	case t == nil:
	case !c.up:
		d.shunt = d.c.loop.Now() + 0.5
		d.c.over(t, NoConnection)
	case t.Length > 0:
		d.c.over(t, Cut)
	case t.Op.Type.Effect == balancer.AtMostOnce && t.Sent > 0: // it may have been read, and have run
		d.c.over(t, Lost)
	case reused && !t.Again && t.Began+t.Wait > d.c.loop.Now():
		t.Again, t.AgainAt = true, d.c.loop.Now()
		t.Sent = 0
		d.fresh(t)
	default:
		d.c.over(t, Lost)
	}
}

func (c *clientConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	if i := slices.Index(c.d.idle, c); i >= 0 {
		c.d.idle = slices.Delete(c.d.idle, i, i+1)
	}
	c.d.open--
	c.conn.Close()
}

// plain tells whether it takes a connection of its own kind.
func (r Reading) plain() bool { return r.Rate > 0 || r.Pause > 0 }

// rests notes that the client reads nothing for so many seconds.
func (c *clientConn) rests(seconds float64) {
	if c.try != nil && c.try.Length > 0 {
		c.try.Rested += seconds
	}
}
