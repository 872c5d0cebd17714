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

// proposal is a deposit with an identity.
type proposal struct {
	Sequence uint64
	Name     string
}

// desk is a batcher over a log in memory, with the fold that resolves.
type desk struct {
	*commit.Batcher[proposal, platformlog.Offset]
	log    *logserver.Store
	ctx    context.Context
	stop   context.CancelFunc
	duties sync.WaitGroup

	mu sync.Mutex
	// landed counts by name the proposals that the fold took, each identity once;
	// records counts the records and most is the most proposals in one.
	landed        map[string]int
	records, most int
	// late are the abandoned proposals that were reported.
	late []string
}

func newDesk(t *testing.T, seed uint64) *desk {
	d := &desk{log: logserver.New(logserver.Config{Seed: seed}), landed: make(map[string]int)}
	d.ctx, d.stop = context.WithCancel(t.Context())
	d.Batcher = commit.New[proposal, platformlog.Offset](commit.Config[proposal]{
		Log: d.log, Stream: stream, MaxProposals: 100,
		Encode: func(all []proposal) ([]byte, error) { return json.Marshal(all) },
	})
	d.duties.Go(func() { d.Run(d.ctx) })
	d.duties.Go(d.fold)
	return d
}

// end ends the duties; what is on its way in the log's stand-in still lands.
func (d *desk) end() {
	d.stop()
	d.duties.Wait()
	time.Sleep(time.Minute)
}

func (d *desk) fold() {
	seen := make(map[uint64]bool)
	for from := platformlog.Offset(1); d.ctx.Err() == nil; {
		batch, err := d.log.View("fold").Read(d.ctx, stream, from, 100, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		from = batch.Next
		for _, r := range batch.Records {
			var all []proposal
			testkit.Must(0, json.Unmarshal(r.Data, &all))
			d.take(all, seen)
			for _, p := range all {
				d.Resolve(p.Sequence, r.Offset)
			}
		}
	}
}

func (d *desk) take(all []proposal, seen map[uint64]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records++
	d.most = max(d.most, len(all))
	for _, p := range all {
		if p.Sequence == 0 || !seen[p.Sequence] {
			d.landed[p.Name]++
		}
		seen[p.Sequence] = true
	}
}

// count is how often proposals of the name landed.
func (d *desk) count(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.landed[name]
}

func (d *desk) submit(name string, patience time.Duration) (platformlog.Offset, error) {
	ctx, cancel := context.WithTimeout(d.ctx, patience)
	defer cancel()
	return d.Submit(ctx, func(sequence uint64) proposal { return proposal{sequence, name} },
		func(p proposal, _ platformlog.Offset) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.late = append(d.late, p.Name)
		})
}

func inDesk(t *testing.T, seed uint64, test func(t *testing.T, d *desk)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t, seed)
		test(t, d)
		d.end()
	})
}

// The log takes several hundred appends a second. Proposals that come together
// share a record.
func TestProposalsShareRecords(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		var group sync.WaitGroup
		for i := range 50 {
			group.Go(func() {
				testkit.WantError(t, "proposal", testkit.Err(d.submit(fmt.Sprint(i), time.Second)), nil)
			})
		}
		group.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.records > 3 || len(d.landed) != 50 {
			t.Errorf("%d records for %d proposals", d.records, len(d.landed))
		}
	})
}

// A large publish waits together with the session renewals. It must not take
// their record over the log's bound: they land, and so does it if it fits alone.
func TestLargeProposalTakesNoneDown(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		names := map[string]error{"renewal 1": nil, "renewal 2": nil, "renewal 3": nil}
		names[strings.Repeat("large", 1<<20/6)] = nil
		names[strings.Repeat("larger", 1<<20/6)] = commit.ErrTooLarge
		var group sync.WaitGroup
		for name, want := range names {
			group.Go(func() {
				_, err := d.submit(name, time.Second)
				if !errors.Is(err, want) || (err != nil && !errors.Is(err, commit.ErrNotStored)) {
					t.Errorf("%.9s: %v, want %v", name, err, want)
				}
			})
		}
		group.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		testkit.Equal(t, "landed", len(d.landed), len(names)-1)
	})
}

