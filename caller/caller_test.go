package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tmaxmax/go-sse"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// fakeBackend serves the customers in contracts. Its fields generate and call implement
// Generate and Call.
type fakeBackend struct {
	ready    error
	generate func(ctx context.Context, g caller.Generation, sink caller.Sink) error
	call     func(ctx context.Context, c caller.ServiceCall) (service.Answer, error)
}

var contracts = map[string]*contract.Contract{
	"rental": {
		Customer: "rental", Models: []contract.Model{{Name: "clerk", Priority: 3}},
		Adapters: []contract.Adapter{{Name: "clerk-arima", Base: "clerk"}},
		Services: []contract.Service{{Name: "booking", Once: []contract.CallPattern{{Method: "POST", Path: "/book"}}}},
	},
	"advice": {Customer: "advice", Models: []contract.Model{{Name: "counsel"}}, Services: []contract.Service{{Name: "slots"}}},
}

func (*fakeBackend) Identify(key string) (caller.Identity, bool) {
	customer, ok := strings.CutPrefix(key, "key-")
	return caller.Identity{Customer: customer, Priority: 10}, ok
}

func (*fakeBackend) Contract(customer string) (*contract.Contract, bool) {
	c, ok := contracts[customer]
	return c, ok
}

func (b *fakeBackend) Generate(ctx context.Context, g caller.Generation, sink caller.Sink) error {
	return b.generate(ctx, g, sink)
}

func (b *fakeBackend) Call(ctx context.Context, c caller.ServiceCall) (service.Answer, error) {
	return b.call(ctx, c)
}

func (b *fakeBackend) Ready() error { return b.ready }

// chunks returns a Generate that sends the texts as chunks and then returns err.
func chunks(err error, texts ...string) func(context.Context, caller.Generation, caller.Sink) error {
	return func(_ context.Context, _ caller.Generation, sink caller.Sink) error {
		for i, text := range texts {
			if err := sink.WriteChunk(engine.Chunk{Position: uint64(i + 1), Data: []byte(text)}); err != nil {
				return err
			}
		}
		return err
	}
}

