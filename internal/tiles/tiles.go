package tiles

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Service is a tile service: the layers that a frontend offers and their matrix sets.
type Service struct {
	Title  string
	Layers []*Layer
	Sets   []*Set
}

// Layer is one map.
type Layer struct {
	Name, Title string
	Formats     []string // png, jpg, webp, pbf; the first is the default
	Styles      []string // the first is the default
	Sets        []string // matrix sets; XYZ paths refer to the first
	MinZoom     int      // index of the matrix in its set, as MaxZoom
	MaxZoom     int
	Bounds      []float64 // west, south, east, north in degrees; empty: the whole world
	Retina      bool      // double-size tiles are available, too
	Dimensions  []Dimension
}

// Dimension is a further parameter of a layer's tiles, such as the time.
type Dimension struct {
	Name   string
	Values []string // the first is the default
}

// Set is a tile matrix set.
type Set struct {
	Name, CRS   string
	Matrices    []Matrix
	webMercator bool // the matrices are Web Mercator: a layer's bounds can be converted to limits
}

// Matrix is one zoom level.
type Matrix struct {
	Name          string
	Scale         float64 // scale denominator
	Left, Top     float64 // of the top left corner, in units of the set's CRS
	Width, Height int     // in tiles
	TileSize      int     // in pixels
}

// Tile identifies one tile.
type Tile struct {
	Layer, Style, Set, Matrix, Format string
	Col, Row                          int
	DoubleSize                        bool
	DimensionValues                   []string // name=value, in the layer's order
}

// Google is the standard's name of the Web Mercator matrix set, which XYZ paths refer to. GoogleDoubleSize is the set
// of its double-size tiles.
const (
	Google           = "GoogleMapsCompatible"
	GoogleDoubleSize = "GoogleMapsCompatible-2x"
)

const (
	webMercatorZooms  = 25                // zoom levels of the Google sets
	webMercatorOrigin = 20037508.3427892  // metres from the centre to an edge
	topScale          = 559082264.0287178 // scale denominator of zoom level 0
	tileSide          = 256               // pixels
	boundsLength      = 4                 // west, south, east, north
)

const defaultName = "default" // the standard's name of the default style or value

// googleSet returns a Web Mercator set of square tiles; side is their width and height in pixels, scale the scale
// denominator of zoom level 0.
func googleSet(name string, side int, scale float64) *Set {
	set := &Set{Name: name, CRS: "urn:ogc:def:crs:EPSG::3857", webMercator: true}
	for zoom := range webMercatorZooms {
		set.Matrices = append(set.Matrices, Matrix{
			Name:     strconv.Itoa(zoom),
			Scale:    scale / math.Exp2(float64(zoom)),
			Left:     -webMercatorOrigin,
			Top:      webMercatorOrigin,
			Width:    1 << zoom,
			Height:   1 << zoom,
			TileSize: side,
		})
	}
	return set
}

// New returns a service with layers, the two Google sets and more matrix sets.
func New(title string, layers []*Layer, more []*Set) *Service {
	sets := []*Set{
		googleSet(Google, tileSide, topScale),
		googleSet(GoogleDoubleSize, 2*tileSide, topScale/2),
	}
	return &Service{Title: title, Layers: layers, Sets: append(sets, more...)}
}

// Layer returns the layer with a name, or nil if there is none.
func (s *Service) Layer(name string) *Layer {
	i := slices.IndexFunc(s.Layers, func(layer *Layer) bool { return layer.Name == name })
	if i < 0 {
		return nil
	}
	return s.Layers[i]
}

// Set returns the matrix set with a name, or nil if there is none.
func (s *Service) Set(name string) *Set {
	i := slices.IndexFunc(s.Sets, func(set *Set) bool { return set.Name == name })
	if i < 0 {
		return nil
	}
	return s.Sets[i]
}

// matrixSets returns the names of all sets in which a layer's tiles may be requested.
func (l *Layer) matrixSets() []string {
	if l.Retina && slices.Contains(l.Sets, Google) {
		return append(slices.Clone(l.Sets), GoogleDoubleSize)
	}
	return l.Sets
}

// tileLimits are the first and the last columns and rows of a matrix that a layer has, both included.
type tileLimits struct {
	firstCol, lastCol int
	firstRow, lastRow int
}

// limits returns the range of a matrix's tiles that a layer's bounds cover.
func (l *Layer) limits(set *Set, matrix *Matrix) tileLimits {
	if !set.webMercator || len(l.Bounds) != boundsLength {
		return tileLimits{lastCol: matrix.Width - 1, lastRow: matrix.Height - 1}
	}
	west, south, east, north := l.Bounds[0], l.Bounds[1], l.Bounds[2], l.Bounds[3]
	return tileLimits{
		firstCol: matrix.column(west),
		lastCol:  matrix.column(east),
		firstRow: matrix.row(north),
		lastRow:  matrix.row(south),
	}
}

// column returns the column of a longitude in degrees, in a matrix of Web Mercator.
func (m *Matrix) column(longitude float64) int {
	column := int(math.Floor((longitude + 180) / 360 * float64(m.Width)))
	return min(max(column, 0), m.Width-1)
}

// row returns the row of a latitude in degrees, in a matrix of Web Mercator.
func (m *Matrix) row(latitude float64) int {
	radians := latitude * math.Pi / 180
	row := int(math.Floor((1 - math.Log(math.Tan(radians)+1/math.Cos(radians))/math.Pi) / 2 * float64(m.Height)))
	return min(max(row, 0), m.Height-1)
}

// MediaTypes are the formats' media types.
var MediaTypes = map[string]string{
	"png":  "image/png",
	"jpg":  "image/jpeg",
	"webp": "image/webp",
	"pbf":  "application/vnd.mapbox-vector-tile",
}

// formatName returns the name of the format with an extension or media type, or an empty string if there is none.
func formatName(text string) string {
	text = strings.ToLower(text)
	if text == "jpeg" {
		return "jpg"
	}
	_, known := MediaTypes[text]
	if known {
		return text
	}
	for name, mediaType := range MediaTypes {
		if mediaType == text {
			return name
		}
	}
	return ""
}
