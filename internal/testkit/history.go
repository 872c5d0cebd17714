package testkit

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// History records concurrent operations of clients for porcupine. Its times are relative
// to the call of NewHistory.
type History struct {
	begun time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{begun: time.Now()} }

// Record runs one operation of a client and records it with its output.
func (h *History) Record(client int, input any, op func() any) {
	call := time.Since(h.begun)
	output := op()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: int64(call), Return: int64(time.Since(h.begun)),
	})
}

// Operations returns the operations recorded so far.
func (h *History) Operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ops
}
