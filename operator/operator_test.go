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

// refused is how a connection fails where nobody listens.
var refused = &net.OpError{Op: "dial", Err: errors.New("connection refused")}

// fake is an Operator that remembers changes as the fold does.
type fake struct {
	results  map[string]PublishResult
	landings int
	err      error
}

func (f *fake) Publish(_ context.Context, request PublishRequest) (PublishResult, error) {
	if f.err != nil {
		return PublishResult{}, f.err
	}
	if result, ok := f.results[request.ChangeID]; ok {
		return result, nil
	}
	f.landings++
	result := PublishResult{Verdict: state.VerdictApplied, Revision: state.MakeRevision(uint64(f.landings), 0)}
	if f.results == nil {
		f.results = map[string]PublishResult{}
	}
	f.results[request.ChangeID] = result
	return result, nil
}

func (f *fake) Contracts(context.Context) ([]ContractSummary, error) {
	return []ContractSummary{{Customer: "trinidad", Version: 4096}}, f.err
}

func (f *fake) Contract(_ context.Context, customer string) (ContractInForce, error) {
	return ContractInForce{Customer: customer, Sections: map[string]string{"customer": "name = x\n"}}, f.err
}

func (f *fake) History(_ context.Context, customer string) ([]HistoryEntry, error) {
	return []HistoryEntry{{Version: 8192, Base: 4096, ChangeID: customer}}, f.err
}

func (f *fake) Status(context.Context) (StatusReport, error) {
	return StatusReport{VM: ReportingVM{ID: "entry-1"}}, f.err
}

// direct carries requests to a handler without a network, and fails as told.
type direct struct {
	handler http.Handler
	// fail returns an error for the n-th request, and whether it is lost on the
	// way there or only its answer on the way back.
	fail  func(n int) (reached bool, err error)
	count int
}

func (d *direct) RoundTrip(r *http.Request) (*http.Response, error) {
	d.count++
	var err error
	reached := true
	if d.fail != nil {
		reached, err = d.fail(d.count)
	}
	if !reached {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	return recorder.Result(), err
}

func newDirect(f *fake) (*Client, *direct) {
	transport := &direct{handler: NewHandler(f, strings.Repeat("0", 64), contract.HashKey(token))}
	return NewClient("http://entry-1", token, &http.Client{Transport: transport}), transport
}

func TestQuestions(t *testing.T) {
	client, _ := newDirect(&fake{})
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

func TestErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []error{ErrBadRequest, ErrNotFound, ErrUnavailable, ErrOutcomeUnknown} {
		client, _ := newDirect(&fake{err: fmt.Errorf("%w: some detail", kind)})
		_, err := client.Status(t.Context())
		testkit.That(t, errors.Is(err, kind) && strings.Contains(err.Error(), "some detail"), "got %v, want %v", err, kind)
	}
	client, _ := newDirect(&fake{err: errors.New("not one of ours")})
	testkit.WantError(t, "an error that is not ours", testkit.Err(client.Status(t.Context())), ErrOutcomeUnknown)
}

// An error without details leaves an operator at night with one word.
func TestErrorsSayWhatToLookAt(t *testing.T) {
	for kind, want := range map[error]string{
		ErrNotFound:       `no contract of "trinidad"`,
		ErrUnavailable:    "can't reach the platform's log",
		ErrOutcomeUnknown: "log didn't answer",
		ErrUnauthorized:   "token_sha256",
	} {
		client, _ := newDirect(&fake{err: kind})
		_, err := client.History(t.Context(), "trinidad")
		testkit.That(t, errors.Is(err, kind) && strings.Contains(err.Error(), want), "got %v, want %v: %s", err, kind, want)
	}
}

// A question whose answer is lost changed nothing, so nothing is "unknown"; the
// same answer leaves a publish in doubt.
func TestOnlyPublishIsInDoubt(t *testing.T) {
	answers := map[string]string{"no JSON": "Client sent an HTTP request to an HTTPS server.", "no code": "{}"}
	for name, text := range answers {
		client, transport := newDirect(&fake{})
		transport.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, http.StatusBadRequest) })
		_, err := client.Status(t.Context())
		testkit.That(t, errors.Is(err, ErrUnavailable) && strings.Contains(err.Error(), text), "%s: status: %v", name, err)
		testkit.WantError(t, name+": publish", testkit.Err(client.Publish(t.Context(), change("c1"))), ErrOutcomeUnknown)
	}
}

func TestOnlyTokensGetIn(t *testing.T) {
	handlers := map[string]http.Handler{
		"with hashes": NewHandler(&fake{}, contract.HashKey(token)),
		"without":     NewHandler(&fake{}),
		"empty hash":  NewHandler(&fake{}, ""),
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

func TestBadPublishes(t *testing.T) {
	bodies := map[string]string{
		"no JSON":       `{`,
		"unknown field": `{"change_id":"c","customer":"t","sections":{"a":"b"},"force":true}`,
		"two objects":   `{"change_id":"c","customer":"t","sections":{"a":"b"}} {}`,
		"no change":     `{"customer":"t","sections":{"a":"b"}}`,
		"long change":   `{"change_id":"` + strings.Repeat("c", 65) + `","customer":"t","sections":{"a":"b"}}`,
		"no customer":   `{"change_id":"c","sections":{"a":"b"}}`,
		"nothing":       `{"change_id":"c","customer":"t"}`,
		"both":          `{"change_id":"c","customer":"t","remove":true,"sections":{"a":"b"}}`,
		"large change":  `{"change_id":"c","customer":"t","sections":{"a":"` + strings.Repeat("b", MaxChangeBytes) + `"}}`,
		"too long":      `{"change_id":"c","customer":"` + strings.Repeat("t", MaxBodyBytes) + `"}`,
	}
	for name, body := range bodies {
		f := &fake{}
		r := httptest.NewRequest(http.MethodPost, pathPublish, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		NewHandler(f, contract.HashKey(token)).ServeHTTP(recorder, r)
		testkit.That(t, recorder.Code == http.StatusBadRequest && f.landings == 0,
			"%s: status %d, %d landings: %s", name, recorder.Code, f.landings, recorder.Body)
	}
}

func change(id string) PublishRequest {
	return PublishRequest{ChangeID: id, Customer: "trinidad", Sections: map[string]string{"customer": "name = trinidad\n"}}
}

// The operator publishes and the answer is lost twice on its way back, after the
// change has landed. Without the ChangeID the repeats would land again, or be
// refused as made on an old version, and the operator would never learn that the
// change is in force.
func TestLostAnswerGetsFirstResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{}
		client, transport := newDirect(f)
		transport.fail = func(n int) (bool, error) {
			if n <= 2 {
				return true, errors.New("connection reset")
			}
			return true, nil
		}
		result, err := PublishUntilKnown(t.Context(), client, change("c1"))
		want := PublishResult{Verdict: state.VerdictApplied, Revision: state.MakeRevision(1, 0)}
		testkit.That(t, err == nil && result == want && f.landings == 1 && transport.count == 3,
			"%+v, %v, %d landings, %d requests", result, err, f.landings, transport.count)
	})
}

// The first answer is lost after the change landed, and then the entry VM is
// gone. The last error says "nothing was published", which is true of the last
// attempt only; the operator must hear "unknown".
func TestUnknownStaysUnknown(t *testing.T) {
	for name, firstReaches := range map[string]bool{"landed": true, "never reached": false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fake{}
			client, transport := newDirect(f)
			transport.fail = func(n int) (bool, error) {
				if n == 1 && firstReaches {
					return true, errors.New("connection reset")
				}
				return false, fmt.Errorf("wrapped: %w", refused)
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
