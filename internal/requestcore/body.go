package requestcore

// BodyStream is a value that is still being received from a cache server. Its receiver must call StartReading or
// Discard, on the event loop's goroutine.
type BodyStream interface {
	Length() int // of the whole value, in bytes
	// SetOnBroken sets a function that is called, at most once and not from within this call, if it becomes known before
	// StartReading or Discard that the rest of the value cannot be received.
	SetOnBroken(call func())
	// Broken reports whether it is known that the rest of the value cannot be received.
	Broken() bool
	// StartReading passes the value to a sink from now on.
	StartReading(sink BodySink)
	// ResumeReading is called when the sink has room again, after OnPart accepted fewer bytes than it was given.
	ResumeReading()
	// Discard drops the rest of the value.
	Discard()
}

// BodySink receives a value from a BodyStream. Either OnComplete or OnAborted is called, once: from within StartReading
// if the value has ended by then, otherwise later, but never from within ResumeReading.
type BodySink interface {
	// OnPart accepts as many bytes as the sink has room for, and returns their number.
	OnPart(part []byte) int
	OnComplete()
	// OnAborted is called when the rest of the value cannot be received.
	OnAborted()
	// HasBegun reports whether a client may have received a part of the value.
	HasBegun() bool
}
