package claims

import (
	"context"

	"bergamotreel/caller"
	"bergamotreel/idempotency"
	"bergamotreel/internal/serving"
	"bergamotreel/service"
)

// keptHeaders are the headers of an answer that a repeat needs.
var storedHeaders = []string{"Content-Type", "Location"}

// claim is the right to dispatch one call; see serving.Claim.
type claim struct {
	claimer  *Claimer
	key      idempotency.Key
	revision idempotency.Revision
	id       idempotency.ClaimID
}

// Begin implements serving.Claims.
func (c *Claimer) Begin(ctx context.Context, call caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	won, answer, err := c.beginClaim(ctx, call)
	if won == nil {
		return nil, answer, err
	}
	return won, nil, nil
}

// Done implements serving.Claim.
func (c *claim) Done(answer service.Answer) { c.recordOutcome(makeStoredAnswer(answer)) }

// keptAnswer is what is kept of an answer for repeats.
func makeStoredAnswer(answer service.Answer) idempotency.Answer {
	header := make(map[string]string)
	for _, name := range storedHeaders {
		if value := answer.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return idempotency.MakeAnswer(answer.Status, header, answer.Body)
}

// NotRun implements serving.Claim.
func (c *claim) NotRun() {
	c.finish(idempotency.Entry{Release: &idempotency.Release{Key: c.key, ClaimRevision: c.revision, ID: c.id}})
}

// Unknown implements serving.Claim: repeats are told at once that the call may
// have run, without waiting for an answer that will not come.
func (c *claim) Unknown() { c.recordOutcome(idempotency.Answer{}) }

func (c *claim) recordOutcome(answer idempotency.Answer) {
	c.finish(idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, ClaimRevision: c.revision, Answer: answer}})
}

func (c *claim) finish(entry idempotency.Entry) {
	c.claimer.storeInBackground(entry, func() { c.claimer.openClaims.Add(-1) })
}
