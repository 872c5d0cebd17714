package refusal_test

import (
	"errors"
	"fmt"
	"time"

	"bergamotreel/refusal"
)

// A layer that knows that nothing ran returns a refusal. FromError converts any other
// error to a refusal of a request that may have run.
func ExampleFromError() {
	for _, err := range []error{
		fmt.Errorf("dispatch: %w", refusal.New(refusal.CodeWaitTooLong, 5*time.Second, "the queue is too long")),
		errors.New("connection broken"),
	} {
		r := refusal.FromError(err)
		fmt.Println(r.Code, r.Ran, r.RetryAfter)
	}
	// Output:
	// wait_too_long no 5s
	// internal maybe 0s
}
