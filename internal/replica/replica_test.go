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

// textMachine is a state machine whose state is the text of all data records in order,
// so that a lost, repeated or reordered record shows.
type textMachine struct {
	applied platformlog.Offset
	text    string
}

type textState struct {
	Applied platformlog.Offset
	Text    string
}

func (m *textMachine) Apply(r platformlog.Record) {
	if r.Offset <= m.applied {
		return
	}
	m.applied = r.Offset
	if m.DecodePart(r) == nil {
		m.text += string(r.Data) + " "
	}
}

func (m *textMachine) Applied() platformlog.Offset { return m.applied }

func (m *textMachine) DecodePart(r platformlog.Record) *chunks.Chunk {
	var part chunks.Chunk
	if json.Unmarshal(r.Data, &part) != nil {
		return nil
	}
	return &part
}

func (m *textMachine) EncodePart(part chunks.Chunk) ([]byte, error) { return json.Marshal(part) }

func (m *textMachine) Restore(parts []chunks.Chunk) error {
	data, err := chunks.Join(parts)
	if err != nil {
		return err
	}
	var s textState
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	m.applied, m.text = s.Applied, s.Text
	return nil
}

func (m *textMachine) Capture(writer string) Encoder {
	parts, err := m.Snapshot(writer)
	return func() ([]chunks.Chunk, error) { return parts, err }
}

func (m *textMachine) Snapshot(writer string) ([]chunks.Chunk, error) {
	data := testkit.Must(json.Marshal(textState{m.applied, m.text}))
	// Compression halves the data, so this splits it into about three parts.
	return chunks.Split(data, writer, uint64(m.applied), len(data)/6+8)
}

// slowTextMachine encodes a captured state only after release is closed.
type slowTextMachine struct {
	*textMachine
	release chan struct{}
}

func (m slowTextMachine) Capture(writer string) Encoder {
	encode := m.textMachine.Capture(writer)
	return func() ([]chunks.Chunk, error) {
		<-m.release
		return encode()
	}
}

// testbed is a log with replicas on it, by name.
type testbed struct {
	*testing.T
	log      *logserver.Store
	ctx      context.Context
	replicas map[string]*vm
	running  sync.WaitGroup
	// readers holds the readers of VMs, by the name of the VM.
	readers map[string]RequestRecordsFunc
}

type vm struct {
	*Replica
	machine *textMachine
	view    *logserver.View
	stop    context.CancelFunc
}

func runTestbed(t *testing.T, config logserver.Config, test func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &testbed{T: t, log: logserver.New(config), ctx: ctx, replicas: map[string]*vm{}}
		test(b)
		cancel()
		b.running.Wait()
	})
}

// runCase runs a test in a testbed as a subtest.
func runCase(t *testing.T, name string, config logserver.Config, test func(b *testbed)) {
	t.Run(name, func(t *testing.T) { runTestbed(t, config, test) })
}

// start starts a replica; writesSnapshots tells whether it is the snapshot writer.
func (b *testbed) start(name string, writesSnapshots bool) *vm {
	v := &vm{machine: &textMachine{}, view: b.log.View(name)}
	v.Replica = New(Config{
		Log: v.view, Stream: "s", StateMachine: v.machine, Logger: zap.NewNop(), Writer: name,
		SnapshotMaxAge: time.Minute, SnapshotEvery: 200, InitialSearchSpan: 16, WritesSnapshots: func() bool { return writesSnapshots },
		RequestRecords: b.readers[name],
	})
	ctx, stop := context.WithCancel(b.ctx)
	v.stop = stop
	b.running.Go(func() { v.Run(ctx) })
	b.running.Go(func() { v.WriteSnapshots(ctx) })
	b.replicas[name] = v
	return v
}

// appendWords appends one data record for each word.
func (b *testbed) appendWords(text string) {
	b.Helper()
	for _, word := range strings.Fields(text) {
		testkit.Value(b.log.Append(b.ctx, "s", []byte(word)))(b)
	}
	time.Sleep(10 * time.Millisecond)
}

// appendSnapshot appends the parts of a snapshot.
func (b *testbed) appendSnapshot(parts []chunks.Chunk) {
	b.Helper()
	for _, part := range parts {
		b.appendWords(string(testkit.Value(json.Marshal(part))(b)))
	}
}

// text returns the text that a VM holds.
func (v *vm) text() (state string) {
	v.View(func() { state = strings.TrimSpace(v.machine.text) })
	return state
}

// snapshot returns the parts of the snapshot that the VM would write now.
func (v *vm) snapshot(writer string) (parts []chunks.Chunk) {
	v.View(func() { parts, _ = v.machine.Snapshot(writer) })
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

func (v *vm) isFollowingLog() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.following
}

// wantText fails the test unless each named VM follows the log and holds the text.
func (b *testbed) wantText(text string, names ...string) {
	b.Helper()
	for _, name := range names {
		v := b.replicas[name]
		if got := v.text(); got != text || !v.isFollowingLog() {
			b.Errorf("%s holds %q (following: %v), want %q", name, got, v.isFollowingLog(), text)
		}
	}
}

