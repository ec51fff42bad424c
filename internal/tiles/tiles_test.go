package tiles

import (
	"encoding/xml"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

const kvpTarget = "/wmts?service=WMTS&request=GetTile&version=1.0.0&layer=roads&style=default&format=image/png" +
	"&tilematrixset=GoogleMapsCompatible&tilematrix=3&tilerow=5&tilecol=2"

// A tile must have the same key in all schemes, with the parameters' names in any case and any order.
func TestSameKeyInAllSchemes(t *testing.T) {
	s := service()
	for want, targets := range map[string][]string{
		"roads/default/GoogleMapsCompatible/3/2/5.png": {
			"/roads/3/2/5.png", "/%72oads/3/2/5.png", kvpTarget, kvpTarget + "&extra=1",
			"/wmts?TILECOL=2&TileRow=5&tilematrix=3&TILEMATRIXSET=GoogleMapsCompatible" +
				"&FORMAT=image%2Fpng&STYLE=&LAYER=roads&VERSION=1.0.0&REQUEST=GetTile&SERVICE=wmts",
			"/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png"},
		"roads/default/GoogleMapsCompatible/0/0/0.jpg": {
			"/roads/0/0/0.jpg", "/roads/0/0/0.jpeg", "/wmts/1.0.0/roads/default/GoogleMapsCompatible/0/0/0.jpg",
		},
		"clinics/default/GoogleMapsCompatible/8/191/111@2x.png?Time=2026": {
			"/clinics/8/191/111@2x.png", "/clinics/8/191/111@2x.png?time=2026",
			"/wmts/1.0.0/clinics/default/2026/GoogleMapsCompatible-2x/8/111/191.png",
			"/wmts?service=WMTS&request=GetTile&version=1.0.0&layer=clinics&style=&format=image/png" +
				"&tilematrixset=GoogleMapsCompatible-2x&tilematrix=8&tilerow=111&tilecol=191&TIME=default"},
		"clinics/night/grid/fine/3/5.png?Time=2025": {},
		"grid/plain/grid/fine/3/5.png":              {"/wmts/1.0.0/grid/plain/grid/fine/5/3.png"},
	} {
		for _, target := range targets {
			if got := parseSummary(s, target); got != want {
				t.Errorf("%s: got %s, want %s", target, got, want)
			}
		}
		tile, ok := ParseKey(want)
		if !ok || tile.Key() != want {
			t.Errorf("ParseKey(%s): got %+v, want the tile with that key", want, tile)
		}
		for _, scheme := range Schemes {
			if scheme == XYZ && tile.Set != Google {
				continue // XYZ paths cannot name another set
			}
			if got := parseSummary(s, scheme.Address(tile)); got != want {
				t.Errorf("want %s in scheme %s: address %s, got %s", want, scheme, scheme.Address(tile), got)
			}
		}
	}
}

// Invalid parameters must be reported with the standard's exception codes, and addresses that are invalid in every
// scheme with a plain text.
func TestFaults(t *testing.T) {
	const noSuchAddress = "4 no tile has such an address: /{layer}/{z}/{x}/{y}.{format}"
	s := service()
	for target, want := range map[string]string{
		"/roads/-1/0/0.png":  "4 the zoom level is not a whole number",
		"/roads/1e3/0/0.png": "4 the zoom level is not a whole number",
		"/roads/007/0/0.png": "4 the zoom level is not a whole number",
		"/roads//0/0.png":    "4 the zoom level is not a whole number",
		"/roads/99/0/0.png":  `4 the layer has no zoom level "99"`,
		"/roads/" + strings.Repeat("7", 4000) + "/0/0.png": "4 the zoom level is not a whole number",
		"/roads/3/8/0.png":                                         "4 the column is not between 0 and 7",
		"/roads/3/0/8.png":                                         "4 the row is not between 0 and 7",
		"/roads/3/+1/0.png":                                        "4 column and row are not whole numbers",
		"/roads/3/0/0.gif":                                         `4 the layer has no format "gif"`,
		"/roads/3/0/0":                                             `4 the layer has no format ""`,
		"/roads/3/0/0@2x.png":                                      "4 the layer has no tiles of twice the size",
		"/rivers/3/0/0.png":                                        `4 there is no layer "rivers"`,
		"/":                                                        noSuchAddress,
		"/roads/3/0/0.png/":                                        noSuchAddress,
		"/roads%2f3/0/0.png":                                       noSuchAddress,
		"/roads/%zz/0/0.png":                                       "4 an escape in the path cannot be read",
		"/clinics/8/191/111.png?time=2024":                         `4 Time cannot be "2024"`,
		"/clinics/8/0/0.png":                                       "4 the row is not between 108 and 112",
		"/clinics/8/191/111.png?style=x":                           `4 the layer has no style "x"`,
		"/wmts":                                                    "4 MissingParameterValue Service",
		"/wmts?service=WMTS":                                       "4 MissingParameterValue Request",
		"/wmts?service=WMS&request=GetTile":                        "4 InvalidParameterValue Service",
		withParameter("request", "GetMap"):                         "5 OperationNotSupported Request",
		withParameter("request", "GetFeatureInfo"):                 "5 OperationNotSupported Request",
		withParameter("request", "GetCapabilities"):                "capabilities",
		"/wmts/1.0.0/WMTSCapabilities.xml":                         "capabilities",
		withoutParameter("version"):                                "4 MissingParameterValue Version",
		withoutParameter("layer"):                                  "4 MissingParameterValue Layer",
		withoutParameter("style"):                                  "4 MissingParameterValue Style",
		withoutParameter("format"):                                 "4 MissingParameterValue Format",
		withoutParameter("tilematrixset"):                          "4 MissingParameterValue TileMatrixSet",
		withoutParameter("tilematrix"):                             "4 MissingParameterValue TileMatrix",
		withoutParameter("tilerow"):                                "4 MissingParameterValue TileRow",
		withoutParameter("tilecol"):                                "4 MissingParameterValue TileCol",
		withParameter("tilecol", ""):                               "4 MissingParameterValue TileCol",
		withParameter("version", "1.1.0"):                          "4 InvalidParameterValue Version",
		withParameter("layer", "rivers"):                           "4 InvalidParameterValue Layer",
		withParameter("style", "x"):                                "4 InvalidParameterValue Style",
		withParameter("format", "image/gif"):                       "4 InvalidParameterValue Format",
		withParameter("tilematrixset", "x"):                        "4 InvalidParameterValue TileMatrixSet",
		withParameter("tilematrix", "99"):                          "4 InvalidParameterValue TileMatrix",
		withParameter("tilematrix", "03"):                          "4 InvalidParameterValue TileMatrix",
		withParameter("tilerow", "8"):                              "4 TileOutOfRange TileRow",
		withParameter("tilecol", "8"):                              "4 TileOutOfRange TileCol",
		withParameter("tilerow", "-1"):                             "4 InvalidParameterValue TileRow",
		withParameter("tilecol", "1e3"):                            "4 InvalidParameterValue TileCol",
		kvpTarget + "&Layer=roads":                                 "4 InvalidParameterValue layer",
		kvpTarget + "&%zz=1":                                       "4 InvalidParameterValue ",
		"/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5":       "4 MissingParameterValue TileCol",
		"/wmts/1.0.0/rivers/a/b/3/5/2.png":                         "4 InvalidParameterValue Layer",
		"/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/9/2.png": "4 TileOutOfRange TileRow",
		"/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.gif": "4 InvalidParameterValue Format",
		"/wmts/1.0.0/grid/plain/grid/fine/5/4.png":                 "4 TileOutOfRange TileCol",
		"/wmts/1.0.0/clinics/night/1999/GoogleMapsCompatible/8/111/191.png": "4 InvalidParameterValue Time",
	} {
		if got := parseSummary(s, target); got != want {
			t.Errorf("%.120s\ngot  %s\nwant %s", target, got, want)
		}
	}
}

// The capabilities document must be well-formed, and every address in it, with its placeholders filled in, must be
// parsed as the tile that it describes.
func TestCapabilitiesAddressesAreParsed(t *testing.T) {
	s := service()
	text := s.Capabilities("http://127.0.0.1:8080")
	for d := xml.NewDecoder(strings.NewReader(string(text))); ; {
		if _, err := d.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	var c struct {
		Contents struct {
			Layer []struct {
				Identifier string
				Style      []struct{ Identifier string }
				Dimension  []struct {
					Identifier string
					Value      []string
				}
				TileMatrixSetLink []struct {
					TileMatrixSet    string
					TileMatrixLimits []struct {
						TileMatrix                                     string
						MinTileRow, MaxTileRow, MinTileCol, MaxTileCol int
					} `xml:"TileMatrixSetLimits>TileMatrixLimits"`
				}
				ResourceURL []struct {
					Template string `xml:"template,attr"`
				}
			}
			TileMatrixSet []struct{ Identifier string }
		}
	}
	if err := xml.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	parsed := 0
	for _, l := range c.Contents.Layer {
		for _, link := range l.TileMatrixSetLink {
			for _, m := range link.TileMatrixLimits {
				for _, style := range l.Style {
					for _, u := range l.ResourceURL {
						at := strings.NewReplacer(
							"{Style}", style.Identifier,
							"{TileMatrixSet}", link.TileMatrixSet,
							"{TileMatrix}", m.TileMatrix,
							"{TileRow}", strconv.Itoa(m.MaxTileRow),
							"{TileCol}", strconv.Itoa(m.MinTileCol),
						).Replace(u.Template)
						for _, d := range l.Dimension {
							at = strings.ReplaceAll(at, "{"+d.Identifier+"}", d.Value[len(d.Value)-1])
						}
						target := strings.TrimPrefix(at, "http://127.0.0.1:8080")
						a, fault := s.Parse(target)
						if fault != nil || a.Tile.Layer != l.Identifier ||
							a.Tile.Row != m.MaxTileRow || a.Tile.Col != m.MinTileCol {
							t.Fatalf("%s: got %+v, fault %v, want the tile of this address", target, a, fault)
						}
						parsed++
					}
				}
			}
		}
	}
	if parsed < 60 || len(c.Contents.TileMatrixSet) != 3 {
		t.Errorf("got %d addresses and %d sets, want at least 60 and 3", parsed, len(c.Contents.TileMatrixSet))
	}
}

// An exception report must contain the code and the locator, and must escape the text.
func TestReport(t *testing.T) {
	f := Fault{Code: InvalidParameter, Locator: "Layer", Text: `Layer cannot be "<x>"`}
	text := string(f.XML())
	const start = `exceptionCode="InvalidParameterValue" locator="Layer"`
	if !strings.Contains(text, start) || !strings.Contains(text, "&lt;x&gt;") {
		t.Errorf("got %s, want the code, the locator and the escaped text", text)
	}
}

// The address of any tile in any scheme must be parsed as the same tile.
func TestAddressRoundTrip(t *testing.T) {
	s, rng := service(), rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		z := rng.IntN(19)
		want := Tile{
			Layer: "roads", Style: "default", Set: Google, Matrix: strconv.Itoa(z),
			Col: rng.IntN(1 << z), Row: rng.IntN(1 << z), Format: []string{"png", "jpg"}[rng.IntN(2)],
		}.Key()
		tile, _ := ParseKey(want)
		for _, scheme := range Schemes {
			if got := parseSummary(s, scheme.Address(tile)); got != want {
				t.Fatalf("want %s in scheme %s, got %s", want, scheme, got)
			}
		}
	}
}

// Parse must not panic on any target, and the key of a tile that it accepts must be valid in all protocols and must be
// the same when the tile is requested as key-value pairs.
func FuzzParse(f *testing.F) {
	s := service()
	for _, target := range []string{
		"/roads/3/2/5.png", kvpTarget, "/wmts/1.0.0/roads/default/GoogleMapsCompatible/3/5/2.png", "/%/", "/wmts?a=%",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		a, fault := s.Parse(target)
		if fault != nil {
			if fault.Status < 400 || fault.Status > 599 || fault.Text == "" || len(fault.XML()) > 4000 {
				t.Errorf("%q: got fault %+v, want status 400 to 599, a text, a report of at most 4000 bytes",
					target, fault)
			}
			return
		}
		if a.Capabilities {
			return
		}
		key := a.Tile.Key()
		if len(key) > 250 || strings.ContainsAny(key, " \r\n") {
			t.Errorf("%q: got key %q, want at most 250 bytes without spaces and line ends", target, key)
		}
		if got := parseSummary(s, KVP.Address(a.Tile)); got != key {
			t.Errorf("%q: want key %s, got %s for its address as key-value pairs", target, key, got)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	s := service()
	for name, target := range map[string]string{
		"xyz":   "/roads/12/2345/1456.png",
		"pairs": strings.Replace(kvpTarget, "tilematrix=3", "tilematrix=12", 1),
		"rest":  "/wmts/1.0.0/roads/default/GoogleMapsCompatible/12/1456/2345.png",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, fault := s.Parse(target); fault != nil {
					b.Fatal(fmt.Sprint(fault))
				}
			}
		})
	}
}
