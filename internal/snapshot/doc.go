// Package snapshot stores, in a folder, state that a router's next process may reuse: the endpoint list and a rate. It
// does not interpret its entries; package policy/startup has the rules of their use (binding, hint).
//
// A Store holds a few small entries in memory, each with a generation, and writes all of them to one of two copies in
// turn, so that one copy is intact at any moment. Open reads both copies and uses the newest intact one. A copy that
// cannot be used is renamed, and logged with a typed error that says why.
//
// No failure of a file or a disk prevents or delays a router's start: Open waits at most openTimeout for the disk, Get
// and Put never wait. The store's own goroutine writes copies, at most one in writeInterval, and fewer on a slow disk.
// A killed process loses what was put since the last copy, that is, in the last write interval. That is at least a
// second, and longer on a slow disk (pauseFactor times the duration of a write).
//
// Files:
//
//	store.go   Store: Open, Get, Put, Close, statistics
//	writer.go  the goroutine that writes copies
//	reader.go  the search for the newest intact copy
//	codec.go   the encoding of a copy
//	errors.go  typed errors
package snapshot