// catchUp requests records for one VM from another, as the node does every 250 ms.
func (b *testbed) catchUp(from, to string) {
	b.Helper()
	requester, responder := b.replicas[to], b.replicas[from]
	applied, _, _ := requester.Position()
	records, snapshot, err := responder.RecordsSince(applied + 1)
	testkit.OK(b, err)
	requester.ApplyPeerRecords(records, snapshot)
}

// outage makes the log unavailable to all VMs for the duration.
func (b *testbed) outage(d time.Duration) {
	b.log.Faults().Set(faults.Settings{Outage: true})
	time.Sleep(d)
	b.log.Faults().Set(faults.Settings{})
}

// A new VM must not start from a torn, corrupt or outdated snapshot: it would apply
// records without those before them. It waits for a complete snapshot, or reads the
// whole stream if that is still in the log.
func TestNewReplicaIgnoresUnusableSnapshots(t *testing.T) {
	tear := func(parts []chunks.Chunk) []chunks.Chunk { return parts[1:] }
	corrupt := func(parts []chunks.Chunk) []chunks.Chunk {
		parts[0].Data = append([]byte{^parts[0].Data[0]}, parts[0].Data[1:]...)
		return parts
	}
	older := func(parts []chunks.Chunk) []chunks.Chunk { return parts }
	for name, damage := range map[string]func([]chunks.Chunk) []chunks.Chunk{
		"from nothing": nil, "torn": tear, "corrupt": corrupt, "too old": older,
	} {
		runCase(t, name, logserver.Config{MaxRecords: 12}, func(b *testbed) {
			b.start("a", false)
			b.appendWords("one two three")
			if damage == nil {
				b.start("new", false)
				time.Sleep(time.Second)
				b.wantText("one two three", "a", "new")
				return
			}
			parts := b.replicas["a"].snapshot("a")
			b.appendWords("four five six seven eight nine ten eleven")
			if name != "too old" {
				parts = b.replicas["a"].snapshot("a")
			}
			b.appendSnapshot(damage(parts))
			b.appendWords("x x x x x x x x")
			fresh := b.start("new", false)
			time.Sleep(time.Second)
			if fresh.isReady() {
				b.Errorf("new VM restored a %s snapshot: %q", name, fresh.text())
			}
			// The other VM writes a complete snapshot when one is due.
			time.Sleep(2 * time.Minute)
			b.wantText(b.replicas["a"].text(), "new")
		})
	}
}

// A new VM must start from the newest complete snapshot and read few records. If the
// snapshot within the initial span is torn, or there is none, it searches further back,
// if necessary to the beginning of the stream.
func TestStartsFromNewestSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		old, new, torn bool
		reads          platformlog.Offset
	}{
		"newest": {old: true, new: true, reads: 17},
		"old":    {old: true, reads: 65},
		"torn":   {old: true, new: true, torn: true, reads: 65},
		"none":   {reads: 0},
	} {
		runCase(t, name, logserver.Config{}, func(b *testbed) {
			a := b.start("a", false)
			appendFrom := func(write bool, from int) {
				if write {
					b.appendSnapshot(a.snapshot("a")[from:])
				}
			}
			b.appendWords(strings.Repeat("x ", 200))
			appendFrom(c.old, 0)
			b.appendWords(strings.Repeat("y ", 30))
			if c.torn {
				appendFrom(c.new, 1)
			} else {
				appendFrom(c.new, 0)
			}
			b.appendWords("z z z")
			end := b.replicas["a"].nextNeeded()
			fresh := b.start("new", false)
			time.Sleep(time.Second)
			b.wantText(a.text(), "a", "new")
			if c.reads != 0 && fresh.search.startOffset != end-1-(c.reads-1) {
				b.Errorf("started %d records before the end, want %d", end-fresh.search.startOffset, c.reads)
			}
		})
	}
}

// A VM must apply records and answer requests while it encodes a snapshot. If it held
// the lock meanwhile, this test would hang.
func TestFollowsWhileEncodingSnapshot(t *testing.T) {
	runTestbed(t, logserver.Config{MaxRecords: 40}, func(b *testbed) {
		a := b.start("a", true)
		release := make(chan struct{})
		a.mu.Lock()
		a.config.StateMachine = slowTextMachine{a.machine, release}
		a.mu.Unlock()
		b.appendWords("one two")
		time.Sleep(90 * time.Second)
		b.appendWords("three")
		b.wantText("one two three", "a")
		close(release)
		time.Sleep(time.Second)
		testkit.Equal(t, "snapshots written", a.SnapshotsWritten(), 1)
	})
}

// Snapshots of several VMs are appended in any order. A snapshot that is appended later
// but holds an older state must not replace a newer state, as it would if the last
// snapshot in the log always won.
func TestOlderSnapshotDoesNotRevertState(t *testing.T) {
	runTestbed(t, logserver.Config{MaxRecords: 40}, func(b *testbed) {
		a := b.start("a", false)
		b.appendWords("one two")
		old := a.snapshot("old")
		b.appendWords("three four")
		fresh := a.snapshot("fresh")
		b.appendSnapshot(fresh)
		b.appendSnapshot(old)
		b.start("new", false)
		time.Sleep(time.Second)
		b.wantText("one two three four", "a", "new")
	})
}

