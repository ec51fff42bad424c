package disabledservers

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	pollInterval = 100 * time.Millisecond // between two reads of the file; a small part of the drain grace period
	openTimeout  = time.Second            // for the first read; a start must not hang on a disk
	maxDisabled  = 1024                   // entries of the set; far more than operators disable at once
)

// Registry is the set of entries that operators have disabled: ids of cache servers, or names of zones. Its methods
// may be called from any goroutine.
type Registry struct {
	path     string // empty: the set is kept in memory only
	onChange func(ids []string)
	log      zerolog.Logger
	closed   chan struct{}
	writer   chan struct{} // held by the one call of this process that has the files open

	mu        sync.Mutex // never held while a lock or the disk is waited for
	text      []byte     // the file as last read or written
	persisted []string   // the entries of that text
	localOnly []string   // disabled in this process, and not persisted
	writes    int        // completed writes, by which a read that began before one is recognised as stale
	opened    bool       // changes are reported from now on
}

// Open reads the file at path, if there is one, and polls it from then on; an empty path keeps the set in memory only.
// It returns the registry and the present set.
//
// OnChange is called with the whole set whenever it may have changed, from the goroutine of the poll or of an Update,
// and never for two changes at once; it must not call back and must not block. A disk that does not answer within
// openTimeout is not waited for: the set then comes by onChange.
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
			Msg("the disabled servers or zones cannot be read in time; the router goes on, and applies them once it can")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = true
	return r, r.all()
}

// IDs returns the present set of servers' ids or zones' names, also what is disabled in this process only.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all()
}

// Close ends the poll. It does not wait for a read that is under way.
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

// poll reads the file and takes it in if it is new. The whole text is compared, because a file that replaces another
// can have its inode number and its times. If the file is gone or cannot be read, the known set stays; so it does if
// this process has written meanwhile, since the text read may be older than that.
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

// apply takes in the text of the file, up to the bound. The caller holds mu.
func (r *Registry) apply(text []byte) {
	r.text = text
	r.persisted = parse(text)
	if len(r.persisted) > maxDisabled { // edited by hand
		r.log.Warn().Int("most", maxDisabled).
			Msg("more is disabled by operators than is allowed; the rest of the file is ignored")
		r.persisted = r.persisted[:maxDisabled]
	}
}

// all returns what is persisted, and then what is not. The caller holds mu.
func (r *Registry) all() []string {
	all := slices.Clone(r.persisted)
	for _, id := range r.localOnly {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}
