package balancer

import (
	"encoding/binary"
	"math"
)

// A gossip message is a sequence of records of gossipRecordSize bytes. A record describes the end of one attempt:
// the low 16 bits of the server's id, little endian, and a byte for its latency relative to the mean of its class,
// in units of 1/gossipLatencyUnits. The byte gossipConnectionRefused means that the server refused the connection.
const (
	gossipRecordSize        = 3  // bytes
	gossipMessageSize       = 15 // bytes, five records
	gossipLatencyUnits      = 32
	gossipConnectionRefused = 255
)

const (
	// gossipBudgetFraction is the fraction of the priority weight of all requests that gossip may cost.
	gossipBudgetFraction = 0.005
	// gossipPricedSize is the size, in bytes, of the message that Settings.GossipPrice is the price of.
	gossipPricedSize = 256
	// gossipOverhead is the cost of a message in addition to its records, in bytes.
	gossipOverhead = 1
	// maxGossipTokens bounds the burst of messages after a quiet period.
	maxGossipTokens = 4
	// urgentSlownessChange is the difference between an attempt's slowness and its server's above which the message
	// is sent immediately.
	urgentSlownessChange = 1
)

// gossipQueue holds the records to be sent to peers.
type gossipQueue struct {
	pending []byte  // at most one message of records: the oldest are dropped
	tokens  float64 // messages that may be sent now
}

// reportAttempt queues a record for the peers. The message is sent when it is full or, if the slowness of the
// attempt differs from the server's by more than urgentSlownessChange, immediately, as far as the gossip budget
// allows. encodedLatency is the latency byte of the record before it is rounded down; previousSlowness is the
// server's slowness before the attempt. Routers with enough samples of their own do not report: all routers move
// keys by the same reports, and keys that move miss their caches.
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

// refill adds the fraction of a message that one attempt earns: the gossip budget per attempt over the price of a
// message to all peers.
func (q *gossipQueue) refill(price float64, routers int) {
	peers := float64(routers - 1)
	cost := price * (gossipMessageSize + gossipOverhead) / gossipPricedSize * peers
	earned := min(1, gossipBudgetFraction/max(cost, 1e-9))
	q.tokens = min(q.tokens+earned, maxGossipTokens)
}

// OnGossip is called with a message that a peer's balancer passed to Host.Gossip. An incomplete record at its end
// is ignored.
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

// applyReport applies one record from a peer. A refused connection ejects the server, unless peers recently
// reported answers from it: a router that is cut off from a server must not eject it at all routers. The record
// then counts as a long latency.
func (b *Balancer) applyReport(server *serverState, latency byte) {
	answeredRecently := b.now-server.reported.answeredAt <= b.classes.longestObjective
	if latency == gossipConnectionRefused && !answeredRecently {
		b.ejectByReport(server)
		return
	}
	b.addReportedLoad(server, float64(latency)/gossipLatencyUnits)
}
