// Package fleetsize estimates how many routers there are, by those that are heard.
//
// An Estimator is stepped: what is heard goes in with its time, the number comes out. It does no I/O and reads no
// clock; it belongs to one goroutine, the event loop of its process. Times are float64 seconds of the caller's clock.
package fleetsize
