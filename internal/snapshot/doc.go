// Package snapshot keeps, in a folder, what a router's next process may use of this one's knowledge: the list of
// servers, a rate. It has no opinion on what its entries mean; the rules of their use (binding, hint) are
// policy/startup's.
//
// A Store holds a few small entries, a generation each, in memory, and writes them all to one of two copies in turn,
// so that one copy is whole at any moment. Open reads both and takes the newest that is intact; a copy that cannot be
// used is renamed aside and logged with a typed error that says why.
//
// Nothing that happens to a file or a disk keeps a router from starting or holds it up: Open waits for the disk for
// openTimeout at most, Get and Put never do. Copies are written on a goroutine of the store's own, one in
// writeInterval at most, and less often on a slow disk. What was put since the last copy is lost in a kill: that of
// the last write interval, which is a second at least, and longer on a slow disk (restFactor times what a copy takes).
//
// Files:
//
//	store.go   Store: Open, Get, Put, Close, figures
//	writer.go  the goroutine that writes copies
//	reader.go  the search for the newest intact copy
//	codec.go   the bytes of a copy
//	errors.go  typed errors
package snapshot
