// Package frontend serves clients, whatever they speak: it holds their connections, hands operations to whoever takes them
// and writes the answers in the order of the commands. What is read and written is a codec's, one for each protocol.
package frontend

import (
	"cmp"
	"hash/maphash"

	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Limits bound the connections. What is open or held is bounded by the desk.
type Limits struct {
	Connections int // beyond these, idle ones make room, else the new one is declined and closed
	Spare       int // so many beyond them are accepted to be declined
	Arriving    int // bytes set apart for long writes on their way
}

const (
	unread    = 32   // answers owed to one connection before its next commands are left in the socket
	patience  = 10   // seconds without a byte of an answer being read; several times the longest hard stops seen
	begins    = 2.4  // seconds for a command to become whole, or to come at all: clients may take 2 for it
	standing  = 5    // seconds without a byte of a long write's body: clients take seconds to write
	lasting   = 30   // seconds for all of it
	settled   = 1    // seconds without a byte, after which a connection that has been used is not needed now
	arriving  = 0.1  // the same where a place is sought, also for one that has just come: it means to send at once
	kept      = 2    // seconds that an idle connection is kept; where half of the places are taken, settled
	lasts     = 0.5  // seconds in which a client may read what it was last told, and end its side: far more than a round trip
	faults    = 3    // commands that can't be used, after which a connection ends: a person may mistype
	recent    = 4096 // ids remembered: the operations of some seconds at a thousand a second
	over      = -1.0 // of an operation's time: its client waits no longer
	usualLeft = 1    // seconds that a client without a stated limit is taken to wait, if its type has none either
)

// Codec is the protocol of one connection. It calls its client with what it reads.
type Codec interface {
	Read(in *ringbuffer.Buffer) (whole bool, err error) // hands on the next command; after an error nothing more can be read
	Begun() bool                                        // a command has begun and is not whole
	Broken(err error) []byte                            // what is said where the stream cannot be followed any more
	Unfinished() []byte                                 // what is said to one who does not finish a command
	Finished(op *requestcore.Request, with requestcore.Result) [][]byte
	Declined(op *requestcore.Request, after float64) []byte
	Terminated(op *requestcore.Request) []byte
}

// Protocol makes the codec of a new connection.
type Protocol func(c *Client) Codec

// Cut is why a client's connection ended with an answer owed on it.
type Cut int

const (
	ClientLeft Cut = iota // the client closed or reset it
	Unread                // it read none of its answer for too long
	ValueCut              // the rest of its value will not come
	cuts
)

// Cuts names them, for the door and the log.
var Cuts = [cuts]string{"client_left", "unread", "value_cut"}

// Front is all clients.
type Front struct {
	loop     *eventloop.Loop
	desk     requestcore.Dispatcher
	limits   Limits
	clients  map[*Client]bool
	tallies  map[string]*Tally // by the traffic type that clients name
	open     int               // operations taken and not ended
	passing  int               // long values on their way
	deepened int               // bytes of them that the kernel may hold
	cut      [cuts]uint64      // connections that ended with an answer owed
	arriving int               // bytes set apart for long writes
	short    bool              // an operation found no place since the last sweep
	ready    bool              // mn is answered MN
	drain    bool              // it is not, for clients are sent away
	leaving  bool              // connections are closed as they become idle
	until    float64           // by when all is to be answered, for the process ends; 0: it does not
	salt     maphash.Seed
	ids      [recent]struct {
		hash  uint64
		until float64
	}
}

// Tally is how operations of a traffic type ended: answered with what a server made, deferred to another try, errored. What a
// client left before its answer is in none.
type Tally struct{ Answered, Deferred, Errored uint64 }

// end is how an operation's answer counts.
type end int

const (
	answered end = iota
	deferred
	errored
)

func (t *Tally) count(how end) {
	switch how {
	case answered:
		t.Answered++
	case deferred:
		t.Deferred++
	case errored:
		t.Errored++
	}
}

// New makes a front without clients.
func New(loop *eventloop.Loop, desk requestcore.Dispatcher, limits Limits) *Front {
	f := &Front{loop: loop, desk: desk, limits: limits, clients: map[*Client]bool{}, tallies: map[string]*Tally{}, salt: maphash.MakeSeed()}
	f.sweep()
	return f
}

// sweep closes what holds memory or a place for nothing: a client that reads none of its answers, one that says
// nothing or does not finish the command it has begun, and idle ones. What stands unread in the socket is no silence: the loop may
// have been stopped meanwhile.
func (f *Front) sweep() {
	now := f.loop.Now()
	for c := range f.clients {
		switch idle := len(c.answers) == 0; {
		case len(c.rest) > 0 || c.conn.Unsent() > 0:
			// A client that reads a little makes room in the kernel that the router hears of only once it is a good part of what
			// the kernel holds: seconds later, if it is slow.
			if now-c.used > settled {
				untaken := c.conn.Untaken()
				if untaken < c.untaken {
					c.used = now
				}
				c.untaken = untaken
			}
			if now-c.used > patience {
				c.why = Unread
				c.close()
			}
		case idle && c.codec.Begun() && now-c.began > begins && !c.conn.Unread() && (!c.lengthy || now-c.used > standing || now-c.began > lasting):
			c.ending = true
			c.Say(c.codec.Unfinished())
		case idle && !c.useful && now-c.came > begins && !c.conn.Unread(), c.surplus && c.idle(), f.leaving && c.useful && c.idle(),
			now-c.used > kept && c.idle(),
			now-c.used > settled && len(f.clients) > f.limits.Connections/2 && c.idle():
			c.close()
		}
	}
	if f.short {
		f.short = false
		f.relieve()
	}
	f.loop.After(0.25, f.sweep) // a small part of the least of these times
}

// relieve closes the client that has read nothing for longest, if that is a while and what is held for such takes half of the memory
// for values, as much as is set apart for long writes: all others would be declined for as long as it is waited for. One at a time,
// for closing loses what it is owed.
func (f *Front) relieve() {
	var slowest *Client
	held := 0
	for c := range f.clients {
		if len(c.rest) == 0 || c.pulls || f.loop.Now()-c.used <= settled {
			continue
		}
		for _, p := range c.rest {
			held += len(p.text)
		}
		if slowest == nil || c.used < slowest.used {
			slowest = c
		}
	}
	if slowest != nil && held >= f.limits.Arriving/2 {
		slowest.close()
	}
}

// repeated tells whether an id has been taken lately, and remembers it: ids are new with every operation, and cache
// servers turn away what comes under another's, which would look as if they were full.
func (f *Front) repeated(id string, left float64) bool {
	hash, now := maphash.String(f.salt, id), f.loop.Now()
	at := &f.ids[hash%recent]
	if at.hash == hash && now < at.until {
		return true
	}
	at.hash, at.until = hash, now+left+begins
	return false
}

// Limit sets how many connections there may be from now on; those beyond it make room as they fall idle.
func (f *Front) Limit(limits Limits) { f.limits = limits }

// Ready answers mn with MN from now on.
func (f *Front) Ready() { f.ready = true }

// Drain tells mn from now on that clients are sent away, or that they are taken again.
func (f *Front) Drain(on bool) {
	f.drain = on
	if !on {
		f.leaving = false
	}
}

// Deepen gives what is left of long values to the kernel, as far as so many bytes in all go: the process may be killed before
// slow clients have read them, and the kernel sends on after that.
func (f *Front) Deepen(bytes int) {
	for c := range f.clients {
		if c.pulls && !c.deep && f.deepened < bytes {
			p := c.rest[0]
			c.conn.Deepen(p.long.Length())
			c.deep = true
			f.deepened += p.long.Length() - p.of.passed
		}
	}
}

// Shut reads nothing more from the connections that there are, and ends each after the answers owed on it: a client that never
// pauses would be served for ever.
func (f *Front) Shut() {
	for c := range f.clients {
		c.ending = true
		c.conn.Pause()
		c.closeIfIdle()
	}
}

// Leave closes idle connections, now and as they become idle.
func (f *Front) Leave() {
	f.leaving = true
	for c := range f.clients {
		c.closeIfIdle()
	}
}

// Tally tells how operations of a traffic type ended since the start.
func (f *Front) Tally(kind string) Tally {
	if t := f.tallies[kind]; t != nil {
		return *t
	}
	return Tally{}
}

// Until sets when the process ends: what is taken from now on has its final answer by then.
func (f *Front) Until(at float64) { f.until = at }

// Open is how many operations were taken and have not ended: their last byte has not left.
func (f *Front) Open() int { return f.open }

// Passing is how many long values are on their way to clients.
func (f *Front) Passing() int { return f.passing }

// Cut counts the clients' connections that ended with an answer owed, by the reason, since the start.
func (f *Front) Cut() [cuts]uint64 { return f.cut }

// Clients is how many are connected.
func (f *Front) Clients() int { return len(f.clients) }

// Room tells whether another connection may be accepted. Closed ones count until their descriptors are let go of: all that make room in
// one round would be there twice, and what is set apart for others be taken.
func (f *Front) Room() bool {
	return len(f.clients)+f.loop.Finishing()+f.loop.Closing() < f.limits.Connections+f.limits.Spare
}

// At gives what takes the connections of a listener, which has a name and a protocol.
func (f *Front) At(listener string, protocol Protocol) func(*eventloop.Conn) eventloop.Handler {
	return func(conn *eventloop.Conn) eventloop.Handler { return f.accepted(conn, listener, protocol) }
}

func (f *Front) accepted(conn *eventloop.Conn, listener string, protocol Protocol) eventloop.Handler {
	c := &Client{f: f, conn: conn, listener: listener, used: f.loop.Now(), came: f.loop.Now()}
	c.codec = protocol(c)
	// From half of the places on one makes room for another: clients may hold only so many themselves.
	if n := len(f.clients); n >= f.limits.Connections/2 && !f.evict() && n >= f.limits.Connections {
		c.surplus = true
	}
	if c.placed = f.desk.AdmitConnection(listener); !c.placed {
		c.surplus = true
	}
	f.clients[c] = true
	return c
}

// evict closes the connection that has been idle for longest, if any has been for a while: one that has just come
// is about to be written to. Those that never sent what can be used go first: they take no usual client's place.
// With a longer while, clients that ask once and stay hold all places, and who waits to be accepted runs out of time.
func (f *Front) evict() bool {
	var oldest *Client
	for c := range f.clients {
		quiet, before := f.loop.Now()-c.used, oldest == nil || c.used < oldest.used
		if oldest != nil && c.useful != oldest.useful {
			before = oldest.useful
		}
		if before && quiet > arriving && (c.idle() || c.mute()) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// Client is one connection.
type Client struct {
	f        *Front
	conn     *eventloop.Conn
	codec    Codec
	answers  []*answer // owed, in the order of the commands
	rest     []piece   // of answers that are not in the connection's buffer yet
	listener string
	placed   bool    // it has a place at its listener
	used     float64 // when a byte last came or left
	untaken  int     // bytes that it had not taken when they were last looked at
	came     float64
	began    float64 // when the command that is not whole yet began
	useful   bool    // an operation of its was taken, or it asked whether the router serves
	faults   int     // commands that can't be used
	surplus  bool    // beyond the bound: declined and closed
	pulls    bool    // the long value that is first is on its way
	deep     bool    // the kernel takes all of it
	arriving int     // bytes set apart for the long write that it sends
	lengthy  bool    // it sends one
	ending   bool    // nothing more is read, and it is closed once all is written
	why      Cut     // its connection ends, if it does with something owed
}

// piece is a part of an answer's text, held for its route; with the last one the answer has left.
type piece struct {
	text []byte
	of   *answer
	last bool
	long requestcore.BodyStream // in place of a text: passed on from here
}

// hold counts bytes for a route; what is said from here is nobody's.
func hold(r requestcore.Route, n int) {
	if r != nil {
		r.AddHeldBytes(n)
	}
}

// answer is what is owed for one command.
type answer struct {
	c         *Client
	core      *requestcore.Core // which has the operation; nil: none was made
	operation uint64
	route     requestcore.Route
	op        *requestcore.Request
	kind      string // as its client names it: a contract renames it
	how       end
	held      int // bytes of its value, until it is answered
	parts     [][]byte
	long      requestcore.BodyStream // between the two parts, what is too long to be held
	passed    int                    // bytes of that
}

// left counts an operation as its last byte leaves, or as its client does without it.
func (a *answer) left(whole bool) {
	if a.op == nil {
		return
	}
	f := a.c.f
	if f.open--; whole {
		if f.tallies[a.kind] == nil { // types are those of the settings and of contracts: few
			f.tallies[a.kind] = &Tally{}
		}
		f.tallies[a.kind].count(a.how)
	}
}

// Opened is for dialled connections.
func (c *Client) Opened() {}

// Input reads commands while not too many answers are owed. Of who has ended the connection behind them none is taken, also where
// more is unread than was read at once: they may have waited in the socket, or for the connection to be accepted, and nobody waits
// for them any more.
func (c *Client) Input() {
	if c.conn.Gone() {
		c.close()
		return
	}
	c.used = c.f.loop.Now()
	fresh := !c.codec.Begun()
	for c.conn.In.Len() > 0 && !c.full() && !c.ending {
		whole, err := c.codec.Read(c.conn.In)
		if fresh = fresh || whole; err != nil {
			c.ending = true
			c.Say(c.codec.Broken(err))
		}
	}
	if fresh {
		c.began = c.used
	}
	if c.full() || c.ending {
		c.conn.Pause()
	}
}

func (c *Client) full() bool { return len(c.answers) >= unread || len(c.rest) > 0 }

// Serves tells why the router takes no clients now, empty if it does, and that its client asked as a usual one does.
func (c *Client) Serves() (not string) {
	c.useful = true
	switch {
	case !c.f.ready:
		return "starting"
	case c.f.drain:
		return "draining"
	}
	return ""
}

// Bad answers a command that cannot be used. One who goes on sending such is not listened to for ever.
func (c *Client) Bad(text []byte) {
	c.faults++
	c.ending = c.ending || c.faults >= faults
	c.Say(text)
}

// Last tells that nothing more is to be read: the connection ends once all is answered.
func (c *Client) Last() { c.ending = true }

// Say answers a command from here.
func (c *Client) Say(text []byte) {
	a := &answer{c: c}
	c.answers = append(c.answers, a)
	a.give(text)
}

// Reserve sets memory apart for a long write that begins, if there is any; it may take its time either way.
func (c *Client) Reserve(bytes int) bool {
	c.lengthy = true
	if c.f.arriving+bytes > c.f.limits.Arriving {
		return false
	}
	c.f.arriving += bytes
	c.arriving += bytes
	return true
}

// Arrived gives back what was set apart: the command is over.
func (c *Client) Arrived() {
	c.f.arriving -= c.arriving
	c.arriving, c.lengthy = 0, false
}

// Route tells who takes an operation of this client.
func (c *Client) Route(tenant, key string) requestcore.Route {
	return c.f.desk.Route(c.listener, tenant, key)
}

// Take hands an operation on, or declines it where there is no place. Its client waits as long as it says, but no longer
// than the most that its traffic type allows; 0 is not said. What is over as it comes is declined here: its client is as good
// as any, and the module would take what it can't serve for strain. False: its id was another's lately, and nothing was done.
func (c *Client) Take(route requestcore.Route, op *requestcore.Request, most float64) bool {
	f, late := c.f, op.TimeLeft < 0
	if op.TimeLeft == 0 {
		op.TimeLeft = cmp.Or(most, usualLeft)
	}
	if most > 0 {
		op.TimeLeft = min(op.TimeLeft, most)
	}
	if f.until > 0 {
		op.TimeLeft = min(op.TimeLeft, f.until-f.loop.Now())
		late = late || op.TimeLeft <= 0
	}
	full := c.surplus
	if !full && !route.HasCapacity() {
		full, f.short = true, true
	}
	if !full && op.ID != "" && f.repeated(op.ID, op.TimeLeft) {
		return false
	}
	c.useful = true
	a := &answer{c: c, op: op, route: route, kind: op.Class}
	f.open++
	c.answers = append(c.answers, a)
	if full || late {
		c.ending = c.ending || c.surplus
		a.Rejected(0)
		return true
	}
	a.held = len(op.Value) // it may be answered before Take returns
	hold(route, a.held)
	a.core, a.operation = route.Submit(op, a)
	return true
}

// Succeeded passes on what a server made, or begins to.
func (a *answer) Succeeded(with requestcore.Result) {
	a.long = with.Body
	a.give(a.c.codec.Finished(a.op, with)...)
}

// OnPart passes on some of a long value.
func (a *answer) OnPart(part []byte) int {
	n := a.c.conn.Write(part)
	if a.passed += n; n > 0 {
		a.c.used = a.c.f.loop.Now()
	}
	return n
}

// OnComplete ends a long value; what is owed behind it goes on.
func (a *answer) OnComplete() {
	c := a.c
	if c.f.clients[c] {
		c.f.passing--
		c.pulls, c.deep = false, false
		c.rest = c.rest[1:]
		c.Flushed()
	}
}

// OnBroken ends the connection: only so its client can tell that the value is not whole.
func (a *answer) OnBroken() {
	if c := a.c; c.f.clients[c] {
		a.how = errored
		a.left(true)
		c.f.passing--
		c.rest = c.rest[1:]
		c.rest[0].last = false // the end of the value is let go of, and the operation is counted
		c.why = ValueCut
		c.close()
	}
}

// Rejected tells that trying again is harmless.
func (a *answer) Rejected(after float64) {
	a.how = deferred
	a.give(a.c.codec.Declined(a.op, after))
}

// Disconnected tells whether its client has ended the connection, and takes that if it is not heard of yet.
func (a *answer) Disconnected() bool {
	c := a.c
	if c.f.clients[c] && !c.conn.Gone() {
		return false
	}
	c.f.loop.Later(c.close)
	return true
}

// Failed promises nothing.
func (a *answer) Failed() {
	a.how = errored
	a.give(a.c.codec.Terminated(a.op))
}

// give takes an answer's text and writes what is due.
func (a *answer) give(parts ...[]byte) {
	a.parts = parts
	hold(a.route, -a.held)
	a.held = 0
	for _, p := range parts {
		hold(a.route, len(p))
	}
	c := a.c
	if !c.f.clients[c] {
		c.drop(a)
		return
	}
	for len(c.answers) > 0 && c.answers[0].parts != nil {
		first := c.answers[0]
		for i, p := range first.parts {
			c.rest = append(c.rest, piece{text: p, of: first, last: i == len(first.parts)-1})
			if i == 0 && first.long != nil {
				c.rest = append(c.rest, piece{of: first, long: first.long})
				c.f.passing++
			}
		}
		c.answers = c.answers[1:]
	}
	c.Flushed()
}

// drop forgets an answer's text.
func (c *Client) drop(a *answer) {
	if a.long != nil {
		a.long.Discard()
	}
	for _, p := range a.parts {
		hold(a.route, -len(p))
	}
}

// Flushed fills the connection's buffer with what waits, and reads on if that was held up.
func (c *Client) Flushed() {
	for len(c.rest) > 0 {
		p := &c.rest[0]
		if p.long != nil {
			c.pass(p)
			return
		}
		n := c.conn.Write(p.text)
		if hold(p.of.route, -n); n > 0 {
			c.used = c.f.loop.Now()
		}
		if p.text = p.text[n:]; len(p.text) > 0 {
			return
		}
		if p.last {
			p.of.left(true)
		}
		c.rest = c.rest[1:]
	}
	if !c.full() && !c.ending {
		c.conn.Resume()
		if c.conn.In.Len() > 0 {
			c.f.loop.Later(c.goOn)
		}
	}
	if c.ending || c.f.leaving {
		c.f.loop.Later(c.closeIfIdle)
	}
}

// pass goes on with the long value that is first.
func (c *Client) pass(p *piece) {
	if long, a := p.long, p.of; c.pulls {
		long.ResumeReading()
	} else {
		c.pulls = true
		c.f.loop.Later(func() {
			if c.f.clients[c] {
				long.StartReading(a)
			}
		})
	}
}

func (c *Client) goOn() {
	if c.f.clients[c] && c.conn.In.Len() > 0 {
		c.Input()
	}
}

// mute tells that nothing is owed and only a part of a command has come, or nothing.
func (c *Client) mute() bool {
	return !c.useful && len(c.answers) == 0 && len(c.rest) == 0 && !c.conn.Unread()
}

// idle tells that nothing is owed and nothing has begun.
func (c *Client) idle() bool {
	return len(c.answers) == 0 && len(c.rest) == 0 && c.conn.Unsent() == 0 &&
		(c.ending || !c.codec.Begun() && c.conn.Quiet())
}

func (c *Client) closeIfIdle() {
	fresh := !c.useful && c.f.loop.Now()-c.came < settled // it came to send at once: closed now, it would have come for nothing
	if c.f.clients[c] && c.idle() && (c.ending || c.f.leaving && !fresh) {
		c.finish()
	}
}

// finish ends the connection so that its client reads all it was told, also if it goes on sending.
func (c *Client) finish() {
	c.conn.Finish(lasts)
	c.Closed()
}

func (c *Client) close() {
	c.conn.Close()
	c.Closed()
}

// Closed takes a client's departure.
func (c *Client) Closed() {
	f := c.f
	if !f.clients[c] {
		return
	}
	delete(f.clients, c)
	if len(c.answers) > 0 || len(c.rest) > 0 || c.conn.Unsent() > 0 {
		f.cut[c.why]++
	}
	c.Arrived()
	if c.placed {
		f.desk.ReleaseConnection(c.listener)
	}
	for _, p := range c.rest {
		if p.long != nil {
			f.passing--
			p.long.Discard()
			continue
		}
		if hold(p.of.route, -len(p.text)); p.last {
			p.of.left(false)
		}
	}
	for _, a := range c.answers {
		a.left(false)
		if a.parts != nil {
			c.drop(a)
		} else if a.core != nil {
			hold(a.route, -a.held)
			a.core.OnClientGone(a.operation)
		}
	}
}
