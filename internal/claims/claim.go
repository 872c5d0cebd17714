package claims

import (
	"context"

	"bergamotreel/caller"
	"bergamotreel/idempotency"
	"bergamotreel/internal/serving"
	"bergamotreel/service"
)

// keptHeaders are the headers of an answer that a repeat needs.
var keptHeaders = []string{"Content-Type", "Location"}

// claim is the right to dispatch one call; see serving.Claim.
type claim struct {
	claimer  *Claimer
	key      idempotency.Key
	revision idempotency.Revision
	id       idempotency.ClaimID
}

// Begin implements serving.Claims.
func (c *Claimer) Begin(ctx context.Context, call caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	won, answer, err := c.begin(ctx, call)
	if won == nil {
		return nil, answer, err
	}
	return won, nil, nil
}

// Complete implements serving.Claim.
func (c *claim) Complete(answer service.Answer) { c.record(keptAnswer(answer)) }

// keptAnswer is what is kept of an answer for repeats.
func keptAnswer(answer service.Answer) idempotency.Answer {
	header := make(map[string]string)
	for _, name := range keptHeaders {
		if value := answer.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return idempotency.MakeAnswer(answer.Status, header, answer.Body)
}

// Release implements serving.Claim.
func (c *claim) Release() {
	c.end(idempotency.Entry{Release: &idempotency.Release{Key: c.key, Claim: c.revision, ID: c.id}})
}

// MarkUnknown implements serving.Claim: repeats are told at once that the call may
// have run, without waiting for an answer that will not come.
func (c *claim) MarkUnknown() { c.record(idempotency.Answer{}) }

func (c *claim) record(answer idempotency.Answer) {
	c.end(idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, Claim: c.revision, Answer: answer}})
}

func (c *claim) end(entry idempotency.Entry) {
	c.claimer.store(entry, func() { c.claimer.open.Add(-1) })
}
