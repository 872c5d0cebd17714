package engineserver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotreel/engine"
)

// unit is a model or adapter that the engine holds. It uses its memory in every
// phase, also while it loads or unloads.
type unit struct {
	engine.Unit
	// cancel stops the load in progress.
	cancel context.CancelFunc
}

// refusal is the error of a call that the engine refused: the call had no effect.
type refusal struct {
	code         string
	err          error
	message      string
	highestToken engine.Token
}

// Error implements error.
func (r *refusal) Error() string { return r.code + ": " + r.message }

// Unwrap returns the corresponding error of package engine.
func (r *refusal) Unwrap() error { return r.err }

func newRefusal(code string, err error, format string, args ...any) error {
	return &refusal{code: code, err: err, message: fmt.Sprintf(format, args...)}
}

// Order applies an order. It returns once the order is accepted; a load continues
// in the background.
func (e *Engine) Order(ctx context.Context, order engine.Order) (engine.Status, error) {
	delay, loseAnswer := e.nextOrderFaults()
	status, err := deliver(ctx, e, delay, func() (engine.Status, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		err := e.applyAndRecord(order)
		return e.status(), err
	})
	if loseAnswer && err == nil {
		return engine.Status{}, errAnswerLost
	}
	return status, err
}

func (e *Engine) applyAndRecord(order engine.Order) error {
	err := e.apply(order)
	received := ReceivedOrder{ReceivedAt: time.Now(), Order: order}
	if err != nil {
		received.Refusal = err.Error()
	}
	e.records.Orders = append(e.records.Orders, received)
	return err
}

func (e *Engine) apply(order engine.Order) error {
	if !e.up {
		return errDown
	}
	if e.options.ChecksTokens && order.Token < e.highestToken {
		return &refusal{code: engine.CodeStaleToken, err: engine.ErrStaleToken, highestToken: e.highestToken}
	}
	e.highestToken = max(e.highestToken, order.Token)
	switch order.Action {
	case engine.ActionFence:
		return nil
	case engine.ActionLoad:
		return e.handleLoad(order)
	case engine.ActionUnload:
		return e.handleUnload(order.Unit)
	case engine.ActionRole:
		return e.setRole(order.Role)
	}
	return newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "unknown action %q", order.Action)
}

func (e *Engine) setRole(role engine.Role) error {
	if !slices.Contains([]engine.Role{engine.RoleBoth, engine.RolePrefill, engine.RoleDecode}, role) {
		return newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "unknown role %q", role)
	}
	e.role = role
	return nil
}

func (e *Engine) handleLoad(order engine.Order) error {
	if order.Unit == "" || order.Bytes <= 0 {
		return newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "a load needs a unit and its bytes")
	}
	if held, ok := e.units[order.Unit]; ok {
		return e.handleRepeatedLoad(held, order)
	}
	if order.Base != "" && !e.isReady(order.Base) {
		return newRefusal(engine.CodeNotLoaded, engine.ErrNotLoaded, "base %s", order.Base)
	}
	if e.memoryUsed()+order.Bytes > e.options.MemoryBytes {
		e.records.NoMemoryRefusals++
		return newRefusal(engine.CodeNoMemory, engine.ErrNoMemory, "%d of %d bytes in use, %d wanted",
			e.memoryUsed(), e.options.MemoryBytes, order.Bytes)
	}
	e.startLoad(order)
	return nil
}

// handleRepeatedLoad handles a load of a unit that the engine already holds.
func (e *Engine) handleRepeatedLoad(held *unit, order engine.Order) error {
	if held.Checkpoint != order.Checkpoint {
		return newRefusal(engine.CodeInUse, engine.ErrInUse, "%s holds checkpoint %s", order.Unit, held.Checkpoint)
	}
	if held.Phase == engine.PhaseUnloading {
		held.Phase = engine.PhaseReady
	}
	return nil
}

func (e *Engine) startLoad(order engine.Order) {
	loading := &unit{Unit: engine.Unit{
		Unit: order.Unit, Base: order.Base, Checkpoint: order.Checkpoint,
		Bytes: order.Bytes, Phase: engine.PhaseLoading,
	}}
	var ctx context.Context
	ctx, loading.cancel = context.WithCancel(e.processCtx)
	e.units[order.Unit] = loading
	delete(e.loadErrors, order.Unit)
	e.records.LoadCounts[order.Unit]++
	e.records.PeakMemory = max(e.records.PeakMemory, e.memoryUsed())
	e.records.PeakUnits = max(e.records.PeakUnits, len(e.units))
	e.startTask(ctx, func(ctx context.Context) { e.runLoad(ctx, loading) })
}

