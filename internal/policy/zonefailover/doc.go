// Package zonefailover decides which part of its keys each zone serves: all of them, none while the zone is
// evacuated, or a growing part while it recovers. No router decides that alone: each tells the others by gossip what
// it has seen of a zone, and all come to the same verdict from the same evidence.
//
// # Course of a zone
//
//	Serving -> Suspected -> Evacuated <-> Probing -> Recovering -> Serving
//
// A file each decides one part of it:
//
//   - Evidence (evidence.go): a router without an answer in a zone votes against it, one with a later answer votes
//     for it.
//   - Quorum (quorum.go): how many votes count, and whether this router is isolated, so that its own failures tell
//     nothing.
//   - Evacuation (evacuation.go): a zone with enough votes against it is evacuated, unless no other zone would serve
//     all keys. A router that knows less than its peers follows them.
//   - Probing (probing.go): after a hold time a few routers at a time send a small share there.
//   - Recovery (recovery.go): once probes are answered the share doubles step by step, is halved while
//     attempts are late, rejected or unanswered, and waits for the other zones of its region.
//   - Operators (operator.go): an override evacuates a zone at this router, whatever the evidence says.
//
// # Use
//
// A Controller is a state machine that is stepped: it does no I/O and reads no clock. Endpoint lists go in by
// OnEndpoints, attempts by OnAttemptStart and OnAttemptEnd, datagrams of other routers by OnMessage, time by Tick.
// Out come shares (Share), transitions for the log (TakeChanges), the next datagram to all other routers
// (NextMessage) and what operators see (Statuses).
//
// All times are float64 seconds of one clock of the caller, which never goes back; clocks of different routers are
// not compared, as messages carry ages. A Controller belongs to one goroutine, the event loop of its process, and is
// not safe for concurrent use.
package zonefailover
