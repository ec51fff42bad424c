package frontend

import (
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Codec is the protocol of one connection. It calls its ClientConn with what it reads, and writes the answers. All of
// it is called on the loop's goroutine.
type Codec interface {
	// Read hands on the next command, and reports whether it was complete. After an error nothing more can be read.
	Read(in *ringbuffer.Buffer) (complete bool, err error)
	// InCommand reports whether a command has begun and is not complete.
	InCommand() bool
	// ProtocolError returns the answer to a stream that cannot be followed any more.
	ProtocolError(err error) []byte
	// CommandTimeout returns the answer to a client that does not finish a command.
	CommandTimeout() []byte
	// Succeeded returns the answer with a server's result, in parts. If the result has a body stream, its bytes follow
	// the first part.
	Succeeded(request *requestcore.Request, result requestcore.Result) [][]byte
	// Rejected returns the answer to a request that was not executed; a retry makes sense after so many seconds.
	Rejected(request *requestcore.Request, retryAfter float64) []byte
	// Failed returns the answer to a request of which it is unknown whether it was executed.
	Failed(request *requestcore.Request) []byte
}

// Protocol makes the codec of a new connection.
type Protocol func(c *ClientConn) Codec
