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

// fileSuffix is appended to a secret's key to form the key for the path of its file.
const fileSuffix = "_file"

// field describes one key. Load, Sample and the reference page are derived from it.
type field struct {
	section string
	key     string
	// defaultValue is the text of the default, empty if there is none.
	defaultValue string
	// example is the value in the sample if the key is required.
	example  string
	required bool
	// logOnly restricts required to PlatformLog, hostedOnly to PlatformHosted.
	logOnly, hostedOnly bool
	// secret keys may also be set by the path of a file, in KEY_file.
	secret bool
	// help explains the key and the choice of its default.
	help string
	set  func(s *Settings, value string) error
}

// MinSecretLength is the minimum length of a shared secret. 32 hexadecimal digits hold
// 128 bits, which is hard to guess.
const MinSecretLength = 32

// isRequiredOn reports whether the key must be set on a platform of the given kind.
func (f field) isRequiredOn(kind PlatformKind) bool {
	switch {
	case f.logOnly:
		return f.required && kind == PlatformLog
	case f.hostedOnly:
		return f.required && kind == PlatformHosted
	default:
		return f.required
	}
}

// The functions below return setters for values of different types. ptr returns a pointer
// to the field of Settings to set.

func textSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*ptr(s) = value
		return nil
	}
}

func nameSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if strings.ContainsAny(value, " \t\"'/") {
			return fmt.Errorf("bad name %q: no spaces, quotes or slashes", value)
		}
		*ptr(s) = value
		return nil
	}
}

// nameListSetter returns a setter for a comma-separated list of distinct names.
func nameListSetter(ptr func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for item := range strings.SplitSeq(value, ",") {
			item = strings.TrimSpace(item)
			if item == "" || strings.ContainsAny(item, " \t\"'/") || slices.Contains(*ptr(s), item) {
				return fmt.Errorf("bad name %q: want different names with commas between them, without spaces, quotes or slashes", item)
			}
			*ptr(s) = append(*ptr(s), item)
		}
		return nil
	}
}

// addressSetter returns a setter for an IP:port. Host names are rejected, so that the process does not
// depend on name resolution.
func addressSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("bad address %q: want IP:port, as 10.0.0.7:8443", value)
		}
		*ptr(s) = value
		return nil
	}
}

// addressListSetter returns a setter for a comma-separated list of addresses.
func addressListSetter(ptr func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for item := range strings.SplitSeq(value, ",") {
			item = strings.TrimSpace(item)
			if _, err := netip.ParseAddrPort(item); err != nil {
				return fmt.Errorf("bad address %q: want IP:port with commas between them", item)
			}
			*ptr(s) = append(*ptr(s), item)
		}
		return nil
	}
}

// advertisedAddressSetter returns a setter for an address that others connect to.
func advertisedAddressSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil || parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
			return fmt.Errorf("bad address %q: want an IP:port that others can connect to", value)
		}
		*ptr(s) = value
		return nil
	}
}

func baseURLSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := url.Parse(value)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return fmt.Errorf("bad URL %q: want http://IP:port or https://IP:port", value)
		}
		*ptr(s) = strings.TrimSuffix(value, "/")
		return nil
	}
}

// platformURLSetter returns a setter for a base URL with an IP address as its host. With a
// host name, a failure of name resolution would make the log unavailable to every VM that
// opens a connection.
func platformURLSetter(ptr func(*Settings) *string) func(*Settings, string) error {
	set := baseURLSetter(ptr)
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

func durationSetter(minValue, maxValue time.Duration, ptr func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*ptr(s), err = strictini.ParseDuration(value, minValue, maxValue)
		return err
	}
}

func bytesSetter(minSize, maxSize int64, set func(*Settings, int64)) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		bytes, err := strictini.ParseBytes(value, minSize, maxSize)
		set(s, bytes)
		return err
	}
}

func intSetter(minValue, maxValue int, ptr func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*ptr(s), err = strictini.ParseInt(value, minValue, maxValue)
		return err
	}
}

func floatSetter(minValue, maxValue float64, ptr func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		*ptr(s), err = strictini.ParseFloat(value, minValue, maxValue)
		return err
	}
}

func boolSetter(ptr func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, value string) (err error) {
		if *ptr(s), err = strconv.ParseBool(value); err != nil {
			return fmt.Errorf("bad value %q: want true or false", value)
		}
		return nil
	}
}

func enumSetter(allowed []string, ptr func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if !slices.Contains(allowed, value) {
			return fmt.Errorf("bad value %q: want one of %s", value, strings.Join(allowed, ", "))
		}
		*ptr(s) = value
		return nil
	}
}

// sampleSecret is public and therefore rejected as a secret.
const sampleSecret = "replace-by-32-or-more-random-characters"

// setSecret keeps the secret out of its errors, because they are logged.
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

// hashLength is the length of a SHA-256 hash in hexadecimal digits.
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
