package discovery

import (
	"errors"
	"fmt"
)

var (
	// ErrOutdated is returned by the receiver of a list that is older than the one it knows. The list is not used, and
	// the full list is polled for soon.
	ErrOutdated = errors.New("the list is older than the known list")
	// ErrPollTimeout means that a poll was not answered in time.
	ErrPollTimeout = errors.New("the list service did not answer in time")
)

// StatusError means that the list service answered a poll with a status other than 200.
type StatusError struct {
	Status string // code and text, as in "404 Not Found"
}

func (e *StatusError) Error() string { return "the list service answered " + e.Status }

// GenerationError means that a service sent changes older than the requested ones: it lags behind, or it has restarted
// its generations.
type GenerationError struct {
	Got, Requested uint64
}

func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation %d is older than the requested generation %d", e.Got, e.Requested)
}
