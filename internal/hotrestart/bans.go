// Package hotrestart is what one process of a router leaves to the next, in a folder that both can reach: the cache servers that
// operators took out, and the sockets that clients connect to.
package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	looking   = 100 * time.Millisecond // between two looks at the file: a small part of the grace of a drain
	mostBans  = 1024                   // far more than operators take out at once
	fileBound = mostBans * 257         // ids are 256 bytes at most
	patience  = time.Second            // for the file at the start, as for the store: a start must not hang on a disk
	trying    = 2 * time.Millisecond   // between two tries for the other process's lock: it writes for a millisecond or so
	writing   = 200 * time.Millisecond // for the disk, beyond the wait for the lock: far above what a small file takes on a busy one
)

// Why a call is not, or not wholly, carried out.
var (
	ErrTooMany   = fmt.Errorf("more than %d are out already, or would be; nothing was changed", mostBans)
	ErrLocalOnly = errors.New("it holds at this process alone, and ends with it, for it could not be written down; call again in a second")
	ErrUnchanged = errors.New("nothing was changed, for it could not be written down; call again in a second")
	ErrPending   = errors.New("it is being written down, and may hold later; call again in a second")

	ErrLockTimeout = errors.New("another call is being written")
)

// Registry is the set of cache servers that operators have taken out, shared by the processes of a router through a file.
type Registry struct {
	path    string // empty: kept in memory alone
	changed func(ids []string)
	log     zerolog.Logger
	ended   chan struct{}
	turn    chan struct{} // held by the one call that has files open
	mu      sync.Mutex    // never held while a lock or the disk is waited for
	text    []byte        // the file as last seen
	ids     []string      // what it says
	alone   []string      // out at this process, though it could not be written down
	written int           // calls that were
	opened  bool          // changes are told
}

// Path names a file for what belongs to a router, in a folder; empty where there is none.
func Path(dir, listen, ending string) string {
	if info, err := os.Stat(dir); dir == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(dir, fmt.Sprintf("bendtrestle-%08x.%s", crc32.ChecksumIEEE([]byte(listen)), ending))
}

// OpenBans reads the file, if there is one, and looks at it from then on. Changed is called with the whole set whenever it may
// have changed, never for two changes at once. A disk that does not answer within a second is not waited for: what the file says
// is told as soon as it does.
func OpenBans(path string, changed func(ids []string), log zerolog.Logger) (*Registry, []string) {
	b := &Registry{path: path, changed: changed, log: log, ended: make(chan struct{}), turn: make(chan struct{}, 1)}
	if path == "" {
		return b, nil
	}
	first := make(chan struct{})
	go func() {
		b.look()
		close(first)
		b.watch()
	}()
	select {
	case <-first:
	case <-time.After(patience):
		log.Error().Str("file", path).Msg("what is out by hand cannot be read in time; the router goes on, and heeds it once it can")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened = true
	return b, b.all()
}

// IDs gives what is out.
func (b *Registry) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all()
}

// Close ends the looking.
func (b *Registry) Close() { close(b.ended) }

func (b *Registry) watch() {
	for {
		select {
		case <-b.ended:
			return
		case <-time.After(looking):
		}
		b.look()
	}
}

