package commit_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/commit"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

const stream = "s"

// proposal is a named proposal with its sequence number as identity.
type proposal struct {
	Sequence uint64
	Name     string
}

// testBatcher is a batcher on an in-memory log with a reader that resolves its
// proposals.
type testBatcher struct {
	*commit.Batcher[proposal, platformlog.Offset]
	log     *logserver.Store
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// stored counts the stored proposals by name, each identity once; records counts
	// the records and maxPerRecord is the largest number of proposals in one.
	stored                map[string]int
	records, maxPerRecord int
	// lateResults holds the names of abandoned proposals whose result was delivered.
	lateResults []string
}

func newTestBatcher(t *testing.T, seed uint64) *testBatcher {
	b := &testBatcher{log: logserver.New(logserver.Config{Seed: seed}), stored: make(map[string]int)}
	b.ctx, b.stop = context.WithCancel(t.Context())
	b.Batcher = commit.New[proposal, platformlog.Offset](commit.Config[proposal]{
		Log: b.log, Stream: stream, MaxProposals: 100,
		Encode: func(proposals []proposal) ([]byte, error) { return json.Marshal(proposals) },
	})
	b.running.Go(func() { b.Run(b.ctx) })
	b.running.Go(b.resolveRecords)
	return b
}

// stopAndDrain stops the batcher and waits until appends in flight have been stored.
func (b *testBatcher) stopAndDrain() {
	b.stop()
	b.running.Wait()
	time.Sleep(time.Minute)
}

func (b *testBatcher) resolveRecords() {
	seen := make(map[uint64]bool)
	for from := platformlog.Offset(1); b.ctx.Err() == nil; {
		batch, err := b.log.View("resolver").Read(b.ctx, stream, from, 100, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		from = batch.Next
		for _, r := range batch.Records {
			var proposals []proposal
			testkit.Must(0, json.Unmarshal(r.Data, &proposals))
			b.countStored(proposals, seen)
			for _, p := range proposals {
				b.Resolve(p.Sequence, r.Offset)
			}
		}
	}
}

func (b *testBatcher) countStored(proposals []proposal, seen map[uint64]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records++
	b.maxPerRecord = max(b.maxPerRecord, len(proposals))
	for _, p := range proposals {
		if p.Sequence == 0 || !seen[p.Sequence] {
			b.stored[p.Name]++
		}
		seen[p.Sequence] = true
	}
}

// storedCount returns how often proposals of the name have been stored.
func (b *testBatcher) storedCount(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stored[name]
}

func (b *testBatcher) submit(name string, timeout time.Duration) (platformlog.Offset, error) {
	ctx, cancel := context.WithTimeout(b.ctx, timeout)
	defer cancel()
	return b.Submit(ctx, func(sequence uint64) proposal { return proposal{sequence, name} },
		func(p proposal, _ platformlog.Offset) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.lateResults = append(b.lateResults, p.Name)
		})
}

func runWithBatcher(t *testing.T, seed uint64, test func(t *testing.T, b *testBatcher)) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBatcher(t, seed)
		test(t, b)
		b.stopAndDrain()
	})
}

// The log accepts several hundred appends a second, so proposals that are submitted at
// the same time must share a record.
func TestProposalsShareRecords(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		var group sync.WaitGroup
		for i := range 50 {
			group.Go(func() {
				testkit.WantError(t, "proposal", testkit.Err(b.submit(fmt.Sprint(i), time.Second)), nil)
			})
		}
		group.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.records > 3 || len(b.stored) != 50 {
			t.Errorf("%d records for %d proposals", b.records, len(b.stored))
		}
	})
}

// A large publish is queued together with session renewals. It must not push their
// record over the log's limit: the renewals are stored, and so is the publish if it fits
// into a record alone.
func TestOversizedProposalFailsAlone(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		names := map[string]error{"renewal 1": nil, "renewal 2": nil, "renewal 3": nil}
		names[strings.Repeat("large", 1<<20/6)] = nil
		names[strings.Repeat("larger", 1<<20/6)] = commit.ErrTooLarge
		var group sync.WaitGroup
		for name, want := range names {
			group.Go(func() {
				_, err := b.submit(name, time.Second)
				if !errors.Is(err, want) || (err != nil && !errors.Is(err, commit.ErrNotStored)) {
					t.Errorf("%.9s: %v, want %v", name, err, want)
				}
			})
		}
		group.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		testkit.Equal(t, "stored proposals", len(b.stored), len(names)-1)
	})
}

