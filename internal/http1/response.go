package http1

import (
	"bytes"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// Replies is called with a server's responses: Status, then each header, then Length if it is stated, then parts of the
// body, then End. The calls come from within ResponseReader.Read and ResponseReader.Closed.
type Replies interface {
	Status(code int)
	Header(name, value string) // the name in lower case; none that are of this connection alone
	Length(n int64) error      // of the body; an error ends the reading, and nothing of the body was taken in
	Body(part []byte) error    // valid during the call; an error ends the reading
	End(keep bool)             // keep: the connection can carry another request
}

// ResponseReader reads a server's responses to GET requests. The zero value is ready for use.
type ResponseReader struct {
	lineReader
	head          messageHead
	phase         responsePhase
	hasLength     bool
	chunked       bool
	code          int
	informational int   // responses of the kind 1xx before the one at hand
	length        int64 // stated, of the body
	remaining     int64 // bytes of the body, or of the chunk
}

// responsePhase is which part of a response comes next.
type responsePhase uint8

const (
	atStatus responsePhase = iota
	inHeaders
	inBody
	atChunkLength
	inChunk
	afterChunk // the line end behind a chunk's bytes
	inTrailers
	inBodyUntilClose // the body goes on until the connection ends
)

// progress is what a step of a reader came to.
type progress int

const (
	needsInput progress = iota
	advanced
	completed
)

const (
	maxInformational = 4 // responses of the kind 1xx: more are no use to anybody
	maxChunkDigits   = 8 // hexadecimal
)

// Begun tells whether a response has begun and is not complete.
func (r *ResponseReader) Begun() bool { return r.phase != atStatus || len(r.line) > 0 }

// Closed takes the connection's end: true if that ends the response at hand as it should.
func (r *ResponseReader) Closed(to Replies) bool {
	if r.phase != inBodyUntilClose {
		return false
	}
	r.phase = atStatus
	to.End(false)
	return true
}

// Read goes on with the response at hand; true once all of it was handed on. After an error nothing more can be read.
func (r *ResponseReader) Read(in *ringbuffer.Buffer, to Replies) (bool, error) {
	for {
		step, err := r.step(in, to)
		if err != nil {
			return false, err
		}
		if step != advanced {
			return step == completed, nil
		}
	}
}

func (r *ResponseReader) step(in *ringbuffer.Buffer, to Replies) (progress, error) {
	switch r.phase {
	case inBody, inChunk, inBodyUntilClose:
		return r.readBody(in, to)
	}
	line, complete, fault := r.readLine(in, maxHeaderLine, errResponseLineTooLong)
	if fault != nil {
		return needsInput, fault
	}
	if !complete {
		return needsInput, nil
	}
	step, err := r.handleLine(line, to)
	r.resetLine()
	return step, err
}

// readBody hands on what has come of a body or of a chunk.
func (r *ResponseReader) readBody(in *ringbuffer.Buffer, to Replies) (progress, error) {
	var parts [2][]byte
	held := in.Held(parts[:0])
	if len(held) == 0 {
		return needsInput, nil
	}
	part := held[0]
	if r.phase != inBodyUntilClose {
		part = part[:min(int64(len(part)), r.remaining)]
	}
	err := to.Body(part)
	if err != nil {
		return needsInput, err
	}
	in.Drop(len(part))
	if r.phase == inBodyUntilClose {
		return advanced, nil
	}
	r.remaining -= int64(len(part))
	if r.remaining > 0 {
		return advanced, nil
	}
	if r.phase == inBody {
		return r.finish(to), nil
	}
	r.phase = afterChunk
	return advanced, nil
}

func (r *ResponseReader) handleLine(line []byte, to Replies) (progress, error) {
	switch r.phase {
	case atStatus:
		return advanced, r.handleStatusLine(line, to)
	case inHeaders:
		if len(line) == 0 {
			return r.endHeaders(to)
		}
		return advanced, r.handleHeader(line, to)
	case atChunkLength:
		return advanced, r.handleChunkLength(line)
	case afterChunk:
		if len(line) > 0 {
			return advanced, errChunkEnd
		}
		r.phase = atChunkLength
	case inTrailers:
		if len(line) == 0 {
			return r.finish(to), nil
		}
		if !r.head.countHeader(line) {
			return advanced, errTrailersTooLong
		}
	}
	return advanced, nil
}

func (r *ResponseReader) handleStatusLine(line []byte, to Replies) error {
	code, minorVersion, valid := parseStatusLine(line)
	if !valid {
		return errStatusLine
	}
	r.code = code
	r.phase = inHeaders
	r.head = messageHead{minorVersion: minorVersion}
	r.length = 0
	r.hasLength = false
	r.chunked = false
	if r.isFinal() {
		to.Status(code)
		return nil
	}
	r.informational++
	if r.informational > maxInformational || code == 101 {
		return errTooManyInformational
	}
	return nil
}

// isFinal tells whether the response is the answer itself, not one of the kind 1xx before it.
func (r *ResponseReader) isFinal() bool { return r.code >= 200 }

// parseStatusLine reads "HTTP/1.x 200", alone or with a reason behind a space.
func parseStatusLine(line []byte) (code, minorVersion int, valid bool) {
	const (
		prefix    = "HTTP/1."
		codeStart = len(prefix) + len("x ")
		codeEnd   = codeStart + len("200")
	)
	if len(line) < codeEnd || !bytes.HasPrefix(line, []byte(prefix)) || line[codeStart-1] != ' ' {
		return 0, 0, false
	}
	if len(line) > codeEnd && line[codeEnd] != ' ' {
		return 0, 0, false
	}
	number, err := parseDigits(line[codeStart:codeEnd], codeEnd-codeStart)
	if err != nil || number < 100 {
		return 0, 0, false
	}
	minor := line[len(prefix)]
	if minor != '0' && minor != '1' {
		return 0, 0, false
	}
	return int(number), int(minor - '0'), true
}

func (r *ResponseReader) handleHeader(line []byte, to Replies) error {
	if !r.head.countHeader(line) {
		return errResponseHeadersTooLong
	}
	name, value, fault := splitHeader(line)
	if fault != nil {
		return badResponse(fault.Reason)
	}
	switch string(name) {
	case "content-length":
		return r.handleContentLength(value)
	case "transfer-encoding":
		if r.hasLength || r.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return errResponseCoding
		}
		r.chunked = true
	case "connection":
		r.head.setConnection(value)
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade": // of this connection alone
	default:
		if r.isFinal() {
			to.Header(string(name), string(value))
		}
	}
	return nil
}

