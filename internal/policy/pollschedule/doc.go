// Package pollschedule decides when a router polls a list service, and which of its polls still count, so that a
// change of the endpoint list is known in time and many routers do not keep one service full.
//
//   - Schedule (schedule.go) is the configuration: one for an agent on the router's own machine, one for a service
//     that answers all routers.
//   - Poller (poller.go) is a state machine that is stepped by what becomes of polls: started, timed out, ended,
//     failed, or answered with a list. It tells when the next is to start and which are to be given up.
//   - Backoff (backoff.go) is the waits after failures.
//
// The package does no I/O and reads no clock. A Poller belongs to one goroutine, that of its watch (package
// discovery). Times are float64 seconds of the caller's clock.
package pollschedule
