package requestcore

// Dispatcher decides which Core takes a request, by the listener where it came in and by what its client says. Front
// ends call it on the loop's goroutine.
type Dispatcher interface {
	// Route returns who takes requests of this kind; nil: nobody does.
	Route(listener, tenant, key string) Route
	// AdmitConnection reports whether another connection may come in at a listener, and reserves a place for it, which
	// ReleaseConnection gives back.
	AdmitConnection(listener string) bool
	ReleaseConnection(listener string)
}

// Route takes the requests of one kind.
type Route interface {
	// MaxDeadline returns the seconds that clients wait at most for a request of a class; false: the class is unknown.
	MaxDeadline(class string) (seconds float64, known bool)
	// HasCapacity reports whether one more request may be submitted. If not, a rejected request is counted.
	HasCapacity() bool
	// Submit takes a request. The core is nil if the client has its answer already; otherwise OnClientGone of the core is
	// told by this id that the client has disconnected.
	Submit(request *Request, client Client) (core *Core, id uint64)
	// AddHeldBytes notes that so many bytes more, or less, are held in memory for its clients.
	AddHeldBytes(n int)
}
