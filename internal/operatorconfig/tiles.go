package operatorconfig

import (
	"fmt"
	"slices"
	"strings"

	"bendtrestle/internal/tiles"
)

// Tiles makes a team's listener speak HTTP to clients that ask for map tiles.
type Tiles struct {
	Title      string  `toml:"title"`
	Type       string  `toml:"type"`        // the traffic type of its tiles; the team's first if left out
	WaitHeader string  `toml:"wait_header"` // by which a client says how many milliseconds it waits
	Layers     []Layer `toml:"layer"`
	Sets       []Set   `toml:"set"`
}

// Layer is one map.
type Layer struct {
	Name       string      `toml:"name"`
	Title      string      `toml:"title"`
	Formats    []string    `toml:"formats"`
	Styles     []string    `toml:"styles"`
	Sets       []string    `toml:"sets"`
	MinZoom    int         `toml:"min_zoom"`
	MaxZoom    *int        `toml:"max_zoom"`
	Bounds     []float64   `toml:"bounds"` // west, south, east, north in degrees
	Retina     bool        `toml:"retina"`
	Dimensions []Dimension `toml:"dimension"`
}

// Dimension is a further choice.
type Dimension struct {
	Name   string   `toml:"name"`
	Values []string `toml:"values"`
}

// Set is a tile matrix set beyond Web Mercator's.
type Set struct {
	Name     string   `toml:"name"`
	CRS      string   `toml:"crs"`
	Matrices []Matrix `toml:"matrix"`
}

// Matrix is one of its zoom levels.
type Matrix struct {
	Name   string  `toml:"name"`
	Scale  float64 `toml:"scale"` // denominator
	Left   float64 `toml:"left"`
	Top    float64 `toml:"top"`
	Width  int     `toml:"width"` // in tiles
	Height int     `toml:"height"`
	Side   int     `toml:"side"` // pixels of a tile
}

const usualZoom = 18 // as deep as most maps go

func (f *File) checkTiles(team string, t Team) {
	if t.Tiles == nil {
		return
	}
	key := func(k string) string { return team + ".tiles." + k }
	if t.Listen == "" {
		f.from.Fault(team+".listen", "missing: tiles need an address of their own")
	}
	if t.Tenant != "" || t.Prefix != "" { // what comes by these has another protocol, and no tile's key
		f.from.Fault(team+".tenant", "tiles are known by their listener alone: tenant and prefix must be left out")
	}
	if t.Tiles.Type != "" && !slices.ContainsFunc(t.Types, func(k Type) bool { return k.Name == t.Tiles.Type }) {
		f.from.Fault(key("type"), "%q is not a traffic type of the team", t.Tiles.Type)
	}
	if strings.ContainsAny(t.Tiles.WaitHeader, " :\r\n") {
		f.from.Fault(key("wait_header"), "%q is not a header's name", t.Tiles.WaitHeader)
	}
	sets := map[string]int{tiles.Google: 25}
	for i, s := range t.Tiles.Sets {
		key := func(k string) string { return fmt.Sprintf("%s.tiles.set.%d.%s", team, i, k) }
		f.tileWord(key("name"), s.Name)
		if _, twice := sets[s.Name]; twice || s.Name == tiles.GoogleTwice {
			f.from.Fault(key("name"), "%q is there twice", s.Name)
		}
		sets[s.Name] = len(s.Matrices)
		if s.CRS == "" || len(s.Matrices) == 0 {
			f.from.Fault(key("crs"), "a set needs crs and at least one [[team.tiles.set.matrix]]")
		}
		for j, m := range s.Matrices {
			at := fmt.Sprintf("%s.tiles.set.%d.matrix.%d.name", team, i, j)
			f.tileWord(at, m.Name)
			if !(m.Scale > 0) || m.Width < 1 || m.Height < 1 || m.Side < 1 || m.Width > 1<<30 || m.Height > 1<<30 {
				f.from.Fault(at, "scale, width, height and side must be above 0")
			}
		}
	}
	if len(t.Tiles.Layers) == 0 {
		f.from.Fault(key("layer"), "none: tiles need at least one [[team.tiles.layer]]")
	}
	seen := map[string]bool{}
	for i, l := range t.Tiles.Layers {
		f.checkLayer(fmt.Sprintf("%s.tiles.layer.%d", team, i), l, sets, seen)
	}
}

