package testkit

import "fmt"

// That reports an error with the given message unless condition is true. The arguments are
// evaluated even if condition is true, unlike those in the body of an if, so they must be
// valid in either case.
func That(t Reporter, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Errorf("%s", fmt.Sprintf(format, args...))
	}
}

// Need is like That, but ends the test, as the checks after it depend on the condition.
func Need(t Fataler, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatal(fmt.Sprintf(format, args...))
	}
}

// NoError reports err as a test error unless it is nil. The test continues.
func NoError(t Reporter, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("%v", err)
	}
}
