package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

// A VM without a connection to the log follows the stream through a peer, by records
// or, if it is too far behind, by a snapshot. When the connection is back, it goes on
// from the log without repeated or missing records.
func TestReplicaFollowsThroughPeer(t *testing.T) {
	for _, records := range []int{5, maxRingRecords + 10} {
		runCase(t, fmt.Sprint(records), logserver.Config{}, func(b *testbed) {
			b.start("a", false)
			cut := b.start("cut", false)
			b.appendWords("one")
			cut.view.Disconnect()
			b.appendWords(strings.Repeat("x ", records))
			for range 3 {
				b.catchUp("a", "cut")
			}
			b.wantText(b.replicas["a"].text(), "cut")
			b.appendWords("two")
			b.catchUp("a", "cut")
			b.appendWords("three")
			cut.view.Heal()
			time.Sleep(time.Second)
			b.wantText("one "+strings.Repeat("x ", records)+"two three", "a", "cut")
		})
	}
}

// A VM without a connection to the log asks a peer that has itself lost records. The
// peer may only return what it read from the log, never its own state, which lacks
// records.
func TestPeerThatLostRecordsSendsNoState(t *testing.T) {
	runTestbed(t, logserver.Config{MaxAge: time.Minute}, func(b *testbed) {
		cut, peer := b.start("cut", false), b.start("peer", false)
		b.appendWords("one")
		cut.view.Disconnect()
		peer.view.Disconnect()
		b.appendWords("two")
		b.outage(12 * time.Minute)
		peer.view.Heal()
		b.appendWords("three")
		time.Sleep(time.Second)
		b.catchUp("peer", "cut")
		if cut.text() != "one" || peer.text() != "one" {
			t.Errorf("applied records across the gap: %q, %q", cut.text(), peer.text())
		}
	})
}

// A peer's snapshot is older than the oldest record in the log. After restoring it, the
// VM must not apply the records that it reads from the log at that moment, since those
// in between are missing.
func TestPeerSnapshotOlderThanEarliestRecord(t *testing.T) {
	runTestbed(t, logserver.Config{MaxAge: time.Minute}, func(b *testbed) {
		a := b.start("a", false)
		b.appendWords("one two")
		outdated := a.snapshot("a")
		b.appendWords("three four")
		b.outage(12 * time.Minute)
		fresh := b.start("new", false)
		time.Sleep(time.Second)
		var data [][]byte
		for _, part := range outdated {
			d, _ := json.Marshal(part)
			data = append(data, d)
		}
		fresh.ApplyPeerRecords(nil, data)
		b.appendWords("five")
		time.Sleep(time.Second)
		testkit.Equal(t, "text", fresh.text(), "one two")
		b.catchUp("a", "new")
		b.wantText(a.text(), "new")
	})
}

// The log accepts reads but does not answer. The VM follows through a peer meanwhile,
// notices within one read that the log is back, and does not report the log as reached
// while it hangs.
func TestFollowsThroughPeerWhileLogHangs(t *testing.T) {
	runTestbed(t, logserver.Config{}, func(b *testbed) {
		b.start("a", false)
		hung := b.start("hung", false)
		b.appendWords("one")
		hung.view.Faults().Set(faults.Settings{SlowMS: time.Hour.Milliseconds()})
		time.Sleep(10 * time.Second)
		hungSince := time.Now()
		b.appendWords("two")
		b.catchUp("a", "hung")
		b.wantText("one two", "hung")
		if _, _, reachedAt := hung.Position(); reachedAt.After(hungSince) {
			t.Error("a log that hangs is reported as reached")
		}
		hung.view.Heal()
		b.appendWords("three")
		time.Sleep(readPollTimeout + 2*readGrace)
		b.wantText("one two three", "hung")
	})
}

// A snapshot must be in the log before the records that it covers expire, so that a VM
// that starts later finds a state: at a low and a high rate of records, without any
// records, with two snapshot writers at the same time, with a writer that can't reach
// the log, and with VMs that are all replaced before a snapshot is due by their own
// clocks.
func TestSnapshotBeforeRetentionEnds(t *testing.T) {
	const retention = 3 * time.Minute
	for name, rate := range map[string]time.Duration{"low": 30 * time.Second, "high": 50 * time.Millisecond, "none": time.Hour} {
		for _, fault := range []string{"", "two write", "writer cut off", "replaced"} {
			runCase(t, name+" "+fault, logserver.Config{MaxAge: retention, MaxRecords: 800}, func(b *testbed) {
				writer := b.start("a", true)
				b.start("b", fault == "two write")
				b.appendWords("one")
				if fault == "writer cut off" {
					writer.view.Disconnect()
				}
				for start, i := time.Now(), 1; time.Since(start) < 2*retention; i++ {
					time.Sleep(min(rate, 30*time.Second))
					if rate < retention {
						b.appendWords("x")
					}
					if fault == "replaced" && time.Since(start) > time.Duration(i)*40*time.Second {
						b.replicas["b"].stop()
						b.start("b", true)
						time.Sleep(time.Second)
						b.replicas["a"].stop()
						b.start("a", false)
					}
				}
				b.start("new", false)
				time.Sleep(5 * time.Second)
				if got := b.replicas["new"].text(); !strings.HasPrefix(got, "one") {
					b.Errorf("new VM holds %.40q", got)
				}
			})
		}
	}
}

// faultyFollower follows the log without the safeguards of Replica: it may skip expired
// records and restore each complete snapshot as it reads it.
type faultyFollower struct {
	machine                      textMachine
	skipsExpired, restoresNewest bool
	from                         platformlog.Offset
	collector                    chunks.Collector
}

func (f *faultyFollower) read(log platformlog.Log) {
	batch, err := log.Read(context.Background(), "s", f.from, maxReadRecords, 0)
	if errors.Is(err, platformlog.ErrTrimmed) && f.skipsExpired {
		f.from = batch.Earliest
		f.read(log)
		return
	}
	for _, record := range batch.Records {
		f.from = record.Offset + 1
		f.machine.Apply(record)
		if part := f.machine.DecodePart(record); part != nil && f.collector.Add(*part) && f.restoresNewest {
			_ = f.machine.Restore(f.collector.RemoveNewest())
		}
	}
}

// The scenarios of these tests break faulty followers: one that skips expired records
// holds "three" without "two", and one that restores each snapshot it reads reverts from
// "three" to "one".
func TestFaultyFollowersDiverge(t *testing.T) {
	runTestbed(t, logserver.Config{MaxAge: time.Minute}, func(b *testbed) {
		skipping := &faultyFollower{skipsExpired: true, from: 1}
		b.appendWords("one")
		skipping.read(b.log)
		b.appendWords("two")
		b.outage(12 * time.Minute)
		b.appendWords("three")
		skipping.read(b.log)
		testkit.Equal(t, "follower that skips expired records", skipping.machine.text, "one three ")
		reverting := &faultyFollower{restoresNewest: true, from: 4}
		old := textMachine{applied: 1, text: "one "}
		parts, _ := old.Snapshot("old")
		reverting.machine = textMachine{applied: 3, text: "one two three "}
		b.appendSnapshot(parts)
		reverting.read(b.log)
		testkit.Equal(t, "follower that restores the newest snapshot", reverting.machine.text, "one ")
	})
}
