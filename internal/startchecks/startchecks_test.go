package startchecks_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/startchecks"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

var engine = service.Target{ID: "e", Version: "v1", Started: 1000}

// Guards against a start that is taken for sound because of a report that was asked for before the last sign that
// it ended.
func TestDoubtOutlivesEarlierReport(t *testing.T) {
	now, table := time.Now(), startchecks.NewTable()
	isDoubtful := func() bool { return !table.IsConfirmed(now, engine, time.Time{}) }
	testkit.That(t, !isDoubtful(), "doubtful without a sign")
	table.Doubt(now, engine)
	table.Doubt(now.Add(2), engine)
	table.Confirm(now.Add(1), "e", 1000)
	testkit.That(t, isDoubtful(), "cleared by an earlier report")
	table.Confirm(now.Add(3), "e", 1000)
	testkit.That(t, !isDoubtful(), "not cleared")
	later := engine
	later.Started = 2000
	table.Doubt(now.Add(4), engine)
	testkit.That(t, table.IsConfirmed(now, later, time.Time{}), "doubted for what an earlier start did")
}

// Guards against a new connection that is taken for one to the known start because of a report that is older than it, and
// against a query for each stream over one connection.
func TestConnectionIsConfirmedByLaterReport(t *testing.T) {
	now, table := time.Now(), startchecks.NewTable()
	testkit.That(t, !table.IsConfirmed(now, engine, now), "confirmed by nothing")
	table.Confirm(now, "e", 1000)
	testkit.That(t, !table.IsConfirmed(now, engine, now.Add(1)), "confirmed by an older report")
	table.Confirm(now.Add(2), "e", 2000)
	testkit.That(t, !table.IsConfirmed(now, engine, now.Add(1)), "confirmed by another start")
	table.Confirm(now.Add(3), "e", 1000)
	testkit.That(t, table.IsConfirmed(now, engine, now.Add(1)), "not confirmed")
	table.Confirm(now.Add(1), "e", 1000)
	testkit.That(t, table.IsConfirmed(now, engine, now.Add(1)), "an older report that came late took it back")
}

// Guards against a query for each of many streams that begin at once.
func TestStreamsShareQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64
		recorded := make(chan int64, 100)
		checker := startchecks.New(startchecks.Config{
			Ask: func(ctx context.Context, target service.Target) (int64, error) {
				if asked.Add(1) > 2 {
					<-ctx.Done()
					return 0, ctx.Err()
				}
				return 999 + asked.Load(), nil
			},
			RecordStart: func(_ string, start int64) { recorded <- start },
		})
		verify := func() (same int64) {
			var streams sync.WaitGroup
			var count atomic.Int64
			for range 20 {
				streams.Go(func() {
					if checker.Verify(t.Context(), engine) {
						count.Add(1)
					}
				})
			}
			streams.Wait()
			return count.Load()
		}
		testkit.Equal(t, "verified", verify(), 20)
		testkit.That(t, checker.IsConfirmed(engine, time.Now().Add(-time.Second)), "not confirmed")
		testkit.Equal(t, "verified after a restart", verify(), 0)
		testkit.Equal(t, "verified without an answer", verify(), 0)
		testkit.Equal(t, "queries", asked.Load(), 3)
		testkit.That(t, <-recorded == 1000 && <-recorded == 1001 && len(recorded) == 0, "other starts recorded")
	})
}
