package requestcore

// readAhead is a value that is read into memory before its client receives the first byte. It is the BodySink of the
// upstream's stream and the BodyStream of its client. Its memory is reserved until all that was read
// ahead has been passed on.
type readAhead struct {
	core     *Core
	source   BodyStream
	buffer   []byte // read ahead and not passed on
	sink     BodySink
	complete bool
	broken   bool
	onEnd    func() // called when the value is complete or broken before there is a sink
	reserved int    // bytes

	lastPartAt float64 // when the last bytes of it arrived, by the loop's clock; 0: none have
}

// newReadAhead reserves the memory for a value; nil: there is not enough.
func (c *Core) newReadAhead(source BodyStream) *readAhead {
	length := source.Length()
	if c.deps.ReadAhead == nil || !c.deps.ReadAhead.Reserve(length) {
		return nil
	}
	return &readAhead{core: c, source: source, reserved: length}
}

// release frees the reserved memory, once. It may be called on nil.
func (r *readAhead) release() {
	if r == nil {
		return
	}
	r.core.deps.ReadAhead.Release(r.reserved)
	r.reserved = 0
	r.buffer = nil
}

// start begins to read. onEnd is called, also from within start, when the value is complete or broken before
// StartReading.
func (r *readAhead) start(onEnd func()) {
	r.onEnd = onEnd
	r.buffer = make([]byte, 0, r.source.Length())
	r.source.StartReading(r)
}

// OnPart keeps the next bytes until there is a sink, and passes them on then.
func (r *readAhead) OnPart(part []byte) int {
	r.lastPartAt = r.core.deps.Clock.Now()
	if r.sink == nil {
		r.buffer = append(r.buffer, part...)
		return len(part)
	}
	r.passOn()
	if len(r.buffer) > 0 {
		return 0
	}
	return r.sink.OnPart(part)
}

// OnComplete is called when all of the value has been read.
func (r *readAhead) OnComplete() {
	r.complete = true
	if r.sink == nil {
		r.onEnd()
		return
	}
	r.endIfPassedOn()
}

// OnAborted is called when the rest of the value cannot be received.
func (r *readAhead) OnAborted() {
	r.broken = true
	r.release()
	if r.sink == nil {
		r.onEnd()
		return
	}
	r.sink.OnAborted()
}

// HasBegun reports whether the client may have received a part of the value.
func (r *readAhead) HasBegun() bool { return r.sink != nil }

// Length returns the length of the value in bytes.
func (r *readAhead) Length() int { return r.source.Length() }

// SetOnBroken does nothing: start has been given the function that is called.
func (r *readAhead) SetOnBroken(func()) {}

// Broken reports whether the rest of the value cannot be received.
func (r *readAhead) Broken() bool { return r.broken }

// StartReading passes the value to the client from now on.
func (r *readAhead) StartReading(sink BodySink) {
	r.sink = sink
	if r.broken {
		sink.OnAborted()
		return
	}
	r.passOn()
	r.endIfPassedOn()
}

// ResumeReading goes on with what was read ahead, and then with the upstream's stream.
func (r *readAhead) ResumeReading() {
	if r.sink == nil || r.broken {
		return
	}
	r.passOn()
	switch {
	case len(r.buffer) > 0:
	case r.complete:
		r.core.deps.Clock.After(0, r.endIfPassedOn)
	default:
		r.source.ResumeReading()
	}
}

// Discard drops the value.
func (r *readAhead) Discard() {
	r.sink = nil
	r.release()
	if !r.complete {
		r.complete = true
		r.source.Discard()
	}
}

// passOn passes on as much of what was read ahead as the sink has room for.
func (r *readAhead) passOn() {
	for len(r.buffer) > 0 {
		accepted := r.sink.OnPart(r.buffer)
		r.buffer = r.buffer[accepted:]
		if accepted == 0 {
			return
		}
	}
	r.release()
}

// endIfPassedOn notifies the sink, once, when all of a complete value has been passed on.
func (r *readAhead) endIfPassedOn() {
	if !r.complete || r.sink == nil || len(r.buffer) > 0 {
		return
	}
	sink := r.sink
	r.sink = nil
	sink.OnComplete()
}
