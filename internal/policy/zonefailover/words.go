package zonefailover

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

// A message of 256 bytes at most holds what a router has seen of up to eight zones. Builds that do not know it take each three
// bytes of a message for the end of a server's id and a time, so every third byte alone says something here, and the two
// before it are the end of no server's id.
const (
	group   = 3
	plain   = 12 // bytes before the zones: kind, router, life, number, flags, how many
	entry   = 8  // sum of the name, state, share, ages of the last answer and of the first execution without, how the last step went
	perWord = (256/group - plain - 2) / entry
	kind    = 0x5a
	ageStep = 0.02 // seconds; 254 steps are 5 s, beyond which an age makes no difference
)

var markers = [...][2]byte{{0xc7, 0xff}, {0x5a, 0xfe}, {0xb1, 0xfd}, {0x3e, 0xfc}}

// peer is what another router said last.
type peer struct {
	life   uint16
	number uint32
	at     float64
	cut    bool // it says that it is cut off itself
	said   map[uint32]saying
	before []uint16 // lives that are over: their words may still come
	spoke  float64  // when this router last answered that it is new
}

type saying struct {
	state   State
	share   float64
	ok, bad float64 // by this router's clock
	hand    bool
	good    int // executions of the last step, up to 15, and those of them that tell of strain
	poor    int
}

// period is the time between two words without news: each router hears a hundred a second at most.
func (f *Controller) period() float64 { return max(0.5, float64(f.set.RouterCount)/100) }

// stale is when what a router said is forgotten: it lost three messages, or has gone.
func (f *Controller) stale() float64 { return 3.5 * f.period() }

const pause = 0.04 // seconds between two words with news: what happens in one tick is told together

// NextMessage gives the words to be sent now; nil: there are none. One message holds what is most needed; the rest is told in its turn.
func (f *Controller) NextMessage(now float64) []byte {
	if f.set.RouterCount < 2 || len(f.zones) == 0 {
		return nil
	}
	f.object(now)
	passed := now - f.told
	if passed < f.period() {
		if passed < pause || f.purse < 1 || !f.urgent(now) {
			return nil
		}
		f.purse--
	}
	f.told, f.met = now, false
	zones := slices.SortedFunc(maps.Values(f.zones), byNeed)
	zones = zones[:min(len(zones), perWord)]
	for _, z := range zones {
		z.fresh, z.owed, z.said = false, max(0, z.owed-1), now
	}
	f.MessagesSent++
	return f.words(now, zones)
}

// object notes what others wait to hear: of a zone where one of them has no answer, or that one tries, this router has had one since.
func (f *Controller) object(now float64) {
	for _, z := range f.zones {
		if z.ok <= z.said || z.owed > 0 { // what it had before, others know
			continue
		}
		missed := z.state == Probing || z.state == Evacuated
		for _, p := range f.peers {
			s := p.said[z.sum]
			missed = missed || now-p.at <= f.stale() && s.bad > 0 && z.ok > s.bad && now-z.said > 2*pause
		}
		if missed {
			z.owed = 1
		}
	}
}

// urgent tells whether others have to know something now.
func (f *Controller) urgent(now float64) bool {
	for _, z := range f.zones {
		if z.owed > 0 || z.fresh && z.state != Evacuated {
			return true
		}
	}
	return f.met
}

func age(now, at float64) byte {
	if at == 0 {
		return 255
	}
	return byte(min(254, max(0, math.Round((now-at)/ageStep))))
}

// when is the time that an age tells; 0: never.
func when(now float64, age byte) float64 {
	if age == 255 {
		return 0
	}
	return now - float64(age)*ageStep
}

func (f *Controller) words(now float64, zones []*zone) []byte {
	f.number++
	b := binary.LittleEndian.AppendUint16([]byte{kind}, uint16(f.set.RouterIndex))
	b = binary.LittleEndian.AppendUint16(b, f.set.Incarnation)
	b = binary.LittleEndian.AppendUint32(b, f.number)
	flags := byte(0)
	if f.cut(now) {
		flags = 1
	}
	b = append(b, flags, byte(len(zones)), 0)
	for _, z := range zones {
		state := byte(z.state)
		if z.hand {
			state |= 0x80
		}
		b = append(b, byte(z.sum), byte(z.sum>>8), byte(z.sum>>16), state, byte(math.Round(z.share*128)), age(now, z.ok), age(now, z.bad),
			byte(min(15, z.before[0])|min(15, z.before[1])<<4))
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(crc32.ChecksumIEEE(b)))
	var words []byte
	for _, x := range b {
		words = append(words, f.marker[0], f.marker[1], x)
	}
	return words
}

// mark picks two bytes that end no server's id.
func (f *Controller) mark(ids map[uint16]bool) {
	for _, m := range markers {
		if !ids[binary.LittleEndian.Uint16(m[:])] {
			f.marker = m
			return
		}
	}
}

// unpack gives what a message says, or nil where it is no such message or was damaged.
func unpack(words []byte) []byte {
	if len(words)%group != 0 || len(words) < group*(plain+2) || !slices.Contains(markers[:], [2]byte(words[:2])) {
		return nil
	}
	var b []byte
	for i := 0; i < len(words); i += group {
		if words[i] != words[0] || words[i+1] != words[1] {
			return nil
		}
		b = append(b, words[i+2])
	}
	end := len(b) - 2
	if b[0] != kind || binary.LittleEndian.Uint16(b[end:]) != uint16(crc32.ChecksumIEEE(b[:end])) || end != plain+int(b[10])*entry {
		return nil
	}
	return b[:end]
}

const mostLives = 8 // former lives remembered of each router: it restarts less often than words are late

// OnMessage takes another router's words; false if they are not of zones.
func (f *Controller) OnMessage(now float64, words []byte) bool {
	b := unpack(words)
	if b == nil {
		return false
	}
	from, life, number := int(binary.LittleEndian.Uint16(b[1:])), binary.LittleEndian.Uint16(b[3:]), binary.LittleEndian.Uint32(b[5:])
	if f.wake(now); from == f.set.RouterIndex || from >= f.set.RouterCount || now < f.deaf {
		return true
	}
	p := f.peers[from]
	switch {
	case p == nil:
		p = &peer{life: life}
		f.peers[from] = p
		f.meet(now, p)
	case slices.Contains(p.before, life) || p.life == life && int32(number-p.number) <= 0:
		return true // late, or twice
	case p.life != life: // another process: what the one before saw counts no more
		p.before = append(p.before, p.life)
		p.before = p.before[max(0, len(p.before)-mostLives):]
		p.life, p.said = life, nil
		f.meet(now, p)
	}
	if p.said == nil {
		p.said = map[uint32]saying{}
	}
	if now-p.at > f.stale() {
		f.meet(now, p)
	}
	p.number, p.at, p.cut = number, now, b[9] == 1
	for e := b[plain:]; len(e) >= entry; e = e[entry:] {
		sum := uint32(e[0]) | uint32(e[1])<<8 | uint32(e[2])<<16
		if state := State(e[3] & 0x7f); state <= Recovering && (f.zones[sum] != nil || len(p.said) < mostZones) {
			p.said[sum] = saying{state: state, share: min(float64(e[4])/128, 1), ok: when(now, e[5]), bad: when(now, e[6]), hand: e[3]&0x80 != 0,
				good: int(e[7] & 15), poor: int(e[7] >> 4)}
		}
	}
	return true
}

// meet has words sent soon, for one that is new may know nothing; not for each that comes back at once.
func (f *Controller) meet(now float64, p *peer) {
	if now-p.spoke > f.period()/2 {
		p.spoke, f.met = now, true
	}
}
