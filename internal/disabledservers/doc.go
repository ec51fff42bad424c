// Package disabledservers keeps the set of cache servers that operators have disabled or, in a registry and a file of
// its own, of the zones that they have evacuated. The entries, called ids here, are names of servers or of zones, as
// the endpoint list has them. A set belongs to a router, not to a process: it is a file that all processes of the
// router share, so that it holds across a hot restart and after a crash.
//
// In go Update calls, one an operator's request, from any goroutine. Out come whole sets, by the callback that Open
// takes. The registry reads the file every pollInterval on a goroutine of its own, and learns in this way what another
// process has written. A writer holds a lock file from its read to its rename, so that two processes never undo one
// another's changes.
//
// No caller waits for a hung disk: Open returns within openTimeout, and Update within writeTimeout after its deadline.
// What could not be persisted is reported by a typed error; an entry that is to be disabled is then disabled in this
// process at least.
package disabledservers
