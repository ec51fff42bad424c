// Package fleetsize estimates the number of routers in the fleet from the messages received from other routers.
//
// An Estimator is a state machine driven by its caller: messages go in with their time, the fleet size comes out. It
// does no I/O and reads no clock. It belongs to one goroutine, the event loop of its process. Times are float64 seconds
// of the caller's clock.
package fleetsize
