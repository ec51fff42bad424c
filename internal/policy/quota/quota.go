package quota

// Quota is the quota of one team, as configured by the operators.
type Quota struct {
	Team           string
	GuaranteedRate float64 // seconds of load per second, over all routers
	Burst          float64 // seconds of load that may be used at once after a pause, over all routers

	// BorrowRate is the largest rate at which the team may borrow unused load beyond its guaranteed rate, in seconds of
	// load per second. With 0 it may not borrow.
	BorrowRate float64

	// Weight determines the team's fraction of unused load relative to other borrowers. 0 stands for its guaranteed
	// rate.
	Weight float64

	// FlatCost is the load that every request is charged regardless of the load it causes. The quota is then a plain
	// rate limit, which serves for comparison. With 0 the measured load is charged.
	FlatCost float64
}

// Reason is why a request was admitted or rejected.
type Reason int

// Values of Reason.
const (
	WithinQuota Reason = iota // admitted within the guaranteed rate
	Borrowed                  // admitted from unused load of others
	OverQuota                 // rejected: beyond the guaranteed rate, and no unused load is available to this team
	UnknownTeam               // rejected: the team has no quota, or no longer has one
)

// Admitted reports whether the request is admitted.
func (r Reason) Admitted() bool { return r == WithinQuota || r == Borrowed }

// String returns the reason as it is shown to operators.
func (r Reason) String() string {
	return [...]string{"own budget", "borrowed", "budget", "no contract"}[r]
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason Reason

	// Reservation is to be passed to Settle when the admitted request ends; nil if the request was rejected.
	Reservation *Reservation

	// RetryAfter is the time in seconds after which the client of a rejected request may retry; 0 if not stated.
	RetryAfter float64
}

// Admitted reports whether the request is admitted.
func (v Verdict) Admitted() bool { return v.Reason.Admitted() }

// Reservation is the charge of an admitted request. It stays with the bucket that it was taken from, even if the quota
// changes or ends.
type Reservation struct {
	bucket   *Bucket
	cost     *ClassCost
	estimate float64 // seconds of load charged on admission
	reason   Reason
	settled  bool
}
