package http1

import "bytes"

// messageHead holds the properties of a message's first line and headers that concern its size and its connection.
type messageHead struct {
	minorVersion int // of HTTP/1
	headerBytes  int // without line ends
	headerCount  int
	closing      bool // "Connection: close"
	keepAlive    bool // "Connection: keep-alive"
}

// countHeader counts a header or trailer line, and returns false if the message's headers exceed a limit.
func (h *messageHead) countHeader(line []byte) bool {
	h.headerBytes += len(line)
	h.headerCount++
	return h.headerCount <= maxHeaderCount && h.headerBytes <= maxHeaderBytes
}

// setConnection applies the value of a Connection header.
func (h *messageHead) setConnection(value []byte) {
	h.closing = h.closing || listContains(value, "close")
	h.keepAlive = h.keepAlive || listContains(value, "keep-alive")
}

// keepsConnection reports whether the connection stays open after the message.
func (h *messageHead) keepsConnection() bool {
	return !h.closing && (h.minorVersion == 1 || h.keepAlive)
}

// splitHeader splits a non-empty header line into name and value. It converts the name to lower case in place.
func splitHeader(line []byte) (name, value []byte, fault *Fault) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFoldedHeader
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, nil, errHeaderName
	}
	for i, b := range name {
		if !isToken(b) {
			return nil, nil, errHeaderName
		}
		if 'A' <= b && b <= 'Z' {
			name[i] = b + 'a' - 'A'
		}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// listContains reports whether a comma-separated list contains a word, ignoring case.
func listContains(list []byte, word string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(part), []byte(word)) {
			return true
		}
	}
	return false
}
