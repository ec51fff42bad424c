package gossip

import "math"

const (
	feeding = 6000.0 // words a second to the module: a microsecond each on a machine that is full, 0.6% of a core
	repeat  = 0.25   // seconds between two refusals of a server: the module forgets one after its longest promised time
)

// Feed gives words by which the module comes to the loads, means and refusals that it would have if all told it; three bytes each. Where all
// would tell more than it is fed, all loads are the same part of what they would be: the module compares them. What is held is held until the
// next entry, and fades as words would once none comes.
func (f *Fleet) Feed(now float64) (all []byte) {
	f.wake(now)
	want := 0.0
	for _, s := range f.order {
		if f.now-s.held.born < hold {
			want += s.held.load / max(s.held.joint, 1.0/32) / recall
		}
	}
	f.shown = min(1, feeding/max(want, 1))
	room := int(feeding * min(now-f.fed, 1) * 2)
	f.fed = now
	for _, s := range f.order {
		h := s.held
		if now-h.born >= hold {
			continue
		}
		if h.refused && !h.well && now-h.born < 1.5*between {
			if now-s.barred >= repeat && room > 0 {
				s.barred, room = now, room-1
				all = append(all, byte(s.id), byte(s.id>>8), refused)
			}
			continue
		}
		byt := math.Round(min(254, max(1, h.joint*32)))
		took := byt / 32
		s.load *= math.Exp((s.fedAt - now) / recall)
		s.fedAt = now
		for s.load+took/2 <= h.load*f.shown && room > 0 {
			s.load, room = s.load+took, room-1
			all = append(all, byte(s.id), byte(s.id>>8), byte(byt))
		}
	}
	return all
}
