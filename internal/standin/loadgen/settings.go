// Package loadgen stands in for the callers: it sends requests to entry VMs on
// the loopback at a rate that does not wait for answers (open loop), checks that
// each answer is whole and the request's own, and reports how the requests ended
// and how long the answers took.
package loadgen

import (
	"net"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loadgen")

// The bounds of one run.
const (
	// maxDuration ends a run whose settings ask for more.
	maxDuration = 15 * time.Minute
	// maxRequests bounds the requests of one run.
	maxRequests = 1_000_000
	// maxOpen bounds the requests under way; any more are counted as not sent.
	maxOpen = 4096
	// maxStreams bounds the streams held open at once.
	maxStreams = 15_000
)

// Settings describe one run.
type Settings struct {
	// Targets are the IP:port of the entry VMs.
	Targets []string
	// Key is the caller's API key.
	APIKey string
	// Models are the models and adapters asked for. The first ones get most of
	// the requests (Zipf), as with real, rarely used models.
	Models []string
	// Service is the plain service's name.
	Service string
	// ServiceAdmin are the IP:port of the service stand-ins, asked after the run
	// how often each call ran; empty leaves that check out.
	ServiceAdmins []string
	// Rate is requests a second, over all targets.
	Rate float64
	// Burst requests for one model come at once each BurstEvery.
	BurstSize     int
	BurstInterval time.Duration
	// Duration is how long requests are sent; answers may take longer.
	Duration time.Duration
	// Requests ends the run early after that many; 0 is maxRequests.
	MaxRequests int
	// StreamShare of the generations ask for a stream; ServiceShare of all
	// requests are bookings; RepeatShare of these are sent a second time at
	// another entry VM with the same idempotency key.
	StreamShare, ServiceShare, RepeatShare float64
	// Tokens is max_tokens of each generation; PromptBytes the size of a prompt.
	MaxTokens, PromptBytes int
	// Timeout is when an answer counts as never given.
	Timeout time.Duration
	// Seed makes the same requests at the same times again.
	Seed uint64
}

// Check refuses settings that would leave this machine or never end.
func (s *Settings) Check() error {
	if s.MaxRequests <= 0 || s.MaxRequests > maxRequests {
		s.MaxRequests = maxRequests
	}
	switch {
	case len(s.Targets) == 0:
		return Error.New("no target")
	case len(s.Models) == 0:
		return Error.New("no model")
	case s.Rate <= 0 && s.BurstSize <= 0:
		return Error.New("neither a rate nor a burst")
	case s.BurstSize > 0 && s.BurstInterval <= 0:
		return Error.New("a burst needs its interval")
	case s.Duration <= 0 || s.Duration > maxDuration:
		return Error.New("the duration must be above 0 and at most %v", maxDuration)
	case s.ServiceShare > 0 && s.Service == "":
		return Error.New("a share of service calls needs the service's name")
	case s.Timeout <= 0:
		return Error.New("the timeout must be above 0")
	}
	if err := checkLoopback(s.ServiceAdmins); err != nil {
		return err
	}
	return checkLoopback(s.Targets)
}

// checkLoopback refuses any address outside this machine: a load generator with
// a wrong address is an attack on whoever has it.
func checkLoopback(addresses []string) error {
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		ip := net.ParseIP(host)
		if err != nil || ip == nil || !ip.IsLoopback() {
			return Error.New("address %q: want IP:port on the loopback", address)
		}
	}
	return nil
}

// List splits a comma-separated flag.
func SplitList(flag string) []string {
	return strings.FieldsFunc(flag, func(r rune) bool { return r == ',' || r == ' ' })
}
