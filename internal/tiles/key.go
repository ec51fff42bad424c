package tiles

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	maxWordBytes = 40 // of a name that stands in keys and addresses
	keySegments  = 6  // layer, style, set, matrix, column; row, mark and format
)

// Key is a tile's name, the same under every scheme: layer/style/set/matrix/col/row, @2x, format, dimensions. It holds
// no space, so that it can be a key of any protocol.
func (t Tile) Key() string {
	mark := ""
	if t.Twice {
		mark = doubleSizeSuffix
	}
	dimensions := ""
	if len(t.Dimensions) > 0 {
		dimensions = "?" + strings.Join(t.Dimensions, "&")
	}
	const format = "%s/%s/%s/%s/%d/%d%s.%s%s"
	return fmt.Sprintf(format, t.Layer, t.Style, t.Set, t.Matrix, t.Col, t.Row, mark, t.Format, dimensions)
}

// Named reads a key back; ok is false if the text is none.
func Named(key string) (t Tile, ok bool) {
	path, dimensions, hasDimensions := strings.Cut(key, "?")
	if hasDimensions {
		t.Dimensions = strings.Split(dimensions, "&")
	}
	segments := strings.Split(path, "/")
	if len(segments) != keySegments {
		return t, false
	}
	rowText, extension, found := strings.Cut(segments[5], ".")
	if !found {
		return t, false
	}
	rowText, t.Twice = strings.CutSuffix(rowText, doubleSizeSuffix)
	col, colErr := strconv.Atoi(segments[4])
	row, rowErr := strconv.Atoi(rowText)
	t.Layer = segments[0]
	t.Style = segments[1]
	t.Set = segments[2]
	t.Matrix = segments[3]
	t.Col = col
	t.Row = row
	t.Format = extension
	return t, colErr == nil && rowErr == nil
}

// Word tells whether a text may name a layer, a style, a set or a value: it then needs no escape anywhere.
func Word(text string) bool {
	if text == "" || len(text) > maxWordBytes || text == "." || text == ".." {
		return false
	}
	for _, b := range []byte(text) {
		if !isWordByte(b) {
			return false
		}
	}
	return true
}

func isWordByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return b == '-' || b == '_' || b == '.' || b == ':'
}
