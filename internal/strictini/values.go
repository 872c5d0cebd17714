package strictini

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// byteUnits are the units of sizes. A unit that is the suffix of another comes after
// it.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3},
	{"B", 1},
}

// ParseBytes parses a size such as 16GB (decimal) or 512MiB (binary) and checks that it
// is between minSize and maxSize.
func ParseBytes(text string, minSize, maxSize int64) (int64, error) {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		size, err := parseScaled(strings.TrimSpace(number), unit.bytes)
		if err != nil {
			return 0, fmt.Errorf("bad size %q: %w", text, err)
		}
		if size < minSize || size > maxSize {
			return 0, fmt.Errorf("size %s is not between %s and %s", text, FormatBytes(minSize), FormatBytes(maxSize))
		}
		return size, nil
	}
	return 0, fmt.Errorf("bad size %q: want a number with a unit, as 16GB or 512MiB", text)
}

// parseScaled parses a decimal number and multiplies it by unit. It computes in
// integers, so that all VMs round in the same way.
func parseScaled(number string, unit int64) (int64, error) {
	whole, fraction, hasFraction := strings.Cut(number, ".")
	if !isDigits(whole) || hasFraction && (!isDigits(fraction) || len(fraction) > 3) {
		return 0, fmt.Errorf("want digits with at most three decimals")
	}
	thousandths, err := strconv.ParseInt(whole+(fraction + "000")[:3], 10, 64)
	if err != nil || thousandths > math.MaxInt64/unit {
		return 0, fmt.Errorf("too large")
	}
	return thousandths * unit / 1000, nil
}

func isDigits(text string) bool {
	for _, r := range text {
		if r < '0' || r > '9' {
			return false
		}
	}
	return text != ""
}

// FormatBytes formats a size so that ParseBytes returns the same number.
func FormatBytes(size int64) string {
	for _, unit := range byteUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

// ParseDuration parses a Go duration and checks that it is between minValue and
// maxValue.
func ParseDuration(text string, minValue, maxValue time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("bad duration %q: want a number with a unit, as 800ms or 30s", text)
	}
	if d < minValue || d > maxValue {
		return 0, fmt.Errorf("duration %s is not between %s and %s", text, minValue, maxValue)
	}
	return d, nil
}

// ParseInt parses a whole number and checks that it is between minValue and maxValue.
func ParseInt(text string, minValue, maxValue int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("bad number %q: want a whole number", text)
	}
	if n < minValue || n > maxValue {
		return 0, fmt.Errorf("%d is not between %d and %d", n, minValue, maxValue)
	}
	return n, nil
}

// ParseFloat parses a decimal number and checks that it is between minValue and
// maxValue.
func ParseFloat(text string, minValue, maxValue float64) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) {
		return 0, fmt.Errorf("bad number %q", text)
	}
	if f < minValue || f > maxValue {
		return 0, fmt.Errorf("%s is not between %g and %g", text, minValue, maxValue)
	}
	return f, nil
}
