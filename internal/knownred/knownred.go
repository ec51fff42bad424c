// Package knownred lets CI pass over the tests that KNOWN-RED.txt lists as known to fail.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Skip skips a test that KNOWN-RED.txt, in the module's root, lists as one that CI passes over, unless KNOWN_RED=run is
// set.
func Skip(t testing.TB) {
	t.Helper()
	listed, err := os.ReadFile(filepath.Join(moduleRoot(t), "KNOWN-RED.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("KNOWN_RED") != "run" && strings.Contains(string(listed), "CI passes over "+t.Name()+".") {
		t.Skip("listed in KNOWN-RED.txt; KNOWN_RED=run runs it")
	}
}

// moduleRoot returns the folder of go.mod, which is a parent of the folder that a test runs in.
func moduleRoot(t testing.TB) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			t.Fatal("no go.mod in any parent folder")
		}
		folder = parent
	}
}
