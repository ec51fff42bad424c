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
	N              int
	Type           *TrafficType
	Key            string
	IdempotencyKey string
	Due            float64 // when it was to be sent
	Tries          []*Try
	Done           float64 // when it was over
	How            End     // of its last try
}

// Took is how long it took from when it was due, but for the time in which its client did not read.
func (o *Op) Took() float64 {
	took := o.Done - o.Due
	for _, attempt := range o.Tries {
		took -= attempt.ReadPaused
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
	Op        *Op
	ID        string
	Router    int
	Began     float64
	Sent      float64 // when its last byte had been written; 0: never
	Wait      float64 // seconds that its client waits
	Ended     float64
	How       End
	After     int     // milliseconds after which it may come back, as the router said
	Got       uint32  // a checksum of the value or the receipt
	Again     bool    // its kept connection had been closed, and it was sent once more ...
	AgainAt   float64 // ... then
	malformed string  // an answer that means nothing, or what is wrong with a long value

	Reading    Reading // how it takes a long value; zero: as it comes
	Length     int     // bytes of the long value that began to come; 0: none did
	Came       int     // so many of these did
	Begun      uint32  // by which that value is known, once its head had come: Execution.Made of who made it
	ReadPaused float64 // seconds in which its client did not read
}

// Strange is an answer that should not be, if it got one.
func (t *Try) Strange() string { return t.malformed }

// Garble notes that an answer is not as it was made, and how.
func (t *Try) Garble(description string) { t.malformed, t.Got = description, 0 }

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
	loop                 *eventloop.Loop
	load                 Load
	routers              []*routerTarget
	tileRouters          map[string][]*routerTarget // the same routers, where they take a team's map tiles
	records              *ClientBook
	rng                  *rand.Rand // for what does not belong to the arrivals
	cumulativePopularity []float64  // sums of the keys' popularity
	arrivals             []*arrivalProcess
	arrivalsEnd          float64
	lastID               uint32
	openRequests         int
	lateness             Lateness

	hotKeys       []hotKey
	surges        []surge
	readBehaviors []Reading
}

// flow is the arrivals of one traffic type.
type arrivalProcess struct {
	clients     *Clients
	trafficType *TrafficType
	fraction    float64
	rng         *rand.Rand
	due         float64
	timer       *eventloop.Timer
}

type hotKey struct {
	key      string
	fraction float64
}

type surge struct {
	trafficType, tenant string // either may be empty: any
	factor              float64
}

// door is one router as its clients see it.
type routerTarget struct {
	clients    *Clients
	index      int
	addr       netip.AddrPort
	idle       []*clientConn
	openConns  int
	avoidUntil float64 // not asked until then, after it refused
	weight     float64
}

// NewClients makes clients of the routers at these addresses.
func NewClients(loop *eventloop.Loop, seed uint64, load Load, routers []string, tileFronts map[string][]string) (*Clients, error) {
	c := &Clients{loop: loop, load: load, records: &ClientBook{}, rng: rand.New(rand.NewPCG(seed, 1)),
		lastID: uint32(seed) ^ 0x5bd1e995}
	for index, text := range routers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("router %s: %w", text, err)
		}
		target := &routerTarget{clients: c, index: index, addr: addr, weight: 1}
		if len(load.Skew) > 0 {
			target.weight = load.Skew[index%len(load.Skew)]
		}
		c.routers = append(c.routers, target)
	}
	c.tileRouters = map[string][]*routerTarget{}
	for team, addresses := range tileFronts {
		for index, text := range addresses {
			addr, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, fmt.Errorf("router %s: %w", text, err)
			}
			c.tileRouters[team] = append(c.tileRouters[team], &routerTarget{clients: c, index: index, addr: addr, weight: c.routers[index].weight})
		}
	}
	sum := 0.0
	for i := range max(1, load.Keys) {
		sum += math.Pow(float64(i+1), -load.Zipf)
		c.cumulativePopularity = append(c.cumulativePopularity, sum)
	}
	totalShare := 0.0
	for _, trafficType := range load.Types {
		totalShare += trafficType.Share
	}
	for i, trafficType := range load.Types {
		arrivals := &arrivalProcess{clients: c, trafficType: trafficType, fraction: trafficType.Share / totalShare, rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		arrivals.timer = loop.Timer(arrivals.arrive)
		c.arrivals = append(c.arrivals, arrivals)
	}
	c.lateness.start(loop)
	return c, nil
}

// Book is what they saw. It is read once the loop has ended, or on it.
func (c *Clients) Book() *ClientBook { return c.records }

// Late is how late their loop was.
func (c *Clients) Late() *Lateness { return &c.lateness }

// Key names the n-th most popular key.
func Key(n int) string { return "clinic-" + strconv.Itoa(n) }

// Start lets operations arrive from now on, for so many seconds.
func (c *Clients) Start(seconds float64) {
	now := c.loop.Now()
	c.arrivalsEnd = now + seconds
	for _, arrivals := range c.arrivals {
		arrivals.due = now
		arrivals.scheduleNext()
	}
}

// Busy tells whether operations are still to come or open.
func (c *Clients) Busy() bool { return c.openRequests > 0 || c.loop.Now() < c.arrivalsEnd }

// Stop lets nothing more arrive.
func (c *Clients) Stop() { c.arrivalsEnd = 0 }

// plan draws when the next operation is due.
func (f *arrivalProcess) scheduleNext() {
	rate := f.clients.load.Rate * f.fraction
	for _, s := range f.clients.surges {
		if (s.trafficType == "" || s.trafficType == f.trafficType.Name) && (s.tenant == "" || s.tenant == f.trafficType.Tenant) {
			rate *= s.factor
		}
	}
	if rate <= 0 {
		return
	}
	if f.due += f.rng.ExpFloat64() / rate; f.due < f.clients.arrivalsEnd {
		f.timer.Set(f.due)
	}
}

