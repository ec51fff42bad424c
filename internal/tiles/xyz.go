package tiles

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// The segments of an XYZ path.
const (
	xyzLayer = iota
	xyzZoom
	xyzCol
	xyzRow // with the suffix of double-size tiles and the format
	xyzSegments
)

const doubleSizeSuffix = "@2x"

// parseXYZ parses /{layer}/{z}/{x}/{y}.{format} and /{layer}/{z}/{x}/{y}@2x.{format}; style and dimensions are in the
// query.
func (s *Service) parseXYZ(path, query string) (ParsedTarget, *Fault) {
	segments, fault := pathSegments(strings.TrimPrefix(path, "/"))
	if fault != nil {
		return ParsedTarget{}, fault
	}
	if len(segments) != xyzSegments {
		const text = "no tile has such an address: /{layer}/{z}/{x}/{y}.{format}"
		return ParsedTarget{}, plainFault(http.StatusNotFound, text)
	}
	layer := s.Layer(segments[xyzLayer])
	if layer == nil {
		text := fmt.Sprintf("there is no layer %.40q", segments[xyzLayer])
		return ParsedTarget{}, plainFault(http.StatusNotFound, text)
	}
	tile, fault := layer.parseXYZSegments(segments)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	fault = s.checkPosition(layer, &tile)
	if fault != nil {
		fault.Status = http.StatusNotFound
		fault.Report = false
		return ParsedTarget{}, fault
	}
	fault = layer.setXYZQuery(&tile, query)
	if fault != nil {
		fault.Report = false
		return ParsedTarget{}, fault
	}
	return ParsedTarget{Tile: tile}, nil
}

// parseXYZSegments parses a tile from the segments of a path, in the layer's default style and first matrix set.
func (l *Layer) parseXYZSegments(segments []string) (Tile, *Fault) {
	tile := Tile{Layer: l.Name, Style: l.Styles[0], Set: l.Sets[0], Matrix: segments[xyzZoom]}
	_, zoomOK := parseNumber(segments[xyzZoom])
	if !zoomOK {
		return Tile{}, plainFault(http.StatusBadRequest, "the zoom level is not a whole number")
	}
	row, extension, _ := strings.Cut(segments[xyzRow], ".")
	row, tile.DoubleSize = strings.CutSuffix(row, doubleSizeSuffix)
	var colOK, rowOK bool
	tile.Col, colOK = parseNumber(segments[xyzCol])
	tile.Row, rowOK = parseNumber(row)
	if !colOK || !rowOK {
		return Tile{}, plainFault(http.StatusBadRequest, "column and row are not whole numbers")
	}
	tile.Format = formatName(extension)
	if tile.Format == "" || !slices.Contains(l.Formats, tile.Format) {
		text := fmt.Sprintf("the layer has no format %.20q", extension)
		return Tile{}, plainFault(http.StatusNotFound, text)
	}
	if tile.DoubleSize && !l.Retina {
		return Tile{}, plainFault(http.StatusNotFound, "the layer has no tiles of twice the size")
	}
	return tile, nil
}

// setXYZQuery sets a tile's style and dimensions from the query of an XYZ path.
func (l *Layer) setXYZQuery(tile *Tile, query string) *Fault {
	values, fault := parseQuery(query)
	if fault != nil {
		return fault
	}
	style := values["style"]
	if style != "" && style != defaultName {
		if !slices.Contains(l.Styles, style) {
			return plainFault(http.StatusNotFound, fmt.Sprintf("the layer has no style %.40q", style))
		}
		tile.Style = style
	}
	return l.setDimensionsFromQuery(tile, values)
}
