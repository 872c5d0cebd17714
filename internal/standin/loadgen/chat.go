package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"bergamotreel/internal/standin/engineserver"
)

// Outcomes of a request. A refused request has the outcome "refused CODE ran=RAN".
const (
	// OutcomeOK means that the answer is complete and belongs to the request.
	OutcomeOK = "ok"
	// OutcomeWrong means that an answer that claims to be complete differs from
	// the expected one. It is always a violation.
	OutcomeWrong = "WRONG"
	// OutcomeTruncated means that a stream ended without [DONE] and without a
	// refusal.
	OutcomeTruncated = "CUT"
	// OutcomeTimedOut means that the request got no answer within the timeout.
	OutcomeTimedOut = "SILENT"
	// OutcomeNoConnection means that the entry VM accepted no connection, as
	// between its stop and its next start. A load balancer would choose another VM.
	OutcomeNoConnection = "no connection"
	// OutcomeBrokenConnection means that the connection failed before an answer
	// arrived.
	OutcomeBrokenConnection = "broken connection"
	// OutcomeNotSent means that the generator already had its maximum number of
	// requests in flight.
	OutcomeNotSent = "not sent"
)

// result holds the outcome and the latencies of one request.
type result struct {
	outcome string
	// detail explains an outcome other than OutcomeOK.
	detail string
	// body is the response body of a service call.
	body string
	cold bool
	// timeToFirstToken and totalTime are measured from sending the request.
	// timeToFirstToken is 0 for an answer that is not streamed.
	timeToFirstToken, totalTime time.Duration
	tokenGaps                   []time.Duration
}

// errorBody is the body of a refusal, as docs/interfaces/caller.md describes it.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// parseRefusal returns the result of a refused request.
func parseRefusal(data []byte, status int) result {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return result{outcome: fmt.Sprintf("status %d without a refusal", status), detail: string(data)}
	}
	return result{outcome: fmt.Sprintf("refused %s ran=%s", body.Error.Code, body.Error.Ran), detail: body.Error.Message}
}

// send sends one request to target and checks its answer.
func (g *generator) send(ctx context.Context, target string, request plannedRequest) result {
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout)
	defer cancel()
	start := time.Now()
	answer, err := g.post(ctx, target, request)
	if err != nil {
		return result{outcome: connectionFailureOutcome(ctx, err), detail: err.Error()}
	}
	defer answer.Body.Close()
	r := readAnswer(ctx, answer, request, start)
	r.cold = answer.Header.Get("X-Bergamotreel-Cold") == "true"
	r.totalTime = time.Since(start)
	return r
}

// connectionFailureOutcome classifies an error of sending a request or of reading
// an answer that is not streamed.
func connectionFailureOutcome(ctx context.Context, err error) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeTimedOut
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return OutcomeNoConnection
	}
	return OutcomeBrokenConnection
}

func (g *generator) post(ctx context.Context, target string, request plannedRequest) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+request.path, strings.NewReader(string(request.body)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+g.settings.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if request.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.idempotencyKey)
	}
	answer, err := g.client.Do(r)
	return answer, Error.Wrap(err)
}

func readAnswer(ctx context.Context, answer *http.Response, request plannedRequest, start time.Time) result {
	if answer.StatusCode == http.StatusOK && request.stream {
		return readStream(ctx, answer.Body, request, start)
	}
	data, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return result{outcome: connectionFailureOutcome(ctx, err), detail: err.Error()}
	case answer.StatusCode/100 != 2:
		return parseRefusal(data, answer.StatusCode)
	case request.idempotencyKey != "":
		return result{outcome: OutcomeOK, body: string(data)}
	}
	return checkCompleteAnswer(data, request)
}

// chunk holds the decoded fields of a stream chunk or of a complete answer.
type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

func checkCompleteAnswer(data []byte, request plannedRequest) result {
	var answer chunk
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) != 1 {
		return result{outcome: OutcomeWrong, detail: string(data)}
	}
	return checkText(answer.Choices[0].Message.Content, request)
}

func checkText(text string, request plannedRequest) result {
	if expected := engineserver.ExpectedText(request.body); text != expected {
		return result{outcome: OutcomeWrong, detail: fmt.Sprintf("got %.80q, expected %.80q", text, expected)}
	}
	return result{outcome: OutcomeOK}
}

// streamReader assembles the text of a stream and measures its tokens.
type streamReader struct {
	text        strings.Builder
	eventCount  uint64
	lastEventAt time.Time
	result
}

func readStream(ctx context.Context, body io.Reader, request plannedRequest, start time.Time) result {
	r := &streamReader{}
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return r.finish(streamFailureOutcome(ctx), err.Error())
		}
		if event.Type == "error" {
			res := parseRefusal([]byte(event.Data), http.StatusOK)
			return r.finish(res.outcome, res.detail)
		}
		if event.Data == "[DONE]" {
			check := checkText(r.text.String(), request)
			res := r.finish(check.outcome, check.detail)
			// The connection is reused only if the body is read to its end.
			// Otherwise each request's latency would include a new connection.
			_, _ = io.Copy(io.Discard, body)
			return res
		}
		if detail := r.addEvent(event, start); detail != "" {
			return r.finish(OutcomeWrong, detail)
		}
	}
	return r.finish(streamFailureOutcome(ctx), "ended without [DONE]")
}

// streamFailureOutcome returns the outcome of a stream that ended without [DONE].
func streamFailureOutcome(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeTimedOut
	}
	return OutcomeTruncated
}

func (r *streamReader) finish(outcome, detail string) result {
	r.outcome, r.detail = outcome, detail
	return r.result
}

// addEvent adds the chunk of one event. It returns what is wrong with the event,
// or "".
func (r *streamReader) addEvent(event sse.Event, start time.Time) string {
	now := time.Now()
	if r.eventCount == 0 {
		r.timeToFirstToken = now.Sub(start)
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.eventCount++
	if event.LastEventID != strconv.FormatUint(r.eventCount, 10) {
		return fmt.Sprintf("event %q at position %d", event.LastEventID, r.eventCount)
	}
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil || len(c.Choices) != 1 {
		return "chunk " + event.Data
	}
	r.text.WriteString(c.Choices[0].Delta.Content)
	return ""
}
