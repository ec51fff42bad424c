package http1

import (
	"bytes"
	"slices"

	"bendtrestle/internal/ringbuffer"
)

// RequestHandler handles a client's requests. RequestReader.Read calls Begin, then Header for each header, and Request
// when the request is complete.
type RequestHandler interface {
	Begin(method, target string)
	Header(name, value string) // the name in lower case
	Request(keep bool)         // keep: the connection stays open after its answer
}

// RequestReader parses a client's requests, which must not have bodies. The zero value is ready for use.
type RequestReader struct {
	lineReader
	head      messageHead
	hostCount int
	begun     bool // the request line has been read
	hasLength bool
}

// Begun reports whether a request has begun and is not complete.
func (r *RequestReader) Begun() bool { return r.begun || len(r.line) > 0 }

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"}

// Read continues with the current request, and returns true when all of it has been passed on. After a fault the
// stream cannot be read any further.
func (r *RequestReader) Read(in *ringbuffer.Buffer, to RequestHandler) (bool, error) {
	for {
		line, complete, fault := r.readNextLine(in)
		if fault != nil {
			return false, fault
		}
		if !complete {
			return false, nil
		}
		if r.begun && len(line) == 0 {
			r.resetLine()
			return true, r.finish(to)
		}
		fault = r.handleLine(line, to)
		if fault != nil {
			return false, fault
		}
		r.resetLine()
	}
}

func (r *RequestReader) readNextLine(in *ringbuffer.Buffer) ([]byte, bool, *Fault) {
	if r.begun {
		return r.readLine(in, maxHeaderLine, errHeadersTooLong)
	}
	return r.readLine(in, maxRequestLine, errRequestLineTooLong)
}

// handleLine handles a line that does not end the request. Empty lines before a request are ignored.
func (r *RequestReader) handleLine(line []byte, to RequestHandler) *Fault {
	if r.begun {
		return r.handleHeader(line, to)
	}
	if len(line) == 0 {
		return nil
	}
	return r.handleRequestLine(line, to)
}

func (r *RequestReader) handleRequestLine(line []byte, to RequestHandler) *Fault {
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if !hasTarget || !hasVersion || !isMethod(method) || bytes.IndexByte(version, ' ') >= 0 {
		return errRequestLine
	}
	minorVersion, fault := parseVersion(version)
	if fault != nil {
		return fault
	}
	methodName := string(method)
	if !slices.Contains(knownMethods, methodName) {
		return errUnknownMethod
	}
	if methodName != "GET" && methodName != "HEAD" {
		return errMethodNotAllowed
	}
	path, fault := parseTarget(target)
	if fault != nil {
		return fault
	}
	r.begun = true
	r.head = messageHead{minorVersion: minorVersion}
	r.hostCount = 0
	r.hasLength = false
	to.Begin(methodName, string(path))
	return nil
}

func isMethod(text []byte) bool {
	for _, b := range text {
		if !isToken(b) {
			return false
		}
	}
	return len(text) > 0
}

// parseVersion returns the minor version of HTTP/1.
func parseVersion(version []byte) (int, *Fault) {
	switch {
	case bytes.Equal(version, []byte("HTTP/1.1")):
		return 1, nil
	case bytes.Equal(version, []byte("HTTP/1.0")):
		return 0, nil
	case bytes.HasPrefix(version, []byte("HTTP/")):
		return 0, errVersion
	}
	return 0, errRequestLine
}

// parseTarget returns the path and query of a request's target, which may be in the absolute form used with proxies.
func parseTarget(target []byte) ([]byte, *Fault) {
	path := cutAuthority(target)
	if len(path) == 0 || path[0] != '/' {
		return nil, errTargetNotPath
	}
	for _, b := range path {
		if b <= ' ' || b >= 0x7f {
			return nil, errTargetNotEscaped
		}
	}
	return path, nil
}

// cutAuthority removes the scheme and the authority from a target in the absolute form.
func cutAuthority(target []byte) []byte {
	const separator = "://"
	schemeEnd := bytes.Index(target, []byte(separator))
	if schemeEnd <= 0 || target[0] == '/' {
		return target
	}
	authority := target[schemeEnd+len(separator):]
	pathStart := bytes.IndexByte(authority, '/')
	if pathStart < 0 {
		return []byte("/")
	}
	return authority[pathStart:]
}

func (r *RequestReader) handleHeader(line []byte, to RequestHandler) *Fault {
	if !r.head.countHeader(line) {
		return errHeadersTooLong
	}
	name, value, fault := splitHeader(line)
	if fault != nil {
		return fault
	}
	switch string(name) {
	case "host":
		r.hostCount++
	case "content-length":
		fault = r.handleContentLength(value)
	case "transfer-encoding":
		fault = errTransferCoding
		if r.hasLength {
			fault = errLength
		}
	case "expect":
		fault = errExpectation
	case "connection":
		r.head.setConnection(value)
	}
	if fault != nil {
		return fault
	}
	to.Header(string(name), string(value))
	return nil
}

// handleContentLength checks a Content-Length header, which may occur once and must be 0.
func (r *RequestReader) handleContentLength(value []byte) *Fault {
	length, err := parseDigits(value, maxLengthDigits)
	if err != nil || r.hasLength {
		return errLength
	}
	if length > 0 {
		return errRequestBody
	}
	r.hasLength = true
	return nil
}

// finish ends the current request. HTTP/1.1 requires one Host header, HTTP/1.0 allows it to be missing.
func (r *RequestReader) finish(to RequestHandler) error {
	r.begun = false
	if r.head.minorVersion == 1 && r.hostCount != 1 || r.hostCount > 1 {
		return errHost
	}
	to.Request(r.head.keepsConnection())
	return nil
}
