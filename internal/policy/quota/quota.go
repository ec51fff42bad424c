package quota

// Quota is what a team and the operators have agreed on.
type Quota struct {
	Team           string
	GuaranteedRate float64 // seconds of load a second, over all routers
	Burst          float64 // seconds of load that may come at once, over all routers

	// BorrowRate is the seconds of load a second, beyond the guaranteed rate, that the team may take of what others
	// leave unused; 0: none.
	BorrowRate float64

	// Weight is the team's part of what is left unused, against others' weights; 0: its guaranteed rate.
	Weight float64

	// FlatCost is what every request is charged, whatever it takes: a plain rate limit, to compare with; 0: what it
	// takes.
	FlatCost float64
}

// Reason says why a request was admitted or rejected.
type Reason int

// The reasons.
const (
	WithinQuota Reason = iota // admitted within the guaranteed rate
	Borrowed                  // admitted from what others leave unused
	OverQuota                 // rejected: beyond the guaranteed rate, and nothing is left unused for this team
	UnknownTeam               // rejected: there is no such team, or its quota was ended
)

// Admitted tells whether the request goes on.
func (r Reason) Admitted() bool { return r == WithinQuota || r == Borrowed }

// String is the reason as operators read it.
func (r Reason) String() string {
	return [...]string{"own budget", "borrowed", "budget", "no contract"}[r]
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason Reason

	// Reservation is the admitted request's, to be settled at its end; nil if it was rejected.
	Reservation *Reservation

	// RetryAfter is the seconds for which the client of a rejected request is to stay away; 0: none.
	RetryAfter float64
}

// Admitted tells whether the request goes on.
func (v Verdict) Admitted() bool { return v.Reason.Admitted() }

// Reservation is an admitted request. It belongs to the quota it began with, whatever becomes of that.
type Reservation struct {
	bucket   *Bucket
	cost     *ClassCost
	estimate float64 // seconds of load that were charged at once
	reason   Reason
	settled  bool
}
