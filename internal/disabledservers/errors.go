package disabledservers

import (
	"errors"
	"fmt"
)

// Errors of Update. Operators read their texts in the admin server's answer.
var (
	// ErrTooMany: the set is full, or the file holds more than the bound. Nothing was changed.
	ErrTooMany = fmt.Errorf("more than %d are out already, or would be; nothing was changed", maxDisabled)
	// ErrLocalOnly: the entry is disabled in this process and could not be persisted. It wraps the reason.
	ErrLocalOnly = errors.New("it holds at this process alone, and ends with it, " +
		"for it could not be written down; call again in a second")
	// ErrUnchanged: the entry could not be enabled, because that could not be persisted. It wraps the reason.
	ErrUnchanged = errors.New("nothing was changed, for it could not be written down; call again in a second")
	// ErrPending: the disk has not answered in time. The write goes on and may still take effect.
	ErrPending = errors.New("it is being written down, and may hold later; call again in a second")
	// ErrLockTimeout: another call of this process, or another process, held the lock until the deadline.
	ErrLockTimeout = errors.New("another call is being written")
)
