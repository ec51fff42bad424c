// Package snapshot keeps what may outlive a process of a router, in a folder of its own: whole or not at all, the newest intact copy
// wins, and nothing that happens to a file or a disk keeps a router from starting or holds it up. It has no opinion on what its
// entries mean.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"
)

// Entry is one thing that is kept.
type Entry struct {
	Generation uint64  `cbor:"1,keyasint"` // of what it tells; decides what is newer, never a time
	StoredAt   float64 `cbor:"2,keyasint"` // Unix seconds, by this machine's clock, when it was put
	Source     string  `cbor:"3,keyasint"` // where it came from
	Body       []byte  `cbor:"4,keyasint"`
}

// content is a whole store, as a file has it.
type content struct {
	Owner   string           `cbor:"1,keyasint"` // the router it belongs to
	Number  uint64           `cbor:"2,keyasint"` // of the copy: the largest is the newest
	Entries map[string]Entry `cbor:"3,keyasint"`
}

const (
	magic   = "bts\x00"
	version = 1 // of the form; an older one that is no longer written is read by its own reader
	head    = len(magic) + 2 + 8 + 4
	largest = 1 << 20           // bytes of a file; entries beyond it are not kept
	resting = time.Second       // between two copies: a disk that is written to all the time wears, and a hint of a second ago is as good
	copies  = 2                 // written in turn: one is always whole
	aside   = ".cannot-be-used" // what is put behind the name of a file that cannot be used
)

var table = crc64.MakeTable(crc64.ECMA)

// Store is one router's.
type Store struct {
	base  string // empty: nothing is kept
	off   bool   // it could not be read: nothing is kept either
	owner string
	log   zerolog.Logger
	wake  chan struct{}
	ends  chan struct{}
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	now     content
	written uint64 // number of the last copy that is on disk
	Figures Stats
}

// Stats tell how the store fares.
type Stats struct {
	Written, Failed, Rejected uint64  // copies; entries that were too large
	SlowestWrite              float64 // seconds that a copy took
	SetAside                  int     // files that were put aside at the start
}

const patience = time.Second // for the copies to be read at the start; a disk that is slower has no part in it

// Open reads a router's store at a path, without its ending; an empty path keeps nothing. It never fails: what cannot be used is put
// aside by name and told in the log, and a disk that does not answer is not waited for.
func Open(base, owner string, log zerolog.Logger) *Store {
	s := &Store{base: base, owner: owner, log: log, wake: make(chan struct{}, 1), ends: make(chan struct{}), done: make(chan struct{}),
		now: content{Owner: owner, Entries: map[string]Entry{}}}
	if base == "" {
		close(s.done)
		return s
	}
	found := make(chan content, 1)
	go func() { found <- s.find() }()
	select {
	case s.now = <-found:
		s.written = s.now.Number
		go s.keep()
	case <-time.After(patience):
		log.Warn().Str("file", s.path(0)).Msg("the store cannot be read in time; the router goes on without it")
		s.off = true
		close(s.done)
	}
	return s
}

// find gives the newest copy that can be used.
func (s *Store) find() content {
	newest := s.now
	for n := range copies {
		c, err := read(s.path(n), s.owner)
		switch {
		case errors.Is(err, os.ErrNotExist):
		case err != nil:
			s.mu.Lock()
			s.Figures.SetAside++
			s.mu.Unlock()
			moved := os.Rename(s.path(n), s.path(n)+aside)
			s.log.Warn().Err(errors.Join(err, moved)).Str("file", s.path(n)).Msg("a copy of the store cannot be used and is put aside")
		case c.Number > newest.Number:
			newest = c
		}
	}
	return newest
}

func (s *Store) path(n int) string { return fmt.Sprintf("%s.store-%d", s.base, n) }

// Get gives an entry; false if there is none.
func (s *Store) Get(kind string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, there := s.now.Entries[kind]
	return e, there
}

