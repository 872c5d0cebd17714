package settings

import (
	"crypto/tls"
	"net/netip"
	"slices"
	"strings"

	"bergamotreel/internal/strictini"
)

// setAdvertisedDefaults sets advertised addresses that are not given to the listening
// addresses.
func (s *Settings) setAdvertisedDefaults() {
	for _, pair := range s.addressPairs() {
		if *pair.advertised == "" {
			*pair.advertised = pair.listening
		}
	}
}

// addressPair is an address to listen on and the address that is advertised for it.
type addressPair struct {
	key        string
	listening  string
	advertised *string
}

func (s *Settings) addressPairs() []addressPair {
	return []addressPair{
		{"callers", s.VM.CallersAddress, &s.VM.CallersAdvertise},
		{"operators", s.VM.OperatorsAddress, &s.VM.OperatorsAdvertise},
		{"peers", s.VM.PeersAddress, &s.VM.PeersAdvertise},
	}
}

// Check validates settings across keys and loads the certificates. Its error wraps a
// *Problem for each problem found.
func (s *Settings) Check() error {
	problems := strictini.FileProblems(slices.Concat(s.checkAddresses(), s.checkLimits(), s.checkPolicy(),
		s.checkCertificate("callers", s.TLS.CallersCert, s.TLS.CallersKey),
		s.checkCertificate("operators", s.TLS.OperatorsCert, s.TLS.OperatorsKey)))
	return Error.Wrap(problems.Err())
}

// checkAddresses reports listeners that share an address, advertised addresses that
// nobody can connect to and a missing ready_address.
func (s *Settings) checkAddresses() (problems []*Problem) {
	keyByAddress := map[string]string{}
	if s.Platform.Kind == PlatformHosted && s.VM.ReadyAddress == "" {
		problems = append(problems, s.NewProblem("vm", "ready_address", "missing: kind = hosted needs it"))
	}
	for _, pair := range s.addressPairs() {
		if pair.listening == "" {
			continue // not served on this platform
		}
		parsed, err := netip.ParseAddrPort(*pair.advertised)
		if err != nil || parsed.Addr().IsUnspecified() {
			problems = append(problems, s.NewProblem("vm", pair.key+"_advertise", "missing: others cannot connect to %s", pair.listening))
		}
		if other, ok := keyByAddress[pair.listening]; ok && parsed.Port() != 0 {
			problems = append(problems, s.NewProblem("vm", pair.key+"_address", "same as %s_address", other))
		}
		keyByAddress[pair.listening] = pair.key
	}
	if other, ok := keyByAddress[s.Metrics.Address]; ok && !strings.HasSuffix(s.Metrics.Address, ":0") {
		problems = append(problems, s.NewProblem("metrics", "address", "same as %s_address", other))
	}
	return problems
}

// minHeldBodies is how many bodies of the largest size held_bytes must hold, so that even one owner's share of what large
// bodies may take is enough for one.
const minHeldBodies = 3

func (s *Settings) checkLimits() (problems []*Problem) {
	l := s.Limits
	if l.HeldBytes < minHeldBodies*l.BodyBytes {
		problems = append(problems, s.NewProblem("limits", "held_bytes", "%d bytes are less than %d times body_bytes (%d)", l.HeldBytes, minHeldBodies, l.BodyBytes))
	}
	return problems
}

func (s *Settings) checkPolicy() (problems []*Problem) {
	p := s.Policy
	if p.KeepAliveMin > p.KeepAliveMax {
		problems = append(problems, s.NewProblem("policy", "keep_alive_min", "%s is more than keep_alive_max (%s)", p.KeepAliveMin, p.KeepAliveMax))
	}
	// A session that outlives only one digest would expire whenever one is lost.
	if p.SessionTerm < minHeartbeatsInTerm*p.HeartbeatInterval {
		problems = append(problems, s.NewProblem("policy", "session_term", "%s is less than %d heartbeats (%s)", p.SessionTerm, minHeartbeatsInTerm, p.HeartbeatInterval))
	}
	return problems
}

// minHeartbeatsInTerm lets a session survive two lost renewals.
const minHeartbeatsInTerm = 3

func (s *Settings) checkCertificate(keyPrefix, cert, key string) []*Problem {
	if cert == "" && key == "" {
		return nil
	}
	if cert == "" {
		return []*Problem{s.NewProblem("tls", keyPrefix+"_cert", "missing: there is a key")}
	}
	if key == "" {
		return []*Problem{s.NewProblem("tls", keyPrefix+"_key", "missing: there is a certificate")}
	}
	if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
		return []*Problem{s.NewProblem("tls", keyPrefix+"_cert", "%v", err)}
	}
	return nil
}
