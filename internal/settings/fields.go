package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotreel/internal/strictini"
)

// fileSuffix makes the key that names a secret's file.
const fileSuffix = "_file"

// field describes one key: Load, Sample and the reference page come from it.
type field struct {
	section string
	key     string
	// byDefault is the text of the default; empty: none.
	byDefault string
	// example stands in the sample where there is no default.
	example  string
	required bool
	// logOnly keys are required only where the platform offers a log, hostedOnly
	// keys only where it hosts.
	logOnly, hostedOnly bool
	// secret keys may also be given by a file's path in KEY_file.
	secret bool
	// help says what it is and why the default is what it is.
	help string
	set  func(s *Settings, value string) error
}

// MinSecretLength makes a shared secret that is hard to guess: 32 characters of
// hex are 128 bits.
const MinSecretLength = 32

// requiredIn tells whether the key must be given on such a platform.
func (f field) requiredIn(kind PlatformKind) bool {
	switch {
	case f.logOnly:
		return f.required && kind == PlatformLog
	case f.hostedOnly:
		return f.required && kind == PlatformHosted
	default:
		return f.required
	}
}

// The functions below make setters by type.

func text(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*at(s) = value
		return nil
	}
}

func name(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if strings.ContainsAny(value, " \t\"'/") {
			return fmt.Errorf("bad name %q: no spaces, quotes or slashes", value)
		}
		*at(s) = value
		return nil
	}
}

// names reads a list of names, each of which may stand once.
func names(at func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for one := range strings.SplitSeq(value, ",") {
			one = strings.TrimSpace(one)
			if one == "" || strings.ContainsAny(one, " \t\"'/") || slices.Contains(*at(s), one) {
				return fmt.Errorf("bad name %q: want different names with commas between them, without spaces, quotes or slashes", one)
			}
			*at(s) = append(*at(s), one)
		}
		return nil
	}
}

// address reads IP:port: a process doesn't depend on names being resolved.
func address(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("bad address %q: want IP:port, as 10.0.0.7:8443", value)
		}
		*at(s) = value
		return nil
	}
}

// addresses reads a list of addresses.
func addresses(at func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for one := range strings.SplitSeq(value, ",") {
			one = strings.TrimSpace(one)
			if _, err := netip.ParseAddrPort(one); err != nil {
				return fmt.Errorf("bad address %q: want IP:port with commas between them", one)
			}
			*at(s) = append(*at(s), one)
		}
		return nil
	}
}

// reachable reads an address that others are to connect to.
func reachable(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
			return fmt.Errorf("bad address %q: want an IP:port that others can connect to", value)
		}
		*at(s) = value
		return nil
	}
}

func baseURL(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := url.Parse(value)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return fmt.Errorf("bad URL %q: want http://IP:port or https://IP:port", value)
		}
		*at(s) = strings.TrimSuffix(value, "/")
		return nil
	}
}

// platformURL is a base URL by IP number: with a name, a failure of the name
// service would be one of the log, for every VM that connects anew.
func platformURL(at func(*Settings) *string) func(*Settings, string) error {
	set := baseURL(at)
	return func(s *Settings, value string) error {
		if err := set(s, value); err != nil {
			return err
		}
		parsed, err := url.Parse(value)
		if err != nil {
			return err
		}
		if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
			return fmt.Errorf("bad URL %q: want an IP number, no names are looked up", value)
		}
		return nil
	}
}

func duration(least, most time.Duration, at func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*at(s), err = strictini.ParseDuration(value, least, most)
		return err
	}
}

func size(least, most int64, at func(*Settings, int64)) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		bytes, err := strictini.ParseBytes(value, least, most)
		at(s, bytes)
		return err
	}
}

func number(least, most int, at func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*at(s), err = strictini.ParseInt(value, least, most)
		return err
	}
}

func share(least, most float64, at func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*at(s), err = strictini.ParseFloat(value, least, most)
		return err
	}
}

func boolean(at func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		if *at(s), err = strconv.ParseBool(value); err != nil {
			return fmt.Errorf("bad value %q: want true or false", value)
		}
		return nil
	}
}

func oneOf(allowed []string, at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if !slices.Contains(allowed, value) {
			return fmt.Errorf("bad value %q: want one of %s", value, strings.Join(allowed, ", "))
		}
		*at(s) = value
		return nil
	}
}

// sampleSecret is public, so no fleet may run with it.
const sampleSecret = "replace-by-32-or-more-random-characters"

// setSecret doesn't repeat the secret in its errors: they go to logs.
func setSecret(s *Settings, value string) error {
	if len(value) < MinSecretLength {
		return fmt.Errorf("shorter than %d characters", MinSecretLength)
	}
	if value == sampleSecret {
		return errors.New("still the sample's secret, which everybody knows")
	}
	s.Peers.Secret = value
	return nil
}

// hashLength is the length of a SHA-256 hash in hex digits.
const hashLength = 64

func setTokenHashes(s *Settings, value string) error {
	for hash := range strings.SplitSeq(value, ",") {
		hash = strings.TrimSpace(hash)
		if len(hash) != hashLength || strings.Trim(hash, "0123456789abcdef") != "" {
			return errors.New("want SHA-256 hashes of 64 lower-case hex digits, with commas between them")
		}
		s.Operators.TokenSHA256 = append(s.Operators.TokenSHA256, hash)
	}
	return nil
}