// The log is down for longer than it keeps records. VMs that had read all of it have
// lost nothing. A VM that lost its connection before gets the missing records from a
// peer, or waits for a snapshot and restores it.
func TestOutageLongerThanRetention(t *testing.T) {
	for _, peers := range []bool{true, false} {
		runCase(t, fmt.Sprintf("peers=%v", peers), logserver.Config{MaxAge: time.Minute}, func(b *testbed) {
			b.start("a", true)
			b.start("b", false)
			lagging := b.start("lagging", false)
			b.appendWords("one")
			lagging.view.Disconnect()
			b.appendWords("two three")
			b.outage(5 * time.Minute)
			lagging.view.Heal()
			b.appendWords("four")
			time.Sleep(time.Second)
			if peers {
				b.catchUp("b", "lagging")
				time.Sleep(time.Second)
			} else {
				if lagging.text() != "one" || lagging.isFollowingLog() {
					b.Errorf("lagging applied records across the gap: %q", lagging.text())
				}
				time.Sleep(time.Minute)
			}
			b.appendWords("five")
			b.wantText("one two three four five", "a", "b", "lagging")
		})
	}
}

// The log was down for longer than it keeps records, and the newest ones had been read
// by some VMs only, or by none that still run. All VMs, including one that starts
// meanwhile, must adopt the newest of the remaining states. VMs that each went on with
// their own state would differ permanently.
func TestRecoveryAfterAllReplicasLostRecords(t *testing.T) {
	runTestbed(t, logserver.Config{MaxAge: 10 * time.Minute}, func(b *testbed) {
		for _, name := range []string{"a", "b", "c"} {
			b.start(name, name == "a")
		}
		b.appendWords("one")
		b.replicas["a"].view.Disconnect()
		b.appendWords("two")
		b.replicas["b"].view.Disconnect()
		b.replicas["c"].view.Disconnect()
		b.appendWords("three")
		b.outage(12 * time.Minute)
		for _, name := range []string{"a", "b", "c"} {
			b.replicas[name].view.Heal()
		}
		b.start("new", false)
		for i := range 60 {
			b.appendWords(fmt.Sprint("w", i))
			time.Sleep(time.Second)
		}
		b.appendWords("end")
		got := b.replicas["b"].text()
		if !strings.HasPrefix(got, "one two w") || !strings.HasSuffix(got, " end") {
			t.Errorf("the newest state was not adopted: %q", got)
		}
		b.wantText(got, "a", "b", "c", "new")
	})
}

// One VM lost records and reaches no peer, so it appends its state as a candidate. A VM
// that has read all records answers with a snapshot in the log. No VM may revert to the
// candidate, as it would if a recovery snapshot were valid as soon as it is in the log,
// and the first VM must get the records it lost.
func TestCandidateAnsweredByCurrentReplica(t *testing.T) {
	for _, writer := range []string{"current", "lost"} {
		runCase(t, "writer "+writer, logserver.Config{MaxAge: 10 * time.Minute}, func(b *testbed) {
			lost := b.start("lost", writer == "lost")
			b.start("current", writer == "current")
			b.appendWords("one")
			lost.view.Disconnect()
			b.appendWords("two three")
			b.outage(12 * time.Minute)
			lost.view.Heal()
			for i := range 40 {
				b.appendWords(fmt.Sprint("w", i))
				time.Sleep(time.Second)
				if got := b.replicas["current"].text(); !strings.HasPrefix(got, "one two three w0") {
					b.Fatalf("reverted to %q", got)
				}
			}
			b.wantText(b.replicas["current"].text(), "lost", "current")
		})
	}
}

// The VM with the newest state reaches neither the log nor its peers until the others
// have confirmed an older state. The records that only it knew are lost, but it must
// not go on with a state that differs from theirs.
func TestAheadReplicaReturnsAfterConfirmation(t *testing.T) {
	for _, absence := range []time.Duration{time.Minute, 30 * time.Minute} {
		runCase(t, absence.String(), logserver.Config{MaxAge: 10 * time.Minute}, func(b *testbed) {
			lost := b.start("lost", true)
			ahead := b.start("ahead", false)
			b.appendWords("one")
			lost.view.Disconnect()
			b.appendWords("two")
			ahead.view.Disconnect()
			b.outage(12 * time.Minute)
			lost.view.Heal()
			for i := range int(absence.Seconds()) {
				b.appendWords(fmt.Sprint("w", i))
				time.Sleep(time.Second)
			}
			ahead.view.Heal()
			time.Sleep(2 * time.Minute)
			b.appendWords("end")
			b.wantText(lost.text(), "lost", "ahead")
			if !strings.HasPrefix(lost.text(), "one w") {
				b.Errorf("no older state confirmed: %q", lost.text())
			}
		})
	}
}
