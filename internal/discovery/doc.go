// Package discovery watches the endpoint list of a list service: it polls for changes and parses the lists. Package
// pollschedule decides when to poll; the receivers of a list decide what follows from it.
//
// Watch runs on its caller's goroutine until its context ends, and makes its callbacks only on that goroutine. Each
// poll runs on a goroutine of its own, which ends with the poll, at the latest when the poll's lifetime or the context
// is over. One callback receives the lists, another the failures. No state is kept between two calls of Watch.
//
// Files: list.go the list, parse.go its format on the wire, watch.go the polling loop, poll.go one poll, errors.go the
// errors.
package discovery
