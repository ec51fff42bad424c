// Package quota decides whether a team's request is admitted. A quota is of load: seconds that attempts really take
// at servers, for each second of time. The package does no I/O and has no clock: times in seconds come in as
// arguments.
//
// # Token buckets
//
// Each team has a bucket that fills at its guaranteed rate up to its burst. A request is admitted while the bucket's
// balance is above 0, whatever other teams do; it is charged an estimate at once and what it really took at its end.
//
// # Borrowing
//
// What full buckets cannot take, and what the pool's capacity has beyond all guaranteed rates, is unused load. It is
// shared by weight among the teams that ask for more than their own and may borrow, and stops the moment its owner
// spends again.
//
// # Shares of the routers
//
// A quota is for all routers together. Each router has a share of it (Shares): routers that may talk broadcast their
// demand, and each has the share that its own demand has of the sum; those that may not have equal shares.
//
// # Use
//
// A Limiter is the buckets of one pool at one router. The broker calls all of it on the event loop:
//
//	verdict := limiter.Admit(now, team, class, estimate)  // when a request arrives
//	taken := limiter.ChargeableTime(reservation, seconds) // when one of its attempts ends
//	limiter.Settle(now, reservation, load)                // when nothing of the request is out any more
//	message := shares.Message(now)                        // each 0.5 s, to be broadcast
//	shares.OnMessage(now, message)                        // when one arrives
//
// # Where to look
//
//	quota.go     a team's quota, and the verdict on a request
//	limiter.go   the buckets of a pool: admission, settlement, changes of quotas
//	bucket.go    the token bucket of a team
//	unused.go    unused load: where it comes from, and how it is kept
//	borrow.go    which teams borrow of it, and how much
//	cost.go      what a request is charged: estimates, and waiting that is not charged
//	demand.go    the load that a team asks for
//	shares.go    this router's share of each quota
//	message.go   the bytes that routers broadcast
//	fillheap.go  the buckets by when they will be full
package quota
