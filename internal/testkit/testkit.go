// Package testkit is what the tests and benchmarks of several packages share. Only
// test files import it. It holds no case of theirs.
package testkit

import (
	"errors"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
)

// Fataler is *testing.T, *testing.B, *testing.F or *rapid.T.
type Fataler interface {
	Helper()
	Fatal(args ...any)
}

// OK ends the test at an error. It costs nothing without one, so that it may stand
// in the loop of a benchmark: Helper is called only on the way out.
func OK(t Fataler, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

// Value returns the value of a call without the error, which ends the test:
//
//	data := testkit.Value(state.Encode(record))(t)
func Value[V any](value V, err error) func(Fataler) V {
	return func(t Fataler) V {
		if err != nil {
			t.Helper()
			t.Fatal(err)
		}
		return value
	}
}

// Must is Value for goroutines and stand-ins, which have no test to end: it panics.
func Must[V any](value V, err error) V {
	if err != nil {
		panic(err)
	}
	return value
}

// ProcessorTime is what this process has used so far, the collector and the
// kernel's part included: elapsed time tells little on a busy machine.
func ProcessorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// HeapBytes is what the heap grows by through the value that make returns.
func HeapBytes[V any](make func() V) float64 {
	before := liveBytes()
	value := make()
	after := liveBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// liveBytes collects twice: a sync.Pool keeps what it holds for one collection.
func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// PartitionBy splits a history into those of each key, which porcupine checks one
// by one.
func PartitionBy[K comparable](key func(porcupine.Operation) K) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) (all [][]porcupine.Operation) {
		parts := make(map[K][]porcupine.Operation)
		for _, op := range history {
			parts[key(op)] = append(parts[key(op)], op)
		}
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	}
}

// Reporter is *testing.T, *testing.B, *testing.F or *rapid.T.
type Reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

// NoDiff reports a difference between two values.
func NoDiff(t Reporter, want, got any, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Errorf("%s", diff)
	}
}

// WantError reports an error that is not the wanted one; nil wants none.
func WantError(t Reporter, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// Err is the error of a call that also returns a value.
func Err(_ any, err error) error { return err }

// EachSize runs a benchmark for each size.
func EachSize(b *testing.B, sizes []int, measure func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { measure(b, n) })
	}
}

// Equal reports a value that is not the wanted one.
func Equal[V comparable](t Reporter, what string, got, want V) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got \"%v\", want \"%v\"", what, got, want)
	}
}

// Require ends the test at a value that is not the wanted one.
func Require[V comparable](t Fataler, what string, got, want V) {
	t.Helper()
	if got != want {
		t.Fatal(fmt.Sprintf("%s: got \"%v\", want \"%v\"", what, got, want))
	}
}
