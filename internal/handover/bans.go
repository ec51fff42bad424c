// Package handover is what one process of a router leaves to the next, in a folder that both can reach: the cache servers that
// operators took out, and the sockets that clients connect to.
package handover

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
	locking   = 200 * time.Millisecond // for the other process's lock; one that was stopped must not hold a call up
)

// ErrMany tells that too many cache servers are out.
var ErrMany = errors.New("too many cache servers are out already")

// Bans is the set of cache servers that operators have taken out, shared by the processes of a router through a file.
type Bans struct {
	path    string // empty: kept in memory alone
	changed func(ids []string)
	log     zerolog.Logger
	ended   chan struct{}
	mu      sync.Mutex
	ids     []string
	seen    os.FileInfo
}

// Path names a file for what belongs to a router, in a folder; empty where there is none.
func Path(dir, listen, ending string) string {
	if info, err := os.Stat(dir); dir == "" || err != nil || !info.IsDir() {
		return ""
	}
	return filepath.Join(dir, fmt.Sprintf("bendtrestle-%08x.%s", crc32.ChecksumIEEE([]byte(listen)), ending))
}

// OpenBans reads the file, if there is one, and looks at it from then on. Changed is called with the whole set whenever it may
// have changed, never for two changes at once.
func OpenBans(path string, changed func(ids []string), log zerolog.Logger) (*Bans, []string) {
	b := &Bans{path: path, changed: changed, log: log, ended: make(chan struct{})}
	if path != "" {
		b.look()
		go b.watch()
	}
	return b, slices.Clone(b.ids)
}

// IDs gives what is out, as it is written down.
func (b *Bans) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ids)
}

// Close ends the looking.
func (b *Bans) Close() { close(b.ended) }

func (b *Bans) watch() {
	for {
		select {
		case <-b.ended:
			return
		case <-time.After(looking):
		}
		b.mu.Lock()
		if b.look() {
			b.changed(slices.Clone(b.ids))
		}
		b.mu.Unlock()
	}
}

// look reads the file if it is another than the one last seen.
func (b *Bans) look() bool {
	info, err := os.Stat(b.path)
	if err != nil || b.seen != nil && os.SameFile(info, b.seen) && info.ModTime().Equal(b.seen.ModTime()) {
		return false // where it is gone, what is known stays
	}
	b.read()
	return true
}

func (b *Bans) read() {
	f, err := os.Open(b.path)
	if err != nil {
		return
	}
	defer f.Close()
	info, err := f.Stat()
	text, other := io.ReadAll(io.LimitReader(f, fileBound))
	if err != nil || other != nil || !mine(info) {
		return
	}
	b.seen, b.ids = info, nil
	for line := range strings.Lines(string(text)) {
		if id := strings.TrimSpace(line); id != "" && len(b.ids) < mostBans {
			b.ids = append(b.ids, id)
		}
	}
}

// mine tells whether a file is this user's: in a folder that others write to, too, theirs must not take servers out.
func mine(info os.FileInfo) bool {
	stat, known := info.Sys().(*syscall.Stat_t)
	return known && int(stat.Uid) == os.Getuid()
}

// Set takes a server out or back, here and in the file. An error other than ErrMany tells that it is so here alone.
func (b *Bans) Set(id string, out bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var err error
	if b.path != "" {
		unlock := b.lock()
		defer unlock()
		b.read() // what the other process wrote last
	}
	at := slices.Index(b.ids, id)
	switch {
	case out && at < 0 && len(b.ids) >= mostBans:
		return ErrMany
	case out && at < 0:
		b.ids = append(b.ids, id)
	case !out && at >= 0:
		b.ids = slices.Delete(b.ids, at, at+1)
	}
	if b.path != "" {
		err = b.write()
	}
	b.changed(slices.Clone(b.ids))
	return err
}

// lock keeps the other process from writing, if it lets go in time.
func (b *Bans) lock() (unlock func()) {
	f, err := os.OpenFile(b.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return func() {}
	}
	for until := time.Now().Add(locking); unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	return func() { f.Close() }
}

// write replaces the file as a whole.
func (b *Bans) write() error {
	f, err := os.CreateTemp(filepath.Dir(b.path), filepath.Base(b.path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // it has gone where all went well
	var text bytes.Buffer
	for _, id := range b.ids {
		text.WriteString(id + "\n")
	}
	_, err = f.Write(text.Bytes())
	info, other := f.Stat()
	if err = errors.Join(err, other, f.Close()); err == nil {
		err = os.Rename(f.Name(), b.path)
	}
	if err == nil {
		b.seen = info
	}
	return err
}
