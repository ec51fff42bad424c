// Package pollschedule decides when a router polls a list service and which of its polls still count. A change of the
// endpoint list must reach the router in time, and the polls of many routers must not overload a shared service.
//
//   - Schedule (schedule.go) is the configuration: one for an agent on the router's own machine, one for a service
//     that answers all routers.
//   - Poller (poller.go) is a state machine driven by the events of polls: started, timed out, ended, failed, or
//     answered with a list. It returns when the next poll has to start and which polls to abandon.
//   - Backoff (backoff.go) computes the waits after failures.
//
// The package does no I/O and reads no clock. A Poller belongs to one goroutine, that of its watch (package
// discovery). Times are float64 seconds of the caller's clock.
package pollschedule
