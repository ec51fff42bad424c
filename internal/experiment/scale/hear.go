package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"bendtrestle/internal/discovery"
	"bendtrestle/internal/policy/zonefailover"
)

// usualWord is what the module says: five servers, each with a usual time.
func usualWord(s *stage) (words []byte) {
	const servers, usual = 5, 32
	all := s.fleet.Servers()
	for n := range servers {
		words = binary.LittleEndian.AppendUint16(words, uint16(discovery.ID(all[n*len(all)/servers].Name)))
		words = append(words, usual)
	}
	return words
}

// zoneWords makes what each of some routers says of zones: eight of them, all well. It may be asked again and again.
func (b *bench) zoneWords(s *stage, voices int) func(voice int) []byte {
	servers, ids := map[string]int{}, map[uint16]bool{}
	for _, one := range s.fleet.Servers() {
		servers[one.Zone]++
		ids[uint16(discovery.ID(one.Name))] = true
	}
	fleets, at := make([]*zonefailover.Controller, voices), make([]float64, voices)
	for n := range fleets {
		fleets[n] = zonefailover.New(zonefailover.Settings{RouterIndex: n + 1, RouterCount: voices + 1, Incarnation: 1, WarmupSeconds: 9})
		fleets[n].OnEndpoints(0, servers, ids)
	}
	return func(n int) []byte {
		at[n] += 1000 // by its own clock, as it is always time to speak
		fleets[n].Tick(at[n])
		return fleets[n].NextMessage(at[n])
	}
}

// listen has a router hear words at a rate, and gives what a window of that took, and how many words a second it had room for.
func (b *bench) listen(p *process, v *voices, rate float64, say func(voice int) []byte) (s spent, heard float64, err error) {
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	said := make(chan error, 1)
	go func() {
		_, err := v.speak(ctx, rate, say)
		said <- err
	}()
	before, after := 0, 0
	if err = sleep(b.ctx, b.plan.Settle, p); err == nil {
		if before, err = lost(b.at(routerAt, 0, wordsPort)); err == nil {
			s, err = b.watch(p)
		}
	}
	if err == nil {
		after, err = lost(b.at(routerAt, 0, wordsPort))
	}
	stop()
	if saying := <-said; err == nil {
		err = saying
	}
	const much = 0.01 // of the words: with more lost, a router is too slow for them, or the machine too busy
	if heard = rate - float64(after-before)/max(s.seconds, 1e-9); heard < (1-much)*rate {
		b.note("of %.0f words a second %.1f%% found no room at the router's socket", rate, 100*(1-heard/rate))
	}
	return s, heard, err
}

// fixedRate is words a second where something else grows: so many that what a wake-up takes is shared by several of them, and 50 at once
// are far below the 277 that a socket's usual room holds.
const fixedRate = 10000

