package requestcore

// PassReason is why a value was passed on before all of it had arrived, although answers wait behind it: if its
// server's connection ends, these are lost.
type PassReason int

const (
	PassedNoMemory PassReason = iota // there was no memory to read it ahead
	PassedTimeUp                     // it could not be held any longer
	passReasonCount
)

// PassCounts are the numbers of values that were passed on incomplete, by PassReason.
type PassCounts [passReasonCount]uint64

// Add adds the numbers of another core.
func (p *PassCounts) Add(other PassCounts) {
	for reason, n := range other {
		p[reason] += n
	}
}

// PassReasonNames are the names of the reasons in metrics and logs.
var PassReasonNames = [passReasonCount]string{PassedNoMemory: "memory", PassedTimeUp: "time"}

// countPassedIncomplete counts and logs a value that is passed on incomplete before answers that wait behind it.
func (c *Core) countPassedIncomplete(reason PassReason) {
	c.Counts.PassedIncomplete[reason]++
	c.deps.Log.Debug().Str("why", PassReasonNames[reason]).
		Msg("a long value is passed on before it is complete; if it breaks off, the answers behind it are lost")
}
