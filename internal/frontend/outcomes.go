package frontend

// Outcomes counts how requests of a class ended: with a server's result, rejected (a retry is safe), or failed (it is
// unknown whether it was executed). Requests whose client left before its answer are not counted.
type Outcomes struct{ Succeeded, Rejected, Failed uint64 }

// outcome is how a request's answer counts.
type outcome int

const (
	outcomeSucceeded outcome = iota
	outcomeRejected
	outcomeFailed
)

func (o *Outcomes) count(kind outcome) {
	switch kind {
	case outcomeSucceeded:
		o.Succeeded++
	case outcomeRejected:
		o.Rejected++
	case outcomeFailed:
		o.Failed++
	}
}

// OutcomesOf returns how requests of a class ended since the start.
func (f *Frontend) OutcomesOf(class string) Outcomes {
	outcomes := f.outcomes[class]
	if outcomes == nil {
		return Outcomes{}
	}
	return *outcomes
}

// countOutcome counts the end of a request. The classes are those of the settings and of the quotas, so they are few.
func (f *Frontend) countOutcome(class string, kind outcome) {
	outcomes := f.outcomes[class]
	if outcomes == nil {
		outcomes = &Outcomes{}
		f.outcomes[class] = outcomes
	}
	outcomes.count(kind)
}
