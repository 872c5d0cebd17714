package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

// words is a fold whose state is the text of all data records in order, so that
// a lost, repeated or reordered record shows.
type words struct {
	applied platformlog.Offset
	text    string
}

type wordsState struct {
	Applied platformlog.Offset
	Text    string
}

func (w *words) Apply(r platformlog.Record) {
	if r.Offset <= w.applied {
		return
	}
	w.applied = r.Offset
	if w.DecodePart(r) == nil {
		w.text += string(r.Data) + " "
	}
}

func (w *words) Applied() platformlog.Offset { return w.applied }

func (w *words) DecodePart(r platformlog.Record) *chunks.Chunk {
	var part chunks.Chunk
	if json.Unmarshal(r.Data, &part) != nil {
		return nil
	}
	return &part
}

func (w *words) EncodePart(part chunks.Chunk) ([]byte, error) { return json.Marshal(part) }

func (w *words) Restore(parts []chunks.Chunk) error {
	data, err := chunks.Join(parts)
	if err != nil {
		return err
	}
	var s wordsState
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	w.applied, w.text = s.Applied, s.Text
	return nil
}

func (w *words) Capture(writer string) Encoder {
	parts, err := w.Snapshot(writer)
	return func() ([]chunks.Chunk, error) { return parts, err }
}

func (w *words) Snapshot(writer string) ([]chunks.Chunk, error) {
	data := testkit.Must(json.Marshal(wordsState{w.applied, w.text}))
	// About three parts once it is compressed to a half.
	return chunks.Split(data, writer, uint64(w.applied), len(data)/6+8)
}

// heldWords encodes a captured state once hold is closed.
type heldWords struct {
	*words
	hold chan struct{}
}

func (h heldWords) Capture(writer string) Encoder {
	encode := h.words.Capture(writer)
	return func() ([]chunks.Chunk, error) {
		<-h.hold
		return encode()
	}
}

// bed is a log and replicas on it, by name.
type bed struct {
	*testing.T
	log      *logserver.Store
	ctx      context.Context
	replicas map[string]*vm
	running  sync.WaitGroup
	// readers are through whom VMs follow, by name.
	readers map[string]RequestRecordsFunc
}

type vm struct {
	*Replica
	fold *words
	view *logserver.View
	stop context.CancelFunc
}

func run(t *testing.T, config logserver.Config, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bed{T: t, log: logserver.New(config), ctx: ctx, replicas: map[string]*vm{}}
		test(b)
		cancel()
		b.running.Wait()
	})
}

// runCase runs one of several cases of a test.
func runCase(t *testing.T, name string, config logserver.Config, test func(b *bed)) {
	t.Run(name, func(t *testing.T) { run(t, config, test) })
}

// start runs a replica; writes tells whether it is the chosen one.
func (b *bed) start(name string, writes bool) *vm {
	v := &vm{fold: &words{}, view: b.log.View(name)}
	v.Replica = New(Config{
		Log: v.view, Stream: "s", StateMachine: v.fold, Logger: zap.NewNop(), Writer: name,
		SnapshotMaxAge: time.Minute, SnapshotEvery: 200, InitialSearchSpan: 16, WritesSnapshots: func() bool { return writes },
		RequestRecords: b.readers[name],
	})
	ctx, stop := context.WithCancel(b.ctx)
	v.stop = stop
	b.running.Go(func() { v.Run(ctx) })
	b.running.Go(func() { v.WriteSnapshots(ctx) })
	b.replicas[name] = v
	return v
}

// say appends one data record for each word.
func (b *bed) say(text string) {
	b.Helper()
	for _, word := range strings.Fields(text) {
		testkit.Value(b.log.Append(b.ctx, "s", []byte(word)))(b)
	}
	time.Sleep(10 * time.Millisecond)
}

// land appends parts of a snapshot.
func (b *bed) land(parts []chunks.Chunk) {
	b.Helper()
	for _, part := range parts {
		b.say(string(testkit.Value(json.Marshal(part))(b)))
	}
}

// words is what a VM knows.
func (v *vm) words() (text string) {
	v.View(func() { text = strings.TrimSpace(v.fold.text) })
	return text
}

// snapshot is what the VM would write now.
func (v *vm) snapshot(writer string) (parts []chunks.Chunk) {
	v.View(func() { parts, _ = v.fold.Snapshot(writer) })
	return parts
}

func (v *vm) isReady() bool {
	select {
	case <-v.Ready():
		return true
	default:
		return false
	}
}

func (v *vm) follows() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.following
}

// want fails the test unless each named VM follows and knows just the text.
func (b *bed) want(text string, names ...string) {
	b.Helper()
	for _, name := range names {
		v := b.replicas[name]
		if got := v.words(); got != text || !v.follows() {
			b.Errorf("%s knows %q (following: %v), want %q", name, got, v.follows(), text)
		}
	}
}

