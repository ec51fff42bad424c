package requestcore

// openRequest is a request that is not answered, or that has attempts outstanding.
type openRequest struct {
	*Request
	core        *Core
	id          uint64
	client      Client // nil once it is answered or the client has disconnected
	attempts    []*attempt
	outstanding int // attempts that have not ended
}

// detachClient returns the client, which is answered once: from now on the request has none.
func (r *openRequest) detachClient() Client {
	client := r.client
	r.client = nil
	return client
}

// reportEnd notifies the usage observer of how the request ended.
func (r *openRequest) reportEnd(end RequestEnd, why RejectReason) {
	if r.Usage != nil {
		r.Usage.Answered(end, why)
	}
}

// removeIfDone drops a request that is answered and has no attempt outstanding. Once it is answered nothing more is
// sent for it: an attempt that still waits for its connection is given up, also where the balancer may not cancel
// attempts.
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
