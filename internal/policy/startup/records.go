package startup

import "slices"

// Rule says how strongly a record binds the next process.
type Rule string

// The rules.
const (
	Binding Rule = "binding" // never undone by something older
	Hint    Rule = "hint"    // used until something newer comes
)

// RecordKind is something that outlives a process, and what may be made of it. `check` prints it.
type RecordKind struct {
	Name          string // of hints also in the snapshot
	Content       string
	Rule          Rule
	MaxAgeSeconds float64 // after which it is not used; 0: it has no age
	Fallback      string  // what is done until something newer proves or overrules it
}

// Names of the kinds, as `check` prints them; those of hints are also the names of the records in the snapshot. They
// stay as they have always been: "out" are the servers and zones that operators have disabled or evacuated.
const (
	CompletionRate  = "rate"
	EndpointList    = "list"
	DisabledServers = "out"
)

// RecordKinds is all that is kept. What two processes could both believe to be theirs, as requests and connections,
// never is. `check` prints the texts, which stay as they are. In these "executions" are attempts, "out by hand" is
// disabled or evacuated by an operator, and "rule 4" is the bound on the load of servers that are warming up
// (balancer.Settings.OverloadFactor).
var RecordKinds = []RecordKind{
	{
		Name:          CompletionRate,
		Content:       "executions a second that servers finished here",
		Rule:          Hint,
		MaxAgeSeconds: 300, // traffic of some minutes ago is like today's; that of hours ago would overload cold servers
		Fallback:      "it allows cold servers work; what finishes now takes its place over the warm-up",
	},
	{
		Name:          EndpointList,
		Content:       "the last list, where the platform gives none",
		Rule:          Hint,
		MaxAgeSeconds: 600, // an older list names servers that are long gone, each of which costs an attempt
		Fallback:      "its servers are used as if they had just started: which have, it cannot tell (rule 4)",
	},
	{
		// Kept by package disabledservers in files of its own, not in the snapshot.
		Name:     DisabledServers,
		Content:  "servers and zones out by hand",
		Rule:     Binding,
		Fallback: "held as they stand, in files of their own",
	},
}

// Usable reports whether a record of a kind, stored at a time of the machine's clock, may still be used. A clock that
// went back makes it of the future: then nothing is known of its age, and it is not used. A record of an unknown kind
// is not, either.
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
