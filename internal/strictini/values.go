package strictini

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// byteUnits are the units of sizes, largest first where one ends with another.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3},
	{"B", 1},
}

// Bytes reads a size such as 16GB (decimal) or 512MiB (binary) and checks that
// it lies between least and most.
func ParseBytes(text string, least, most int64) (int64, error) {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		size, err := scale(strings.TrimSpace(number), unit.bytes)
		if err != nil {
			return 0, fmt.Errorf("bad size %q: %w", text, err)
		}
		if size < least || size > most {
			return 0, fmt.Errorf("size %s is not between %s and %s", text, FormatBytes(least), FormatBytes(most))
		}
		return size, nil
	}
	return 0, fmt.Errorf("bad size %q: want a number with a unit, as 16GB or 512MiB", text)
}

// scale multiplies in integers where it can, so that no VM rounds otherwise.
func scale(number string, unit int64) (int64, error) {
	whole, fraction, hasFraction := strings.Cut(number, ".")
	if !digits(whole) || hasFraction && (!digits(fraction) || len(fraction) > 3) {
		return 0, fmt.Errorf("want digits with at most three decimals")
	}
	thousandths, err := strconv.ParseInt(whole+(fraction + "000")[:3], 10, 64)
	if err != nil || thousandths > math.MaxInt64/unit {
		return 0, fmt.Errorf("too large")
	}
	return thousandths * unit / 1000, nil
}

func digits(text string) bool {
	for _, r := range text {
		if r < '0' || r > '9' {
			return false
		}
	}
	return text != ""
}

// FormatBytes writes a size so that Bytes reads the same number back.
func FormatBytes(size int64) string {
	for _, unit := range byteUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

// Duration reads a Go duration and checks that it lies between least and most.
func ParseDuration(text string, least, most time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("bad duration %q: want a number with a unit, as 800ms or 30s", text)
	}
	if d < least || d > most {
		return 0, fmt.Errorf("duration %s is not between %s and %s", text, least, most)
	}
	return d, nil
}

// Int reads a whole number and checks that it lies between least and most.
func ParseInt(text string, least, most int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("bad number %q: want a whole number", text)
	}
	if n < least || n > most {
		return 0, fmt.Errorf("%d is not between %d and %d", n, least, most)
	}
	return n, nil
}

// Float reads a decimal number and checks that it lies between least and most.
func ParseFloat(text string, least, most float64) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) {
		return 0, fmt.Errorf("bad number %q", text)
	}
	if f < least || f > most {
		return 0, fmt.Errorf("%s is not between %g and %g", text, least, most)
	}
	return f, nil
}
