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

// A VM is cut off from the log and follows through a peer, by records or, when
// it is too far behind for those, by a snapshot. Then the log is back: it goes
// on there without a repeat or a hole.
func TestFollowsThroughAPeer(t *testing.T) {
	for _, records := range []int{5, ringRecords + 10} {
		runCase(t, fmt.Sprint(records), logserver.Config{}, func(b *bed) {
			b.start("a", false)
			cut := b.start("cut", false)
			b.say("one")
			cut.view.Cut()
			b.say(strings.Repeat("x ", records))
			for range 3 {
				b.catchUp("a", "cut")
			}
			b.want(b.replicas["a"].words(), "cut")
			b.say("two")
			b.catchUp("a", "cut")
			b.say("three")
			cut.view.Heal()
			time.Sleep(time.Second)
			b.want("one "+strings.Repeat("x ", records)+"two three", "a", "cut")
		})
	}
}

// The peer that a cut-off VM asks has itself lost records. It gives only what
// the log gave it, or nothing: never its own state with a hole in it.
func TestPeerThatDoesNotFollow(t *testing.T) {
	run(t, logserver.Config{MaxAge: time.Minute}, func(b *bed) {
		cut, peer := b.start("cut", false), b.start("peer", false)
		b.say("one")
		cut.view.Cut()
		peer.view.Cut()
		b.say("two")
		b.outage(12 * time.Minute)
		peer.view.Heal()
		b.say("three")
		time.Sleep(time.Second)
		b.catchUp("peer", "cut")
		if cut.words() != "one" || peer.words() != "one" {
			t.Errorf("folded across the hole: %q, %q", cut.words(), peer.words())
		}
	})
}

// A peer's snapshot comes while the records before the oldest one in the log
// are lost, and reaches less far than those: the VM must not go on behind the
// hole with what it reads from the log at that moment.
func TestPeersSnapshotThatDoesNotReachTheLog(t *testing.T) {
	run(t, logserver.Config{MaxAge: time.Minute}, func(b *bed) {
		a := b.start("a", false)
		b.say("one two")
		behind := a.snapshot("a")
		b.say("three four")
		b.outage(12 * time.Minute)
		fresh := b.start("new", false)
		time.Sleep(time.Second)
		var data [][]byte
		for _, part := range behind {
			d, _ := json.Marshal(part)
			data = append(data, d)
		}
		fresh.ApplyPeerRecords(nil, data)
		b.say("five")
		time.Sleep(time.Second)
		testkit.Equal(t, "knows", fresh.words(), "one two")
		b.catchUp("a", "new")
		b.want(a.words(), "new")
	})
}

// The log hangs: it takes reads and does not answer. The VM goes on through a
// peer meanwhile, notices the log's return within a read, and says when the log
// last answered.
func TestHangingLog(t *testing.T) {
	run(t, logserver.Config{}, func(b *bed) {
		b.start("a", false)
		hung := b.start("hung", false)
		b.say("one")
		hung.view.Faults().Set(faults.Settings{SlowMS: time.Hour.Milliseconds()})
		time.Sleep(10 * time.Second)
		since := time.Now()
		b.say("two")
		b.catchUp("a", "hung")
		b.want("one two", "hung")
		if _, _, reachedAt := hung.Position(); reachedAt.After(since) {
			t.Error("a log that hangs counts as reached")
		}
		hung.view.Heal()
		b.say("three")
		time.Sleep(readWait + 2*readGrace)
		b.want("one two three", "hung")
	})
}

// A snapshot must be in the log before the records under it expire, whoever is
// chosen to write it: at a low and a high rate of records, with no record at
// all, with two VMs that write at once, with a chosen one that cannot reach the
// log, and with VMs that are all replaced before a snapshot is due by their own
// clocks. A VM that starts later must find a state each time.
func TestSnapshotBeforeRetentionEnds(t *testing.T) {
	const retention = 3 * time.Minute
	for name, rate := range map[string]time.Duration{"low": 30 * time.Second, "high": 50 * time.Millisecond, "none": time.Hour} {
		for _, fault := range []string{"", "two write", "chosen cut off", "replaced"} {
			runCase(t, name+" "+fault, logserver.Config{MaxAge: retention, MaxRecords: 800}, func(b *bed) {
				chosen := b.start("a", true)
				b.start("b", fault == "two write")
				b.say("one")
				if fault == "chosen cut off" {
					chosen.view.Cut()
				}
				for begun, i := time.Now(), 1; time.Since(begun) < 2*retention; i++ {
					time.Sleep(min(rate, 30*time.Second))
					if rate < retention {
						b.say("x")
					}
					if fault == "replaced" && time.Since(begun) > time.Duration(i)*40*time.Second {
						b.replicas["b"].stop()
						b.start("b", true)
						time.Sleep(time.Second)
						b.replicas["a"].stop()
						b.start("a", false)
					}
				}
				b.start("new", false)
				time.Sleep(5 * time.Second)
				if got := b.replicas["new"].words(); !strings.HasPrefix(got, "one") {
					b.Errorf("new VM knows %.40q", got)
				}
			})
		}
	}
}

// naive is a follower without the safeguards: it skips a hole, and takes each
// whole snapshot as it lands.
type naive struct {
	fold                  words
	skipsGap, newestLands bool
	from                  platformlog.Offset
	collector             chunks.Collector
}

func (n *naive) read(log platformlog.Log) {
	batch, err := log.Read(context.Background(), "s", n.from, readMax, 0)
	if errors.Is(err, platformlog.ErrTrimmed) && n.skipsGap {
		n.from = batch.Earliest
		n.read(log)
		return
	}
	for _, record := range batch.Records {
		n.from = record.Offset + 1
		n.fold.Apply(record)
		if part := n.fold.DecodePart(record); part != nil && n.collector.Add(*part) && n.newestLands {
			_ = n.fold.Restore(n.collector.Take())
		}
	}
}

// The naive twins fail where the replica does not: one that skips the gap knows
// of "three" without "two", one that takes the newest landed snapshot goes back
// from "two" to "one".
func TestNaiveTwinsFail(t *testing.T) {
	run(t, logserver.Config{MaxAge: time.Minute}, func(b *bed) {
		skips := &naive{skipsGap: true, from: 1}
		b.say("one")
		skips.read(b.log)
		b.say("two")
		b.outage(12 * time.Minute)
		b.say("three")
		skips.read(b.log)
		testkit.Equal(t, "the twin that skips the gap holds", skips.fold.text, "one three ")
		lands := &naive{newestLands: true, from: 4}
		old := words{applied: 1, text: "one "}
		parts, _ := old.Snapshot("old")
		lands.fold = words{applied: 3, text: "one two three "}
		b.land(parts)
		lands.read(b.log)
		testkit.Equal(t, "the twin that takes the newest landed holds", lands.fold.text, "one ")
	})
}
