package testkit

import "fmt"

// That reports, by the format, what was seen instead of what holds. The arguments
// are evaluated also where it holds, unlike those in the body of an if: give it
// only what exists in either case.
func That(t Reporter, holds bool, format string, args ...any) {
	t.Helper()
	if !holds {
		t.Errorf("%s", fmt.Sprintf(format, args...))
	}
}

// Need is That, but ends the test: what follows would make no sense.
func Need(t Fataler, holds bool, format string, args ...any) {
	t.Helper()
	if !holds {
		t.Fatal(fmt.Sprintf(format, args...))
	}
}

// NoError reports an error.
func NoError(t Reporter, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("%v", err)
	}
}
