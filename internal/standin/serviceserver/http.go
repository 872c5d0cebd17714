package serviceserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"bergamotreel/service"
)

// Handler returns a handler that serves the admin paths and any other call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, answerJSON(http.StatusOK, s.Calls()))
	})
	mux.HandleFunc("GET /admin/bookings", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, answerJSON(http.StatusOK, s.Bookings()))
	})
	mux.HandleFunc("POST /admin/faults", s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeAnswer(w, answerJSON(http.StatusBadRequest, err.Error()))
		return
	}
	s.SetFaults(faults)
	writeAnswer(w, answerJSON(http.StatusOK, faults))
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := s.Do(r.Context(), service.Call{
		RequestID: r.Header.Get(service.HeaderRequestID), Method: r.Method,
		Path: r.URL.RequestURI(), Header: r.Header, Body: body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer service.Answer) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the client may be gone
}

// InMemoryClient is a service.Client that calls services of the same process directly
// instead of over HTTP. It is safe for concurrent use.
type InMemoryClient struct {
	mu          sync.Mutex
	services    map[string]*Service
	unreachable map[string]bool
}

var _ service.Client = (*InMemoryClient)(nil)

// NewInMemoryClient returns a client without services.
func NewInMemoryClient() *InMemoryClient {
	return &InMemoryClient{services: map[string]*Service{}, unreachable: map[string]bool{}}
}

// Put makes the service reachable under the address.
func (c *InMemoryClient) Put(address string, s *Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[address] = s
}

// SetUnreachable sets whether this client can connect to an address. While it
// cannot, new calls fail with service.ErrNotSent; calls in flight continue.
func (c *InMemoryClient) SetUnreachable(address string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[address] = unreachable
}

// Do implements service.Client.
func (c *InMemoryClient) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	c.mu.Lock()
	s, ok := c.services[address]
	unreachable := c.unreachable[address]
	c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return service.Answer{}, wrapError(service.ErrNotSent, err)
	}
	if !ok || unreachable {
		return service.Answer{}, wrapError(service.ErrNotSent, fmt.Errorf("service %s is unreachable", address))
	}
	answer, err := s.Do(ctx, call)
	if err != nil {
		return service.Answer{}, wrapError(service.ErrOutcomeUnknown, err)
	}
	return answer, nil
}

func wrapError(kind, err error) error {
	return service.Error.Wrap(fmt.Errorf("%w: %w", kind, err))
}
