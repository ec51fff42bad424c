// Package zonefailover decides which fraction of its keys each zone serves: all of them, none while the zone is
// evacuated, or a growing fraction while it recovers. No router decides alone: routers exchange their observations of
// each zone by gossip, and the same evidence leads to the same decision at every router.
//
// # States of a zone
//
//	Serving -> Suspected -> Evacuated <-> Probing -> Recovering -> Serving
//
// Each file implements one part of the decision:
//
//   - Evidence (evidence.go): a router whose attempts in a zone get no answer votes against the zone, a router with a
//     later answer votes for it.
//   - Quorum (quorum.go): how many votes are needed, and whether this router is isolated, so that its own failures are
//     no evidence.
//   - Evacuation (evacuation.go): a zone with enough votes against it is evacuated, unless no other zone would serve
//     all of its keys. A router with less evidence than its peers follows them.
//   - Probing (probing.go): after a hold time a few routers at a time send a small fraction of their attempts there.
//   - Recovery (recovery.go): once probes are answered the share doubles step by step. It is halved while attempts are
//     late, rejected or unanswered, and a recovery waits for the other zones of its region.
//   - Operators (operator.go): an override evacuates a zone at this router, regardless of the evidence.
//
// # Use
//
// A Controller is a state machine driven by its caller: it does no I/O and reads no clock. The inputs are endpoint
// lists (OnEndpoints), attempts (OnAttemptStart and OnAttemptEnd), datagrams of other routers (OnMessage) and the time
// (Tick). The outputs are shares (Share), transitions for the log (TakeChanges), the next datagram to all other routers
// (NextMessage) and the status for operators (Statuses).
//
// All times are float64 seconds of one clock of the caller, which never goes back. Clocks of different routers are
// not compared, because messages carry ages. A Controller belongs to one goroutine, the event loop of its process, and
// is not safe for concurrent use.
package zonefailover