// hear measures hearing words.
func hear(b *bench) error {
	most, fewest, rate := slices.Max(b.plan.Servers), slices.Min(b.plan.Routers), float64(fixedRate)
	if b.plan.Small {
		rate = 200
	}
	dropped := 0
	about := func(servers, peers int, zoned bool, f func(s *stage, p *process, v *voices, say func(int) []byte) error) error {
		v, err := b.voices(peers)
		if err != nil {
			return err
		}
		defer v.close()
		return b.with(servers, setup{peers: b.others(peers), words: true, zones: zoned}, func(s *stage, p *process) error {
			words := usualWord(s)
			err := f(s, p, v, func(int) []byte { return words })
			if err != nil {
				return err
			}
			n, err := lost(b.at(routerAt, 0, wordsPort))
			dropped += n
			b.add("hear.bytes.word", 0, float64(len(words)+headers), 0)
			return err
		})
	}
	// one word's time: what is taken beyond the same router's before anybody spoke
	one := func(p *process, v *voices, say func(int) []byte, take func(each float64, s spent)) error {
		before, err := b.watch(p)
		if err != nil {
			return err
		}
		s, heard, err := b.listen(p, v, rate, say)
		if err == nil {
			take((s.rate()-before.rate())/max(heard, 1), s)
		}
		return err
	}
	for _, n := range b.plan.Routers {
		b.say("hearing %d peers before %d servers", n, most)
		err := about(most, n, false, func(_ *stage, p *process, v *voices, say func(int) []byte) error {
			err := one(p, v, say, func(each float64, s spent) { b.add("hear.core.word.peers", float64(n), each, s.loop) })
			if err != nil {
				return err
			}
			s, _, err := b.listen(p, v, float64(n), say)
			b.add("hear.core.word", float64(n), s.rate(), s.loop)
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, n := range b.plan.Servers {
		b.say("hearing %d peers before %d servers", fewest, n)
		err := about(n, fewest, false, func(_ *stage, p *process, v *voices, say func(int) []byte) error {
			return one(p, v, say, func(each float64, s spent) { b.add("hear.core.word.servers", float64(n), each, s.loop) })
		})
		if err != nil {
			return err
		}
	}
	b.say("hearing at growing rates")
	err := about(most, fewest, false, func(_ *stage, p *process, v *voices, say func(int) []byte) error {
		for _, n := range b.plan.Routers {
			s, _, err := b.listen(p, v, float64(n), say)
			if err != nil {
				return err
			}
			b.add("hear.core.word.rate", float64(n), s.rate(), s.loop)
		}
		return nil
	})
	if err != nil {
		return err
	}
	b.say("hearing of zones")
	err = about(most, fewest, true, func(s *stage, p *process, v *voices, _ func(int) []byte) error {
		say, size := b.zoneWords(s, fewest), 0
		err := one(p, v, func(n int) []byte {
			words := say(n)
			size = len(words)
			return words
		}, func(each float64, s spent) { b.add("hear.core.zones", 0, each, s.loop) })
		if size == 0 && err == nil {
			err = fmt.Errorf("no words about zones were made")
		}
		b.add("hear.bytes.zones", 0, float64(size+headers), 0)
		return err
	})
	b.add("hear.lost", 0, float64(dropped), 0)
	return err
}

// tell measures telling all peers: a router with zones on says a word each half second, as it would in a fleet of fifty.
func tell(b *bench) error {
	const fleet, twoWords = 50, 1200 * time.Millisecond
	most := slices.Max(b.plan.Servers)
	missed, all, size, words, times := 0, 0, 0, 0.0, 0.0
	for _, n := range b.plan.Routers {
		b.say("telling %d peers", n)
		v, err := b.voices(n)
		if err != nil {
			return err
		}
		err = b.with(most, setup{peers: b.others(n), routers: fleet, words: true, zones: true}, func(_ *stage, p *process) error {
			before, _, err := v.words(b.ctx)
			if err != nil {
				return err
			}
			s, missing, said := spent{}, 0, 0.0
			for try := 0; said == 0; try++ { // on a busy machine a window may end before the first word
				if try == 5 {
					return fmt.Errorf("no word came to %d peers in %.1f s", n, s.seconds*float64(try))
				}
				if s, err = p.watch(b.ctx, max(b.plan.Window, twoWords)); err != nil {
					return err
				}
				after, more, err := v.words(b.ctx)
				if err != nil {
					return err
				}
				missing, said = missing+more, float64(after-before)
			}
			b.measured(s)
			for _, heard := range v.heard {
				all += heard
			}
			size, missed, words, times = size+v.bytes, missed+missing, words+said, times+s.seconds
			b.add("tell.core.datagram", float64(n), s.processor*1e6/said, s.loop)
			return nil
		})
		v.close()
		if err != nil {
			return err
		}
	}
	b.add("tell.words", 0, words/times, 0)
	b.add("tell.bytes.datagram", 0, float64(size)/float64(all)+headers, 0)
	b.add("tell.lost", 0, float64(missed), 0)
	return nil
}
