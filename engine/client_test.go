package engine_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotreel/engine"
	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/testkit"
)

// fixedResponse is a transport that answers every request with the same status
// and body.
type fixedResponse struct {
	status int
	id     string
	body   string
}

func (r fixedResponse) RoundTrip(request *http.Request) (*http.Response, error) {
	header := http.Header{engine.HeaderRequestID: {r.id}}
	return &http.Response{
		StatusCode: r.status, Header: header, Request: request,
		Body: io.NopCloser(strings.NewReader(r.body)),
	}, nil
}

func newClient(r fixedResponse) *engine.HTTPClient {
	return engine.NewClient(&http.Client{Transport: r})
}

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// Guards against a caller that receives a truncated answer, a repeated chunk or a
// chunk of another stream. The engine mixes up, loses or repeats events, or its
// process ends and the connection closes normally. Next must report a broken
// stream, which can be resumed.
func TestMalformedStreamIsBroken(t *testing.T) {
	one, two := event(1, makeChunk("r", "null")), event(2, makeChunk("r", `"stop"`))
	done := event(3, "[DONE]")
	usage := event(3, `{"id":"r","choices":[],"usage":{"total_tokens":9}}`)
	spaced := event(1, `{ "object":"x", "id" : "r", "choices":[{"finish_reason":"stop"}]}`)
	for name, c := range map[string]struct {
		body  string
		whole bool
	}{
		"whole":                       {one + two + done, true},
		"whole with usage":            {one + two + usage + event(4, "[DONE]"), true},
		"id not in front":             {spaced + event(2, "[DONE]"), true},
		"comment between":             {one + ": keep-alive\n\n" + two + done, true},
		"body ends early":             {one, false},
		"body ends within an event":   {one + two + "id: 3\ndata: [DONE]\n", false},
		"body ends without the end":   {one + two, false},
		"empty body":                  {"", false},
		"gap":                         {two + done, false},
		"repeat":                      {one + one + two + done, false},
		"event without position":      {one + "data: " + makeChunk("r", `"stop"`) + "\n\n" + done, false},
		"position is no number":       {"id: x\ndata: {}\n\n", false},
		"other stream's chunk":        {one + event(2, makeChunk("r2", `"stop"`)) + done, false},
		"id that starts alike":        {event(1, makeChunk("r-2", `"stop"`)) + event(2, "[DONE]"), false},
		"chunk without an id":         {event(1, `{"choices":[{"finish_reason":"stop"}]}`) + event(2, "[DONE]"), false},
		"chunk is not JSON":           {event(1, "{") + event(2, "[DONE]"), false},
		"other stream's end":          {one + event(2, "[DONE]"), false},
		"end too far":                 {one + two + event(4, "[DONE]"), false},
		"usage without finish reason": {one + event(2, `{"id":"r","choices":[]}`) + done, false},
		"error event":                 {one + "event: error\ndata: out of memory\n\n" + two + done, false},
	} {
		stream, err := newClient(fixedResponse{http.StatusOK, "r", c.body}).Generate(t.Context(), "e", engine.Request{ID: "r"})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for err == nil {
			_, err = stream.Next()
		}
		testkit.That(t, !c.whole || err == io.EOF, "%s: %v", name, err)
		testkit.That(t, c.whole || errors.Is(err, engine.ErrBrokenStream), "%s: %v instead of a broken stream", name, err)
		_, again := stream.Next()
		testkit.That(t, again == err, "%s: %v after the end", name, again)
		stream.Close()
	}
}

// Guards against an answer that is taken for the engine's confirmation that it did
// not run the request. An intermediary can answer with the same status as an
// engine, so only status and code together make a refusal.
func TestRefusalNeedsMatchingStatusAndCode(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{409, `{"code":"stale_token","highest":7}`, engine.ErrStaleToken},
		{409, `{"code":"id_conflict"}`, engine.ErrIDConflict},
		{409, `{"code":"in_use"}`, engine.ErrInUse},
		{409, `{"code":"wrong_role"}`, engine.ErrWrongRole},
		{507, `{"code":"no_memory"}`, engine.ErrNoMemory},
		{404, `{"code":"not_loaded"}`, engine.ErrNotLoaded},
		{404, `{"code":"unknown_stream"}`, engine.ErrUnknownStream},
		{429, `{"code":"busy"}`, engine.ErrBusy},
		{429, `{"code":"draining"}`, engine.ErrBusy},
		{400, `{"code":"bad_request"}`, engine.ErrBadRequest},
		{404, `404 page not found`, engine.ErrOutcomeUnknown},
		{429, `{}`, engine.ErrOutcomeUnknown},
		{500, `{"code":"not_loaded"}`, engine.ErrOutcomeUnknown},
		{500, ``, engine.ErrOutcomeUnknown},
		{307, ``, engine.ErrOutcomeUnknown},
	} {
		client := newClient(fixedResponse{c.status, "r", c.body})
		name := fmt.Sprint(c.status, " ", c.body)
		testkit.WantError(t, name+": Generate", testkit.Err(client.Generate(t.Context(), "e", engine.Request{ID: "r"})), c.want)
		testkit.WantError(t, name+": Order", testkit.Err(client.Order(t.Context(), "e", engine.Order{})), c.want)
	}
}

// Guards against a caller that receives another request's answer because the
// engine or an intermediary answers with the wrong stream.
func TestAnswerToAnotherRequestIsRejected(t *testing.T) {
	client := newClient(fixedResponse{http.StatusOK, "other", ""})
	testkit.WantError(t, "answer to another request", testkit.Err(client.Resume(t.Context(), "e", "r", 1)), engine.ErrOutcomeUnknown)
}

func TestMalformedOrderAnswerHasUnknownOutcome(t *testing.T) {
	client := newClient(fixedResponse{http.StatusOK, "", "{"})
	testkit.WantError(t, "malformed answer", testkit.Err(client.Order(t.Context(), "e", engine.Order{})), engine.ErrOutcomeUnknown)
}

// Guards against the half of a KV cache that is imported elsewhere as the whole: its engine ended
// the export with the connection, as a crash does.
func TestUnframedExportHasUnknownOutcome(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	client := engine.NewClient(sendonce.NewClient())
	_, err := client.ExportKV(t.Context(), server.Listener.Addr().String(), "r")
	testkit.WantError(t, "export", err, engine.ErrOutcomeUnknown)
}
