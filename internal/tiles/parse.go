package tiles

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const (
	maxNumberDigits    = 9  // of a zoom level, a column or a row, so that it fits an int of 32 bits
	maxQueryParameters = 32 // of one request
	maxLocatorBytes    = 40 // of a parameter's name that a fault returns to the client
)

// The paths of WMTS.
const (
	wmtsPath             = "/wmts"
	restPath             = "/wmts/1.0.0/"
	restCapabilitiesPath = "/wmts/1.0.0/WMTSCapabilities.xml"
)

// ParsedTarget is what a request target refers to: a tile, or the service's capabilities document.
type ParsedTarget struct {
	Tile         Tile
	Capabilities bool
}

// Parse parses a request's target. The fault is nil if the target is valid.
func (s *Service) Parse(target string) (ParsedTarget, *Fault) {
	path, query, _ := strings.Cut(target, "?")
	switch {
	case path == wmtsPath || path == wmtsPath+"/":
		return s.parseKVP(query)
	case path == restCapabilitiesPath:
		return ParsedTarget{Capabilities: true}, nil
	case strings.HasPrefix(path, restPath):
		return s.parseREST(path[len(restPath):])
	}
	return s.parseXYZ(path, query)
}

// pathSegments splits a path at its slashes and unescapes each segment.
func pathSegments(path string) ([]string, *Fault) {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		text, err := url.PathUnescape(segment)
		if err != nil {
			fault := plainFault(http.StatusBadRequest, "an escape in the path cannot be read")
			fault.Code = InvalidParameter
			return nil, fault
		}
		segments[i] = text
	}
	return segments, nil
}

// parseNumber parses a whole number as the schemes write it: only digits, without leading zeros.
func parseNumber(text string) (int, bool) {
	if text == "" || len(text) > maxNumberDigits {
		return 0, false
	}
	if len(text) > 1 && text[0] == '0' {
		return 0, false
	}
	for _, b := range []byte(text) {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	number, err := strconv.Atoi(text)
	return number, err == nil
}

// parseQuery parses key-value pairs. Names may be in any case and any order, but each may occur only once. The result
// has them in lower case.
func parseQuery(query string) (map[string]string, *Fault) {
	values := map[string]string{}
	for pair := range strings.SplitSeq(query, "&") {
		if pair == "" {
			continue
		}
		escapedName, escapedValue, _ := strings.Cut(pair, "=")
		name, nameErr := url.QueryUnescape(escapedName)
		value, valueErr := url.QueryUnescape(escapedValue)
		name = strings.ToLower(name)
		_, repeated := values[name]
		if repeated || nameErr != nil || valueErr != nil || len(values) >= maxQueryParameters {
			locator := name[:min(len(name), maxLocatorBytes)]
			const text = "a parameter is there twice, cannot be read, or is one too many"
			return nil, reportedFault(InvalidParameter, locator, text)
		}
		values[name] = value
	}
	return values, nil
}

// resolveSet replaces the matrix set of double-size tiles by the tile's field DoubleSize, and checks the tile's
// position.
func (s *Service) resolveSet(layer *Layer, tile *Tile) *Fault {
	if !slices.Contains(layer.matrixSets(), tile.Set) {
		text := fmt.Sprintf("the layer is not in the set %.40q", tile.Set)
		return reportedFault(InvalidParameter, "TileMatrixSet", text)
	}
	if tile.Set == GoogleDoubleSize {
		tile.Set = Google
		tile.DoubleSize = true
	}
	return s.checkPosition(layer, tile)
}

// checkPosition checks that a tile is within its matrix and its layer's limits.
func (s *Service) checkPosition(layer *Layer, tile *Tile) *Fault {
	set := s.Set(tile.Set)
	zoom := slices.IndexFunc(set.Matrices, func(m Matrix) bool { return m.Name == tile.Matrix })
	if zoom < layer.MinZoom || zoom > layer.MaxZoom || zoom < 0 {
		return reportedFault(InvalidParameter, "TileMatrix", fmt.Sprintf("the layer has no zoom level %.20q", tile.Matrix))
	}
	limits := layer.limits(set, &set.Matrices[zoom])
	if tile.Row < limits.firstRow || tile.Row > limits.lastRow {
		text := fmt.Sprintf("the row is not between %d and %d", limits.firstRow, limits.lastRow)
		return reportedFault(OutOfRange, "TileRow", text)
	}
	if tile.Col < limits.firstCol || tile.Col > limits.lastCol {
		text := fmt.Sprintf("the column is not between %d and %d", limits.firstCol, limits.lastCol)
		return reportedFault(OutOfRange, "TileCol", text)
	}
	return nil
}

// setDimensions sets a tile's values of its layer's dimensions. The function value returns the request's value for the
// dimension with an index; an empty value means the dimension's default.
func (l *Layer) setDimensions(tile *Tile, value func(index int) string) *Fault {
	for i, dimension := range l.Dimensions {
		selected := value(i)
		if selected == "" || selected == defaultName {
			selected = dimension.Values[0]
		}
		if !slices.Contains(dimension.Values, selected) {
			return invalidParameter(dimension.Name, selected)
		}
		tile.DimensionValues = append(tile.DimensionValues, dimension.Name+"="+selected)
	}
	return nil
}

// setDimensionsFromQuery sets a tile's dimensions from the values of a query.
func (l *Layer) setDimensionsFromQuery(tile *Tile, values map[string]string) *Fault {
	return l.setDimensions(tile, func(index int) string {
		return values[strings.ToLower(l.Dimensions[index].Name)]
	})
}
