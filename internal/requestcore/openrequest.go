package requestcore

// openRequest is a request that has no answer or has attempts outstanding.
type openRequest struct {
	*Request
	core        *Core
	id          uint64
	client      Client  // nil once the request is answered or the client has disconnected
	deadline    float64 // by the loop's clock, in seconds
	attempts    []*attempt
	outstanding int // attempts that have not ended
}

// detachClient returns the client and removes it from the request, so that it is answered only once.
func (r *openRequest) detachClient() Client {
	client := r.client
	r.client = nil
	return client
}

// answer answers the client with the result of a successful attempt. If there was no memory for its value, the request
// is rejected where it may be repeated, because a read has no effect, and fails otherwise.
func (r *openRequest) answer(result Result) {
	counts := &r.core.Counts
	client := r.detachClient()
	switch {
	case !result.ValueRefused:
		counts.Succeeded++
		client.Succeeded(result)
		r.reportEnd(Succeeded, NoReason)
	case r.NotIdempotent:
		counts.Failed++
		client.Failed()
		r.reportEnd(Failed, NoReason)
	default:
		counts.Rejected++
		counts.Reasons[ReasonNoCapacity]++
		client.Rejected(0)
		r.reportEnd(Rejected, ReasonNoCapacity)
	}
}

// reportEnd notifies the usage observer of how the request ended.
func (r *openRequest) reportEnd(end RequestEnd, reason RejectReason) {
	if r.Usage != nil {
		r.Usage.Answered(end, reason)
	}
}

// removeIfDone removes a request that is answered and has no attempt outstanding. Once the request is answered nothing
// more is sent for it: an attempt that still waits for a connection is abandoned, even if the balancer is not allowed
// to cancel attempts.
func (r *openRequest) removeIfDone() {
	if r.client != nil {
		return
	}
	for _, a := range r.attempts {
		if a.pending != nil {
			a.pending.CancelIfUnsent()
		}
	}
	if r.outstanding > 0 || r.core.requests[r.id] != r {
		return
	}
	delete(r.core.requests, r.id)
	if r.Usage != nil {
		r.Usage.RequestDone()
	}
}
