package configerror

import "testing"

func TestErrorText(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault FieldError
		want  string
	}{
		{"value and what is wanted", FieldError{File: "f", Line: 14, Key: "team.0.budget", Value: "-3", Want: "above 0"},
			"f:14: team.0.budget: -3 is not above 0"},
		{"what is wanted", FieldError{File: "f", Line: 2, Key: "limits: cores", Want: "a number"},
			"f:2: limits: cores: not a number"},
		{"problem", FieldError{File: "f", Line: 3, Key: "zone", Problem: "unknown key"}, "f:3: zone: unknown key"},
		{"no line", FieldError{File: "f", Key: "region", Problem: "missing"}, "f: region: missing"},
		{"no file", FieldError{Key: "listen", Want: "an address and a port"}, "listen: not an address and a port"},
		{"no key", FieldError{File: "f", Line: 1, Problem: "cut"}, "f:1: cut"},
	} {
		if got := c.fault.Error(); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
