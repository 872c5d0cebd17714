// Package expect holds the few checks that nearly every test makes. Each reports
// the line of the test that called it. A check's arguments are evaluated also
// where it passes, unlike those in the body of an if: give it only what exists
// in either case. OK costs nothing where it passes, so that it may stand in the
// loop of a benchmark; Helper is therefore called only on the way out.
package expect

import (
	"errors"
	"fmt"

	"github.com/google/go-cmp/cmp"
)

// T is the part of testing.TB that the checks need, which rapid's T has too.
type T interface {
	Helper()
	Error(args ...any)
	Fatal(args ...any)
}

// OK ends the test if err is not nil: what follows would make no sense.
func OK(t T, err error) {
	if err != nil {
		t.Helper()
		t.Fatal(err)
	}
}

// Value is the value of a call that must not fail, as in
//
//	file := expect.Value(os.Open(name))(t)
//
// It ends the test if err is not nil.
func Value[V any](value V, err error) func(T) V {
	return func(t T) V {
		if err != nil {
			t.Helper()
			t.Fatal(err)
		}
		return value
	}
}

// That fails the test unless what is asked for holds, and goes on. The format
// says what was seen instead.
func That(t T, holds bool, format string, args ...any) {
	if !holds {
		t.Helper()
		t.Error(fmt.Sprintf(format, args...))
	}
}

// Must is That, but ends the test: what follows would make no sense.
func Must(t T, holds bool, format string, args ...any) {
	if !holds {
		t.Helper()
		t.Fatal(fmt.Sprintf(format, args...))
	}
}

// NoError fails the test if err is not nil, and goes on.
func NoError(t T, err error) {
	if err != nil {
		t.Helper()
		t.Error(err)
	}
}

// Equal fails the test, and goes on, unless the value is the wanted one. what
// names what was looked at.
func Equal[V comparable](t T, what string, got, want V) {
	if got != want {
		t.Helper()
		t.Error(fmt.Sprintf("%s: got \"%v\", want \"%v\"", what, got, want))
	}
}

// NoDiff fails the test, and goes on, unless the values are deeply equal; it says
// where they differ.
func NoDiff(t T, want, got any, options ...cmp.Option) {
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Helper()
		t.Error(diff)
	}
}

// WantError fails the test, and goes on, unless err is of the wanted kind; nil
// wants no error. what names the case.
func WantError(t T, what string, err, want error) {
	if !errors.Is(err, want) {
		t.Helper()
		t.Error(fmt.Sprintf("%s: got %v, want %v", what, err, want))
	}
}

// Err is the error of a call whose value does not matter.
func Err(_ any, err error) error { return err }
