package valuememory

const (
	// initialExpectedBytes is the expected length of a value before the first one.
	initialExpectedBytes = 4 << 10
	// nextDivisor is the part of TotalBytes, as its divisor, that only values may use whose answers are next on their
	// connections. These are written at once, so that they, and the values held behind them, free memory again: values that
	// wait for memory cannot wait for one another.
	nextDivisor = 4
	// lengthSmoothing is the smoothing divisor of the expected length: one value moves it by 1/lengthSmoothing of the
	// difference.
	lengthSmoothing = 16
)

// Limits bound the memory of values, in bytes.
type Limits struct {
	// PipelinedBytes bounds the values that are held and those that are expected, for reads behind another command of
	// their connection.
	PipelinedBytes int
	// TotalBytes bounds the values that are held and those that are being received.
	TotalBytes int
}

// Counts counts how often a limit took effect, since the start.
type Counts struct {
	Paused  uint64 // connections that stopped reading commands
	Delayed uint64 // values that waited for memory before they were received
	Refused uint64 // values that were not received
}

// Budget counts the memory of values in bytes.
type Budget struct {
	Counts Counts

	limits    Limits
	promised  int     // expected values of reads that are open
	receiving int     // values that are being received from cache servers
	held      int     // values that are held for clients
	expected  float64 // mean length of recent values
	onFreed   func()  // called when memory is released
}

// NewBudget returns a budget with nothing in use.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, expected: initialExpectedBytes, onFreed: func() {}}
}

// OnFreed sets the function that is called each time memory is released. That is so, too, when an answer becomes the next
// on its connection: the end of the answer before it has been written.
func (b *Budget) OnFreed(call func()) { b.onFreed = call }

// SetLimits changes the limits. What is in use beyond them stays in use.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// Promised returns the bytes that are expected for the reads that are open.
func (b *Budget) Promised() int { return b.promised }

// Receiving returns the bytes of values that are being received from cache servers.
func (b *Budget) Receiving() int { return b.receiving }

// Held returns the bytes of values that are held for clients.
func (b *Budget) Held() int { return b.held }

// MayPipeline reports whether a connection that waits for an answer may submit one more command.
func (b *Budget) MayPipeline() bool {
	return b.promised+b.held+int(b.expected) <= b.limits.PipelinedBytes
}

// Promise counts the expected value of a read that is submitted, and returns its bytes for Withdraw.
func (b *Budget) Promise() (bytes int) {
	bytes = int(b.expected)
	b.promised += bytes
	return bytes
}

// Withdraw ends a promise: the read has ended.
func (b *Budget) Withdraw(bytes int) { b.promised -= bytes }

// AddHeld adds to the bytes that are held for clients; bytes may be negative.
func (b *Budget) AddHeld(bytes int) {
	b.held += bytes
	if bytes < 0 {
		b.onFreed()
	}
}

// Observe takes the length of a value into account for later promises.
func (b *Budget) Observe(length int) {
	b.expected += (float64(length) - b.expected) / lengthSmoothing
}

// Fits reports whether there is memory for a value that a cache server begins to send. isNext tells that its answer is the
// next on its client's connection.
func (b *Budget) Fits(bytes int, isNext bool) bool {
	limit := b.limits.TotalBytes
	if !isNext {
		limit -= limit / nextDivisor
	}
	return b.receiving+b.held+bytes <= limit
}

// MayFitLater reports whether there would be memory for a value if nothing else used any.
func (b *Budget) MayFitLater(bytes int) bool { return bytes <= b.limits.TotalBytes }

// Reserve counts a value that a cache server begins to send, if there is memory for it (Fits), and reports whether there
// is.
func (b *Budget) Reserve(bytes int, isNext bool) bool {
	if !b.Fits(bytes, isNext) {
		return false
	}
	b.receiving += bytes
	return true
}

// Release ends a reservation: the value is complete, or its connection has ended.
func (b *Budget) Release(bytes int) {
	b.receiving -= bytes
	if bytes > 0 {
		b.onFreed()
	}
}
