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

// Connections is how clients use their connections.
type Connections string

// The ways in which clients use connections.
const (
	Kept Connections = "kept" // reused for the next request
	New  Connections = "new"  // a new one for each attempt
	Once Connections = "once" // used for one attempt, then left open and idle
)

// Load describes the clients and the requests that they send.
type Load struct {
	Types            []*TrafficType
	Rate             float64 // requests per second
	Keys             int
	Zipf             float64 // exponent of the keys' Zipf distribution; 0: uniform
	Retries          int     // most retries of a request
	TimeoutFraction  float64 // an attempt's timeout as a fraction of the request's deadline
	Pause            float64 // seconds before a retry
	HonorRetryAfter  float64 // fraction of retries that wait as long as the router asked
	EarlyDisconnects float64 // fraction of attempts whose client disconnects before the timeout
	Connections      Connections
	MaxConnections   int       // most connections to one router; 0: no limit
	RouterWeights    []float64 // relative weights of the routers in the choice of a router; empty: equal
}

// End is how an attempt ended for its client.
type End int

// The ends of an attempt.
const (
	Waiting            End = iota
	Finished               // the router returned a value or a receipt
	Rejected               // rejected: a retry is safe
	FailedAttempt          // failed: the outcome is unknown
	NoConnection           // not sent: it did not reach a router
	ClientDisconnected     // the client disconnected before its timeout
	Lost                   // the connection ended without an answer
	NoAnswer               // no answer in time, or a value stopped arriving
	Cut                    // the connection ended within a value, or the value's end was malformed
)

func (e End) String() string {
	return [...]string{"waiting", "finished", "declined", "terminated", "no connection", "left", "lost", "silent",
		"cut"}[e]
}

// Tolerance is for how many seconds after the attempt's timeout a client still accepts an answer. It covers the delays
// of sockets and timers.
const Tolerance = 0.05

// Request is a request as its client sees it, with all its attempts.
type Request struct {
	N              int
	Type           *TrafficType
	Key            string
	IdempotencyKey string
	Due            float64 // when it was scheduled to be sent
	Attempts       []*Attempt
	Done           float64 // when its last attempt ended
	End            End     // of its last attempt
}

// Latency returns the request's latency since it was due, without the time in which its client did not read.
func (r *Request) Latency() float64 {
	latency := r.Done - r.Due
	for _, attempt := range r.Attempts {
		latency -= attempt.ReadPaused
	}
	return latency
}

// Served reports whether the request finished, and whether it finished within its latency objective.
func (r *Request) Served() (any, inTime bool) {
	any = r.End == Finished
	return any, any && r.Latency() <= r.Type.LatencyObjective
}

// Attempt is one attempt of a client at one router.
type Attempt struct {
	Request   *Request
	ID        string
	Router    int
	Began     float64
	Sent      float64 // when its last byte was written; 0: never
	Wait      float64 // timeout in seconds
	Ended     float64
	End       End
	After     int     // milliseconds after which the router allows a retry; 0: not stated
	AnswerSum uint32  // checksum of the value or the receipt
	Resent    bool    // it was sent once more because its reused connection had been closed ...
	ResentAt  float64 // ... at this time
	malformed string  // what is wrong with the answer; empty: nothing

	ReadBehavior ReadBehavior // how it reads a long value; zero value: without delay
	Length       int          // stated length in bytes of the long value that began to arrive; 0: none
	Received     int          // bytes of it that were received
	ValueSum     uint32       // its checksum, once its head was received; equals AnswerSum of its execution
	ReadPaused   float64      // seconds in which its client did not read
}

// Malformed returns what is wrong with the answer; empty: nothing.
func (a *Attempt) Malformed() string { return a.malformed }

// SetMalformed records that the answer differs from the one that was made, and how.
func (a *Attempt) SetMalformed(description string) { a.malformed, a.AnswerSum = description, 0 }

// ClientRecords holds the records of the clients. Only their event loop may access it while it runs.
type ClientRecords struct {
	Requests         []*Request
	DuplicateAnswers []string // IDs of attempts that were answered more than once
	Lateness         []float64
	LateSends        int
	Overflow         bool
}

