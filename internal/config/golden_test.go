package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden from the current output")

// The text of every error stays as in the golden file: one line for each fault, with file, line and key.
func TestGoldenFaults(t *testing.T) {
	const file = `{
 "name": "n3",
 "listen": "127.0.0.4:11211",
 "discovery": "127.2.0.1:8500",
 "seed": "8c1f30d27a5be964",
 "limits": {
  "cores": 2.5,
  "memory_mb": 64,
  "sockets": 512
 },
 "peers": ["127.3.0.1:7946"],
 "settings": {
  "me": 2,
  "weights": "nominal",
  "limits": {
   "connIdle": 30000000000,
   "connectTimeout": 75000000
  },
  "trafficTypes": [
   {"name": "t",
    "hardStop": 750000000}
  ]
 }
}
`
	all := ""
	directory := t.TempDir()
	path := filepath.Join(directory, "config.json")
	for _, c := range []struct{ old, new string }{
		{`"name": "n3"`, `"name": 7`},
		{`"name": "n3",`, `"name": "n3"`},
		{`{
 "name"`, `[{"name"`},
		{`"127.0.0.4:11211"`, `"here"`},
		{`"discovery": "127.2.0.1:8500"`, `"discovery": 7`},
		{`"listen": "127.0.0.4:11211",`, ``},
		{`"peers": [`, `"ops": "there", "peers": [`},
		{`"peers": [`, `"peer_listen": "there", "peers": [`},
		{`"peers": [`, `"peers_all": "there", "peers": [`},
		{`"127.3.0.1:7946"`, `"x", "127.3.0.1:7946", "y"`},
		{`["127.3.0.1:7946"]`, `[7]`},
		{`["127.3.0.1:7946"]`, `7`},
		{`"cores": 2.5`, `"cores": 0`},
		{`"cores": 2.5`, `"cores": "two"`},
		{`"memory_mb": 64`, `"memory_mb": 31`},
		{`"sockets": 512`, `"sockets": 63`},
		{`"8c1f30d27a5be964"`, `"seed"`},
		{`"settings": {`, `"setting": {`},
		{`"settings": {`, `"known": 7, "settings": {`},
		{`"settings": {`, `"known": {"instances": [{"instanceId": 7}]}, "settings": {`},
		{`"me": 2`, `"me": -2`},
		{`"me": 2`, `"me": 2.5`},
		{`"me": 2`, `"tenants": 7`},
		{`"me": 2`, `"tenants": [7]`},
		{`"me": 2`, `"kinds": [7]`},
		{`"me": 2`, `"limits": {"peers": "yes"}`},
		{`"hardStop": 750000000`, `"hardStop": "soon"`},
		{`"hardStop": 750000000`, `"runsIn": []`},
		{`"hardStop": 750000000`, `"allowedOn": [7]`},
		{`"hardStop": 750000000`, `"stream": 7`},
		{`[
   {"name": "t",
    "hardStop": 750000000}
  ]`, `[]`},
		{`"me": 2`, `"familyInfo": {"mode": "beside"}`},
		{`"weights": "nominal"`, `"weights": "heavy"`},
		{`"me": 2`, `"discovery": "asked"`},
		{`"me": 2`, `"loadInfo": {"how": "often"}`},
		{`"me": 2`, `"loadInfo": {"how": "inline"}`},
		{`"me": 2`, `"loadInfo": {"how": "inline", "names": ["x0", "x1", "tps", "depth", "mean_ms"]}`},
		{`"me": 2`, `"loadInfo": {"names": ["depth"]}`},
		{`"me": 2`, `"loadInfo": {"how": "inline", "names": ["qqs"]}`},
		{`"me": 2`, `"loadInfo": {"how": "on_probe", "names": ["depth"]}`},
		{`"weights": "nominal",
  "limits": {`, `"weights": "live", "limits": { "peers": true,`},
		{`"connIdle": 30000000000`, `"peers": false`},
		{`"connIdle": 30000000000`, `"connIdle": -1`},
		{`"connIdle": 30000000000`, `"streamsPerConn": 0`},
		{`"connIdle": 30000000000`, `"openCap": -1`},
		{`"connectTimeout": 75000000`, `"connectTimeout": null, "cancelling": 1`},
	} {
		if !strings.Contains(file, c.old) {
			t.Fatalf("%q is not in the configuration", c.old)
		}
		text := strings.Replace(file, c.old, c.new, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
		all += "=== " + c.old + " -> " + c.new + "\n"
		if err != nil {
			all += strings.ReplaceAll(err.Error(), directory, "DIR") + "\n"
		}
		if _, err := Parse([]byte(text), func(string) string { return "" }); err != nil {
			all += "parsed: " + err.Error() + "\n"
		}
	}
	for _, path := range []string{"", filepath.Join(directory, "none.json")} {
		_, err := Read(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] })
		all += strings.ReplaceAll("=== "+path+"\n"+err.Error()+"\n", directory, "DIR")
	}
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
