package caller

import "sync/atomic"

// heldAnswers limits the bytes of whole answers in memory, from the first byte that is received until their callers have
// read them. Without it callers that read slowly or not at all would have many large answers held for them. It is safe for
// concurrent use.
type heldAnswers struct {
	limit int64
	used  atomic.Int64
}

// heldAnswer is the memory of one request's answer. It is used by one goroutine at a time.
type heldAnswer struct {
	all  *heldAnswers
	held int64
}

// reserve takes n more bytes and reports whether there are as many.
func (a *heldAnswer) reserve(n int64) bool {
	if a.all.used.Add(n) > a.all.limit {
		a.all.used.Add(-n)
		return false
	}
	a.held += n
	return true
}

// release gives all bytes back.
func (a *heldAnswer) release() {
	a.all.used.Add(-a.held)
	a.held = 0
}
