package settings

import "testing"

// Placement is read, and the origin's kind of machine by its index among the kinds.
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
		t.Errorf("read %+v", settings)
	}
	for i, want := range []string{"in z on a", ""} {
		if got := settings.TrafficClasses[i].PlacementRules(); got != want {
			t.Errorf("class %d may be sent %q, want %q", i, got, want)
		}
	}
}
