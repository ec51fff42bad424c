package gossip

// Settings is what a router knows when it starts.
type Settings struct {
	// Self is the index of this router in the view.
	Self int

	// Seed of the router's random choices. Routers should have different ones, or they choose the same peers at the
	// same time.
	Seed uint32

	// Incarnation tells this process from an earlier one of the same router: another number for each process.
	Incarnation uint32

	// BytesPerSecond bounds what is sent and received together, with the headers of UDP and IP; 7000 or more. A
	// larger budget lets summaries spread sooner, a smaller one delays those that are not urgent.
	BytesPerSecond float64

	// LongestObjective is the longest latency objective of a traffic class, in seconds. For so long after an answer a
	// server is taken to answer, whatever refusals are reported.
	LongestObjective float64
}

// Sizes and counts.
const (
	datagramOverhead = 28  // bytes of the headers of UDP and IP
	maxDatagramBytes = 256 // of a datagram's payload, a limit of the platform

	// maxGroupRouters bounds a group. Larger groups need more transmissions of each summary, more groups need more
	// group sums.
	maxGroupRouters = 512

	// groupEdgeRouters is how many routers beside a group may take themselves to be in it, going by an older list.
	groupEdgeRouters = 32

	// ownersPerGroup is how many routers of a group are ranked as owners of a server. More of them survive more
	// failures at once.
	ownersPerGroup = 16

	// ownerLoadFactor is how many times the mean number of servers a router may be the first owner of.
	ownerLoadFactor = 1.15

	// maxServers bounds the servers that are tracked; observations of others are ignored.
	maxServers = 1024
)

// Time constants, in seconds. The balancer has the same.
const (
	loadDecay = 3.0 // of the decayed sum of relative times
	meanDecay = 1.0 // of the mean relative time
)

// Intervals and ages of summaries and group sums, in seconds.
const (
	refreshInterval = 5.0 // between two summaries of a server of which nothing has changed
	changeInterval  = 1.0 // between two summaries that differ

	// groupSumInterval is the time between two group sums to the first owners in other groups; the second owners
	// receive each third one.
	groupSumInterval = 2.0

	// summaryLifetime is how long a summary counts: longer than one missed refresh and the spread of the next.
	summaryLifetime = 8.0

	// ownerTimeout is how long an owner waits for a group sum of the owner before it until it publishes itself.
	ownerTimeout = 4.5

	pullAfter       = refreshInterval + 0.75*changeInterval // age from which on a router pulls a summary
	overdueInterval = refreshInterval + 1.5*changeInterval  // age from which on a later owner's summary counts
	freshAge        = 0.25                                  // age up to which a summary is passed on at once

	// incarnationAgeMargin is by how much a summary of another incarnation has to be newer: ages are rounded up.
	incarnationAgeMargin = 0.3

	refusalLifetime = 1.6 // for which an owner reports a refusal

	// secondaryRefusalDelay is how long an owner waits for the owner before it to publish a refusal.
	secondaryRefusalDelay = 0.4

	// batchDelay is how long summaries that are not urgent wait for others to fill their datagram.
	batchDelay = 0.25
)

// Probes and pulls: seconds, and rates a second.
const (
	stallThreshold  = 0.5 // between two calls, from which on this process is taken to have stood still
	startupDuration = 5.0 // for which a router pulls more often after its start or a stall

	peerLifetime       = 400.0 // for which a router understands the protocol after a sign of it: two rounds of probes
	probeRound         = 150.0 // within which every router of the group is probed
	probeRetryInterval = 0.5   // between two probes of an owner that has given no sign
	probeTimeout       = 2.0   // without an answer, after which a router that was probed is unresponsive
	maxProbeBacklog    = 0.5   // of probes that are made up for after a stall
	pullInterval       = 1.0   // between two pulls

	startupProbesPerSecond = 6.0 // until every router of the group was probed once
	startupPullsPerSecond  = 2.0 // during startupDuration
)

// Rates a second, and bursts, of what one router may send.
const (
	observationsPerSecond = 12.0 // that count
	observationBurst      = 36.0
	datagramsPerSecond    = 40.0 // that are read: three times what one sends to all
)

// plannedBudgetPart is the part of BytesPerSecond that this router plans with: what it receives is up to others.
const plannedBudgetPart = 0.88

// Transmissions of a summary by one router, less those in which it receives the same version again.
const (
	summaryTransmits = 4
	ownerTransmits   = 6 // by the owner that publishes it, at once
	urgentTransmits  = 8 // of an urgent one, at once
	freshTransmits   = 2 // of one that is not older than freshAge, at once
)

// Thresholds for a summary to be urgent, and to differ from the one before.
const (
	slowMean         = 2.5 // mean relative time from which on the balancer moves keys away from a server
	urgentLoadChange = 8.0 // least urgent change of the load, if the load is smaller
	loadChange       = 2.0 // least change of the load that is published, if its part below is smaller
	loadChangePart   = 0.25
	meanChangePart   = 0.3
	smallMean        = 0.2 // the change of a smaller mean is compared with a part of this
)

// minMean bounds the number of attempts that a load stands for.
const minMean = 1.0 / 32

// CheaperThanBroadcast reports whether gossip within this budget costs fewer bytes than if each router sent a message
// of five observations a second to every other.
func CheaperThanBroadcast(routers int, bytesPerSecond float64) bool {
	const broadcastMessageBytes = 15
	return float64(routers-1)*2*(datagramOverhead+broadcastMessageBytes) > bytesPerSecond
}
