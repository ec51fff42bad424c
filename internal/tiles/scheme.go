package tiles

import (
	"fmt"
	"net/url"
	"strings"
)

// Scheme is the form of the addresses that a tile server accepts.
type Scheme string

// The schemes.
const (
	XYZ  Scheme = "xyz"
	KVP  Scheme = "wmts-kvp"
	REST Scheme = "wmts-rest"
)

// Schemes are all schemes.
var Schemes = []Scheme{XYZ, KVP, REST}

// Address returns the target of a tile's request in a scheme. XYZ paths have no segment for a style other than the
// default one or for the dimensions' values: they are in the query.
func (s Scheme) Address(t Tile) string {
	switch s {
	case KVP:
		return kvpAddress(t)
	case REST:
		return restAddress(t)
	}
	return xyzAddress(t)
}

// wmtsSetName returns the WMTS name of a tile's matrix set.
func wmtsSetName(t Tile) string {
	if t.DoubleSize {
		return GoogleDoubleSize
	}
	return t.Set
}

func kvpAddress(t Tile) string {
	const format = wmtsPath + "?service=WMTS&request=GetTile&version=" + wmtsVersion +
		"&layer=%s&style=%s&format=%s&tilematrixset=%s&tilematrix=%s&tilerow=%d&tilecol=%d"
	text := fmt.Sprintf(format,
		url.QueryEscape(t.Layer),
		url.QueryEscape(t.Style),
		url.QueryEscape(MediaTypes[t.Format]),
		url.QueryEscape(wmtsSetName(t)),
		url.QueryEscape(t.Matrix),
		t.Row,
		t.Col)
	for _, pair := range t.DimensionValues { // names and values need no escaping (ValidName)
		text += "&" + pair
	}
	return text
}

func restAddress(t Tile) string {
	segments := []string{t.Layer, t.Style}
	for _, pair := range t.DimensionValues {
		_, value, _ := strings.Cut(pair, "=")
		segments = append(segments, value)
	}
	start := restPath + strings.Join(segments, "/")
	return fmt.Sprintf("%s/%s/%s/%d/%d.%s", start, wmtsSetName(t), t.Matrix, t.Row, t.Col, t.Format)
}

func xyzAddress(t Tile) string {
	suffix := ""
	if t.DoubleSize {
		suffix = doubleSizeSuffix
	}
	text := fmt.Sprintf("/%s/%s/%d/%d%s.%s", t.Layer, t.Matrix, t.Col, t.Row, suffix, t.Format)
	if t.Style == defaultName && len(t.DimensionValues) == 0 {
		return text
	}
	query := append([]string{"style=" + t.Style}, t.DimensionValues...)
	return text + "?" + strings.Join(query, "&")
}
