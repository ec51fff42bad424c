package snapshot

import (
	"errors"
	"fmt"
)

// Reasons why a copy cannot be used.
var (
	ErrForeign   = errors.New("the file is not a snapshot of this program")
	ErrOtherUser = errors.New("the file belongs to another user or is not a regular file")
)

// VersionError reports that a newer build wrote a copy in a format that this build cannot read.
type VersionError struct {
	Version uint16 // format version of the copy
	Newest  uint16 // newest format version that this build reads
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("the snapshot has format version %d of a newer build; this build reads versions up to %d",
		e.Version, e.Newest)
}

// DamagedError reports that a copy is truncated, corrupted or longer than any valid copy.
type DamagedError struct {
	Reason error // nil: the length or checksum is wrong
}

func (e *DamagedError) Error() string {
	if e.Reason == nil {
		return "the snapshot is damaged: wrong length or checksum"
	}
	return "the snapshot is damaged: " + e.Reason.Error()
}

func (e *DamagedError) Unwrap() error { return e.Reason }

// OwnerError reports that a copy belongs to another router.
type OwnerError struct {
	Owner string // owner of the copy
	Want  string // owner of this store
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("the snapshot belongs to router %q; this is router %q", e.Owner, e.Want)
}

// CapacityError reports that an entry was rejected because the store would exceed its size limit.
type CapacityError struct {
	Kind  string // kind of the entry
	Size  int    // size of the store with the entry in bytes
	Limit int    // maximum size of a store in bytes
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("entry %q would make the snapshot %d bytes long; the limit is %d bytes", e.Kind, e.Size, e.Limit)
}
