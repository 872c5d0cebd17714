package fleet

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
)

const (
	// drainReportTTL is how long another VM's report that an engine is draining counts
	// if the engine itself can't be polled. The engine's keeper repeats the report.
	drainReportTTL = 10 * time.Second
	// drainReportPeriod is how long this VM reports an engine that it found draining
	// and is not the keeper of.
	drainReportPeriod = 3 * time.Second
	// maxReports bounds the reports in a digest; the other VMs poll an engine that is
	// left out themselves.
	maxReports = 32
)

// PeerReport is another VM's report on an engine.
type PeerReport struct {
	entryvm.EngineReport
	// ObservedAt is when the engine gave the reported answer, by the clock of this VM.
	ObservedAt time.Time
}

// fingerprint returns a hash of a status that is the same for two statuses that differ
// in their load or token only, different after each restart, and never 0.
func fingerprint(s engine.Status) uint64 {
	s.Load, s.HighestToken = engine.Load{}, 0
	s.Units = slices.Clone(s.Units)
	slices.SortFunc(s.Units, func(a, b engine.Unit) int { return strings.Compare(a.Unit, b.Unit) })
	// Marshal can't fail: JSON can encode every field of a status. It sorts map keys.
	text, _ := json.Marshal(s)
	return max(xxhash.Sum64(text), 1)
}

// recordAnswer stores the result of this VM's poll of an engine. update changes the
// engine's entry first.
func (f *Fleet) recordAnswer(address string, status engine.Status, err error, update func(*entry)) {
	now := time.Now()
	f.mu.Lock()
	e, ok := f.engines[address]
	if !ok {
		f.mu.Unlock()
		return
	}
	before := e.Engine
	update(e)
	e.Reachable = err == nil
	if err == nil {
		e.storeStatus(now, status)
	}
	e.nextPollAt = now.Add(f.pollDelay(e, now))
	if e.peerReport.ObservedAt.After(e.polledAt) && e.peerReport.Version != e.version {
		// Another VM reported a different version while the poll was in flight.
		f.pollBy(e, now.Add(minEarlyPollInterval))
	}
	startedDraining := e.Status.Draining && !before.IsLeaving()
	changed := before.Reachable != e.Reachable || before.ReportedDraining != e.ReportedDraining || isChanged(before.Status, e.Status)
	f.markChanged(now, e, before, changed)
	restarted := !before.SeenAt.IsZero() && before.Status.Incarnation != e.Status.Incarnation
	f.mu.Unlock()
	if restarted {
		f.config.OnStateLost(address)
	}
	if startedDraining {
		f.config.OnDraining()
	}
	f.onChange(changed)
}

// storeStatus stores a status that arrived at now. The caller holds the fleet's mu.
func (e *entry) storeStatus(now time.Time, status engine.Status) {
	if e.version == 0 || isChanged(e.Status, status) {
		e.version = fingerprint(status)
	}
	if status.Draining && !e.Status.Draining {
		e.drainingSince = now
	}
	e.Status, e.SeenAt = status, now
	if !e.drainingReportedAt.After(e.polledAt) {
		e.ReportedDraining = false
	}
}

// isChanged reports whether two statuses differ in anything but their load.
func isChanged(a, b engine.Status) bool {
	a.Load, b.Load = engine.Load{}, engine.Load{}
	return !reflect.DeepEqual(a, b)
}

// Reports returns the reports for this VM's digest: on the engines that it polled as
// their keeper within the window and on those that it found draining. Draining engines
// come first, then those seen most recently.
func (f *Fleet) Reports(now time.Time, window time.Duration) []entryvm.EngineReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []entryvm.EngineReport
	for address, e := range f.engines {
		isKeeper := now.Sub(e.keeperPolledAt) <= window
		if !isKeeper && (!e.Status.Draining || now.Sub(e.drainingSince) > drainReportPeriod) {
			continue
		}
		report := entryvm.EngineReport{
			Engine: address, Age: now.Sub(e.SeenAt), Version: e.version, Draining: e.Status.Draining,
			Running: e.Status.Load.Running, Queued: e.Status.Load.Queued,
		}
		if isKeeper && !e.keeperAnswered {
			report.Version = 0
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b entryvm.EngineReport) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Engine, b.Engine))
	})
	return reports[:min(len(reports), maxReports)]
}

// ApplyReports applies other VMs' reports on engines. The state of an engine's units is
// taken from the engine's own answers only: a report with the same version confirms it,
// one with a different version causes a poll. So a stale report, delayed or from before
// a restart, costs a poll and changes nothing.
//
// A report does not make an engine reachable that this VM failed to poll: a VM that
// can't connect to an engine must not send it requests because the keeper can.
func (f *Fleet) ApplyReports(reports []PeerReport) {
	now := time.Now()
	changed, confirmed := false, false
	f.mu.Lock()
	for _, report := range reports {
		e, ok := f.engines[report.Engine]
		// A delayed report appears younger than it is and may make the next one look
		// stale. A report that an engine is draining is applied all the same.
		if !ok || !report.ObservedAt.After(e.peerReport.ObservedAt) && !report.Draining {
			continue
		}
		before := e.Engine
		confirmed = f.applyReport(e, now, report) || confirmed
		leavingChanged := before.IsLeaving() != e.IsLeaving()
		changed = changed || leavingChanged
		f.markChanged(now, e, before, leavingChanged)
	}
	f.mu.Unlock()
	if changed || confirmed {
		f.onChange(changed)
	}
}

// applyReport applies one report and reports whether it confirms the known status. The
// caller holds mu.
func (f *Fleet) applyReport(e *entry, now time.Time, report PeerReport) (confirmed bool) {
	e.peerReport = report
	if !report.ObservedAt.After(e.polledAt) && !report.ObservedAt.After(e.SeenAt) {
		return false
	}
	if report.Draining && !e.Status.Draining && now.Sub(report.ObservedAt) < drainReportTTL {
		e.ReportedDraining, e.drainingReportedAt = true, report.ObservedAt
	}
	if report.Version != e.version {
		f.pollBy(e, e.polledAt.Add(minEarlyPollInterval))
		return false
	}
	if !e.Reachable {
		return false
	}
	e.ReportedDraining = false
	if report.ObservedAt.Before(e.SeenAt) {
		return false
	}
	e.SeenAt = report.ObservedAt
	e.Status.Load.Running, e.Status.Load.Queued = report.Running, report.Queued
	if until := report.ObservedAt.Add(f.config.KeeperReportTTL); until.After(e.nextPollAt) && now.After(e.frequentUntil) {
		e.nextPollAt = until
	}
	return true
}
