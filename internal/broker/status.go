package broker

import (
	"maps"
	"slices"

	"bendtrestle/internal/requestcore"
)

// Tally counts a team's requests by outcome.
type Tally struct {
	Received, Succeeded, Rejected, Failed, Disconnected uint64

	Reasons  [len(requestcore.ReasonNames)]uint64 // rejected requests by reason
	LoadUsed float64                              // seconds
}

// reject counts a rejected request.
func (t *Tally) reject(reason requestcore.RejectReason) {
	t.Rejected++
	t.Reasons[reason]++
}

// TeamState is the current state of a team.
type TeamState struct {
	Team, Pool     string
	GuaranteedRate float64 // seconds of load per second, over all routers
	Share          float64 // this router's share of the quota
	Balance        float64 // seconds of load
	Tally
	OpenRequests int
}

// TeamStates returns the states of all teams, sorted by name.
func (b *Broker) TeamStates() (states []TeamState) {
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		t := b.teams[name]
		state := TeamState{
			Team:           name,
			Pool:           t.Pool,
			GuaranteedRate: t.GuaranteedRate,
			Tally:          *t.tally,
			OpenRequests:   t.requests.InUse(),
		}
		if bucket := t.pool.limiter.Bucket(name); bucket != nil {
			state.Share = bucket.Share()
			state.Balance = bucket.Balance()
		}
		states = append(states, state)
	}
	return states
}

// Revision returns the number of times that teams and pools were configured.
func (b *Broker) Revision() int { return b.revision }

// QuotaMessages returns the messages that are to be broadcast to the other routers now.
func (b *Broker) QuotaMessages() (messages [][]byte) {
	now := b.now()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if message := b.pools[name].shares.Message(now); message != nil {
			messages = append(messages, message)
		}
	}
	return messages
}

// OnQuotaMessage handles a datagram of another router. It returns false if the datagram is not a quota message.
func (b *Broker) OnQuotaMessage(datagram []byte) (known bool) {
	now := b.now()
	for _, p := range b.pools {
		known = p.shares.OnMessage(now, datagram) || known
	}
	return known
}

// TrafficClassNames returns the names of all teams' traffic classes, as used by clients.
func (b *Broker) TrafficClassNames() (names []string) {
	for _, t := range b.teams {
		for _, class := range t.TrafficClasses {
			names = append(names, class.Name)
		}
	}
	return names
}

// HasTeam reports whether there is such a team.
func (b *Broker) HasTeam(team string) bool { return b.teams[team] != nil }

// LongestDeadline returns the longest deadline, in seconds, of all teams since the start, because requests in flight
// may have started under the deadline of a team that was removed.
func (b *Broker) LongestDeadline() float64 { return b.longestDeadline }

// OpenRequests returns the number of requests that hold a slot.
func (b *Broker) OpenRequests() int { return b.slots.requests.InUse() }