// Clients send requests to routers in an open loop: arrival times are drawn at random and don't depend on answers.
type Clients struct {
	loop                 *eventloop.Loop
	load                 Load
	routers              []*routerTarget
	tileRouters          map[string][]*routerTarget // the same routers' addresses for each team's map tiles, by team
	records              *ClientRecords
	rng                  *rand.Rand // for everything but the arrivals
	cumulativePopularity []float64  // cumulative sums of the keys' weights
	arrivals             []*arrivalProcess
	arrivalsEnd          float64
	lastID               uint32
	openRequests         int
	lateness             Lateness

	hotKeys       []hotKey
	surges        []surge
	readBehaviors []ReadBehavior
}

// arrivalProcess is the Poisson process by which requests of one traffic type arrive.
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
	trafficType, tenant string // empty: any
	factor              float64
}

// routerTarget is one router as its clients see it.
type routerTarget struct {
	clients    *Clients
	index      int
	addr       netip.AddrPort
	idle       []*clientConn
	openConns  int
	avoidUntil float64 // not chosen until then, after it refused a connection
	weight     float64
}

// NewClients returns clients of the routers at these addresses.
func NewClients(loop *eventloop.Loop, seed uint64, load Load, routers []string,
	tileFronts map[string][]string) (*Clients, error) {
	c := &Clients{loop: loop, load: load, records: &ClientRecords{}, rng: rand.New(rand.NewPCG(seed, 1)),
		lastID: uint32(seed) ^ 0x5bd1e995}
	for index, text := range routers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("router %s: %w", text, err)
		}
		target := &routerTarget{clients: c, index: index, addr: addr, weight: 1}
		if len(load.RouterWeights) > 0 {
			target.weight = load.RouterWeights[index%len(load.RouterWeights)]
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
			c.tileRouters[team] = append(c.tileRouters[team], &routerTarget{clients: c, index: index, addr: addr,
				weight: c.routers[index].weight})
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
		arrivals := &arrivalProcess{clients: c, trafficType: trafficType, fraction: trafficType.Share / totalShare,
			rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		arrivals.timer = loop.Timer(arrivals.arrive)
		c.arrivals = append(c.arrivals, arrivals)
	}
	c.lateness.start(loop)
	return c, nil
}

// Records returns the records. They may be read on the loop, or once the loop has ended.
func (c *Clients) Records() *ClientRecords { return c.records }

// Late returns how late the clients' loop was.
func (c *Clients) Late() *Lateness { return &c.lateness }

// Key returns the n-th most popular key.
func Key(n int) string { return "clinic-" + strconv.Itoa(n) }

// Start lets requests arrive for this many seconds from now.
func (c *Clients) Start(seconds float64) {
	now := c.loop.Now()
	c.arrivalsEnd = now + seconds
	for _, arrivals := range c.arrivals {
		arrivals.due = now
		arrivals.scheduleNext()
	}
}

// Busy reports whether requests are in flight or still to arrive.
func (c *Clients) Busy() bool { return c.openRequests > 0 || c.loop.Now() < c.arrivalsEnd }

// Stop ends the arrivals.
func (c *Clients) Stop() { c.arrivalsEnd = 0 }

