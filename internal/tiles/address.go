package tiles

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Fault is what is wrong with an address, in the standard's words.
type Fault struct {
	Status  int
	Code    string // of the standard's exceptions
	Locator string // the parameter at fault
	Text    string
	Report  bool // it is told by an exception report, as WMTS wants it; else in plain text
}

func (f *Fault) Error() string { return f.Text }

// The standard's exception codes.
const (
	Missing      = "MissingParameterValue"
	Invalid      = "InvalidParameterValue"
	OutOfRange   = "TileOutOfRange"
	NotSupported = "OperationNotSupported"
	NotApplied   = "NoApplicableCode"
)

// Asked is what an address asks for: a tile, or the service's description.
type Asked struct {
	Tile         Tile
	Capabilities bool
}

// The paths of WMTS.
const (
	wmtsPath = "/wmts"
	restPath = "/wmts/1.0.0/"
	restDoc  = "/wmts/1.0.0/WMTSCapabilities.xml"
)

// Parse reads a request's target.
func (s *Service) Parse(target string) (Asked, *Fault) {
	path, query, _ := strings.Cut(target, "?")
	switch {
	case path == wmtsPath || path == wmtsPath+"/":
		return s.pairs(query)
	case path == restDoc:
		return Asked{Capabilities: true}, nil
	case strings.HasPrefix(path, restPath):
		return s.rest(path[len(restPath):])
	}
	return s.xyz(path, query)
}

// segments cuts a path at its slashes and undoes the escapes of each part.
func segments(path string) ([]string, *Fault) {
	parts := strings.Split(path, "/")
	for i, p := range parts {
		text, err := url.PathUnescape(p)
		if err != nil {
			return nil, &Fault{Status: 400, Code: Invalid, Text: "an escape in the path cannot be read"}
		}
		parts[i] = text
	}
	return parts, nil
}

