package settings

import (
	"fmt"
	"testing"
)

func TestLines(t *testing.T) {
	at := Lines([]byte("{\n \"a\": 1,\n \"b\": {\"c\":\n [1,\n {\"d\": null}]},\n \"e\": \"x\ny"))
	for path, want := range map[string]int{"": 1, "/a": 2, "/b": 3, "/b/c": 4, "/b/c/0": 4, "/b/c/1": 5, "/b/c/1/d": 5, "/e": 0} {
		if at[path] != want {
			t.Errorf("%q stands in line %d, want %d", path, at[path], want)
		}
	}
}

// All faults are kept with their paths, but no more than a person mends.
func TestFaults(t *testing.T) {
	o, err := Parse([]byte(`{"a":"x","l":[{"n":1},{"n":"y"}],"s":3}`), "text")
	if err != nil {
		t.Fatal(err)
	}
	o.Number("a")
	for _, e := range o.List("l") {
		e.Number("n")
	}
	o.Sub("s")
	want := []Fault{{"/a", "a: not a number"}, {"/l/1/n", "l: n: not a number"}, {"/s", "s: not an object"}}
	for i, f := range o.Faults() {
		if i >= len(want) || f != want[i] {
			t.Errorf("fault %d is %+v", i, f)
		}
	}
	if o.Err().Error() != want[0].Text {
		t.Errorf("the first is %v", o.Err())
	}
	for range 1000 {
		o.Number("a")
	}
	if len(o.Faults()) != mostFaults {
		t.Errorf("%d are kept", len(o.Faults()))
	}
}

// What letter 7 added is read, and the origin's kind by its place among the kinds.
func TestSettingsOfPlacementAndOrigin(t *testing.T) {
	o, _ := Parse([]byte(`{"kinds":["a","origin"],"familyInfo":{"mode":"aside","originKind":1},"rules":{"bootStampError":2000000000},
		"trafficTypes":[{"name":"t","runsIn":["z"],"allowedOn":["a"]},{"name":"u"}]}`), "x")
	set := o.Settings()
	if got := fmt.Sprintf("%v %v %v %s/%s", set.CacheAside, set.OriginMachineType, set.StartTimeError, set.TrafficClasses[0].PlacementRules(), set.TrafficClasses[1].PlacementRules()); got != "true origin 2 in z on a/" || o.Err() != nil {
		t.Errorf("read as %q, %v", got, o.Err())
	}
}
