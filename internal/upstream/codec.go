package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Codec encodes and decodes the protocol of one connection to a server. The connection calls it on the event loop's
// goroutine. It passes the replies to its ReplyHandler, from within Decode and OnServerClose.
type Codec interface {
	// Encode returns the parts of the command for a request, which is to be answered within secondsLeft. A nil request is
	// a probe. The parts are written without a copy and must not be modified.
	Encode(request *requestcore.Request, secondsLeft float64) [][]byte
	// Decode consumes the next reply, or a part of it, from in. After an error nothing more can be decoded, and the
	// connection is closed.
	Decode(in *ringbuffer.Buffer) (complete bool, err error)
	// ReplyBegun reports whether a reply has begun and is not complete.
	ReplyBegun() bool
	// OnServerClose is called when the server has closed the connection, which may complete a reply. It is not called for
	// a reset.
	OnServerClose()
	// Release is called once, when the connection is closed. Nothing more is decoded, and buffered bytes are released.
	Release()
}

// ReplyHandler receives the replies that a codec decodes. It is implemented by the connection. Its methods whose names
// begin with On may close the connection, and then call the codec's Release.
type ReplyHandler interface {
	// PendingRequest returns the request whose reply is due, nil for a probe; due is false if no reply is due.
	PendingRequest() (request *requestcore.Request, due bool)
	// AnswerIsNext reports whether the reply that is due would be passed on to a client at once.
	AnswerIsNext() bool
	// AwaitMemory pauses reading, because there is no memory for the value that begins, and reports whether the connection
	// may wait. It calls Decode again when memory is available or the wait is over; then it reports false.
	AwaitMemory() bool
	// OnMemory is called when there may be memory for the value.
	OnMemory()
	// OnReply handles a complete reply. Unless reusable is true the connection is closed.
	OnReply(outcome balancer.Outcome, result requestcore.Result, reusable bool)
	// OnUnexpectedReply handles bytes that answer no pending request. The reply is logged and the connection is closed.
	OnUnexpectedReply(reply string)
	// OnBodyStart handles a successful reply whose body of length bytes follows in calls of OnBodyPart and OnBodyEnd.
	OnBodyStart(length int)
	// OnBodyPart handles the next bytes of a body and returns how many it accepted. The codec passes the rest again at the
	// next Decode.
	OnBodyPart(part []byte) int
	// OnBodyEnd is called when the body is complete.
	OnBodyEnd()
}
