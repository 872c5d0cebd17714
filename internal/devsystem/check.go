package devsystem

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/operator"
	"bergamotreel/state"
)

const (
	readyTimeout = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

// PublishContracts waits until the system is ready, publishes the sample
// contracts, and waits until they are in force on every entry VM.
func (s *System) PublishContracts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range s.Entries {
		if err := poll(ctx, func() bool { return getStatus(ctx, "http://"+entry.Callers+"/readyz") == http.StatusOK }); err != nil {
			return Error.New("%s is not ready: %v", entry.ID, err)
		}
	}
	client := operator.NewClient("http://"+s.Entries[0].Operators, OperatorToken, http.DefaultClient)
	for customer, text := range SampleContracts() {
		if err := s.publishContract(ctx, client, customer, text); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) publishContract(ctx context.Context, client *operator.Client, customer, text string) error {
	sections, err := contract.Split(text)
	if err != nil {
		return Error.Wrap(err)
	}
	result, err := client.Publish(ctx, operator.PublishRequest{
		ChangeID: "dev-" + customer, Customer: customer, Sections: sections,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	if result.Verdict != state.VerdictApplied {
		return Error.New("contract %s: %s: %s", customer, result.Verdict, result.Reason)
	}
	return poll(ctx, func() bool { return isInForceEverywhere(ctx, client, len(s.Entries), result.Revision) })
}

func isInForceEverywhere(ctx context.Context, client *operator.Client, vms int, revision state.Revision) bool {
	report, err := client.Status(ctx)
	if err != nil {
		return false
	}
	inForce := 0
	for _, vm := range report.VMs {
		if vm.HasApplied(revision) {
			inForce++
		}
	}
	return inForce == vms
}

func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

func getStatus(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// Check sends real requests and returns an error unless all answers are correct.
func (s *System) Check(ctx context.Context, out io.Writer) error {
	checks := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a cold model answers", func(ctx context.Context) error { return s.checkCompletion(ctx, 0, "damage-13b") }},
		{"a warm model streams a complete answer", func(ctx context.Context) error { return s.checkStream(ctx, 1, "damage-13b") }},
		{"an adapter on its base model answers", func(ctx context.Context) error { return s.checkCompletion(ctx, 2, "shop-12") }},
		{"a booking retried at another entry VM runs once", s.checkBooking},
	}
	for _, check := range checks {
		start := time.Now()
		if err := check.run(ctx); err != nil {
			return Error.New("%s: %v", check.name, err)
		}
		fmt.Fprintf(out, "ok  %-50s %6d ms\n", check.name, time.Since(start).Milliseconds())
	}
	return nil
}

// CheckModel sends a request for the model to every entry VM and checks the
// answers.
func (s *System) CheckModel(ctx context.Context, model string) error {
	for i, entry := range s.Entries {
		if err := s.checkCompletion(ctx, i, model); err != nil {
			return Error.New("%s: %v", entry.ID, err)
		}
	}
	return nil
}

func chatBody(model string, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": 24,
		"messages": []map[string]string{{"role": "user", "content": "Is a dented tenor pan the renter's to mend?"}},
	})
	return body
}

func (s *System) post(ctx context.Context, entry int, path string, body []byte, header map[string]string) (*http.Response, error) {
	url := "http://" + s.Entries[entry].Callers + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+TrinidadKey)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode >= http.StatusBadRequest {
		defer func() { _ = answer.Body.Close() }()
		text, _ := io.ReadAll(answer.Body)
		return nil, fmt.Errorf("status %d: %s", answer.StatusCode, text)
	}
	return answer, nil
}

// completion holds the text of a complete answer or of one chunk of a stream.
type completion struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

func (s *System) checkCompletion(ctx context.Context, entry int, model string) error {
	body := chatBody(model, false)
	answer, err := s.post(ctx, entry, "/v1/chat/completions", body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	var got completion
	if err := json.NewDecoder(answer.Body).Decode(&got); err != nil {
		return err
	}
	if len(got.Choices) != 1 {
		return fmt.Errorf("got %d choices, want 1", len(got.Choices))
	}
	return checkText(got.Choices[0].Message.Content, body)
}

func checkText(got string, body []byte) error {
	if want := engineserver.ExpectedText(body); got != want {
		return fmt.Errorf("text %q, want %q", got, want)
	}
	return nil
}

func (s *System) checkStream(ctx context.Context, entry int, model string) error {
	body := chatBody(model, true)
	answer, err := s.post(ctx, entry, "/v1/chat/completions", body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text := ""
	done := false
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			done = true
		default:
			var chunk completion
			if err := json.Unmarshal([]byte(data), &chunk); err != nil {
				return err
			}
			for _, choice := range chunk.Choices {
				text += choice.Delta.Content
			}
		}
	}
	if !done {
		return fmt.Errorf("stream ended without [DONE]")
	}
	return checkText(text, body)
}

func (s *System) checkBooking(ctx context.Context) error {
	body := []byte(`{"slot":"J'ouvert 05:00","name":"tenor pan 12"}`)
	header := map[string]string{"Idempotency-Key": "dev-check-booking"}
	var answers []string
	for _, entry := range []int{0, len(s.Entries) - 1} {
		answer, err := s.post(ctx, entry, "/services/booking/book", body, header)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			return err
		}
		answers = append(answers, string(text))
	}
	if answers[0] != answers[1] {
		return fmt.Errorf("answers differ: %q, %q", answers[0], answers[1])
	}
	if ran := s.CountBookings(); ran != 1 {
		return fmt.Errorf("the booking ran %d times", ran)
	}
	return nil
}
