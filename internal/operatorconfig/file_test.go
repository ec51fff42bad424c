package operatorconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bendtrestle/balancer"
)

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "operators.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadWithoutFileReturnsDefaults(t *testing.T) {
	f, err := Read("")
	if err != nil || f.Log != (Log{"info", "json"}) || f.Settings()[0].Source != "default" {
		t.Errorf("read %+v, %v", f, err)
	}
}

func TestSettingsNameTheirSource(t *testing.T) {
	path := writeFile(t, "# ours\n[log]\nlevel = \"warn\"\n")
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
func TestReadReportsAllFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevel = \"loud\"\nform = \"xml\"": `:2: log.level: "loud" is not one of debug, info, warn, error` + "\n" +
			`PATH:3: log.form: "xml" is not one of json, console`,
		"[log]\nlevels = \"info\"\n[contract]\na = 1": ":2: log.levels: unknown key\nPATH:3: contract: unknown key",
		"[log\n": ":1: ",
	} {
		path := writeFile(t, text)
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
func TestExampleFileParses(t *testing.T) {
	if _, err := Read("../../deploy/operators.toml"); err != nil {
		t.Error(err)
	}
}

const poolTable = `[[pool]]
name = "p"
discovery = "127.0.0.1:1"
capacity = 3.0
connections = 0.2
`

func teamTable(name, more string) string {
	return "[[team]]\nname = \"" + name + "\"\npool = \"p\"\nbudget = 2.0\n" + more
}

const classTable = `[[team.type]]
name = "t"
effect = "reissuable"
promised_ms = 100
hard_stop_ms = 500
benefit = 1
`

// classTableWith is a class with values of a test's.
func classTableWith(name, effect string, promised, hardStop, benefit int, more string) string {
	return fmt.Sprintf("[[team.type]]\nname = %q\neffect = %q\npromised_ms = %d\nhard_stop_ms = %d\nbenefit = %d\n%s",
		name, effect, promised, hardStop, benefit, more)
}

const tileLayer = `[team.tiles]
[[team.tiles.layer]]
name = "l"
`

// Every fault of a contract names its line, its key and what would be right.
func TestContractErrors(t *testing.T) {
	const byTenantA = "tenant = \"a\"\n"
	const byTenantB = "tenant = \"b\"\n"
	const byListen = "listen = \"127.0.0.1:2\"\n"
	const tilePool = "[[pool]]\nname = \"p\"\nprotocol = \"tiles\"\ndiscovery = \"127.0.0.1:1\"\nconnections = 0.2\n"
	for _, c := range []struct{ name, text, want string }{
		{"a type twice", poolTable + teamTable("a", byTenantA+classTable+classTable), `traffic type "t" is there twice`},
		{"no route", poolTable + teamTable("a", classTable), "team.0.tenant: missing, as are listen and prefix: nothing would ever match"},
		{"a route twice", poolTable + teamTable("a", byTenantA+classTable) + teamTable("b", byTenantA+classTable),
			`"a" is team a's already: this route would never match`},
		{"budgets above the capacity", poolTable + teamTable("a", byTenantA+classTable) + teamTable("b", byTenantB+classTable),
			`with it the budgets of pool "p" come to 4, more than its capacity, 3`},
		{"a team twice", poolTable + teamTable("a", byTenantA+classTable) + teamTable("a", byTenantB+classTable), `"a" is there twice`},
		{"no such pool", teamTable("a", byTenantA+classTable), `"p" is not the name of a pool`},
		{"no type", poolTable + teamTable("a", byTenantA), "a contract needs at least one [[team.type]]"},
		{"a tenant of two words", poolTable + teamTable("a", "tenant = \"a b\"\n"+classTable),
			`"a b" can never match: no client can name it`},
		{"a prefix of two words", poolTable + teamTable("a", "prefix = \"a b\"\n"+classTable), `"a b" can never match: no key begins so`},
		{"no address", poolTable + teamTable("a", "listen = \"here\"\n"+classTable), `"here" is not an address and a port`},
		{"weight", poolTable + teamTable("a", byTenantA+"weight = -1.0\n"+classTable), "team.0.weight: -1 is below 0"},
		{"burst", poolTable + teamTable("a", byTenantA+"burst = -1.0\n"+classTable), "team.0.burst: -1 is below 0"},
		{"a window that is a text", poolTable + teamTable("a", byTenantA+classTable+"window = \"x\"\n"), "team.type.window: "},
		{"no zone", poolTable + teamTable("a", byTenantA+classTable+"runs_in = []\n"),
			":17: team.0.type.0.runs_in: [] leaves it nowhere to run"},
		{"an empty kind of machine", poolTable + teamTable("a", byTenantA+classTable+"allowed_on = [\"\"]\n"),
			"team.0.type.0.allowed_on: [\"\"] leaves it nowhere to run"},
		{"deadline before the objective", poolTable + teamTable("a", byTenantA+classTableWith("t", "numbered", 9, 5, 1, "")),
			"team.0.type.0.hard_stop_ms: 5 is before the promised time, 9"},
		{"no window", poolTable + teamTable("a", byTenantA+classTableWith("t", "numbered", 1, 5, 1, "")),
			"team.0.type.0.window: 0 is not above 0"},
		{"effect", poolTable + teamTable("a", byTenantA+classTableWith("t/u", "any", 0, 0, 0, "group = \"x\"\n")),
			`"any" is not one of reissuable, numbered, at-most-once`},
		{"others", "[broker]\nothers = \"me\"\n", `broker.others: "me" is not one of platform, nobody`},
		{"a pool twice", poolTable + poolTable, `pool.1.name: "p" is there twice`},
		{"connections", "[[pool]]\nname = \"p\"\ndiscovery = \"x\"\nconnections = 0.95\n",
			"0.95 is not above 0 and at most 0.9 of all"},
		{"tiles by tenant", tilePool + teamTable("a", byTenantA+byListen+tileLayer+classTable),
			"tiles are known by their listener alone"},
		{"tiles of another pool", poolTable + teamTable("a", byListen+tileLayer+classTable), "needs a pool whose protocol is tiles"},
		{"warm", poolTable + "warm = 0.0\n", "pool.0.warm: 0 is not above 0"},
	} {
		_, err := Read(writeFile(t, c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %s\ngot %v\nwant %s", c.name, c.text, err, c.want)
		}
	}
}

// A contract is taken as it is written, with its defaults, and shown as a table.
func TestContractsAndPoolSettings(t *testing.T) {
	contract := teamTable("a", "tenant = \"a\"\nprefix = \"a:\"\nborrow = 0.5\n"+classTable+"allowed_on = [\"m2\"]\n")
	f, err := Read(writeFile(t, poolTable+"most_executions = 2\nwarm = 7.0\n"+contract))
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
	if set.MaxAttempts != 2 || set.WarmupDuration != 7 || set.OverloadFactor != 4 || set.GossipAllowed ||
		!set.RetryBudgetPerTenant || len(set.TrafficClasses) > 0 {
		t.Errorf("the pool's settings are %+v", set)
	}
	if p := f.Pools[0]; p.ConnectTimeout(0.5) != 0.5 || p.IdleTimeout(60) != 60 || p.AttemptsPerConnection(9) != 9 {
		t.Error("what it does not say is not as the platform's")
	}
	if rows := f.ContractTable(); len(rows) != 2 || rows[1][2] != "tenant a, prefix a:" || rows[1][7] != "reissuable" {
		t.Errorf("the table is %v", rows)
	}
}

// Faults of zones and regions name the line, what is wrong and what would be right.
func TestRegionErrors(t *testing.T) {
	const zonesOn = "[zones]\non = true\n"
	region := func(zones string) string { return "[[region]]\nname = \"w\"\nzones = " + zones + "\n" }
	for _, c := range []struct{ name, text, want string }{
		{"a region twice", zonesOn + region(`["a"]`) + region(`["a"]`), `:7: region.1.name: "w" is there twice`},
		{"no zone", zonesOn + region(`[]`), `:5: region.0.zones: names none`},
		{"a zone twice", zonesOn + region(`["a", "a"]`), `"a" is in region "w" already`},
		{"zones are off", region(`["a"]`), `regions do nothing while zones.on is false`},
	} {
		if _, err := Read(writeFile(t, c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// Faults of gossip and slow start name the line, what is wrong and what would be right.
func TestGossipAndSlowStartErrors(t *testing.T) {
	const gossipOn = "[gossip]\non = true\n"
	for _, c := range []struct{ name, text, want string }{
		{"too few bytes", gossipOn + "bytes_per_second = 500\n",
			`:3: gossip.bytes_per_second: 500 is not from 7000 to 70000`},
		{"no number", gossipOn + "bytes_per_second = nan\n", `:3: gossip.bytes_per_second: NaN is not from 7000 to 70000`},
		{"gossip is off", "[gossip]\nbytes_per_second = 7000\n",
			`:2: gossip.bytes_per_second: it does nothing while gossip.on is false`},
		{"too many bytes", gossipOn + "bytes_per_second = 1e9\n", `:3: gossip.bytes_per_second: 1e+09 is not from`},
		{"a text", "[gossip]\non = \"yes\"\n", `:2:`},
		{"no router", "[cold]\nrouters = 0\n", `:2: cold.routers: 0 is not from 1 to 100000`},
		{"routers that are no integer", "[cold]\nrouters = 1e9\n", `:2:`},
		{"unknown key", gossipOn + "bytes = 7000\n", `gossip.bytes`},
	} {
		if _, err := Read(writeFile(t, c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// Without a file gossip is off; what is switched on counts from a start.
func TestFeatureDefaultsAndRestartKeys(t *testing.T) {
	gossip, err := Read(writeFile(t, "[gossip]\non = true\n"))
	if err != nil || gossip.Gossip != (Gossip{On: true, BytesPerSecond: 7000}) {
		t.Errorf("got %+v, %v", gossip.Gossip, err)
	}
	cold, err := Read(writeFile(t, "[cold]\nrouters = 4000\n"))
	if err != nil || cold.Cold.Routers != 4000 {
		t.Errorf("got %+v, %v", cold.Cold, err)
	}
	usual, err := Read("")
	if usual.Cold.Routers != 64 || fmt.Sprint(usual.RestartKeys(cold)) != "[cold.routers]" {
		t.Errorf("without a file %+v, to restart for %v", usual.Cold, usual.RestartKeys(cold))
	}
	if err != nil || usual.Gossip.On || fmt.Sprint(usual.RestartKeys(gossip)) != "[gossip]" {
		t.Errorf("without a file %+v, %v, to restart for %v", usual.Gossip, err, usual.RestartKeys(gossip))
	}
}
