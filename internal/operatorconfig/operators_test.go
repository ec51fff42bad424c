package operatorconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bendtrestle/balancer"
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

const pool = "[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\ncapacity = 3.0\nconnections = 0.2\n"

func team(name, more string) string {
	return "[[team]]\nname = \"" + name + "\"\npool = \"p\"\nbudget = 2.0\n" + more
}

const kind = "[[team.type]]\nname = \"t\"\neffect = \"reissuable\"\npromised_ms = 100\nhard_stop_ms = 500\nbenefit = 1\n"

// Every fault of a contract names its line, its key and what would be right.
func TestFaultsOfContracts(t *testing.T) {
	by := "tenant = \"a\"\n"
	for text, want := range map[string]string{
		pool + team("a", by+kind+kind):                                 `traffic type "t" is there twice`,
		pool + team("a", kind):                                         "team.0.tenant: missing, as are listen and prefix: nothing would ever match",
		pool + team("a", by+kind) + team("b", by+kind):                 `"a" is team a's already: this route would never match`,
		pool + team("a", by+kind) + team("b", "tenant = \"b\"\n"+kind): `with it the budgets of pool "p" come to 4, more than its capacity, 3`,
		pool + team("a", by+kind) + team("a", "tenant = \"b\"\n"+kind): `"a" is there twice`,
		team("a", by+kind):                                             `"p" is not the name of a pool`,
		pool + team("a", by):                                           "a contract needs at least one [[team.type]]",
		pool + team("a", "tenant = \"a b\"\n"+kind):                    `"a b" can never match: no client can name it`,
		pool + team("a", "prefix = \"a b\"\n"+kind):                    `"a b" can never match: no key begins so`,
		pool + team("a", "listen = \"here\"\n"+kind):                   `"here" is not an address and a port`,
		pool + team("a", by+"weight = -1.0\n"+kind):                    "team.0.weight: -1 is below 0",
		pool + team("a", by+"burst = -1.0\n"+kind):                     "team.0.burst: -1 is below 0",
		pool + team("a", by+kind+"window = \"x\"\n"):                   "team.type.window: ",
		pool + team("a", by+kind+"runs_in = []\n"):                     ":17: team.0.type.0.runs_in: [] leaves it nowhere to run",
		pool + team("a", by+kind+"allowed_on = [\"\"]\n"):              "team.0.type.0.allowed_on: [\"\"] leaves it nowhere to run",
		pool + team("a", by+"[[team.type]]\nname = \"t\"\neffect = \"numbered\"\npromised_ms = 9\nhard_stop_ms = 5\nbenefit = 1\n"): "team.0.type.0.hard_stop_ms: 5 is before the promised time, 9",
		pool + team("a", by+"[[team.type]]\nname = \"t\"\neffect = \"numbered\"\npromised_ms = 1\nhard_stop_ms = 5\nbenefit = 1\n"): "team.0.type.0.window: 0 is not above 0",
		pool + team("a", by+"[[team.type]]\nname = \"t/u\"\neffect = \"any\"\ngroup = \"x\"\npromised_ms = 0\nbenefit = 0\n"):       `"any" is not one of reissuable, numbered, at-most-once`,
		"[broker]\nothers = \"me\"\n": `broker.others: "me" is not one of platform, nobody`,
		pool + pool:                   `pool.1.name: "p" is there twice`,
		"[[pool]]\nname = \"p\"\ndiscovery = \"x\"\nconnections = 0.95\n": "0.95 is not above 0 and at most 0.9 of all",
		"[[pool]]\nname = \"p\"\nprotocol = \"tiles\"\ndiscovery = \"127.0.0.1:1\"\nconnections = 0.2\n" +
			team("a", by+"listen = \"127.0.0.1:2\"\n[team.tiles]\n[[team.tiles.layer]]\nname = \"l\"\n"+kind): "tiles are known by their listener alone",
		pool + team("a", "listen = \"127.0.0.1:2\"\n[team.tiles]\n[[team.tiles.layer]]\nname = \"l\"\n"+kind): "needs a pool whose protocol is tiles",
		pool + "warm = 0.0\n": "pool.0.warm: 0 is not above 0",
	} {
		_, err := Read(file(t, text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot %v\nwant %s", text, err, want)
		}
	}
}

// A contract is taken as it is written, with its defaults, and shown as a table.
func TestContracts(t *testing.T) {
	f, err := Read(file(t, pool+"most_executions = 2\nwarm = 7.0\n"+team("a", "tenant = \"a\"\nprefix = \"a:\"\nborrow = 0.5\n"+kind+"allowed_on = [\"m2\"]\n")))
	if err != nil {
		t.Fatal(err)
	}
	terms := f.Terms()
	if len(terms) != 1 || terms[0].Burst != 2 || terms[0].BorrowRate != 0.5 || terms[0].TrafficClasses[0].Deadline != 0.5 ||
		terms[0].TrafficClasses[0].PlacementRules() != "on m2" || terms[0].Pool != "p" {
		t.Errorf("the terms are %+v", terms)
	}
	set := f.Pools[0].Settings(balancer.Settings{MaxAttempts: 5, WarmupDuration: 9, OverloadFactor: 4, GossipAllowed: true,
		TrafficClasses: []balancer.TrafficClass{{}}})
	if set.MaxAttempts != 2 || set.WarmupDuration != 7 || set.OverloadFactor != 4 || set.GossipAllowed || !set.RetryBudgetPerTenant || len(set.TrafficClasses) > 0 {
		t.Errorf("the pool's settings are %+v", set)
	}
	if p := f.Pools[0]; p.ConnectTimeout(0.5) != 0.5 || p.ConnIdle(60) != 60 || p.Streams(9) != 9 {
		t.Error("what it does not say is not as the platform's")
	}
	if rows := f.Table(); len(rows) != 2 || rows[1][2] != "tenant a, prefix a:" || rows[1][7] != "reissuable" {
		t.Errorf("the table is %v", rows)
	}
}

// Faults of zones and regions name the line, what is wrong and what would be right.
func TestRegions(t *testing.T) {
	for text, want := range map[string]string{
		"[zones]\non = true\n[[region]]\nname = \"w\"\nzones = [\"a\"]\n[[region]]\nname = \"w\"\nzones = [\"a\"]\n": `:7: region.1.name: "w" is there twice`,
		"[zones]\non = true\n[[region]]\nname = \"w\"\nzones = []\n":                                                 `:5: region.0.zones: names none`,
		"[zones]\non = true\n[[region]]\nname = \"w\"\nzones = [\"a\", \"a\"]\n":                                     `"a" is in region "w" already`,
		"[[region]]\nname = \"w\"\nzones = [\"a\"]\n":                                                                `regions do nothing while zones.on is false`,
	} {
		if _, err := Read(file(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// A budget that was not tried, or that nothing goes by, is told by its line, with what would be right; without a word of it, it is off.
func TestGossip(t *testing.T) {
	for text, want := range map[string]string{
		"[gossip]\non = true\nbytes_per_second = 500\n": `:3: gossip.bytes_per_second: 500 is not from 7000 to 70000`,
		"[gossip]\non = true\nbytes_per_second = nan\n": `:3: gossip.bytes_per_second: NaN is not from 7000 to 70000`,
		"[gossip]\nbytes_per_second = 7000\n":           `:2: gossip.bytes_per_second: it does nothing while gossip.on is false`,
		"[gossip]\non = true\nbytes_per_second = 1e9\n": `:3: gossip.bytes_per_second: 1e+09 is not from`,
		"[gossip]\non = \"yes\"\n":                      `:2:`,
		"[cold]\nrouters = 0\n":                         `:2: cold.routers: 0 is not from 1 to 100000`,
		"[cold]\nrouters = 1e9\n":                       `:2:`,
		"[gossip]\non = true\nbytes = 7000\n":           `gossip.bytes`,
	} {
		if _, err := Read(file(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
	on, err := Read(file(t, "[gossip]\non = true\n"))
	if err != nil || on.Gossip != (Gossip{On: true, BytesPerSecond: 7000}) {
		t.Errorf("got %+v, %v", on.Gossip, err)
	}
	cold, err := Read(file(t, "[cold]\nrouters = 4000\n"))
	if err != nil || cold.Cold.Routers != 4000 {
		t.Errorf("got %+v, %v", cold.Cold, err)
	}
	off, err := Read("")
	if off.Cold.Routers != 64 || fmt.Sprint(off.Restart(cold)) != "[cold.routers]" {
		t.Errorf("without a file %+v, to restart for %v", off.Cold, off.Restart(cold))
	}
	if err != nil || off.Gossip.On || fmt.Sprint(off.Restart(on)) != "[gossip]" {
		t.Errorf("without a file %+v, %v, to restart for %v", off.Gossip, err, off.Restart(on))
	}
}
