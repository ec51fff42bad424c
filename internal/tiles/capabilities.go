package tiles

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"strings"
)

// document is an XML document that is written line by line.
type document struct{ text bytes.Buffer }

// line writes one formatted line.
func (d *document) line(format string, values ...any) {
	fmt.Fprintf(&d.text, format+"\n", values...)
}

func escapeXML(text string) string {
	var escaped bytes.Buffer
	xml.EscapeText(&escaped, []byte(text)) // cannot fail: it writes to memory
	return escaped.String()
}

// Capabilities returns the service's capabilities document; base is the service's address, such as http://host.
func (s *Service) Capabilities(base string) []byte {
	var doc document
	doc.line(`<?xml version="1.0" encoding="UTF-8"?>`)
	doc.line(`<Capabilities xmlns="http://www.opengis.net/wmts/1.0"` +
		` xmlns:ows="http://www.opengis.net/ows/1.1"` +
		` xmlns:xlink="http://www.w3.org/1999/xlink" version="1.0.0">`)
	doc.line(`<ows:ServiceIdentification><ows:Title>%s</ows:Title>`+
		`<ows:ServiceType>OGC WMTS</ows:ServiceType>`+
		`<ows:ServiceTypeVersion>1.0.0</ows:ServiceTypeVersion></ows:ServiceIdentification>`, escapeXML(s.Title))
	doc.writeOperations(base)
	s.writeContents(&doc, base)
	doc.line(`<ServiceMetadataURL xlink:href="%s%s"/>`, escapeXML(base), restCapabilitiesPath)
	doc.line(`</Capabilities>`)
	return doc.text.Bytes()
}

// writeOperations writes the addresses of the service's operations.
func (d *document) writeOperations(base string) {
	d.line(`<ows:OperationsMetadata>`)
	d.writeOperation("GetCapabilities", base, restCapabilitiesPath)
	d.writeOperation("GetTile", base, restPath)
	d.line(`</ows:OperationsMetadata>`)
}

func (d *document) writeOperation(name, base, restfulPath string) {
	const get = `<ows:Get xlink:href="%s%s"><ows:Constraint name="GetEncoding">` +
		`<ows:AllowedValues><ows:Value>%s</ows:Value></ows:AllowedValues></ows:Constraint></ows:Get>`
	d.line(`<ows:Operation name=%q><ows:DCP><ows:HTTP>`, name)
	d.line(get, escapeXML(base), wmtsPath+"?", "KVP")
	d.line(get, escapeXML(base), restfulPath, "RESTful")
	d.line(`</ows:HTTP></ows:DCP></ows:Operation>`)
}

// writeContents writes the layers and the matrix sets that they use.
func (s *Service) writeContents(doc *document, base string) {
	doc.line(`<Contents>`)
	used := map[string]bool{}
	for _, layer := range s.Layers {
		s.writeLayer(doc, layer, base)
		for _, name := range layer.matrixSets() {
			used[name] = true
		}
	}
	for _, set := range s.Sets {
		if used[set.Name] {
			doc.writeSet(set)
		}
	}
	doc.line(`</Contents>`)
}

func (s *Service) writeLayer(doc *document, layer *Layer, base string) {
	doc.line(`<Layer><ows:Title>%s</ows:Title>`, escapeXML(layer.Title))
	doc.writeBounds(layer)
	doc.line(`<ows:Identifier>%s</ows:Identifier>`, layer.Name)
	for i, style := range layer.Styles {
		doc.line(`<Style isDefault="%t"><ows:Identifier>%s</ows:Identifier></Style>`, i == 0, style)
	}
	for _, format := range layer.Formats {
		doc.line(`<Format>%s</Format>`, MediaTypes[format])
	}
	for _, dimension := range layer.Dimensions {
		doc.writeDimension(dimension)
	}
	for _, name := range layer.matrixSets() {
		doc.writeLimits(layer, s.Set(name))
	}
	for _, format := range layer.Formats {
		template := escapeXML(layer.template(base, format))
		doc.line(`<ResourceURL format=%q resourceType="tile" template="%s"/>`, MediaTypes[format], template)
	}
	doc.line(`</Layer>`)
}

func (d *document) writeBounds(layer *Layer) {
	bounds := layer.Bounds
	if len(bounds) != boundsLength {
		bounds = []float64{-180, -85.0511287798066, 180, 85.0511287798066} // all of Web Mercator
	}
	d.line(`<ows:WGS84BoundingBox><ows:LowerCorner>%v %v</ows:LowerCorner>`+
		`<ows:UpperCorner>%v %v</ows:UpperCorner></ows:WGS84BoundingBox>`,
		bounds[0], bounds[1], bounds[2], bounds[3])
}

func (d *document) writeDimension(dimension Dimension) {
	d.line(`<Dimension><ows:Identifier>%s</ows:Identifier><Default>%s</Default>`, dimension.Name, dimension.Values[0])
	for _, value := range dimension.Values {
		d.line(`<Value>%s</Value>`, value)
	}
	d.line(`</Dimension>`)
}

// writeLimits writes the range of a layer's tiles in a matrix set.
func (d *document) writeLimits(layer *Layer, set *Set) {
	d.line(`<TileMatrixSetLink><TileMatrixSet>%s</TileMatrixSet><TileMatrixSetLimits>`, set.Name)
	for zoom := layer.MinZoom; zoom <= layer.MaxZoom && zoom < len(set.Matrices); zoom++ {
		matrix := &set.Matrices[zoom]
		limits := layer.limits(set, matrix)
		d.line(`<TileMatrixLimits><TileMatrix>%s</TileMatrix>`+
			`<MinTileRow>%d</MinTileRow><MaxTileRow>%d</MaxTileRow>`+
			`<MinTileCol>%d</MinTileCol><MaxTileCol>%d</MaxTileCol></TileMatrixLimits>`,
			matrix.Name, limits.firstRow, limits.lastRow, limits.firstCol, limits.lastCol)
	}
	d.line(`</TileMatrixSetLimits></TileMatrixSetLink>`)
}

func (d *document) writeSet(set *Set) {
	d.line(`<TileMatrixSet><ows:Identifier>%s</ows:Identifier><ows:SupportedCRS>%s</ows:SupportedCRS>`,
		set.Name, escapeXML(set.CRS))
	if set.Name == Google {
		d.line(`<WellKnownScaleSet>urn:ogc:def:wkss:OGC:1.0:GoogleMapsCompatible</WellKnownScaleSet>`)
	}
	for _, matrix := range set.Matrices {
		d.line(`<TileMatrix><ows:Identifier>%s</ows:Identifier><ScaleDenominator>%.10f</ScaleDenominator>`+
			`<TopLeftCorner>%.7f %.7f</TopLeftCorner>`+
			`<TileWidth>%d</TileWidth><TileHeight>%d</TileHeight>`+
			`<MatrixWidth>%d</MatrixWidth><MatrixHeight>%d</MatrixHeight></TileMatrix>`,
			matrix.Name, matrix.Scale, matrix.Left, matrix.Top,
			matrix.TileSize, matrix.TileSize, matrix.Width, matrix.Height)
	}
	d.line(`</TileMatrixSet>`)
}

// template returns the address of a layer's tiles with the standard's placeholders.
func (l *Layer) template(base, extension string) string {
	var dimensions strings.Builder
	for _, dimension := range l.Dimensions {
		dimensions.WriteString("/{" + dimension.Name + "}")
	}
	return base + restPath + l.Name + "/{Style}" + dimensions.String() +
		"/{TileMatrixSet}/{TileMatrix}/{TileRow}/{TileCol}." + extension
}
