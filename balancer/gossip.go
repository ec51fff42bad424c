package balancer

import (
	"encoding/binary"
	"math"
)

// A gossip message is a sequence of records of gossipRecordSize bytes. A record tells the end of one attempt:
// the low 16 bits of the server's id, little endian, and a byte for its latency over the mean of its class, in
// units of 1/gossipLatencyUnits. The byte gossipConnectionRefused says that the server refused the connection.
const (
	gossipRecordSize        = 3  // bytes
	gossipMessageSize       = 15 // bytes, five records
	gossipLatencyUnits      = 32
	gossipConnectionRefused = 255
)

const (
	// gossipBudgetFraction is the part of the priority weight of all requests that gossip may cost.
	gossipBudgetFraction = 0.005
	// gossipPricedSize is the size, in bytes, of the message that Settings.GossipPrice is the price of.
	gossipPricedSize = 256
	// gossipOverhead is what a message costs beside its records, in bytes.
	gossipOverhead = 1
	// maxGossipTokens bounds the messages that may be sent at once after a quiet time.
	maxGossipTokens = 4
	// urgentSlownessChange is the change of a server's slowness from which on peers are told at once.
	urgentSlownessChange = 1
)

// gossipQueue holds what is to be sent to peers.
type gossipQueue struct {
	pending []byte  // records, at most a message of them: the oldest are dropped
	tokens  float64 // messages that may be sent now
}

// reportAttempt queues a record for the peers. It sends the message once that is full, or at once if the
// attempt is news of its server, as far as the gossip budget allows. record is the record's latency byte, not
// yet rounded down; before is the server's slowness before the attempt. Routers with enough samples of their
// own do not report: all routers move keys by the same reports, and keys that move miss their caches.
func (b *Balancer) reportAttempt(server *serverState, class *classState, encodedLatency, previousSlowness float64) {
	if !b.settings.GossipAllowed || !b.fewSamples(class) {
		return
	}
	queue := &b.gossip
	queue.add(server.ID, byte(encodedLatency))
	queue.refill(b.settings.GossipPrice, b.settings.RouterCount)
	if queue.tokens < 1 {
		return
	}
	change := math.Abs(min(encodedLatency/gossipLatencyUnits, maxSlownessSample) - previousSlowness)
	if change <= urgentSlownessChange && len(queue.pending) < gossipMessageSize {
		return
	}
	queue.tokens--
	b.host.Gossip(queue.pending)
	queue.pending = queue.pending[:0]
}

func (q *gossipQueue) add(id uint64, latency byte) {
	q.pending = binary.LittleEndian.AppendUint16(q.pending, uint16(id))
	q.pending = append(q.pending, latency)
	q.pending = q.pending[max(0, len(q.pending)-gossipMessageSize):]
}

// refill adds the part of a message that one attempt earns: what gossip may cost, over the price of a message
// to all peers.
func (q *gossipQueue) refill(price float64, routers int) {
	peers := float64(routers - 1)
	cost := price * (gossipMessageSize + gossipOverhead) / gossipPricedSize * peers
	earned := min(1, gossipBudgetFraction/max(cost, 1e-9))
	q.tokens = min(q.tokens+earned, maxGossipTokens)
}

// OnGossip is called with a message that a peer's balancer gave to Host.Gossip. An incomplete record at its end is
// ignored.
func (b *Balancer) OnGossip(now float64, message []byte) {
	b.now = now
	for len(message) >= gossipRecordSize {
		id := binary.LittleEndian.Uint16(message)
		latency := message[gossipRecordSize-1]
		message = message[gossipRecordSize:]
		for _, server := range b.servers.ready {
			if uint16(server.ID) == id {
				b.applyReport(server, latency)
			}
		}
	}
}

// applyReport takes one record of a peer. A refused connection ejects the server, unless peers report that it
// answers them: one router that is cut off from a server must not take it from all. It counts as a long latency
// then.
func (b *Balancer) applyReport(server *serverState, latency byte) {
	answeredRecently := b.now-server.reported.answeredAt <= b.classes.longestObjective
	if latency == gossipConnectionRefused && !answeredRecently {
		b.ejectByReport(server)
		return
	}
	b.addReportedLoad(server, float64(latency)/gossipLatencyUnits)
}
