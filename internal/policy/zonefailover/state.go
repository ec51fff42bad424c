package zonefailover

// State is the state of a zone at this router.
type State uint8

// The states, in the order in which a zone goes through them. Messages between routers encode their numbers.
const (
	Serving    State = iota // serves all of its keys
	Suspected               // serves all of its keys, although attempts of this or other routers there get no answer
	Evacuated               // serves no keys
	Probing                 // evacuated, and this router is one of the few that currently probe it
	Recovering              // serves a growing fraction of its keys
)

// stateTexts are the states' names in logs and in the admin server's answers. Operators and dashboards match them, so
// they must not change:
//
//	text       state
//	well       Serving
//	suspected  Suspected
//	left       Evacuated
//	tried      Probing
//	returning  Recovering
//
// The texts of reasons use the same words: "left" stands for evacuated, "let it return" for recovering, "by hand" for
// an operator's call, "tried" for probed, "executions" for attempts and "turned away" for rejected.
var stateTexts = [...]string{
	Serving:    "well",
	Suspected:  "suspected",
	Evacuated:  "left",
	Probing:    "tried",
	Recovering: "returning",
}

// String returns the state's name in logs and in the admin server's answers.
func (s State) String() string { return stateTexts[s] }

// evacuated reports whether a zone in this state serves no keys except those of probes.
func (s State) evacuated() bool { return s == Evacuated || s == Probing }

// Outcome is how an attempt ended, as evidence about its zone.
type Outcome uint8

// The outcomes.
const (
	Answered     Outcome = iota // within its latency objective
	Late                        // answered after its latency objective
	Overloaded                  // rejected by the server
	NoAnswer                    // not answered: timed out, not connected, or the connection was lost
	Inconclusive                // cancelled by this router itself, or never sent
)

// Change is one transition of a zone, for the log.
type Change struct {
	Zone     string
	From, To State
	Share    float64 // fraction of its keys that the zone serves from now on, 0 to 1
	Reason   string
}

// Status describes one zone for operators.
type Status struct {
	Zone              string
	State             State
	Share             float64 // fraction of its keys that the zone serves, 0 to 1
	Since             float64 // when the state began, in seconds of the caller's clock
	Reason            string  // of the last change
	OperatorOverride  bool    // evacuated by an operator
	Servers           int     // in service, by the endpoint list
	VotesAgainst      int     // routers whose attempts there get no answer
	VotesFor          int     // routers with a later answer
	RoutersHeard      int     // routers heard from recently, including this one
	RecentEvacuations int     // see historyRetention
	Transitions       uint64  // evacuations and recoveries begun since the start
}

// Reasons of changes without numbers. Logs and the admin server show them.
const (
	reasonInitial     = "as usual" // of a new zone
	reasonOperator    = "by hand"  // an operator's override, its end, or StartRecovery
	reasonAnswers     = "answers came"
	reasonLastZone    = "no zone would remain"
	reasonNoOtherZone = "no other zone serves all of its keys"
	reasonProbeHere   = "its turn to be tried from here"
	reasonProbeOthers = "others' turn to try it"
	reasonInTime      = "what it has finishes in time"
	reasonHeldBack    = "others hold it back"
	reasonOthersAhead = "others are ahead"
	reasonRecovered   = "it is back"
)
