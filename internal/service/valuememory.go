package service

import (
	"bendtrestle/internal/config"
	"bendtrestle/internal/eventloop"
	"bendtrestle/internal/policy/valuememory"
	"bendtrestle/internal/upstream"
)

// The parts of the process's memory, as divisors, for values. All pools and clients share each part. docs/sockets.md adds
// them up.
const (
	valueMemoryDivisor     = 4  // values that are held for clients or received from cache servers
	readAheadMemoryDivisor = 16 // long values that are read ahead of their clients
)

// valueMemory is the memory for values.
type valueMemory struct {
	values    *valuememory.Budget       // values of up to 64 KiB
	queue     *upstream.ValueQueue      // those of them that are received from cache servers
	readAhead *valuememory.Reservations // long values that are read ahead of their clients
	tiles     *valuememory.Reservations // incomplete tiles
}

func newValueMemory(loop *eventloop.Loop, conf config.Config) valueMemory {
	values := valuememory.NewBudget(valueLimits(conf))
	return valueMemory{
		values:    values,
		queue:     upstream.NewValueQueue(loop, values),
		readAhead: valuememory.NewReservations(conf.MemoryBytes / readAheadMemoryDivisor),
		tiles:     valuememory.NewReservations(conf.BufferedBytes),
	}
}

func (m valueMemory) setLimits(conf config.Config) {
	m.values.SetLimits(valueLimits(conf))
	m.readAhead.SetLimit(conf.MemoryBytes / readAheadMemoryDivisor)
	m.tiles.SetLimit(conf.BufferedBytes)
}

func valueLimits(conf config.Config) valuememory.Limits {
	return valuememory.Limits{
		PipelinedBytes: conf.BufferedBytes,
		TotalBytes:     conf.MemoryBytes / valueMemoryDivisor,
	}
}

// writeMemoryMetrics writes the memory that each kind of value uses, in bytes, and how often a limit took effect.
func (s *Service) writeMemoryMetrics(write func(name string, value uint64)) {
	values := s.memory.values
	write("memory.values_held", uint64(values.Held()))
	write("memory.values_expected", uint64(values.Promised()))
	write("memory.values_receiving", uint64(values.Receiving()))
	write("memory.writes_receiving", uint64(s.clients.frontend.WriteBytes()))
	write("memory.read_ahead", uint64(s.memory.readAhead.Used()))
	write("memory.tiles_receiving", uint64(s.memory.tiles.Used()))
	write("memory.clients_paused", values.Counts.Paused)
	write("memory.values_delayed", values.Counts.Delayed)
	write("memory.values_refused", values.Counts.Refused)
	write("memory.writes_refused", s.clients.frontend.RefusedWrites())
	write("memory.tiles_refused", s.memory.tiles.Refused())
}
