package settings

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Lines gives the line of each key of a JSON text, by its path: "settings/trafficTypes/0/name".
func Lines(text []byte) map[string]int {
	l := &lines{d: json.NewDecoder(bytes.NewReader(text)), text: text, at: map[string]int{}}
	l.value("")
	return l.at
}

type lines struct {
	d    *json.Decoder
	text []byte
	at   map[string]int
}

func (l *lines) line() int { return 1 + bytes.Count(l.text[:l.d.InputOffset()], []byte("\n")) }

// value takes one value; false where the text ends or is malformed.
func (l *lines) value(path string) bool {
	token, err := l.d.Token()
	if err != nil {
		return false
	}
	l.at[path] = l.line()
	switch token {
	case json.Delim('{'):
		for l.d.More() {
			key, err := l.d.Token()
			name, isText := key.(string)
			if err != nil || !isText || !l.value(path+"/"+name) {
				return false
			}
		}
	case json.Delim('['):
		for n := 0; l.d.More(); n++ {
			if !l.value(path + "/" + strconv.Itoa(n)) {
				return false
			}
		}
	default:
		return true
	}
	_, err = l.d.Token()
	return err == nil
}
