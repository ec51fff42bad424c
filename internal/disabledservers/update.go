package disabledservers

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// writeTimeout limits the time for the disk, after the wait for the lock. Writing a small file takes far less, even on
// a busy disk.
const writeTimeout = 200 * time.Millisecond

// update holds the state of one Update call.
type update struct {
	id       string
	disabled bool
	deadline time.Time // for the wait for other calls of this process and for the lock
	done     bool      // persisted; guarded by Registry.mu
}

// Update disables or enables an entry, in this process and in the file. It waits until the deadline for other calls and
// other processes, and up to writeTimeout longer for the disk. With ErrTooMany and ErrUnchanged nothing was changed,
// with ErrLocalOnly the entry is disabled in this process only, and with ErrPending the change may still take effect.
// After each of these errors the call may be repeated.
func (r *Registry) Update(id string, disabled bool, deadline time.Time) error {
	if r.path == "" {
		return r.updateInMemory(id, disabled)
	}
	u := &update{id: id, disabled: disabled, deadline: deadline}
	result := make(chan error, 1)
	go func() { result <- r.persist(u) }() // a hanging disk must not block the caller
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

// updated returns a set with an entry added or removed. It does not modify ids.
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

// applyUnpersisted handles an update that could not be persisted, and returns Update's result. An entry to be disabled
// is disabled in this process at least. An entry to be enabled stays disabled, because other and later processes would
// keep it disabled; it is enabled only if it was disabled in this process alone.
func (r *Registry) applyUnpersisted(u *update, reason error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.done { // persisted after the timeout
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

// persist reads, changes and replaces the file under a lock, or changes nothing. Without the lock, or if the file
// cannot be read, a write could revert what another process has written.
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
	r.localOnly, _ = updated(r.localOnly, u.id, false) // removing an entry never fails
	r.onChange(r.all())
	return nil
}

// rewrite applies an update to the file, and returns the file's new text and set. The caller holds the lock.
func (r *Registry) rewrite(u *update) (text []byte, ids []string, err error) {
	text, err = readFile(r.path)
	before := parse(text)
	missing := errors.Is(err, os.ErrNotExist)
	switch {
	case missing: // the update applies to the set as last read
		r.mu.Lock()
		before = r.persisted
		r.mu.Unlock()
	case err != nil:
		return nil, nil, err
	case len(before) > maxDisabled || len(text) > maxFileSize: // edited manually; no entry must be lost
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

// acquireWriter acquires r.writer and reports whether it succeeded before the deadline.
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
