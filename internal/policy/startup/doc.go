// Package startup tracks the phases of a router's process from its start to full service, and decides which records of
// the previous process may still be used.
//
// A Tracker (phase.go) is a state machine driven by its caller: endpoint lists and request counts go in with the time,
// phase changes come out. It does no I/O and reads no clock. It belongs to one goroutine, the event loop of its
// process. A table (records.go) lists what is kept for the next process, and for how long.
//
// All times are float64 seconds: those of a Tracker by the caller's clock, those of records by the machine's clock.
package startup
