package tiles

import (
	"fmt"
	"slices"
	"strings"
)

const wmtsVersion = "1.0.0"

// tileParameters are the parameters that GetTile requires, in the order in which they are checked.
var tileParameters = []string{
	"Version", "Layer", "Style", "Format", "TileMatrixSet", "TileMatrix", "TileRow", "TileCol",
}

// parseKVP parses a WMTS request in the form of key-value pairs.
func (s *Service) parseKVP(query string) (ParsedTarget, *Fault) {
	values, fault := parseQuery(query)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	for _, name := range []string{"Service", "Request"} {
		if values[strings.ToLower(name)] == "" {
			return ParsedTarget{}, missingParameter(name)
		}
	}
	if !strings.EqualFold(values["service"], "WMTS") {
		return ParsedTarget{}, invalidParameter("Service", values["service"])
	}
	operation := values["request"]
	switch operation {
	case "GetCapabilities":
		return ParsedTarget{Capabilities: true}, nil
	case "GetTile":
		return s.parseGetTile(values)
	case "GetFeatureInfo":
		return ParsedTarget{}, unsupportedOperation("GetFeatureInfo is not offered")
	}
	return ParsedTarget{}, unsupportedOperation(fmt.Sprintf("there is no operation %.40q", operation))
}

// parseGetTile parses the parameters of GetTile; the names in values are in lower case.
func (s *Service) parseGetTile(values map[string]string) (ParsedTarget, *Fault) {
	fault := checkTileParameters(values)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	layer := s.Layer(values["layer"])
	if layer == nil {
		return ParsedTarget{}, invalidParameter("Layer", values["layer"])
	}
	tile, fault := layer.parseTileParameters(values)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	fault = s.resolveSet(layer, &tile)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	fault = layer.setDimensionsFromQuery(&tile, values)
	if fault != nil {
		return ParsedTarget{}, fault
	}
	return ParsedTarget{Tile: tile}, nil
}

// checkTileParameters checks that all parameters of GetTile are present and that the version is supported. Only the
// style may be empty.
func checkTileParameters(values map[string]string) *Fault {
	for _, name := range tileParameters {
		value, given := values[strings.ToLower(name)]
		if !given || value == "" && name != "Style" {
			return missingParameter(name)
		}
	}
	if values["version"] != wmtsVersion {
		return invalidParameter("Version", values["version"])
	}
	return nil
}

// parseTileParameters parses a tile of a layer. It does not check the matrix set and the position.
func (l *Layer) parseTileParameters(values map[string]string) (Tile, *Fault) {
	tile := Tile{Layer: l.Name, Style: values["style"], Set: values["tilematrixset"], Matrix: values["tilematrix"]}
	tile.Format = formatName(values["format"])
	if tile.Style == "" { // the default style, by the standard
		tile.Style = l.Styles[0]
	}
	if !slices.Contains(l.Styles, tile.Style) {
		return Tile{}, invalidParameter("Style", values["style"])
	}
	if !slices.Contains(l.Formats, tile.Format) {
		return Tile{}, invalidParameter("Format", values["format"])
	}
	var ok bool
	tile.Row, ok = parseNumber(values["tilerow"])
	if !ok {
		return Tile{}, invalidParameter("TileRow", values["tilerow"])
	}
	tile.Col, ok = parseNumber(values["tilecol"])
	if !ok {
		return Tile{}, invalidParameter("TileCol", values["tilecol"])
	}
	return tile, nil
}
