package zonefailover

// Settings configures a Controller.
type Settings struct {
	// RouterIndex is this router's number, from 0 to RouterCount-1. Messages encode it in 16 bits.
	RouterIndex int
	// RouterCount is the number of routers that share the zones, up to 65536; values below 1 count as 1. Quorums, the
	// number of routers that probe at once and the time between messages follow from it. Too large a number makes a
	// decision slow or impossible; with too small a number, messages of routers beyond it are ignored.
	RouterCount int
	// Incarnation differs for each process of this router, so that peers discard the observations of an earlier
	// process.
	Incarnation uint16
	// WarmupSeconds is how long a server with a cold cache takes to warm up; 0 if not configured. A longer time makes
	// the recovery ramp slower.
	WarmupSeconds float64
	// Regions lists the zones of each region. In a region one zone recovers at a time. A zone that is in no region
	// forms a region by itself. Larger regions protect the origin better and take longer to recover.
	Regions [][]string
}

// Bounds on stored state.
const (
	// maxZones bounds the zones tracked by this router, and the zones that a peer may report.
	maxZones = 256
	// maxWatchedAttempts bounds the attempts watched at once; attempts beyond it are no evidence.
	maxWatchedAttempts = 1024
	// maxPreviousIncarnations bounds the previous incarnations stored for each router, whose late messages are dropped.
	maxPreviousIncarnations = 8
)

// Evidence and evacuation, times in seconds.
const (
	// evacuationDelay is the time between sufficient evidence and the evacuation. Routers that have had an answer
	// report it within this time. A longer delay loses requests, a shorter one evacuates zones that others reach.
	evacuationDelay = 0.1
	// votesAgainstPerVoteFor is how many votes against a zone outweigh one vote for it, so that a zone with some
	// servers down is not evacuated. A smaller number evacuates such zones, a larger one keeps a zone that few routers
	// reach. For example, 16 votes against a zone outweigh 2 votes for it, but not 3.
	votesAgainstPerVoteFor = 8
	// minFailureVotes is the number of votes that evacuate a zone that failed recently, and the lower bound of every
	// quorum. In a fleet of one router one vote is enough (Controller.minVotes).
	minFailureVotes = 2
	// quorumDivisor makes a quorum a quarter of the routers heard from, rounded up (Controller.quorum). A larger
	// quorum is slower; with a smaller one, faults of a few routers decide.
	quorumDivisor = 4
	// ownAnswerWindow is how long after an answer of its own in a zone a router doesn't follow peers that have evacuated
	// the zone or let it recover.
	ownAnswerWindow = 1.0
	// historyRetention is how long a zone has to serve until its earlier evacuations are discarded: about the longest
	// hold time.
	historyRetention = 60
	// maxTickGap is the time between two ticks beyond which this process counts as stalled and discards its evidence.
	maxTickGap = 0.5
	// staleInputWindow is the time after such a gap in which messages that were queued at the socket are read and
	// ignored.
	staleInputWindow = 0.1
	// rateWindow is the time over which the attempt rate in a zone is averaged.
	rateWindow = 4
)

// Hold time, probing and recovery, times in seconds.
const (
	// minHoldTime is how long a zone stays evacuated before it is probed after its first evacuation. Each further
	// evacuation doubles it. A longer time keeps a healthy zone evacuated for longer, a shorter one sends more probes
	// to a zone that is down.
	minHoldTime = 1.0
	// maxHoldDoublings bounds the hold time to 64 s.
	maxHoldDoublings = 6
	// probeRound is how long the same routers probe a zone. Then others take over, because these may be down.
	probeRound = 0.5
	// probesPerRound is how many attempts a probing router sends in a round, by its attempt rate before the evacuation.
	probesPerRound = 2
	// minProbers is how many routers probe at once, if the fleet has as many. In a large fleet one router in
	// proberDivisor probes.
	minProbers    = 3
	proberDivisor = 8
	// maxProbeShare bounds the share of a zone at a probing router.
	maxProbeShare = 0.25
	// firstRecoveryShare is the share that a recovering zone begins with. A larger share recovers sooner and may
	// overload servers with cold caches.
	firstRecoveryShare = 1.0 / 16
	// maxFollowedShare bounds the share that a router adopts from its peers when it begins a recovery after them.
	maxFollowedShare = 0.5
	// minShare is the lower bound of the share of a probing zone, and of a recovering one whose steps are degraded.
	minShare = 1.0 / 64
	// stepsPerWarmup, minStepTime and maxStepTime set how long a recovering zone stays at one share. Four doublings,
	// together with the delays of the endpoint list and of messages, stay within half of a cold server's warm-up.
	stepsPerWarmup = 12
	minStepTime    = 0.25
	maxStepTime    = 2
	// A step is degraded if at least minDegradedAttempts attempts were late, rejected or unanswered, and these are more
	// than a quarter (1/degradedDivisor) of the answered attempts.
	minDegradedAttempts = 2
	degradedDivisor     = 4
)

// Gossip, times in seconds.
const (
	// minMessagePeriod is the minimum time between two periodic messages.
	minMessagePeriod = 0.5
	// maxMessageRate bounds the periodic messages that a router receives a second. In a fleet of more than half as many
	// routers each router sends less often than once in minMessagePeriod.
	maxMessageRate = 100
	// peerTimeoutPeriods is the number of message periods after which a silent peer is no longer counted: three of its
	// messages were lost, or it has stopped. A larger number counts votes of stopped peers, a smaller one drops peers
	// whose messages are lost.
	peerTimeoutPeriods = 3.5
	// minMessageGap is the minimum time between an early message and the message before it, so that the events of one
	// tick share a message.
	minMessageGap = 0.04
	// maxGossipTokens bounds the messages that may be sent early in a row; one token is added each period.
	maxGossipTokens = 4
	// transitionAnnouncements is the minimum number of messages that carry a transition, because a message may be lost.
	transitionAnnouncements = 2
)
