// Package serviceserver simulates a plain HTTP service for tests and trials. The
// service accepts any method and path, counts how often each call took effect,
// keeps bookings, and injects the faults that the system must tolerate.
package serviceserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotreel/service"
)

const (
	// idempotencyKeyHeader carries the caller's idempotency key.
	idempotencyKeyHeader = "Idempotency-Key"
	// stockPerItem is the stock of each item before any booking.
	stockPerItem = 100
	stockPath    = "/stock/"
	bookPath     = "/book"
)

// errDropped is returned for a call whose connection closes before the call takes
// effect.
var errDropped = errors.New("connection closed before the call took effect")

// errAnswerLost is returned for a call that took effect but whose answer a fault
// discards.
var errAnswerLost = errors.New("answer lost after the call took effect")

// Faults selects the faults that the service injects. The zero value injects none.
type Faults struct {
	// Frozen suspends the service: it answers nothing. Calls sent meanwhile take
	// effect once it is no longer frozen.
	Frozen bool `json:"frozen,omitempty"`
	// SlowMS is the delay in milliseconds before each call takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// FailBeforeEffect is how many of the next calls are answered 503, without
	// effect.
	FailBeforeEffect int `json:"fail_before,omitempty"`
	// DropBeforeEffect is how many of the next calls lose their connection,
	// without effect or answer.
	DropBeforeEffect int `json:"drop_before,omitempty"`
	// LoseAnswers is how many of the next calls take effect but return no
	// answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// CallCount identifies a call and says how often it took effect.
type CallCount struct {
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id"`
	Count          int    `json:"times"`
}

// Booking is one booking. A booking that is made twice is listed twice.
type Booking struct {
	Number int    `json:"number"`
	Slot   string `json:"slot"`
	Name   string `json:"name"`
}

// Service is the simulated service, without a network. It is safe for concurrent
// use.
type Service struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	faults     Faults
	thawed     chan struct{}
	callCounts map[CallCount]int
	bookings   []Booking
}

// New returns a service without faults; the caller must call Close.
func New() *Service {
	s := &Service{thawed: make(chan struct{}), callCounts: map[CallCount]int{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	close(s.thawed)
	return s
}

// Close stops the service: calls that are still waiting fail.
func (s *Service) Close() { s.cancel() }

// SetFaults replaces all fault settings.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Frozen && !s.faults.Frozen {
		s.thawed = make(chan struct{})
	}
	if !faults.Frozen && s.faults.Frozen {
		close(s.thawed)
	}
	s.faults = faults
}

// Calls returns the calls that took effect with their counts, in no particular
// order.
func (s *Service) Calls() []CallCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make([]CallCount, 0, len(s.callCounts))
	for call, count := range s.callCounts {
		call.Count = count
		calls = append(calls, call)
	}
	return calls
}

// Bookings returns all bookings, oldest first.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bookings)
}

// Do runs a call and returns its answer. If ctx ends first, Do returns its error
// but the call still takes effect.
func (s *Service) Do(ctx context.Context, call service.Call) (service.Answer, error) {
	type outcome struct {
		answer service.Answer
		err    error
	}
	results := make(chan outcome, 1)
	go func() {
		answer, err := s.serve(call)
		results <- outcome{answer, err}
	}()
	select {
	case result := <-results:
		return result.answer, result.err
	case <-ctx.Done():
		return service.Answer{}, ctx.Err()
	}
}

func (s *Service) serve(call service.Call) (service.Answer, error) {
	if err := s.waitBeforeEffect(); err != nil {
		return service.Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case consumeFault(&s.faults.FailBeforeEffect):
		return answerJSON(http.StatusServiceUnavailable, "failed before the effect"), nil
	case consumeFault(&s.faults.DropBeforeEffect):
		return service.Answer{}, errDropped
	}
	answer := s.applyCall(call)
	if consumeFault(&s.faults.LoseAnswers) {
		return service.Answer{}, errAnswerLost
	}
	return answer, nil
}

// waitBeforeEffect waits for the configured delay and until the service is not
// frozen.
func (s *Service) waitBeforeEffect() error {
	s.mu.Lock()
	slow, thawed := time.Duration(s.faults.SlowMS)*time.Millisecond, s.thawed
	s.mu.Unlock()
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return errDropped
	}
	select {
	case <-thawed:
		return nil
	case <-s.ctx.Done():
		return errDropped
	}
}

func consumeFault(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// applyCall counts a call, applies its effect and returns the answer.
func (s *Service) applyCall(call service.Call) service.Answer {
	s.callCounts[CallCount{
		Method: call.Method, Path: call.Path,
		IdempotencyKey: call.Header.Get(idempotencyKeyHeader), RequestID: call.RequestID,
	}]++
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return answerJSON(http.StatusBadRequest, err.Error())
	}
	if item, ok := strings.CutPrefix(target.Path, stockPath); ok && call.Method == http.MethodGet {
		return s.replyStock(item)
	}
	if target.Path == bookPath && call.Method == http.MethodPost {
		return s.addBooking(call.Body)
	}
	return answerJSON(http.StatusOK, map[string]string{
		"method": call.Method, "path": call.Path, "request_id": call.RequestID,
	})
}

// replyStock answers with the remaining stock of an item.
func (s *Service) replyStock(item string) service.Answer {
	free := stockPerItem
	for _, booking := range s.bookings {
		if booking.Slot == item {
			free--
		}
	}
	return answerJSON(http.StatusOK, map[string]any{"item": item, "free": free})
}

// addBooking adds a booking each time it runs, so that a call that took effect
// twice is visible in Bookings.
func (s *Service) addBooking(body []byte) service.Answer {
	var booking Booking
	if err := json.Unmarshal(body, &booking); err != nil || booking.Slot == "" {
		return answerJSON(http.StatusBadRequest, "a booking needs a slot")
	}
	booking.Number = len(s.bookings) + 1
	s.bookings = append(s.bookings, booking)
	return answerJSON(http.StatusCreated, booking)
}

func answerJSON(status int, value any) service.Answer {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the package's own types always marshal
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return service.Answer{Status: status, Header: header, Body: body}
}
