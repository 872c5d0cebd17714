package claims

import (
	"context"

	"bergamotreel/caller"
	"bergamotreel/idempotency"
	"bergamotreel/internal/serving"
	"bergamotreel/service"
)

// storedHeaders are the headers of an answer that are stored for repeats.
var storedHeaders = []string{"Content-Type", "Location"}

// claim implements serving.Claim for a claim made by this VM. It is the right
// to dispatch one call.
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

// Complete implements serving.Claim.
func (c *claim) Complete(answer service.Answer) { c.recordOutcome(makeStoredAnswer(answer)) }

// makeStoredAnswer returns the part of an answer that is stored for repeats.
func makeStoredAnswer(answer service.Answer) idempotency.Answer {
	header := make(map[string]string)
	for _, name := range storedHeaders {
		if value := answer.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return idempotency.MakeAnswer(answer.Status, header, answer.Body)
}

// Release implements serving.Claim.
func (c *claim) Release() {
	c.finish(idempotency.Entry{Release: &idempotency.Release{Key: c.key, ClaimRevision: c.revision, ID: c.id}})
}

// MarkUnknown implements serving.Claim. It records that the answer was lost, so
// that repeats are told at once that the call may have run.
func (c *claim) MarkUnknown() { c.recordOutcome(idempotency.Answer{}) }

func (c *claim) recordOutcome(answer idempotency.Answer) {
	c.finish(idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, ClaimRevision: c.revision, Answer: answer}})
}

func (c *claim) finish(entry idempotency.Entry) {
	c.claimer.storeInBackground(entry, func() { c.claimer.openClaims.Add(-1) })
}
