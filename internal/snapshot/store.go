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

// openTimeout limits the time to read the copies at the start. A slower disk is not used at all.
const openTimeout = time.Second

// Store is the snapshot of one router. Its methods may be called from any goroutine.
type Store struct {
	base      string // common prefix of the copies' paths
	owner     string
	disabled  bool // there is no folder, or it could not be read in time: nothing is stored
	log       zerolog.Logger
	changed   chan struct{} // signals that an entry was put
	closing   chan struct{}
	written   chan struct{} // closed after the last write
	closeOnce sync.Once     // Close may be called repeatedly

	mu      sync.Mutex // never held during disk access
	content content
	onDisk  uint64 // number of the last copy written
	stats   Stats
}

// Stats holds statistics of a store.
type Stats struct {
	Written      uint64  // copies written
	Failed       uint64  // failed writes of copies
	Rejected     uint64  // entries rejected because the store was full
	SlowestWrite float64 // longest duration of a write in seconds
	SetAside     int     // copies that could not be used at the start
}

// Path returns the path of a router's store in a folder. The router is identified by the address that its clients
// connect to. Path returns "" if the folder doesn't exist.
func Path(folder, listen string) string {
	info, err := os.Stat(folder)
	if folder == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(folder, fmt.Sprintf("bendtrestle-%08x", crc64.Checksum([]byte(listen), checksumTable)>>32))
}

// Open reads a router's store at a path returned by Path; with an empty path nothing is stored. It never fails: a copy
// that cannot be used is renamed, and a disk that does not respond within openTimeout is not used.
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
		log.Warn().Str("file", s.copyPath(0)).Msg("the snapshot cannot be read in time; the router starts without it")
		s.disabled = true
		close(s.written)
	}
	return s
}

func (s *Store) copyPath(slot int) string { return fmt.Sprintf("%s.store-%d", s.base, slot) }

// Get returns the entry of a kind, and whether there is one.
func (s *Store) Get(kind string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.content.Entries[kind]
	return entry, found
}

// Put stores an entry and never waits for the disk; the entry is on disk after about a second. An entry of a lower
// generation than the current one is ignored, and so is any entry if the store is disabled; neither is an error. If the
// store would become too large, it stays unchanged and Put returns a CapacityError.
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
	current, found := s.content.Entries[kind]
	if found && entry.Generation < current.Generation {
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

// Close writes a last copy if necessary, and waits for it, but no longer than the timeout.
func (s *Store) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	select {
	case <-s.written:
	case <-time.After(timeout):
	}
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
