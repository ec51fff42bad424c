package disabledservers

import (
	"errors"
	"fmt"
)

// Errors of Update. The admin server's answer shows their texts to operators.
var (
	// ErrTooMany: the set is full, or the file exceeds the limit. Nothing was changed.
	ErrTooMany = fmt.Errorf("more than %d are out already, or would be; nothing was changed", maxDisabled)
	// ErrLocalOnly: the entry is disabled in this process, but could not be persisted. It is wrapped with the reason.
	ErrLocalOnly = errors.New("it holds at this process alone, and ends with it, " +
		"for it could not be written down; call again in a second")
	// ErrUnchanged: the entry stays disabled, because the change could not be persisted. It is wrapped with the reason.
	ErrUnchanged = errors.New("nothing was changed, for it could not be written down; call again in a second")
	// ErrPending: the disk has not responded in time. The write continues and may still take effect.
	ErrPending = errors.New("it is being written down, and may hold later; call again in a second")
	// ErrLockTimeout: another call of this process, or another process, held the lock until the deadline.
	ErrLockTimeout = errors.New("another call is being written")
)
