package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The first and the longest pause between repeated publishes.
const (
	initialPause = 100 * time.Millisecond
	maxPause     = 2 * time.Second
)

// PublishUntilKnown repeats the request until its result is known or ctx ends.
// Repeats are safe because they have the same ChangeID. It fails with
// ErrUnavailable only if no attempt can have published anything.
func PublishUntilKnown(ctx context.Context, operator Operator, request PublishRequest) (PublishResult, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initialPause
	pauses.MaxInterval = maxPause
	mayHavePublished := false
	var lastErr error
	attempt := func() (PublishResult, error) {
		result, err := operator.Publish(ctx, request)
		if err == nil {
			return result, nil
		}
		lastErr = err
		mayHavePublished = mayHavePublished || errors.Is(err, ErrOutcomeUnknown)
		if !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnavailable) {
			return result, backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return result, nil
	}
	if mayHavePublished && !errors.Is(lastErr, ErrOutcomeUnknown) {
		lastErr = Error.Wrap(fmt.Errorf("%w: an earlier attempt may have published; since then: %v", ErrOutcomeUnknown, lastErr))
	}
	return result, lastErr
}
