package main

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"bendtrestle/internal/config"
	"bendtrestle/internal/operatorconfig"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current output")

// golden compares a text with a golden file, which the build of commit 15122f5 wrote.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// People and scripts read the output of `bendtrestle check`, so it must stay the same: for files with every key, for
// the platform's file only, and for a minimal one.
func TestGoldenCheck(t *testing.T) {
	for _, c := range []struct {
		name, config, operators string
	}{
		{"check-full", "testdata/config-full.json", "testdata/operators-full.toml"},
		{"check-platform-only", "testdata/config-full.json", ""},
		{"check-least", "testdata/config-least.json", ""},
	} {
		env := map[string]string{"GW_CONFIG": c.config, "GW_NAME": "n9", "GW_DISCOVERY": "127.2.0.9:8500", "TMPDIR": "/shared"}
		operators, err := operatorconfig.Read(c.operators)
		platform, platformErr := config.Describe(func(name string) string { return env[name] })
		if err = errors.Join(err, platformErr); err != nil {
			t.Fatal(err)
		}
		for i, setting := range platform { // the default seed is the process ID
			if setting.Key == "seed" && setting.Source == "the process's number" {
				platform[i].Value = "PID"
			}
		}
		var printed bytes.Buffer
		if err := printSettings(&printed, platform, operators); err != nil {
			t.Fatal(err)
		}
		golden(t, c.name, printed.String())
	}
}
