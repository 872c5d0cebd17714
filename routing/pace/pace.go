// Package pace estimates how likely a stream is to miss its targets on an engine: the time to its first
// event, and the longest gap between two of its events.
//
// Entry VMs count what they measure of each start of an engine in a Table, as histograms with fixed
// buckets over a recent window. The histograms of several VMs are summed up outside the package; from
// the sum a Table derives a Distribution for each engine and model. Package routing compares engines by
// the estimates of their distributions.
//
// The package does no I/O and returns no errors: bad counts and times are ignored. Times are passed in.
package pace

import (
	"cmp"
	"time"
)

// Key identifies what a pace is measured of: one start of an engine, and a model on it.
type Key struct {
	Engine string
	// Started identifies the start of the engine, 0 if unknown.
	Started int64
	Model   string
}

// compare orders keys.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Engine, other.Engine), cmp.Compare(k.Started, other.Started), cmp.Compare(k.Model, other.Model))
}

// Counts are the histograms of one Key over the recent window. Counts of several VMs are summed up bucket by
// bucket. Its fields are those of entryvm.EnginePace.
type Counts struct {
	Backend string
	Started int64
	Model   string
	// Gaps counts the times between two events of a stream, FirstEvents the times from the sending of
	// a request to its first event. Index i counts times of at most bounds[i], the last index all longer
	// ones. Zeros at the end are left out.
	Gaps        []uint32
	FirstEvents []uint32
}

func (c *Counts) key() Key { return Key{c.Backend, c.Started, c.Model} }

// Targets are what a stream needs.
type Targets struct {
	// FirstEventDue is when the first event is due, zero for no target.
	FirstEventDue time.Time
	// Gap is the longest time between two events that is in time, 0 for no target.
	Gap time.Duration
	// Events is the expected number of the stream's events.
	Events float64
}

// IsSet reports whether there is any target.
func (t Targets) IsSet() bool { return t.Gap > 0 || !t.FirstEventDue.IsZero() }

// bounds are the upper bounds of the buckets, the last of which is unbounded. They are narrow up to
// 300 ms, where the targets of gaps lie: an engine with a gap of 150 ms keeps a target of 200 ms, one
// with 190 ms hardly.
var bounds = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond, 125 * time.Millisecond,
	150 * time.Millisecond, 175 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond,
	400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond,
	2500 * time.Millisecond, 4 * time.Second,
}

// buckets is the number of buckets of a histogram.
const buckets = len(bounds) + 1

// bucketOf returns the index of the bucket that counts d.
func bucketOf(d time.Duration) int {
	for i, bound := range bounds {
		if d <= bound {
			return i
		}
	}
	return buckets - 1
}

// bucketStart returns the lower bound of a bucket.
func bucketStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return bounds[i-1]
}
