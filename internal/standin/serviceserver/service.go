// Package serviceserver is a small stand-in of a plain service for tests and
// trials. It takes any method and path, counts how often each call really ran,
// keeps bookings, and has switches for the faults that the system must stand.
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
	// headerKey carries the caller's idempotency key.
	headerKey = "Idempotency-Key"
	// stockPerItem is how many of each item there are.
	stockPerItem = 100
	stockPath    = "/stock/"
	bookPath     = "/book"
)

// errDropped is what a call meets that breaks before its effect.
var errDropped = errors.New("connection broke before the effect")

// errLost is what a call meets whose answer is lost after its effect.
var errLost = errors.New("answer lost after the effect")

// Faults are the fault switches. The zero value is a healthy service.
type Faults struct {
	// Frozen answers nothing; what was sent meanwhile runs at the thaw.
	Frozen bool `json:"frozen,omitempty"`
	// SlowMS is how many milliseconds each call takes before its effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// FailBefore is how many of the next calls are answered 503, without effect.
	FailBeforeEffect int `json:"fail_before,omitempty"`
	// DropBefore is how many of the next calls break without effect or answer.
	DropBeforeEffect int `json:"drop_before,omitempty"`
	// LoseAnswers is how many of the next calls run and lose their answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// Ran is one call and how often it ran.
type CallCount struct {
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id"`
	Count          int    `json:"times"`
}

// Booking is one booking; the same one made twice appears twice.
type Booking struct {
	Number int    `json:"number"`
	Slot   string `json:"slot"`
	Name   string `json:"name"`
}

// Service is the stand-in's core. It is safe for concurrent use.
type Service struct {
	closed context.Context
	close  context.CancelFunc

	mu       sync.Mutex
	faults   Faults
	thawed   chan struct{}
	ran      map[CallCount]int
	bookings []Booking
}

// New returns a healthy service; Close ends its waiting calls.
func New() *Service {
	s := &Service{thawed: make(chan struct{}), ran: map[CallCount]int{}}
	s.closed, s.close = context.WithCancel(context.Background())
	close(s.thawed)
	return s
}

// Close ends the service.
func (s *Service) Close() { s.close() }

// SetFaults replaces all switches.
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

// Calls returns what ran and how often, in no order.
func (s *Service) Calls() []CallCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make([]CallCount, 0, len(s.ran))
	for call, times := range s.ran {
		call.Count = times
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

// Do takes a call. The call runs on when ctx ends before the answer.
func (s *Service) Do(ctx context.Context, call service.Call) (service.Answer, error) {
	type outcome struct {
		answer service.Answer
		err    error
	}
	arrived := make(chan outcome, 1)
	go func() {
		answer, err := s.serve(call)
		arrived <- outcome{answer, err}
	}()
	select {
	case result := <-arrived:
		return result.answer, result.err
	case <-ctx.Done():
		return service.Answer{}, ctx.Err()
	}
}

func (s *Service) serve(call service.Call) (service.Answer, error) {
	if err := s.wait(); err != nil {
		return service.Answer{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case countDown(&s.faults.FailBeforeEffect):
		return answerJSON(http.StatusServiceUnavailable, "failed before the effect"), nil
	case countDown(&s.faults.DropBeforeEffect):
		return service.Answer{}, errDropped
	}
	answer := s.run(call)
	if countDown(&s.faults.LoseAnswers) {
		return service.Answer{}, errLost
	}
	return answer, nil
}

// wait takes the time of the call and waits while the service is frozen.
func (s *Service) wait() error {
	s.mu.Lock()
	slow, thawed := time.Duration(s.faults.SlowMS)*time.Millisecond, s.thawed
	s.mu.Unlock()
	timer := time.NewTimer(slow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed.Done():
		return errDropped
	}
	select {
	case <-thawed:
		return nil
	case <-s.closed.Done():
		return errDropped
	}
}

func countDown(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// run is the effect of a call.
func (s *Service) run(call service.Call) service.Answer {
	s.ran[CallCount{
		Method: call.Method, Path: call.Path,
		IdempotencyKey: call.Header.Get(headerKey), RequestID: call.RequestID,
	}]++
	target, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return answerJSON(http.StatusBadRequest, err.Error())
	}
	if item, ok := strings.CutPrefix(target.Path, stockPath); ok && call.Method == http.MethodGet {
		return s.stock(item)
	}
	if target.Path == bookPath && call.Method == http.MethodPost {
		return s.book(call.Body)
	}
	return answerJSON(http.StatusOK, map[string]string{
		"method": call.Method, "path": call.Path, "request_id": call.RequestID,
	})
}

// stock tells how many of an item are left.
func (s *Service) stock(item string) service.Answer {
	free := stockPerItem
	for _, booking := range s.bookings {
		if booking.Slot == item {
			free--
		}
	}
	return answerJSON(http.StatusOK, map[string]any{"item": item, "free": free})
}

// book makes a booking each time it runs, so that a call that ran twice shows.
func (s *Service) book(body []byte) service.Answer {
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
