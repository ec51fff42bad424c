package tomlfile

import (
	"errors"
	"testing"

	"bendtrestle/internal/configerror"
)

type sample struct {
	Name string
	Part struct{ Size float64 }
	Item []struct{ Kind string }
}

func TestErrorsNameLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"name = 3": "f:1: name: cannot decode TOML integer into " +
			"struct field tomlfile.sample.Name of type string",
		"\nname = \"a\nb\"":                  "f:2: ",
		"[part]\nsize = 1\nweight = 2":       "f:3: part.weight: unknown key",
		"nome = 1\n[[item]]\nsort = \"x\"\n": "f:1: nome: unknown key\nf:3: item.sort: unknown key",
	} {
		var s sample
		_, err := Parse("f", []byte(text), &s)
		if err == nil || len(err.Error()) < len(want) || err.Error()[:len(want)] != want {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestLinesOfKeys(t *testing.T) {
	var s sample
	f, err := Parse("f", []byte("# a\nname = \"x\"\n[part]\nsize = -1\n\n[[item]]\nkind = \"a\"\n[[item]]\n# none\n"), &s)
	if err != nil {
		t.Fatal(err)
	}
	f.Fault("part.size", "%v is not above 0", s.Part.Size)
	f.Fault("item.0.kind", "unknown")
	f.Fault("item.1.kind", "missing")
	f.Fault("other", "missing")
	want := "f:4: part.size: -1 is not above 0\nf:7: item.0.kind: unknown\nf:8: item.1.kind: missing\nf: other: missing"
	if got := f.Err().Error(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if !f.Has("item.0.kind") || f.Has("item.1.kind") {
		t.Error("Has: got false for a key in the file, or true for one that is not")
	}
}

// Callers can inspect the fields of each fault, those reported by the caller and those found by Parse.
func TestErrReturnsFieldErrors(t *testing.T) {
	var s sample
	f, err := Parse("f", []byte("[part]\nsize = -1\n"), &s)
	if err != nil {
		t.Fatal(err)
	}
	f.Want("part.size", s.Part.Size, "above 0")
	var fault *configerror.FieldError
	if !errors.As(f.Err(), &fault) {
		t.Fatalf("got %v", f.Err())
	}
	want := configerror.FieldError{File: "f", Line: 2, Key: "part.size", Value: "-1", Want: "above 0"}
	if *fault != want {
		t.Errorf("got %+v, want %+v", *fault, want)
	}
	_, err = Parse("f", []byte("nome = 1\n"), &s)
	if !errors.As(err, &fault) || fault.Key != "nome" || fault.Line != 1 || fault.Problem != "unknown key" {
		t.Errorf("unknown key: got %+v, want a FieldError for nome in line 1", err)
	}
}
