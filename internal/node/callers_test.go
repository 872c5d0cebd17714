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

// answer is the result of one caller's request.
type answer struct {
	text string
	err  error
	// duration is the time until the end of the request without the time for which the
	// entry VM was frozen. firstToken is the time until the first token.
	duration, firstToken time.Duration
}

// collector is a Sink that concatenates the generated text.
type collector struct {
	start      time.Time
	mu         sync.Mutex
	text       strings.Builder
	firstToken time.Duration
}

func (c *collector) MarkCold() {}

func (c *collector) WriteChunk(chunk engine.Chunk) error {
	var parsed struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstToken == 0 {
		c.firstToken = time.Since(c.start)
	}
	for _, choice := range parsed.Choices {
		c.text.WriteString(choice.Delta.Content)
	}
	return nil
}

func requestBody(model, prompt string, tokens int) []byte {
	data, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return data
}

// generate sends a generation request and waits for its end.
func (s *system) generate(at, model, prompt string, tokens int) answer {
	start := time.Now()
	sink := &collector{start: start}
	n := s.node(at)
	n.openCalls.Add(1)
	defer n.openCalls.Add(-1)
	frozen := n.gate.frozenTime()
	if s.variant == uncoordinatedLoads {
		s.loadWithoutRight("engine-"+at[len("v-"):], model)
	}
	err := n.Generate(n.processCtx, caller.Generation{
		Identity: caller.Identity{Customer: "trinidad"},
		Request: engine.Request{
			ID: at + "/" + prompt, Unit: model, Path: "/v1/chat/completions", Body: requestBody(model, prompt, tokens),
		},
		Stream: true, Arrived: start,
	}, sink)
	err = s.callerError(n, at+"/"+prompt, err)
	return answer{
		text: sink.text.String(), err: err, firstToken: sink.firstToken,
		duration: time.Since(start) - n.gate.frozenTime() + frozen,
	}
}

// isComplete reports whether the caller got the whole answer to its own request.
func (a answer) isComplete(model, prompt string, tokens int) bool {
	return a.err == nil && a.text == engineserver.ExpectedText(requestBody(model, prompt, tokens))
}

// book sends a booking.
func (s *system) book(at, key string) (service.Answer, error) {
	n := s.node(at)
	n.openCalls.Add(1)
	defer n.openCalls.Add(-1)
	answer, err := n.Call(n.processCtx, caller.ServiceCall{
		Identity: caller.Identity{Customer: "trinidad"}, AtMostOnce: s.variant != noClaims, IdempotencyKey: key, Arrived: time.Now(),
		Service: contract.Service{Name: "booking", MaxWait: 5 * time.Second},
		Call: service.Call{
			RequestID: at + key, Method: "POST", Path: "/book", Body: []byte(`{"slot":"1","name":"pan"}`),
			Header: map[string][]string{"Idempotency-Key": {key}},
		},
	})
	return answer, s.callerError(n, at+"/"+key, err)
}

// loadWithoutRight orders an engine to load a model without a right in the log.
func (s *system) loadWithoutRight(address, model string) {
	status, _ := s.engines.Status(s.ctx, address)
	_, _ = s.engines.Order(s.ctx, address, engine.Order{
		Token: status.HighestToken, Action: engine.ActionLoad, Unit: model, Checkpoint: model + ":v1", Bytes: 16 * gigabyte,
	})
}

// callerError returns the error that the caller receives. It records a violation if a
// planned stop left the caller without an answer.
func (s *system) callerError(n *entry, what string, err error) error {
	if err == nil {
		return nil
	}
	if n.leaving.Load() && (errors.Is(err, context.Canceled) || refusal.FromError(err).Code == refusal.CodeShuttingDown) {
		s.errorf("%s: cut off by a planned stop: %v", what, err)
	}
	if s.variant == unknownIsNotRun && !errors.Is(err, context.Canceled) {
		return refusal.New(refusal.CodeBackendFailed, time.Second, "%v", err)
	}
	return err
}

// countBookings returns how often the booking with the key ran.
func (s *system) countBookings(key string) int {
	total := 0
	for _, ran := range s.booking.Calls() {
		if ran.IdempotencyKey == key {
			total += ran.Count
		}
	}
	return total
}
