package quarantine_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotreel/admission/quarantine"
	_ "bergamotreel/internal/fixedseed"
	"bergamotreel/internal/testkit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const culprit quarantine.Fingerprint = 1

func isRefused(table *quarantine.Table, now time.Time, request quarantine.Fingerprint) bool {
	_, refused := table.RefusedFor(now, request)
	return refused
}

// Guards against refusing requests that only ran beside the one at fault.
func TestOnlyTheCommonRequestIsRefused(t *testing.T) {
	table := quarantine.NewTable(quarantine.Config{})
	var refused []quarantine.Fingerprint
	for end := range 3 {
		running := []quarantine.Fingerprint{culprit}
		for i := range 20 {
			running = append(running, quarantine.Fingerprint(100+20*end+i))
		}
		refused = append(refused, table.RecordCrash(start, fmt.Sprint("e", end), running)...)
	}
	testkit.That(t, slices.Equal(refused, []quarantine.Fingerprint{culprit}), "refused: %v", refused)
	testkit.That(t, isRefused(table, start, culprit) && !isRefused(table, start, 100), "the verdicts differ from what was returned")
}

// Guards against counting one end as several: each VM whose requests ran there reports it.
func TestOneEndCountsOnce(t *testing.T) {
	table := quarantine.NewTable(quarantine.Config{})
	for range 5 {
		table.RecordCrash(start, "e1", []quarantine.Fingerprint{culprit})
	}
	testkit.That(t, !isRefused(table, start, culprit), "refused after one end")
}

// Guards against refusing a popular request that is running whenever something ends.
func TestAnAnswerClears(t *testing.T) {
	table := quarantine.NewTable(quarantine.Config{})
	table.RecordCrash(start, "e1", []quarantine.Fingerprint{culprit})
	testkit.That(t, table.RecordSuccess(start, culprit), "not cleared")
	testkit.That(t, !table.RecordSuccess(start, 7), "cleared without suspicion")
	for end := range 5 {
		table.RecordCrash(start, fmt.Sprint("f", end), []quarantine.Fingerprint{culprit})
	}
	testkit.That(t, !isRefused(table, start, culprit), "refused though it was answered")
	other := quarantine.NewTable(quarantine.Config{})
	for end := range 3 {
		other.RecordCrash(start, fmt.Sprint("g", end), []quarantine.Fingerprint{culprit})
	}
	entries, _ := table.ChangedSince(start, 0, 10)
	other.Merge(start, entries)
	testkit.That(t, !isRefused(other, start, culprit), "an answer elsewhere does not clear")
}

// Guards against a refusal for good, and against one that ends while the request comes on.
func TestRefusalEnds(t *testing.T) {
	table := quarantine.NewTable(quarantine.Config{SuspectTTL: time.Minute})
	for end := range 3 {
		table.RecordCrash(start.Add(time.Duration(end)*20*time.Second), fmt.Sprint("e", end), []quarantine.Fingerprint{culprit})
	}
	last := start.Add(40 * time.Second)
	left, refused := table.RefusedFor(last.Add(10*time.Second), culprit)
	testkit.That(t, refused && left == 50*time.Second, "refused %v for %s", refused, left)
	testkit.That(t, !isRefused(table, last.Add(time.Minute), culprit), "refused for longer than it is remembered")
	table.Expire(last.Add(time.Minute))
	testkit.Equal(t, "suspects remembered", table.Len(), 0)
}

// Guards against a flood of ends that takes all memory, or that drops what is refused.
func TestMemoryIsBounded(t *testing.T) {
	table := quarantine.NewTable(quarantine.Config{MaxSuspects: 100})
	for end := range 3 {
		table.RecordCrash(start, fmt.Sprint("e", end), []quarantine.Fingerprint{culprit})
	}
	for i := range 1000 {
		table.RecordCrash(start.Add(time.Duration(i)), fmt.Sprint("f", i), []quarantine.Fingerprint{quarantine.Fingerprint(1000 + i)})
	}
	testkit.Equal(t, "suspects remembered", table.Len(), 100)
	testkit.That(t, isRefused(table, start, culprit), "dropped for newer suspects")
}

// Guards against VMs that disagree because messages were lost, repeated or overtook each
// other: once each has what the others know, all give the same verdicts.
func TestMergedTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*quarantine.Table{quarantine.NewTable(quarantine.Config{}), quarantine.NewTable(quarantine.Config{}), quarantine.NewTable(quarantine.Config{})}
		seen := map[[2]int]uint64{}
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		exchange := func(from, to int, lost bool, most int) {
			entries, next := tables[from].ChangedSince(start, seen[[2]int{from, to}], most)
			if lost {
				return
			}
			random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
			tables[to].Merge(start, entries)
			seen[[2]int{from, to}] = next
		}
		type fact struct {
			backends map[int]bool
			cleared  bool
		}
		facts := map[quarantine.Fingerprint]*fact{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm, request := random.Intn(3), quarantine.Fingerprint(random.Intn(4))
			f := facts[request]
			if f == nil {
				f = &fact{backends: map[int]bool{}}
				facts[request] = f
			}
			switch backend := random.Intn(5); random.Intn(8) {
			case 0:
				f.cleared = tables[vm].RecordSuccess(start, request) || f.cleared
			case 1, 2, 3:
				f.backends[backend] = true
				tables[vm].RecordCrash(start, fmt.Sprint("e", backend), []quarantine.Fingerprint{request})
			default:
				exchange(vm, random.Intn(3), random.Intn(3) == 0, 1+random.Intn(3))
			}
		}
		for range 12 {
			for from := range tables {
				for to := range tables {
					exchange(from, to, false, 3)
				}
			}
		}
		for request, f := range facts {
			want := !f.cleared && len(f.backends) >= 3
			for vm, table := range tables {
				if isRefused(table, start, request) != want {
					t.Fatalf("VM %d: refused %v, want %v for %+v", vm, !want, want, *f)
				}
			}
		}
	})
}
