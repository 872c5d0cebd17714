package pace

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxKeys bounds the keys that a Table counts for.
	maxKeys = 512
	// An engine counts as slow from a slowness of slowFrom until it falls below slowUntil. Both lie above
	// what engines of the same speed differ by within a window.
	slowFrom, slowUntil = 1.4, 1.2
)

// Table counts what this VM measures and holds the distributions derived from the fleet's sum. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	windows map[Key]*window
	// models are the distributions by model, from the sum of fleetAt. They are replaced as a whole.
	models  map[string]*modelPaces
	fleetAt time.Time
	slow    map[Key]bool
}

// NewTable returns a table without samples.
func NewTable() *Table {
	return &Table{windows: make(map[Key]*window), models: make(map[string]*modelPaces), slow: make(map[Key]bool)}
}

// ObserveFirstEvent counts the time from the sending of a request to its first event.
func (t *Table) ObserveFirstEvent(now time.Time, key Key, d time.Duration) {
	t.observe(now, key, func(s *slice) { s.first[bucketOf(max(d, 0))]++ })
}

// ObserveGap counts the time from one event of a stream to the next. If several events arrive at once, it
// is called with their number and the time since the event before them: a VM that could not read for a while
// finds many events, and the engine was not slow.
func (t *Table) ObserveGap(now time.Time, key Key, d time.Duration, events int) {
	if events <= 0 {
		return
	}
	t.observe(now, key, func(s *slice) { s.gaps[bucketOf(max(d, 0)/time.Duration(events))] += uint32(events) })
}

func (t *Table) observe(now time.Time, key Key, count func(*slice)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.windows[key]
	if w == nil {
		if len(t.windows) >= maxKeys {
			return // Report drops keys without recent samples
		}
		w = &window{}
		t.windows[key] = w
	}
	count(w.at(now))
}

// Report returns the counts of the window that ends now, sorted by key, and forgets the keys without any.
func (t *Table) Report(now time.Time) []Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Counts
	for key, w := range t.windows {
		gaps, first := w.sum(now)
		c := Counts{Backend: key.Engine, Started: key.Started, Model: key.Model, Gaps: trim(gaps), FirstEvents: trim(first)}
		if len(c.Gaps) == 0 && len(c.FirstEvents) == 0 {
			delete(t.windows, key)
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Counts) int { return a.key().compare(b.key()) })
	return out
}

// Change is an engine that began or ceased to count as slow.
type Change struct {
	Key
	Slow bool
	// MeanGap is the engine's mean gap, Median that of its pool. Both are 0 if the engine has no samples
	// any more.
	MeanGap, Median time.Duration
}

// SetFleet replaces the distributions by those of the sum over all VMs, and returns which engines began
// or ceased to count as slow, sorted by key. The previous sum has no effect any more.
func (t *Table) SetFleet(now time.Time, sum []Counts) []Change {
	byModel := make(map[string][]Counts)
	for _, c := range sum {
		byModel[c.Model] = append(byModel[c.Model], c)
	}
	models := make(map[string]*modelPaces, len(byModel))
	for model, list := range byModel {
		models[model] = newModelPaces(list)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models, t.fleetAt = models, now
	return t.updateSlow()
}

// updateSlow updates which engines count as slow. Call with mu held.
func (t *Table) updateSlow() []Change {
	var changes []Change
	slow := make(map[Key]bool)
	for key := range t.slow {
		if m := t.models[key.Model]; m == nil || m.of[key] == nil {
			changes = append(changes, Change{Key: key})
		}
	}
	for _, m := range t.models {
		for key, d := range m.of {
			was := t.slow[key]
			is := d.slowness >= slowFrom || (was && d.slowness >= slowUntil)
			if is {
				slow[key] = true
			}
			if was != is {
				changes = append(changes, Change{key, is, seconds(d.meanGap), seconds(m.median.meanGap)})
			}
		}
	}
	t.slow = slow
	slices.SortFunc(changes, func(a, b Change) int { return a.compare(b.Key) })
	return changes
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimate returns the distribution of an engine that counts as slow, the median of its pool for any
// other, and nil if nothing is known of the model or the sum is older than the window. Engines of one speed
// differ by their load of the moment; preferring those that look faster moves load about and
// gives up the prompts that engines have cached.
func (t *Table) Estimate(now time.Time, key Key) *Distribution {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.models[key.Model]
	if m == nil || now.Sub(t.fleetAt) > Window {
		return nil
	}
	if d := m.of[key]; d != nil && t.slow[key] {
		return d
	}
	return m.median
}

// CountEngines returns for how many keys there are samples, and how many of these count as slow.
func (t *Table) CountEngines() (known, slow int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.models {
		known += len(m.of)
	}
	return known, len(t.slow)
}
