package state

// result is what a precondition check came to.
type result struct {
	verdict Verdict
	reason  string
}

var applied = result{verdict: VerdictApplied}

func conflict(reason string) result { return result{VerdictConflict, reason} }
func limit(reason string) result    { return result{VerdictLimit, reason} }
func invalid(reason string) result  { return result{VerdictInvalid, reason} }

// Reasons of outcomes that callers may match.
const (
	// ReasonForgotten answers a retry whose first outcome is no longer
	// remembered: the first landing may have been applied or not; the state
	// tells.
	ReasonForgotten = "sequence too old: its first outcome is forgotten"
	ReasonStale     = "made under an older version"
	ReasonNotKeeper = "not the engine's keeper"
	ReasonEnded     = "session ended"
)
