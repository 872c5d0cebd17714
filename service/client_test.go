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

// onBoth runs a test with the client in memory and with the one over HTTP, in
// virtual time. The service's address is "booking".
func onBoth(t *testing.T, test func(t *testing.T, client service.Client, s *serviceserver.Service)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := serviceserver.New()
			t.Cleanup(s.Close)
			fleet := serviceserver.NewFleet()
			fleet.Put("booking", s)
			test(t, fleet, s)
		})
	})
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := serviceserver.New()
			t.Cleanup(s.Close)
			test(t, overPipes(t, s.Handler()), s)
		})
	})
}

// overPipes returns a client whose every connection leads to the handler.
func overPipes(t *testing.T, handler http.Handler) service.Client {
	network := pipenet.Listen()
	server := &http.Server{Handler: handler}
	go server.Serve(network)
	t.Cleanup(func() { server.Close() })
	client := sendonce.NewClientWithDial(network.DialContext)
	t.Cleanup(client.CloseIdleConnections)
	return service.NewClient(client)
}

func book(id string) service.Call {
	return service.Call{
		RequestID: id, Method: http.MethodPost, Path: "/book?shop=arima",
		Header: http.Header{"Idempotency-Key": {"key-" + id}}, Body: []byte(`{"slot":"tenor pan","name":"Ria"}`),
	}
}

// The caller hears what truly happened to its booking: each row is one fault,
// what the client says of it and how many bookings there are a minute later.
// In no row is a booking made twice, though the calls have idempotency keys.
func TestBookingIsMadeOnceOrNotAtAll(t *testing.T) {
	for name, c := range map[string]struct {
		faults   serviceserver.Faults
		want     error
		status   int
		bookings int
	}{
		"no fault":                  {serviceserver.Faults{}, nil, http.StatusCreated, 1},
		"refused by the service":    {serviceserver.Faults{FailBefore: 1}, nil, http.StatusServiceUnavailable, 0},
		"broken before the effect":  {serviceserver.Faults{DropBefore: 1}, service.ErrOutcomeUnknown, 0, 0},
		"answer lost":               {serviceserver.Faults{LoseAnswers: 1}, service.ErrOutcomeUnknown, 0, 1},
		"slower than the timeout":   {serviceserver.Faults{SlowMS: 5000}, service.ErrOutcomeUnknown, 0, 1},
		"frozen beyond the timeout": {serviceserver.Faults{Frozen: true}, service.ErrOutcomeUnknown, 0, 1},
	} {
		onBoth(t, func(t *testing.T, client service.Client, s *serviceserver.Service) {
			// The connection has been used before, as most are.
			testkit.Value(client.Do(t.Context(), "booking", service.Call{Method: "GET", Path: "/stock/cuatro"}))(t)
			s.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, err := client.Do(ctx, "booking", book("r1"))
			testkit.That(t, errors.Is(err, c.want) && answer.Status == c.status, "%s: answer %d, %v", name, answer.Status, err)
			s.SetFaults(serviceserver.Faults{})
			time.Sleep(time.Minute)
			testkit.Equal(t, name+": bookings", len(s.Bookings()), c.bookings)
		})
	}
}

func TestCallsAreCountedByIdentity(t *testing.T) {
	onBoth(t, func(t *testing.T, client service.Client, s *serviceserver.Service) {
		for _, call := range []service.Call{book("r1"), book("r2"), book("r2")} {
			testkit.Value(client.Do(t.Context(), "booking", call))(t)
		}
		for _, ran := range s.Calls() {
			want := serviceserver.Ran{
				Method: http.MethodPost, Path: "/book?shop=arima", IdempotencyKey: "key-" + ran.RequestID,
				RequestID: ran.RequestID, Times: map[string]int{"r1": 1, "r2": 2}[ran.RequestID],
			}
			testkit.That(t, ran == want, "%+v instead of %+v", ran, want)
		}
		stock, err := client.Do(t.Context(), "booking", service.Call{Method: "GET", Path: "/stock/tenor%20pan"})
		testkit.That(t, err == nil && string(stock.Body) == `{"free":97,"item":"tenor pan"}`, "%s, %v", stock.Body, err)
	})
}

func TestUnreachableIsNotSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	fleet := serviceserver.NewFleet()
	fleet.Put("booking", serviceserver.New())
	fleet.Cut("booking", true)
	for _, client := range []service.Client{fleet, service.NewClient(sendonce.NewClientWithDial(refuse))} {
		testkit.WantError(t, "unreachable", testkit.Err(client.Do(t.Context(), "booking", book("r1"))), service.ErrNotSent)
	}
}

// The call must reach the backend server that was chosen and no other host, and
// what belongs to the caller's own connection must end here.
func TestPathAndHeaderStayWithinTheHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen http.Header
		client := overPipes(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
