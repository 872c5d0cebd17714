package settings

import (
	"crypto/tls"
	"net/netip"
	"strings"
)

// fillAdvertised takes the listening addresses where no others are given.
func (s *Settings) fillAdvertised() {
	for _, pair := range s.addressPairs() {
		if *pair.advertised == "" {
			*pair.advertised = pair.listening
		}
	}
}

// addressPair is an address to listen on with the one that others are told.
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

// Check finds mistakes that no single key shows, and certificates that can't be
// used. Its error holds a *Problem.
func (s *Settings) Check() error {
	if err := s.checkAddresses(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.checkPolicy(); err != nil {
		return Error.Wrap(err)
	}
	if err := s.checkCertificate("callers", s.TLS.CallersCert, s.TLS.CallersKey); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(s.checkCertificate("operators", s.TLS.OperatorsCert, s.TLS.OperatorsKey))
}

// checkAddresses finds two listeners on one address, and an advertised address
// that nobody can connect to.
func (s *Settings) checkAddresses() error {
	taken := map[string]string{}
	for _, pair := range s.addressPairs() {
		parsed, err := netip.ParseAddrPort(*pair.advertised)
		if err != nil || parsed.Addr().IsUnspecified() {
			return s.Problem("vm", pair.key+"_advertise", "missing: others cannot connect to %s", pair.listening)
		}
		if other, ok := taken[pair.listening]; ok && parsed.Port() != 0 {
			return s.Problem("vm", pair.key+"_address", "same as %s_address", other)
		}
		taken[pair.listening] = pair.key
	}
	if other, ok := taken[s.Metrics.Address]; ok && !strings.HasSuffix(s.Metrics.Address, ":0") {
		return s.Problem("metrics", "address", "same as %s_address", other)
	}
	return nil
}

func (s *Settings) checkPolicy() error {
	p := s.Policy
	if p.KeepAliveMin > p.KeepAliveMax {
		return s.Problem("policy", "keep_alive_min", "%s is more than keep_alive_max (%s)", p.KeepAliveMin, p.KeepAliveMax)
	}
	// A session that outlives only one digest would end with each lost one.
	if p.SessionTerm < minHeartbeatsInTerm*p.Heartbeat {
		return s.Problem("policy", "session_term", "%s is less than %d heartbeats (%s)", p.SessionTerm, minHeartbeatsInTerm, p.Heartbeat)
	}
	return nil
}

// minHeartbeatsInTerm lets a session survive two lost renewals.
const minHeartbeatsInTerm = 3

func (s *Settings) checkCertificate(who, cert, key string) error {
	if cert == "" && key == "" {
		return nil
	}
	if cert == "" {
		return s.Problem("tls", who+"_cert", "missing: there is a key")
	}
	if key == "" {
		return s.Problem("tls", who+"_key", "missing: there is a certificate")
	}
	if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
		return s.Problem("tls", who+"_cert", "%v", err)
	}
	return nil
}