// all gives what is out: what is written down, and what could not be.
func (b *Registry) all() []string {
	all := slices.Clone(b.ids)
	for _, id := range b.alone {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// look takes what the file says, if that is new. It is read each time: its number and its time may be those of the one before, which
// has gone. Where it is gone itself or cannot be read, what is known stays; so it does where a call was written meanwhile.
func (b *Registry) look() {
	b.mu.Lock()
	written := b.written
	b.mu.Unlock()
	text, err := b.read()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil && written == b.written && !bytes.Equal(text, b.text) {
		b.take(text)
		if b.opened {
			b.changed(b.all())
		}
	}
}

// take takes what the file says, as far as the bound allows.
func (b *Registry) take(text []byte) {
	b.text, b.ids = text, listed(text)
	if len(b.ids) > mostBans { // written by hand
		b.log.Warn().Int("most", mostBans).Msg("more is out by hand than is heeded; the rest of the file is passed over")
		b.ids = b.ids[:mostBans]
	}
}

// read gives the file, and no more of it than would be used; another user's is as none.
func (b *Registry) read() ([]byte, error) {
	f, err := os.Open(b.path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err == nil && !mine(info) {
		err = os.ErrNotExist
	}
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, fileBound+1))
}

func listed(text []byte) (ids []string) {
	for line := range strings.Lines(string(text)) {
		if id := strings.TrimSpace(line); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// mine tells whether a file is this user's: in a folder that others write to, too, theirs must not take servers out.
func mine(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}

// call is one call of Set.
type call struct {
	id    string
	out   bool
	until time.Time // for its turn and the lock
	kept  bool      // written down
}

// Update takes a server out or back, here and in the file. It waits until then for other calls and for the other process, and 0.2 s beyond
// for the disk. ErrMany and ErrKept tell that nothing was changed, ErrHere that a server is out here alone, ErrSlow that it may yet
// come; each may be called again.
func (b *Registry) Update(id string, out bool, until time.Time) error {
	if b.path == "" {
		b.mu.Lock()
		defer b.mu.Unlock()
		ids, err := with(b.ids, id, out)
		if err == nil {
			b.ids = ids
			b.changed(b.all())
		}
		return err
	}
	c, done := &call{id: id, out: out, until: until}, make(chan error, 1)
	go func() { done <- b.keep(c) }() // a disk that hangs must not hold its caller
	late := time.NewTimer(time.Until(until) + writing)
	defer late.Stop()
	var err error
	select {
	case err = <-done:
	case <-late.C:
		err = ErrPending
	}
	if err == nil || errors.Is(err, ErrTooMany) {
		return err
	}
	return b.unkept(c, err)
}

// with gives a set with one more out or back.
func with(ids []string, id string, out bool) ([]string, error) {
	at := slices.Index(ids, id)
	switch {
	case out && at < 0 && len(ids) >= mostBans:
		return nil, ErrTooMany
	case out && at < 0:
		return append(slices.Clone(ids), id), nil
	case !out && at >= 0:
		return slices.Delete(slices.Clone(ids), at, at+1), nil
	}
	return ids, nil
}

// unkept takes a call that could not be written down. What is to be out is so here at least. What is to be back stays out, unless it
// was out here alone: the other process would keep it out, and one that starts later, too.
func (b *Registry) unkept(c *call, why error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.kept { // just now
		return nil
	}
	alone, err := with(b.alone, c.id, c.out)
	if err != nil {
		return err
	}
	here := c.out || len(alone) < len(b.alone) && !slices.Contains(b.ids, c.id)
	if here {
		b.alone = alone
		b.changed(b.all())
	}
	switch {
	case c.out:
		return fmt.Errorf("%w: %w", ErrLocalOnly, why)
	case here:
		return nil
	case errors.Is(why, ErrPending):
		return ErrPending
	}
	return fmt.Errorf("%w: %w", ErrUnchanged, why)
}

// keep writes a call down: what the file says is read, changed and replaced under a lock, or not at all. Without the lock, or after a
// file that cannot be read, it would take back what the other process has written.
func (b *Registry) keep(c *call) error {
	if !b.begin(c.until) {
		return ErrLockTimeout
	}
	defer func() { <-b.turn }()
	unlock, err := b.lock(c.until)
	if err != nil {
		return err
	}
	defer unlock()
	text, err := b.read()
	before, gone := listed(text), errors.Is(err, os.ErrNotExist)
	switch {
	case gone: // what is known stays
		b.mu.Lock()
		before = b.ids
		b.mu.Unlock()
	case err != nil:
		return err
	case len(before) > mostBans || len(text) > fileBound: // written by hand; what is beyond the bound must not go unseen
		return ErrTooMany
	}
	ids, err := with(before, c.id, c.out)
	if err != nil {
		return err
	}
	if gone || len(ids) != len(before) {
		text = []byte(strings.Join(append(slices.Clip(ids), ""), "\n"))
		err = b.write(text)
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.kept = true
	b.written++
	b.text, b.ids = text, ids
	b.alone, _ = with(b.alone, c.id, false)
	b.changed(b.all())
	return nil
}

// begin waits for the turn among the calls at this process.
func (b *Registry) begin(until time.Time) bool {
	select {
	case b.turn <- struct{}{}:
		return true
	default:
	}
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case b.turn <- struct{}{}:
		return true
	case <-late.C:
		return false
	}
}

// lock keeps the other process from writing. Who waits for it holds the turn: one that writes call after call cannot have the lock
// again before.
func (b *Registry) lock(until time.Time) (unlock func(), err error) {
	turn, err := locked(b.path+".turn", until)
	if err != nil {
		return nil, err
	}
	defer turn.Close()
	lock, err := locked(b.path+".lock", until)
	if err != nil {
		return nil, err
	}
	return func() { lock.Close() }, nil
}

// locked opens a file and locks it; it is unlocked as it is closed.
func locked(path string, until time.Time) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		switch err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return f, nil
		case err != unix.EWOULDBLOCK && err != unix.EINTR:
		case time.Now().Before(until):
			time.Sleep(trying)
			continue
		default:
			err = ErrLockTimeout
		}
		f.Close()
		return nil, err
	}
}

// write replaces the file as a whole. It is on the disk before it has the name: a machine that stops must not leave an empty one.
func (b *Registry) write(text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(b.path), filepath.Base(b.path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // it has gone where all went well
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), b.path)
	}
	if err != nil {
		return err
	}
	if dir, err := os.Open(filepath.Dir(b.path)); err == nil { // the name, too; both processes have it whatever comes of this
		if err = errors.Join(dir.Sync(), dir.Close()); err != nil {
			b.log.Warn().Err(err).Msg("what is out by hand may not outlive this machine")
		}
	}
	return nil
}
