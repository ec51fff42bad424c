package http1

import (
	"bytes"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// Replies is called with a server's answers: Status, then each header, then parts of the body, then End.
type Replies interface {
	Status(code int)
	Header(name, value string) // the name in lower case; none that are of this connection alone
	Length(n int64) error      // of the body; an error ends the reading, and nothing of the body was taken in
	Body(part []byte) error
	End(keep bool)
}

// ResponseReader reads a server's answers to GET requests.
type ResponseReader struct {
	liner
	phase   int
	minor   int
	code    int
	headers int
	count   int
	early   int // answers of the kind 1xx before the one at hand
	length  int64
	stated  bool
	chunked bool
	closing bool
	keeping bool
	left    int64 // of the body, or of the chunk
}

// The parts of an answer.
const (
	atStatus = iota
	inHeaders
	inBody
	atChunk    // a chunk's length
	inChunk    // its bytes
	afterChunk // the line end behind them
	inTrailers
	untilEnd // the body goes on until the connection ends
)

const mostEarly = 4 // answers of the kind 1xx: more are no use to anybody

// Begun tells whether an answer has begun and is not whole.
func (r *ResponseReader) Begun() bool { return r.phase != atStatus || len(r.line) > 0 }

// Closed takes the connection's end: true if that ends the answer at hand as it should.
func (r *ResponseReader) Closed(to Replies) bool {
	if r.phase != untilEnd {
		return false
	}
	r.phase = atStatus
	to.End(false)
	return true
}

func bad(why string) *Fault { return &Fault{502, why} }

// Read goes on with the answer at hand; true once it was handed on whole. After an error nothing more can be read.
func (r *ResponseReader) Read(in *ringbuffer.Buffer, to Replies) (bool, error) {
	for {
		switch r.phase {
		case inBody, inChunk, untilEnd:
			var parts [2][]byte
			held := in.Held(parts[:0])
			if len(held) == 0 {
				return false, nil
			}
			part := held[0]
			if r.phase != untilEnd {
				part = part[:min(int64(len(part)), r.left)]
			}
			if err := to.Body(part); err != nil {
				return false, err
			}
			in.Drop(len(part))
			if r.left -= int64(len(part)); r.left > 0 || r.phase == untilEnd {
				continue
			}
			if r.phase == inBody {
				return true, r.end(to)
			}
			r.phase = afterChunk
		default:
			line, whole, fault := r.read(in, headerBound, bad("a line is too long"))
			if fault != nil {
				return false, fault
			}
			if !whole {
				return false, nil
			}
			done, err := r.take(line, to)
			r.next()
			if err != nil || done {
				return done, err
			}
		}
	}
}

// take takes a line; true if it ends the answer.
func (r *ResponseReader) take(line []byte, to Replies) (bool, error) {
	switch r.phase {
	case atStatus:
		return false, r.status(line, to)
	case inHeaders:
		if len(line) > 0 {
			return false, r.header(line, to)
		}
		return r.body(to)
	case atChunk:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		n, err := strconv.ParseUint(string(size), 16, 32)
		if err != nil || len(size) > 8 || len(size) == 0 || size[0] == '+' || size[0] == '_' {
			return false, bad("a chunk's length cannot be read")
		}
		if r.phase, r.left = inChunk, int64(n); n == 0 {
			r.phase = inTrailers
		}
	case afterChunk:
		if len(line) > 0 {
			return false, bad("a chunk does not end where its length says")
		}
		r.phase = atChunk
	case inTrailers:
		if len(line) == 0 {
			return true, r.end(to)
		}
		r.headers += len(line)
		if r.count++; r.count > headerCount || r.headers > headersBound {
			return false, bad("the trailers are too long")
		}
	}
	return false, nil
}

func (r *ResponseReader) status(line []byte, to Replies) error {
	if len(line) < len("HTTP/1.1 200") || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return bad("no status line")
	}
	code, err := digits(line[9:12], 3)
	if r.minor = int(line[7] - '0'); err != nil || code < 100 || r.minor != 0 && r.minor != 1 {
		return bad("no status line")
	}
	r.code, r.phase = int(code), inHeaders
	r.headers, r.count, r.length, r.stated, r.chunked, r.closing, r.keeping = 0, 0, 0, false, false, false, false
	if r.code >= 200 {
		to.Status(r.code)
	} else if r.early++; r.early > mostEarly || r.code == 101 {
		return bad("too many answers before the answer")
	}
	return nil
}

func (r *ResponseReader) header(line []byte, to Replies) error {
	r.headers += len(line)
	if r.count++; r.count > headerCount || r.headers > headersBound {
		return bad("the headers are too long")
	}
	name, value, fault := header(line)
	if fault != nil {
		return bad(fault.Why)
	}
	switch string(name) {
	case "content-length":
		n, err := digits(value, 18)
		if err != nil || r.stated || r.chunked {
			return bad("the length cannot be read, or there are two")
		}
		r.length, r.stated = n, true
	case "transfer-encoding":
		if r.stated || r.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return bad("this transfer coding is not taken, or stands beside a length")
		}
		r.chunked = true
	case "connection":
		r.closing = r.closing || listed(value, "close")
		r.keeping = r.keeping || listed(value, "keep-alive")
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade":
	default:
		if r.code >= 200 {
			to.Header(string(name), string(value))
		}
	}
	return nil
}

// body takes the end of the headers.
func (r *ResponseReader) body(to Replies) (bool, error) {
	switch {
	case r.code < 200:
		r.phase = atStatus
		return false, nil
	case r.code == 204 || r.code == 304: // they have none, whatever length they state
		if r.chunked {
			return false, bad("chunks where there can be no body")
		}
		return true, r.end(to)
	case r.chunked:
		r.phase = atChunk
		return false, nil
	case r.stated:
		if err := to.Length(r.length); err != nil {
			return false, err
		}
		if r.left = r.length; r.left == 0 {
			return true, r.end(to)
		}
		r.phase = inBody
		return false, nil
	}
	r.phase = untilEnd
	return false, nil
}

func (r *ResponseReader) end(to Replies) error {
	r.phase, r.early = atStatus, 0
	to.End(!r.closing && (r.minor == 1 || r.keeping))
	return nil
}
