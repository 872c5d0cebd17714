// Package loadgen is an open-loop load generator that stands in for the callers. It
// sends requests to entry VMs on the loopback at a rate that does not depend on the
// answers, checks that each answer is complete and belongs to its request, and
// reports the outcomes and the latencies.
package loadgen

import (
	"net"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loadgen")

// Limits of one run.
const (
	// maxDuration bounds the duration of a run.
	maxDuration = 15 * time.Minute
	// maxRequests bounds the requests of one run.
	maxRequests = 1_000_000
	// maxInFlight bounds the requests in flight; more are counted as not sent.
	maxInFlight = 4096
	// maxStreams bounds the streams that are held open at the same time.
	maxStreams = 15_000
)

// Settings configures one run.
type Settings struct {
	// Targets lists the entry VMs as IP:port.
	Targets []string
	// APIKey is the caller's API key.
	APIKey string
	// Models lists the models and adapters to request. The first ones get most of
	// the requests (Zipf distribution), as is typical of rarely used models.
	Models []string
	// Service is the name of the plain service.
	Service string
	// ServiceAdmins lists the service stand-ins as IP:port. After the run they are
	// queried for how often each call ran; an empty list skips that check.
	ServiceAdmins []string
	// Rate is the number of requests per second over all targets.
	Rate float64
	// BurstSize is the number of requests for one model that are sent together every
	// BurstInterval.
	BurstSize     int
	BurstInterval time.Duration
	// Duration is the time during which requests are sent; answers may take longer.
	Duration time.Duration
	// MaxRequests ends the run early after that many requests; 0 means maxRequests.
	MaxRequests int
	// StreamShare is the share of generations that request a stream, and
	// ServiceShare the share of all requests that are bookings. RepeatShare of the
	// bookings are also sent to another entry VM with the same idempotency key.
	StreamShare, ServiceShare, RepeatShare float64
	// MaxTokens is max_tokens of each generation; PromptBytes is the size of a prompt.
	MaxTokens, PromptBytes int
	// Timeout bounds the wait for an answer.
	Timeout time.Duration
	// Seed determines the requests and their times, so that a run can be repeated.
	Seed uint64
}

// Check rejects settings that are incomplete, that would send requests off this
// machine or that would never end. It also applies the default of MaxRequests.
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

// checkLoopback rejects any address outside this machine, because a load generator
// with a wrong address attacks the host at that address.
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

// SplitList splits the value of a flag at commas and spaces.
func SplitList(flag string) []string {
	return strings.FieldsFunc(flag, func(r rune) bool { return r == ',' || r == ' ' })
}
