// Package balancer decides which server gets a request, whether a request is rejected, and whether it is
// retried.
//
// It is a state machine without I/O: events arrive as method calls, and actions go out through the Host before
// the method returns. It starts no goroutine, reads no clock, and draws random numbers from a seeded sequence, so
// equal calls lead to equal actions: a recorded run can be replayed, and the simulator and the real router run the
// same code. One goroutine makes all calls of a Balancer, the event loop of its pool. Every method takes the
// current time; times and durations are seconds, as float64, everywhere in this package.
//
//	b := balancer.New(now, settings, host)        // calls the host from now on
//	b.OnEndpoints(now, balancer.UpdateFull, list) // the servers
//	b.OnRequest(now, 1, "view", "tenant", "key", 2.0)
//	// ... host.StartAttempt(1, server, timeout, writeTimeout) was called, or host.Reject(1, retryAfter, reason)
//	b.OnAttemptEnd(now, 1, 0, balancer.Succeeded, 0.012, true)
//
// # Events and actions
//
// A request arrives with OnRequest. It ends with Host.Reject, with Host.Fail, with a final OnAttemptEnd, or with
// OnClientDisconnected. In between, each Host.StartAttempt is followed by one OnAttemptEnd, even after
// Host.CancelAttempt. OnStreamStart reports that the client has begun to receive an answer: no other attempt
// follows.
//
// The servers arrive with OnEndpoints; SetDisabled (an operator), SetZoneShare (a zone is failing or recovering)
// and SetFleetSize (routers in contact) change what may be sent to them. SetTrafficClasses replaces the
// classes of requests. OnGossip delivers what a peer's Host.Gossip sent. OnTimer ends a Host.SetTimer.
//
// OnRequest in balancer.go handles a new request, OnAttemptEnd in attempts.go the end of an attempt, OnReplyStalled in
// hedging.go a reply that has begun and does not go on. WouldRetry in hedging.go tells the host whether ending such an
// attempt would lead to another one; OnReplyDelayed in attempts.go excuses a server whose reply the host leaves unread.
//
// # Where each decision is made
//
//	question                                  file and function
//	--------                                  -----------------
//	why was this request rejected?            admission.go: admitRequest
//	  after an attempt                        retries.go: admitRetry
//	  by load (ReasonOverloaded)              admission.go: shedsForLatency, shedsForFailures
//	  no server (ReasonNoEndpoint)            placement.go: pick; rules.go: mayAttempt
//	  no time, no budget (ReasonNoTime)       retries.go: admitRetry
//	why did it fail?                          rules.go: clientRetryIsHarmless; admission.go: reject
//	why was it attempted under overload?      admission.go: trialAttemptIsDue
//	why did it go to this server?             placement.go: pick, nearestServer; ring.go: nearestNodes
//	  and not to the nearest one?             placement.go: answersForKey; overload.go: overloaded
//	  one of several for a hot key?           hotkeys.go: replicasFor; placement.go: pickReplica
//	  the origin?                             retries.go: pickForRetry; origin.go: pickOrigin
//	why was it not retried?                   rules.go: mayContinue; retries.go: admitRetry
//	where are retries limited?                retries.go: retryIsFree, admitRetry; retrybudget.go
//	                                          rules.go: mayContinue
//	why are there two attempts at a time?     hedging.go: OnReplyStalled
//	why did the attempt time out so early?    attempts.go: attemptTimeout, writeTimeout
//	why is this server ejected?               outlier.go: ejected, countFailure, ejectByReport
//	why is it not ejected for its errors?     outlier.go: errorIsDueToRequest
//	why does a warming server get nothing?    slowstart.go: hasSlowStartBudget; placement.go: answersForKey
//	why does a slow server get fewer keys?    latency.go: observeSlowness; loadreport.go: rebalanceKeyShares
//	what happens when a zone is evacuated?    zoneshare.go: SetZoneShare, serves
//	what does a disabled server still get?    endpoints.go: SetDisabled; rules.go: mayAttempt
//	what happens beyond a tenant's quota?     tenants.go: chargeTenant; admission.go: shedsForLatency
//	what do peers report, when is it used?    gossip.go: reportAttempt, OnGossip; loadreport.go: fewSamples
//	why is the list polled for again?         endpointpolling.go: retryPolling, OnTimer
//
// # The mechanism
//
// A key and a server's virtual nodes are each a slot in a table of circular hypervectors (hypervector.go), and
// a key goes to the virtual node with the least Hamming distance (ring.go), the same one at every router. This is
// Hyperdimensional Hashing; docs/design.md lists the deviations from it, and the reasons for them.
package balancer
