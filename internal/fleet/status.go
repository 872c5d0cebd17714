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
type Word struct {
	entryvm.EngineReport
	// At is when the engine said it, by the clock of this VM.
	At time.Time
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
	if e.told.At.After(e.askedAt) && e.told.Version != e.version {
		// Told while the question was under way.
		f.sooner(e, now.Add(changedEvery))
	}
	drains := e.Status.Draining && !before.Leaving()
	news := before.Reachable != e.Reachable || before.ToldLeaving != e.ToldLeaving || differs(before.Status, e.Status)
	f.note(now, e, before, news)
	restarted := !before.SeenAt.IsZero() && before.Status.Incarnation != e.Status.Incarnation
	f.mu.Unlock()
	if restarted {
		f.config.Gone(address)
	}
	if drains {
		f.config.Drains()
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
		e.ToldLeaving = false
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
			Engine: address, Age: now.Sub(e.SeenAt), Version: e.version, Draining: e.Status.Draining,
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
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Engine, b.Engine))
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
func (f *Fleet) Told(words []Word) {
	now := time.Now()
	news, confirmed := false, false
	f.mu.Lock()
	for _, word := range words {
		e, ok := f.engines[word.Engine]
		// A word that was delayed looks younger than it is, and may hide the next
		// one; not so the news that an engine drains.
		if !ok || !word.At.After(e.told.At) && !word.Draining {
			continue
		}
		before := e.Engine
		confirmed = f.hear(e, now, word) || confirmed
		turned := before.Leaving() != e.Leaving()
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
func (f *Fleet) hear(e *entry, now time.Time, word Word) (confirmed bool) {
	e.told = word
	if !word.At.After(e.askedAt) && !word.At.After(e.SeenAt) {
		return false
	}
	if word.Draining && !e.Status.Draining && now.Sub(word.At) < drainsFor {
		e.ToldLeaving, e.leavingAt = true, word.At
	}
	if word.Version != e.version {
		f.sooner(e, e.askedAt.Add(changedEvery))
		return false
	}
	if !e.Reachable {
		return false
	}
	e.ToldLeaving = false
	if word.At.Before(e.SeenAt) {
		return false
	}
	e.SeenAt = word.At
	e.Status.Load.Running, e.Status.Load.Queued = word.Running, word.Queued
	if until := word.At.Add(f.config.TrustFor); until.After(e.next) && now.After(e.busyUntil) {
		e.next = until
	}
	return true
}
