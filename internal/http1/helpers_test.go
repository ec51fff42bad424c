package http1

import (
	"bytes"
	"fmt"
	"strings"

	"bendtrestle/internal/ringbuffer"
)

// recorder is a RequestHandler and ResponseHandler that records its calls as text.
type recorder struct {
	strings.Builder
	bound int64
	body  bytes.Buffer
}

func (n *recorder) Begin(method, target string) { fmt.Fprintf(n, "%s %s", method, target) }
func (n *recorder) Header(name, value string)   { fmt.Fprintf(n, " [%s: %s]", name, value) }
func (n *recorder) Request(keep bool)           { fmt.Fprintf(n, " keep %t; ", keep) }
func (n *recorder) Status(code int)             { n.body.Reset(); fmt.Fprint(n, code) }
func (n *recorder) Length(x int64) error {
	if n.bound > 0 && x > n.bound {
		return badResponse("too large")
	}
	return nil
}
func (n *recorder) Body(part []byte) error { n.body.Write(part); return nil }
func (n *recorder) End(keep bool)          { fmt.Fprintf(n, " %q keep %t; ", n.body.String(), keep) }

type reader interface {
	read(in *ringbuffer.Buffer, n *recorder) (bool, error)
}

type requests struct{ RequestReader }

func (r *requests) read(in *ringbuffer.Buffer, n *recorder) (bool, error) { return r.Read(in, n) }

type responses struct{ ResponseReader }

func (r *responses) read(in *ringbuffer.Buffer, n *recorder) (bool, error) { return r.Read(in, n) }

// readInPieces feeds a stream in pieces to a reader and returns the recorded calls, followed by the error, if any. A
// fault is shown with its status.
func readInPieces(r reader, stream string, piece, ringSize int, n *recorder) string {
	in := ringbuffer.New(ringSize)
	for len(stream) > 0 {
		k := min(piece, len(stream), in.Room())
		in.Write([]byte(stream[:k]))
		stream = stream[k:]
		for in.Len() > 0 {
			complete, err := r.read(in, n)
			if err != nil {
				if f, isFault := err.(*Fault); isFault {
					return n.String() + fmt.Sprintf("%d %s", f.Status, f.Reason)
				}
				return n.String() + err.Error()
			}
			if !complete {
				break
			}
		}
	}
	return n.String()
}
