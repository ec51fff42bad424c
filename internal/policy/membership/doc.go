// Package membership decides which entries of an endpoint list are believed when lists disagree. A list service, or the
// agent of one, may lag behind what the router was told before: its list then names servers as ready that an earlier
// list has named as draining or has removed. Such a list must not undo the withdrawal of these servers. A service that
// has begun to number its generations anew looks the same at first, and must be believed once it had the time to catch
// up.
//
// Inputs are the withdrawals and the ready servers of each list, with its generation and the time; outputs are
// verdicts. The package does no I/O, and time is an argument, in seconds. A Tracker is not safe for concurrent use; a
// pool calls its own on the event loop's goroutine.
package membership