func (r *ResponseReader) handleContentLength(value []byte) error {
	length, err := parseDigits(value, maxLengthDigits)
	if err != nil || r.hasLength || r.chunked {
		return errResponseLength
	}
	r.length = length
	r.hasLength = true
	return nil
}

// endHeaders takes the end of the headers: it tells how the body comes.
func (r *ResponseReader) endHeaders(to Replies) (progress, error) {
	switch {
	case !r.isFinal():
		r.phase = atStatus
		return advanced, nil
	case r.code == 204 || r.code == 304: // they have no body, whatever length they state
		if r.chunked {
			return advanced, errUnexpectedChunks
		}
		return r.finish(to), nil
	case r.chunked:
		r.phase = atChunkLength
		return advanced, nil
	case r.hasLength:
		return r.beginBody(to)
	}
	r.phase = inBodyUntilClose
	return advanced, nil
}

// beginBody begins a body of a stated length.
func (r *ResponseReader) beginBody(to Replies) (progress, error) {
	err := to.Length(r.length)
	if err != nil {
		return advanced, err
	}
	if r.length == 0 {
		return r.finish(to), nil
	}
	r.remaining = r.length
	r.phase = inBody
	return advanced, nil
}

// handleChunkLength takes a chunk's length; extensions behind it are ignored. A length of 0 ends the body.
func (r *ResponseReader) handleChunkLength(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return errChunkLength
	}
	length, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return errChunkLength
	}
	r.remaining = int64(length)
	r.phase = inChunk
	if length == 0 {
		r.phase = inTrailers
	}
	return nil
}

// finish ends the response at hand.
func (r *ResponseReader) finish(to Replies) progress {
	r.phase = atStatus
	r.informational = 0
	to.End(r.head.keepsConnection())
	return completed
}
