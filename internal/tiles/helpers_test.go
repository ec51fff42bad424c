package tiles

import "regexp"

// service returns a service with a plain layer, one with all features, and one in a matrix set of its own.
func service() *Service {
	return New("Roads & clinics", []*Layer{
		{Name: "roads", Title: "Roads", Formats: []string{"png", "jpg"}, Styles: []string{"default"},
			Sets: []string{Google}, MaxZoom: 18},
		{Name: "clinics", Title: "Clinics <all>", Formats: []string{"png"},
			Styles: []string{"default", "night"}, Sets: []string{Google, "grid"},
			MinZoom: 1, MaxZoom: 12, Retina: true, Bounds: []float64{88, 21, 90, 27},
			Dimensions: []Dimension{{Name: "Time", Values: []string{"2026", "2025"}}}},
		{Name: "grid", Title: "Grid", Formats: []string{"png"}, Styles: []string{"plain"},
			Sets: []string{"grid"}, MaxZoom: 1},
	}, []*Set{{Name: "grid", CRS: "urn:ogc:def:crs:EPSG::9678", Matrices: []Matrix{
		{Name: "coarse", Scale: 1e6, Left: 0, Top: 1e6, Width: 2, Height: 3, TileSize: 256},
		{Name: "fine", Scale: 5e5, Left: 0, Top: 1e6, Width: 4, Height: 6, TileSize: 256}}}})
}

// parseSummary parses a target and returns the tile's key, "capabilities", or the first digit of the fault's status and
// then the fault's code and locator, or its text if it has no report.
func parseSummary(s *Service, target string) string {
	a, fault := s.Parse(target)
	switch {
	case fault != nil && fault.Report:
		return string(rune('0'+fault.Status/100)) + " " + fault.Code + " " + fault.Locator
	case fault != nil:
		return string(rune('0'+fault.Status/100)) + " " + fault.Text
	case a.Capabilities:
		return "capabilities"
	}
	return a.Tile.Key()
}

// withParameter returns kvpTarget with another value of a parameter.
func withParameter(name, value string) string {
	return regexp.MustCompile("([?&]"+name+")=[^&]*").ReplaceAllString(kvpTarget, "$1="+value)
}

// withoutParameter returns kvpTarget without a parameter.
func withoutParameter(name string) string {
	return regexp.MustCompile("&"+name+"=[^&]*").ReplaceAllString(kvpTarget, "")
}
