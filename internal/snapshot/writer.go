package snapshot

import (
	"time"

	"github.com/google/renameio/v2"
)

const (
	copies = 2 // written in turn: one is whole at any moment

	// writeInterval is between two copies. A shorter one wears the disk, and what is kept is as good a second later.
	writeInterval = time.Second
	// pauseFactor times as long as a copy took, no other one is begun: a slow disk is left alone for most of the time.
	pauseFactor = 4
)

// writeCopies writes a copy whenever something was put, until Close, and then a last one.
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
		took := time.Since(began)
		s.noteDuration(took)
		s.logChange(err, failing)
		failing = err != nil
		if open {
			s.pause(took)
		}
	}
}

func (s *Store) pause(took time.Duration) {
	select {
	case <-time.After(max(writeInterval, pauseFactor*took)):
	case <-s.closing:
	}
}

func (s *Store) noteDuration(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.SlowestWrite = max(s.stats.SlowestWrite, took.Seconds())
}

// logChange logs the first of several failures in a row, and the end of them.
func (s *Store) logChange(err error, failing bool) {
	switch {
	case err != nil && !failing:
		s.log.Warn().Err(err).Msg("the snapshot cannot be written; the router goes on without")
	case err == nil && failing:
		s.log.Info().Msg("the snapshot is written again")
	}
}

// writeCopy replaces the older copy by the present content, unless that is on disk already.
func (s *Store) writeCopy() error {
	s.mu.Lock()
	number := s.content.Number
	if s.onDisk == number {
		s.mu.Unlock()
		return nil
	}
	text, err := encode(s.content)
	s.mu.Unlock()
	if err == nil {
		err = renameio.WriteFile(s.copyPath(int(number%copies)), text, 0o600)
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
