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

var seeds = flag.Uint64("replica.seeds", 12, "schedules of TestRulingsAgree")

// Bids and rulings of several VMs, lost answers, VMs that die in between and
// peers that help now and then come in random order. Whatever happens, two VMs
// that follow and stand at one offset hold the same state, at every moment, and
// in the end all follow.
func TestRulingsAgree(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			run(t, logserver.Config{MaxAge: 2 * time.Minute, Seed: seed}, func(b *bed) { b.rulings(seed) })
		})
	}
}

var names = []string{"a", "b", "c", "d"}

func (b *bed) rulings(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i, name := range names {
		b.start(name, i == 0)
	}
	known := map[platformlog.Offset]string{}
	for step := range 400 {
		v := b.replicas[names[rng.IntN(len(names))]]
		switch rng.IntN(12) {
		case 0:
			v.view.Cut()
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
			b.say(fmt.Sprint("w", step))
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		b.agree(known)
	}
	for _, name := range names {
		b.replicas[name].view.Heal()
	}
	for i := range 240 {
		b.say(fmt.Sprint("end", i))
		time.Sleep(time.Second)
		b.agree(known)
	}
	everything := false
	for _, name := range names {
		everything = everything || b.replicas[name].IsBehind(0) || b.replicas[name].words() != ""
	}
	if everything {
		b.want(b.replicas["a"].words(), names...)
	}
}

// agree checks the followers against what was seen at the same offset before.
func (b *bed) agree(known map[platformlog.Offset]string) {
	b.Helper()
	for name, v := range b.replicas {
		v.View(func() {
			if !v.following {
				return
			}
			at := v.fold.applied
			if earlier, seen := known[at]; seen && earlier != v.fold.text {
				b.Fatalf("%s holds %q at %d, another held %q", name, v.fold.text, at, earlier)
			}
			known[at] = v.fold.text
		})
	}
}

// script is a log written by hand, with VMs that only read.
type script struct {
	*bed
	offset platformlog.Offset
}

// put appends a snapshot of a state, marked or not, and returns the offset of its
// last part.
func (s *script) put(writer string, state words, gap bool, confirms platformlog.Offset) platformlog.Offset {
	s.Helper()
	parts := testkit.Value(state.Snapshot(writer))(s)
	for i := range parts {
		parts[i].Gap, parts[i].Confirms = gap, uint64(confirms)
		s.part(parts[i])
	}
	return s.offset
}

func (s *script) part(part chunks.Chunk) {
	s.write(string(testkit.Value(json.Marshal(part))(s)))
}

func (s *script) write(text string) platformlog.Offset {
	s.offset = testkit.Value(s.log.Append(s.ctx, "s", []byte(text)))(s)
	return s.offset
}

// reader starts a VM that writes no snapshots.
func (s *script) reader(name string) *vm {
	v := &vm{fold: &words{}, view: s.log.View(name)}
	v.Replica = New(Config{Log: v.view, Stream: "s", StateMachine: v.fold, Logger: zap.NewNop(), Writer: name})
	s.running.Go(func() { v.Run(s.ctx) })
	s.replicas[name] = v
	return v
}

// What counts is decided by the order in the log alone. A VM that follows and
// knows "one two" reads the bids and rulings of VMs that know less.
func TestWhichRulingCounts(t *testing.T) {
	one, two := words{1, "one "}, words{2, "one two "}
	for name, c := range map[string]struct {
		script func(*script)
		want   string
	}{
		"bid alone":      {func(s *script) { s.put("x", one, true, 0) }, "one two end"},
		"ruling":         {func(s *script) { s.put("x", one, true, s.put("x", one, true, 0)) }, "one end"},
		"ruling, no bid": {func(s *script) { s.put("x", one, true, s.write("three")) }, "one two three end"},
		"words after the bid stay": {func(s *script) {
			bid := s.put("x", one, true, 0)
			s.write("three")
			s.put("x", one, true, bid)
		}, "one three end"},
		"answered": {func(s *script) {
			bid := s.put("x", one, true, 0)
			s.put("a", words{bid, "one two "}, false, 0)
			s.put("x", one, true, bid)
		}, "one two end"},
		"answered by an older snapshot": {func(s *script) {
			bid := s.put("x", one, true, 0)
			s.put("a", two, false, 0)
			s.put("x", one, true, bid)
		}, "one end"},
		"of two rulings the first": {func(s *script) {
			bid1 := s.put("x", one, true, 0)
			bid2 := s.put("y", words{}, true, 0)
			s.put("x", one, true, bid1)
			s.put("y", words{}, true, bid2)
		}, "one end"},
		"torn ruling": {func(s *script) {
			bid := s.put("x", one, true, 0)
			parts, _ := one.Snapshot("x")
			parts[0].Gap, parts[0].Confirms = true, uint64(bid)
			s.part(parts[0])
		}, "one two end"},
		"too long after its bid": {func(s *script) {
			bid := s.put("x", one, true, 0)
			for range rulingSpan {
				s.write("")
			}
			s.put("x", one, true, bid)
		}, "one two end"},
	} {
		runCase(t, name, logserver.Config{}, func(b *bed) {
			s := &script{bed: b}
			v := s.reader("a")
			s.write("one")
			s.write("two")
			c.script(s)
			s.write("end")
			time.Sleep(time.Second)
			if got := strings.Join(strings.Fields(v.words()), " "); got != c.want || !v.follows() {
				b.Errorf("knows %q (following: %v), want %q", got, v.follows(), c.want)
			}
		})
	}
}

// A VM that came to its state by a peer's snapshot has not met the bid. It can't
// tell whether the ruling counts, and must not go on by a state that the others
// may have given up; no record makes it whole, only a later snapshot does.
func TestVMThatDidNotMeetTheBid(t *testing.T) {
	run(t, logserver.Config{}, func(b *bed) {
		s := &script{bed: b}
		ruler, jumped := s.reader("ruler"), s.reader("jumped")
		s.write("one")
		time.Sleep(time.Second)
		jumped.view.Cut()
		s.write("two")
		bid := s.put("x", words{1, "one "}, true, 0)
		time.Sleep(time.Second)
		parts := ruler.snapshot("ruler")
		snapshot, _ := ruler.encode(parts)
		jumped.ApplyPeerRecords(nil, snapshot)
		ruling := s.put("x", words{1, "one "}, true, bid)
		jumped.view.Heal()
		time.Sleep(time.Second)
		s.write("three")
		time.Sleep(time.Second)
		b.catchUp("ruler", "jumped")
		if jumped.follows() {
			t.Errorf("goes on with %q", jumped.words())
		}
		s.put("ruler", words{ruling + 1, "one three "}, false, 0)
		time.Sleep(time.Second)
		b.want("one three", "ruler", "jumped")
	})
}

// A VM starts between the bid and the ruling. The answer to the bid was on its
// way for long and lands behind the ruling: that state has been given up.
func TestSnapshotFromBeforeTheRuling(t *testing.T) {
	run(t, logserver.Config{MaxAge: time.Minute}, func(b *bed) {
		s := &script{bed: b}
		s.write("one")
		s.write("two")
		bid := s.put("x", words{1, "one "}, true, 0)
		time.Sleep(2 * time.Minute)
		three := s.write("three")
		fresh := s.reader("new")
		s.put("x", words{1, "one "}, true, bid)
		s.put("a", words{three, "one two three "}, false, 0)
		time.Sleep(time.Second)
		if fresh.isReady() {
			t.Errorf("took %q", fresh.words())
		}
		end := s.write("end")
		s.put("b", words{end, "one three end "}, false, 0)
		time.Sleep(time.Second)
		b.want("one three end", "new")
	})
}

// A new VM begins near the end and meets a snapshot that was on its way for so long
// that it leaves out records before the first one met. Looking further back it
// meets a ruling from before that snapshot. Had it kept the snapshot in mind it would
// take the ruling for answered and pass it over, and hold another state for good.
func TestLookingBackMeetsARuling(t *testing.T) {
	run(t, logserver.Config{}, func(b *bed) {
		s := &script{bed: b}
		s.write("one")
		s.write("two")
		bid := s.put("x", words{1, "one "}, true, 0)
		ruling := s.put("x", words{1, "one "}, true, bid)
		rest := strings.Repeat("n ", 20)
		b.say(rest)
		s.put("a", words{ruling, "one "}, false, 0)
		b.start("new", false)
		time.Sleep(time.Second)
		b.want("one "+strings.TrimSpace(rest), "new")
	})
}
