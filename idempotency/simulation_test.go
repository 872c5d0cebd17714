package idempotency_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotreel/idempotency"
	"bergamotreel/internal/testkit"
)

var worlds = flag.Int("worlds", 2000, "schedules of TestBookingsRunOnce")

// policy is when an entry VM dispatches a call that may not be repeated.
type dispatchPolicy string

const (
	// onFold is ours: once the own claim is folded as the first one.
	onApply dispatchPolicy = "on fold"
	// onMemory is naive: unless this VM itself remembers the key.
	onMemory dispatchPolicy = "on memory"
	// onAppend is naive: as soon as the claim's append was answered.
	onAppend dispatchPolicy = "on append"
)

// desk is a small system: callers that send one booking again and again to any
// entry VM, VMs that fold with a lag, die and are replaced, and appends that
// land late or twice.
type simulation struct {
	rand       *rand.Rand
	policy     dispatchPolicy
	log        [][]byte
	delayed    [][]byte
	vms        []*entryVM
	startedVMs int
	// ran counts what really ran, by key.
	ran map[string]int
}

// clerk is one entry VM.
type entryVM struct {
	name     string
	sequence uint64
	table    *idempotency.Table
	// waiting are claims whose caller still waits, given up those whose caller
	// was told "not run"; the value is the key.
	waiting, givenUp map[uint64]string
	remembered       map[string]bool
}

func (s *simulation) start() *entryVM {
	s.startedVMs++
	return &entryVM{name: fmt.Sprint("vm", s.startedVMs), table: idempotency.NewTable(),
		waiting: map[uint64]string{}, givenUp: map[uint64]string{}, remembered: map[string]bool{}}
}

func (s *simulation) append(e idempotency.Entry) (answered bool) {
	data := testkit.Must(idempotency.Encode(idempotency.Record{Entries: []idempotency.Entry{e}}))
	fate := s.rand.IntN(6)
	if fate > 0 {
		s.log = append(s.log, data)
	}
	if fate < 2 {
		s.delayed = append(s.delayed, data)
	}
	return fate > 1
}

func (s *simulation) step() {
	i := s.rand.IntN(len(s.vms))
	v := s.vms[i]
	switch s.rand.IntN(8) {
	case 0, 1:
		v.book(s, fmt.Sprint("booking", s.rand.IntN(2)))
	case 2:
		for sequence, key := range v.waiting {
			delete(v.waiting, sequence)
			v.givenUp[sequence] = key
		}
	case 3:
		if len(s.delayed) > 0 {
			i := s.rand.IntN(len(s.delayed))
			s.log = append(s.log, s.delayed[i])
			s.delayed = slices.Delete(s.delayed, i, i+1)
		}
	case 4:
		if s.rand.IntN(4) == 0 {
			s.vms[i] = s.start()
		}
	default:
		v.applyLog(s)
	}
}

// book takes in a caller's request.
func (v *entryVM) book(s *simulation, key string) {
	if s.policy == onMemory {
		if !v.remembered[key] {
			v.remembered[key] = true
			s.ran[key]++
		}
		return
	}
	if v.table.HolderOf(idempotency.KeyOf("hire", key)) != nil {
		return
	}
	v.sequence++
	v.waiting[v.sequence] = key
	answered := s.append(claimOf(v.name, v.sequence, idempotency.KeyOf("hire", key)))
	if answered && s.policy == onAppend {
		s.ran[key]++
	}
}

// fold reads the log and acts on the own claims that it meets.
func (v *entryVM) applyLog(s *simulation) {
	for v.table.Applied() < uint64(len(s.log)) {
		next := v.table.Applied()
		for _, r := range v.table.Apply(next+1, time.UnixMilli(int64(next)), s.log[next]) {
			if r.ID.Claimer == v.name && r.Verdict == idempotency.VerdictApplied && r.Holder != nil && !r.Duplicate {
				v.handleClaim(s, r)
			}
		}
	}
}

// claimed dispatches, or releases a claim whose caller was told "not run".
func (v *entryVM) handleClaim(s *simulation, r idempotency.Result) {
	key, waits := v.waiting[r.ID.Sequence]
	delete(v.waiting, r.ID.Sequence)
	if s.policy == onApply && waits {
		s.ran[key]++
		s.append(idempotency.Entry{Outcome: &idempotency.Outcome{Key: r.Key, ClaimRevision: r.Revision, Answer: idempotency.MakeAnswer(201, nil, nil)}})
		return
	}
	s.append(idempotency.Entry{Release: &idempotency.Release{Key: r.Key, ClaimRevision: r.Revision, ID: r.ID}})
}

// runDesk returns how many bookings ran, and whether one ran twice.
func runSimulation(seed uint64, p dispatchPolicy) (ran int, twice bool) {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 2)), policy: p, ran: map[string]int{}}
	for range 3 {
		s.vms = append(s.vms, s.start())
	}
	for range 120 {
		s.step()
	}
	for _, n := range s.ran {
		ran += n
		twice = twice || n > 1
	}
	return ran, twice
}

// TestBookingsRunOnce: a clerk sends a booking again, to any entry VM, because
// the answer is late or the VM died; claims land late, twice, or after their
// caller was told "not run" and are then released. The booking runs at most once.
func TestBookingsRunOnce(t *testing.T) {
	total := 0
	for seed := range uint64(*worlds) {
		ran, twice := runSimulation(seed, onApply)
		testkit.Require(t, fmt.Sprint("seed ", seed, ": a booking ran twice"), twice, false)
		total += ran
	}
	t.Logf("%d bookings ran in %d schedules", total, *worlds)
	if total < *worlds {
		t.Error("too few bookings ran to prove much")
	}
}

// TestNaiveTwinsBookTwice runs the same schedules with a VM that remembers keys
// by itself, and with one that takes an answered append for the claim.
func TestFaultyPoliciesBookTwice(t *testing.T) {
	for _, p := range []dispatchPolicy{onMemory, onAppend} {
		bookedTwice := 0
		for seed := range uint64(100) {
			if _, twice := runSimulation(seed, p); twice {
				bookedTwice++
			}
		}
		t.Logf("%s: a booking ran twice in %d of 100 schedules", p, bookedTwice)
		if bookedTwice == 0 {
			t.Errorf("%s never books twice", p)
		}
	}
}

// TestLateDuplicateOfAReleasedClaim: a claim is released because its caller was
// told "not run". Its duplicate lands late. It must not take the key again, for
// nobody would ever answer it; a new claim does.
func TestLateDuplicateOfReleasedClaim(t *testing.T) {
	table := idempotency.NewTable()
	apply := func(offset uint64, e idempotency.Entry) idempotency.Result {
		return table.Apply(offset, time.UnixMilli(1), encode(t, e))[0]
	}
	claim := func(sequence uint64) idempotency.Entry { return claimOf("vm", sequence, keys[0]) }
	first := apply(1, claim(1))
	apply(2, idempotency.Entry{Release: &idempotency.Release{Key: keys[0], ClaimRevision: first.Revision, ID: first.ID}})
	if late := apply(3, claim(1)); late.Verdict != idempotency.VerdictStale || table.HolderOf(keys[0]) != nil {
		t.Fatalf("late duplicate: %+v", late)
	}
	testkit.Require(t, "new claim", apply(4, claim(2)).Verdict, idempotency.VerdictApplied)
}
