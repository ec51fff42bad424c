package zonefailover

// Settings are what a Controller is told at its start.
type Settings struct {
	// RouterIndex is this router's number, from 0 to RouterCount-1. It fits into 16 bits.
	RouterIndex int
	// RouterCount is how many routers share the zones, up to 65536; values below 1 count as 1. Quorums, the number of
	// routers that probe at once and the time between messages follow from it: too large a number makes a verdict
	// slow or impossible, too small a one has messages of the routers beyond it ignored.
	RouterCount int
	// Incarnation is another number for each process of this router: what a former process saw counts no more.
	Incarnation uint16
	// WarmupSeconds is how long a cold server takes to warm up; 0: not stated. A longer time makes the recovery ramp
	// slower.
	WarmupSeconds float64
	// Regions are zones by region: of one region one zone recovers at a time. A zone that is in none is a region by
	// itself. Larger regions protect the origin better and take longer to recover.
	Regions [][]string
}

// Bounds on what is kept.
const (
	// maxZones bounds the zones that are known, and those that a peer may report.
	maxZones = 256
	// maxWatchedAttempts bounds the attempts watched at once; those beyond it are no evidence.
	maxWatchedAttempts = 1024
	// maxPreviousIncarnations bounds the former incarnations remembered of each router, whose late messages are
	// dropped.
	maxPreviousIncarnations = 8
)

// Evidence and evacuation, times in seconds.
const (
	// evacuationDelay is the time between enough evidence and the evacuation: whoever has had an answer says so
	// within it. Longer loses requests, shorter evacuates zones that others reach.
	evacuationDelay = 0.1
	// votesAgainstPerVoteFor is how many votes against a zone it takes to outweigh one vote for it, so that a zone
	// with some servers down stays. Less evacuates such zones, more keeps one that few routers reach. For example, 16
	// votes against a zone outweigh 2 votes for it, but not 3.
	votesAgainstPerVoteFor = 8
	// minFailureVotes is how many routers have to fail in a zone that failed lately, and the least of every quorum; one
	// where there is only one router (Controller.minVotes).
	minFailureVotes = 2
	// quorumDivisor divides the routers heard of: a quorum is a quarter of them, rounded up (Controller.quorum). A
	// larger quorum is slower, a smaller one has faults of a few routers decide.
	quorumDivisor = 4
	// ownAnswerWindow is how long an answer of its own keeps a router from following others out of a zone.
	ownAnswerWindow = 1.0
	// historyRetention is the time of serving after which former evacuations are forgotten: about the longest hold time.
	historyRetention = 60
	// maxTickGap is the time between two ticks beyond which this process has stood still and knows nothing.
	maxTickGap = 0.5
	// staleInputWindow is the time after such a gap in which what waited at the socket is read, and ignored.
	staleInputWindow = 0.1
	// rateWindow is the time over which the rate of attempts in a zone is averaged.
	rateWindow = 4
)

// Hold time, probing and recovery, times in seconds.
const (
	// minHoldTime is how long a zone stays evacuated the first time before it is probed; each further time doubles it.
	// Longer keeps a healthy zone out for longer, shorter sends more probes to one that is down.
	minHoldTime = 1.0
	// maxHoldDoublings bounds the hold time: 64 s.
	maxHoldDoublings = 6
	// probeRound is how long the same routers probe a zone, before others take over, as these may be down.
	probeRound = 0.5
	// probesPerRound is how many attempts a probing router sends in a round, by the rate that it had there before.
	probesPerRound = 2
	// minProbers is how many routers probe at once, if there are so many; in a large fleet it is one in proberDivisor.
	minProbers    = 3
	proberDivisor = 8
	// maxProbeShare bounds the share that a probing router sends.
	maxProbeShare = 0.25
	// firstRecoveryShare is the share that a recovering zone begins with. Larger recovers sooner, and may overload
	// servers that are cold.
	firstRecoveryShare = 1.0 / 16
	// maxFollowedShare bounds the share that a router takes over from its peers when it begins a recovery after them.
	maxFollowedShare = 0.5
	// minShare is the least share of a probing zone, and of a recovering one whose steps are degraded.
	minShare = 1.0 / 64
	// stepsPerWarmup, minStepTime and maxStepTime set how long a recovering zone stays at one share: four doublings,
	// with what the endpoint list and the messages take, stay within half of a cold server's warm-up.
	stepsPerWarmup = 12
	minStepTime    = 0.25
	maxStepTime    = 2
	// minDegradedAttempts and degradedDivisor say when a step was degraded: so many attempts were late, rejected or
	// without an answer, and these are more than a quarter of those that were answered.
	minDegradedAttempts = 2
	degradedDivisor     = 4
)

// Gossip, times in seconds.
const (
	// minMessagePeriod is the least time between two messages without news.
	minMessagePeriod = 0.5
	// maxMessageRate bounds the messages without news that a router hears a second: beyond half as many routers
	// each speaks less often.
	maxMessageRate = 100
	// peerTimeoutPeriods is after how many periods a silent peer is no longer counted: it lost three messages, or has
	// gone. More counts votes of peers that have gone, fewer drops those whose messages are lost.
	peerTimeoutPeriods = 3.5
	// minMessageGap is the time between two messages with news: what happens in one tick is told together.
	minMessageGap = 0.04
	// maxGossipTokens bounds the messages that may be sent early in a row; one token comes each period.
	maxGossipTokens = 4
	// transitionAnnouncements is in how many messages a transition is told at least, as a message may be lost.
	transitionAnnouncements = 2
)