// Put keeps an entry, on disk within about a second; one of a lower generation than what is there does not replace it. It never waits.
func (s *Store) Put(kind string, e Entry) {
	if s.base == "" || s.off {
		return
	}
	s.mu.Lock()
	if was, there := s.now.Entries[kind]; there && e.Generation < was.Generation {
		s.mu.Unlock()
		return
	}
	size := len(e.Body)
	for name, other := range s.now.Entries {
		if name != kind {
			size += len(other.Body) + len(name) + 64
		}
	}
	if size > largest/2 {
		s.Figures.Rejected++
		s.mu.Unlock()
		return
	}
	s.now.Entries[kind] = e
	s.now.Number++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes what is not on disk yet, and waits for that for a moment.
func (s *Store) Close(patience time.Duration) {
	s.once.Do(func() { close(s.ends) })
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

// Stats gives the figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Figures
}

// keep writes copies, one after another, off everybody's way.
func (s *Store) keep() {
	defer close(s.done)
	failing := false
	for open := true; open; {
		select {
		case <-s.wake:
		case <-s.ends:
			open = false
		}
		began := time.Now()
		err := s.write()
		took := time.Since(began)
		s.mu.Lock()
		s.Figures.SlowestWrite = max(s.Figures.SlowestWrite, took.Seconds())
		s.mu.Unlock()
		if err != nil && !failing {
			s.log.Warn().Err(err).Msg("the store cannot be written; the router goes on without")
		} else if err == nil && failing {
			s.log.Info().Msg("the store is written again")
		}
		failing = err != nil
		if open {
			select {
			case <-time.After(max(resting, 4*took)): // a disk that is slow is left alone for most of the time
			case <-s.ends:
			}
		}
	}
}

// write puts the present content on disk, in place of the older copy.
func (s *Store) write() error {
	s.mu.Lock()
	if s.written == s.now.Number {
		s.mu.Unlock()
		return nil
	}
	number := s.now.Number
	text, err := pack(s.now)
	s.mu.Unlock()
	if err == nil {
		err = renameio.WriteFile(s.path(int(number%copies)), text, 0o600)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Figures.Failed++
		return err
	}
	s.written = number
	s.Figures.Written++
	return nil
}

func pack(c content) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	text := binary.BigEndian.AppendUint16([]byte(magic), version)
	text = binary.BigEndian.AppendUint64(text, crc64.Checksum(body, table))
	text = binary.BigEndian.AppendUint32(text, uint32(len(body)))
	return append(text, body...), nil
}

// Why a copy cannot be used.
var (
	errForeign = errors.New("it is no store of this program")
	errNewer   = errors.New("it was written by a newer build")
	errDamaged = errors.New("it is damaged")
	errOther   = errors.New("it is another router's")
	errOwner   = errors.New("it is another user's, or no file")
)

func unpack(text []byte, owner string) (content, error) {
	if len(text) < head || string(text[:len(magic)]) != magic {
		return content{}, errForeign
	}
	rest := text[len(magic):]
	if v := binary.BigEndian.Uint16(rest); v > version {
		return content{}, fmt.Errorf("%w, version %d; this build knows up to %d", errNewer, v, version)
	}
	sum, size, body := binary.BigEndian.Uint64(rest[2:]), binary.BigEndian.Uint32(rest[10:]), rest[14:]
	if int(size) != len(body) || crc64.Checksum(body, table) != sum {
		return content{}, errDamaged
	}
	c := content{}
	if err := cbor.Unmarshal(body, &c); err != nil {
		return content{}, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if c.Owner != owner {
		return content{}, fmt.Errorf("%w: of %q, this is %q", errOther, c.Owner, owner)
	}
	if c.Entries == nil {
		c.Entries = map[string]Entry{}
	}
	return c, nil
}

func read(path, owner string) (content, error) {
	f, err := os.Open(path)
	if err != nil {
		return content{}, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return content{}, err
	} else if stat, known := info.Sys().(*syscall.Stat_t); !known || int(stat.Uid) != os.Getuid() || !info.Mode().IsRegular() {
		return content{}, errOwner // in a folder that others write to, too
	}
	var text bytes.Buffer
	if n, err := io.Copy(&text, io.LimitReader(f, largest+1)); err != nil {
		return content{}, err
	} else if n > largest {
		return content{}, fmt.Errorf("%w: over %d bytes", errDamaged, largest)
	}
	return unpack(text.Bytes(), owner)
}

// Path names a router's store in a folder; empty where there is none.
func Path(dir, listen string) string {
	if info, err := os.Stat(dir); dir == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(dir, fmt.Sprintf("bendtrestle-%08x", crc64.Checksum([]byte(listen), table)>>32))
}
