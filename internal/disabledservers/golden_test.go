package disabledservers

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden with the output of the current code")

// golden compares a text with a golden file, and returns the content of the file. Commit 15122f5 wrote the files of
// disabled servers and of file names.
func golden(t *testing.T, name, got string) string {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.TrimSuffix(string(text), "\n")
	if got != want {
		t.Errorf("%s:\n got %q\nwant %q", name, got, want)
	}
	return want
}

// Processes of different builds share the file of disabled servers. It is written as by commit 15122f5, and the file
// written by that build is read with the same entries.
func TestGoldenFileOfDisabledServers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out")
	registry, _ := Open(path, func([]string) {}, zerolog.Nop())
	for _, id := range []string{"s-1", "s-2", "10.0.0.1:11211", "ünïcode"} {
		if err := registry.Update(id, true, farDeadline()); err != nil {
			t.Fatal(err)
		}
	}
	if err := registry.Update("s-1", false, farDeadline()); err != nil {
		t.Fatal(err)
	}
	registry.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := golden(t, "disabled-servers", string(text))
	files, _ := filepath.Glob(path + "*")
	for i := range files {
		files[i] = filepath.Base(files[i])
	}
	golden(t, "disabled-servers-files", strings.Join(files, "\n"))

	other := filepath.Join(t.TempDir(), "out")
	if err := os.WriteFile(other, []byte(want), 0o600); err != nil {
		t.Fatal(err)
	}
	registry, ids := Open(other, func([]string) {}, zerolog.Nop())
	registry.Close()
	if !slices.Equal(ids, []string{"s-2", "10.0.0.1:11211", "ünïcode"}) {
		t.Errorf("got entries %q, want s-2, 10.0.0.1:11211 and ünïcode", ids)
	}
}

// The admin server's answer shows operators the texts of Update's errors.
func TestGoldenErrors(t *testing.T) {
	var texts []string
	for _, err := range []error{ErrTooMany, ErrLocalOnly, ErrUnchanged, ErrPending, ErrLockTimeout} {
		texts = append(texts, err.Error())
	}
	path := filepath.Join(t.TempDir(), "out")
	os.WriteFile(path, []byte("s-1\n"), 0o600)
	registry, _ := Open(path, func([]string) {}, zerolog.Nop())
	defer registry.Close()
	lock := mustLock(t, path+".lock")
	defer lock.Close()
	texts = append(texts, registry.Update("s-2", true, time.Now()).Error())
	texts = append(texts, registry.Update("s-1", false, time.Now()).Error())
	golden(t, "disabled-servers-errors", strings.Join(texts, "\n"))
}
