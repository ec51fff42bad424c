// Package simadapter hosts balancers for the simulator, over JSON lines on its standard streams. It has no logic of
// its own: each event line becomes one call of a balancer, and each call that the balancer makes on its host
// becomes a line of the reply.
//
// The simulator writes batches. A batch begins with CLOCK, which sets the time of all its events, and ends with
// YOUR_TURN, which is answered by OK. A SHEET is an endpoint list that later events refer to by its number. ENLIST
// starts a router, KILL ends it. Events for routers that do not exist are ignored, and so are unknown events
// and fields. A panic of a balancer is reported as FATAL for its router; a malformed line ends the session with
// an error.
//
// Only names.go maps the simulator's names to the balancer's terms. A session runs on one goroutine.
package simadapter