// catchUp has one VM ask another one, as the node does every 250 ms.
func (b *bed) catchUp(from, to string) {
	b.Helper()
	asks, asked := b.replicas[to], b.replicas[from]
	applied, _, _ := asks.Position()
	records, snapshot, err := asked.RecordsSince(applied + 1)
	testkit.OK(b, err)
	asks.ApplyPeerRecords(records, snapshot)
}

// outage takes the log away from everybody for so long that all records expire.
func (b *bed) outage(d time.Duration) {
	b.log.Faults().Set(faults.Settings{Outage: true})
	time.Sleep(d)
	b.log.Faults().Set(faults.Settings{})
}

// A new VM finds the whole stream, or only its end with a snapshot before it.
// The snapshot is torn or corrupt: it counts for nothing, and the VM waits for
// one that is whole rather than folding records without what came before.
func TestStart(t *testing.T) {
	tear := func(parts []chunks.Chunk) []chunks.Chunk { return parts[1:] }
	corrupt := func(parts []chunks.Chunk) []chunks.Chunk {
		parts[0].Data = append([]byte{^parts[0].Data[0]}, parts[0].Data[1:]...)
		return parts
	}
	older := func(parts []chunks.Chunk) []chunks.Chunk { return parts }
	for name, spoil := range map[string]func([]chunks.Chunk) []chunks.Chunk{
		"from nothing": nil, "torn": tear, "corrupt": corrupt, "too old": older,
	} {
		runCase(t, name, logserver.Config{MaxRecords: 12}, func(b *bed) {
			b.start("a", false)
			b.say("one two three")
			if spoil == nil {
				b.start("new", false)
				time.Sleep(time.Second)
				b.want("one two three", "a", "new")
				return
			}
			parts := b.replicas["a"].snapshot("a")
			b.say("four five six seven eight nine ten eleven")
			if name != "too old" {
				parts = b.replicas["a"].snapshot("a")
			}
			b.land(spoil(parts))
			b.say("x x x x x x x x")
			fresh := b.start("new", false)
			time.Sleep(time.Second)
			if fresh.isReady() {
				b.Errorf("new VM took a %s snapshot: %q", name, fresh.words())
			}
			// The other one writes a whole one when its time has come.
			time.Sleep(2 * time.Minute)
			b.want(b.replicas["a"].words(), "new")
		})
	}
}

// A stream holds records that an old snapshot has and many after it. A new VM
// takes the newest whole snapshot and reads little; one torn in the span is no
// snapshot, so it looks further back, to the stream's begin if there is none.
func TestStartFromTheNewestSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		old, new, torn bool
		reads          platformlog.Offset
	}{
		"newest": {old: true, new: true, reads: 17},
		"old":    {old: true, reads: 65},
		"torn":   {old: true, new: true, torn: true, reads: 65},
		"none":   {reads: 0},
	} {
		runCase(t, name, logserver.Config{}, func(b *bed) {
			a := b.start("a", false)
			put := func(write bool, from int) {
				if write {
					b.land(a.snapshot("a")[from:])
				}
			}
			b.say(strings.Repeat("x ", 200))
			put(c.old, 0)
			b.say(strings.Repeat("y ", 30))
			if c.torn {
				put(c.new, 1)
			} else {
				put(c.new, 0)
			}
			b.say("z z z")
			end := b.replicas["a"].next()
			fresh := b.start("new", false)
			time.Sleep(time.Second)
			b.want(a.words(), "a", "new")
			if c.reads != 0 && fresh.start.first != end-1-(c.reads-1) {
				b.Errorf("began %d records before the end, want %d", end-fresh.start.first, c.reads)
			}
		})
	}
}

// A snapshot is due and the state takes long to encode. The VM folds and answers
// meanwhile; with the lock held it would answer nobody, and this test would hang.
func TestFollowsWhileItEncodes(t *testing.T) {
	run(t, logserver.Config{MaxRecords: 40}, func(b *bed) {
		a := b.start("a", true)
		hold := make(chan struct{})
		a.mu.Lock()
		a.config.StateMachine = heldWords{a.fold, hold}
		a.mu.Unlock()
		b.say("one two")
		time.Sleep(90 * time.Second)
		b.say("three")
		b.want("one two three", "a")
		close(hold)
		time.Sleep(time.Second)
		testkit.Equal(t, "snapshots written", a.SnapshotsWritten(), 1)
	})
}

// Snapshots of several VMs land in any order. A VM that knows more is not taken
// back by one that lands later; the naive rule, newest landed wins, would.
func TestLateSnapshotTakesNobodyBack(t *testing.T) {
	run(t, logserver.Config{MaxRecords: 40}, func(b *bed) {
		a := b.start("a", false)
		b.say("one two")
		old := a.snapshot("old")
		b.say("three four")
		fresh := a.snapshot("fresh")
		b.land(fresh)
		b.land(old)
		b.start("new", false)
		time.Sleep(time.Second)
		b.want("one two three four", "a", "new")
	})
}

