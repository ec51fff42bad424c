// Package discovery follows the list of cache servers that a list service tells: it reads lists, and polls for what
// has changed. When to poll is decided by package pollschedule, what a list means by its receivers.
//
// Watch runs on its caller's goroutine until its context ends, and calls back on that goroutine alone. Each poll has
// a goroutine of its own, which ends with the poll, at the latest when its lifetime or the context is over. Lists go
// out by the callback, failures by another; nothing is kept between two calls of Watch.
//
// Files: list.go the list, parse.go its form on the wire, watch.go the loop, poll.go one poll, errors.go what may go
// wrong.
package discovery
