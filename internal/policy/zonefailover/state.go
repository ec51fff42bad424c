package zonefailover

// State is a named part of a zone's course, as this router sees it.
type State uint8

// The states, in the order in which a zone goes through them. Their numbers are those of the messages between routers.
const (
	Serving    State = iota // serves all of its keys
	Suspected               // serves all of its keys, though this router or others have had no answer there for a while
	Evacuated               // serves no keys
	Probing                 // evacuated, and this router is one of the few that probe it now
	Recovering              // serves a growing share of its keys
)

// stateTexts are the states' names in logs and in the admin server's answers, which operators and dashboards read. They
// stay as they have always been:
//
//	text       state
//	well       Serving
//	suspected  Suspected
//	left       Evacuated
//	tried      Probing
//	returning  Recovering
//
// In the texts of reasons "left" and "let it return" stand for evacuated and recovering likewise, "by hand" for an
// operator's call, "tried" for probed, "executions" for attempts and "turned away" for rejected.
var stateTexts = [...]string{
	Serving:    "well",
	Suspected:  "suspected",
	Evacuated:  "left",
	Probing:    "tried",
	Recovering: "returning",
}

// String returns the state's name as logs and the admin server have it.
func (s State) String() string { return stateTexts[s] }

// evacuated reports whether a zone in this state has no keys but those of probes.
func (s State) evacuated() bool { return s == Evacuated || s == Probing }

// Outcome is how an attempt ended, as far as it says something of its zone.
type Outcome uint8

// The outcomes.
const (
	Answered     Outcome = iota // within its latency objective
	Late                        // answered beyond it
	Overloaded                  // rejected by the server
	NoAnswer                    // no answer, no connection, or the connection was lost
	Inconclusive                // cancelled by this router itself, or never sent
)

// Change is one transition of a zone, for the log.
type Change struct {
	Zone     string
	From, To State
	Share    float64 // of its keys that the zone serves from now on, 0 to 1
	Reason   string
}

// Status is what is known of one zone.
type Status struct {
	Zone             string
	State            State
	Share            float64 // of its keys that the zone serves, 0 to 1
	Since            float64 // when the state began, in seconds of the caller's clock
	Reason           string  // of the last change
	OperatorOverride bool    // evacuated by an operator
	Servers          int     // that the endpoint list has in service
	VotesAgainst     int     // routers that have had no answer there since all others
	VotesFor         int     // routers that have had one later
	RoutersHeard     int     // routers heard of lately, this one among them
	Evacuations      int     // of late
	Transitions      uint64  // evacuations and recoveries begun since the start
}

// Reasons of changes that carry no numbers. Logs and the admin server show them.
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
