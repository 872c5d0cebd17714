// Package fairshare decides which workspaces use more than their fair share of a service's
// backend servers. It addresses bursts of one workspace that would delay the requests of all
// others.
//
// A Meter measures what workspaces use of this entry VM's requests, in slots: one slot is one
// request that runs on a backend server, so that a mean of two slots is two slot seconds for each
// second. VMs exchange what their meters report, and a Shares compares the sum over all VMs with
// the workspaces' weights.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"bergamotreel/internal/meter"
)

// Window is the time constant of the smoothed usage. A longer one would show a burst too late to VMs
// that lose reports.
const Window = time.Second

// milli is the number of units of Usage.Used in one slot.
const milli = 1000

// minUsed is the usage, in slots, below which a workspace without waiting requests counts as
// inactive. It is below the usage of one request each minute.
const minUsed = 0.01

// Key identifies the requests of one workspace for one service. Workspace is empty for requests
// without an API key.
type Key struct{ Service, Workspace string }

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Workspace, b.Workspace))
}

// Usage is what a workspace uses of a service.
type Usage struct {
	Key
	// Used is the smoothed number of slots in use, in thousandths of a slot. It is an integer so
	// that a sum over VMs does not depend on their order.
	Used int64
	// Waiting is the number of requests that wait.
	Waiting int
}

// Meter measures what workspaces use of one entry VM's requests. The zero value is not usable, see
// NewMeter.
type Meter struct{ entries map[Key]*meterEntry }

// meterEntry is one workspace's state: used is the smoothed number of slots as of at.
type meterEntry struct {
	running, waiting int
	used             float64
	at               time.Time
}

// NewMeter returns a Meter of no requests.
func NewMeter() *Meter { return &Meter{entries: make(map[Key]*meterEntry)} }

// Run records that change more requests run from now on; change may be negative.
func (m *Meter) Run(now time.Time, key Key, change int) {
	e := m.entry(now, key)
	e.advance(now)
	e.running = max(e.running+change, 0)
}

// Wait records that change more requests wait from now on; change may be negative.
func (m *Meter) Wait(now time.Time, key Key, change int) {
	e := m.entry(now, key)
	e.waiting = max(e.waiting+change, 0)
}

// Waiting returns the number of requests that wait.
func (m *Meter) Waiting(key Key) int {
	if e := m.entries[key]; e != nil {
		return e.waiting
	}
	return 0
}

func (m *Meter) entry(now time.Time, key Key) *meterEntry {
	e := m.entries[key]
	if e == nil {
		e = &meterEntry{at: now}
		m.entries[key] = e
	}
	return e
}

// advance updates the smoothed usage for the time since the last update, in which the number of
// running requests was constant. A clock that goes backwards has no effect.
func (e *meterEntry) advance(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	e.used = meter.Smooth(e.used, float64(e.running), elapsed, Window)
	e.at = now
}

// Report returns the usage of at most limit workspaces, sorted by key, and forgets inactive ones.
// Beyond the limit, those that use least are left out: they are the last to be beyond their share.
func (m *Meter) Report(now time.Time, limit int) []Usage {
	usage := make([]Usage, 0, len(m.entries))
	for key, e := range m.entries {
		e.advance(now)
		if e.running+e.waiting == 0 && e.used < minUsed {
			delete(m.entries, key)
			continue
		}
		usage = append(usage, Usage{Key: key, Used: int64(math.Round(milli * e.used)), Waiting: e.waiting})
	}
	if len(usage) > limit {
		slices.SortFunc(usage, func(a, b Usage) int {
			return cmp.Or(cmp.Compare(b.Used+milli*int64(b.Waiting), a.Used+milli*int64(a.Waiting)), compareKeys(a.Key, b.Key))
		})
		usage = usage[:limit]
	}
	slices.SortFunc(usage, func(a, b Usage) int { return compareKeys(a.Key, b.Key) })
	return usage
}
