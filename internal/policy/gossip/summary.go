package gossip

// summary is the load of a server as one owner has it: of its group (a group sum), or of all groups.
type summary struct {
	rank                uint8   // of the owner
	incarnation         uint8   // of the owner's process
	version             uint8   // counted by the owner, modulo 256
	refusing, answering bool    // refusals were reported lately; answers were
	urgent              bool    // it is to be passed on at once
	load                float64 // relative times of attempts, their sum decayed with loadDecay
	mean                float64 // mean relative time
	originatedAt        float64 // seconds by this router's clock
}

// unavailable reports whether the server refuses and nobody has had an answer of it.
func (s *summary) unavailable() bool { return s.refusing && !s.answering }

// expired reports whether a summary no longer counts.
func (s *summary) expired(now float64) bool { return now-s.originatedAt >= summaryLifetime }

// attempts is how many attempts a second and time constant of the load stand for.
func (s *summary) attempts() float64 { return s.load / max(s.mean, minMean) }

// freshness says how a summary that arrives compares with the one that is held.
type freshness int

const (
	newer     freshness = iota // it takes the place of the held one
	duplicate                  // the held one is the same version
	older                      // the held one is a later version, or an equally good one that is not older
	outranked                  // the owner before its owner publishes, and is in time
)

// compare reports whether a received summary takes the place of the held one. It does not depend on the order in
// which versions arrive.
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
		return older // of another process or view of the owner; only the age tells which
	}
	return newer
}

// accept takes a summary of a server, and has it passed on if it is newer than the held one.
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
	s.spread.begin(&received, g.now)
	if !s.spread.queued {
		s.spread.queued = true
		g.spreading = append(g.spreading, s)
	}
}
