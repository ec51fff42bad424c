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
	Connections       int // beyond these, idle ones make room, else the new one is declined and closed
	RejectConnections int // so many beyond them are accepted to be declined
	LongWriteBytes    int // bytes set apart for long writes on their way
}

const (
	maxOwedAnswers         = 32   // answers owed to one connection before its next commands are left in the socket
	unreadAnswerSeconds    = 10   // seconds without a byte of an answer being read; several times the longest hard stops seen
	commandSeconds         = 2.4  // seconds for a command to become whole, or to come at all: clients may take 2 for it
	longWriteStallSeconds  = 5    // seconds without a byte of a long write's body: clients take seconds to write
	longWriteSeconds       = 30   // seconds for all of it
	idleAfterSeconds       = 1    // seconds without a byte, after which a connection that has been used is not needed now
	evictableAfterSeconds  = 0.1  // the same where a place is sought, also for one that has just come: it means to send at once
	idleTimeoutSeconds     = 2    // seconds that an idle connection is kept; where half of the places are taken, settled
	lingerSeconds          = 0.5  // seconds in which a client may read what it was last told, and end its side: far more than a round trip
	maxBadCommands         = 3    // commands that can't be used, after which a connection ends: a person may mistype
	recentIDCount          = 4096 // ids remembered: the operations of some seconds at a thousand a second
	expired                = -1.0 // of an operation's time: its client waits no longer
	defaultTimeLeftSeconds = 1    // seconds that a client without a stated limit is taken to wait, if its type has none either
)

// Codec is the protocol of one connection. It calls its client with what it reads.
type Codec interface {
	Read(in *ringbuffer.Buffer) (whole bool, err error) // hands on the next command; after an error nothing more can be read
	InCommand() bool                                    // a command has begun and is not whole
	ProtocolError(err error) []byte                     // what is said where the stream cannot be followed any more
	CommandTimeout() []byte                             // what is said to one who does not finish a command
	Succeeded(op *requestcore.Request, with requestcore.Result) [][]byte
	Rejected(op *requestcore.Request, after float64) []byte
	Failed(op *requestcore.Request) []byte
}

// Protocol makes the codec of a new connection.
type Protocol func(c *ClientConn) Codec

// CutReason is why a client's connection ended with an answer owed on it.
type CutReason int

const (
	ClientDisconnected CutReason = iota // the client closed or reset it
	AnswerUnread                        // it read none of its answer for too long
	BodyBroken                          // the rest of its value will not come
	cutReasons
)

// CutReasonNames names them, for the door and the log.
var CutReasonNames = [cutReasons]string{"client_left", "unread", "value_cut"}

// Frontend is all clients.
type Frontend struct {
	loop           *eventloop.Loop
	dispatcher     requestcore.Dispatcher
	limits         Limits
	connections    map[*ClientConn]bool
	tallies        map[string]*Outcomes // by the traffic type that clients name
	openRequests   int                  // operations taken and not ended
	openBodies     int                  // long values on their way
	deepened       int                  // bytes of them that the kernel may hold
	cut            [cutReasons]uint64   // connections that ended with an answer owed
	longWriteBytes int                  // bytes set apart for long writes
	short          bool                 // an operation found no place since the last sweep
	ready          bool                 // mn is answered MN
	drain          bool                 // it is not, for clients are sent away
	leaving        bool                 // connections are closed as they become idle
	until          float64              // by when all is to be answered, for the process ends; 0: it does not
	salt           maphash.Seed
	ids            [recentIDCount]struct {
		hash  uint64
		until float64
	}
}

// Outcomes is how operations of a traffic type ended: answered with what a server made, deferred to another try, errored. What a
// client left before its answer is in none.
type Outcomes struct{ Succeeded, Rejected, Failed uint64 }

// end is how an operation's answer counts.
type end int

const (
	answered end = iota
	deferred
	errored
)

func (t *Outcomes) count(how end) {
	switch how {
	case answered:
		t.Succeeded++
	case deferred:
		t.Rejected++
	case errored:
		t.Failed++
	}
}