// The log loses half of its answers. The batcher repeats the same record, so each
// proposal takes effect once and its proposer gets the result.
func TestLostAnswersStoreOnce(t *testing.T) {
	for seed := range uint64(5) {
		runWithBatcher(t, seed+1, func(t *testing.T, b *testBatcher) {
			b.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
			for i := range 20 {
				name := fmt.Sprint(i)
				testkit.WantError(t, name, testkit.Err(b.submit(name, 10*time.Second)), nil)
				testkit.Equal(t, name+" stored", b.storedCount(name), 1)
			}
		})
	}
}

// A client that treats a lost answer as "not stored" and retries with a new identity
// stores the same proposal several times. This shows that the faults of
// TestLostAnswersStoreOnce have an effect.
func TestRetryWithNewIdentityStoresTwice(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		b.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
		duplicates := 0
		for i := range 20 {
			name := fmt.Sprint(i)
			for sequence := uint64(1); ; sequence++ {
				data, _ := json.Marshal([]proposal{{uint64(i)<<32 | sequence, name}})
				if _, err := b.log.Append(b.ctx, stream, data); err == nil {
					break
				}
			}
			time.Sleep(time.Second)
			if b.storedCount(name) > 1 {
				duplicates++
			}
		}
		if duplicates == 0 {
			t.Error("retries with new identities stored no proposal twice")
		}
	})
}

// The log is down, then hangs. Proposers must get ErrNotStored at once, and only for
// proposals that are never stored, instead of waiting behind the stuck append until
// their deadline.
func TestOutageFailsImmediately(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		wantNotStored := func(name string) {
			t.Helper()
			start := time.Now()
			_, err := b.submit(name, time.Minute)
			if !errors.Is(err, commit.ErrNotStored) || time.Since(start) > 100*time.Millisecond {
				t.Errorf("%s: %v after %v", name, err, time.Since(start))
			}
		}
		b.log.Faults().Set(faults.Settings{Outage: true})
		wantNotStored("down")
		b.log.Faults().Set(faults.Settings{SlowMS: 30_000})
		testkit.WantError(t, "first", testkit.Err(b.submit("first", 1500*time.Millisecond)), commit.ErrOutcomeUnknown)
		wantNotStored("hung")
		testkit.WantError(t, "stored", b.Store(b.ctx, proposal{Name: "stored"}), commit.ErrNotStored)
		b.log.Faults().Set(faults.Settings{})
		time.Sleep(2 * time.Minute)
		if b.storedCount("down")+b.storedCount("hung")+b.storedCount("stored") > 0 {
			t.Error("stored despite ErrNotStored")
		}
		// The first proposal was stored long after its proposer gave up; its result
		// is delivered to onLateResult.
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.stored["first"] != 1 || len(b.lateResults) != 1 || b.lateResults[0] != "first" {
			t.Errorf("stored %v, late results of %v", b.stored, b.lateResults)
		}
	})
}

// A proposer gives up while its proposal waits behind another append. The proposal was
// part of no append, so it must never be stored.
func TestAbandonedBeforeAppendIsNeverStored(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		b.log.Faults().Set(faults.Settings{SlowMS: 900})
		var group sync.WaitGroup
		group.Go(func() { _, _ = b.submit("ahead", time.Minute) })
		time.Sleep(100 * time.Millisecond)
		testkit.WantError(t, "abandoned", testkit.Err(b.submit("abandoned", 100*time.Millisecond)), commit.ErrOutcomeUnknown)
		group.Wait()
		time.Sleep(5 * time.Second)
		if b.storedCount("ahead") != 1 || b.storedCount("abandoned") != 0 {
			t.Errorf("stored %d and %d times", b.storedCount("ahead"), b.storedCount("abandoned"))
		}
	})
}

// Store returns when the proposal is in the log, without waiting for a state machine.
// If an answer is lost it repeats the append until the outcome is known.
func TestStoreWaitsForAppend(t *testing.T) {
	runWithBatcher(t, 1, func(t *testing.T, b *testBatcher) {
		b.log.Faults().Set(faults.Settings{LoseAnswers: 2})
		testkit.WantError(t, "a", b.Store(b.ctx, proposal{Name: "a"}), nil)
		if batch, err := b.log.Read(b.ctx, stream, 1, 9, 0); err != nil || len(batch.Records) != 3 {
			t.Errorf("%d records, %v", len(batch.Records), err)
		}
		b.log.Faults().Set(faults.Settings{Outage: true})
		testkit.WantError(t, "b", b.Store(b.ctx, proposal{Name: "b"}), commit.ErrNotStored)
	})
}
