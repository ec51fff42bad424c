package settings

import (
	"errors"
	"testing"

	"bendtrestle/internal/configerror"
)

func TestLines(t *testing.T) {
	at := Lines([]byte("{\n \"a\": 1,\n \"b\": {\"c\":\n [1,\n {\"d\": null}]},\n \"e\": \"x\ny"))
	for path, want := range map[string]int{
		"": 1, "/a": 2, "/b": 3, "/b/c": 4, "/b/c/0": 4, "/b/c/1": 5, "/b/c/1/d": 5, "/e": 0,
	} {
		if at[path] != want {
			t.Errorf("%q: got line %d, want %d", path, at[path], want)
		}
	}
}

// Faults of nested fields have their paths in the text and their qualified names, and at most maxFaults are kept.
func TestFaultsHavePathsAndAreBounded(t *testing.T) {
	o, err := Parse([]byte(`{"a":"x","l":[{"n":1},{"n":"y"}],"s":3}`), "text")
	if err != nil {
		t.Fatal(err)
	}
	o.Number("a")
	for _, e := range o.List("l") {
		e.Number("n")
	}
	o.RequiredObject("s")
	want := []struct{ path, message string }{
		{"/a", "a: not a number"},
		{"/l/1/n", "l: n: not a number"},
		{"/s", "s: not an object"},
	}
	for i, fault := range o.Faults() {
		if i >= len(want) || fault.Path != want[i].path || fault.Message() != want[i].message {
			t.Errorf("fault %d: got %+v, want the faults %+v", i, fault, want)
		}
	}
	var first *configerror.FieldError
	if !errors.As(o.Err(), &first) || first.Error() != want[0].message || first.Key != "a" || first.Want != "a number" {
		t.Errorf("Err: got %v, want %s", o.Err(), want[0].message)
	}
	for range 1000 {
		o.Number("a")
	}
	if len(o.Faults()) != maxFaults {
		t.Errorf("got %d faults, want %d", len(o.Faults()), maxFaults)
	}
}
