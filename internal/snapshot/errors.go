package snapshot

import (
	"errors"
	"fmt"
)

// Why a copy cannot be used.
var (
	ErrForeign   = errors.New("it is no store of this program")
	ErrOtherUser = errors.New("it is another user's, or no file")
)

// VersionError reports that a copy was written by a newer build, in a form that this one does not know.
type VersionError struct {
	Version uint16 // of the copy's form
	Newest  uint16 // that this build reads
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("it was written by a newer build, version %d; this build knows up to %d", e.Version, e.Newest)
}

// DamagedError reports that a copy is cut, changed or longer than any copy is.
type DamagedError struct {
	Reason error // nil: its length or its checksum is wrong
}

func (e *DamagedError) Error() string {
	if e.Reason == nil {
		return "it is damaged"
	}
	return "it is damaged: " + e.Reason.Error()
}

func (e *DamagedError) Unwrap() error { return e.Reason }

// OwnerError reports that a copy belongs to another router.
type OwnerError struct {
	Owner string // of the copy
	Want  string // this store's
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("it is another router's: of %q, this is %q", e.Owner, e.Want)
}

// CapacityError reports that an entry was not taken, because the store would be too large with it.
type CapacityError struct {
	Kind  string // of the entry
	Size  int    // bytes of the store with it
	Limit int    // bytes that a store may have
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("entry %q would make the store %d bytes long, the limit is %d", e.Kind, e.Size, e.Limit)
}
