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

var scheduleCount = flag.Int("worlds", 2000, "schedules of TestBookingsRunOnce")

// dispatchPolicy determines when an entry VM dispatches a call that may not be
// repeated.
type dispatchPolicy string

const (
	// onApply is the correct policy: dispatch when the VM's own claim has been
	// applied as the first one.
	onApply dispatchPolicy = "on apply"
	// onMemory is faulty: dispatch unless this VM itself remembers the key.
	onMemory dispatchPolicy = "on memory"
	// onAppend is faulty: dispatch as soon as the claim's append is answered.
	onAppend dispatchPolicy = "on append"
)

// simulation is a small system of callers that send the same bookings
// repeatedly to any entry VM, of VMs that apply the log with a delay, die and
// are replaced, and of appends that reach the log late or twice.
type simulation struct {
	rand       *rand.Rand
	policy     dispatchPolicy
	log        [][]byte
	delayed    [][]byte
	vms        []*entryVM
	startedVMs int
	// ran counts the executions of each booking.
	ran map[string]int
}

// entryVM is one entry VM.
type entryVM struct {
	name     string
	sequence uint64
	table    *idempotency.Table
	// waiting maps the sequence of a claim whose caller still waits to its key,
	// givenUp that of a claim whose caller was told "not run".
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
	draw := s.rand.IntN(6)
	if draw > 0 {
		s.log = append(s.log, data)
	}
	if draw < 2 {
		s.delayed = append(s.delayed, data)
	}
	return draw > 1
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

// book handles a caller's request.
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

// applyLog applies the log and handles the VM's own claims.
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

// handleClaim dispatches the call, or releases a claim whose caller was told
// "not run".
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

// runSimulation returns how many bookings ran, and whether one ran twice.
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

// TestBookingsRunOnce checks that a booking runs at most once if it is sent
// again to any entry VM because its answer is late or its VM died. Claims are
// applied late or twice, or after their caller was told "not run", and are then
// released.
func TestBookingsRunOnce(t *testing.T) {
	total := 0
	for seed := range uint64(*scheduleCount) {
		ran, twice := runSimulation(seed, onApply)
		testkit.Require(t, fmt.Sprint("seed ", seed, ": a booking ran twice"), twice, false)
		total += ran
	}
	t.Logf("%d bookings ran in %d schedules", total, *scheduleCount)
	if total < *scheduleCount {
		t.Error("too few bookings ran to prove much")
	}
}

// TestFaultyPoliciesBookTwice checks that the same schedules detect a VM that
// only remembers keys itself, and one that treats an answered append as a won
// claim.
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

// TestLateDuplicateOfReleasedClaim checks that a late duplicate of a released
// claim does not get the key again, because no one would ever answer it, and
// that a new claim does.
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
