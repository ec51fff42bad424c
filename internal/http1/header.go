package http1

import "bytes"

// messageHead is what the first line and the headers of a message tell about its size and its connection.
type messageHead struct {
	minorVersion int // of HTTP/1
	headerBytes  int // without line ends
	headerCount  int
	closing      bool // "Connection: close"
	keepAlive    bool // "Connection: keep-alive"
}

// countHeader counts a header or trailer line; false if the message has too many of them.
func (h *messageHead) countHeader(line []byte) bool {
	h.headerBytes += len(line)
	h.headerCount++
	return h.headerCount <= maxHeaderCount && h.headerBytes <= maxHeaderBytes
}

// setConnection takes the value of a Connection header.
func (h *messageHead) setConnection(value []byte) {
	h.closing = h.closing || listContains(value, "close")
	h.keepAlive = h.keepAlive || listContains(value, "keep-alive")
}

// keepsConnection tells whether the connection stays open after the message.
func (h *messageHead) keepsConnection() bool {
	return !h.closing && (h.minorVersion == 1 || h.keepAlive)
}

// splitHeader splits a header line, which is not empty. Its name is lowered in place.
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

// listContains tells whether a comma-separated list holds a word, in any case.
func listContains(list []byte, word string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(part), []byte(word)) {
			return true
		}
	}
	return false
}
