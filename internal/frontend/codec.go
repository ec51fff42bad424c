package frontend

import (
	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/ringbuffer"
)

// Codec implements the protocol of one connection. It calls its ClientConn with the commands that it reads, and formats
// the answers. It is called on the loop's goroutine.
type Codec interface {
	// Read passes the next command on, and reports whether it was complete. After an error the stream cannot be read
	// any further.
	Read(in *ringbuffer.Buffer) (complete bool, err error)
	// InCommand reports whether a command has begun and is not complete.
	InCommand() bool
	// ProtocolError returns the answer to a stream that cannot be read any further.
	ProtocolError(err error) []byte
	// CommandTimeout returns the answer to a command that did not become complete in time.
	CommandTimeout() []byte
	// Succeeded returns the answer with a server's result, in parts. If the result has a body stream, its bytes follow
	// the first part.
	Succeeded(request *requestcore.Request, result requestcore.Result) [][]byte
	// Rejected returns the answer to a request that was not executed; a retry is useful after retryAfter seconds.
	Rejected(request *requestcore.Request, retryAfter float64) []byte
	// Failed returns the answer to a request for which it is unknown whether it was executed.
	Failed(request *requestcore.Request) []byte
}

// Protocol returns the codec of a new connection.
type Protocol func(c *ClientConn) Codec
