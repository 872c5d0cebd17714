package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

const token = "operator-token"

// dialError is the error of a connection to an address where nothing listens.
var dialError = &net.OpError{Op: "dial", Err: errors.New("connection refused")}

// fakeOperator is an Operator that remembers changes by ChangeID as the state
// machine does.
type fakeOperator struct {
	results   map[string]PublishResult
	published int
	err       error
}

func (f *fakeOperator) Publish(_ context.Context, request PublishRequest) (PublishResult, error) {
	if f.err != nil {
		return PublishResult{}, f.err
	}
	if result, ok := f.results[request.ChangeID]; ok {
		return result, nil
	}
	f.published++
	result := PublishResult{Verdict: state.VerdictApplied, Revision: state.MakeRevision(uint64(f.published), 0)}
	if f.results == nil {
		f.results = map[string]PublishResult{}
	}
	f.results[request.ChangeID] = result
	return result, nil
}

func (f *fakeOperator) Contracts(context.Context) ([]ContractSummary, error) {
	return []ContractSummary{{Customer: "trinidad", Version: 4096}}, f.err
}

func (f *fakeOperator) Contract(_ context.Context, customer string) (ContractInForce, error) {
	return ContractInForce{Customer: customer, Sections: map[string]string{"customer": "name = x\n"}}, f.err
}

func (f *fakeOperator) History(_ context.Context, customer string) ([]HistoryEntry, error) {
	return []HistoryEntry{{Version: 8192, Base: 4096, ChangeID: customer}}, f.err
}

func (f *fakeOperator) Status(context.Context) (StatusReport, error) {
	return StatusReport{VM: ReportingVM{ID: "entry-1"}}, f.err
}

// handlerTransport passes requests to a handler without a network and injects
// failures.
type handlerTransport struct {
	handler http.Handler
	// fail returns an error for the n-th request, and whether the request reaches
	// the handler, so that only its answer is lost.
	fail  func(n int) (reached bool, err error)
	count int
}

func (t *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.count++
	var err error
	reached := true
	if t.fail != nil {
		reached, err = t.fail(t.count)
	}
	if !reached {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	return recorder.Result(), err
}

func newTestClient(f *fakeOperator) (*Client, *handlerTransport) {
	transport := &handlerTransport{handler: NewHandler(f, strings.Repeat("0", 64), contract.HashKey(token))}
	return NewClient("http://entry-1", token, &http.Client{Transport: transport}), transport
}

func TestQueries(t *testing.T) {
	client, _ := newTestClient(&fakeOperator{})
	ctx := t.Context()
	contracts, err := client.Contracts(ctx)
	diff := cmp.Diff([]ContractSummary{{Customer: "trinidad", Version: 4096}}, contracts)
	testkit.That(t, diff == "" && err == nil, "%v %v", diff, err)
	inForce, err := client.Contract(ctx, "a/../b")
	testkit.That(t, err == nil && inForce.Customer == "a/../b", "%v %v", inForce, err)
	history, err := client.History(ctx, "trinidad")
	testkit.That(t, err == nil && len(history) == 1 && history[0].ChangeID == "trinidad", "%v %v", history, err)
	report, err := client.Status(ctx)
	testkit.That(t, err == nil && report.VM.ID == "entry-1", "%v %v", report, err)
}

func TestErrorsKeepTheirCode(t *testing.T) {
	for _, kind := range []error{ErrBadRequest, ErrNotFound, ErrUnavailable, ErrOutcomeUnknown} {
		client, _ := newTestClient(&fakeOperator{err: fmt.Errorf("%w: some detail", kind)})
		_, err := client.Status(t.Context())
		testkit.That(t, errors.Is(err, kind) && strings.Contains(err.Error(), "some detail"), "got %v, want %v", err, kind)
	}
	client, _ := newTestClient(&fakeOperator{err: errors.New("not one of ours")})
	testkit.WantError(t, "an error of another package", testkit.Err(client.Status(t.Context())), ErrOutcomeUnknown)
}

// Guards against errors whose text doesn't tell an operator what to check.
func TestErrorsCarryDetails(t *testing.T) {
	for kind, want := range map[error]string{
		ErrNotFound:       `no contract of "trinidad"`,
		ErrUnavailable:    "can't reach the platform's log",
		ErrOutcomeUnknown: "log didn't answer",
		ErrUnauthorized:   "token_sha256",
	} {
		client, _ := newTestClient(&fakeOperator{err: kind})
		_, err := client.History(t.Context(), "trinidad")
		testkit.That(t, errors.Is(err, kind) && strings.Contains(err.Error(), want), "got %v, want %v: %s", err, kind, want)
	}
}

// Guards against ErrOutcomeUnknown for a query, which has no effect, and against
// its absence for a publish whose answer can't be decoded.
func TestOnlyPublishHasUnknownOutcome(t *testing.T) {
	answers := map[string]string{"no JSON": "Client sent an HTTP request to an HTTPS server.", "no code": "{}"}
	for name, text := range answers {
		client, transport := newTestClient(&fakeOperator{})
		transport.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, http.StatusBadRequest) })
		_, err := client.Status(t.Context())
		testkit.That(t, errors.Is(err, ErrUnavailable) && strings.Contains(err.Error(), text), "%s: status: %v", name, err)
		testkit.WantError(t, name+": publish", testkit.Err(client.Publish(t.Context(), change("c1"))), ErrOutcomeUnknown)
	}
}

