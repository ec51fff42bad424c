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
		t.Errorf("got %+v, %v, want the defaults", f, err)
	}
}

func TestSettingsNameTheirSource(t *testing.T) {
	path := writeFile(t, "# ours\n[log]\nlevel = \"warn\"\n")
	f, err := Read(path)
	if err != nil || f.Log != (Log{"warn", "json"}) {
		t.Fatalf("got %+v, %v, want the level warn", f, err)
	}
	s := f.Settings()
	if s[0] != (Setting{"log.level", "warn", path + ":3"}) || s[1] != (Setting{"log.form", "json", "default"}) {
		t.Errorf("got settings %+v, want log.level from line 3 and the default of log.form", s)
	}
}

// Read reports all faults of a file together, with their lines.
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
			t.Fatalf("%q: got no error", text)
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
		t.Error("missing file: got no error")
	}
}

// The example file in the folder deploy is valid.
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

// classTableWith returns the table of a traffic class with the given values.
func classTableWith(name, effect string, promised, hardStop, benefit int, more string) string {
	return fmt.Sprintf("[[team.type]]\nname = %q\neffect = %q\npromised_ms = %d\nhard_stop_ms = %d\nbenefit = %d\n%s",
		name, effect, promised, hardStop, benefit, more)
}

const tileLayer = `[team.tiles]
[[team.tiles.layer]]
name = "l"
`

