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
	// drainsFor is how long the word of another VM that an engine drains counts
	// where the engine itself can't be asked. Its keeper repeats it.
	drainsFor = 10 * time.Second
	// tellDraining is for how long this VM tells that it found an engine draining,
	// beside what it tells as keeper.
	tellDraining = 3 * time.Second
	// maxReports bounds the reports in a digest; an engine left out is asked by
	// the others themselves.
	maxReports = 32
)

// Word is what another VM tells of an engine.
type PeerReport struct {
	entryvm.EngineReport
	// At is when the engine said it, by the clock of this VM.
	ObservedAt time.Time
}

// fingerprint is the same for two statuses that differ in their load or token
// only, and another one after each restart; never 0.
func fingerprint(s engine.Status) uint64 {
	s.Load, s.HighestToken = engine.Load{}, 0
	s.Units = slices.Clone(s.Units)
	slices.SortFunc(s.Units, func(a, b engine.Unit) int { return strings.Compare(a.Unit, b.Unit) })
	// A status has no field that JSON can't take, and maps are written in order.
	text, _ := json.Marshal(s)
	return max(xxhash.Sum64(text), 1)
}

// answer takes an engine's answer to this VM and lets note change its entry.
func (f *Fleet) answer(address string, status engine.Status, err error, note func(*entry)) {
	now := time.Now()
	f.mu.Lock()
	e, ok := f.engines[address]
	if !ok {
		f.mu.Unlock()
		return
	}
	before := e.Engine
	note(e)
	e.Reachable = err == nil
	if err == nil {
		e.store(now, status)
	}
	e.next = now.Add(f.pause(e, now))
	if e.told.ObservedAt.After(e.askedAt) && e.told.Version != e.version {
		// Told while the question was under way.
		f.sooner(e, now.Add(changedEvery))
	}
	drains := e.Status.Draining && !before.IsLeaving()
	news := before.Reachable != e.Reachable || before.ReportedLeaving != e.ReportedLeaving || differs(before.Status, e.Status)
	f.note(now, e, before, news)
	restarted := !before.SeenAt.IsZero() && before.Status.Incarnation != e.Status.Incarnation
	f.mu.Unlock()
	if restarted {
		f.config.OnGone(address)
	}
	if drains {
		f.config.OnDraining()
	}
	f.changed(news)
}

// store takes a status that arrived now. Call with the fleet's mu held.
func (e *entry) store(now time.Time, status engine.Status) {
	if e.version == 0 || differs(e.Status, status) {
		e.version = fingerprint(status)
	}
	if status.Draining && !e.Status.Draining {
		e.drainsAt = now
	}
	e.Status, e.SeenAt = status, now
	if !e.leavingAt.After(e.askedAt) {
		e.ReportedLeaving = false
	}
}

// differs tells whether two answers say different things beside the load.
func differs(a, b engine.Status) bool {
	a.Load, b.Load = engine.Load{}, engine.Load{}
	return !reflect.DeepEqual(a, b)
}

// Reports is what to tell the others in a digest: of the engines that this VM
// asked as their keeper within the window, and of those it found draining. Those
// that drain go first, then those asked last.
func (f *Fleet) Reports(now time.Time, window time.Duration) []entryvm.EngineReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []entryvm.EngineReport
	for address, e := range f.engines {
		kept := now.Sub(e.keptAt) <= window
		if !kept && (!e.Status.Draining || now.Sub(e.drainsAt) > tellDraining) {
			continue
		}
		report := entryvm.EngineReport{
			Engine: address, Ago: now.Sub(e.SeenAt), Version: e.version, Draining: e.Status.Draining,
			Running: e.Status.Load.Running, Queued: e.Status.Load.Queued,
		}
		if kept && !e.answered {
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
		return cmp.Or(cmp.Compare(a.Ago, b.Ago), strings.Compare(a.Engine, b.Engine))
	})
	return reports[:min(len(reports), maxReports)]
}

// Told takes what another VM tells of engines. What this VM knows of an engine's
// units comes from the engine alone: a word that names the same version confirms
// it, one that names another has the engine asked. So an old word, late on its
// way or from before a restart, costs a question and changes nothing.
//
// A word counts for no more than that this VM could ask: one cut off from an
// engine must not send it requests because the keeper can reach it.
func (f *Fleet) ApplyReports(words []PeerReport) {
	now := time.Now()
	news, confirmed := false, false
	f.mu.Lock()
	for _, word := range words {
		e, ok := f.engines[word.Engine]
		// A word that was delayed looks younger than it is, and may hide the next
		// one; not so the news that an engine drains.
		if !ok || !word.ObservedAt.After(e.told.ObservedAt) && !word.Draining {
			continue
		}
		before := e.Engine
		confirmed = f.hear(e, now, word) || confirmed
		turned := before.IsLeaving() != e.IsLeaving()
		news = news || turned
		f.note(now, e, before, turned)
	}
	f.mu.Unlock()
	if news || confirmed {
		f.changed(news)
	}
}

// hear takes one word and tells whether it confirms what is known. Call with mu
// held.
func (f *Fleet) hear(e *entry, now time.Time, word PeerReport) (confirmed bool) {
	e.told = word
	if !word.ObservedAt.After(e.askedAt) && !word.ObservedAt.After(e.SeenAt) {
		return false
	}
	if word.Draining && !e.Status.Draining && now.Sub(word.ObservedAt) < drainsFor {
		e.ReportedLeaving, e.leavingAt = true, word.ObservedAt
	}
	if word.Version != e.version {
		f.sooner(e, e.askedAt.Add(changedEvery))
		return false
	}
	if !e.Reachable {
		return false
	}
	e.ReportedLeaving = false
	if word.ObservedAt.Before(e.SeenAt) {
		return false
	}
	e.SeenAt = word.ObservedAt
	e.Status.Load.Running, e.Status.Load.Queued = word.Running, word.Queued
	if until := word.ObservedAt.Add(f.config.KeeperReportTTL); until.After(e.next) && now.After(e.busyUntil) {
		e.next = until
	}
	return true
}
