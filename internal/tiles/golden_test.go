package tiles

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "regenerate testdata/*.golden from the current code")

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *writeGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\ngot  %s\nwant %s", name, got, want)
	}
}

// Clients parse the capabilities document, so its bytes must not change by accident.
func TestCapabilitiesBytes(t *testing.T) {
	checkGolden(t, "capabilities.golden", service().Capabilities("http://host:8080/?a&b"))
}

// Clients read the faults' texts: each kind of fault must keep its status, its text and its exception report.
func TestFaultBytes(t *testing.T) {
	const restStart = "/wmts/1.0.0/"
	targets := []string{
		"/", "/%zz/0/0/0.png", "/rivers/3/0/0.png", "/roads/x/0/0.png", "/roads/3/x/0.png", "/roads/3/0/x.png",
		"/roads/3/0/0.gif", "/roads/3/0/0@2x.png", "/roads/99/0/0.png", "/roads/3/0/8.png", "/roads/3/8/0.png",
		"/roads/3/0/0.png?a=1&A=2", "/roads/3/0/0.png?style=x", "/clinics/8/191/111.png?time=1",
		"/wmts", "/wmts?service=WMS&request=x", "/wmts?service=WMTS&request=GetFeatureInfo",
		"/wmts?service=WMTS&request=x", "/wmts?a=%zz", "/wmts?service=WMTS&request=GetTile",
		kvpTarget + "&layer=x",
		restStart + "%zz", restStart + "rivers", restStart + "roads",
		restStart + "roads/x/GoogleMapsCompatible/3/5/2.png",
		restStart + "roads/default/GoogleMapsCompatible/3/5/2.gif", restStart + "roads/default/x/3/5/2.png",
		restStart + "roads/default/GoogleMapsCompatible/3/x/2.png",
		restStart + "roads/default/GoogleMapsCompatible/3/5/x.png",
		restStart + "roads/default/GoogleMapsCompatible/99/5/2.png",
		restStart + "roads/default/GoogleMapsCompatible/3/9/2.png",
		restStart + "roads/default/GoogleMapsCompatible/3/5/9.png",
		restStart + "clinics/night/1999/GoogleMapsCompatible/8/111/191.png",
	}
	tileParameterNames := []string{
		"version", "layer", "style", "format", "tilematrixset", "tilematrix", "tilerow", "tilecol",
	}
	for _, parameter := range tileParameterNames {
		targets = append(targets, kvpTarget+"&"+parameter+"=twice")
		targets = append(targets, withParameter(parameter, "x"), withParameter(parameter, ""))
	}
	var text bytes.Buffer
	for _, target := range targets {
		_, fault := service().Parse(target)
		if fault == nil {
			fmt.Fprintf(&text, "%s\nno fault\n", target)
			continue
		}
		fmt.Fprintf(&text, "%s\n%d report=%t %s\n%s", target, fault.Status, fault.Report, fault, fault.XML())
	}
	checkGolden(t, "faults.golden", text.Bytes())
}

// Tile servers parse the addresses of requests, so their bytes must not change by accident.
func TestAddressBytes(t *testing.T) {
	var text bytes.Buffer
	for _, key := range []string{
		"roads/default/GoogleMapsCompatible/3/2/5.png",
		"clinics/default/GoogleMapsCompatible/8/191/111@2x.png?Time=2026",
		"clinics/night/grid/fine/3/5.png?Time=2025",
	} {
		tile, _ := ParseKey(key)
		for _, scheme := range Schemes {
			fmt.Fprintln(&text, scheme, scheme.Address(tile))
		}
	}
	checkGolden(t, "addresses.golden", text.Bytes())
}
