package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// All example scenarios are valid, have an about text and are named after their files.
func TestExampleScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/scenarios/*.toml")
	if err != nil || len(paths) < 12 {
		t.Fatalf("got %d scenarios, %v; want at least 12", len(paths), err)
	}
	for _, path := range paths {
		s, err := ReadScenario(path)
		if err != nil {
			t.Error(err)
		} else if s.Name+".toml" != filepath.Base(path) || s.About == "" {
			t.Errorf("%s: got name %s and about %q, want the file's name and a text", path, s.Name, s.About)
		}
	}
}

// The error of an invalid scenario names file, line and key, before anything starts.
func TestInvalidScenarioErrors(t *testing.T) {
	const head = "name = \"s\"\nseconds = 10\n"
	for text, want := range map[string]string{
		"[[fault]]\nkind = \"quake\"\nat = 1":                                                        `test.toml:4: fault.0.kind: "quake" is not a fault; there are break-off, cease, close-behind, conns-late, conns-reset, contract, crash,`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"server:9\"\nat = 1\nfor = 1":                        `test.toml:5: fault.0.target: "server:9": "9" is not a number from 0 to 5`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"router:0\"\nat = 1\nfor = 1":                        `fault.0.target: "router:0" is not server:NUMBER`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 11\nfor = 1":                        `test.toml:6: fault.0.at: 11 is past the end, 10`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 9\nfor = 2":                         `test.toml:7: fault.0.for: it ends at 11, past the end, 10`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 9":                                  `fault.0.for: 0 is not above 0`,
		"[[fault]]\nkind = \"slow\"\ntarget = \"servers\"\nat = 1\nfor = 1":                          `fault.0.factor: 0 is not above 0 and between 1 and 1000`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 1\nfor = 1\nfactor = 2.0":           `fault.0.factor: stall has no such parameter`,
		"[[fault]]\nkind = \"surge\"\ntarget = \"type:other\"\nat = 1\nfor = 1\nfactor = 2.0":        `"type:other": there is no such type`,
		"[[fault]]\nkind = \"router-kill\"\ntarget = \"routers:101%\"\nat = 1\nfor = 1":              `is not a number from 1 to 100`,
		"[[fault]]\nkind = \"hot-key\"\ntarget = \"server:1\"\nat = 1\nfor = 1\npart = 0.5":          `"server:1": this kind of fault has no target`,
		"[fleet]\nservers = 0\nspeed = [2.0, 1.0]":                                                   `test.toml:4: fleet.servers: 0 is not between 1 and 400`,
		"[fleet]\nspeed = [2.0, 1.0]":                                                                `fleet.speed: [2 1] is not a lowest and a highest speed above 0`,
		"[[fault]]\nkind = \"part\"\ntarget = \"zone:7\"\nat = 1\nfor = 1":                           `test.toml:5: fault.0.target: "zone:7": "7" is not a zone number from 0 to 1`,
		"[[fault]]\nkind = \"part\"\ntarget = \"zone:1\"\nfrom = \"east\"\nat = 1\nfor = 1":          `fault.0.from: "east" is not router:N`,
		"[[fault]]\nkind = \"part\"\ntarget = \"zone:1\"\nwhat = [\"wires\"]\nat = 1\nfor = 1":       `fault.0.what: "wires" is not one of servers, words, list`,
		"[[fault]]\nkind = \"words-lose\"\ntarget = \"routers\"\npart = 0.5\nat = 1\nfor = 1":        `words-lose needs routers.peers`,
		"[[fault]]\nkind = \"state-lost\"\ntarget = \"routers\"\nat = 1":                             `state-lost needs routers.folders`,
		"[[region]]\nname = \"w\"\nzones = [\"zone-9\"]":                                             `region.0.zones: "zone-9" is already in a region, or not one of zone-0, zone-1`,
		"[[fault]]\nkind = \"read-slow\"\npart = 0.1\nat = 1\nfor = 1":                               `fault.0.rate: 0 is not above 0 and between 200000 and 1e+09`,
		"[[fault]]\nkind = \"read-pause\"\npart = 0.1\ndelay = 9.0\nat = 1\nfor = 1":                 `test.toml:6: fault.0.delay: 9 is not above 0 and between 0 and 8`,
		"[[fault]]\nkind = \"close-behind\"\npart = 0.1\ntarget = \"servers\"\nat = 1\nfor = 1":      `close-behind needs a type whose size is above 65536`,
		"[[fault]]\nkind = \"stall\"\ntarget = \"servers\"\nat = 1\nfor = 1\nrate = 5.0":             `fault.0.rate: stall has no such parameter`,
		"[[type]]\nname = \"a\"\nshare = 1\neffect = \"reissuable\"\nsize = 4194305":                 `test.toml:7: type.0.size: 4194305 bytes are not between 0 and 4194304`,
		"[[type]]\nname = \"a\"\nshare = 1\neffect = \"reissuable\"\nsize = 60001\nscheme = \"xyz\"": `type.0.size: 60001 bytes are not between 0 and 60000`,
		"[fleet]\nserver = 3":               `test.toml:4: fleet.server: unknown key`,
		"[clients]\nconnections = \"some\"": `clients.connections: "some" is not kept, new or once`,
		"[routers]\nskew = [1.0]":           `routers.skew: 1 weights for 2 routers`,
		"[[type]]\nname = \"read\"\nshare = 1\neffect = \"maybe\"\nwork_ms = 1\npromised_ms = 9":                                `type.0.effect: "maybe" is not reissuable, numbered or at-most-once`,
		"[[type]]\nname = \"a\"\nshare = 1\neffect = \"numbered\"\nwork_ms = 1\npromised_ms = 9\nhard_stop_ms = 5\nbenefit = 1": `type.0.hard_stop_ms: 5 is below the promised time, 9`,
	} {
		_, err := ParseScenario("test.toml", head+text+types)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q:\ngot %v\nwant %s", text, err, want)
		}
	}
	bound := "[[type]]\nname = \"a\"\nshare = 1\neffect = \"reissuable\"\nwork_ms = 1\npromised_ms = 5\nhard_stop_ms = 5\nbenefit = 1\nruns_in = [\"zone-7\"]"
	_, err := ParseScenario("test.toml", head+"[fleet]\nmachines = []\n"+bound)
	for _, want := range []string{"fleet.machines: [] does not name", `:13: type.0.runs_in: "zone-7" is not one of zone-0, zone-1`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("zones and machine types without servers: got %v, want %s", err, want)
		}
	}
	if _, err := ParseScenario("test.toml", head); err == nil || !strings.Contains(err.Error(), "type: none") {
		t.Errorf("without traffic types: got %v, want an error for the key type", err)
	}
}

// Resolve accepts the name of a baseline and the path of a program, and rejects other names.
func TestResolve(t *testing.T) {
	dir := t.TempDir()
	if p, err := Resolve(t.Context(), "random", dir); err != nil || p.Args[1] != "router" {
		t.Errorf("baseline: got %v, %v; want this program's command router", p, err)
	}
	path := filepath.Join(dir, "program")
	os.WriteFile(path, nil, 0o755)
	if p, err := Resolve(t.Context(), path, dir); err != nil || p.Args[0] != path {
		t.Errorf("path of a program: got %v, %v; want its path", p, err)
	}
	if _, err := Resolve(t.Context(), "no-such-thing", dir); err == nil || !strings.Contains(err.Error(), "is not head, a baseline") {
		t.Errorf("unknown name: got %v, want an error with the accepted names", err)
	}
}