// number reads a whole number as the schemes write it: digits alone, and none that lead for nothing.
func number(text string) (int, bool) {
	if len(text) == 0 || len(text) > 9 || len(text) > 1 && text[0] == '0' {
		return 0, false
	}
	for _, b := range []byte(text) {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	n, _ := strconv.Atoi(text)
	return n, true
}

// xyz reads /{layer}/{z}/{x}/{y}.{format} and /{layer}/{z}/{x}/{y}@2x.{format}; dimensions are in the query.
func (s *Service) xyz(path, query string) (Asked, *Fault) {
	parts, fault := segments(strings.TrimPrefix(path, "/"))
	if fault != nil {
		return Asked{}, fault
	}
	if len(parts) != 4 {
		return Asked{}, &Fault{Status: 404, Text: "no tile has such an address: /{layer}/{z}/{x}/{y}.{format}"}
	}
	l := s.Layer(parts[0])
	if l == nil {
		return Asked{}, &Fault{Status: 404, Text: fmt.Sprintf("there is no layer %.40q", parts[0])}
	}
	t := Tile{Layer: l.Name, Style: l.Styles[0], Set: l.Sets[0], Matrix: parts[1]}
	if _, ok := number(parts[1]); !ok {
		return Asked{}, &Fault{Status: 400, Text: "the zoom level is not a whole number"}
	}
	last, ext, _ := strings.Cut(parts[3], ".")
	last, t.Twice = strings.CutSuffix(last, "@2x")
	var ok, ok2 bool
	t.Col, ok = number(parts[2])
	if t.Row, ok2 = number(last); !ok || !ok2 {
		return Asked{}, &Fault{Status: 400, Text: "column and row are not whole numbers"}
	}
	if t.Format = format(ext); t.Format == "" || !slices.Contains(l.Formats, t.Format) {
		return Asked{}, &Fault{Status: 404, Text: fmt.Sprintf("the layer has no format %.20q", ext)}
	}
	if t.Twice && !l.Retina {
		return Asked{}, &Fault{Status: 404, Text: "the layer has no tiles of twice the size"}
	}
	if fault := s.place(l, &t); fault != nil {
		fault.Status, fault.Report = 404, false
		return Asked{}, fault
	}
	values, fault := read(query)
	if fault != nil {
		fault.Report = false
		return Asked{}, fault
	}
	if style := values["style"]; style != "" && style != "default" {
		if t.Style = style; !slices.Contains(l.Styles, style) {
			return Asked{}, &Fault{Status: 404, Text: fmt.Sprintf("the layer has no style %.40q", style)}
		}
	}
	if fault := l.dimensions(&t, func(name string) string { return values[strings.ToLower(name)] }); fault != nil {
		fault.Report = false
		return Asked{}, fault
	}
	return Asked{Tile: t}, nil
}

// read reads key-value pairs; their names are in any case and any order, and none is there twice.
func read(query string) (map[string]string, *Fault) {
	values := map[string]string{}
	for pair := range strings.SplitSeq(query, "&") {
		if pair == "" {
			continue
		}
		name, value, _ := strings.Cut(pair, "=")
		name, err1 := url.QueryUnescape(name)
		value, err2 := url.QueryUnescape(value)
		name = strings.ToLower(name)
		if _, twice := values[name]; twice || err1 != nil || err2 != nil || len(values) >= 32 {
			return nil, &Fault{Status: 400, Code: Invalid, Locator: clip(name), Text: "a parameter is there twice, cannot be read, or is one too many", Report: true}
		}
		values[name] = value
	}
	return values, nil
}

func clip(text string) string { return text[:min(len(text), 40)] }

// pairs reads WMTS by key-value pairs.
func (s *Service) pairs(query string) (Asked, *Fault) {
	values, fault := read(query)
	if fault != nil {
		return Asked{}, fault
	}
	missing := func(name string) *Fault {
		return &Fault{Status: 400, Code: Missing, Locator: name, Text: name + " is missing", Report: true}
	}
	invalid := func(name string) *Fault {
		return &Fault{Status: 400, Code: Invalid, Locator: name, Text: fmt.Sprintf("%s cannot be %.40q", name, values[strings.ToLower(name)]), Report: true}
	}
	for _, name := range []string{"Service", "Request"} {
		if values[strings.ToLower(name)] == "" {
			return Asked{}, missing(name)
		}
	}
	if !strings.EqualFold(values["service"], "WMTS") {
		return Asked{}, invalid("Service")
	}
	switch values["request"] {
	case "GetCapabilities":
		return Asked{Capabilities: true}, nil
	case "GetTile":
	case "GetFeatureInfo":
		return Asked{}, &Fault{Status: 501, Code: NotSupported, Locator: "Request", Text: "GetFeatureInfo is not offered", Report: true}
	default:
		return Asked{}, &Fault{Status: 501, Code: NotSupported, Locator: "Request", Text: fmt.Sprintf("there is no operation %.40q", values["request"]), Report: true}
	}
	for _, name := range []string{"Version", "Layer", "Style", "Format", "TileMatrixSet", "TileMatrix", "TileRow", "TileCol"} {
		if _, there := values[strings.ToLower(name)]; !there || values[strings.ToLower(name)] == "" && name != "Style" {
			return Asked{}, missing(name)
		}
	}
	if values["version"] != "1.0.0" {
		return Asked{}, invalid("Version")
	}
	l := s.Layer(values["layer"])
	if l == nil {
		return Asked{}, invalid("Layer")
	}
	t := Tile{Layer: l.Name, Style: values["style"], Set: values["tilematrixset"], Matrix: values["tilematrix"], Format: format(values["format"])}
	if t.Style == "" { // the standard's word for the usual one
		t.Style = l.Styles[0]
	}
	if !slices.Contains(l.Styles, t.Style) {
		return Asked{}, invalid("Style")
	}
	if !slices.Contains(l.Formats, t.Format) {
		return Asked{}, invalid("Format")
	}
	var ok bool
	if t.Row, ok = number(values["tilerow"]); !ok {
		return Asked{}, invalid("TileRow")
	}
	if t.Col, ok = number(values["tilecol"]); !ok {
		return Asked{}, invalid("TileCol")
	}
	if fault := s.in(l, &t); fault != nil {
		return Asked{}, fault
	}
	return Asked{Tile: t}, l.dimensions(&t, func(name string) string { return values[strings.ToLower(name)] })
}

// in turns the set of twice the size into its mark, and finds the tile's place.
func (s *Service) in(l *Layer, t *Tile) *Fault {
	if !slices.Contains(l.sets(), t.Set) {
		return &Fault{Status: 400, Code: Invalid, Locator: "TileMatrixSet", Text: fmt.Sprintf("the layer is not in the set %.40q", t.Set), Report: true}
	}
	if t.Set == GoogleTwice {
		t.Set, t.Twice = Google, true
	}
	return s.place(l, t)
}

// place checks that a tile is within its matrix and its layer's limits.
func (s *Service) place(l *Layer, t *Tile) *Fault {
	set := s.Set(t.Set)
	z := slices.IndexFunc(set.Matrices, func(m Matrix) bool { return m.Name == t.Matrix })
	if z < l.MinZoom || z > l.MaxZoom || z < 0 {
		return &Fault{Status: 400, Code: Invalid, Locator: "TileMatrix", Text: fmt.Sprintf("the layer has no zoom level %.20q", t.Matrix), Report: true}
	}
	col0, col1, row0, row1 := l.limits(set, &set.Matrices[z])
	if t.Row < row0 || t.Row > row1 {
		return &Fault{Status: 400, Code: OutOfRange, Locator: "TileRow", Text: fmt.Sprintf("the row is not between %d and %d", row0, row1), Report: true}
	}
	if t.Col < col0 || t.Col > col1 {
		return &Fault{Status: 400, Code: OutOfRange, Locator: "TileCol", Text: fmt.Sprintf("the column is not between %d and %d", col0, col1), Report: true}
	}
	return nil
}

// dimensions takes the values of a layer's further choices; one that is not named is the usual one.
func (l *Layer) dimensions(t *Tile, value func(name string) string) *Fault {
	for _, d := range l.Dimensions {
		v := value(d.Name)
		if v == "" || v == "default" {
			v = d.Values[0]
		}
		if !slices.Contains(d.Values, v) {
			return &Fault{Status: 400, Code: Invalid, Locator: d.Name, Text: fmt.Sprintf("%s cannot be %.40q", d.Name, v), Report: true}
		}
		t.Dims = append(t.Dims, d.Name+"="+v)
	}
	return nil
}

// rest reads {Layer}/{Style}/{dimensions}/{TileMatrixSet}/{TileMatrix}/{TileRow}/{TileCol}.{format}.
func (s *Service) rest(path string) (Asked, *Fault) {
	parts, fault := segments(path)
	if fault != nil {
		fault.Report = true
		return Asked{}, fault
	}
	invalid := func(name, value string) *Fault {
		return &Fault{Status: 400, Code: Invalid, Locator: name, Text: fmt.Sprintf("%s cannot be %.40q", name, value), Report: true}
	}
	l := s.Layer(parts[0])
	if l == nil {
		return Asked{}, invalid("Layer", parts[0])
	}
	n := len(l.Dimensions)
	if len(parts) != 6+n {
		return Asked{}, &Fault{Status: 404, Code: Missing, Locator: "TileCol", Report: true,
			Text: fmt.Sprintf("the path has %d parts behind the version, this layer's tiles have %d", len(parts), 6+n)}
	}
	t := Tile{Layer: l.Name, Style: parts[1], Set: parts[2+n], Matrix: parts[3+n]}
	if !slices.Contains(l.Styles, t.Style) {
		return Asked{}, invalid("Style", t.Style)
	}
	col, ext, _ := strings.Cut(parts[5+n], ".")
	if t.Format = format(ext); !slices.Contains(l.Formats, t.Format) {
		return Asked{}, invalid("Format", ext)
	}
	var ok bool
	if t.Row, ok = number(parts[4+n]); !ok {
		return Asked{}, invalid("TileRow", parts[4+n])
	}
	if t.Col, ok = number(col); !ok {
		return Asked{}, invalid("TileCol", col)
	}
	if fault := s.in(l, &t); fault != nil {
		return Asked{}, fault
	}
	at := 1
	return Asked{Tile: t}, l.dimensions(&t, func(string) string { at++; return parts[at] })
}

// Scheme is how tile servers want to be asked.
type Scheme string

// The schemes.
const (
	XYZ   Scheme = "xyz"
	Pairs Scheme = "wmts-kvp"
	Rest  Scheme = "wmts-rest"
)

// Schemes are all.
var Schemes = []Scheme{XYZ, Pairs, Rest}

// Address writes a tile's target under a scheme. XYZ paths have no words for a style other than the usual one: it is in the
// query, as are the dimensions' values.
func (s Scheme) Address(t Tile) string {
	set := t.Set
	if t.Twice {
		set = GoogleTwice
	}
	switch s {
	case Pairs:
		text := fmt.Sprintf("%s?service=WMTS&request=GetTile&version=1.0.0&layer=%s&style=%s&format=%s&tilematrixset=%s&tilematrix=%s&tilerow=%d&tilecol=%d",
			wmtsPath, url.QueryEscape(t.Layer), url.QueryEscape(t.Style), url.QueryEscape(Types[t.Format]), url.QueryEscape(set),
			url.QueryEscape(t.Matrix), t.Row, t.Col)
		for _, pair := range t.Dims { // words, which need no escape
			text += "&" + pair
		}
		return text
	case Rest:
		parts := []string{t.Layer, t.Style}
		for _, pair := range t.Dims {
			_, v, _ := strings.Cut(pair, "=")
			parts = append(parts, v)
		}
		return fmt.Sprintf("%s%s/%s/%s/%d/%d.%s", restPath, strings.Join(parts, "/"), set, t.Matrix, t.Row, t.Col, t.Format)
	}
	twice := ""
	if t.Twice {
		twice = "@2x"
	}
	text := fmt.Sprintf("/%s/%s/%d/%d%s.%s", t.Layer, t.Matrix, t.Col, t.Row, twice, t.Format)
	if query := append([]string{"style=" + t.Style}, t.Dims...); t.Style != usualStyle || len(t.Dims) > 0 {
		text += "?" + strings.Join(query, "&")
	}
	return text
}

const usualStyle = "default" // the standard's name for a style that needs none
