// Package bulkhead splits the slots of one kind (requests in flight, buffered bytes, connections) between teams, so
// that no team's surge takes another's last slot. Each team has reserved slots that wait for it; the rest is for
// whoever comes. It decides who may take a slot and counts those in use; it does no I/O, has no clock and never
// waits.
//
// The broker owns one Bulkhead for each kind of slot and calls it on the event loop. Repartition takes the teams'
// weights when their quotas change; CanAcquire, TryAcquire, ForceAcquire and Release are called for each request,
// connection or change of buffered bytes.
package bulkhead
