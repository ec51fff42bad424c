package gossip

// Settings configures a Gossiper.
type Settings struct {
	// Self is the index of this router in the view.
	Self int

	// Seed initializes the random choices. Routers should have different seeds, or they choose the same peers at the
	// same time.
	Seed uint32

	// Incarnation distinguishes this process from earlier processes of the same router. It must differ in each process.
	Incarnation uint32

	// BytesPerSecond limits the traffic sent and received together, including UDP and IP headers. It must be 7000 or
	// more. With a larger budget summaries spread sooner; a smaller one delays summaries that are not urgent.
	BytesPerSecond float64

	// LongestObjective is the longest latency objective of a traffic class, in seconds. A server that has answered
	// counts as answering for this long, even if refusals are reported.
	LongestObjective float64
}

// Sizes and counts.
const (
	datagramOverhead = 28  // bytes of the headers of UDP and IP
	maxDatagramBytes = 256 // limit of the platform for a datagram's payload

	// maxGroupRouters is the largest size of a group. Larger groups need more transmissions of each summary; smaller
	// groups are more numerous and need more group sums.
	maxGroupRouters = 512

	// groupEdgeRouters is the number of routers on each side of a group that may assign themselves to it because their
	// list of routers is older.
	groupEdgeRouters = 32

	// ownersPerGroup is the number of routers of a group that are ranked as owners of a server. With more owners, more
	// simultaneous failures are tolerated.
	ownersPerGroup = 16

	// ownerLoadFactor limits the number of servers that a router is the first owner of, as a multiple of the mean.
	ownerLoadFactor = 1.15

	// maxServers is the largest number of tracked servers; observations of other servers are ignored.
	maxServers = 1024
)

// Time constants of exponential decay, in seconds. They are the same in the balancer.
const (
	loadDecay = 3.0 // for the sum of relative times
	meanDecay = 1.0 // for the mean relative time
)

// Intervals and ages of summaries and group sums, in seconds.
const (
	refreshInterval        = 5.0 // between two summaries of a server whose load has not changed
	changedSummaryInterval = 1.0 // between two summaries that differ

	// groupSumInterval is the time between two group sums to the first owners in other groups. The second owners
	// receive every third one.
	groupSumInterval = 2.0

	// summaryLifetime is the age at which a summary expires: longer than one missed refresh and the spread of the next.
	summaryLifetime = 8.0

	// ownerTimeout is the time without a group sum from the owners before it after which an owner publishes itself.
	ownerTimeout = 4.5

	pullAfter       = refreshInterval + 0.75*changedSummaryInterval // age above which a router pulls a summary
	overdueInterval = refreshInterval + 1.5*changedSummaryInterval  // age from which on a later owner takes over
	freshAge        = 0.25                                          // age up to which a summary is forwarded without delay

	// incarnationAgeMargin is how much newer a summary of another incarnation of the same owner must be to replace the
	// held one. A margin is needed because encoded ages are rounded up.
	incarnationAgeMargin = 0.3

	refusalLifetime = 1.6 // time for which an owner reports a refusal

	// secondaryRefusalDelay is how long an owner waits for the owner before it to publish a refusal.
	secondaryRefusalDelay = 0.4

	// batchDelay is how long summaries that are not urgent wait for others to fill the datagram.
	batchDelay = 0.25
)

// Probes and pulls: intervals in seconds, and rates per second.
const (
	stallThreshold  = 0.5 // time between two calls above which this process counts as having stalled
	startupDuration = 5.0 // time after a start or a stall in which a router pulls more often

	peerLifetime       = 400.0 // how long proof that a router supports the protocol is valid: over two rounds of probes
	probeRound         = 150.0 // time in which every router of the group is probed once
	probeRetryInterval = 0.5   // between two probes of an owner that has not answered
	probeTimeout       = 2.0   // time without an answer after which a probed router is unresponsive
	maxProbeBacklog    = 0.5   // time span of missed probes that are made up for after a stall
	pullInterval       = 1.0   // between two pulls

	startupProbesPerSecond = 6.0 // until every router of the group was probed once
	startupPullsPerSecond  = 2.0 // during startupDuration
)

// Limits on what one router may send: rates per second, and a burst. Receivers ignore what exceeds them.
const (
	observationsPerSecond = 12.0 // that are counted
	observationBurst      = 36.0
	datagramsPerSecond    = 40.0 // that one receiver reads: three times what a router sends to all receivers together
)

// plannedBudgetFraction is the fraction of BytesPerSecond that this router uses. The rest is a margin, because other
// routers decide how much it receives.
const plannedBudgetFraction = 0.88

// Numbers of transmissions of a summary by one router. Each duplicate that the router receives reduces the number by
// one, unless the summary is urgent.
const (
	summaryTransmits = 4
	ownerTransmits   = 6 // without delay, by the owner that publishes the summary
	urgentTransmits  = 8 // without delay, of an urgent summary
	freshTransmits   = 2 // without delay, of a summary up to freshAge old
)

// Thresholds from which a summary is urgent, or differs from the one before.
const (
	slowMean           = 2.5 // mean relative time above which the balancer moves keys away from a server
	urgentLoadChange   = 8.0 // smallest urgent change of the load, unless the held load is larger
	loadChange         = 2.0 // smallest significant change of the load, unless the fraction of the held load is larger
	loadChangeFraction = 0.25
	meanChangeFraction = 0.3
	smallMean          = 0.2 // a smaller held mean counts as this in the comparison with meanChangeFraction
)

// minMean is the smallest mean by which a load is divided; it bounds the number of attempts computed from a load.
const minMean = 1.0 / 32

// CheaperThanBroadcast reports whether gossip within this budget costs a router fewer bytes than a broadcast, in which
// each router sends one message of five observations per second to every other router.
func CheaperThanBroadcast(routers int, bytesPerSecond float64) bool {
	const broadcastMessageBytes = 15
	return float64(routers-1)*2*(datagramOverhead+broadcastMessageBytes) > bytesPerSecond
}
