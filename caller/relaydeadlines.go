package caller

import (
	"hash/fnv"
	"time"
)

// computeAnswerDeadline returns the time by which the answer must be complete: shortly
// before the caller's timeout and the route's timeout, whichever is earlier.
func computeAnswerDeadline(arrived time.Time, callerTimeout, routeTimeout time.Duration) time.Time {
	allowed := maxRequestTime
	if routeTimeout > 0 {
		allowed = subtractAnswerMargin(routeTimeout)
	}
	if callerTimeout > 0 {
		allowed = min(allowed, subtractAnswerMargin(callerTimeout))
	}
	return arrived.Add(allowed)
}

// subtractAnswerMargin returns the timeout less answerMargin, but at least half of it.
func subtractAnswerMargin(timeout time.Duration) time.Duration {
	return max(timeout-answerMargin, timeout/2)
}

// computeBeginDeadline returns the time until which the request may wait for an attempt,
// if its caller has waited since the given time, its arrival or its last event; an attempt
// that begins later can't answer before the caller disconnects. The deadline is
// refusalMargin earlier than that, because a refusal sent only a moment before the caller
// disconnects doesn't reach it in time over a busy link.
func computeBeginDeadline(since, answerDeadline time.Time, silence time.Duration) time.Time {
	allowed := answerDeadline.Sub(since)
	if silence > 0 {
		allowed = min(allowed, silence)
	}
	return since.Add(allowed - min(refusalMargin, allowed/refusalMarginDivisor))
}

// hashFraction maps a request ID to a number in [0, 1), the same on every VM.
func hashFraction(id string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return float64(hash.Sum32()) / (1 << 32)
}
