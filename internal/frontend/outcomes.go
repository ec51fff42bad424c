package frontend

// Outcomes counts how requests of a class ended: with a server's result, rejected (a retry is safe), or failed (it is
// unknown whether the request was executed). Requests whose client disconnected before the answer are not counted.
type Outcomes struct{ Succeeded, Rejected, Failed uint64 }

// outcome is the kind of a request's answer.
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

// OutcomesOf returns the counts of the outcomes of a class since the start.
func (f *Frontend) OutcomesOf(class string) Outcomes {
	outcomes := f.outcomes[class]
	if outcomes == nil {
		return Outcomes{}
	}
	return *outcomes
}

// countOutcome counts the end of a request. The map stays small, because only classes of the settings and of the quotas
// occur.
func (f *Frontend) countOutcome(class string, kind outcome) {
	outcomes := f.outcomes[class]
	if outcomes == nil {
		outcomes = &Outcomes{}
		f.outcomes[class] = outcomes
	}
	outcomes.count(kind)
}
