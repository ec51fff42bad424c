package requestcore

// BodyStream is a value that is still coming from a cache server. Whoever gets one calls StartReading or Discard, on
// the loop's goroutine.
type BodyStream interface {
	Length() int // bytes of the whole value
	// StartReading passes the value on to a sink from now on.
	StartReading(sink BodySink)
	// ResumeReading is called when the sink has room again, after it took less than it was given.
	ResumeReading()
	// Discard gives the rest up.
	Discard()
}

// BodySink takes a value from a BodyStream. OnComplete or OnBroken is called once: from StartReading if the value had
// ended by then, else later, but never from within ResumeReading.
type BodySink interface {
	// OnPart takes as much as there is room for, and returns how many bytes that is.
	OnPart(part []byte) int
	OnComplete()
	// OnBroken: the rest will not come.
	OnBroken()
}