func request(method, path, key, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

func serve(h http.Handler, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const (
	chat       = "/v1/chat/completions"
	goodChat   = `{"model":"clerk","messages":[{"role":"user","content":"hi"}]}`
	goodStream = `{"model":"clerk","messages":[{"role":"user","content":"hi"}],"stream":true}`
)

func TestRefusals(t *testing.T) {
	h := caller.New(&fakeBackend{}, caller.Limits{BodyBytes: 200})
	chatBody := func(fields string) string { return `{"model":"clerk","messages":[1]` + fields + `}` }
	tests := map[string]struct {
		request *http.Request
		status  int
		code    refusal.Code
		message string // substring of the message
	}{
		"no key":             {request("POST", chat, "", goodChat), 401, refusal.CodeUnknownKey, "missing"},
		"unknown key":        {request("POST", chat, "nobody", goodChat), 401, refusal.CodeUnknownKey, "unknown"},
		"contract removed":   {request("POST", chat, "key-gone", goodChat), 401, refusal.CodeUnknownKey, "unknown"},
		"no route":           {request("GET", "/v2", "key-rental", ""), 404, refusal.CodeNotFound, "route"},
		"wrong method":       {request("GET", chat, "key-rental", ""), 404, refusal.CodeNotFound, "route"},
		"not JSON":           {request("POST", chat, "key-rental", "{"), 400, refusal.CodeBadRequest, "body"},
		"two values":         {request("POST", chat, "key-rental", goodChat+goodChat), 400, refusal.CodeBadRequest, "body"},
		"not an object":      {request("POST", chat, "key-rental", "[1]"), 400, refusal.CodeBadRequest, "body"},
		"no model":           {request("POST", chat, "key-rental", `{"messages":[1]}`), 400, refusal.CodeBadRequest, "model"},
		"model twice":        {request("POST", chat, "key-rental", chatBody(`,"model":"counsel"`)), 400, refusal.CodeBadRequest, "model"},
		"stream in caps":     {request("POST", chat, "key-rental", chatBody(`,"Stream":true`)), 400, refusal.CodeBadRequest, "stream"},
		"model no string":    {request("POST", chat, "key-rental", `{"model":1,"messages":[1]}`), 400, refusal.CodeBadRequest, "model"},
		"messages no list":   {request("POST", chat, "key-rental", `{"model":"clerk","messages":{}}`), 400, refusal.CodeBadRequest, "messages"},
		"messages empty":     {request("POST", chat, "key-rental", `{"model":"clerk","messages":[ ]}`), 400, refusal.CodeBadRequest, "messages"},
		"no prompt":          {request("POST", "/v1/completions", "key-rental", goodChat), 400, refusal.CodeBadRequest, "prompt"},
		"stream no bool":     {request("POST", chat, "key-rental", chatBody(`,"stream":"yes"`)), 400, refusal.CodeBadRequest, "stream"},
		"max_tokens 0":       {request("POST", chat, "key-rental", chatBody(`,"max_tokens":0`)), 400, refusal.CodeBadRequest, "max_tokens"},
		"max_tokens 1.5":     {request("POST", chat, "key-rental", chatBody(`,"max_tokens":1.5`)), 400, refusal.CodeBadRequest, "max_tokens"},
		"too large":          {request("POST", chat, "key-rental", goodChat+strings.Repeat(" ", 200)), 413, refusal.CodeTooLarge, "200"},
		"other's model":      {request("GET", "/v1/models/counsel", "key-rental", ""), 404, refusal.CodeNotFound, "counsel"},
		"other's service":    {request("POST", "/services/slots/x", "key-rental", ""), 404, refusal.CodeNotFound, "slots"},
		"method not known":   {request("book", "/services/booking/x", "key-rental", ""), 400, refusal.CodeBadRequest, "method"},
		"idempotency key 🎺":  {requestWithIdempotencyKey("🎺"), 400, refusal.CodeBadRequest, "Idempotency-Key"},
		"idempotency key ''": {requestWithIdempotencyKey(""), 400, refusal.CodeBadRequest, "Idempotency-Key"},
		"long key":           {requestWithIdempotencyKey(strings.Repeat("k", 256)), 400, refusal.CodeBadRequest, "Idempotency-Key"},
	}
	for name, test := range tests {
		w := serve(h, test.request)
		var body struct {
			Error struct {
				Code    refusal.Code
				Message string
				Ran     refusal.Ran
			}
		}
		err := json.Unmarshal(w.Body.Bytes(), &body)
		testkit.That(t, err == nil, "%s: %v in %s", name, err, w.Body)
		got := body.Error
		testkit.That(t, w.Code == test.status && got.Code == test.code && got.Ran == refusal.RanNo && strings.Contains(got.Message, test.message),
			"%s: got %d %+v", name, w.Code, got)
	}
}

func requestWithIdempotencyKey(key string) *http.Request {
	r := request("POST", "/services/booking/book", "key-rental", "")
	r.Header.Set("Idempotency-Key", key)
	return r
}

// The caller requests another customer's model and a model that does not exist. If the
// two refusals differed, a customer could discover other customers' models.
func TestModelOfAnotherCustomerLooksUnknown(t *testing.T) {
	h := caller.New(&fakeBackend{}, caller.Limits{})
	ask := func(model string) string {
		w := serve(h, request("POST", chat, "key-rental", strings.Replace(goodChat, "clerk", model, 1)))
		return fmt.Sprint(w.Code, strings.ReplaceAll(w.Body.String(), model, "MODEL"))
	}
	testkit.NoDiff(t, ask("nothing"), ask("counsel"))
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	h := caller.New(&fakeBackend{generate: chunks(refusal.New(refusal.CodeRateLimited, 1200*time.Millisecond, "slow down"))}, caller.Limits{})
	w := serve(h, request("POST", chat, "key-rental", goodChat))
	const want = `{"error":{"code":"rate_limited","message":"slow down","ran":"no","retry_after_ms":1200}}`
	testkit.That(t, w.Code == 429 && w.Header().Get("Retry-After") == "2" && w.Body.String() == want,
		"got %d, Retry-After %q, %s", w.Code, w.Header().Get("Retry-After"), w.Body)
}

func TestBackendReceivesGeneration(t *testing.T) {
	var got caller.Generation
	h := caller.New(&fakeBackend{generate: func(_ context.Context, g caller.Generation, _ caller.Sink) error {
		got = g
		return errors.New("enough")
	}}, caller.Limits{})
	bodies := map[string]string{
		goodChat:   `{"stream":true,` + goodChat[1:],
		goodStream: goodStream,
		"\n{ \"stream\" : false, \"x\":1e400, \"messages\":[{}],\"model\":\"clerk\" }": "\n{ \"stream\" : true, \"x\":1e400, \"messages\":[{}],\"model\":\"clerk\" }",
	}
	for sent, want := range bodies {
		w := serve(h, request("POST", chat, "key-rental", sent))
		testkit.That(t, string(got.Body) == want && got.Unit == "clerk" && got.Priority == 13 && got.Path == chat,
			"sent %s, the backend got %+v with %s", sent, got, got.Body)
		testkit.That(t, got.ID != "" && got.ID == w.Header().Get("X-Request-Id"),
			"request ID %q, returned %q", got.ID, w.Header().Get("X-Request-Id"))
	}
}

func TestListModels(t *testing.T) {
	h := caller.New(&fakeBackend{}, caller.Limits{})
	const want = `{"object":"list","data":[{"id":"clerk","object":"model","created":0,"owned_by":"rental"},` +
		`{"id":"clerk-arima","object":"model","created":0,"owned_by":"rental"}]}`
	testkit.Equal(t, "the list of models", serve(h, request("GET", "/v1/models", "key-rental", "")).Body.String(), want)
}

func TestCollectedAnswers(t *testing.T) {
	tests := map[string]struct {
		path, body, want string
		chunks           []string
	}{
		"chat": {chat, goodChat,
			`{"id":"a","object":"chat.completion","created":7,"model":"clerk","choices":[` +
				`{"index":0,"message":{"content":"Two pans.","role":"assistant"},"logprobs":{"content":[{"token":"Two"},{"token":" pans."}]},"finish_reason":"stop"},` +
				`{"index":1,"message":{"content":null,"role":"assistant","tool_calls":[{"id":"t","type":"function","function":{"name":"hire","arguments":"{\"n\":2}"}}]},"logprobs":null,"finish_reason":null}],` +
				`"usage":{"total_tokens":5}}`,
			[]string{
				`{"id":"a","created":7,"model":"clerk","choices":[{"index":0,"delta":{"role":"assistant","content":"Two"},"logprobs":{"content":[{"token":"Two"}]},"finish_reason":null}]}`,
				`{"id":"a","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"hire","arguments":"{\"n\""}}]}}]}`,
				`{"id":"a","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":2}"}}]}}]}`,
				`{"id":"a","choices":[{"index":0,"delta":{"content":" pans."},"logprobs":{"content":[{"token":" pans."}]},"finish_reason":"stop"}]}`,
				`{"id":"a","choices":[],"usage":{"total_tokens":5}}`,
			}},
		"text": {"/v1/completions", `{"model":"clerk","prompt":"hi"}`,
			`{"id":"b","object":"text_completion","created":0,"model":"","choices":[{"index":0,"text":"One.","logprobs":null,"finish_reason":"length"}]}`,
			[]string{`{"id":"b","choices":[{"index":0,"text":"One"}]}`, `{"id":"b","choices":[{"index":0,"text":".","finish_reason":"length"}]}`}},
	}
	for name, test := range tests {
		h := caller.New(&fakeBackend{generate: chunks(nil, test.chunks...)}, caller.Limits{})
		w := serve(h, request("POST", test.path, "key-rental", test.body))
		diff := cmp.Diff(test.want, w.Body.String())
		testkit.That(t, diff == "" && w.Code == 200, "%s: %d %s", name, w.Code, diff)
	}
}

// readEvents returns the events of a stream, each as "id type data".
func readEvents(body io.Reader) []string {
	var got []string
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		got = append(got, strings.TrimSpace(event.LastEventID+" "+event.Type+" "+event.Data))
	}
	return got
}

func TestStream(t *testing.T) {
	h := caller.New(&fakeBackend{generate: func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
		sink.(caller.ColdMarker).MarkCold()
		return chunks(nil, `{"a":1}`, "{\n\"b\":2}")(ctx, g, sink)
	}}, caller.Limits{})
	w := serve(h, request("POST", chat, "key-rental", goodStream))
	want := []string{`1  {"a":1}`, "2  {\n\"b\":2}", "2  [DONE]"}
	testkit.NoDiff(t, want, readEvents(w.Body))
	testkit.That(t, w.Header().Get("Content-Type") == "text/event-stream" && w.Header().Get("X-Bergamotreel-Cold") == "true",
		"header %v", w.Header())
}
