package tiles

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	maxNameBytes = 40 // of a name in keys and addresses
	keySegments  = 6  // layer, style, set, matrix, column; row with double-size suffix and format
)

// Key returns the tile's name, which is the same in all schemes: layer/style/set/matrix/col/row, @2x, format,
// dimensions. It contains no space, so that it can be a key in any protocol.
func (t Tile) Key() string {
	suffix := ""
	if t.DoubleSize {
		suffix = doubleSizeSuffix
	}
	dimensions := ""
	if len(t.DimensionValues) > 0 {
		dimensions = "?" + strings.Join(t.DimensionValues, "&")
	}
	const format = "%s/%s/%s/%s/%d/%d%s.%s%s"
	return fmt.Sprintf(format, t.Layer, t.Style, t.Set, t.Matrix, t.Col, t.Row, suffix, t.Format, dimensions)
}

// ParseKey parses a key; ok is false if the text is not a key.
func ParseKey(key string) (t Tile, ok bool) {
	path, dimensions, hasDimensions := strings.Cut(key, "?")
	if hasDimensions {
		t.DimensionValues = strings.Split(dimensions, "&")
	}
	segments := strings.Split(path, "/")
	if len(segments) != keySegments {
		return t, false
	}
	rowText, extension, found := strings.Cut(segments[5], ".")
	if !found {
		return t, false
	}
	rowText, t.DoubleSize = strings.CutSuffix(rowText, doubleSizeSuffix)
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

// ValidName reports whether a text is allowed as the name of a layer, a style, a set or a dimension's value. Such a
// text needs no escaping in keys and addresses.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameBytes || text == "." || text == ".." {
		return false
	}
	for _, b := range []byte(text) {
		if !isNameByte(b) {
			return false
		}
	}
	return true
}

func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return b == '-' || b == '_' || b == '.' || b == ':'
}
