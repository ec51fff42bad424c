package tiles

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"strings"
)

func escape(text string) string {
	var b bytes.Buffer
	xml.EscapeText(&b, []byte(text)) // into memory: it cannot fail
	return b.String()
}

// XML writes an exception report.
func (f *Fault) XML() []byte {
	locator := ""
	if f.Locator != "" {
		locator = fmt.Sprintf(" locator=%q", escape(f.Locator))
	}
	return fmt.Appendf(nil, `<?xml version="1.0" encoding="UTF-8"?>
<ows:ExceptionReport xmlns:ows="http://www.opengis.net/ows/1.1" version="1.1.0" xml:lang="en">
  <ows:Exception exceptionCode=%q%s>
    <ows:ExceptionText>%s</ows:ExceptionText>
  </ows:Exception>
</ows:ExceptionReport>
`, f.Code, locator, escape(f.Text))
}

// template is the address of a layer's tiles by the standard's placeholders.
func (l *Layer) template(base, ext string) string {
	dims := ""
	for _, d := range l.Dimensions {
		dims += "/{" + d.Name + "}"
	}
	return base + restPath + l.Name + "/{Style}" + dims + "/{TileMatrixSet}/{TileMatrix}/{TileRow}/{TileCol}." + ext
}

// Capabilities writes the service's description; base is its address, such as http://host.
func (s *Service) Capabilities(base string) []byte {
	var b strings.Builder
	say := func(format string, about ...any) { fmt.Fprintf(&b, format+"\n", about...) }
	say(`<?xml version="1.0" encoding="UTF-8"?>`)
	say(`<Capabilities xmlns="http://www.opengis.net/wmts/1.0" xmlns:ows="http://www.opengis.net/ows/1.1" xmlns:xlink="http://www.w3.org/1999/xlink" version="1.0.0">`)
	say(`<ows:ServiceIdentification><ows:Title>%s</ows:Title><ows:ServiceType>OGC WMTS</ows:ServiceType><ows:ServiceTypeVersion>1.0.0</ows:ServiceTypeVersion></ows:ServiceIdentification>`, escape(s.Title))
	say(`<ows:OperationsMetadata>`)
	for _, operation := range []string{"GetCapabilities", "GetTile"} {
		say(`<ows:Operation name=%q><ows:DCP><ows:HTTP>`, operation)
		say(`<ows:Get xlink:href="%s%s?"><ows:Constraint name="GetEncoding"><ows:AllowedValues><ows:Value>KVP</ows:Value></ows:AllowedValues></ows:Constraint></ows:Get>`, escape(base), wmtsPath)
		rest := restPath
		if operation == "GetCapabilities" {
			rest = restDoc
		}
		say(`<ows:Get xlink:href="%s%s"><ows:Constraint name="GetEncoding"><ows:AllowedValues><ows:Value>RESTful</ows:Value></ows:AllowedValues></ows:Constraint></ows:Get>`, escape(base), rest)
		say(`</ows:HTTP></ows:DCP></ows:Operation>`)
	}
	say(`</ows:OperationsMetadata>`)
	say(`<Contents>`)
	used := map[string]bool{}
	for _, l := range s.Layers {
		s.layer(say, l, base)
		for _, name := range l.sets() {
			used[name] = true
		}
	}
	for _, set := range s.Sets {
		if used[set.Name] {
			set.describe(say)
		}
	}
	say(`</Contents>`)
	say(`<ServiceMetadataURL xlink:href="%s%s"/>`, escape(base), restDoc)
	say(`</Capabilities>`)
	return []byte(b.String())
}

func (s *Service) layer(say func(string, ...any), l *Layer, base string) {
	bounds := l.Bounds
	if len(bounds) != 4 {
		bounds = []float64{-180, -85.0511287798066, 180, 85.0511287798066}
	}
	say(`<Layer><ows:Title>%s</ows:Title>`, escape(l.Title))
	say(`<ows:WGS84BoundingBox><ows:LowerCorner>%v %v</ows:LowerCorner><ows:UpperCorner>%v %v</ows:UpperCorner></ows:WGS84BoundingBox>`,
		bounds[0], bounds[1], bounds[2], bounds[3])
	say(`<ows:Identifier>%s</ows:Identifier>`, l.Name)
	for i, style := range l.Styles {
		say(`<Style isDefault="%t"><ows:Identifier>%s</ows:Identifier></Style>`, i == 0, style)
	}
	for _, f := range l.Formats {
		say(`<Format>%s</Format>`, Types[f])
	}
	for _, d := range l.Dimensions {
		say(`<Dimension><ows:Identifier>%s</ows:Identifier><Default>%s</Default>`, d.Name, d.Values[0])
		for _, v := range d.Values {
			say(`<Value>%s</Value>`, v)
		}
		say(`</Dimension>`)
	}
	for _, name := range l.sets() {
		set := s.Set(name)
		say(`<TileMatrixSetLink><TileMatrixSet>%s</TileMatrixSet><TileMatrixSetLimits>`, name)
		for z := l.MinZoom; z <= l.MaxZoom && z < len(set.Matrices); z++ {
			m := &set.Matrices[z]
			col0, col1, row0, row1 := l.limits(set, m)
			say(`<TileMatrixLimits><TileMatrix>%s</TileMatrix><MinTileRow>%d</MinTileRow><MaxTileRow>%d</MaxTileRow><MinTileCol>%d</MinTileCol><MaxTileCol>%d</MaxTileCol></TileMatrixLimits>`,
				m.Name, row0, row1, col0, col1)
		}
		say(`</TileMatrixSetLimits></TileMatrixSetLink>`)
	}
	for _, f := range l.Formats {
		say(`<ResourceURL format=%q resourceType="tile" template="%s"/>`, Types[f], escape(l.template(base, f)))
	}
	say(`</Layer>`)
}

func (s *Set) describe(say func(string, ...any)) {
	say(`<TileMatrixSet><ows:Identifier>%s</ows:Identifier><ows:SupportedCRS>%s</ows:SupportedCRS>`, s.Name, escape(s.CRS))
	if s.Name == Google {
		say(`<WellKnownScaleSet>urn:ogc:def:wkss:OGC:1.0:GoogleMapsCompatible</WellKnownScaleSet>`)
	}
	for _, m := range s.Matrices {
		say(`<TileMatrix><ows:Identifier>%s</ows:Identifier><ScaleDenominator>%.10f</ScaleDenominator><TopLeftCorner>%.7f %.7f</TopLeftCorner><TileWidth>%d</TileWidth><TileHeight>%d</TileHeight><MatrixWidth>%d</MatrixWidth><MatrixHeight>%d</MatrixHeight></TileMatrix>`,
			m.Name, m.Scale, m.Left, m.Top, m.Side, m.Side, m.Width, m.Height)
	}
	say(`</TileMatrixSet>`)
}
