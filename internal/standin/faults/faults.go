// Package faults injects the faults that several simulated outside systems share:
// outages, delays and answers that are lost after the call took effect.
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

// ErrOutage is returned for calls while Settings.Outage is set.
var ErrOutage = errs.New("outage")

// Settings selects the injected faults. The zero value injects none.
type Settings struct {
	// Outage fails all calls before they take effect.
	Outage bool `json:"outage"`
	// SlowMS is the delay of each call in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next answers are lost after the call took
	// effect; it counts down.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability is the probability, from 0 to 1, that an answer is lost.
	LoseProbability float64 `json:"lose_probability"`
	// SlowFactor divides the throughput of the weight store; 0 and 1 mean full
	// throughput. Other simulated systems ignore it.
	SlowFactor float64 `json:"slow_factor"`
}

// Delay returns the delay of each call.
func (s Settings) Delay() time.Duration {
	return time.Duration(s.SlowMS) * time.Millisecond
}

// Injector applies fault settings to the calls of one simulated system. It is safe
// for concurrent use.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	rng      *rand.Rand
	changed  chan struct{}
}

// NewInjector returns an injector without faults. The same seed gives the same
// sequence of random draws for LoseProbability.
func NewInjector(seed uint64) *Injector {
	return &Injector{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// Set replaces all settings and closes the channel of Changed.
func (inj *Injector) Set(settings Settings) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.settings = settings
	close(inj.changed)
	inj.changed = make(chan struct{})
}

// Get returns the current settings.
func (inj *Injector) Get() Settings {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.settings
}

// Changed returns a channel that is closed by the next Set.
func (inj *Injector) Changed() <-chan struct{} {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.changed
}

// BeginCall waits for the configured delay before a call takes effect. It returns
// ErrOutage during an outage, or the context's error.
func (inj *Injector) BeginCall(ctx context.Context) error {
	settings := inj.Get()
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
	if inj.Get().Outage {
		return ErrOutage
	}
	return nil
}

// ShouldLoseAnswer reports whether the answer of a call that just took effect is
// lost, and counts down LoseAnswers.
func (inj *Injector) ShouldLoseAnswer() bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.settings.Outage {
		return true
	}
	if inj.settings.LoseAnswers > 0 {
		inj.settings.LoseAnswers--
		return true
	}
	return inj.settings.LoseProbability > 0 && inj.rng.Float64() < inj.settings.LoseProbability
}

// ServeHTTP serves the admin resource: GET returns the Settings; POST replaces all
// of them (fields that the body omits are reset to zero) and returns them.
func (inj *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var settings Settings
		if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
			httpjson.ReplyError(w, http.StatusBadRequest, Error.Wrap(err))
			return
		}
		inj.Set(settings)
	}
	httpjson.Reply(w, http.StatusOK, inj.Get())
}