func (f *File) checkLayer(at string, l Layer, sets map[string]int, seen map[string]bool) {
	f.tileWord(at+".name", l.Name)
	if seen[l.Name] || l.Name == "wmts" || l.Name == "health" {
		f.from.Fault(at+".name", "%q is there twice, or is the name of something else", l.Name)
	}
	seen[l.Name] = true
	for _, x := range l.Formats {
		if _, known := tiles.Types[x]; !known {
			f.from.Fault(at+".formats", "%q is not one of png, jpg, webp, pbf", x)
		}
	}
	for _, x := range l.Styles {
		f.tileWord(at+".styles", x)
	}
	most := 25
	for _, x := range l.Sets {
		n, known := sets[x]
		if !known {
			f.from.Fault(at+".sets", "%q is not a set; %s is always there", x, tiles.Google)
		}
		most = min(most, n)
	}
	if top := l.zoom(); l.MinZoom < 0 || top < l.MinZoom || top >= most {
		f.from.Fault(at+".max_zoom", "the zoom levels %d to %d are not between 0 and %d, as its sets have them", l.MinZoom, top, most-1)
	}
	if b := l.Bounds; len(b) != 0 && (len(b) != 4 || b[0] >= b[2] || b[1] >= b[3] || b[0] < -180 || b[2] > 180 || b[1] < -85.06 || b[3] > 85.06) {
		f.from.Fault(at+".bounds", "%v is not west, south, east, north in degrees", b)
	}
	for j, d := range l.Dimensions {
		key := fmt.Sprintf("%s.dimension.%d.name", at, j)
		f.tileWord(key, d.Name)
		if len(d.Values) == 0 {
			f.from.Fault(key, "a dimension needs at least one value")
		}
		for _, v := range d.Values {
			f.tileWord(key, v)
		}
	}
}

func (f *File) tileWord(key, text string) {
	if !tiles.Word(text) {
		f.from.Fault(key, "%q is not up to 40 letters, digits, dots, colons, dashes and underscores", text)
	}
}

// zoom is the deepest zoom level.
func (l Layer) zoom() int {
	if l.MaxZoom != nil {
		return *l.MaxZoom
	}
	return usualZoom
}

// Service gives the tiles as their front takes them.
func (t *Tiles) Service() *tiles.Service {
	orElse := func(all []string, usual string) []string {
		if len(all) == 0 {
			return []string{usual}
		}
		return all
	}
	var layers []*tiles.Layer
	for _, l := range t.Layers {
		layer := &tiles.Layer{Name: l.Name, Title: l.Title, Formats: orElse(l.Formats, "png"), Styles: orElse(l.Styles, "default"),
			Sets: orElse(l.Sets, tiles.Google), MinZoom: l.MinZoom, MaxZoom: l.zoom(), Bounds: l.Bounds, Retina: l.Retina}
		for _, d := range l.Dimensions {
			layer.Dimensions = append(layer.Dimensions, tiles.Dimension{Name: d.Name, Values: d.Values})
		}
		layers = append(layers, layer)
	}
	var sets []*tiles.Set
	for _, s := range t.Sets {
		set := &tiles.Set{Name: s.Name, CRS: s.CRS}
		for _, m := range s.Matrices {
			set.Matrices = append(set.Matrices, tiles.Matrix{Name: m.Name, Scale: m.Scale, Left: m.Left, Top: m.Top, Width: m.Width,
				Height: m.Height, Side: m.Side})
		}
		sets = append(sets, set)
	}
	return tiles.New(t.Title, layers, sets)
}

// kind is the traffic type of a team's tiles.
func (t Team) kind() string {
	if t.Tiles.Type != "" || len(t.Types) == 0 {
		return t.Tiles.Type
	}
	return t.Types[0].Name
}

// TileFront is a team's tile service.
type TileFront struct {
	Listen, Kind, WaitHeader string
	Service                  *tiles.Service
}

// TileFronts gives all of them.
func (f *File) TileFronts() (all []TileFront) {
	for _, t := range f.Teams {
		if t.Tiles != nil {
			all = append(all, TileFront{Listen: t.Listen, Kind: t.kind(), WaitHeader: t.Tiles.WaitHeader, Service: t.Tiles.Service()})
		}
	}
	return all
}
