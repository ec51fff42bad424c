package emulator

import (
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strconv"

	"bendtrestle/balancer"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/meta"
)

// Connections tells how clients use theirs.
type Connections string

// The ways.
const (
	Kept Connections = "kept" // for the next operation
	New  Connections = "new"  // one for each try
	Once Connections = "once" // used for one try, and left open for good
)

// Load describes the clients.
type Load struct {
	Types     []*TrafficType
	Rate      float64 // operations a second
	Keys      int
	Zipf      float64 // the exponent of the keys' popularity, 0: all alike
	Retries   int     // after the first try
	TryShare  float64 // part of the hard stop for which a try waits
	Pause     float64 // seconds before a retry
	Honour    float64 // part of the clients that come back when they are told to
	Impatient float64 // part of the tries that are left before their time is up
	Use       Connections
	Most      int       // connections to one router
	Skew      []float64 // the routers' parts of the arrivals, as weights; none: all alike
}

// End tells how a try ended for its client.
type End int

// The ends of a try.
const (
	Waiting      End = iota
	Finished         // the router gave a value or a receipt
	Declined         // trying again is harmless
	Terminated       // no promise
	NoConnection     // it never reached a router
	Left             // the client went away before its time was up
	Lost             // the connection ended without an answer
	Silent           // no answer in time, or within a value nothing more
	Cut              // the connection ended within a value
)

func (e End) String() string {
	return [...]string{"waiting", "finished", "declined", "terminated", "no connection", "left", "lost", "silent", "cut"}[e]
}

// Tolerance is how much later than its time an answer may come without being missed: what sockets and timers take.
const Tolerance = 0.05

// Op is an operation as its client sees it: all its tries together.
type Op struct {
	N     int
	Type  *TrafficType
	Key   string
	Mark  string
	Due   float64 // when it was to be sent
	Tries []*Try
	Done  float64 // when it was over
	How   End     // of its last try
}

// Took is how long it took from when it was due, but for the time in which its client did not read.
func (o *Op) Took() float64 {
	took := o.Done - o.Due
	for _, t := range o.Tries {
		took -= t.Rested
	}
	return took
}

// Served tells whether it was answered with what was asked for, and in the promised time.
func (o *Op) Served() (any, inTime bool) {
	any = o.How == Finished
	return any, any && o.Took() <= o.Type.Promised
}

// Try is one command of a client.
type Try struct {
	Op      *Op
	ID      string
	Router  int
	Began   float64
	Sent    float64 // when its last byte had been written; 0: never
	Wait    float64 // seconds that its client waits
	Ended   float64
	How     End
	After   int     // milliseconds after which it may come back, as the router said
	Got     uint32  // a checksum of the value or the receipt
	Again   bool    // its kept connection had been closed, and it was sent once more ...
	AgainAt float64 // ... then
	strange string  // an answer that means nothing, or what is wrong with a long value

	Reading Reading // how it takes a long value; zero: as it comes
	Length  int     // bytes of the long value that began to come; 0: none did
	Came    int     // so many of these did
	Begun   uint32  // by which that value is known, once its head had come: Execution.Made of who made it
	Rested  float64 // seconds in which its client did not read
}

// Strange is an answer that should not be, if it got one.
func (t *Try) Strange() string { return t.strange }

// Garble notes that an answer is not as it was made, and how.
func (t *Try) Garble(how string) { t.strange, t.Got = how, 0 }

// ClientBook is what the clients saw. It belongs to their loop.
type ClientBook struct {
	Ops       []*Op
	Twice     []string // ids of tries that were answered again
	Lateness  []float64
	LateSends int
	Overflow  bool
}

// Clients send operations to routers, open loop: what comes when is drawn ahead and waits for no answer.
type Clients struct {
	loop    *eventloop.Loop
	load    Load
	routers []*door
	tiles   map[string][]*door // the same routers, where they take a team's map tiles
	book    *ClientBook
	chance  *rand.Rand // for what does not belong to the arrivals
	popular []float64  // sums of the keys' popularity
	flows   []*flow
	until   float64
	ids     uint32
	open    int
	late    Lateness

	hot      []hotKey
	surges   []surge
	readings []Reading
}

