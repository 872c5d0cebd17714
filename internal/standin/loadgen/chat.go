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

// How a request ended, beside "refused CODE ran=RAN".
const (
	// OutcomeOK is a whole answer that is the request's own.
	OutcomeOK = "ok"
	// OutcomeWrong is an answer that claims to be whole and is not the expected
	// one. Never acceptable.
	OutcomeWrong = "WRONG"
	// OutcomeCut is a stream that ended without [DONE] and without a refusal.
	OutcomeTruncated = "CUT"
	// OutcomeSilent is a request that got no answer within the timeout.
	OutcomeTimedOut = "SILENT"
	// OutcomeNoConnection is an entry VM that took no connection, as between its
	// stop and its next start; a balancer would have asked another one.
	OutcomeNoConnection = "no connection"
	// OutcomeBroken is a connection that failed before an answer: the request was
	// cut off.
	OutcomeBrokenConnection = "broken connection"
	// OutcomeNotSent is a request over the limit of those under way here.
	OutcomeNotSent = "not sent"
)

// result is how one request ended.
type result struct {
	outcome string
	// detail tells more about an outcome that must not be.
	detail string
	// body is the answer of a service call.
	body string
	cold bool
	// first and whole are from the sending to the first token and to the end;
	// first is 0 where the answer came in one piece.
	first, whole time.Duration
	between      []time.Duration
}

// errorBody is a refusal, as in docs/interfaces/caller.md.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func refused(data []byte, status int) result {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return result{outcome: fmt.Sprintf("status %d without a refusal", status), detail: string(data)}
	}
	return result{outcome: fmt.Sprintf("refused %s ran=%s", body.Error.Code, body.Error.Ran), detail: body.Error.Message}
}

// send sends one request and checks its answer.
func (g *generator) send(ctx context.Context, target string, request planned) result {
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timeout)
	defer cancel()
	start := time.Now()
	answer, err := g.post(ctx, target, request)
	if err != nil {
		return result{outcome: brokenOutcome(ctx, err), detail: err.Error()}
	}
	defer answer.Body.Close()
	r := readAnswer(ctx, answer, request, start)
	r.cold = answer.Header.Get("X-Bergamotreel-Cold") == "true"
	r.whole = time.Since(start)
	return r
}

func brokenOutcome(ctx context.Context, err error) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeTimedOut
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeNoConnection
	}
	return OutcomeBrokenConnection
}

func (g *generator) post(ctx context.Context, target string, request planned) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+request.path, strings.NewReader(string(request.body)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+g.settings.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if request.key != "" {
		r.Header.Set("Idempotency-Key", request.key)
	}
	answer, err := g.client.Do(r)
	return answer, Error.Wrap(err)
}

func readAnswer(ctx context.Context, answer *http.Response, request planned, start time.Time) result {
	if answer.StatusCode == http.StatusOK && request.stream {
		return readStream(ctx, answer.Body, request, start)
	}
	data, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return result{outcome: brokenOutcome(ctx, err), detail: err.Error()}
	case answer.StatusCode/100 != 2:
		return refused(data, answer.StatusCode)
	case request.key != "":
		return result{outcome: OutcomeOK, body: string(data)}
	}
	return checkWhole(data, request)
}

// chunk is what is read of a chunk or of a whole answer.
type chunk struct {
	Choices []struct {
		Delta   message `json:"delta"`
		Message message `json:"message"`
	} `json:"choices"`
}

func checkWhole(data []byte, request planned) result {
	var whole chunk
	if err := json.Unmarshal(data, &whole); err != nil || len(whole.Choices) != 1 {
		return result{outcome: OutcomeWrong, detail: string(data)}
	}
	return checkText(whole.Choices[0].Message.Content, request)
}

func checkText(text string, request planned) result {
	if expected := engineserver.ExpectedText(request.body); text != expected {
		return result{outcome: OutcomeWrong, detail: fmt.Sprintf("got %.80q, expected %.80q", text, expected)}
	}
	return result{outcome: OutcomeOK}
}

// streamReader puts a stream's text together.
type streamReader struct {
	text     strings.Builder
	position uint64
	newest   time.Time
	result
}

func readStream(ctx context.Context, body io.Reader, request planned, start time.Time) result {
	r := &streamReader{}
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return r.end(brokenStream(ctx), err.Error())
		}
		if event.Type == "error" {
			ended := refused([]byte(event.Data), http.StatusOK)
			return r.end(ended.outcome, ended.detail)
		}
		if event.Data == "[DONE]" {
			checked := checkText(r.text.String(), request)
			ended := r.end(checked.outcome, checked.detail)
			// To the body's end, else the connection can't be used again and each
			// request would be measured with the making of a new one.
			_, _ = io.Copy(io.Discard, body)
			return ended
		}
		if detail := r.take(event, start); detail != "" {
			return r.end(OutcomeWrong, detail)
		}
	}
	return r.end(brokenStream(ctx), "ended without [DONE]")
}

func brokenStream(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return OutcomeTimedOut
	}
	return OutcomeTruncated
}

func (r *streamReader) end(outcome, detail string) result {
	r.outcome, r.detail = outcome, detail
	return r.result
}

// take adds one chunk; it returns what is wrong with it.
func (r *streamReader) take(event sse.Event, start time.Time) string {
	now := time.Now()
	if r.position == 0 {
		r.first = now.Sub(start)
	} else {
		r.between = append(r.between, now.Sub(r.newest))
	}
	r.newest = now
	r.position++
	if event.LastEventID != strconv.FormatUint(r.position, 10) {
		return fmt.Sprintf("event %q at position %d", event.LastEventID, r.position)
	}
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil || len(c.Choices) != 1 {
		return "chunk " + event.Data
	}
	r.text.WriteString(c.Choices[0].Delta.Content)
	return ""
}
