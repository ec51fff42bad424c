package disabledservers

import (
	"errors"
	"fmt"
)

// Errors of Update. The admin server's answer shows their texts to operators.
var (
	// ErrTooMany: the set is full, or the file exceeds the limit. Nothing was changed.
	ErrTooMany = fmt.Errorf("more than %d entries are disabled or would be; nothing was changed", maxDisabled)
	// ErrLocalOnly: the entry is disabled in this process, but could not be persisted. It is wrapped with the reason.
	ErrLocalOnly = errors.New("the change could not be saved; it applies to this process only, " +
		"until the process ends; repeat the call in a second")
	// ErrUnchanged: the entry stays disabled, because the change could not be persisted. It is wrapped with the reason.
	ErrUnchanged = errors.New("the change could not be saved; nothing was changed; repeat the call in a second")
	// ErrPending: the disk has not responded in time. The write continues and may still take effect.
	ErrPending = errors.New("the change is still being saved and may take effect later; repeat the call in a second")
	// ErrLockTimeout: another call of this process, or another process, held the lock until the deadline.
	ErrLockTimeout = errors.New("another change is being saved")
)
