package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// answer is what one caller got.
type answer struct {
	text string
	err  error
	// took is the time until the end, without what the entry VM was frozen; first
	// is the time until the first token.
	took, first time.Duration
}

// collector is a Sink that puts the text together.
type collector struct {
	begun time.Time
	mu    sync.Mutex
	text  strings.Builder
	first time.Duration
}

func (c *collector) Cold() {}

func (c *collector) Chunk(chunk engine.Chunk) error {
	var parsed struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == 0 {
		c.first = time.Since(c.begun)
	}
	for _, choice := range parsed.Choices {
		c.text.WriteString(choice.Delta.Content)
	}
	return nil
}

func body(model, prompt string, tokens int) []byte {
	data, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return data
}

// ask sends one request for tokens and waits for its end.
func (s *system) ask(at, model, prompt string, tokens int) answer {
	begun := time.Now()
	sink := &collector{begun: begun}
	n := s.node(at)
	n.open.Add(1)
	defer n.open.Add(-1)
	frozen := n.gate.frozenTime()
	if s.twin == ownLoads {
		s.loadOnOwn("engine-"+at[len("v-"):], model)
	}
	err := n.Generate(n.alive, caller.Generation{
		Identity: caller.Identity{Customer: "trinidad"},
		Request: engine.Request{
			ID: at + "/" + prompt, Unit: model, Path: "/v1/chat/completions", Body: body(model, prompt, tokens),
		},
		Stream: true, Arrived: begun,
	}, sink)
	err = s.told(n, at+"/"+prompt, err)
	return answer{
		text: sink.text.String(), err: err, first: sink.first,
		took: time.Since(begun) - n.gate.frozenTime() + frozen,
	}
}

// whole tells whether the caller got all of its own answer.
func (a answer) whole(model, prompt string, tokens int) bool {
	return a.err == nil && a.text == engineserver.ExpectedText(body(model, prompt, tokens))
}

// book sends one booking.
func (s *system) book(at, key string) (service.Answer, error) {
	n := s.node(at)
	n.open.Add(1)
	defer n.open.Add(-1)
	answer, err := n.Call(n.alive, caller.ServiceCall{
		Identity: caller.Identity{Customer: "trinidad"}, Once: s.twin != noClaims, IdempotencyKey: key, Arrived: time.Now(),
		Service: contract.Service{Name: "booking", MaxWait: 5 * time.Second},
		Call: service.Call{
			RequestID: at + key, Method: "POST", Path: "/book", Body: []byte(`{"slot":"1","name":"pan"}`),
			Header: map[string][]string{"Idempotency-Key": {key}},
		},
	})
	return answer, s.told(n, at+"/"+key, err)
}

// loadOnOwn orders a load that nobody else knows of.
func (s *system) loadOnOwn(address, model string) {
	status, _ := s.engines.Status(s.ctx, address)
	_, _ = s.engines.Order(s.ctx, address, engine.Order{
		Token: status.HighestToken, Action: engine.ActionLoad, Unit: model, Checkpoint: model + ":v1", Bytes: 16 * gigabyte,
	})
}

// told is what the caller is told in the end; it notes a caller that a planned
// stop left without its answer.
func (s *system) told(n *entry, what string, err error) error {
	if err == nil {
		return nil
	}
	if n.leaving.Load() && (errors.Is(err, context.Canceled) || refusal.FromError(err).Code == refusal.CodeShuttingDown) {
		s.errorf("%s: cut off by a planned stop: %v", what, err)
	}
	if s.twin == unknownIsNo && !errors.Is(err, context.Canceled) {
		return refusal.New(refusal.CodeBackendFailed, time.Second, "%v", err)
	}
	return err
}

// bookings counts how often the booking of the key really ran.
func (s *system) bookings(key string) int {
	total := 0
	for _, ran := range s.booking.Calls() {
		if ran.IdempotencyKey == key {
			total += ran.Times
		}
	}
	return total
}
