// Package disabledservers stores the set of cache servers that operators have disabled. A second registry with its own
// file stores the zones that operators have evacuated. The entries, called ids here, are names of servers or zones as
// in the endpoint list. A set belongs to a router, not to a process: it is a file shared by all processes of the
// router, so that it stays in effect across a hot restart and after a crash.
//
// Each request of an operator is an Update call, from any goroutine. Each change is reported as the whole set, by the
// callback passed to Open. The registry's own goroutine reads the file every pollInterval and so finds what another
// process has written. A writer holds a lock file from its read to its rename, so that two processes never overwrite
// each other's changes.
//
// No caller waits for a hanging disk: Open returns within openTimeout, and Update within writeTimeout after its
// deadline. A typed error reports a change that could not be persisted. An entry to be disabled is then disabled in
// this process at least.
package disabledservers
