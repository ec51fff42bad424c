package settings

import "testing"

// Placement rules are read, and the origin's machine type by its index among the kinds.
func TestSettingsOfPlacementAndOrigin(t *testing.T) {
	object, err := Parse([]byte(`{"kinds":["a","origin"],"familyInfo":{"mode":"aside","originKind":1},
		"rules":{"bootStampError":2000000000},
		"trafficTypes":[{"name":"t","runsIn":["z"],"allowedOn":["a"]},{"name":"u"}]}`), "x")
	if err != nil {
		t.Fatal(err)
	}
	settings := object.Settings()
	if err := object.Err(); err != nil {
		t.Error(err)
	}
	if !settings.CacheAside || settings.OriginMachineType != "origin" || settings.StartTimeError != 2 {
		t.Errorf("got %+v, want cache-aside mode, origin type \"origin\" and a start time error of 2 s", settings)
	}
	for i, want := range []string{"in z on a", ""} {
		if got := settings.TrafficClasses[i].PlacementRules(); got != want {
			t.Errorf("class %d: got placement rules %q, want %q", i, got, want)
		}
	}
}