// scheduleNext draws when the next request is due.
func (f *arrivalProcess) scheduleNext() {
	rate := f.clients.load.Rate * f.fraction
	for _, s := range f.clients.surges {
		if (s.trafficType == "" || s.trafficType == f.trafficType.Name) &&
			(s.tenant == "" || s.tenant == f.trafficType.Tenant) {
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

// rescheduleArrivals draws the next arrivals again, so that a changed rate takes effect before the next arrival.
func (c *Clients) rescheduleArrivals() {
	for _, arrivals := range c.arrivals {
		arrivals.timer.Stop()
		arrivals.due = c.loop.Now()
		arrivals.scheduleNext()
	}
}

// arrive starts all requests that are due.
func (f *arrivalProcess) arrive() {
	for now := f.clients.loop.Now(); f.due <= now && f.due < f.clients.arrivalsEnd; {
		before := f.due
		f.clients.startRequest(f)
		if f.scheduleNext(); f.due == before {
			return
		}
	}
}

// startRequest draws a request and starts its first attempt.
func (c *Clients) startRequest(arrivals *arrivalProcess) {
	if len(c.records.Requests) >= maxRecords {
		c.records.Overflow = true
		return
	}
	request := &Request{N: len(c.records.Requests), Type: arrivals.trafficType, Due: arrivals.due}
	n := sort.SearchFloat64s(c.cumulativePopularity,
		arrivals.rng.Float64()*c.cumulativePopularity[len(c.cumulativePopularity)-1])
	request.Key = Key(min(n, len(c.cumulativePopularity)-1))
	draw := arrivals.rng.Float64() // drawn even without hot keys, so that a hot key doesn't change the other draws
	for _, hot := range c.hotKeys {
		if draw >= 0 && draw < hot.fraction {
			request.Key = hot.key
		}
		draw -= hot.fraction
	}
	if arrivals.trafficType.Idempotency == balancer.IdempotencyKeyed {
		request.IdempotencyKey = c.newID()
	}
	c.records.Requests = append(c.records.Requests, request)
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

// chooseRouter draws a router by weight, as a load balancer does that avoids routers which refused a connection.
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

// remaining returns the seconds until the request's deadline.
func (c *Clients) remaining(request *Request) float64 {
	return request.Due + request.Type.Deadline - c.loop.Now()
}

func (c *Clients) startAttempt(request *Request) {
	attempt := &Attempt{Request: request, ID: c.newID(), Began: c.loop.Now()}
	attempt.Wait = c.remaining(request)
	if c.load.TimeoutFraction > 0 && c.load.Retries > 0 {
		attempt.Wait = min(attempt.Wait, c.load.TimeoutFraction*request.Type.Deadline)
	}
	request.Attempts = append(request.Attempts, attempt)
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

// drawReadBehavior draws how an attempt reads its long value.
func (c *Clients) drawReadBehavior(attempt *Attempt) {
	trafficType := attempt.Request.Type
	if len(c.readBehaviors) == 0 || trafficType.Write || trafficType.Scheme != "" || trafficType.Size <= meta.MaxBufferedValueBytes {
		return
	}
	draw := c.rng.Float64()
	for _, behavior := range c.readBehaviors {
		if draw -= behavior.Fraction; draw < 0 {
			attempt.ReadBehavior = behavior
			return
		}
	}
}

// attemptEnded records an attempt's end, and retries the request if that is allowed and there is time.
func (c *Clients) attemptEnded(attempt *Attempt, end End) {
	if attempt.End != Waiting {
		return
	}
	attempt.End, attempt.Ended = end, c.loop.Now()
	request := attempt.Request
	if pause := c.retryDelay(attempt); pause >= 0 && end != Finished && len(request.Attempts) <= c.load.Retries &&
		c.remaining(request) > pause+1e-3 {
		c.loop.After(pause, func() { c.startAttempt(request) })
		return
	}
	request.End, request.Done = end, attempt.Ended
	c.openRequests--
}

// retryDelay returns how many seconds a client waits before a retry; below 0 if it must not retry.
func (c *Clients) retryDelay(attempt *Attempt) float64 {
	switch {
	case attempt.End == ClientDisconnected:
		return -1
	case attempt.Request.Type.Idempotency == balancer.AtMostOnce && attempt.End != Rejected && attempt.End != NoConnection:
		return -1 // it may have run
	case attempt.Request.Type.Idempotency == balancer.IdempotencyKeyed && c.loop.Now()-attempt.Request.Due > attempt.Request.Type.Window*0.9:
		return -1 // near the end of the deduplication window a repeat may no longer be recognised
	case attempt.After > 0 && c.rng.Float64() < c.load.HonorRetryAfter:
		return float64(attempt.After) / 1e3
	}
	return c.load.Pause
}
