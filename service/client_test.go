package service_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// testBothClients runs a test with the in-memory client and with the HTTP client,
// in virtual time. The service's address is "booking".
func testBothClients(t *testing.T, test func(t *testing.T, client service.Client, s *serviceserver.Service)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := serviceserver.New()
			t.Cleanup(s.Close)
			fleet := serviceserver.NewInMemoryClient()
			fleet.Put("booking", s)
			test(t, fleet, s)
		})
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := serviceserver.New()
			t.Cleanup(s.Close)
			test(t, newPipeClient(t, s.Handler()), s)
		})
	})
}

// newPipeClient returns a client whose connections all lead to the handler,
// whatever the address.
func newPipeClient(t *testing.T, handler http.Handler) service.Client {
	network := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go server.Serve(network)
	t.Cleanup(func() { server.Close() })
	client := sendonce.NewClientWithDial(network.DialContext)
	t.Cleanup(client.CloseIdleConnections)
	return service.NewClient(client)
}

func bookingCall(id string) service.Call {
	return service.Call{
		RequestID: id, Method: http.MethodPost, Path: "/book?shop=arima",
		Header: http.Header{"Idempotency-Key": {"key-" + id}}, Body: []byte(`{"slot":"tenor pan","name":"Ria"}`),
	}
}

// Guards against a call that is sent twice or whose outcome is misreported. Each
// row is one fault, the error that the client returns and the number of bookings
// a minute later. The calls have idempotency keys, with which net/http repeats a
// request by itself.
func TestCallIsNeverRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		faults   serviceserver.Faults
		want     error
		status   int
		bookings int
	}{
		"no fault":                  {serviceserver.Faults{}, nil, http.StatusCreated, 1},
		"refused by the service":    {serviceserver.Faults{FailBeforeEffect: 1}, nil, http.StatusServiceUnavailable, 0},
		"broken before the effect":  {serviceserver.Faults{DropBeforeEffect: 1}, service.ErrOutcomeUnknown, 0, 0},
		"answer lost":               {serviceserver.Faults{LoseAnswers: 1}, service.ErrOutcomeUnknown, 0, 1},
		"slower than the timeout":   {serviceserver.Faults{SlowMS: 5000}, service.ErrOutcomeUnknown, 0, 1},
		"frozen beyond the timeout": {serviceserver.Faults{Frozen: true}, service.ErrOutcomeUnknown, 0, 1},
	} {
		testBothClients(t, func(t *testing.T, client service.Client, s *serviceserver.Service) {
			// Most calls reuse a connection, so this one does too.
			testkit.Value(client.Do(t.Context(), "booking", service.Call{Method: "GET", Path: "/stock/cuatro"}))(t)
			s.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, err := client.Do(ctx, "booking", bookingCall("r1"))
			testkit.That(t, errors.Is(err, c.want) && answer.Status == c.status, "%s: answer %d, %v", name, answer.Status, err)
			s.SetFaults(serviceserver.Faults{})
			time.Sleep(time.Minute)
			testkit.Equal(t, name+": bookings", len(s.Bookings()), c.bookings)
		})
	}
}

// Guards against the half of an answer that is kept under its call's idempotency key as the whole:
// its backend server ended it with the connection, as a crash does.
func TestUnframedAnswerHasUnknownOutcome(t *testing.T) {
	for name, transferEncoding := range map[string]string{"unframed": "identity", "framed": "chunked"} {
		synctest.Test(t, func(t *testing.T) {
			client := newPipeClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Transfer-Encoding", transferEncoding)
				_, _ = io.WriteString(w, `{"slot":`)
			}))
			answer, err := client.Do(t.Context(), "booking", bookingCall("r1"))
			testkit.That(t, errors.Is(err, service.ErrOutcomeUnknown) == (name == "unframed"), "%s: %q, %v", name, answer.Body, err)
		})
	}
}

func TestRequestIDReachesService(t *testing.T) {
	testBothClients(t, func(t *testing.T, client service.Client, s *serviceserver.Service) {
		for _, call := range []service.Call{bookingCall("r1"), bookingCall("r2"), bookingCall("r2")} {
			testkit.Value(client.Do(t.Context(), "booking", call))(t)
		}
		for _, ran := range s.Calls() {
			want := serviceserver.CallCount{
				Method: http.MethodPost, Path: "/book?shop=arima", IdempotencyKey: "key-" + ran.RequestID,
				RequestID: ran.RequestID, Count: map[string]int{"r1": 1, "r2": 2}[ran.RequestID],
			}
			testkit.That(t, ran == want, "%+v instead of %+v", ran, want)
		}
		stock, err := client.Do(t.Context(), "booking", service.Call{Method: "GET", Path: "/stock/tenor%20pan"})
		testkit.That(t, err == nil && string(stock.Body) == `{"free":97,"item":"tenor pan"}`, "%s, %v", stock.Body, err)
	})
}

func TestUnreachableServerIsNotSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	fleet := serviceserver.NewInMemoryClient()
	fleet.Put("booking", serviceserver.New())
	fleet.SetUnreachable("booking", true)
	for _, client := range []service.Client{fleet, service.NewClient(sendonce.NewClientWithDial(refuse))} {
		testkit.WantError(t, "unreachable", testkit.Err(client.Do(t.Context(), "booking", bookingCall("r1"))), service.ErrNotSent)
	}
}

// Guards against a path that changes the host of the call, and against hop-by-hop
// fields of the caller's connection that reach the backend server.
func TestHopHeadersAndHostAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen http.Header
		client := newPipeClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-Kept", "yes")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.Copy(w, r.Body)
		}))
		call := service.Call{RequestID: "r1", Method: "PUT", Path: "/x", Body: []byte("body")}
		call.Header = http.Header{"Te": {"trailers"}, "Connection": {"close, x-hop"}, "X-Hop": {"1"}, "X-Mine": {"1"}, service.HeaderRequestID: {"forged"}}
		answer, err := client.Do(t.Context(), "booking", call)
		testkit.Need(t, err == nil && answer.Status == http.StatusTeapot && string(answer.Body) == "body", "%+v, %v", answer, err)
		testkit.That(t, answer.Header.Get("Keep-Alive") == "" && answer.Header.Get("X-Kept") == "yes",
			"answer's header %v", answer.Header)
		testkit.That(t, seen.Get("Te") == "" && seen.Get("X-Hop") == "" && seen.Get("X-Mine") == "1" && seen.Get(service.HeaderRequestID) == "r1",
			"call's header %v", seen)
		testkit.That(t, call.Header.Get(service.HeaderRequestID) == "forged", "the caller's header was changed")
		for _, path := range []string{"@elsewhere/", "x", ":99/", "/a\nb"} {
			call.Path = path
			testkit.WantError(t, path, testkit.Err(client.Do(t.Context(), "booking", call)), service.ErrNotSent)
		}
	})
}
