package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pauses between repeated publishes.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// PublishUntilKnown repeats the request until its result is known or ctx ends.
// The ChangeID makes that safe. It fails with ErrUnavailable only if no attempt
// can have published anything.
func PublishUntilKnown(ctx context.Context, operator Operator, request PublishRequest) (PublishResult, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = maxPause
	maybe := false
	var newest error
	attempt := func() (PublishResult, error) {
		result, err := operator.Publish(ctx, request)
		if err == nil {
			return result, nil
		}
		newest = err
		maybe = maybe || errors.Is(err, ErrOutcomeUnknown)
		if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnavailable) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return result, nil
	}
	if maybe && !errors.Is(newest, ErrOutcomeUnknown) {
		newest = Error.Wrap(fmt.Errorf("%w: an earlier attempt may have published; since then: %v", ErrOutcomeUnknown, newest))
	}
	return result, newest
}
