package disabledservers

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	pollInterval = 100 * time.Millisecond // between two reads of the file; short compared with the drain grace period
	openTimeout  = time.Second            // for the first read; a hanging disk must not block a start
	maxDisabled  = 1024                   // entries of the set; far more than operators disable at the same time
)

// Registry is the set of entries that operators have disabled: ids of cache servers, or names of zones. Its methods
// may be called from any goroutine.
type Registry struct {
	path     string // empty: the set is kept in memory only
	onChange func(ids []string)
	log      zerolog.Logger
	closed   chan struct{}
	writer   chan struct{} // semaphore: held by the one call of this process that may write

	mu        sync.Mutex // never held while waiting for a lock file or the disk
	text      []byte     // the file's content as last read or written
	persisted []string   // entries of text
	localOnly []string   // entries disabled in this process and not persisted
	writes    int        // number of completed writes; detects a read that began before a write as stale
	opened    bool       // Open has returned the first set, so changes are reported by onChange
}

// Open reads the file at path, if it exists, and polls it from then on. With an empty path the set is kept in memory
// only. Open returns the registry and the current set.
//
// onChange is called with the whole set whenever the set may have changed, from the goroutine of the poll or of an
// Update, and never concurrently. It must not call the registry and must not block. Open waits at most openTimeout for
// the disk; after that, onChange reports the set once it could be read.
func Open(path string, onChange func(ids []string), log zerolog.Logger) (*Registry, []string) {
	r := &Registry{
		path:     path,
		onChange: onChange,
		log:      log,
		closed:   make(chan struct{}),
		writer:   make(chan struct{}, 1),
	}
	if path == "" {
		return r, nil
	}
	firstRead := make(chan struct{})
	go func() {
		r.poll()
		close(firstRead)
		r.pollUntilClosed()
	}()
	select {
	case <-firstRead:
	case <-time.After(openTimeout):
		log.Error().Str("file", path).
			Msg("the file of disabled servers or zones cannot be read in time; " +
				"the router continues without it and applies it when it is read")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = true
	return r, r.all()
}

// IDs returns the current set, including the entries that are disabled in this process only.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all()
}

// Close stops the polling of the file. It does not wait for a read in progress.
func (r *Registry) Close() { close(r.closed) }

func (r *Registry) pollUntilClosed() {
	for {
		select {
		case <-r.closed:
			return
		case <-time.After(pollInterval):
		}
		r.poll()
	}
}

// poll reads the file and applies it if it has changed. It compares the whole text, because a file that replaces
// another can have the same inode number and times. If the file is missing or cannot be read, the set stays as it is.
// It also stays if this process has written during the read, because the text read may be older than that write.
func (r *Registry) poll() {
	r.mu.Lock()
	writesBefore := r.writes
	r.mu.Unlock()
	text, err := readFile(r.path)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes != writesBefore || bytes.Equal(text, r.text) {
		return
	}
	r.apply(text)
	if r.opened {
		r.onChange(r.all())
	}
}

// apply sets the persisted entries to those of the text, up to maxDisabled. The caller holds mu.
func (r *Registry) apply(text []byte) {
	r.text = text
	r.persisted = parse(text)
	if len(r.persisted) > maxDisabled { // the file was edited manually
		r.log.Warn().Int("most", maxDisabled).
			Msg("the file of disabled servers or zones has too many entries; those beyond the limit are ignored")
		r.persisted = r.persisted[:maxDisabled]
	}
}

// all returns the persisted entries, followed by those disabled in this process only. The caller holds mu.
func (r *Registry) all() []string {
	all := slices.Clone(r.persisted)
	for _, id := range r.localOnly {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}