func TestRequestsNeedKnownToken(t *testing.T) {
	handlers := map[string]http.Handler{
		"with hashes": NewHandler(&fakeOperator{}, contract.HashKey(token)),
		"without":     NewHandler(&fakeOperator{}),
		"empty hash":  NewHandler(&fakeOperator{}, ""),
	}
	tests := []struct {
		handler, header string
		want            int
	}{
		{"with hashes", "Bearer " + token, http.StatusOK},
		{"with hashes", "bearer " + token, http.StatusOK},
		{"with hashes", "", http.StatusUnauthorized},
		{"with hashes", "Bearer ", http.StatusUnauthorized},
		{"with hashes", "Bearer other", http.StatusUnauthorized},
		{"with hashes", "Basic " + token, http.StatusUnauthorized},
		{"with hashes", "Bearer " + contract.HashKey(token), http.StatusUnauthorized},
		{"without", "Bearer " + token, http.StatusUnauthorized},
		{"empty hash", "", http.StatusUnauthorized},
	}
	for _, test := range tests {
		for _, path := range []string{pathStatus, pathContracts, "/nowhere"} {
			r := httptest.NewRequest(http.MethodGet, path, nil)
			r.Header.Set("Authorization", test.header)
			recorder := httptest.NewRecorder()
			handlers[test.handler].ServeHTTP(recorder, r)
			want := test.want
			if want == http.StatusOK && path == "/nowhere" {
				want = http.StatusNotFound
			}
			testkit.That(t, recorder.Code == want, "%s, %q, %s: %d, want %d", test.handler, test.header, path, recorder.Code, want)
		}
	}
}

func TestInvalidPublishRequestsAreRejected(t *testing.T) {
	bodies := map[string]string{
		"no JSON":               `{`,
		"unknown field":         `{"change_id":"c","customer":"t","sections":{"a":"b"},"force":true}`,
		"two objects":           `{"change_id":"c","customer":"t","sections":{"a":"b"}} {}`,
		"no change id":          `{"customer":"t","sections":{"a":"b"}}`,
		"long change id":        `{"change_id":"` + strings.Repeat("c", 65) + `","customer":"t","sections":{"a":"b"}}`,
		"no customer":           `{"change_id":"c","sections":{"a":"b"}}`,
		"no sections":           `{"change_id":"c","customer":"t"}`,
		"removal with sections": `{"change_id":"c","customer":"t","remove":true,"sections":{"a":"b"}}`,
		"large sections":        `{"change_id":"c","customer":"t","sections":{"a":"` + strings.Repeat("b", MaxChangeBytes) + `"}}`,
		"body too long":         `{"change_id":"c","customer":"` + strings.Repeat("t", MaxBodyBytes) + `"}`,
	}
	for name, body := range bodies {
		f := &fakeOperator{}
		r := httptest.NewRequest(http.MethodPost, pathPublish, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		NewHandler(f, contract.HashKey(token)).ServeHTTP(recorder, r)
		testkit.That(t, recorder.Code == http.StatusBadRequest && f.published == 0,
			"%s: status %d, %d published: %s", name, recorder.Code, f.published, recorder.Body)
	}
}

func change(id string) PublishRequest {
	return PublishRequest{ChangeID: id, Customer: "trinidad", Sections: map[string]string{"customer": "name = trinidad\n"}}
}

// Guards against a repeated publish that is applied again or rejected as based on
// an old version, so that the operator doesn't learn that the change is in force.
// The change is published, but the answer is lost twice.
func TestRepeatedPublishReturnsFirstResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOperator{}
		client, transport := newTestClient(f)
		transport.fail = func(n int) (bool, error) {
			if n <= 2 {
				return true, errors.New("connection reset")
			}
			return true, nil
		}
		result, err := PublishUntilKnown(t.Context(), client, change("c1"))
		want := PublishResult{Verdict: state.VerdictApplied, Revision: state.MakeRevision(1, 0)}
		testkit.That(t, err == nil && result == want && f.published == 1 && transport.count == 3,
			"%+v, %v, %d published, %d requests", result, err, f.published, transport.count)
	})
}

// Guards against ErrUnavailable, "nothing was published", after an earlier attempt
// may have published the change. The first answer is lost, then the entry VM is
// unreachable. If the first request didn't arrive, ErrUnavailable is right.
func TestUnknownOutcomeOutlastsLaterErrors(t *testing.T) {
	for name, firstReaches := range map[string]bool{"published": true, "never reached": false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeOperator{}
			client, transport := newTestClient(f)
			transport.fail = func(n int) (bool, error) {
				if n == 1 && firstReaches {
					return true, errors.New("connection reset")
				}
				return false, fmt.Errorf("wrapped: %w", dialError)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := PublishUntilKnown(ctx, client, change("c1"))
			want := ErrUnavailable
			if firstReaches {
				want = ErrOutcomeUnknown
			}
			testkit.That(t, errors.Is(err, want) && errors.Is(err, ErrUnavailable) != firstReaches,
				"%s: got %v, want %v", name, err, want)
		})
	}
}
