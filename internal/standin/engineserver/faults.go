package engineserver

import (
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

// Faults are the engine's fault switches. The zero value is a healthy engine.
type Faults struct {
	// Frozen stops the process: nothing is answered, runs or loads. What was
	// sent meanwhile takes effect at the thaw.
	Frozen bool `json:"frozen,omitempty"`
	// Slow multiplies the times of steps, prefills and loads; 0 means 1.
	SlowFactor float64 `json:"slow,omitempty"`
	// DropStreamsAfter breaks off each reading of a stream after so many
	// chunks, 0 never.
	DropStreamsAfter int `json:"drop_streams_after,omitempty"`
	// EndStreamsEarly makes a drop close the body in good order.
	EndStreamsEarly bool `json:"end_streams_early,omitempty"`
	// CrossChunk puts another stream's chunk at this position of each reading,
	// 0 never.
	ForeignChunkPosition uint64 `json:"cross_chunk,omitempty"`
	// LoseStreamAnswers is how many of the next Generate calls run and lose
	// their answer.
	LoseStreamAnswers int `json:"lose_stream_answers,omitempty"`
	// DelayOrders is how many of the next orders arrive DelayOrdersMS
	// milliseconds late.
	DelayOrders   int   `json:"delay_orders,omitempty"`
	DelayOrdersMS int64 `json:"delay_orders_ms,omitempty"`
	// LoseOrderAnswers is how many of the next orders take effect and lose
	// their answer.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// DieWhileLoading crashes the process at the end of the next load and
	// starts it again after Options.RestartAfter.
	CrashWhileLoading bool `json:"die_while_loading,omitempty"`
	// FailLoads names the units whose loads fail at their end.
	FailLoads []string `json:"fail_loads,omitempty"`
	// StallLoads names the units whose loads do not come to an end.
	StallLoads []string `json:"stall_loads,omitempty"`
}

// pollTime is how often a stalled load looks whether the fault has ended.
const pollTime = 50 * time.Millisecond

// SetFaults replaces all switches.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Frozen && !e.faults.Frozen {
		e.thawed = make(chan struct{})
	}
	if !faults.Frozen && e.faults.Frozen {
		close(e.thawed)
	}
	e.faults = faults
}

// Faults returns the switches; those that count down show what is left.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// orderFaults is what befalls the next order.
func (e *Engine) orderFaults() (delay time.Duration, lose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DelayOrders > 0 {
		e.faults.DelayOrders--
		delay = time.Duration(e.faults.DelayOrdersMS) * time.Millisecond
	}
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		lose = true
	}
	return delay, lose
}

func (e *Engine) losesStreamAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseStreamAnswers == 0 {
		return false
	}
	e.faults.LoseStreamAnswers--
	return true
}

// work takes d, times the slowness, without what time the engine is frozen at
// the end. It tells whether the work came to its end.
func (e *Engine) work(ctx context.Context, d time.Duration) bool {
	if slow := e.Faults().SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return pause.For(ctx, d) && e.enter(ctx) == nil
}

func (e *Engine) waitWhileStalled(ctx context.Context, unitName string) error {
	for slices.Contains(e.Faults().StallLoads, unitName) {
		if !pause.For(ctx, pollTime) {
			return ctx.Err()
		}
	}
	return nil
}

// dieForAWhile crashes the process and starts it again later.
func (e *Engine) dieForAWhile() {
	e.crash()
	e.start(e.closed, func(ctx context.Context) {
		if pause.For(ctx, e.options.RestartDelay) {
			e.Start()
		}
	})
}

// ReceivedOrder is one order as it took effect or was refused.
type ReceivedOrder struct {
	ReceivedAt time.Time    `json:"at"`
	Order      engine.Order `json:"order"`
	Refusal    string       `json:"refused,omitempty"`
}

// Records is what tests want to know of an engine's whole life, over restarts.
type Records struct {
	// MaxMemory is the most memory that units ever took, in bytes.
	PeakMemory int64 `json:"max_memory"`
	// MaxUnits is the most units ever held.
	PeakUnits int `json:"max_units"`
	// Overcommits counts loads refused for want of memory.
	NoMemoryRefusals int `json:"overcommits"`
	// Orders are all orders that arrived, in order.
	Orders []ReceivedOrder `json:"orders"`
	// Loads counts the loads begun, by unit.
	LoadCounts map[string]int `json:"loads"`
	// Ran counts how often each request began to run, by its identity.
	RunCounts map[string]int `json:"ran"`
}

func newRecords() Records {
	return Records{LoadCounts: map[string]int{}, RunCounts: map[string]int{}}
}

// Records returns a copy.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := e.records
	records.Orders = slices.Clone(records.Orders)
	records.LoadCounts = cloneMap(records.LoadCounts)
	records.RunCounts = cloneMap(records.RunCounts)
	return records
}
