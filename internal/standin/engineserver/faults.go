package engineserver

import (
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

// Faults selects the faults that the engine injects. The zero value injects none.
type Faults struct {
	// Frozen suspends the process: it answers, runs and loads nothing. Messages
	// sent meanwhile take effect once it is no longer frozen.
	Frozen bool `json:"frozen,omitempty"`
	// SlowFactor multiplies the durations of steps, prefills and loads; 0 means
	// 1.
	SlowFactor float64 `json:"slow,omitempty"`
	// DropStreamsAfter is the number of chunks after which each reader of a
	// stream is aborted; 0 aborts none.
	DropStreamsAfter int `json:"drop_streams_after,omitempty"`
	// EndStreamsEarly makes DropStreamsAfter end the HTTP body cleanly instead
	// of aborting the connection.
	EndStreamsEarly bool `json:"end_streams_early,omitempty"`
	// ForeignChunkPosition is the position at which each reader receives a
	// chunk of another stream; 0 is none.
	ForeignChunkPosition uint64 `json:"cross_chunk,omitempty"`
	// LoseStreamAnswers is how many of the next Generate calls take effect but
	// return no answer.
	LoseStreamAnswers int `json:"lose_stream_answers,omitempty"`
	// DelayOrders is how many of the next orders are delayed by DelayOrdersMS
	// milliseconds.
	DelayOrders   int   `json:"delay_orders,omitempty"`
	DelayOrdersMS int64 `json:"delay_orders_ms,omitempty"`
	// LoseOrderAnswers is how many of the next orders return no answer if they
	// take effect.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// CrashWhileLoading crashes the process at the end of the next load and
	// starts it again after Options.RestartDelay.
	CrashWhileLoading bool `json:"die_while_loading,omitempty"`
	// FailLoads names the units whose loads fail, after their full duration.
	FailLoads []string `json:"fail_loads,omitempty"`
	// StallLoads names the units whose loads do not finish while they are listed.
	StallLoads []string `json:"stall_loads,omitempty"`
}

// stallPollInterval is how often a stalled load checks whether the fault has
// ended.
const stallPollInterval = 50 * time.Millisecond

// SetFaults replaces all fault settings.
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

// Faults returns the current settings; those that count down show the remaining
// number.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// nextOrderFaults returns the faults of the next order and counts them down.
func (e *Engine) nextOrderFaults() (delay time.Duration, loseAnswer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DelayOrders > 0 {
		e.faults.DelayOrders--
		delay = time.Duration(e.faults.DelayOrdersMS) * time.Millisecond
	}
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		loseAnswer = true
	}
	return delay, loseAnswer
}

func (e *Engine) shouldLoseStreamAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseStreamAnswers == 0 {
		return false
	}
	e.faults.LoseStreamAnswers--
	return true
}

// simulateWork waits for d times SlowFactor and, if the engine is then frozen,
// until it no longer is. It reports whether the work was completed.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
	if slow := e.Faults().SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return pause.For(ctx, d) && e.waitUntilRunning(ctx) == nil
}

func (e *Engine) waitWhileStalled(ctx context.Context, unitName string) error {
	for slices.Contains(e.Faults().StallLoads, unitName) {
		if !pause.For(ctx, stallPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// crashAndRestart crashes the process and starts it again after
// Options.RestartDelay. The caller holds mu.
func (e *Engine) crashAndRestart() {
	e.crash()
	e.startTask(e.ctx, func(ctx context.Context) {
		if pause.For(ctx, e.options.RestartDelay) {
			e.Start()
		}
	})
}

// ReceivedOrder records an order that took effect or was refused.
type ReceivedOrder struct {
	ReceivedAt time.Time    `json:"at"`
	Order      engine.Order `json:"order"`
	// Refusal is the reason for which the order was refused; empty if it took
	// effect.
	Refusal string `json:"refused,omitempty"`
}

// Records are an engine's statistics for tests; restarts do not reset them.
type Records struct {
	// PeakMemory is the highest memory use of all units together, in bytes.
	PeakMemory int64 `json:"max_memory"`
	// PeakUnits is the highest number of units held at the same time.
	PeakUnits int `json:"max_units"`
	// NoMemoryRefusals counts the loads that were refused because memory was
	// full.
	NoMemoryRefusals int `json:"overcommits"`
	// Orders are all received orders, in order of receipt.
	Orders []ReceivedOrder `json:"orders"`
	// LoadCounts holds the number of loads begun, by unit.
	LoadCounts map[string]int `json:"loads"`
	// RunCounts holds how often each request began to run, by request ID.
	RunCounts map[string]int `json:"ran"`
}

func newRecords() Records {
	return Records{LoadCounts: map[string]int{}, RunCounts: map[string]int{}}
}

// Records returns a copy of the engine's statistics.
func (e *Engine) Records() Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := e.records
	records.Orders = slices.Clone(records.Orders)
	records.LoadCounts = cloneMap(records.LoadCounts)
	records.RunCounts = cloneMap(records.RunCounts)
	return records
}
