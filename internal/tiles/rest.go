package tiles

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// The segments of a RESTful path after the version. The dimensions' values come between the style and the matrix set;
// the segments after them are numbered as if there were none.
const (
	restLayer = iota
	restStyle
	restSet
	restMatrix
	restRow
	restCol // with the format
	restSegments
	restDimensions = restSet
)

// parseREST parses {Layer}/{Style}/{dimensions}/{TileMatrixSet}/{TileMatrix}/{TileRow}/{TileCol}.{format}.
func (s *Service) parseREST(path string) (ParsedTarget, *Fault) {
	segments, fault := pathSegments(path)
	if fault != nil {
		fault.Report = true
		return ParsedTarget{}, fault
	}
	layer := s.Layer(segments[restLayer])
	if layer == nil {
		return ParsedTarget{}, invalidParameter("Layer", segments[restLayer])
	}
	wantSegments := restSegments + len(layer.Dimensions)
	if len(segments) != wantSegments {
		const format = "the path has %d parts behind the version, this layer's tiles have %d"
		fault = reportedFault(MissingParameter, "TileCol", fmt.Sprintf(format, len(segments), wantSegments))
		fault.Status = http.StatusNotFound
		return ParsedTarget{}, fault
	}
	tile, fault := layer.parseRESTSegments(segments)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	fault = s.resolveSet(layer, &tile)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	fault = layer.setDimensions(&tile, func(index int) string { return segments[restDimensions+index] })
	if fault != nil {
		return ParsedTarget{}, fault
	}
	return ParsedTarget{Tile: tile}, nil
}

// parseRESTSegments parses a tile of a layer. It does not check the matrix set, the position and the dimensions.
func (l *Layer) parseRESTSegments(segments []string) (Tile, *Fault) {
	afterDimensions := segments[len(l.Dimensions):]
	tile := Tile{
		Layer:  l.Name,
		Style:  segments[restStyle],
		Set:    afterDimensions[restSet],
		Matrix: afterDimensions[restMatrix],
	}
	if !slices.Contains(l.Styles, tile.Style) {
		return Tile{}, invalidParameter("Style", tile.Style)
	}
	col, extension, _ := strings.Cut(afterDimensions[restCol], ".")
	tile.Format = formatName(extension)
	if !slices.Contains(l.Formats, tile.Format) {
		return Tile{}, invalidParameter("Format", extension)
	}
	var ok bool
	tile.Row, ok = parseNumber(afterDimensions[restRow])
	if !ok {
		return Tile{}, invalidParameter("TileRow", afterDimensions[restRow])
	}
	tile.Col, ok = parseNumber(col)
	if !ok {
		return Tile{}, invalidParameter("TileCol", col)
	}
	return tile, nil
}
