package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/testkit"
)

// writeEvents writes the words of an answer as events, numbered from 1.
func writeEvents(w io.Writer, words []string) {
	for i, word := range words {
		data, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": message{Content: word + " "}}}})
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data)
	}
}

// Load tests rely on the generator's outcomes, so it must distinguish each way in
// which an answer can be incorrect from a complete answer.
func TestReportsEachOutcome(t *testing.T) {
	const done = "data: [DONE]\n\n"
	const refusal = `{"error":{"code":"rate_limited","ran":"no"}}`
	tests := map[string]struct {
		answer    func(w http.ResponseWriter, words []string)
		violation bool
	}{
		"stream: " + OutcomeOK:               {func(w http.ResponseWriter, words []string) { writeEvents(w, words); io.WriteString(w, done) }, false},
		"stream: " + OutcomeTruncated:        {func(w http.ResponseWriter, words []string) { writeEvents(w, words) }, true},
		"stream: " + OutcomeWrong:            {func(w http.ResponseWriter, words []string) { writeEvents(w, words[1:]); io.WriteString(w, done) }, true},
		"stream: " + OutcomeNoConnection:     {nil, false},
		"stream: " + OutcomeBrokenConnection: {func(http.ResponseWriter, []string) { panic(http.ErrAbortHandler) }, false},
		"stream: refused rate_limited ran=no": {func(w http.ResponseWriter, words []string) {
			w.WriteHeader(http.StatusTooManyRequests)
			io.WriteString(w, refusal)
		}, false},
		"stream: refused rate_limited ran=no (late)": {func(w http.ResponseWriter, words []string) {
			writeEvents(w, words[:1])
			io.WriteString(w, "event: error\ndata: "+refusal+"\n\n")
		}, false},
	}
	for want, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			test.answer(w, strings.Fields(engineserver.ExpectedText(body)))
		}))
		if test.answer == nil {
			server.Close() // refuses connections
		}
		report, err := Run(t.Context(), Settings{
			Targets: []string{server.Listener.Addr().String()}, Models: []string{"clerk"}, Rate: 1000, MaxRequests: 5,
			Duration: time.Minute, StreamShare: 1, MaxTokens: 4, PromptBytes: 100, Timeout: time.Minute,
		})
		server.Close()
		testkit.OK(t, err)
		counted := map[string]int{strings.TrimSuffix(want, " (late)"): 5}
		diff := cmp.Diff(counted, report.Outcomes)
		testkit.That(t, diff == "" && report.HasViolations() == test.violation, "%s: violation %v, %s", want, report.HasViolations(), diff)
	}
}

// Two entry VMs answer the same idempotency key with two different bookings.
func TestReportsTwoBookingsForOneKey(t *testing.T) {
	bookings := make(chan int, 2)
	bookings <- 1
	bookings <- 2
	book := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, <-bookings) })
	one, two := httptest.NewServer(book), httptest.NewServer(book)
	defer one.Close()
	defer two.Close()
	report, err := Run(t.Context(), Settings{
		Targets: []string{one.Listener.Addr().String(), two.Listener.Addr().String()}, Models: []string{"clerk"},
		Service: "booking", ServiceShare: 1, RepeatShare: 1, Rate: 1000, MaxRequests: 1, Duration: time.Minute, Timeout: time.Minute,
	})
	want := map[string]int{"booking: " + OutcomeOK: 1, "booking: " + OutcomeWrong: 1}
	diff := cmp.Diff(want, report.Outcomes)
	testkit.That(t, diff == "" && err == nil && report.HasViolations(), "%v %v", err, diff)
}

func TestPlanRepeatsBySeed(t *testing.T) {
	settings := Settings{
		Targets: []string{"127.0.0.1:1", "127.0.0.1:2"}, Models: []string{"a", "b"}, Service: "s", Seed: 7, Rate: 10,
		BurstSize: 20, BurstInterval: time.Second, Duration: 5 * time.Second, MaxRequests: 1000,
		StreamShare: 0.5, ServiceShare: 0.3, RepeatShare: 0.5, MaxTokens: 4, PromptBytes: 200,
	}
	planAll := func() (requests []string) {
		plan := newPlanner(settings)
		for r, ok := plan.nextRequest(); ok; r, ok = plan.nextRequest() {
			requests = append(requests, fmt.Sprint(r.offset, r.target, r.path, r.stream, r.idempotencyKey, r.repeatTarget, string(r.body)))
		}
		return requests
	}
	first := planAll()
	testkit.NoDiff(t, first, planAll())
	// Four bursts of 20 in 5 s and about 50 single requests.
	testkit.That(t, len(first) >= 100 && len(first) <= 180, "%d requests", len(first))
}

func TestRejectsAddressesOffTheLoopback(t *testing.T) {
	for address, ok := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "10.0.0.1:1": false, "localhost:1": false, "": false} {
		err := checkLoopback([]string{address})
		testkit.That(t, (err == nil) == ok, "%q: %v", address, err)
	}
}
