package requestcore

// Desk tells who takes an operation, by where it came in and what its client says.
type Desk interface {
	Route(listener, tenant, key string) Route // nil: nobody does
	// Door tells whether another connection may come in at a listener, and takes a place for it.
	Door(listener string) bool
	Gone(listener string) // gives the place back
}

// Route takes operations of one sort.
type Route interface {
	HardStop(kind string) (most float64, known bool) // how long clients wait at most for this traffic type
	Room() bool                                      // there is a place for another; a refusal is counted
	Take(op *Request, client Client) (core *Core, id uint64)
	Hold(n int) // so many bytes more, or less, are held for its clients
}