// flow is the arrivals of one traffic type.
type flow struct {
	c      *Clients
	t      *TrafficType
	part   float64
	chance *rand.Rand
	due    float64
	timer  *eventloop.Timer
}

type hotKey struct {
	key  string
	part float64
}

type surge struct {
	kind, tenant string // either may be empty: any
	factor       float64
}

// door is one router as its clients see it.
type door struct {
	c     *Clients
	n     int
	addr  netip.AddrPort
	idle  []*clientConn
	open  int
	shunt float64 // not asked until then, after it refused
	part  float64
}

// NewClients makes clients of the routers at these addresses.
func NewClients(loop *eventloop.Loop, seed uint64, load Load, routers []string, tileFronts map[string][]string) (*Clients, error) {
	c := &Clients{loop: loop, load: load, book: &ClientBook{}, chance: rand.New(rand.NewPCG(seed, 1)),
		ids: uint32(seed) ^ 0x5bd1e995}
	for n, text := range routers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("router %s: %w", text, err)
		}
		d := &door{c: c, n: n, addr: addr, part: 1}
		if len(load.Skew) > 0 {
			d.part = load.Skew[n%len(load.Skew)]
		}
		c.routers = append(c.routers, d)
	}
	c.tiles = map[string][]*door{}
	for team, all := range tileFronts {
		for n, text := range all {
			addr, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, fmt.Errorf("router %s: %w", text, err)
			}
			c.tiles[team] = append(c.tiles[team], &door{c: c, n: n, addr: addr, part: c.routers[n].part})
		}
	}
	sum := 0.0
	for i := range max(1, load.Keys) {
		sum += math.Pow(float64(i+1), -load.Zipf)
		c.popular = append(c.popular, sum)
	}
	shares := 0.0
	for _, t := range load.Types {
		shares += t.Share
	}
	for i, t := range load.Types {
		f := &flow{c: c, t: t, part: t.Share / shares, chance: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		f.timer = loop.Timer(f.arrive)
		c.flows = append(c.flows, f)
	}
	c.late.watch(loop)
	return c, nil
}

// Book is what they saw. It is read once the loop has ended, or on it.
func (c *Clients) Book() *ClientBook { return c.book }

// Late is how late their loop was.
func (c *Clients) Late() *Lateness { return &c.late }

// Key names the n-th most popular key.
func Key(n int) string { return "clinic-" + strconv.Itoa(n) }

// Start lets operations arrive from now on, for so many seconds.
func (c *Clients) Start(seconds float64) {
	now := c.loop.Now()
	c.until = now + seconds
	for _, f := range c.flows {
		f.due = now
		f.plan()
	}
}

// Busy tells whether operations are still to come or open.
func (c *Clients) Busy() bool { return c.open > 0 || c.loop.Now() < c.until }

// Stop lets nothing more arrive.
func (c *Clients) Stop() { c.until = 0 }

// plan draws when the next operation is due.
func (f *flow) plan() {
	rate := f.c.load.Rate * f.part
	for _, s := range f.c.surges {
		if (s.kind == "" || s.kind == f.t.Name) && (s.tenant == "" || s.tenant == f.t.Tenant) {
			rate *= s.factor
		}
	}
	if rate <= 0 {
		return
	}
	if f.due += f.chance.ExpFloat64() / rate; f.due < f.c.until {
		f.timer.Set(f.due)
	}
}

// replan lets a change of the rate act at once, not only after the next arrival.
func (c *Clients) replan() {
	for _, f := range c.flows {
		f.timer.Stop()
		f.due = c.loop.Now()
		f.plan()
	}
}

func (f *flow) arrive() {
	for now := f.c.loop.Now(); f.due <= now && f.due < f.c.until; {
		before := f.due
		f.c.begin(f)
		if f.plan(); f.due == before {
			return
		}
	}
}

