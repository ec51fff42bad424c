package quota

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// Shares says which part of each budget one of many routers has, so that the sum over all stays within it. Routers that
// may talk tell one another what load is asked of them; each then has the part that its own demand has in all. Those
// that may not have equal parts.
type Shares struct {
	pool    *Limiter
	me      int
	routers int
	told    float64 // the caller's time when words were last sent
	heard   map[uint32]map[int]saying
	turn    int // the first team of the next message, where not all fit
	last    map[int]float64
}

// saying is the demand that a router told.
type saying struct{ rate, at float64 }

const (
	telling = 0.5 // seconds between two messages: several in the time over which demand is reckoned
	stale   = 2.0 // seconds after which what a router said is forgotten: four messages were lost, or it has gone
	// floor is the part of a budget that is split evenly whatever the demand: a team that comes to a router anew is
	// served there until the others have heard of it.
	floor = 0.1

	tag       = 0xc7 // the first byte; what else peers say has a length that is a multiple of others
	others    = 3    // the size of a word of the module
	head      = 4    // tag, the router's number, and how many entries follow
	entry     = 6    // a checksum of the team's name, and its demand
	mostBytes = 256  // of a message, by the protocol
)

// NewShares makes them for one of so many routers; each has an equal part until it has heard the others.
func NewShares(p *Limiter, me, routers int) *Shares {
	return &Shares{pool: p, me: me, routers: max(1, routers), heard: map[uint32]map[int]saying{}, last: map[int]float64{}}
}

func nameOf(team string) uint32 { return crc32.ChecksumIEEE([]byte(team)) }

// Recompute gives all teams of the pool the equal parts; after a change of contracts it keeps what is known.
func (s *Shares) Recompute(now float64) {
	for _, t := range s.pool.Buckets() {
		s.pool.SetShare(now, t, s.part(now, t))
	}
	s.pool.SetUnreservedShare(now, 1/float64(s.routers))
}

// part is the part of a team's budget that is this router's.
func (s *Shares) part(now float64, t *Bucket) float64 {
	even := 1 / float64(s.routers)
	all, own, heard := 0.0, t.Demand.Rate(s.pool.clock), false
	for _, said := range s.heard[nameOf(t.Team)] {
		if now-said.at < stale {
			all, heard = all+said.rate, true
		}
	}
	if !heard || all+own < 1e-6 {
		return s.alone(now, even)
	}
	return floor*even + (1-floor)*own/(all+own)
}

// alone is the part where nobody has spoken of a team: all that others are known not to ask for, else an equal one.
func (s *Shares) alone(now, even float64) float64 {
	live := 0
	for _, at := range s.last {
		if now-at < stale {
			live++
		}
	}
	if live < s.routers-1 || s.routers == 1 {
		return even
	}
	return floor*even + (1 - floor) // all others spoke lately, and none of this team
}

// Message gives the words that are to be sent to all peers now, if it is time; it moves the parts as well.
func (s *Shares) Message(now float64) []byte {
	if s.routers == 1 || now-s.told < telling && now >= s.told {
		return nil
	}
	s.told = now
	s.forget(now)
	s.Recompute(now)
	var active []*Bucket
	for _, t := range s.pool.Buckets() {
		if t.Demand.Rate(s.pool.clock) > 1e-6 {
			active = append(active, t)
		}
	}
	most := (mostBytes - head - 1) / entry
	words := binary.LittleEndian.AppendUint16([]byte{tag}, uint16(s.me))
	words = append(words, byte(min(most, len(active))))
	for i := range min(most, len(active)) {
		t := active[(s.turn+i)%len(active)]
		words = binary.LittleEndian.AppendUint32(words, nameOf(t.Team))
		words = binary.LittleEndian.AppendUint16(words, scaled(t.Demand.Rate(s.pool.clock)))
	}
	if len(active) > most {
		s.turn = (s.turn + most) % len(active)
	}
	if len(words)%others == 0 {
		words = append(words, 0)
	}
	return words
}

// OnMessage takes a peer's words; false if they are no such words.
func (s *Shares) OnMessage(now float64, words []byte) bool {
	if len(words) < head || words[0] != tag || len(words)%others == 0 {
		return false
	}
	from, n := int(binary.LittleEndian.Uint16(words[1:])), int(words[3])
	rest := words[head:]
	if from == s.me || from >= s.routers || len(rest) < n*entry || len(rest) > n*entry+1 {
		return true // its shape is known, but nothing in it can be used
	}
	s.last[from] = now
	for ; n > 0; n-- {
		team := binary.LittleEndian.Uint32(rest)
		if s.heard[team] == nil {
			if len(s.heard) >= 4*len(s.pool.teams)+64 {
				return true // it speaks of teams that nobody has a contract for
			}
			s.heard[team] = map[int]saying{}
		}
		s.heard[team][from] = saying{unscaled(binary.LittleEndian.Uint16(rest[4:])), now}
		rest = rest[entry:]
	}
	return true
}

// forget drops what is stale.
func (s *Shares) forget(now float64) {
	for team, said := range s.heard {
		for from, x := range said {
			if now-x.at >= stale {
				delete(said, from)
			}
		}
		if len(said) == 0 {
			delete(s.heard, team)
		}
	}
	for from, at := range s.last {
		if now-at >= stale {
			delete(s.last, from)
		}
	}
}

// scaled packs a demand into 16 bits, within a thousandth: from a millionth of a second a second to beyond a million.
func scaled(rate float64) uint16 {
	if rate < 1e-6 {
		return 0
	}
	return uint16(min(65535, max(1, math.Round(1000*(math.Log(rate)+14)))))
}

func unscaled(x uint16) float64 {
	if x == 0 {
		return 0
	}
	return math.Exp(float64(x)/1000 - 14)
}

// LivePeers gives the routers that spoke lately, for who wants to see why a part is what it is.
func (s *Shares) LivePeers(now float64) (all []int) {
	for from, at := range s.last {
		if now-at < stale {
			all = append(all, from)
		}
	}
	slices.SortFunc(all, cmp.Compare[int])
	return all
}