// runLoad loads the checkpoint through the tiers into the engine's memory and
// records the result.
func (e *Engine) runLoad(ctx context.Context, loading *unit) {
	err := e.loadCheckpoint(ctx, loading.Checkpoint, loading.Bytes, loading.Unit.Unit)
	e.mu.Lock()
	defer e.mu.Unlock()
	loading.cancel()
	if e.units[loading.Unit.Unit] != loading {
		return
	}
	if err == nil && e.faults.CrashWhileLoading {
		e.faults.CrashWhileLoading = false
		e.crashAndRestart()
		return
	}
	if err == nil && slices.Contains(e.faults.FailLoads, loading.Unit.Unit) {
		err = errors.New("load failed by a fault")
	}
	if err != nil {
		e.loadErrors[loading.Unit.Unit] = err.Error()
		delete(e.units, loading.Unit.Unit)
		return
	}
	loading.Phase = engine.PhaseReady
}

func (e *Engine) loadCheckpoint(ctx context.Context, checkpoint string, bytes int64, unitName string) error {
	e.mu.Lock()
	tier := e.tierOf(checkpoint)
	e.mu.Unlock()
	rate := e.options.MemoryBytesPerSecond
	if tier == engine.TierRemote {
		if err := e.fetch(ctx, checkpoint); err != nil {
			return err
		}
	}
	if tier != engine.TierMemory {
		rate = e.options.DiskBytesPerSecond
	}
	duration := time.Duration(float64(bytes) / rate * float64(time.Second))
	if !e.simulateWork(ctx, duration) {
		return ctx.Err()
	}
	return e.waitWhileStalled(ctx, unitName)
}

func (e *Engine) fetch(ctx context.Context, checkpoint string) error {
	if e.options.Fetcher != nil {
		if err := e.options.Fetcher.Fetch(ctx, checkpoint); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.diskTier[checkpoint] = true
	return nil
}

func (e *Engine) handleUnload(name string) error {
	held, ok := e.units[name]
	if !ok {
		return nil
	}
	if adapters := e.adaptersOf(name); len(adapters) > 0 {
		return newRefusal(engine.CodeInUse, engine.ErrInUse, "adapters %s sit on %s", strings.Join(adapters, ", "), name)
	}
	if held.Phase == engine.PhaseLoading {
		held.cancel()
		delete(e.units, name)
		return nil
	}
	held.Phase = engine.PhaseUnloading
	e.finishUnloads()
	return nil
}

// finishUnloads removes the unloading units without queued or running streams.
func (e *Engine) finishUnloads() {
	for name, held := range e.units {
		if held.Phase == engine.PhaseUnloading && !e.hasStreams(name) {
			delete(e.units, name)
			e.addToMemoryTier(held.Checkpoint)
		}
	}
}

func (e *Engine) hasStreams(name string) bool {
	usesUnit := func(s *stream) bool { return s.request.Unit == name }
	return slices.ContainsFunc(e.queue, usesUnit) || slices.ContainsFunc(e.running, usesUnit)
}

func (e *Engine) adaptersOf(base string) []string {
	var adapters []string
	for name, held := range e.units {
		if held.Base == base {
			adapters = append(adapters, name)
		}
	}
	slices.Sort(adapters)
	return adapters
}

func (e *Engine) isReady(name string) bool {
	held, ok := e.units[name]
	return ok && held.Phase == engine.PhaseReady
}

func (e *Engine) memoryUsed() int64 {
	var used int64
	for _, held := range e.units {
		used += held.Bytes
	}
	return used
}

func (e *Engine) listUnits() []engine.Unit {
	list := make([]engine.Unit, 0, len(e.units))
	for _, held := range e.units {
		list = append(list, held.Unit)
	}
	slices.SortFunc(list, func(a, b engine.Unit) int { return strings.Compare(a.Unit, b.Unit) })
	return list
}

// tierOf returns the fastest tier that a checkpoint can be loaded from.
func (e *Engine) tierOf(checkpoint string) engine.Tier {
	if slices.Contains(e.memoryTier, checkpoint) {
		return engine.TierMemory
	}
	if e.diskTier[checkpoint] {
		return engine.TierDisk
	}
	return engine.TierRemote
}

func (e *Engine) listCached() map[string]engine.Tier {
	cached := map[string]engine.Tier{}
	for checkpoint := range e.diskTier {
		cached[checkpoint] = e.tierOf(checkpoint)
	}
	for _, held := range e.units {
		delete(cached, held.Checkpoint)
	}
	return cached
}

// addToMemoryTier makes the checkpoint the newest of the memory tier and evicts
// the oldest ones beyond the tier's bound.
func (e *Engine) addToMemoryTier(checkpoint string) {
	e.memoryTier = slices.DeleteFunc(e.memoryTier, func(c string) bool { return c == checkpoint })
	e.memoryTier = append(e.memoryTier, checkpoint)
	if excess := len(e.memoryTier) - e.options.MaxMemoryTierCheckpoints; excess > 0 {
		e.memoryTier = slices.Delete(e.memoryTier, 0, excess)
	}
}
