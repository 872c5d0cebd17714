// Package testkit provides helpers that the tests and benchmarks of several packages
// share. Only test files import it. It contains no test cases.
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

// Fataler is the part of *testing.T, *testing.B, *testing.F and *rapid.T that ends a test.
type Fataler interface {
	Helper()
	Fatal(args ...any)
}

// OK ends the test if err is not nil. It calls Helper only in that case, so that it costs
// nothing in the loop of a benchmark.
func OK(t Fataler, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

// Value returns the value of a call; an error of the call ends the test:
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

// Must is like Value, but panics. It is for goroutines and stand-ins, which can't end a
// test.
func Must[V any](value V, err error) V {
	if err != nil {
		panic(err)
	}
	return value
}

// ProcessorTime returns the processor time of this process so far, including the garbage
// collector and the kernel. Elapsed time is no useful measure on a busy machine.
func ProcessorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// HeapBytes returns how many bytes of heap the value returned by make takes.
func HeapBytes[V any](make func() V) float64 {
	before := liveBytes()
	value := make()
	after := liveBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// liveBytes returns the size of the live heap. It collects twice, as a sync.Pool keeps its
// values for one collection.
func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// PartitionBy returns a function that splits a history by key, so that porcupine checks
// the operations on each key separately.
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

// Reporter is the part of *testing.T, *testing.B, *testing.F and *rapid.T that reports an
// error without ending the test.
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

// WantError reports an error that doesn't match want. A nil want means no error.
func WantError(t Reporter, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// Err returns the error of a call that also returns a value.
func Err(_ any, err error) error { return err }

// EachSize runs measure as a sub-benchmark for each size.
func EachSize(b *testing.B, sizes []int, measure func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { measure(b, n) })
	}
}

// Equal reports an error unless got equals want.
func Equal[V comparable](t Reporter, what string, got, want V) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got \"%v\", want \"%v\"", what, got, want)
	}
}

// Require ends the test unless got equals want.
func Require[V comparable](t Fataler, what string, got, want V) {
	t.Helper()
	if got != want {
		t.Fatal(fmt.Sprintf("%s: got \"%v\", want \"%v\"", what, got, want))
	}
}
