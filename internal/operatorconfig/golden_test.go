package operatorconfig

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current output")

// The text of every error stays as in the golden file: one line for each fault, with file, line and key.
func TestGoldenFaults(t *testing.T) {
	text, err := os.ReadFile("../../cmd/bendtrestle/testdata/operators-full.toml")
	if err != nil {
		t.Fatal(err)
	}
	full := string(text)
	all := ""
	directory := t.TempDir()
	path := filepath.Join(directory, "operators.toml")
	for _, c := range []struct{ old, new string }{
		{`level = "warn"`, `level = "loud"`},
		{`level = "warn"`, `levels = "warn"`},
		{`level = "warn"`, `level = 7`},
		{`level = "warn"`, `level = `},
		{`[log]`, `[[log]]`},
		{`form = "console"`, `form = "xml"`},
		{`others = "nobody"`, `others = "me"`},
		{`bytes_per_second = 9000.5`, `bytes_per_second = 500`},
		{"on = true\nbytes_per_second", "bytes_per_second"},
		{`routers = 4000`, `routers = 0`},
		{"[zones]\non = true", "[zones]\non = false"},
		{`name = "east"`, `name = "west"`},
		{`name = "east"`, `name = "e st"`},
		{`zones = ["b"]`, `zones = []`},
		{`zones = ["b"]`, `zones = ["b", "b", "kolkata-howrah", "c,d"]`},
		{`name = "stock"`, ``},
		{`name = "maps"`, `name = "stock"`},
		{`discovery = "127.0.0.1:8510"`, `discovery = "there"`},
		{`capacity = 6.5`, `capacity = -6.5`},
		{`capacity = 6.5`, `capacity = 3.0`},
		{`protocol = "memcache"`, `protocol = "redis"`},
		{`protocol = "tiles"`, `protocol = "memcache"`},
		{`scheme = "wmts-rest"`, `scheme = "wms"`},
		{`host = "tiles.example"`, `host = "tiles/example"`},
		{`probe = "/health"`, `probe = "health"`},
		{`largest_kb = 512`, `largest_kb = 16385`},
		{`connections = 0.3`, `connections = 0.8`},
		{`connections = 0.3`, `connections = 0.95`},
		{`most_executions = 5`, `most_executions = 0`},
		{`connect_timeout_ms = 80.5`, `connect_timeout_ms = 0`},
		{`idle = 31.5`, `idle = -1`},
		{`per_connection = 7`, `per_connection = -7`},
		{`cold_from = 0.25`, `cold_from = 0`},
		{`warm = 8.5`, `warm = nan`},
		{`fall = 2.5`, `fall = 0`},
		{`multiple = 3.5`, `multiple = 0`},
		{`stall_ms = 250.5`, `stall_ms = 0`},
		{`name = "pharmacy"`, `name = "a/b"`},
		{`name = "plain"`, `name = "pharmacy"`},
		{`pool = "stock"`, `pool = "stocks"`},
		{`tenant = "pharmacy"`, `tenant = "a b"`},
		{`prefix = "ph:"`, `prefix = "p h"`},
		{`prefix = "pl:"`, `prefix = "ph:"`},
		{`prefix = "pl:"`, ``},
		{`listen = "127.0.0.1:11220"`, `listen = "here"`},
		{`listen = "127.0.0.1:11220"`, `listen = "127.0.0.1:11230"`},
		{`budget = 3.25`, `budget = -1`},
		{`burst = 4.5`, `burst = -1`},
		{`borrow = 1.5`, `borrow = -1`},
		{`weight = 2.5`, `weight = -1`},
		{`name = "order"`, `name = "stock-view"`},
		{`name = "order"`, `name = "or der"`},
		{`effect = "reissuable"`, `effect = "any"`},
		{`group = "cell"`, `group = "rack"`},
		{`window = 2.5`, `window = 0`},
		{`promised_ms = 150.5`, `promised_ms = 0`},
		{`promised_ms = 150.5`, `promised_ms = 800`},
		{`benefit = 5.5`, `benefit = 0`},
		{`overdue_benefit = 0.25`, `overdue_benefit = 1.5`},
		{`runs_in = ["kolkata-salt-lake"]`, `runs_in = []`},
		{`allowed_on = ["full-box", "half-box"]`, `allowed_on = ["", "a"]`},
		{`listen = "127.0.0.1:11230"`, `tenant = "maps"`},
		{`type = "tile"`, `type = "view"`},
		{`wait_header = "X-Wait"`, `wait_header = "X Wait"`},
		{`name = "streets"`, `name = "wmts"`},
		{`name = "streets"`, `name = "st reets"`},
		{`formats = ["png", "pbf"]`, `formats = ["png", "gif"]`},
		{`styles = ["day", "night"]`, `styles = ["day/night"]`},
		{`sets = ["GoogleMapsCompatible", "local"]`, `sets = ["other"]`},
		{`max_zoom = 1`, `max_zoom = 2`},
		{`min_zoom = 1`, `min_zoom = -1`},
		{`bounds = [-10.5, -20.5, 30.5, 40.5]`, `bounds = [1.0, 2.0]`},
		{`values = ["2020", "2021"]`, `values = []`},
		{`values = ["2020", "2021"]`, `values = ["20 20"]`},
		{`name = "local"`, `name = "GoogleMapsCompatible"`},
		{`crs = "EPSG:3857"`, ``},
		{`scale = 1000.5`, `scale = 0`},
	} {
		if !strings.Contains(full, c.old) {
			t.Fatalf("%q is not in operators-full.toml", c.old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(full, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		all += "=== " + c.old + " -> " + c.new + "\n"
		if err != nil {
			all += strings.ReplaceAll(err.Error(), directory, "DIR") + "\n"
		}
	}
	for _, text := range []string{
		"[[team]]\nname = \"a\"\n",
		"[[team]]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\n[team.tiles]\n",
		"[[pool]]\nname = \"p\"\n[[pool]]\nname = \"p\"\n",
		"[zone]\non = true\n[cold]\nrouter = 1\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		all += "=== " + text + strings.ReplaceAll(err.Error(), directory, "DIR") + "\n"
	}
	_, err = Read(filepath.Join(directory, "none.toml"))
	all += "=== none\n" + strings.ReplaceAll(err.Error(), directory, "DIR") + "\n"
	// The TOML library's error about a value of the wrong type contains the Go type. When the golden file was written, its
	// package was called operators.
	all = strings.ReplaceAll(all, "struct field operatorconfig.", "struct field operators.")
	golden := filepath.Join("testdata", "faults.golden")
	if *writeGolden {
		if err := os.WriteFile(golden, []byte(all), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Split(all, "=== ")
	for i, wantCase := range strings.Split(string(want), "=== ") {
		if i >= len(got) || got[i] != wantCase {
			t.Errorf("case %d:\n got %q\nwant %q", i, got[min(i, len(got)-1)], wantCase)
		}
	}
	if all != string(want) {
		t.Errorf("got %d cases, want the same number and text as in %s", len(got), golden)
	}
}

// Changed values that take effect only after a restart are reported by the keys of the operators' file.
func TestRestartKeysOfFullFile(t *testing.T) {
	full, err := Read("../../cmd/bendtrestle/testdata/operators-full.toml")
	if err != nil {
		t.Fatal(err)
	}
	defaultFile, _ := Read("")
	keys := defaultFile.RestartKeys(full)
	if !slices.Equal(keys, []string{"zones.on", "recovery.on", "gossip", "cold.routers"}) {
		t.Errorf("got restart keys %q, want zones.on, recovery.on, gossip and cold.routers", keys)
	}
}
