package startup

import "slices"

// Rule determines what may replace a record in the next process.
type Rule string

// The rules.
const (
	Binding Rule = "binding" // never overridden by anything older
	Hint    Rule = "hint"    // used until newer information arrives
)

// RecordKind describes a kind of record that outlives a process, and its use. The check command prints it.
type RecordKind struct {
	Name          string // for hints also the name in the snapshot
	Content       string
	Rule          Rule
	MaxAgeSeconds float64 // maximum age at which it is used; 0: unlimited
	Fallback      string  // what is done until newer information confirms or replaces it
}

// Names of the kinds, as the check command prints them. The names of hints also identify the records in the snapshot,
// so they must not change. "out" are the servers and zones that operators have disabled or evacuated.
const (
	CompletionRate  = "rate"
	EndpointList    = "list"
	DisabledServers = "out"
)

// RecordKinds lists all kinds of records that are kept for the next process. State that belongs to exactly one process,
// such as requests and connections, is never kept, because two processes could both use it. The check command prints
// the texts, which must not change. In these "executions" are attempts, "out by hand" means disabled or evacuated by an
// operator, and "rule 4" is the bound on the load of servers that are warming up (balancer.Settings.OverloadFactor).
var RecordKinds = []RecordKind{
	{
		Name:          CompletionRate,
		Content:       "executions a second that servers finished here",
		Rule:          Hint,
		MaxAgeSeconds: 300, // traffic resembles that of minutes ago; a rate from hours ago would overload cold servers
		Fallback:      "it allows cold servers work; what finishes now takes its place over the warm-up",
	},
	{
		Name:          EndpointList,
		Content:       "the last list, where the platform gives none",
		Rule:          Hint,
		MaxAgeSeconds: 600, // an older list contains many removed servers, each of which costs an attempt
		Fallback:      "its servers are used as if they had just started: which have, it cannot tell (rule 4)",
	},
	{
		// Stored by package disabledservers in its own files, not in the snapshot.
		Name:     DisabledServers,
		Content:  "servers and zones out by hand",
		Rule:     Binding,
		Fallback: "held as they stand, in files of their own",
	},
}

// Usable reports whether a record of a kind, stored at a time of the machine's clock, may still be used. A hint
// stored in the future is not used, because the clock was set back and its age is unknown. A record of an unknown kind
// is not used.
func Usable(kind string, storedAt, now float64) bool {
	i := slices.IndexFunc(RecordKinds, func(k RecordKind) bool { return k.Name == kind })
	if i < 0 {
		return false
	}
	maxAge := RecordKinds[i].MaxAgeSeconds
	if maxAge == 0 {
		return true
	}
	age := now - storedAt
	return age >= 0 && age <= maxAge
}
