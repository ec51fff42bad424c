package upstream

import (
	"bendtrestle/balancer"
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Codec is the protocol of one connection to a server. The connection calls it on the event loop's goroutine; it
// calls its ReplyHandler, from within Decode and OnServerClose, with what it reads.
type Codec interface {
	// Encode gives the parts of a request's command, which is to be answered within secondsLeft. A nil request is a
	// probe. The parts are written as they are and must not change.
	Encode(request *requestcore.Request, secondsLeft float64) [][]byte
	// Decode takes the next reply, or a part of it, out of in. After an error the connection ends: nothing more can
	// be read.
	Decode(in *ringbuffer.Buffer) (complete bool, err error)
	// ReplyBegun tells that a reply has begun and is not complete.
	ReplyBegun() bool
	// OnServerClose is called when the server has closed the connection, which may end a reply; not for a reset.
	OnServerClose()
	// Release is called once, when the connection is closed: nothing more is read, and what is buffered is let go.
	Release()
}

// ReplyHandler is what a codec calls: the connection. Any of its methods but PendingRequest may close the connection,
// and Release is then called from within.
type ReplyHandler interface {
	// PendingRequest gives the request whose reply is due, nil for a probe; false if none is due.
	PendingRequest() (request *requestcore.Request, due bool)
	// OnReply takes a complete reply. Unless it is reusable the connection ends.
	OnReply(outcome balancer.Outcome, result requestcore.Result, reusable bool)
	// OnUnexpectedReply takes what was not asked for; the connection ends. The text goes to the log.
	OnUnexpectedReply(reply string)
	// OnBodyStart takes a successful reply whose body of length bytes follows by OnBodyPart and OnBodyEnd.
	OnBodyStart(length int)
	// OnBodyPart takes the next bytes of a body and returns how many; the rest is to be offered again at the next
	// Decode.
	OnBodyPart(part []byte) int
	// OnBodyEnd tells that the body is complete.
	OnBodyEnd()
}
