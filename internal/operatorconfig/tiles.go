package operatorconfig

import "bendtrestle/internal/tiles"

// Tiles makes a team's listener serve map tiles over HTTP.
type Tiles struct {
	Title      string  `toml:"title"`
	Type       string  `toml:"type"`        // the traffic type of its tiles; default: the team's first
	WaitHeader string  `toml:"wait_header"` // request header with the time in milliseconds that the client waits
	Layers     []Layer `toml:"layer"`
	Sets       []Set   `toml:"set"`
}

// Layer is a map layer.
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

// Dimension is a further parameter of a layer's tiles, with its allowed values.
type Dimension struct {
	Name   string   `toml:"name"`
	Values []string `toml:"values"`
}

// Set is a tile matrix set in addition to the built-in one for Web Mercator.
type Set struct {
	Name     string   `toml:"name"`
	CRS      string   `toml:"crs"`
	Matrices []Matrix `toml:"matrix"`
}

// Matrix is one zoom level of a Set.
type Matrix struct {
	Name   string  `toml:"name"`
	Scale  float64 `toml:"scale"` // scale denominator
	Left   float64 `toml:"left"`
	Top    float64 `toml:"top"`
	Width  int     `toml:"width"` // in tiles
	Height int     `toml:"height"`
	Side   int     `toml:"side"` // pixels of a tile
}

// defaultMaxZoom is the deepest zoom level of most maps.
const defaultMaxZoom = 18

// maxZoom returns the layer's deepest zoom level.
func (l Layer) maxZoom() int {
	if l.MaxZoom != nil {
		return *l.MaxZoom
	}
	return defaultMaxZoom
}

// TileFront is a team's tile service.
type TileFront struct {
	Listen       string
	TrafficClass string // traffic class of its tiles
	WaitHeader   string // request header with the time in milliseconds that the client waits; empty: none
	Service      *tiles.Service
}

// TileFronts returns the tile services of all teams.
func (f *File) TileFronts() (all []TileFront) {
	for _, team := range f.Teams {
		if team.Tiles == nil {
			continue
		}
		all = append(all, TileFront{
			Listen:       team.Listen,
			TrafficClass: team.tileTrafficClass(),
			WaitHeader:   team.Tiles.WaitHeader,
			Service:      team.Tiles.Service(),
		})
	}
	return all
}

// tileTrafficClass returns the name of the traffic class of the team's tiles.
func (t Team) tileTrafficClass() string {
	if t.Tiles.Type != "" || len(t.Types) == 0 {
		return t.Tiles.Type
	}
	return t.Types[0].Name
}

// Service returns the tile service in the form that the tile front end uses.
func (t *Tiles) Service() *tiles.Service {
	var layers []*tiles.Layer
	for _, layer := range t.Layers {
		layers = append(layers, layer.tileLayer())
	}
	var sets []*tiles.Set
	for _, set := range t.Sets {
		sets = append(sets, set.tileSet())
	}
	return tiles.New(t.Title, layers, sets)
}

func (l Layer) tileLayer() *tiles.Layer {
	layer := &tiles.Layer{
		Name:    l.Name,
		Title:   l.Title,
		Formats: orDefault(l.Formats, "png"),
		Styles:  orDefault(l.Styles, "default"),
		Sets:    orDefault(l.Sets, tiles.Google),
		MinZoom: l.MinZoom,
		MaxZoom: l.maxZoom(),
		Bounds:  l.Bounds,
		Retina:  l.Retina,
	}
	for _, dimension := range l.Dimensions {
		layer.Dimensions = append(layer.Dimensions, tiles.Dimension{Name: dimension.Name, Values: dimension.Values})
	}
	return layer
}

func orDefault(names []string, defaultName string) []string {
	if len(names) == 0 {
		return []string{defaultName}
	}
	return names
}

func (s Set) tileSet() *tiles.Set {
	set := &tiles.Set{Name: s.Name, CRS: s.CRS}
	for _, matrix := range s.Matrices {
		set.Matrices = append(set.Matrices, tiles.Matrix{
			Name:     matrix.Name,
			Scale:    matrix.Scale,
			Left:     matrix.Left,
			Top:      matrix.Top,
			Width:    matrix.Width,
			Height:   matrix.Height,
			TileSize: matrix.Side,
		})
	}
	return set
}
