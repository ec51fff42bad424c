package snapshot

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden with the output of the current code")

const goldenOwner = "127.0.0.1:11211"

// golden compares a text with a golden file, and returns the content of the file. Commit 15122f5 wrote the files of
// copies and of the path.
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
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
	return want
}

func goldenEntries() []Entry {
	return []Entry{
		{Generation: 41, StoredAt: 1700000000.25, Source: "127.2.0.1:8500", Body: []byte("first body")},
		{Generation: 1 << 40, StoredAt: 1700000001.5, Body: []byte{0, 0xff, 0x0a}},
	}
}

// The next process may be of another build. Therefore both copies are written as by commit 15122f5, byte for byte, and
// copies of that build are read with the same entries.
func TestGoldenCopies(t *testing.T) {
	base := filepath.Join(t.TempDir(), "r")
	var copies []string
	for i, entry := range goldenEntries() { // one process for each entry, which writes one copy
		store := Open(base, goldenOwner, zerolog.Nop())
		store.Put("list", entry)
		store.Close(5 * time.Second)
		number := []string{".store-1", ".store-0"}[i]
		text, err := os.ReadFile(base + number)
		if err != nil {
			t.Fatal(err)
		}
		copies = append(copies, golden(t, "copy"+number, hex.EncodeToString(text)))
	}
	for i, text := range copies {
		restored := filepath.Join(t.TempDir(), "r")
		written, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(restored+".store-0", written, 0o600); err != nil {
			t.Fatal(err)
		}
		store := Open(restored, goldenOwner, zerolog.Nop())
		want := goldenEntries()[i]
		entry, found := store.Get("list")
		if !found || entry.Generation != want.Generation || entry.StoredAt != want.StoredAt || entry.Source != want.Source ||
			!bytes.Equal(entry.Body, want.Body) {
			t.Errorf("copy %d: got unexpected entry %+v, %t", i, entry, found)
		}
		store.Close(time.Second)
	}
}

// A copy holds entries of several kinds, in any order.
func TestGoldenCopyOfTwoKinds(t *testing.T) {
	base := filepath.Join(t.TempDir(), "r")
	entries := goldenEntries()
	if *writeGolden {
		store := Open(base, goldenOwner, zerolog.Nop())
		store.Put("list", entries[0])
		store.Close(5 * time.Second)
		store = Open(base, goldenOwner, zerolog.Nop())
		store.Put("rate", entries[1])
		store.Close(5 * time.Second)
		text, err := os.ReadFile(base + ".store-0")
		if err != nil {
			t.Fatal(err)
		}
		golden(t, "two-kinds", hex.EncodeToString(text))
	}
	text, err := os.ReadFile(filepath.Join("testdata", "two-kinds.golden"))
	if err != nil {
		t.Fatal(err)
	}
	written, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(base+".store-0", written, 0o600); err != nil {
		t.Fatal(err)
	}
	store := Open(base, goldenOwner, zerolog.Nop())
	defer store.Close(time.Second)
	for i, kind := range []string{"list", "rate"} {
		entry, found := store.Get(kind)
		if !found || entry.Generation != entries[i].Generation || !bytes.Equal(entry.Body, entries[i].Body) {
			t.Errorf("%s: got unexpected entry %+v, %t", kind, entry, found)
		}
	}
}

// A router of another build finds the snapshot in the folder by the address that clients connect to.
func TestGoldenPath(t *testing.T) {
	golden(t, "path", filepath.Base(Path(t.TempDir(), goldenOwner)))
}

// The log line of an unusable copy says why it cannot be used.
func TestGoldenUnusableCopies(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "copy.store-0.golden"))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(whole)
	newer[5] = 9
	changed := bytes.Clone(whole)
	changed[len(changed)-1] ^= 1
	var reasons []string
	for _, c := range []struct {
		name, owner string
		text        []byte
	}{
		{"foreign", goldenOwner, []byte("# a file of another program")},
		{"newer", goldenOwner, newer},
		{"changed", goldenOwner, changed},
		{"cut", goldenOwner, whole[:len(whole)-1]},
		{"other router", "127.0.0.1:1", whole},
		{"too large", goldenOwner, make([]byte, 1<<20+1)},
	} {
		base := filepath.Join(t.TempDir(), "r")
		if err := os.WriteFile(base+".store-0", c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		var log bytes.Buffer
		Open(base, c.owner, zerolog.New(&log)).Close(5 * time.Second)
		line, _, _ := bytes.Cut(log.Bytes(), []byte("\n"))
		var fields map[string]string
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(errors.Join(err, errors.New(log.String())))
		}
		reasons = append(reasons, c.name+": "+fields["level"]+": "+fields["error"]+"; "+
			strings.ReplaceAll(fields["file"], filepath.Dir(base), "DIR"))
		if _, err := os.Stat(base + ".store-0.cannot-be-used"); err != nil {
			t.Error(err)
		}
	}
	golden(t, "unusable", strings.Join(reasons, "\n"))
}
