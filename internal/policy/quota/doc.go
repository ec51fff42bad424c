// Package quota decides whether a team's request is admitted. A quota limits load: the seconds that attempts take at
// servers, per second of time. The package does no I/O and has no clock: times in seconds are passed as arguments.
//
// # Token buckets
//
// Each team has a token bucket that fills at its guaranteed rate up to its burst. A request is admitted while the
// bucket's balance is above 0, regardless of other teams. It is charged an estimate on admission, which is replaced by
// the measured load when it ends.
//
// # Borrowing
//
// Unused load is what full buckets cannot take, plus the pool's capacity beyond all guaranteed rates. It is divided by
// weight among the teams that demand more than their quota and may borrow. Lending stops as soon as the owner uses its
// quota again.
//
// # Shares of the routers
//
// A quota applies to all routers together, and each router has a share of it (Shares). Routers that can exchange
// messages broadcast their demand, and the share of each is its fraction of the total demand. Routers that cannot have
// equal shares.
//
// # Use
//
// A Limiter holds the buckets of one pool at one router. The broker calls all of it on the event loop:
//
//	verdict := limiter.Admit(now, team, class, estimate)  // when a request arrives
//	taken := limiter.ChargeableTime(reservation, seconds) // when one of its attempts ends
//	limiter.Settle(now, reservation, load)                // when no attempt of the request is in flight any more
//	message := shares.Message(now)                        // every 0.5 s, to be broadcast
//	shares.OnMessage(now, message)                        // when a message arrives
//
// # Where to look
//
//	quota.go     a team's quota, and the verdict on a request
//	limiter.go   the buckets of a pool: admission, settlement, changes of quotas
//	bucket.go    the token bucket of a team
//	unused.go    unused load: its sources, and how much of it is kept
//	borrow.go    which teams borrow unused load, and how much
//	cost.go      what a request is charged: estimates, and the limit on charged time
//	demand.go    the load that a team demands
//	shares.go    this router's share of each quota
//	message.go   the encoding of messages between routers
//	fillheap.go  a heap of the buckets by the time at which they will be full
package quota