// New makes a front without clients.
func New(loop *eventloop.Loop, desk requestcore.Dispatcher, limits Limits) *Frontend {
	f := &Frontend{loop: loop, dispatcher: desk, limits: limits, connections: map[*ClientConn]bool{}, tallies: map[string]*Outcomes{}, salt: maphash.MakeSeed()}
	f.sweep()
	return f
}

// sweep closes what holds memory or a place for nothing: a client that reads none of its answers, one that says
// nothing or does not finish the command it has begun, and idle ones. What stands unread in the socket is no silence: the loop may
// have been stopped meanwhile.
func (f *Frontend) sweep() {
	now := f.loop.Now()
	for c := range f.connections {
		switch idle := len(c.answers) == 0; {
		case len(c.segments) > 0 || c.conn.Unsent() > 0:
			// A client that reads a little makes room in the kernel that the router hears of only once it is a good part of what
			// the kernel holds: seconds later, if it is slow.
			if now-c.lastActive > idleAfterSeconds {
				untaken := c.conn.Untaken()
				if untaken < c.untaken {
					c.lastActive = now
				}
				c.untaken = untaken
			}
			if now-c.lastActive > unreadAnswerSeconds {
				c.why = AnswerUnread
				c.close()
			}
		case idle && c.codec.InCommand() && now-c.commandBegan > commandSeconds && !c.conn.Unread() && (!c.sendsLongWrite || now-c.lastActive > longWriteStallSeconds || now-c.commandBegan > longWriteSeconds):
			c.ending = true
			c.Answer(c.codec.CommandTimeout())
		case idle && !c.established && now-c.acceptedAt > commandSeconds && !c.conn.Unread(), c.surplus && c.idle(), f.leaving && c.established && c.idle(),
			now-c.lastActive > idleTimeoutSeconds && c.idle(),
			now-c.lastActive > idleAfterSeconds && len(f.connections) > f.limits.Connections/2 && c.idle():
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
func (f *Frontend) relieve() {
	var slowest *ClientConn
	held := 0
	for c := range f.connections {
		if len(c.segments) == 0 || c.pulls || f.loop.Now()-c.lastActive <= idleAfterSeconds {
			continue
		}
		for _, p := range c.segments {
			held += len(p.text)
		}
		if slowest == nil || c.lastActive < slowest.lastActive {
			slowest = c
		}
	}
	if slowest != nil && held >= f.limits.LongWriteBytes/2 {
		slowest.close()
	}
}

// repeated tells whether an id has been taken lately, and remembers it: ids are new with every operation, and cache
// servers turn away what comes under another's, which would look as if they were full.
func (f *Frontend) repeated(id string, left float64) bool {
	hash, now := maphash.String(f.salt, id), f.loop.Now()
	at := &f.ids[hash%recentIDCount]
	if at.hash == hash && now < at.until {
		return true
	}
	at.hash, at.until = hash, now+left+commandSeconds
	return false
}

// SetLimits sets how many connections there may be from now on; those beyond it make room as they fall idle.
func (f *Frontend) SetLimits(limits Limits) { f.limits = limits }

// SetReady answers mn with MN from now on.
func (f *Frontend) SetReady() { f.ready = true }

// SetDraining tells mn from now on that clients are sent away, or that they are taken again.
func (f *Frontend) SetDraining(on bool) {
	f.drain = on
	if !on {
		f.leaving = false
	}
}

// ExtendSendBuffers gives what is left of long values to the kernel, as far as so many bytes in all go: the process may be killed before
// slow clients have read them, and the kernel sends on after that.
func (f *Frontend) ExtendSendBuffers(bytes int) {
	for c := range f.connections {
		if c.pulls && !c.deep && f.deepened < bytes {
			p := c.segments[0]
			c.conn.Deepen(p.long.Length())
			c.deep = true
			f.deepened += p.long.Length() - p.of.passed
		}
	}
}

// StopReading reads nothing more from the connections that there are, and ends each after the answers owed on it: a client that never
// pauses would be served for ever.
func (f *Frontend) StopReading() {
	for c := range f.connections {
		c.ending = true
		c.conn.Pause()
		c.closeIfIdle()
	}
}

// CloseIdle closes idle connections, now and as they become idle.
func (f *Frontend) CloseIdle() {
	f.leaving = true
	for c := range f.connections {
		c.closeIfIdle()
	}
}

// OutcomesOf tells how operations of a traffic type ended since the start.
func (f *Frontend) OutcomesOf(kind string) Outcomes {
	if t := f.tallies[kind]; t != nil {
		return *t
	}
	return Outcomes{}
}

// SetFinalDeadline sets when the process ends: what is taken from now on has its final answer by then.
func (f *Frontend) SetFinalDeadline(at float64) { f.until = at }

// OpenRequests is how many operations were taken and have not ended: their last byte has not left.
func (f *Frontend) OpenRequests() int { return f.openRequests }

// OpenBodyStreams is how many long values are on their way to clients.
func (f *Frontend) OpenBodyStreams() int { return f.openBodies }

// CutConnections counts the clients' connections that ended with an answer owed, by the reason, since the start.
func (f *Frontend) CutConnections() [cutReasons]uint64 { return f.cut }

// Connections is how many are connected.
func (f *Frontend) Connections() int { return len(f.connections) }

// CanAccept tells whether another connection may be accepted. Closed ones count until their descriptors are let go of: all that make room in
// one round would be there twice, and what is set apart for others be taken.
func (f *Frontend) CanAccept() bool {
	return len(f.connections)+f.loop.Finishing()+f.loop.Closing() < f.limits.Connections+f.limits.RejectConnections
}

// Acceptor gives what takes the connections of a listener, which has a name and a protocol.
func (f *Frontend) Acceptor(listener string, protocol Protocol) func(*eventloop.Conn) eventloop.Handler {
	return func(conn *eventloop.Conn) eventloop.Handler { return f.accepted(conn, listener, protocol) }
}

func (f *Frontend) accepted(conn *eventloop.Conn, listener string, protocol Protocol) eventloop.Handler {
	c := &ClientConn{f: f, conn: conn, listener: listener, lastActive: f.loop.Now(), acceptedAt: f.loop.Now()}
	c.codec = protocol(c)
	// From half of the places on one makes room for another: clients may hold only so many themselves.
	if n := len(f.connections); n >= f.limits.Connections/2 && !f.evictIdle() && n >= f.limits.Connections {
		c.surplus = true
	}
	if c.placed = f.dispatcher.AdmitConnection(listener); !c.placed {
		c.surplus = true
	}
	f.connections[c] = true
	return c
}

// evictIdle closes the connection that has been idle for longest, if any has been for a while: one that has just come
// is about to be written to. Those that never sent what can be used go first: they take no usual client's place.
// With a longer while, clients that ask once and stay hold all places, and who waits to be accepted runs out of time.
func (f *Frontend) evictIdle() bool {
	var oldest *ClientConn
	for c := range f.connections {
		quiet, before := f.loop.Now()-c.lastActive, oldest == nil || c.lastActive < oldest.lastActive
		if oldest != nil && c.established != oldest.established {
			before = oldest.established
		}
		if before && quiet > evictableAfterSeconds && (c.idle() || c.mute()) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

// ClientConn is one connection.
type ClientConn struct {
	f              *Frontend
	conn           *eventloop.Conn
	codec          Codec
	answers        []*answer // owed, in the order of the commands
	segments       []piece   // of answers that are not in the connection's buffer yet
	listener       string
	placed         bool    // it has a place at its listener
	lastActive     float64 // when a byte last came or left
	untaken        int     // bytes that it had not taken when they were last looked at
	acceptedAt     float64
	commandBegan   float64   // when the command that is not whole yet began
	established    bool      // an operation of its was taken, or it asked whether the router serves
	faults         int       // commands that can't be used
	surplus        bool      // beyond the bound: declined and closed
	pulls          bool      // the long value that is first is on its way
	deep           bool      // the kernel takes all of it
	arriving       int       // bytes set apart for the long write that it sends
	sendsLongWrite bool      // it sends one
	ending         bool      // nothing more is read, and it is closed once all is written
	why            CutReason // its connection ends, if it does with something owed
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
	c         *ClientConn
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
	if f.openRequests--; whole {
		if f.tallies[a.kind] == nil { // types are those of the settings and of contracts: few
			f.tallies[a.kind] = &Outcomes{}
		}
		f.tallies[a.kind].count(a.how)
	}
}

// Opened is for dialled connections.
func (c *ClientConn) Opened() {}

// Input reads commands while not too many answers are owed. Of who has ended the connection behind them none is taken, also where
// more is unread than was read at once: they may have waited in the socket, or for the connection to be accepted, and nobody waits
// for them any more.
func (c *ClientConn) Input() {
	if c.conn.Gone() {
		c.close()
		return
	}
	c.lastActive = c.f.loop.Now()
	fresh := !c.codec.InCommand()
	for c.conn.In.Len() > 0 && !c.full() && !c.ending {
		whole, err := c.codec.Read(c.conn.In)
		if fresh = fresh || whole; err != nil {
			c.ending = true
			c.Answer(c.codec.ProtocolError(err))
		}
	}
	if fresh {
		c.commandBegan = c.lastActive
	}
	if c.full() || c.ending {
		c.conn.Pause()
	}
}

func (c *ClientConn) full() bool { return len(c.answers) >= maxOwedAnswers || len(c.segments) > 0 }

// NotServingReason tells why the router takes no clients now, empty if it does, and that its client asked as a usual one does.
func (c *ClientConn) NotServingReason() (not string) {
	c.established = true
	switch {
	case !c.f.ready:
		return "starting"
	case c.f.drain:
		return "draining"
	}
	return ""
}

// AnswerBadCommand answers a command that cannot be used. One who goes on sending such is not listened to for ever.
func (c *ClientConn) AnswerBadCommand(text []byte) {
	c.faults++
	c.ending = c.ending || c.faults >= maxBadCommands
	c.Answer(text)
}

// CloseAfterAnswers tells that nothing more is to be read: the connection ends once all is answered.
func (c *ClientConn) CloseAfterAnswers() { c.ending = true }

// Answer answers a command from here.
func (c *ClientConn) Answer(text []byte) {
	a := &answer{c: c}
	c.answers = append(c.answers, a)
	a.give(text)
}

// ReserveLongWrite sets memory apart for a long write that begins, if there is any; it may take its time either way.
func (c *ClientConn) ReserveLongWrite(bytes int) bool {
	c.sendsLongWrite = true
	if c.f.longWriteBytes+bytes > c.f.limits.LongWriteBytes {
		return false
	}
	c.f.longWriteBytes += bytes
	c.arriving += bytes
	return true
}

// ReleaseLongWrite gives back what was set apart: the command is over.
func (c *ClientConn) ReleaseLongWrite() {
	c.f.longWriteBytes -= c.arriving
	c.arriving, c.sendsLongWrite = 0, false
}

// Route tells who takes an operation of this client.
func (c *ClientConn) Route(tenant, key string) requestcore.Route {
	return c.f.dispatcher.Route(c.listener, tenant, key)
}

// Submit hands an operation on, or declines it where there is no place. Its client waits as long as it says, but no longer
// than the most that its traffic type allows; 0 is not said. What is over as it comes is declined here: its client is as good
// as any, and the module would take what it can't serve for strain. False: its id was another's lately, and nothing was done.
func (c *ClientConn) Submit(route requestcore.Route, op *requestcore.Request, most float64) bool {
	f, late := c.f, op.TimeLeft < 0
	if op.TimeLeft == 0 {
		op.TimeLeft = cmp.Or(most, defaultTimeLeftSeconds)
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
	c.established = true
	a := &answer{c: c, op: op, route: route, kind: op.Class}
	f.openRequests++
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
	a.give(a.c.codec.Succeeded(a.op, with)...)
}

// OnPart passes on some of a long value.
func (a *answer) OnPart(part []byte) int {
	n := a.c.conn.Write(part)
	if a.passed += n; n > 0 {
		a.c.lastActive = a.c.f.loop.Now()
	}
	return n
}

// OnComplete ends a long value; what is owed behind it goes on.
func (a *answer) OnComplete() {
	c := a.c
	if c.f.connections[c] {
		c.f.openBodies--
		c.pulls, c.deep = false, false
		c.segments = c.segments[1:]
		c.Flushed()
	}
}

// OnBroken ends the connection: only so its client can tell that the value is not whole.
func (a *answer) OnBroken() {
	if c := a.c; c.f.connections[c] {
		a.how = errored
		a.left(true)
		c.f.openBodies--
		c.segments = c.segments[1:]
		c.segments[0].last = false // the end of the value is let go of, and the operation is counted
		c.why = BodyBroken
		c.close()
	}
}

// Rejected tells that trying again is harmless.
func (a *answer) Rejected(after float64) {
	a.how = deferred
	a.give(a.c.codec.Rejected(a.op, after))
}

// Disconnected tells whether its client has ended the connection, and takes that if it is not heard of yet.
func (a *answer) Disconnected() bool {
	c := a.c
	if c.f.connections[c] && !c.conn.Gone() {
		return false
	}
	c.f.loop.Later(c.close)
	return true
}

// Failed promises nothing.
func (a *answer) Failed() {
	a.how = errored
	a.give(a.c.codec.Failed(a.op))
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
	if !c.f.connections[c] {
		c.drop(a)
		return
	}
	for len(c.answers) > 0 && c.answers[0].parts != nil {
		first := c.answers[0]
		for i, p := range first.parts {
			c.segments = append(c.segments, piece{text: p, of: first, last: i == len(first.parts)-1})
			if i == 0 && first.long != nil {
				c.segments = append(c.segments, piece{of: first, long: first.long})
				c.f.openBodies++
			}
		}
		c.answers = c.answers[1:]
	}
	c.Flushed()
}

// drop forgets an answer's text.
func (c *ClientConn) drop(a *answer) {
	if a.long != nil {
		a.long.Discard()
	}
	for _, p := range a.parts {
		hold(a.route, -len(p))
	}
}

// Flushed fills the connection's buffer with what waits, and reads on if that was held up.
func (c *ClientConn) Flushed() {
	for len(c.segments) > 0 {
		p := &c.segments[0]
		if p.long != nil {
			c.pass(p)
			return
		}
		n := c.conn.Write(p.text)
		if hold(p.of.route, -n); n > 0 {
			c.lastActive = c.f.loop.Now()
		}
		if p.text = p.text[n:]; len(p.text) > 0 {
			return
		}
		if p.last {
			p.of.left(true)
		}
		c.segments = c.segments[1:]
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
func (c *ClientConn) pass(p *piece) {
	if long, a := p.long, p.of; c.pulls {
		long.ResumeReading()
	} else {
		c.pulls = true
		c.f.loop.Later(func() {
			if c.f.connections[c] {
				long.StartReading(a)
			}
		})
	}
}

func (c *ClientConn) goOn() {
	if c.f.connections[c] && c.conn.In.Len() > 0 {
		c.Input()
	}
}

// mute tells that nothing is owed and only a part of a command has come, or nothing.
func (c *ClientConn) mute() bool {
	return !c.established && len(c.answers) == 0 && len(c.segments) == 0 && !c.conn.Unread()
}

// idle tells that nothing is owed and nothing has begun.
func (c *ClientConn) idle() bool {
	return len(c.answers) == 0 && len(c.segments) == 0 && c.conn.Unsent() == 0 &&
		(c.ending || !c.codec.InCommand() && c.conn.Quiet())
}

func (c *ClientConn) closeIfIdle() {
	fresh := !c.established && c.f.loop.Now()-c.acceptedAt < idleAfterSeconds // it came to send at once: closed now, it would have come for nothing
	if c.f.connections[c] && c.idle() && (c.ending || c.f.leaving && !fresh) {
		c.finish()
	}
}

// finish ends the connection so that its client reads all it was told, also if it goes on sending.
func (c *ClientConn) finish() {
	c.conn.Finish(lingerSeconds)
	c.Closed()
}

func (c *ClientConn) close() {
	c.conn.Close()
	c.Closed()
}

// Closed takes a client's departure.
func (c *ClientConn) Closed() {
	f := c.f
	if !f.connections[c] {
		return
	}
	delete(f.connections, c)
	if len(c.answers) > 0 || len(c.segments) > 0 || c.conn.Unsent() > 0 {
		f.cut[c.why]++
	}
	c.ReleaseLongWrite()
	if c.placed {
		f.dispatcher.ReleaseConnection(c.listener)
	}
	for _, p := range c.segments {
		if p.long != nil {
			f.openBodies--
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
