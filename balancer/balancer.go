package balancer

import (
	"hash/crc32"

	"bendtrestle/internal/seedhash"
)

// hashRange is the number of 32-bit hash values.
const hashRange = 1 << 32

// Balancer makes the decisions for one pool of servers at one router. It is not safe for concurrent use.
type Balancer struct {
	host      Host
	settings  Settings
	now       float64             // seconds, time of the current call
	random    seedhash.Sequence   // source of all random numbers
	requests  map[uint64]*request // requests without a final answer, or with an attempt in flight
	inFlight  int                 // attempts in flight, of all requests
	fleetSize float64             // routers: the configured number, or the number in contact if that is greater

	classes      trafficClasses
	tenants      tenantQuotas
	retryBudgets retryBudgets
	servers      serverSet
	ring         ring
	zones        zoneShares
	hotKeys      hotKeys
	errorsBySlot [ringSlots]float64 // consecutive errors, from several servers, of requests for a slot's keys
	recent       recentOutcomes
	completions  completions
	totalLoad    decayingLoad // reported load of all caches together
	gossip       gossipQueue
	shedding     sheddingState
	polling      endpointPolling
}

// assumedCompletionHistory is the time, in seconds, for which completions count as recorded before the start where
// the settings state their rate.
const assumedCompletionHistory = 1e3

// New starts a balancer at time now, in seconds. It may call the host before it returns.
func New(now float64, settings Settings, host Host) *Balancer {
	settings.RouterCount = max(1, settings.RouterCount)
	b := &Balancer{
		host:         host,
		settings:     settings,
		now:          now,
		random:       seedhash.NewSequence(settings.Seed),
		requests:     map[uint64]*request{},
		fleetSize:    float64(settings.RouterCount),
		tenants:      newTenantQuotas(now, settings.Tenants, settings.RouterCount),
		retryBudgets: retryBudgets{byTenant: map[string]*float64{}},
		servers:      serverSet{byID: map[uint64]*serverState{}},
		zones:        zoneShares{withheld: map[string]float64{}},
		recent:       recentOutcomes{acceptanceRate: initialAcceptanceRate},
		completions: completions{
			rate:      settings.InitialCompletionRate,
			rateAt:    now,
			startedAt: now - assumedCompletionHistory*min(settings.InitialCompletionRate, 1),
		},
		gossip: gossipQueue{tokens: 1},
	}
	b.SetTrafficClasses(settings.TrafficClasses)
	if settings.PollEndpoints {
		b.pollEndpoints()
	}
	return b
}

// OnRequest is called when a request arrives, from a client that gives up after timeLeft seconds. The request is
// attempted or rejected before the call returns. Requests with an empty key are spread over all servers by their
// ids.
func (b *Balancer) OnRequest(now float64, id uint64, class, tenant, key string, timeLeft float64) {
	b.now = now
	req := b.newRequest(id, class, key, timeLeft)
	b.chargeTenant(req, tenant)
	b.detectClientRetry(req, timeLeft)
	req.retryBudget = b.retryBudget(tenant)
	b.requests[id] = req

	server := b.pick(req)
	decision := b.admitRequest(req, server)
	if !decision.admitted {
		b.reject(req, decision.reason)
		return
	}
	b.startAttempt(req, server)
}

// newRequest counts a use of the key and returns the record of a request.
func (b *Balancer) newRequest(id uint64, className, key string, timeLeft float64) *request {
	class := b.classOf(className, timeLeft)
	keyHash := seedhash.Avalanche(crc32.ChecksumIEEE([]byte(key)))
	if key == "" {
		keyHash = seedhash.Mix(b.settings.Seed, id)
	}
	return &request{
		id:            id,
		class:         class,
		keyHash:       keyHash,
		replicas:      b.replicasFor(keyHash%ringSlots, class),
		valueFraction: 1,
		objectiveAt:   b.now + class.LatencyObjective,
		// An answer takes effect with the next event, so it is due one event interval before the client gives up.
		deadline: b.now + timeLeft - b.settings.EventInterval,
	}
}

// SetFleetSize sets the number of routers, counted by those that this router is in contact with. The configured
// number is used instead if it is greater, since some routers may be out of contact.
func (b *Balancer) SetFleetSize(now float64, routers int) {
	b.now = now
	b.fleetSize = float64(max(b.settings.RouterCount, routers))
}

// OnProbeResult is called when a health check ends. No decision depends on it.
func (b *Balancer) OnProbeResult(now float64, _ uint64, _ Outcome) { b.now = now }
