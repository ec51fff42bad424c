package broker

import (
	"maps"
	"slices"

	"bendtrestle/internal/requestcore"
)

// Tally is what became of a team's requests.
type Tally struct {
	Received, Succeeded, Rejected, Failed, Disconnected uint64

	Reasons  [len(requestcore.ReasonNames)]uint64 // of the rejected ones
	LoadUsed float64                              // seconds
}

// reject counts a rejected request.
func (t *Tally) reject(reason requestcore.RejectReason) {
	t.Rejected++
	t.Reasons[reason]++
}

// TeamState is a team as it stands.
type TeamState struct {
	Team, Pool     string
	GuaranteedRate float64 // seconds of load a second, over all routers
	Share          float64 // of the quota that this router has
	Balance        float64 // seconds of load
	Tally
	OpenRequests int
}

// TeamStates gives all teams, by name.
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

// Revision counts the changes of teams and pools.
func (b *Broker) Revision() int { return b.revision }

// QuotaMessages gives the messages that are to be broadcast to the other routers now.
func (b *Broker) QuotaMessages() (messages [][]byte) {
	now := b.now()
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		if message := b.pools[name].shares.Message(now); message != nil {
			messages = append(messages, message)
		}
	}
	return messages
}

// OnQuotaMessage takes a datagram of another router; false if it is none about quotas.
func (b *Broker) OnQuotaMessage(datagram []byte) (known bool) {
	now := b.now()
	for _, p := range b.pools {
		known = p.shares.OnMessage(now, datagram) || known
	}
	return known
}

// TrafficClassNames gives the names of all teams' traffic classes, as clients use them.
func (b *Broker) TrafficClassNames() (names []string) {
	for _, t := range b.teams {
		for _, class := range t.TrafficClasses {
			names = append(names, class.Name)
		}
	}
	return names
}

// HasTeam tells whether there is such a team.
func (b *Broker) HasTeam(team string) bool { return b.teams[team] != nil }

// LongestDeadline is the longest deadline, in seconds, of any team that there ever was: requests in flight may have
// begun under it.
func (b *Broker) LongestDeadline() float64 { return b.longestDeadline }

// OpenRequests is how many requests have a slot.
func (b *Broker) OpenRequests() int { return b.slots.requests.InUse() }