// begin makes an operation.
func (c *Clients) begin(f *flow) {
	if len(c.book.Ops) >= bookBound {
		c.book.Overflow = true
		return
	}
	o := &Op{N: len(c.book.Ops), Type: f.t, Due: f.due}
	n := sort.SearchFloat64s(c.popular, f.chance.Float64()*c.popular[len(c.popular)-1])
	o.Key = Key(min(n, len(c.popular)-1))
	draw := f.chance.Float64() // in any case: a hot key changes nothing else
	for _, h := range c.hot {
		if draw >= 0 && draw < h.part {
			o.Key = h.key
		}
		draw -= h.part
	}
	if f.t.Effect == balancer.IdempotencyKeyed {
		o.Mark = c.id()
	}
	c.book.Ops = append(c.book.Ops, o)
	c.book.Lateness = append(c.book.Lateness, c.loop.Now()-f.due)
	c.open++
	c.try(o)
}

func (c *Clients) id() string {
	c.ids++
	var b [8]byte
	for i := range b {
		b[i] = byte(c.ids >> (8 * (i % 4)))
	}
	return fmt.Sprintf("%08x%08x", c.ids, crc32.ChecksumIEEE(b[:]))
}

// choose deals out a router, as a front does that notices refusals.
func (c *Clients) choose(routers []*door) *door {
	sum, now := 0.0, c.loop.Now()
	for _, d := range routers {
		if now >= d.shunt {
			sum += d.part
		}
	}
	if sum == 0 {
		return routers[c.chance.IntN(len(routers))]
	}
	x := c.chance.Float64() * sum
	for _, d := range routers {
		if now < d.shunt {
			continue
		}
		if x -= d.part; x < 0 {
			return d
		}
	}
	return routers[len(routers)-1]
}

// left is how long a client has for an operation, all its tries together.
func (c *Clients) left(o *Op) float64 { return o.Due + o.Type.HardStop - c.loop.Now() }

func (c *Clients) try(o *Op) {
	t := &Try{Op: o, ID: c.id(), Began: c.loop.Now()}
	t.Wait = c.left(o)
	if c.load.TryShare > 0 && c.load.Retries > 0 {
		t.Wait = min(t.Wait, c.load.TryShare*o.Type.HardStop)
	}
	o.Tries = append(o.Tries, t)
	if t.Wait < 1e-3 {
		c.over(t, NoConnection)
		return
	}
	doors := c.routers
	if o.Type.Scheme != "" {
		doors = c.tiles[o.Type.Tenant]
	}
	d := c.choose(doors)
	t.Router = d.n
	c.read(t)
	d.send(t)
}

// read draws how a try takes its long value.
func (c *Clients) read(t *Try) {
	k := t.Op.Type
	if len(c.readings) == 0 || k.Write || k.Scheme != "" || k.Size <= meta.ValueBound {
		return
	}
	x := c.chance.Float64()
	for _, how := range c.readings {
		if x -= how.Part; x < 0 {
			t.Reading = how
			return
		}
	}
}

// over takes a try's end, and tries again if that may help.
func (c *Clients) over(t *Try, how End) {
	if t.How != Waiting {
		return
	}
	t.How, t.Ended = how, c.loop.Now()
	o := t.Op
	if pause := c.pause(t); pause >= 0 && how != Finished && len(o.Tries) <= c.load.Retries && c.left(o) > pause+1e-3 {
		c.loop.After(pause, func() { c.try(o) })
		return
	}
	o.How, o.Done = how, t.Ended
	c.open--
}

// pause is how long a client waits before it tries again; below 0 if it must not.
func (c *Clients) pause(t *Try) float64 {
	switch {
	case t.How == Left:
		return -1
	case t.Op.Type.Effect == balancer.AtMostOnce && t.How != Declined && t.How != NoConnection:
		return -1 // it may have run
	case t.Op.Type.Effect == balancer.IdempotencyKeyed && c.loop.Now()-t.Op.Due > t.Op.Type.Window*0.9:
		return -1 // nobody would know it for a repeat
	case t.After > 0 && c.chance.Float64() < c.load.Honour:
		return float64(t.After) / 1e3
	}
	return c.load.Pause
}
