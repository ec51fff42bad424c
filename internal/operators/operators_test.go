package operators

import (
	"os"
	"path/filepath"
	"testing"
)

func file(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "operators.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestWithoutAFileAllIsUsual(t *testing.T) {
	f, err := Read("")
	if err != nil || f.Log != (Log{"info", "json"}) || f.Settings()[0].From != "default" {
		t.Errorf("read %+v, %v", f, err)
	}
}

func TestValuesAndTheirOrigin(t *testing.T) {
	path := file(t, "# ours\n[log]\nlevel = \"warn\"\n")
	f, err := Read(path)
	if err != nil || f.Log != (Log{"warn", "json"}) {
		t.Fatalf("read %+v, %v", f, err)
	}
	s := f.Settings()
	if s[0] != (Setting{"log.level", "warn", path + ":3"}) || s[1] != (Setting{"log.form", "json", "default"}) {
		t.Errorf("in effect %+v", s)
	}
}

// A faulty file is told whole and changes nothing.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevel = \"loud\"\nform = \"xml\"": `:2: log.level: "loud" is not one of debug, info, warn, error` + "\n" +
			`PATH:3: log.form: "xml" is not one of json, console`,
		"[log]\nlevels = \"info\"\n[contract]\na = 1": ":2: log.levels: unknown key\nPATH:3: contract: unknown key",
		"[log\n": ":1: ",
	} {
		path := file(t, text)
		_, err := Read(path)
		if err == nil {
			t.Fatalf("%q was taken", text)
		}
		got := []byte(err.Error())
		want = path + want
		for i := 0; i+4 <= len(want); i++ {
			if want[i:i+4] == "PATH" {
				want = want[:i] + path + want[i+4:]
			}
		}
		if len(got) < len(want) || string(got[:len(want)]) != want {
			t.Errorf("%q: got\n%s\nwant\n%s", text, got, want)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that is not there was taken")
	}
}

// The commented example can be read.
func TestExample(t *testing.T) {
	if _, err := Read("../../deploy/operators.toml"); err != nil {
		t.Error(err)
	}
}
