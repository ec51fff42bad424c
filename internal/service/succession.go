package service

import (
	"encoding/json"
	"maps"

	"bendtrestle/internal/broker"
	"bendtrestle/internal/config"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/frontend"
	"bendtrestle/internal/hotrestart"

	"golang.org/x/sys/unix"
)

// succeed looks for a process of this router that runs already, and takes its listening sockets, to accept once this one serves.
func (s *Service) succeed() {
	before, sockets, err := hotrestart.Takeover(hotrestart.Path(s.conf.Shared, s.conf.Listen, "sock"))
	if err != nil {
		return // none, or it speaks no such thing: then the address is shared
	}
	s.before, s.inherited = before, sockets
	s.learn(before.State)
	s.log.Info().Int("sockets", len(sockets)).Msg("another process of this router serves; this one takes over once it can")
	s.alongside(1)
	go func() {
		before.WaitForExit()
		before.Close()
		s.loop.Post(func() {
			s.before = nil
			s.loop.After(s.longest()+margin, func() { s.alongside(-1) }) // it may be ending what it had taken
			if s.phase == Starting {                                     // nobody else takes clients now
				s.joined()
			}
		})
	}()
}

// knowledge is what the next process of a router is told of the platform's pool, beside what the list service tells it: that may be
// silent just now, and a drain that this process was told of must not be forgotten.
type knowledge struct {
	Discovery string
	List      savedList
}

// learn takes what the process before this one knew, if it is of the same list service and no older than what the start says.
func (s *Service) learn(state []byte) {
	var k knowledge
	if json.Unmarshal(state, &k) == nil && k.Discovery == s.conf.Discovery && len(k.List.Entries) > 0 &&
		k.List.Generation >= s.conf.Known.Generation {
		s.conf.Known = k.List.list()
	}
}

// open listens at the clients' address. Where another process serves there, this one joins it once it serves, too.
func (s *Service) open() (err error) {
	held, no := false, error(nil)
	if s.before == nil {
		held, no = eventloop.Held(s.conf.Listen)
	}
	if no != nil {
		return no
	}
	if held {
		s.log.Info().Str("listen", s.conf.Listen).Msg("the address is held; it is shared once this process can serve")
		s.later = true
		return nil
	}
	if s.listener, err = s.listenAt(s.conf.Listen, frontend.Memcache); err == nil && s.before == nil {
		s.offerSockets()
	}
	return err
}

// listenAt accepts at an address, by the socket of the process before this one where it has one there.
func (s *Service) listenAt(addr string, protocol frontend.Protocol) (*eventloop.Listener, error) {
	name := addr
	if addr == s.conf.Listen {
		name = ""
	}
	take := s.front.At(name, protocol)
	if fd, there := s.inherited[addr]; there {
		delete(s.inherited, addr)
		if l, err := s.loop.Adopt(fd, s.front.Room, take); err == nil {
			if s.phase != Starting {
				err = l.Resume()
			}
			return l, err
		}
	}
	return s.loop.Listen(addr, s.front.Room, take)
}

// serve begins to take clients.
func (s *Service) serve() {
	s.front.Ready()
	s.enter(Serving)
	s.joined()
}

// joined accepts from now on, and lets the process before this one know.
func (s *Service) joined() {
	var err error
	if s.later {
		s.later = false
		s.listener, err = s.loop.Listen(s.conf.Listen, s.front.Room, s.front.At("", frontend.Memcache))
	} else if s.listener != nil {
		err = s.listener.Resume()
	}
	if err != nil {
		s.log.Error().Err(err).Str("listen", s.conf.Listen).Msg("clients cannot connect")
	}
	s.listen(s.operators)
	if s.before != nil {
		s.before.NotifyServing()
	}
	for addr, fd := range s.inherited { // nobody here listens there any more
		unix.Close(fd)
		delete(s.inherited, addr)
	}
	s.offerSockets()
}

