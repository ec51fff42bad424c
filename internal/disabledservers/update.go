package disabledservers

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// writeTimeout is for the disk, beyond the wait for the lock: far above what a small file takes on a busy one.
const writeTimeout = 200 * time.Millisecond

// update is one call of Update.
type update struct {
	id       string
	disabled bool
	deadline time.Time // for the turn among the calls of this process, and for the lock
	done     bool      // persisted; guarded by Registry.mu
}

// Update disables an entry, or enables it again, in this process and in the file. It waits until the deadline for
// other calls and for the other process, and writeTimeout beyond it for the disk. On ErrTooMany and ErrUnchanged
// nothing was changed, on ErrLocalOnly the entry is disabled in this process only, and on ErrPending the change may
// still take effect. After any of them the call may be repeated.
func (r *Registry) Update(id string, disabled bool, deadline time.Time) error {
	if r.path == "" {
		return r.updateInMemory(id, disabled)
	}
	u := &update{id: id, disabled: disabled, deadline: deadline}
	result := make(chan error, 1)
	go func() { result <- r.persist(u) }() // a disk that hangs must not hold the caller
	timeout := time.NewTimer(time.Until(deadline) + writeTimeout)
	defer timeout.Stop()
	var err error
	select {
	case err = <-result:
	case <-timeout.C:
		err = ErrPending
	}
	if err == nil || errors.Is(err, ErrTooMany) {
		return err
	}
	return r.applyUnpersisted(u, err)
}

func (r *Registry) updateInMemory(id string, disabled bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids, err := updated(r.persisted, id, disabled)
	if err != nil {
		return err
	}
	r.persisted = ids
	r.onChange(r.all())
	return nil
}

// updated returns the set with an entry added or removed, and leaves ids as it is.
func updated(ids []string, id string, disabled bool) ([]string, error) {
	at := slices.Index(ids, id)
	present := at >= 0
	switch {
	case disabled && !present && len(ids) >= maxDisabled:
		return nil, ErrTooMany
	case disabled && !present:
		return append(slices.Clone(ids), id), nil
	case !disabled && present:
		return slices.Delete(slices.Clone(ids), at, at+1), nil
	}
	return ids, nil
}

// applyUnpersisted handles an update that could not be persisted, and returns what its caller gets. An entry that
// is to be disabled is so in this process at least. One that is to be enabled stays disabled, unless it was disabled
// in this process only: the other process, and one that starts later, would keep it disabled.
func (r *Registry) applyUnpersisted(u *update, reason error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.done { // between the timeout and here
		return nil
	}
	localOnly, err := updated(r.localOnly, u.id, u.disabled)
	if err != nil {
		return err
	}
	wasLocalOnly := len(localOnly) < len(r.localOnly) && !slices.Contains(r.persisted, u.id)
	applied := u.disabled || wasLocalOnly
	if applied {
		r.localOnly = localOnly
		r.onChange(r.all())
	}
	switch {
	case u.disabled:
		return fmt.Errorf("%w: %w", ErrLocalOnly, reason)
	case applied:
		return nil
	case errors.Is(reason, ErrPending):
		return ErrPending
	}
	return fmt.Errorf("%w: %w", ErrUnchanged, reason)
}

// persist reads, changes and replaces the file under a lock, or changes nothing. Without the lock, or from a file that
// cannot be read, it could undo what the other process has written.
func (r *Registry) persist(u *update) error {
	if !r.acquireWriter(u.deadline) {
		return ErrLockTimeout
	}
	defer func() { <-r.writer }()
	unlock, err := lockFiles(r.path, u.deadline)
	if err != nil {
		return err
	}
	defer unlock()
	text, ids, err := r.rewrite(u)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	u.done = true
	r.writes++
	r.text = text
	r.persisted = ids
	r.localOnly, _ = updated(r.localOnly, u.id, false) // removing never fails
	r.onChange(r.all())
	return nil
}

// rewrite applies an update to the file, and returns the file's text and set from then on. The caller holds the lock.
func (r *Registry) rewrite(u *update) (text []byte, ids []string, err error) {
	text, err = readFile(r.path)
	before := parse(text)
	missing := errors.Is(err, os.ErrNotExist)
	switch {
	case missing: // the known set stays
		r.mu.Lock()
		before = r.persisted
		r.mu.Unlock()
	case err != nil:
		return nil, nil, err
	case len(before) > maxDisabled || len(text) > maxFileSize: // edited by hand; entries beyond the bound must not be lost
		return nil, nil, ErrTooMany
	}
	ids, err = updated(before, u.id, u.disabled)
	if err != nil {
		return nil, nil, err
	}
	if !missing && len(ids) == len(before) {
		return text, ids, nil
	}
	text = format(ids)
	err = r.writeFile(text)
	if err != nil {
		return nil, nil, err
	}
	return text, ids, nil
}

// acquireWriter waits for the turn among the calls of this process; false: it has not come by the deadline.
func (r *Registry) acquireWriter(deadline time.Time) bool {
	select {
	case r.writer <- struct{}{}:
		return true
	default:
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case r.writer <- struct{}{}:
		return true
	case <-timeout.C:
		return false
	}
}
