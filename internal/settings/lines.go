package settings

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Lines returns the line number of each key of a JSON text, by the key's path, such as "/settings/trafficTypes/0/name".
// For a malformed text it returns the keys before the first error.
func Lines(text []byte) map[string]int {
	scanner := &lineScanner{decoder: json.NewDecoder(bytes.NewReader(text)), text: text, lines: map[string]int{}}
	scanner.scanValue("")
	return scanner.lines
}

type lineScanner struct {
	decoder *json.Decoder
	text    []byte
	lines   map[string]int
}

// line returns the line of the token that was read last.
func (s *lineScanner) line() int {
	return 1 + bytes.Count(s.text[:s.decoder.InputOffset()], []byte("\n"))
}

// scanValue reads one value. It returns false if the text ends or is malformed.
func (s *lineScanner) scanValue(path string) bool {
	token, err := s.decoder.Token()
	if err != nil {
		return false
	}
	s.lines[path] = s.line()
	switch token {
	case json.Delim('{'):
		return s.scanObject(path)
	case json.Delim('['):
		return s.scanArray(path)
	}
	return true
}

func (s *lineScanner) scanObject(path string) bool {
	for s.decoder.More() {
		key, err := s.decoder.Token()
		name, isText := key.(string)
		if err != nil || !isText || !s.scanValue(path+"/"+name) {
			return false
		}
	}
	return s.scanEnd()
}

func (s *lineScanner) scanArray(path string) bool {
	for i := 0; s.decoder.More(); i++ {
		if !s.scanValue(path + "/" + strconv.Itoa(i)) {
			return false
		}
	}
	return s.scanEnd()
}

// scanEnd reads the bracket that closes an object or an array.
func (s *lineScanner) scanEnd() bool {
	_, err := s.decoder.Token()
	return err == nil
}
