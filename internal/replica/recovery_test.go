package replica

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

var seeds = flag.Uint64("replica.seeds", 12, "schedules of TestRecoveryStatesAgree")

// Candidates and confirmations of several VMs, lost answers, restarts and exchanges
// between peers happen in random order. At every moment any two VMs that follow the log
// and have applied records up to the same offset must hold the same state, and in the
// end all VMs must follow.
func TestRecoveryStatesAgree(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			runTestbed(t, logserver.Config{MaxAge: 2 * time.Minute, Seed: seed}, func(b *testbed) { b.runRandomRecovery(seed) })
		})
	}
}

var names = []string{"a", "b", "c", "d"}

func (b *testbed) runRandomRecovery(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i, name := range names {
		b.start(name, i == 0)
	}
	states := map[platformlog.Offset]string{}
	for step := range 400 {
		v := b.replicas[names[rng.IntN(len(names))]]
		switch rng.IntN(12) {
		case 0:
			v.view.Disconnect()
		case 1, 2, 3:
			v.view.Heal()
		case 4:
			v.view.Faults().Set(faults.Settings{LoseProbability: 0.5, SlowMS: int64(rng.IntN(6000))})
		case 5:
			b.catchUp(names[rng.IntN(len(names))], names[rng.IntN(len(names))])
		case 6:
			if step%4 == 0 {
				b.outage(time.Duration(rng.IntN(160)) * time.Second)
			}
		case 7:
			if step%8 == 0 {
				name := names[rng.IntN(len(names))]
				b.replicas[name].stop()
				b.start(name, rng.IntN(2) == 0)
			}
		default:
			b.appendWords(fmt.Sprint("w", step))
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		b.checkAgreement(states)
	}
	for _, name := range names {
		b.replicas[name].view.Heal()
	}
	for i := range 240 {
		b.appendWords(fmt.Sprint("end", i))
		time.Sleep(time.Second)
		b.checkAgreement(states)
	}
	hasState := false
	for _, name := range names {
		hasState = hasState || b.replicas[name].IsBehind(0) || b.replicas[name].text() != ""
	}
	if hasState {
		b.wantText(b.replicas["a"].text(), names...)
	}
}

// checkAgreement compares each replica that follows the log with the state that any
// replica held earlier at the same offset.
func (b *testbed) checkAgreement(states map[platformlog.Offset]string) {
	b.Helper()
	for name, v := range b.replicas {
		v.View(func() {
			if !v.following {
				return
			}
			applied := v.machine.applied
			if earlier, seen := states[applied]; seen && earlier != v.machine.text {
				b.Fatalf("%s holds %q at %d, another VM held %q", name, v.machine.text, applied, earlier)
			}
			states[applied] = v.machine.text
		})
	}
}

// logScript writes a log by hand for replicas that only read it.
type logScript struct {
	*testbed
	offset platformlog.Offset
}

// appendSnapshotOf appends a snapshot of a state, as a recovery snapshot if gap is set,
// and returns the offset of its last part.
func (s *logScript) appendSnapshotOf(writer string, state textMachine, gap bool, confirms platformlog.Offset) platformlog.Offset {
	s.Helper()
	parts := testkit.Value(state.Snapshot(writer))(s)
	for i := range parts {
		parts[i].Gap, parts[i].Confirms = gap, uint64(confirms)
		s.appendPart(parts[i])
	}
	return s.offset
}

func (s *logScript) appendPart(part chunks.Chunk) {
	s.appendText(string(testkit.Value(json.Marshal(part))(s)))
}

func (s *logScript) appendText(text string) platformlog.Offset {
	s.offset = testkit.Value(s.log.Append(s.ctx, "s", []byte(text)))(s)
	return s.offset
}

// startReader starts a VM that writes no snapshots.
func (s *logScript) startReader(name string) *vm {
	v := &vm{machine: &textMachine{}, view: s.log.View(name)}
	v.Replica = New(Config{Log: v.view, Stream: "s", StateMachine: v.machine, Logger: zap.NewNop(), Writer: name})
	s.running.Go(func() { v.Run(s.ctx) })
	s.replicas[name] = v
	return v
}

// Whether a confirmation is valid depends only on the order of records in the log. A VM
// that follows the log and holds "one two" reads candidates and confirmations of VMs
// with older states.
func TestConfirmationValidity(t *testing.T) {
	one, two := textMachine{1, "one "}, textMachine{2, "one two "}
	for name, c := range map[string]struct {
		script func(*logScript)
		want   string
	}{
		"candidate alone":                {func(s *logScript) { s.appendSnapshotOf("x", one, true, 0) }, "one two end"},
		"confirmed candidate":            {func(s *logScript) { s.appendSnapshotOf("x", one, true, s.appendSnapshotOf("x", one, true, 0)) }, "one end"},
		"confirmation without candidate": {func(s *logScript) { s.appendSnapshotOf("x", one, true, s.appendText("three")) }, "one two three end"},
		"records after the candidate are kept": {func(s *logScript) {
			candidate := s.appendSnapshotOf("x", one, true, 0)
			s.appendText("three")
			s.appendSnapshotOf("x", one, true, candidate)
		}, "one three end"},
		"answered": {func(s *logScript) {
			candidate := s.appendSnapshotOf("x", one, true, 0)
			s.appendSnapshotOf("a", textMachine{candidate, "one two "}, false, 0)
			s.appendSnapshotOf("x", one, true, candidate)
		}, "one two end"},
		"answered by an older snapshot": {func(s *logScript) {
			candidate := s.appendSnapshotOf("x", one, true, 0)
			s.appendSnapshotOf("a", two, false, 0)
			s.appendSnapshotOf("x", one, true, candidate)
		}, "one end"},
		"first of two confirmations": {func(s *logScript) {
			candidate1 := s.appendSnapshotOf("x", one, true, 0)
			candidate2 := s.appendSnapshotOf("y", textMachine{}, true, 0)
			s.appendSnapshotOf("x", one, true, candidate1)
			s.appendSnapshotOf("y", textMachine{}, true, candidate2)
		}, "one end"},
		"torn confirmation": {func(s *logScript) {
			candidate := s.appendSnapshotOf("x", one, true, 0)
			parts, _ := one.Snapshot("x")
			parts[0].Gap, parts[0].Confirms = true, uint64(candidate)
			s.appendPart(parts[0])
		}, "one two end"},
		"too long after its candidate": {func(s *logScript) {
			candidate := s.appendSnapshotOf("x", one, true, 0)
			for range maxConfirmationSpan {
				s.appendText("")
			}
			s.appendSnapshotOf("x", one, true, candidate)
		}, "one two end"},
	} {
		runCase(t, name, logserver.Config{}, func(b *testbed) {
			s := &logScript{testbed: b}
			v := s.startReader("a")
			s.appendText("one")
			s.appendText("two")
			c.script(s)
			s.appendText("end")
			time.Sleep(time.Second)
			if got := strings.Join(strings.Fields(v.text()), " "); got != c.want || !v.isFollowingLog() {
				b.Errorf("holds %q (following: %v), want %q", got, v.isFollowingLog(), c.want)
			}
		})
	}
}

// A VM that restored a peer's snapshot has not read the candidate. It can't tell whether
// the confirmation is valid, so it must not go on with a state that the others may have
// given up. Further records don't change that; only a later snapshot does.
func TestConfirmationOfUnseenCandidate(t *testing.T) {
	runTestbed(t, logserver.Config{}, func(b *testbed) {
		s := &logScript{testbed: b}
		confirmer, skipped := s.startReader("confirmer"), s.startReader("skipped")
		s.appendText("one")
		time.Sleep(time.Second)
		skipped.view.Disconnect()
		s.appendText("two")
		candidate := s.appendSnapshotOf("x", textMachine{1, "one "}, true, 0)
		time.Sleep(time.Second)
		parts := confirmer.snapshot("confirmer")
		snapshot, _ := confirmer.encodeParts(parts)
		skipped.ApplyPeerRecords(nil, snapshot)
		confirmation := s.appendSnapshotOf("x", textMachine{1, "one "}, true, candidate)
		skipped.view.Heal()
		time.Sleep(time.Second)
		s.appendText("three")
		time.Sleep(time.Second)
		b.catchUp("confirmer", "skipped")
		if skipped.isFollowingLog() {
			t.Errorf("still follows with state %q", skipped.text())
		}
		s.appendSnapshotOf("confirmer", textMachine{confirmation + 1, "one three "}, false, 0)
		time.Sleep(time.Second)
		b.wantText("one three", "confirmer", "skipped")
	})
}

// A VM starts between the candidate and its confirmation. A delayed answer to the
// candidate is appended after the confirmation; the VM must not restore it, because
// that state has been given up.
func TestSnapshotOlderThanConfirmation(t *testing.T) {
	runTestbed(t, logserver.Config{MaxAge: time.Minute}, func(b *testbed) {
		s := &logScript{testbed: b}
		s.appendText("one")
		s.appendText("two")
		candidate := s.appendSnapshotOf("x", textMachine{1, "one "}, true, 0)
		time.Sleep(2 * time.Minute)
		three := s.appendText("three")
		fresh := s.startReader("new")
		s.appendSnapshotOf("x", textMachine{1, "one "}, true, candidate)
		s.appendSnapshotOf("a", textMachine{three, "one two three "}, false, 0)
		time.Sleep(time.Second)
		if fresh.isReady() {
			t.Errorf("restored %q from an outdated snapshot", fresh.text())
		}
		end := s.appendText("end")
		s.appendSnapshotOf("b", textMachine{end, "one three end "}, false, 0)
		time.Sleep(time.Second)
		b.wantText("one three end", "new")
	})
}

// A new VM starts near the end and reads a delayed snapshot that leaves out records
// before the first one it has seen. Searching further back, it reads a confirmation from
// before that snapshot. If it still remembered the snapshot it would treat the
// confirmation as answered, skip it, and hold a different state permanently.
func TestExtendedSearchFindsConfirmation(t *testing.T) {
	runTestbed(t, logserver.Config{}, func(b *testbed) {
		s := &logScript{testbed: b}
		s.appendText("one")
		s.appendText("two")
		candidate := s.appendSnapshotOf("x", textMachine{1, "one "}, true, 0)
		confirmation := s.appendSnapshotOf("x", textMachine{1, "one "}, true, candidate)
		later := strings.Repeat("n ", 20)
		b.appendWords(later)
		s.appendSnapshotOf("a", textMachine{confirmation, "one "}, false, 0)
		b.start("new", false)
		time.Sleep(time.Second)
		b.wantText("one "+strings.TrimSpace(later), "new")
	})
}