// The log is away for longer than it keeps records. VMs that had read all of
// it have lost nothing. One that was cut off before takes the missing records
// from a peer, or waits for a snapshot and takes that.
func TestOutageLongerThanTheRetention(t *testing.T) {
	for _, peers := range []bool{true, false} {
		runCase(t, fmt.Sprintf("peers=%v", peers), logserver.Config{MaxAge: time.Minute}, func(b *bed) {
			b.start("a", true)
			b.start("b", false)
			lagging := b.start("lagging", false)
			b.say("one")
			lagging.view.Cut()
			b.say("two three")
			b.outage(5 * time.Minute)
			lagging.view.Heal()
			b.say("four")
			time.Sleep(time.Second)
			if peers {
				b.catchUp("b", "lagging")
				time.Sleep(time.Second)
			} else {
				if lagging.words() != "one" || lagging.follows() {
					b.Errorf("lagging folded across the hole: %q", lagging.words())
				}
				time.Sleep(time.Minute)
			}
			b.say("five")
			b.want("one two three four five", "a", "b", "lagging")
		})
	}
}

// The log was away for longer than it keeps records, and the newest ones had
// been read by some VMs only, or by none that still live. The state that knows
// most counts, on all VMs alike, also on one that starts meanwhile: each VM that
// went on by itself would differ from the others for good.
func TestRecordsThatEverybodyLost(t *testing.T) {
	run(t, logserver.Config{MaxAge: 10 * time.Minute}, func(b *bed) {
		for _, name := range []string{"a", "b", "c"} {
			b.start(name, name == "a")
		}
		b.say("one")
		b.replicas["a"].view.Cut()
		b.say("two")
		b.replicas["b"].view.Cut()
		b.replicas["c"].view.Cut()
		b.say("three")
		b.outage(12 * time.Minute)
		for _, name := range []string{"a", "b", "c"} {
			b.replicas[name].view.Heal()
		}
		b.start("new", false)
		for i := range 60 {
			b.say(fmt.Sprint("w", i))
			time.Sleep(time.Second)
		}
		b.say("end")
		got := b.replicas["b"].words()
		if !strings.HasPrefix(got, "one two w") || !strings.HasSuffix(got, " end") {
			t.Errorf("the state that knew most does not count: %q", got)
		}
		b.want(got, "a", "b", "c", "new")
	})
}

// One VM lost records, another has read them all. The first is heard by nobody
// and bids its own state; the second answers in the log. Nobody goes back, and
// the loser gets what it lost. Naive twin: a marked snapshot counts where it
// lands.
func TestVMThatKnowsMoreAnswersABid(t *testing.T) {
	for _, chosen := range []string{"knows", "lost"} {
		runCase(t, "chosen "+chosen, logserver.Config{MaxAge: 10 * time.Minute}, func(b *bed) {
			lost := b.start("lost", chosen == "lost")
			b.start("knows", chosen == "knows")
			b.say("one")
			lost.view.Cut()
			b.say("two three")
			b.outage(12 * time.Minute)
			lost.view.Heal()
			for i := range 40 {
				b.say(fmt.Sprint("w", i))
				time.Sleep(time.Second)
				if got := b.replicas["knows"].words(); !strings.HasPrefix(got, "one two three w0") {
					b.Fatalf("went back to %q", got)
				}
			}
			b.want(b.replicas["knows"].words(), "lost", "knows")
		})
	}
}

// The VM that knows more is cut off from the log and from its peers until the
// others have ruled. What only it knew is lost then; what must not happen is
// that it goes on by a state of its own.
func TestVMThatKnewMoreComesBackAfterTheRuling(t *testing.T) {
	for _, late := range []time.Duration{time.Minute, 30 * time.Minute} {
		runCase(t, late.String(), logserver.Config{MaxAge: 10 * time.Minute}, func(b *bed) {
			lost := b.start("lost", true)
			knew := b.start("knew", false)
			b.say("one")
			lost.view.Cut()
			b.say("two")
			knew.view.Cut()
			b.outage(12 * time.Minute)
			lost.view.Heal()
			for i := range int(late.Seconds()) {
				b.say(fmt.Sprint("w", i))
				time.Sleep(time.Second)
			}
			knew.view.Heal()
			time.Sleep(2 * time.Minute)
			b.say("end")
			b.want(lost.words(), "lost", "knew")
			if !strings.HasPrefix(lost.words(), "one w") {
				b.Errorf("no ruling: %q", lost.words())
			}
		})
	}
}
