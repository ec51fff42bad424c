// Package bulkhead divides the slots of one kind (requests in flight, buffered bytes, connections) between teams, so
// that a surge of one team cannot use up the slots of another. Each team has reserved slots; the others are available
// to all. The package decides whether a slot may be acquired and counts slots in use; it does no I/O, has no clock and
// never blocks.
//
// The broker owns one Bulkhead for each kind of slot and calls it on the event loop. Repartition takes the teams'
// weights when their quotas change. CanAcquire, TryAcquire, ForceAcquire and Release are called for each request,
// connection or change of buffered bytes.
package bulkhead
