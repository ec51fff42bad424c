// Package startup decides how far a router has come since its process started, and which records of the process
// before may still be used.
//
// A Tracker is a state machine that is stepped (phase.go): endpoint lists and request counts go in with the time,
// phase changes come out. It does no I/O and reads no clock; it belongs to one goroutine, the event loop of its
// process. What is kept from one process to the next, and for how long, is a table (records.go).
//
// All times are float64 seconds: those of a Tracker by the caller's clock, those of records by the machine's.
package startup