// Errors about contracts and pools contain the key and describe the problem.
func TestContractErrors(t *testing.T) {
	const byTenantA = "tenant = \"a\"\n"
	const byTenantB = "tenant = \"b\"\n"
	const byListen = "listen = \"127.0.0.1:2\"\n"
	const tilePool = "[[pool]]\nname = \"p\"\nprotocol = \"tiles\"\ndiscovery = \"127.0.0.1:1\"\nconnections = 0.2\n"
	for _, c := range []struct{ name, text, want string }{
		{"a type twice", poolTable + teamTable("a", byTenantA+classTable+classTable), `duplicate traffic type "t"`},
		{"no route", poolTable + teamTable("a", classTable),
			"team.0.tenant: missing, as are listen and prefix; without one of them no request matches the team"},
		{"a route twice", poolTable + teamTable("a", byTenantA+classTable) + teamTable("b", byTenantA+classTable),
			`"a" already belongs to team a; this route would never match`},
		{"budgets above the capacity",
			poolTable + teamTable("a", byTenantA+classTable) + teamTable("b", byTenantB+classTable),
			`with this budget the budgets of pool "p" add up to 4, more than its capacity of 3`},
		{"a team twice", poolTable + teamTable("a", byTenantA+classTable) + teamTable("a", byTenantB+classTable),
			`team.1.name: duplicate name "a"`},
		{"no such pool", teamTable("a", byTenantA+classTable), `"p" is not the name of a pool`},
		{"no type", poolTable + teamTable("a", byTenantA), "a contract needs at least one [[team.type]]"},
		{"a tenant of two words", poolTable + teamTable("a", "tenant = \"a b\"\n"+classTable),
			`"a b" can never match; a tenant has no spaces`},
		{"a prefix of two words", poolTable + teamTable("a", "prefix = \"a b\"\n"+classTable),
			`"a b" can never match; a key has at most 250 bytes, and no spaces`},
		{"no address", poolTable + teamTable("a", "listen = \"here\"\n"+classTable), `"here" is not an address and a port`},
		{"weight", poolTable + teamTable("a", byTenantA+"weight = -1.0\n"+classTable), "team.0.weight: -1 is below 0"},
		{"burst", poolTable + teamTable("a", byTenantA+"burst = -1.0\n"+classTable), "team.0.burst: -1 is below 0"},
		{"a window of the wrong type", poolTable + teamTable("a", byTenantA+classTable+"window = \"x\"\n"),
			"team.type.window: "},
		{"no zone", poolTable + teamTable("a", byTenantA+classTable+"runs_in = []\n"),
			":17: team.0.type.0.runs_in: [] is empty or contains an empty name"},
		{"an empty kind of machine", poolTable + teamTable("a", byTenantA+classTable+"allowed_on = [\"\"]\n"),
			"team.0.type.0.allowed_on: [\"\"] is empty or contains an empty name"},
		{"deadline before the objective", poolTable + teamTable("a", byTenantA+classTableWith("t", "numbered", 9, 5, 1, "")),
			"team.0.type.0.hard_stop_ms: 5 is below promised_ms, 9"},
		{"no window", poolTable + teamTable("a", byTenantA+classTableWith("t", "numbered", 1, 5, 1, "")),
			"team.0.type.0.window: 0 is not above 0"},
		{"effect", poolTable + teamTable("a", byTenantA+classTableWith("t/u", "any", 0, 0, 0, "group = \"x\"\n")),
			`"any" is not one of reissuable, numbered, at-most-once`},
		{"others", "[broker]\nothers = \"me\"\n", `broker.others: "me" is not one of platform, nobody`},
		{"a pool twice", poolTable + poolTable, `pool.1.name: duplicate name "p"`},
		{"connections", "[[pool]]\nname = \"p\"\ndiscovery = \"x\"\nconnections = 0.95\n",
			"0.95 is not above 0 and at most 0.9 of all"},
		{"tiles by tenant", tilePool + teamTable("a", byTenantA+byListen+tileLayer+classTable),
			"tile requests are matched by their listener only"},
		{"tiles of another pool", poolTable + teamTable("a", byListen+tileLayer+classTable),
			"needs a pool whose protocol is tiles"},
		{"warm", poolTable + "warm = 0.0\n", "pool.0.warm: 0 is not above 0"},
	} {
		_, err := Read(writeFile(t, c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %s\ngot %v\nwant %s", c.name, c.text, err, c.want)
		}
	}
}

// Contracts and pools are read with their defaults, and contracts are printed as a table.
func TestContractsAndPoolSettings(t *testing.T) {
	contract := teamTable("a", "tenant = \"a\"\nprefix = \"a:\"\nborrow = 0.5\n"+classTable+"allowed_on = [\"m2\"]\n")
	f, err := Read(writeFile(t, poolTable+"most_executions = 2\nwarm = 7.0\n"+contract))
	if err != nil {
		t.Fatal(err)
	}
	terms := f.Terms()
	if len(terms) != 1 || terms[0].Burst != 2 || terms[0].BorrowRate != 0.5 || terms[0].TrafficClasses[0].Deadline != 0.5 ||
		terms[0].TrafficClasses[0].PlacementRules() != "on m2" || terms[0].Pool != "p" {
		t.Errorf("got terms %+v, want one contract with the values of the file", terms)
	}
	set := f.Pools[0].Settings(balancer.Settings{MaxAttempts: 5, WarmupDuration: 9, OverloadFactor: 4, GossipAllowed: true,
		TrafficClasses: []balancer.TrafficClass{{}}})
	if set.MaxAttempts != 2 || set.WarmupDuration != 7 || set.OverloadFactor != 4 || set.GossipAllowed ||
		!set.RetryBudgetPerTenant || len(set.TrafficClasses) > 0 {
		t.Errorf("got settings %+v, want the platform's, overridden by those of the pool", set)
	}
	if p := f.Pools[0]; p.ConnectTimeout(0.5) != 0.5 || p.IdleTimeout(60) != 60 || p.AttemptsPerConnection(9) != 9 {
		t.Errorf("pool %+v: want the platform's timeouts and attempts per connection, as the pool has none", p)
	}
	if rows := f.ContractTable(); len(rows) != 2 || rows[1][2] != "tenant a, prefix a:" || rows[1][7] != "reissuable" {
		t.Errorf("got table %v, want a row of headings and one row for the team", rows)
	}
}

// Errors about regions contain the line and describe the problem.
func TestRegionErrors(t *testing.T) {
	const zonesOn = "[zones]\non = true\n"
	region := func(zones string) string { return "[[region]]\nname = \"w\"\nzones = " + zones + "\n" }
	for _, c := range []struct{ name, text, want string }{
		{"a region twice", zonesOn + region(`["a"]`) + region(`["a"]`), `:7: region.1.name: duplicate name "w"`},
		{"no zone", zonesOn + region(`[]`), `:5: region.0.zones: empty`},
		{"a zone twice", zonesOn + region(`["a", "a"]`), `"a" is already in region "w"`},
		{"zones are off", region(`["a"]`), `regions have no effect while zones.on is false`},
	} {
		if _, err := Read(writeFile(t, c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// Errors about gossip and slow start contain the line and describe the problem.
func TestGossipAndSlowStartErrors(t *testing.T) {
	const gossipOn = "[gossip]\non = true\n"
	for _, c := range []struct{ name, text, want string }{
		{"too few bytes", gossipOn + "bytes_per_second = 500\n",
			`:3: gossip.bytes_per_second: 500 is not from 7000 to 70000`},
		{"no number", gossipOn + "bytes_per_second = nan\n", `:3: gossip.bytes_per_second: NaN is not from 7000 to 70000`},
		{"gossip is off", "[gossip]\nbytes_per_second = 7000\n",
			`:2: gossip.bytes_per_second: has no effect while gossip.on is false`},
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

// Gossip is off by default. Changes of gossip and of the slow-start limit are reported as needing a restart.
func TestFeatureDefaultsAndRestartKeys(t *testing.T) {
	gossip, err := Read(writeFile(t, "[gossip]\non = true\n"))
	if err != nil || gossip.Gossip != (Gossip{On: true, BytesPerSecond: 7000}) {
		t.Errorf("got %+v, %v, want gossip on with 7000 bytes per second", gossip.Gossip, err)
	}
	cold, err := Read(writeFile(t, "[cold]\nrouters = 4000\n"))
	if err != nil || cold.Cold.Routers != 4000 {
		t.Errorf("got %+v, %v, want 4000 routers", cold.Cold, err)
	}
	defaultFile, err := Read("")
	if defaultFile.Cold.Routers != 64 || fmt.Sprint(defaultFile.RestartKeys(cold)) != "[cold.routers]" {
		t.Errorf("without a file: got %+v, restart keys %v, want 64 routers, [cold.routers]",
			defaultFile.Cold, defaultFile.RestartKeys(cold))
	}
	if err != nil || defaultFile.Gossip.On || fmt.Sprint(defaultFile.RestartKeys(gossip)) != "[gossip]" {
		t.Errorf("without a file: got %+v, %v, restart keys %v, want gossip off, [gossip]",
			defaultFile.Gossip, err, defaultFile.RestartKeys(gossip))
	}
}
