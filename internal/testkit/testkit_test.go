package testkit

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// recorder is a Fataler and a Reporter that records the last report.
type recorder struct{ got string }

func (*recorder) Helper() {}
func (r *recorder) Errorf(format string, args ...any) {
	r.got = "error: " + fmt.Sprintf(format, args...)
}
func (r *recorder) Fatal(args ...any) { r.got = "fatal: " + fmt.Sprint(args...) }

// Guards against a check that never fails, which would disable assertions in all tests
// unnoticed.
func TestChecksReport(t *testing.T) {
	broken := errors.New("broken")
	number := func(err error) (int, error) { return 7, err }
	for name, c := range map[string]struct {
		check func(t *recorder, err error)
		want  string
	}{
		"OK":        {func(t *recorder, err error) { OK(t, err) }, "fatal: broken"},
		"Value":     {func(t *recorder, err error) { Value(number(err))(t) }, "fatal: broken"},
		"That":      {func(t *recorder, err error) { That(t, err == nil, "got %v", err) }, "error: got broken"},
		"Need":      {func(t *recorder, err error) { Need(t, err == nil, "got %v", err) }, "fatal: got broken"},
		"NoError":   {func(t *recorder, err error) { NoError(t, err) }, "error: broken"},
		"Equal":     {func(t *recorder, err error) { Equal(t, "x", err, nil) }, `error: x: got "broken", want "<nil>"`},
		"WantError": {func(t *recorder, err error) { WantError(t, "x", Err(number(err)), nil) }, "error: x: got broken, want <nil>"},
		"other": {func(t *recorder, err error) {
			WantError(t, "x", errors.Join(io.EOF, err), io.EOF)
			That(t, err == nil, "")
		}, "error: "},
	} {
		var failing, passing recorder
		c.check(&failing, broken)
		c.check(&passing, nil)
		if failing.got != c.want || passing.got != "" {
			t.Errorf("%s: reports %q and %q, want %q and nothing", name, failing.got, passing.got, c.want)
		}
	}
	var differs, same recorder
	NoDiff(&differs, []int{1}, []int{2})
	NoDiff(&same, []int{1}, []int{1})
	if differs.got == "" || same.got != "" || Value(number(nil))(&same) != 7 {
		t.Errorf("NoDiff reports %q and %q", differs.got, same.got)
	}
}
