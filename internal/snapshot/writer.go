package snapshot

import (
	"time"

	"github.com/google/renameio/v2"
)

const (
	copies = 2 // written in turn, so that one is intact at any moment

	// writeInterval is the minimum time between two writes. A shorter interval wears the disk, and the entries are as
	// useful a second later.
	writeInterval = time.Second
	// pauseFactor is the minimum pause after a write, as a multiple of its duration. It keeps a slow disk idle for most
	// of the time.
	pauseFactor = 4
)

// writeCopies writes a copy whenever an entry was put, until Close, and then a last one.
func (s *Store) writeCopies() {
	defer close(s.written)
	failing := false
	for open := true; open; {
		select {
		case <-s.changed:
		case <-s.closing:
			open = false
		}
		began := time.Now()
		err := s.writeCopy()
		duration := time.Since(began)
		s.recordDuration(duration)
		s.logChange(err, failing)
		failing = err != nil
		if open {
			s.pause(duration)
		}
	}
}

func (s *Store) pause(writeDuration time.Duration) {
	select {
	case <-time.After(max(writeInterval, pauseFactor*writeDuration)):
	case <-s.closing:
	}
}

func (s *Store) recordDuration(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.SlowestWrite = max(s.stats.SlowestWrite, duration.Seconds())
}

// logChange logs the first of several consecutive failures, and the first success after them.
func (s *Store) logChange(err error, failing bool) {
	switch {
	case err != nil && !failing:
		s.log.Warn().Err(err).Msg("the snapshot cannot be written; the router continues without saving it")
	case err == nil && failing:
		s.log.Info().Msg("the snapshot is written again")
	}
}

// writeCopy replaces the older copy by the current content, unless that is already on disk.
func (s *Store) writeCopy() error {
	s.mu.Lock()
	number := s.content.Number
	if s.onDisk == number {
		s.mu.Unlock()
		return nil
	}
	data, err := encode(s.content)
	s.mu.Unlock()
	if err == nil {
		err = renameio.WriteFile(s.copyPath(int(number%copies)), data, 0o600)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stats.Failed++
		return err
	}
	s.onDisk = number
	s.stats.Written++
	return nil
}
