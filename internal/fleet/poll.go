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
	// minCheckInterval is the minimum time between two checks for due polls, so that polls
	// that fall due together start in one wake-up.
	minCheckInterval = 50 * time.Millisecond
	// maxCheckInterval is the maximum time between two checks for due polls.
	maxCheckInterval = time.Second
	// frequentPollTTL is how long one call of PollFrequently keeps an engine polled at
	// FrequentPollInterval.
	frequentPollTTL = 3 * time.Second
	// requestUseTTL is how long one call of LookupForRequest gives an engine priority.
	requestUseTTL = time.Minute
	// minEarlyPollInterval is the minimum time between two polls of an engine that is
	// polled ahead of schedule, after a changed report or for a request.
	minEarlyPollInterval = 500 * time.Millisecond
	// maxConcurrentPolls bounds the polls in flight. It exceeds the number of engines
	// of a deployment: polls of unreachable engines last until Timeout and must not
	// delay the others.
	maxConcurrentPolls = 1024
	// maxPollCredit bounds the accumulated poll credit. reservedPollCredit of it is
	// reserved for engines for which LookupForRequest was called, so that the holders
	// of a unit that is requested for the first time are polled at once.
	maxPollCredit      = 16
	reservedPollCredit = 12
)

// Run polls the VM list and the engines until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.pollList(ctx) })
	slots := make(chan struct{}, maxConcurrentPolls)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, address := range f.dueEngines(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-slots }()
				f.poll(ctx, address)
			})
		}
		timer.Reset(f.nextWakeDelay(time.Now()))
		select {
		case <-timer.C:
		case <-f.wake:
		case <-ctx.Done():
			return
		}
	}
}

// wakeRun makes Run check for due polls.
func (f *Fleet) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// nextWakeDelay returns the time until the next poll is due.
func (f *Fleet) nextWakeDelay(now time.Time) time.Duration {
	nextCreditAt := now
	if rate := f.config.MaxRemotePollRate(); rate > 0 {
		nextCreditAt = now.Add(time.Duration(float64(time.Second) / rate))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next := now.Add(maxCheckInterval)
	for _, e := range f.engines {
		at := e.nextPollAt
		if at.Before(nextCreditAt) && !now.Before(e.frequentUntil) {
			at = nextCreditAt
		}
		if !e.isPolling && at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), minCheckInterval)
}

// dueEngines returns the engines to poll now and marks them as being polled.
func (f *Fleet) dueEngines(now time.Time) []string {
	rate := f.config.MaxRemotePollRate()
	f.mu.Lock()
	defer f.mu.Unlock()
	var due, rateLimited []*entry
	for _, e := range f.engines {
		if e.ReportedDraining && now.Sub(e.drainingReportedAt) > drainReportTTL {
			e.ReportedDraining = false
			f.changedEngines[e.VM.Address] = struct{}{}
		}
		switch {
		case e.isPolling || now.Before(e.nextPollAt):
		case rate > 0 && !now.Before(e.frequentUntil):
			rateLimited = append(rateLimited, e)
		default:
			due = append(due, e)
		}
	}
	due = append(due, f.pickWithinPollRate(now, rate, rateLimited)...)
	addresses := make([]string, 0, len(due))
	for _, e := range due {
		e.isPolling, e.polledAt = true, now
		addresses = append(addresses, e.VM.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// pickWithinPollRate selects from the engines subject to MaxRemotePollRate those to
// poll now: first those that hold, or may load, a unit requested here, then those
// polled least recently. In a large fleet the answers of all engines would saturate
// the VM's network. The caller holds mu.
func (f *Fleet) pickWithinPollRate(now time.Time, rate float64, rateLimited []*entry) []*entry {
	f.pollCredit = min(f.pollCredit+now.Sub(f.creditUpdatedAt).Seconds()*rate, maxPollCredit)
	f.creditUpdatedAt = now
	isUsed := func(e *entry) bool { return now.Before(e.usedUntil) }
	slices.SortFunc(rateLimited, func(a, b *entry) int {
		if isUsed(a) != isUsed(b) {
			if isUsed(a) {
				return -1
			}
			return 1
		}
		return cmp.Or(a.polledAt.Compare(b.polledAt), strings.Compare(a.VM.Address, b.VM.Address))
	})
	n := 0
	for ; n < len(rateLimited); n++ {
		reserved := 0.0
		if !isUsed(rateLimited[n]) {
			reserved = reservedPollCredit
		}
		if f.pollCredit < reserved+1 {
			break
		}
		f.pollCredit--
	}
	return rateLimited[:n]
}

// poll asks an engine for its status and records the result.
func (f *Fleet) poll(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	status, err := f.config.Engine.Status(ctx, address)
	f.recordAnswer(address, status, err, func(e *entry) { e.isPolling = false })
}

// pollDelay returns the time from the end of one poll to the next. Engines are polled
// even if no request waits for them: without that, an engine that has no keeper, or
// whose keeper is dead or unreachable from here, would not be reported by anyone and
// would get no work once its status is too old.
func (f *Fleet) pollDelay(e *entry, now time.Time) time.Duration {
	if now.Before(e.frequentUntil) {
		return f.config.FrequentPollInterval
	}
	if e.Reachable && f.hasRecentKeeperReport(e, now) {
		return f.config.KeeperReportTTL
	}
	return f.config.IdlePollInterval
}

// hasRecentKeeperReport reports whether the engine's keeper, this VM or one whose
// reports reach it, has recently reported on the engine.
func (f *Fleet) hasRecentKeeperReport(e *entry, now time.Time) bool {
	return now.Sub(e.keeperPolledAt) < f.config.KeeperReportTTL || now.Sub(e.peerReport.ObservedAt) < f.config.KeeperReportTTL
}

// PollFrequently makes an engine be polled at FrequentPollInterval for the next seconds:
// requests run on it or wait for a unit that it is loading.
func (f *Fleet) PollFrequently(address string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return
	}
	e.frequentUntil = now.Add(frequentPollTTL)
	f.pollBy(e, now.Add(f.config.FrequentPollInterval))
}

// LookupForRequest returns the known state of an engine that holds, or may load, a unit
// requested here, and gives the engine priority in polling.
func (f *Fleet) LookupForRequest(address string, now time.Time) (Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return Engine{}, false
	}
	isFirstUse := !now.Before(e.usedUntil)
	e.usedUntil = now.Add(requestUseTTL)
	if now.Sub(e.SeenAt) > f.config.KeeperReportTTL {
		f.pollBy(e, e.polledAt.Add(minEarlyPollInterval))
		if isFirstUse {
			f.wakeRun() // The poll may be due already and wait for poll credit.
		}
	}
	return e.Engine, true
}

// pollBy makes the engine be polled at the given time at the latest. The caller holds
// mu.
func (f *Fleet) pollBy(e *entry, by time.Time) {
	if by.Before(e.nextPollAt) {
		e.nextPollAt = by
		f.wakeRun()
	}
}

// RecordStatus stores the result of a poll that this VM made as the engine's keeper.
func (f *Fleet) RecordStatus(address string, status engine.Status, err error) {
	f.recordAnswer(address, status, err, func(e *entry) {
		e.keeperPolledAt, e.keeperAnswered = time.Now(), err == nil
		e.polledAt = e.keeperPolledAt
	})
}
