package gossip

import "math"

const (
	feeding = 6000.0 // words a second to the module: a microsecond each on a machine that is full, 0.6% of a core
	repeat  = 0.25   // seconds between two refusals of a server: the module forgets one after its longest promised time
)

// SynthesizeObservations gives words by which the module comes to the loads, means and refusals that it would have if all told it; three bytes each. Where all
// would tell more than it is fed, all loads are the same part of what they would be: the module compares them. What is held is held until the
// next entry, and fades as words would once none comes.
func (f *Gossiper) SynthesizeObservations(now float64) (all []byte) {
	f.wake(now)
	want := 0.0
	for _, s := range f.servers {
		if f.now-s.held.originatedAt < summaryLifetime {
			want += s.held.load / max(s.held.mean, 1.0/32) / loadDecay
		}
	}
	f.feedFraction = min(1, feeding/max(want, 1))
	room := int(feeding * min(now-f.fed, 1) * 2)
	f.fed = now
	for _, s := range f.servers {
		h := s.held
		if now-h.originatedAt >= summaryLifetime {
			continue
		}
		if h.refusing && !h.answering && now-h.originatedAt < 1.5*between {
			if now-s.barred >= repeat && room > 0 {
				s.barred, room = now, room-1
				all = append(all, byte(s.id), byte(s.id>>8), refusalByte)
			}
			continue
		}
		byt := math.Round(min(254, max(1, h.mean*32)))
		took := byt / 32
		s.fedLoad *= math.Exp((s.fedAt - now) / loadDecay)
		s.fedAt = now
		for s.fedLoad+took/2 <= h.load*f.feedFraction && room > 0 {
			s.fedLoad, room = s.fedLoad+took, room-1
			all = append(all, byte(s.id), byte(s.id>>8), byte(byt))
		}
	}
	return all
}
