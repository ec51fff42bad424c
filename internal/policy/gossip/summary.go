package gossip

// summary is the load of a server as computed by one owner, of its group (a group sum) or of all groups.
type summary struct {
	rank                uint8   // of the owner
	incarnation         uint8   // of the owner's process
	version             uint8   // counted by the owner, modulo 256
	refusing, answering bool    // whether refusals and answers were reported recently
	urgent              bool    // whether the summary is forwarded without delay
	load                float64 // sum of the relative times of attempts, decayed with loadDecay
	mean                float64 // mean relative time
	originatedAt        float64 // seconds by this router's clock
}

// unavailable reports whether the server refuses attempts and no router has reported an answer.
func (s *summary) unavailable() bool { return s.refusing && !s.answering }

// expired reports whether a summary has reached summaryLifetime and is no longer used.
func (s *summary) expired(now float64) bool { return now-s.originatedAt >= summaryLifetime }

// attempts returns the number of attempts that the load stands for: their rate per second times loadDecay.
func (s *summary) attempts() float64 { return s.load / max(s.mean, minMean) }

// freshness is the result of comparing a received summary with the held one.
type freshness int

const (
	newer     freshness = iota // the received summary replaces the held one
	duplicate                  // the held summary is the same version
	older                      // the held summary is a later version, or of the same rank and not clearly older
	outranked                  // the held summary is of an earlier owner and not overdue
)

// compare decides whether a received summary replaces the held one. The result does not depend on the order in which
// versions arrive.
func compare(held, received *summary, now float64) freshness {
	sameOwner := held.rank == received.rank && held.incarnation == received.incarnation
	if sameOwner && held.version == received.version {
		return duplicate
	}
	if now-held.originatedAt > summaryLifetime {
		return newer
	}
	if sameOwner {
		if int8(received.version-held.version) < 0 {
			return older
		}
		return newer
	}
	if received.rank > held.rank && received.originatedAt < held.originatedAt+overdueInterval {
		refusal := received.urgent && received.refusing
		if refusal && received.originatedAt > held.originatedAt+secondaryRefusalDelay {
			return newer
		}
		return outranked
	}
	if received.rank == held.rank && received.originatedAt < held.originatedAt+incarnationAgeMargin {
		return older // of another process or view of the owner; only the age decides which is newer
	}
	return newer
}

// accept replaces the held summary of a server with a received one if that is newer, and starts forwarding it.
func (g *Gossiper) accept(s *serverState, received summary) {
	switch compare(&s.held, &received, g.now) {
	case duplicate:
		s.spread.onDuplicate(received.urgent)
		return
	case older, outranked:
		return
	}
	s.held = received
	s.baseRank = int(received.rank)
	s.spread.start(&received, g.now)
	if !s.spread.queued {
		s.spread.queued = true
		g.spreading = append(g.spreading, s)
	}
}