// replan lets a change of the rate act at once, not only after the next arrival.
func (c *Clients) rescheduleArrivals() {
	for _, arrivals := range c.arrivals {
		arrivals.timer.Stop()
		arrivals.due = c.loop.Now()
		arrivals.scheduleNext()
	}
}

func (f *arrivalProcess) arrive() {
	for now := f.clients.loop.Now(); f.due <= now && f.due < f.clients.arrivalsEnd; {
		before := f.due
		f.clients.startRequest(f)
		if f.scheduleNext(); f.due == before {
			return
		}
	}
}

// begin makes an operation.
func (c *Clients) startRequest(arrivals *arrivalProcess) {
	if len(c.records.Ops) >= maxRecords {
		c.records.Overflow = true
		return
	}
	request := &Op{N: len(c.records.Ops), Type: arrivals.trafficType, Due: arrivals.due}
	n := sort.SearchFloat64s(c.cumulativePopularity, arrivals.rng.Float64()*c.cumulativePopularity[len(c.cumulativePopularity)-1])
	request.Key = Key(min(n, len(c.cumulativePopularity)-1))
	draw := arrivals.rng.Float64() // in any case: a hot key changes nothing else
	for _, hot := range c.hotKeys {
		if draw >= 0 && draw < hot.fraction {
			request.Key = hot.key
		}
		draw -= hot.fraction
	}
	if arrivals.trafficType.Effect == balancer.IdempotencyKeyed {
		request.IdempotencyKey = c.newID()
	}
	c.records.Ops = append(c.records.Ops, request)
	c.records.Lateness = append(c.records.Lateness, c.loop.Now()-arrivals.due)
	c.openRequests++
	c.startAttempt(request)
}

func (c *Clients) newID() string {
	c.lastID++
	var b [8]byte
	for i := range b {
		b[i] = byte(c.lastID >> (8 * (i % 4)))
	}
	return fmt.Sprintf("%08x%08x", c.lastID, crc32.ChecksumIEEE(b[:]))
}

// choose deals out a router, as a front does that notices refusals.
func (c *Clients) chooseRouter(routers []*routerTarget) *routerTarget {
	sum, now := 0.0, c.loop.Now()
	for _, target := range routers {
		if now >= target.avoidUntil {
			sum += target.weight
		}
	}
	if sum == 0 {
		return routers[c.rng.IntN(len(routers))]
	}
	draw := c.rng.Float64() * sum
	for _, target := range routers {
		if now < target.avoidUntil {
			continue
		}
		if draw -= target.weight; draw < 0 {
			return target
		}
	}
	return routers[len(routers)-1]
}

// left is how long a client has for an operation, all its tries together.
func (c *Clients) remaining(request *Op) float64 {
	return request.Due + request.Type.HardStop - c.loop.Now()
}

func (c *Clients) startAttempt(request *Op) {
	attempt := &Try{Op: request, ID: c.newID(), Began: c.loop.Now()}
	attempt.Wait = c.remaining(request)
	if c.load.TryShare > 0 && c.load.Retries > 0 {
		attempt.Wait = min(attempt.Wait, c.load.TryShare*request.Type.HardStop)
	}
	request.Tries = append(request.Tries, attempt)
	if attempt.Wait < 1e-3 {
		c.attemptEnded(attempt, NoConnection)
		return
	}
	routers := c.routers
	if request.Type.Scheme != "" {
		routers = c.tileRouters[request.Type.Tenant]
	}
	target := c.chooseRouter(routers)
	attempt.Router = target.index
	c.drawReadBehavior(attempt)
	target.sendAttempt(attempt)
}

// read draws how a try takes its long value.
func (c *Clients) drawReadBehavior(attempt *Try) {
	trafficType := attempt.Op.Type
	if len(c.readBehaviors) == 0 || trafficType.Write || trafficType.Scheme != "" || trafficType.Size <= meta.ValueBound {
		return
	}
	draw := c.rng.Float64()
	for _, behavior := range c.readBehaviors {
		if draw -= behavior.Part; draw < 0 {
			attempt.Reading = behavior
			return
		}
	}
}

// over takes a try's end, and tries again if that may help.
func (c *Clients) attemptEnded(attempt *Try, end End) {
	if attempt.How != Waiting {
		return
	}
	attempt.How, attempt.Ended = end, c.loop.Now()
	request := attempt.Op
	if pause := c.retryDelay(attempt); pause >= 0 && end != Finished && len(request.Tries) <= c.load.Retries && c.remaining(request) > pause+1e-3 {
		c.loop.After(pause, func() { c.startAttempt(request) })
		return
	}
	request.How, request.Done = end, attempt.Ended
	c.openRequests--
}

// pause is how long a client waits before it tries again; below 0 if it must not.
func (c *Clients) retryDelay(attempt *Try) float64 {
	switch {
	case attempt.How == Left:
		return -1
	case attempt.Op.Type.Effect == balancer.AtMostOnce && attempt.How != Declined && attempt.How != NoConnection:
		return -1 // it may have run
	case attempt.Op.Type.Effect == balancer.IdempotencyKeyed && c.loop.Now()-attempt.Op.Due > attempt.Op.Type.Window*0.9:
		return -1 // nobody would know it for a repeat
	case attempt.After > 0 && c.rng.Float64() < c.load.Honour:
		return float64(attempt.After) / 1e3
	}
	return c.load.Pause
}
