package fleet

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotreel/engine"
)

const (
	// tick is the least time between two looks for due questions, so that those
	// that fall due together are asked at one wake-up.
	tick = 50 * time.Millisecond
	// longestPause bounds the time between two looks.
	longestPause = time.Second
	// interestFor is how long one call of Interest keeps an engine polled often.
	interestFor = 3 * time.Second
	// useFor is how long one call of Use counts.
	useFor = time.Minute
	// changedEvery is the least time between two questions to an engine of which
	// others tell something new.
	changedEvery = 500 * time.Millisecond
	// askers bounds the questions under way at once. It is above the number of
	// engines that a deployment has: questions to engines that are cut off last
	// until Timeout, and must not hold up those to the others.
	askers = 1024
	// turnsAtOnce is how many questions to engines kept by other VMs may be saved
	// up, and turnsForUse how many of them are for engines of Use only: the holders
	// of a unit that is asked for the first time are asked at once.
	turnsAtOnce = 16
	turnsForUse = 12
)

// Run polls until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.pollList(ctx) })
	slots := make(chan struct{}, askers)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, address := range f.due(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-slots }()
				f.ask(ctx, address)
			})
		}
		timer.Reset(f.untilNext(time.Now()))
		select {
		case <-timer.C:
		case <-f.wake:
		case <-ctx.Done():
			return
		}
	}
}

// rouse has Run look again.
func (f *Fleet) rouse() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// untilNext is the time until the next question is due.
func (f *Fleet) untilNext(now time.Time) time.Duration {
	nextTurn := now
	if rate := f.config.MaxRemotePollRate(); rate > 0 {
		nextTurn = now.Add(time.Duration(float64(time.Second) / rate))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := now.Add(longestPause)
	for _, e := range f.engines {
		at := e.next
		if at.Before(nextTurn) && !now.Before(e.busyUntil) {
			at = nextTurn
		}
		if !e.asking && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), tick)
}

// due picks the engines to ask now and marks them.
func (f *Fleet) due(now time.Time) []string {
	rate := f.config.MaxRemotePollRate()
	f.mu.Lock()
	defer f.mu.Unlock()
	var due, others []*entry
	for _, e := range f.engines {
		if e.ReportedLeaving && now.Sub(e.leavingAt) > drainsFor {
			e.ReportedLeaving = false
			f.news[e.VM.Address] = struct{}{}
		}
		switch {
		case e.asking || now.Before(e.next):
		case rate > 0 && !now.Before(e.busyUntil):
			others = append(others, e)
		default:
			due = append(due, e)
		}
	}
	due = append(due, f.inTurn(now, rate, others)...)
	addresses := make([]string, 0, len(due))
	for _, e := range due {
		e.asking, e.askedAt = true, now
		addresses = append(addresses, e.VM.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// inTurn picks those of the engines kept by other VMs whose turn it is: first the
// ones that hold, or may load, what was asked for here, then the ones not asked for
// longest. In a large fleet the answers of all would fill the VM's network. Call
// with mu held.
func (f *Fleet) inTurn(now time.Time, rate float64, others []*entry) []*entry {
	f.turns = min(f.turns+now.Sub(f.turnedAt).Seconds()*rate, turnsAtOnce)
	f.turnedAt = now
	isUsed := func(e *entry) bool { return now.Before(e.usedUntil) }
	slices.SortFunc(others, func(a, b *entry) int {
		if isUsed(a) != isUsed(b) {
			if isUsed(a) {
				return -1
			}
			return 1
		}
		return cmp.Or(a.askedAt.Compare(b.askedAt), strings.Compare(a.VM.Address, b.VM.Address))
	})
	n := 0
	for ; n < len(others); n++ {
		kept := 0.0
		if !isUsed(others[n]) {
			kept = turnsForUse
		}
		if f.turns < kept+1 {
			break
		}
		f.turns--
	}
	return others[:n]
}

func (f *Fleet) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	status, err := f.config.Engine.Status(ctx, address)
	f.answer(address, status, err, func(e *entry) { e.asking = false })
}

// pause is the time to the next question after one has ended. Failure that the
// slow pace answers: an engine without a keeper, one whose keeper died or is cut
// off from here: nobody tells of it, and after freshFor it would get no work.
func (f *Fleet) pause(e *entry, now time.Time) time.Duration {
	if now.Before(e.busyUntil) {
		return f.config.FrequentPollInterval
	}
	if e.Reachable && f.toldLately(e, now) {
		return f.config.KeeperReportTTL
	}
	return f.config.IdlePollInterval
}

// toldLately tells whether the engine's keeper, this VM or one that is heard,
// speaks for it.
func (f *Fleet) toldLately(e *entry, now time.Time) bool {
	return now.Sub(e.keptAt) < f.config.KeeperReportTTL || now.Sub(e.told.ObservedAt) < f.config.KeeperReportTTL
}

// Interest has the engine asked often for the next seconds: requests wait for
// what it is loading, or run on it.
func (f *Fleet) PollFrequently(address string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return
	}
	e.busyUntil = now.Add(interestFor)
	f.sooner(e, now.Add(f.config.FrequentPollInterval))
}

// Use returns what is known of an engine that holds, or may load, what was asked
// for here, and notes that.
func (f *Fleet) LookupForRequest(address string, now time.Time) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return Engine{}, false
	}
	first := !now.Before(e.usedUntil)
	e.usedUntil = now.Add(useFor)
	if now.Sub(e.SeenAt) > f.config.KeeperReportTTL {
		f.sooner(e, e.askedAt.Add(changedEvery))
		if first {
			f.rouse() // it may be due already, waiting for its turn
		}
	}
	return e.Engine, true
}

// sooner has the engine asked by then. Call with mu held.
func (f *Fleet) sooner(e *entry, by time.Time) {
	if by.Before(e.next) {
		e.next = by
		f.rouse()
	}
}

// Saw takes what an engine answered to this VM as its keeper.
func (f *Fleet) RecordStatus(address string, status engine.Status, err error) {
	f.answer(address, status, err, func(e *entry) {
		e.keptAt, e.answered = time.Now(), err == nil
		e.askedAt = e.keptAt
	})
}
