package discovery

import (
	"errors"
	"fmt"
)

var (
	// ErrOutdated is for the receiver of a list that is older than what it knows: the list is not taken, and the
	// complete list is polled for again soon.
	ErrOutdated = errors.New("the list is older than the one that is known")
	// ErrPollTimeout says that a poll had no answer in time.
	ErrPollTimeout = errors.New("no answer in time")
)

// StatusError says that the list service answered a poll with a status other than 200.
type StatusError struct {
	Status string // with its code
}

func (e *StatusError) Error() string { return "the list service answers " + e.Status }

// GenerationError says that a service sent changes older than those that were asked for: it lags, or counts anew.
type GenerationError struct {
	Got, Requested uint64
}

func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation %d is older than what was asked for, %d", e.Got, e.Requested)
}
