package http1

import (
	"bytes"
	"fmt"
	"strings"

	"bendtrestle/internal/ringbuffer"
)

// notes writes down what a reader tells.
type notes struct {
	strings.Builder
	bound int64
	body  bytes.Buffer
}

func (n *notes) Begin(method, target string) { fmt.Fprintf(n, "%s %s", method, target) }
func (n *notes) Header(name, value string)   { fmt.Fprintf(n, " [%s: %s]", name, value) }
func (n *notes) Request(keep bool)           { fmt.Fprintf(n, " keep %t; ", keep) }
func (n *notes) Status(code int)             { n.body.Reset(); fmt.Fprint(n, code) }
func (n *notes) Length(x int64) error {
	if n.bound > 0 && x > n.bound {
		return badResponse("too large")
	}
	return nil
}
func (n *notes) Body(part []byte) error { n.body.Write(part); return nil }
func (n *notes) End(keep bool)          { fmt.Fprintf(n, " %q keep %t; ", n.body.String(), keep) }

type reader interface {
	read(in *ringbuffer.Buffer, n *notes) (bool, error)
}

type requests struct{ RequestReader }

func (r *requests) read(in *ringbuffer.Buffer, n *notes) (bool, error) { return r.Read(in, n) }

type responses struct{ ResponseReader }

func (r *responses) read(in *ringbuffer.Buffer, n *notes) (bool, error) { return r.Read(in, n) }

// told gives what a reader says of a stream that comes in pieces; a fault is told with its status.
func told(r reader, stream string, piece, ringSize int, n *notes) string {
	in := ringbuffer.New(ringSize)
	for len(stream) > 0 {
		k := min(piece, len(stream), in.Room())
		in.Write([]byte(stream[:k]))
		stream = stream[k:]
		for in.Len() > 0 {
			whole, err := r.read(in, n)
			if err != nil {
				if f, is := err.(*Fault); is {
					return n.String() + fmt.Sprintf("%d %s", f.Status, f.Why)
				}
				return n.String() + err.Error()
			}
			if !whole {
				break
			}
		}
	}
	return n.String()
}