// offerSockets waits for the process after this one.
func (s *Service) offerSockets() {
	if s.offer != nil || s.phase >= Leaving {
		return
	}
	path := hotrestart.Path(s.conf.Shared, s.conf.Listen, "sock")
	if path == "" {
		return
	}
	var err error
	if s.offer, err = hotrestart.Listen(path, heirs{s}, s.log); err != nil {
		s.log.Info().Err(err).Msg("no socket for the next process; it shares the address")
	}
}

// part lets go of other processes.
func (s *Service) part() {
	if s.offer != nil {
		s.offer.Close()
	}
	if s.before != nil {
		s.before.Close()
	}
}

// bounds is the configuration as it limits this process.
func (s *Service) bounds() config.Config {
	if s.beside > 0 {
		return s.conf.Half()
	}
	return s.conf
}

// alongside counts the processes of this router beside this one. Its limits are for all.
func (s *Service) alongside(more int) {
	s.beside += more
	s.limit()
}

// limit sets all bounds anew.
func (s *Service) limit() {
	c := s.bounds()
	confine(c)
	s.front.Limit(frontend.Limits{Connections: c.Clients, Spare: c.Spare, Arriving: c.Held})
	s.broker.SetLimits(broker.Limits{Requests: c.Open, BufferedBytes: c.Held, Connections: c.Clients})
	parts := 0.0
	for _, p := range s.operators.Pools {
		parts += p.Connections
		if pool := s.pools[p.Name]; pool != nil {
			pool.fleet.Limit(share(c.Caches, p.Connections))
		}
	}
	s.platform.fleet.Limit(share(c.Caches, 1-parts))
}

// heirs is what the process after this one asks, on goroutines of the handover.
type heirs struct{ s *Service }

// Sockets gives what clients connect to.
func (h heirs) Sockets() map[string]int {
	all := make(chan map[string]int, 1)
	h.s.loop.Post(func() {
		sockets := map[string]int{}
		if h.s.listener != nil && h.s.phase < Finishing {
			listeners := maps.Clone(h.s.listeners)
			listeners[h.s.conf.Listen] = h.s.listener
			for addr, l := range listeners {
				if fd, err := l.Descriptor(); err == nil {
					sockets[addr] = fd
				}
			}
		}
		all <- sockets
	})
	return <-all
}

// State tells the list as it was last told here.
func (h heirs) State() []byte {
	all := make(chan knowledge, 1)
	h.s.loop.Post(func() {
		p := h.s.platform
		k := knowledge{Discovery: h.s.conf.Discovery, List: savedList{Generation: max(p.told, h.s.conf.Known.Generation), Whole: true}}
		for _, e := range p.entries {
			k.List.Entries = append(k.List.Entries, saveEntry(e))
		}
		all <- k
	})
	text, err := json.Marshal(<-all)
	if err != nil {
		h.s.log.Error().Err(err).Msg("what is known cannot be handed over")
	}
	return text
}

// Started takes that another process starts beside this one.
func (h heirs) Started() { h.s.loop.Post(func() { h.s.alongside(1) }) }

// Serving takes that it takes clients: from here on it accepts alone.
func (h heirs) Serving() {
	h.s.loop.Post(func() {
		s := h.s
		s.heirs++
		s.log.Info().Msg("the next process takes clients; this one accepts no more")
		s.listener.Suspend()
		for _, l := range s.listeners {
			l.Suspend()
		}
		s.publish()
	})
}

// Ended takes its end. If it took clients and this process was not told to end, it takes them again.
func (h heirs) Ended(served bool) {
	h.s.loop.Post(func() {
		s := h.s
		if s.phase == Ended {
			return
		}
		if !served {
			s.alongside(-1)
			return
		}
		// It may be ending what it had taken, and has its part of the limits until then.
		s.loop.After(s.longest()+margin, func() { s.alongside(-1) })
		if s.heirs--; s.heirs > 0 || s.phase >= Leaving {
			return
		}
		s.log.Warn().Msg("the next process has ended; this one takes clients again")
		s.listener.Resume()
		for _, l := range s.listeners {
			l.Resume()
		}
		if s.offer != nil { // the path was the other's
			s.offer.Close()
			s.offer = nil
		}
		s.offerSockets()
		s.publish()
	})
}
