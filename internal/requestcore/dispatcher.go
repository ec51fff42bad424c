package requestcore

// Dispatcher selects the Core for a request, by the listener at which it arrived and by the tenant and key that it
// carries. Front ends call it on the event loop's goroutine.
type Dispatcher interface {
	// Route returns the route for requests with these properties; nil: there is none.
	Route(listener, tenant, key string) Route
	// AdmitConnection reports whether a listener may accept another connection. If so, it reserves a slot for the
	// connection, which ReleaseConnection frees.
	AdmitConnection(listener string) bool
	ReleaseConnection(listener string)
}

// Route accepts the requests that a Dispatcher assigns to it.
type Route interface {
	// MaxDeadline returns the longest time, in seconds, for which clients wait for a request of a traffic class; known is
	// false if there is no such class.
	MaxDeadline(class string) (seconds float64, known bool)
	// HasCapacity reports whether one more request may be submitted. If not, it counts a rejected request.
	HasCapacity() bool
	// Submit submits a request. The core is nil if the client has been answered already; otherwise the caller passes
	// the id to the core's OnClientDisconnected when the client disconnects.
	Submit(request *Request, client Client) (core *Core, id uint64)
	// AddBufferedBytes adds n, which may be negative, to the number of bytes that are buffered in memory for its clients.
	AddBufferedBytes(n int)
}
