package operatorconfig

import (
	"slices"
	"strings"

	"bendtrestle/internal/tiles"
)

const (
	googleZoomLevels = 25      // of the built-in tile matrix set
	maxMatrixTiles   = 1 << 30 // in the width or height of a matrix

	// Bounds of layers, in degrees.
	maxLongitude = 180
	maxLatitude  = 85.06 // beyond it Web Mercator has no tiles
)

// reservedLayerNames are other paths of the tile front end.
var reservedLayerNames = []string{"wmts", "health"}

func (f *File) checkTiles(teamKey func(string) string, team Team) {
	if team.Tiles == nil {
		return
	}
	key := keyIn("%s", teamKey("tiles"))
	if team.Listen == "" {
		f.toml.Fault(teamKey("listen"), "missing; a team with tiles needs an address of its own")
	}
	// Requests that match a tenant or prefix use another protocol, and their keys are not those of tiles.
	if team.Tenant != "" || team.Prefix != "" {
		f.toml.Fault(teamKey("tenant"), "tile requests are matched by their listener only; omit tenant and prefix")
	}
	hasTileType := func(t Type) bool { return t.Name == team.Tiles.Type }
	if team.Tiles.Type != "" && !slices.ContainsFunc(team.Types, hasTileType) {
		f.toml.Want(key("type"), team.Tiles.Type, "a traffic type of the team")
	}
	if strings.ContainsAny(team.Tiles.WaitHeader, " :\r\n") {
		f.toml.Want(key("wait_header"), team.Tiles.WaitHeader, "a header's name")
	}
	zoomLevels := f.checkSets(key, team.Tiles.Sets)
	if len(team.Tiles.Layers) == 0 {
		f.toml.Fault(key("layer"), "missing; tiles need at least one [[team.tiles.layer]]")
	}
	names := map[string]bool{}
	for i, layer := range team.Tiles.Layers {
		layerKey := keyIn("%s.%d", key("layer"), i)
		f.checkTileName(layerKey("name"), layer.Name)
		if names[layer.Name] || slices.Contains(reservedLayerNames, layer.Name) {
			f.toml.Fault(layerKey("name"), "duplicate or reserved name %q", layer.Name)
		}
		names[layer.Name] = true
		f.checkLayer(layerKey, layer, zoomLevels)
	}
}

// checkSets checks the tile matrix sets, and returns the number of zoom levels of each set, by name.
func (f *File) checkSets(tilesKey func(string) string, sets []Set) map[string]int {
	zoomLevels := map[string]int{tiles.Google: googleZoomLevels}
	for i, set := range sets {
		key := keyIn("%s.%d", tilesKey("set"), i)
		f.checkTileName(key("name"), set.Name)
		_, duplicate := zoomLevels[set.Name]
		if duplicate || set.Name == tiles.GoogleDoubleSize {
			f.toml.Fault(key("name"), "duplicate name %q", set.Name)
		}
		zoomLevels[set.Name] = len(set.Matrices)
		if set.CRS == "" || len(set.Matrices) == 0 {
			f.toml.Fault(key("crs"), "a set needs crs and at least one [[team.tiles.set.matrix]]")
		}
		for j, matrix := range set.Matrices {
			f.checkMatrix(keyIn("%s.%d", key("matrix"), j), matrix)
		}
	}
	return zoomLevels
}

func (f *File) checkMatrix(key func(string) string, m Matrix) {
	f.checkTileName(key("name"), m.Name)
	isEmpty := !(m.Scale > 0) || m.Width < 1 || m.Height < 1 || m.Side < 1
	if isEmpty || m.Width > maxMatrixTiles || m.Height > maxMatrixTiles {
		f.toml.Fault(key("name"), "scale, width, height and side must be above 0, and width and height at most 1073741824")
	}
}

func (f *File) checkLayer(key func(string) string, layer Layer, zoomLevels map[string]int) {
	for _, format := range layer.Formats {
		if _, known := tiles.MediaTypes[format]; !known {
			f.toml.Want(key("formats"), format, "one of png, jpg, webp, pbf")
		}
	}
	for _, style := range layer.Styles {
		f.checkTileName(key("styles"), style)
	}
	f.checkZoom(key, layer, zoomLevels)
	if len(layer.Bounds) > 0 && !validBounds(layer.Bounds) {
		f.toml.Want(key("bounds"), layer.Bounds, "west, south, east, north in degrees")
	}
	for i, dimension := range layer.Dimensions {
		name := keyIn("%s.%d", key("dimension"), i)("name")
		f.checkTileName(name, dimension.Name)
		if len(dimension.Values) == 0 {
			f.toml.Fault(name, "a dimension needs at least one value")
		}
		for _, value := range dimension.Values {
			f.checkTileName(name, value)
		}
	}
}

// checkZoom checks that each tile matrix set of a layer has the layer's zoom levels.
func (f *File) checkZoom(key func(string) string, layer Layer, zoomLevels map[string]int) {
	levels := googleZoomLevels
	for _, set := range layer.Sets {
		ofSet, known := zoomLevels[set]
		if !known {
			f.toml.Fault(key("sets"), "%q is not the name of a set; %s is built in", set, tiles.Google)
		}
		levels = min(levels, ofSet)
	}
	deepest := layer.maxZoom()
	if layer.MinZoom < 0 || deepest < layer.MinZoom || deepest >= levels {
		f.toml.Fault(key("max_zoom"), "the zoom levels %d to %d are not between 0 and %d, the levels of all its sets",
			layer.MinZoom, deepest, levels-1)
	}
}

func validBounds(bounds []float64) bool {
	if len(bounds) != 4 {
		return false
	}
	west, south, east, north := bounds[0], bounds[1], bounds[2], bounds[3]
	outside := west < -maxLongitude || east > maxLongitude || south < -maxLatitude || north > maxLatitude
	return !(west >= east || south >= north || outside)
}

// checkTileName checks a name that is used in the paths of tiles.
func (f *File) checkTileName(key, text string) {
	if !tiles.ValidName(text) {
		f.toml.Want(key, text, "up to 40 letters, digits, dots, colons, dashes and underscores")
	}
}
