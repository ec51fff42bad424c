package http1

import (
	"bytes"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// ResponseHandler handles a server's responses. ResponseReader.Read and ResponseReader.Closed call Status, then Header
// for each header, then Length if the response states it, then Body for each part of the body, then End.
type ResponseHandler interface {
	Status(code int)
	Header(name, value string) // the name in lower case; hop-by-hop headers are left out
	Length(n int64) error      // of the body; an error ends the reading before any of the body is read
	Body(part []byte) error    // part is valid during the call; an error ends the reading
	End(keep bool)             // keep: the connection can be used for another request
}

// ResponseReader parses a server's responses to GET requests. The zero value is ready for use.
type ResponseReader struct {
	lineReader
	head          messageHead
	phase         responsePhase
	hasLength     bool
	chunked       bool
	code          int
	informational int   // number of 1xx responses before the final one
	length        int64 // stated, of the body
	remaining     int64 // bytes of the body, or of the chunk, still to be read
}

// responsePhase is which part of a response comes next.
type responsePhase uint8

const (
	atStatus responsePhase = iota
	inHeaders
	inBody
	atChunkLength
	inChunk
	afterChunk // the line end after a chunk's bytes
	inTrailers
	inBodyUntilClose // the body ends with the connection
)

// progress is the result of a step of a reader.
type progress int

const (
	needsInput progress = iota
	advanced
	completed
)

const (
	maxInformational = 4 // 1xx responses before the final one; a client has no use for more
	maxChunkDigits   = 8 // hexadecimal
)

// Begun reports whether a response has begun and is not complete.
func (r *ResponseReader) Begun() bool { return r.phase != atStatus || len(r.line) > 0 }

// Closed handles the end of the connection, and reports whether that completes the current response.
func (r *ResponseReader) Closed(to ResponseHandler) bool {
	if r.phase != inBodyUntilClose {
		return false
	}
	r.phase = atStatus
	to.End(false)
	return true
}

// Read continues with the current response, and returns true when all of it has been passed on. After an error the
// stream cannot be read any further.
func (r *ResponseReader) Read(in *ringbuffer.Buffer, to ResponseHandler) (bool, error) {
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

func (r *ResponseReader) step(in *ringbuffer.Buffer, to ResponseHandler) (progress, error) {
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

// readBody passes on the received bytes of a body or of a chunk.
func (r *ResponseReader) readBody(in *ringbuffer.Buffer, to ResponseHandler) (progress, error) {
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

func (r *ResponseReader) handleLine(line []byte, to ResponseHandler) (progress, error) {
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

func (r *ResponseReader) handleStatusLine(line []byte, to ResponseHandler) error {
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

// isFinal reports whether the response is the final one, not a 1xx response before it.
func (r *ResponseReader) isFinal() bool { return r.code >= 200 }

// parseStatusLine parses "HTTP/1.x 200", optionally followed by a space and a reason.
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

func (r *ResponseReader) handleHeader(line []byte, to ResponseHandler) error {
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
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade": // hop-by-hop headers
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

// endHeaders handles the end of the headers and determines how the body is delimited.
func (r *ResponseReader) endHeaders(to ResponseHandler) (progress, error) {
	switch {
	case !r.isFinal():
		r.phase = atStatus
		return advanced, nil
	case r.code == 204 || r.code == 304: // no body, whatever length the headers state
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

// beginBody starts a body of a stated length.
func (r *ResponseReader) beginBody(to ResponseHandler) (progress, error) {
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

// handleChunkLength parses a chunk's length and ignores extensions after it. A length of 0 ends the body.
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

// finish ends the current response.
func (r *ResponseReader) finish(to ResponseHandler) progress {
	r.phase = atStatus
	r.informational = 0
	to.End(r.head.keepsConnection())
	return completed
}
