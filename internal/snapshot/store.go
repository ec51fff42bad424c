package snapshot

import (
	"fmt"
	"hash/crc64"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// openTimeout is for the copies to be read at the start. A disk that is slower is not used at all.
const openTimeout = time.Second

// Store is one router's. Its methods may be called from any goroutine.
type Store struct {
	base     string // of the copies' paths
	owner    string
	disabled bool // there is no folder, or it could not be read in time: nothing is kept
	log      zerolog.Logger
	changed  chan struct{} // something was put
	closing  chan struct{}
	written  chan struct{} // closed after the last copy
	once     sync.Once     // of Close

	mu      sync.Mutex // never held while the disk is waited for
	content content
	onDisk  uint64 // number of the last copy that was written
	stats   Stats
}

// Stats are figures of the store.
type Stats struct {
	Written      uint64  // copies
	Failed       uint64  // copies that could not be written
	Rejected     uint64  // entries that the store was too full for
	SlowestWrite float64 // seconds that a copy took
	SetAside     int     // copies that could not be used at the start
}

// Path names a router's store in a folder, by the address that its clients connect to; empty where there is no such
// folder.
func Path(folder, listen string) string {
	info, err := os.Stat(folder)
	if folder == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(folder, fmt.Sprintf("bendtrestle-%08x", crc64.Checksum([]byte(listen), checksumTable)>>32))
}

// Open reads the store of a router at a path, as Path gives it; with an empty path nothing is kept. It never fails: a
// copy that cannot be used is set aside, and a disk that does not answer within openTimeout is not used.
func Open(base, owner string, log zerolog.Logger) *Store {
	s := &Store{
		base:    base,
		owner:   owner,
		log:     log,
		changed: make(chan struct{}, 1),
		closing: make(chan struct{}),
		written: make(chan struct{}),
		content: content{Owner: owner, Entries: map[string]Entry{}},
	}
	if base == "" {
		s.disabled = true
		close(s.written)
		return s
	}
	found := make(chan content, 1)
	go func() { found <- s.newestCopy() }()
	select {
	case s.content = <-found:
		s.onDisk = s.content.Number
		go s.writeCopies()
	case <-time.After(openTimeout):
		log.Warn().Str("file", s.copyPath(0)).Msg("the snapshot cannot be read in time; the router goes on without it")
		s.disabled = true
		close(s.written)
	}
	return s
}

func (s *Store) copyPath(slot int) string { return fmt.Sprintf("%s.store-%d", s.base, slot) }

// Get returns the entry of a kind; false: there is none.
func (s *Store) Get(kind string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.content.Entries[kind]
	return entry, found
}

// Put keeps an entry, which is on disk within about a second. One of a lower generation than the present one's does
// not replace it, and with a store that keeps nothing Put does nothing; neither is an error. The error is a
// CapacityError: the store would be too large with the entry, and is as before. Put never waits for the disk.
func (s *Store) Put(kind string, entry Entry) error {
	if s.disabled {
		return nil
	}
	replaced, err := s.replace(kind, entry)
	if err != nil || !replaced {
		return err
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

func (s *Store) replace(kind string, entry Entry) (replaced bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, found := s.content.Entries[kind]
	if found && entry.Generation < present.Generation {
		return false, nil
	}
	size := s.content.sizeWith(kind, entry)
	if size > maxStoreSize {
		s.stats.Rejected++
		return false, &CapacityError{Kind: kind, Size: size, Limit: maxStoreSize}
	}
	s.content.Entries[kind] = entry
	s.content.Number++
	return true, nil
}

// Close writes what is not on disk yet, and waits for that, but not longer than the timeout.
func (s *Store) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.written:
	case <-time.After(timeout):
	}
}

// Stats returns the figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
