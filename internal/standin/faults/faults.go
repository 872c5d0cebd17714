// Package faults holds the fault switches that all stand-ins share: outage,
// slowness and answers that are lost after the call has taken effect.
package faults

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotreel/internal/httpjson"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("faults")

// ErrOutage is what a call meets while the outage switch is on.
var ErrOutage = errs.New("outage")

// Settings are the positions of the switches. The zero value is "no fault".
type Settings struct {
	// Outage fails all calls before they take effect.
	Outage bool `json:"outage"`
	// SlowMS delays each call by so many milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next answers get lost after the call took
	// effect; it counts down.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability loses each answer with this probability, 0 to 1.
	LoseProbability float64 `json:"lose_probability"`
	// SlowFactor divides the throughput of the weight store; 0 and 1 mean full
	// speed. Other stand-ins ignore it.
	SlowFactor float64 `json:"slow_factor"`
}

// Slow is the delay of each call.
func (s Settings) Delay() time.Duration {
	return time.Duration(s.SlowMS) * time.Millisecond
}

// Switch is one set of fault switches. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	rng      *rand.Rand
	changed  chan struct{}
}

// NewSwitch returns a switch without faults. The seed makes the draws of
// LoseProbability repeatable.
func NewInjector(seed uint64) *Injector {
	return &Injector{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Set moves all switches and wakes whoever waits on Changed.
func (s *Injector) Set(settings Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns the present positions.
func (s *Injector) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Changed is closed at the next Set.
func (s *Injector) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Enter waits out the delay of a call that only reads. It fails with ErrOutage
// or with the context's error.
func (s *Injector) BeginCall(ctx context.Context) error {
	settings := s.Get()
	if settings.Outage {
		return ErrOutage
	}
	if settings.Delay() <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(settings.Delay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if s.Get().Outage {
		return ErrOutage
	}
	return nil
}

// LoseAnswer tells whether the answer of a call that just took effect gets lost.
func (s *Injector) ShouldLoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Outage {
		return true
	}
	if s.settings.LoseAnswers > 0 {
		s.settings.LoseAnswers--
		return true
	}
	return s.settings.LoseProbability > 0 && s.rng.Float64() < s.settings.LoseProbability
}

// ServeHTTP is the admin resource: GET answers the Settings, POST sets all of
// them (what the body leaves out is switched off) and answers them.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var settings Settings
		if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
			httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
			return
		}
		s.Set(settings)
	}
	httpjson.Reply(w, http.StatusOK, s.Get())
}
