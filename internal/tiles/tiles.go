// Package tiles knows the addresses of map tiles: XYZ paths, and WMTS 1.0.0 by key-value pairs and by RESTful paths. The same
// tile has one key, whichever way it is asked for. It does no I/O.
package tiles

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Service is the layers that a front offers.
type Service struct {
	Title  string
	Layers []*Layer
	Sets   []*Set
}

// Layer is one map.
type Layer struct {
	Name, Title string
	Formats     []string // png, jpg, webp, pbf; the first is the usual one
	Styles      []string // the first is the usual one
	Sets        []string // matrix sets; the first is the one that XYZ paths mean
	MinZoom     int      // by the matrices' numbers in their set
	MaxZoom     int
	Bounds      []float64 // west, south, east, north in degrees; none: the whole world
	Retina      bool      // tiles of twice the size are there, too
	Dimensions  []Dimension
}

// Dimension is a further choice, such as a time.
type Dimension struct {
	Name   string
	Values []string // the first is the usual one
}

// Set is a tile matrix set.
type Set struct {
	Name, CRS string
	Matrices  []Matrix
	degrees   bool // bounds of layers can be turned into limits: it is Web Mercator
	twice     bool // it stands for another's tiles of twice the size
}

// Matrix is one zoom level.
type Matrix struct {
	Name          string
	Scale         float64 // denominator
	Left, Top     float64
	Width, Height int // in tiles
	Side          int // of a tile, in pixels
}

// Tile is one tile.
type Tile struct {
	Layer, Style, Set, Matrix, Format string
	Col, Row                          int
	Twice                             bool     // of twice the size
	Dims                              []string // names and values, in the layer's order
}

// Google is the set that XYZ paths mean, by its name in the standard; GoogleTwice its tiles of twice the size.
const (
	Google      = "GoogleMapsCompatible"
	GoogleTwice = "GoogleMapsCompatible-2x"
	zooms       = 25
	origin      = 20037508.3427892
	topScale    = 559082264.0287178
)

func google(name string, side int, scale float64) *Set {
	s := &Set{Name: name, CRS: "urn:ogc:def:crs:EPSG::3857", degrees: true, twice: side > 256}
	for z := range zooms {
		s.Matrices = append(s.Matrices, Matrix{Name: strconv.Itoa(z), Scale: scale / math.Exp2(float64(z)), Left: -origin, Top: origin,
			Width: 1 << z, Height: 1 << z, Side: side})
	}
	return s
}

// New makes a service of layers and of matrix sets beyond the two that are always there.
func New(title string, layers []*Layer, more []*Set) *Service {
	return &Service{Title: title, Layers: layers,
		Sets: append([]*Set{google(Google, 256, topScale), google(GoogleTwice, 512, topScale/2)}, more...)}
}

// Layer gives a layer by name, nil if there is none.
func (s *Service) Layer(name string) *Layer {
	if i := slices.IndexFunc(s.Layers, func(l *Layer) bool { return l.Name == name }); i >= 0 {
		return s.Layers[i]
	}
	return nil
}

// Set gives a matrix set by name, nil if there is none.
func (s *Service) Set(name string) *Set {
	if i := slices.IndexFunc(s.Sets, func(x *Set) bool { return x.Name == name }); i >= 0 {
		return s.Sets[i]
	}
	return nil
}

// sets are the names of all sets in which a layer's tiles may be asked for.
func (l *Layer) sets() []string {
	if l.Retina && slices.Contains(l.Sets, Google) {
		return append(slices.Clone(l.Sets), GoogleTwice)
	}
	return l.Sets
}

// limits gives the columns and rows of a matrix that a layer has, the first and the last.
func (l *Layer) limits(s *Set, m *Matrix) (col0, col1, row0, row1 int) {
	if !s.degrees || len(l.Bounds) != 4 {
		return 0, m.Width - 1, 0, m.Height - 1
	}
	x := func(lon float64) int { return int(math.Floor((lon + 180) / 360 * float64(m.Width))) }
	y := func(lat float64) int {
		r := lat * math.Pi / 180
		return int(math.Floor((1 - math.Log(math.Tan(r)+1/math.Cos(r))/math.Pi) / 2 * float64(m.Height)))
	}
	within := func(n, most int) int { return min(max(n, 0), most-1) }
	return within(x(l.Bounds[0]), m.Width), within(x(l.Bounds[2]), m.Width), within(y(l.Bounds[3]), m.Height), within(y(l.Bounds[1]), m.Height)
}

// Types are the formats' media types.
var Types = map[string]string{"png": "image/png", "jpg": "image/jpeg", "webp": "image/webp", "pbf": "application/vnd.mapbox-vector-tile"}

// format gives a format's name by its extension or media type; empty if it is none.
func format(text string) string {
	text = strings.ToLower(text)
	if text == "jpeg" {
		return "jpg"
	}
	if _, known := Types[text]; known {
		return text
	}
	for name, media := range Types {
		if media == text {
			return name
		}
	}
	return ""
}

// Key is a tile's name, the same under every scheme: layer/style/set/matrix/col/row, @2x, format, dimensions. It holds no
// space, so that it can be a key of any protocol.
func (t Tile) Key() string {
	twice, dims := "", ""
	if t.Twice {
		twice = "@2x"
	}
	if len(t.Dims) > 0 {
		dims = "?" + strings.Join(t.Dims, "&")
	}
	return fmt.Sprintf("%s/%s/%s/%s/%d/%d%s.%s%s", t.Layer, t.Style, t.Set, t.Matrix, t.Col, t.Row, twice, t.Format, dims)
}

// Named reads a key back.
func Named(key string) (t Tile, ok bool) {
	key, dims, has := strings.Cut(key, "?")
	if has {
		t.Dims = strings.Split(dims, "&")
	}
	parts := strings.Split(key, "/")
	if len(parts) != 6 {
		return t, false
	}
	last, ext, found := strings.Cut(parts[5], ".")
	if !found {
		return t, false
	}
	last, t.Twice = strings.CutSuffix(last, "@2x")
	col, err1 := strconv.Atoi(parts[4])
	row, err2 := strconv.Atoi(last)
	t.Layer, t.Style, t.Set, t.Matrix, t.Col, t.Row, t.Format = parts[0], parts[1], parts[2], parts[3], col, row, ext
	return t, err1 == nil && err2 == nil
}

// Word tells whether a text may name a layer, a style, a set or a value: it then needs no escape anywhere.
func Word(text string) bool {
	if text == "" || len(text) > 40 || text == "." || text == ".." {
		return false
	}
	for _, b := range []byte(text) {
		if !('a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || b == '-' || b == '_' || b == '.' || b == ':') {
			return false
		}
	}
	return true
}