// Half of the log's answers are lost. The batcher repeats the same record, so
// each proposal counts once and its proposer is told where.
func TestLostAnswersCountOnce(t *testing.T) {
	for seed := range uint64(5) {
		inDesk(t, seed+1, func(t *testing.T, d *desk) {
			d.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
			for i := range 20 {
				name := fmt.Sprint(i)
				testkit.WantError(t, name, testkit.Err(d.submit(name, 10*time.Second)), nil)
				testkit.Equal(t, name+" counts", d.count(name), 1)
			}
		})
	}
}

// The naive twin takes a lost answer for "not stored" and appends a new
// proposal: the same deposit counts several times.
func TestNaiveTwinCountsTwice(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		d.log.Faults().Set(faults.Settings{LoseProbability: 0.5})
		twice := 0
		for i := range 20 {
			name := fmt.Sprint(i)
			for sequence := uint64(1); ; sequence++ {
				data, _ := json.Marshal([]proposal{{uint64(i)<<32 | sequence, name}})
				if _, err := d.log.Append(d.ctx, stream, data); err == nil {
					break
				}
			}
			time.Sleep(time.Second)
			if d.count(name) > 1 {
				twice++
			}
		}
		if twice == 0 {
			t.Error("the naive twin never counts twice")
		}
	})
}

// The log is down, then hangs. Proposers are told "not stored" at once and
// truly; nobody waits behind the stuck append for its whole patience.
func TestOutageIsToldAtOnce(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		told := func(name string) {
			t.Helper()
			begun := time.Now()
			_, err := d.submit(name, time.Minute)
			if !errors.Is(err, commit.ErrNotStored) || time.Since(begun) > 100*time.Millisecond {
				t.Errorf("%s: %v after %v", name, err, time.Since(begun))
			}
		}
		d.log.Faults().Set(faults.Settings{Outage: true})
		told("down")
		d.log.Faults().Set(faults.Settings{SlowMS: 30_000})
		testkit.WantError(t, "first", testkit.Err(d.submit("first", 1500*time.Millisecond)), commit.ErrUnknown)
		told("hung")
		testkit.WantError(t, "stored", d.Store(d.ctx, proposal{Name: "stored"}), commit.ErrNotStored)
		d.log.Faults().Set(faults.Settings{})
		time.Sleep(2 * time.Minute)
		if d.count("down")+d.count("hung")+d.count("stored") > 0 {
			t.Error("told not stored, but landed")
		}
		// The first one landed long after its proposer left, who is told.
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.landed["first"] != 1 || len(d.late) != 1 || d.late[0] != "first" {
			t.Errorf("landed %v, reported late %v", d.landed, d.late)
		}
	})
}

// A proposer leaves while its proposal waits behind another append. It was in no
// append, so it never lands.
func TestLeftBeforeAppendNeverLands(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		d.log.Faults().Set(faults.Settings{SlowMS: 900})
		var group sync.WaitGroup
		group.Go(func() { _, _ = d.submit("ahead", time.Minute) })
		time.Sleep(100 * time.Millisecond)
		testkit.WantError(t, "left", testkit.Err(d.submit("left", 100*time.Millisecond)), commit.ErrUnknown)
		group.Wait()
		time.Sleep(5 * time.Second)
		if d.count("ahead") != 1 || d.count("left") != 0 {
			t.Errorf("landed %d and %d times", d.count("ahead"), d.count("left"))
		}
	})
}

// Store tells when the proposal is in the log, without waiting for a fold; with
// an answer lost it goes on until it knows.
func TestStoreKnows(t *testing.T) {
	inDesk(t, 1, func(t *testing.T, d *desk) {
		d.log.Faults().Set(faults.Settings{LoseAnswers: 2})
		testkit.WantError(t, "a", d.Store(d.ctx, proposal{Name: "a"}), nil)
		if batch, err := d.log.Read(d.ctx, stream, 1, 9, 0); err != nil || len(batch.Records) != 3 {
			t.Errorf("%d records, %v", len(batch.Records), err)
		}
		d.log.Faults().Set(faults.Settings{Outage: true})
		testkit.WantError(t, "b", d.Store(d.ctx, proposal{Name: "b"}), commit.ErrNotStored)
	})
}
