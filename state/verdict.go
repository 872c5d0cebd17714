package state

// result is the verdict on a proposal, and its reason unless it was applied.
type result struct {
	verdict Verdict
	reason  string
}

var applied = result{verdict: VerdictApplied}

func conflict(reason string) result { return result{VerdictConflict, reason} }
func limit(reason string) result    { return result{VerdictLimit, reason} }
func invalid(reason string) result  { return result{VerdictInvalid, reason} }

// Reasons of outcomes that callers may match. Reasons are part of the encoded state,
// so a changed text changes the state's checksum.
const (
	// ReasonForgotten is the reason for a retry whose first outcome is no longer
	// stored. The first attempt may have been applied or not, which only the state
	// shows.
	ReasonForgotten = "sequence too old: its first outcome is forgotten"
	ReasonStale     = "made under an older version"
	ReasonNotKeeper = "not the engine's keeper"
	ReasonEnded     = "session ended"
)
