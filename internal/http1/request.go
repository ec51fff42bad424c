package http1

import (
	"bytes"
	"slices"

	"bendtrestle/internal/ringbuffer"
)

// Requests is called with a client's requests: Begin, then each header, then Request once all of it has come.
type Requests interface {
	Begin(method, target string)
	Header(name, value string) // the name in lower case
	Request(keep bool)         // keep: the connection stays open after its answer
}

// RequestReader reads a client's requests, which have no bodies here.
type RequestReader struct {
	liner
	begun   bool // the request line has come
	minor   int
	headers int // bytes
	count   int
	hosts   int
	length  bool
	closing bool
	keeping bool
}

// Begun tells whether a request has begun and is not whole.
func (r *RequestReader) Begun() bool { return r.begun || len(r.line) > 0 }

var known = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"}

// Read goes on with the request at hand; true once it was handed on whole. After a fault nothing more can be read.
func (r *RequestReader) Read(in *ringbuffer.Buffer, to Requests) (bool, error) {
	for {
		long, bound := errLine, lineBound
		if r.begun {
			long, bound = errHeaders, headerBound
		}
		line, whole, err := r.read(in, bound, long)
		if err != nil {
			return false, err
		}
		if !whole {
			return false, nil
		}
		switch {
		case !r.begun && len(line) == 0: // an empty line before a request is passed over
		case !r.begun:
			if err := r.first(line, to); err != nil {
				return false, err
			}
		case len(line) == 0:
			r.next()
			return true, r.end(to)
		default:
			if err := r.header(line, to); err != nil {
				return false, err
			}
		}
		r.next()
	}
}

// first takes the request line.
func (r *RequestReader) first(line []byte, to Requests) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || len(method) == 0 || slices.ContainsFunc(method, func(b byte) bool { return !token(b) }) || bytes.IndexByte(version, ' ') >= 0 {
		return &Fault{400, "the request line cannot be read"}
	}
	switch {
	case bytes.Equal(version, []byte("HTTP/1.1")):
		r.minor = 1
	case bytes.Equal(version, []byte("HTTP/1.0")):
		r.minor = 0
	case bytes.HasPrefix(version, []byte("HTTP/")):
		return &Fault{505, "this version is not spoken"}
	default:
		return &Fault{400, "the request line cannot be read"}
	}
	if !slices.Contains(known, string(method)) {
		return &Fault{501, "this method is not known"}
	}
	if m := string(method); m != "GET" && m != "HEAD" {
		return &Fault{405, "only GET and HEAD are taken"}
	}
	if i := bytes.Index(target, []byte("://")); i > 0 && target[0] != '/' { // the form for proxies
		path := bytes.IndexByte(target[i+3:], '/')
		if path < 0 {
			target = []byte("/")
		} else {
			target = target[i+3+path:]
		}
	}
	if len(target) == 0 || target[0] != '/' {
		return &Fault{400, "the target is not a path"}
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return &Fault{400, "the target holds what must be escaped"}
		}
	}
	r.begun, r.headers, r.count, r.hosts, r.length, r.closing, r.keeping = true, 0, 0, 0, false, false, false
	to.Begin(string(method), string(target))
	return nil
}

func (r *RequestReader) header(line []byte, to Requests) error {
	r.headers += len(line)
	if r.count++; r.count > headerCount || r.headers > headersBound {
		return errHeaders
	}
	name, value, err := header(line)
	if err != nil {
		return err
	}
	switch string(name) {
	case "host":
		r.hosts++
	case "content-length":
		n, err := digits(value, 18)
		if err != nil || r.length {
			return errLength
		}
		if r.length = true; n > 0 {
			return &Fault{400, "a body is not taken"}
		}
	case "transfer-encoding":
		if r.length {
			return errLength
		}
		return errCoding
	case "expect":
		return &Fault{417, "nothing is expected here"}
	case "connection":
		r.closing = r.closing || listed(value, "close")
		r.keeping = r.keeping || listed(value, "keep-alive")
	}
	to.Header(string(name), string(value))
	return nil
}

func (r *RequestReader) end(to Requests) error {
	r.begun = false
	if r.minor == 1 && r.hosts != 1 || r.hosts > 1 {
		return &Fault{400, "there is not one host header"}
	}
	to.Request(!r.closing && (r.minor == 1 || r.keeping))
	return nil
}
