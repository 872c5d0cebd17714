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
type policy string

const (
	// onFold is ours: once the own claim is folded as the first one.
	onFold policy = "on fold"
	// onMemory is naive: unless this VM itself remembers the key.
	onMemory policy = "on memory"
	// onAppend is naive: as soon as the claim's append was answered.
	onAppend policy = "on append"
)

// desk is a small system: callers that send one booking again and again to any
// entry VM, VMs that fold with a lag, die and are replaced, and appends that
// land late or twice.
type desk struct {
	rand    *rand.Rand
	policy  policy
	log     [][]byte
	held    [][]byte
	vms     []*clerk
	started int
	// ran counts what really ran, by key.
	ran map[string]int
}

// clerk is one entry VM.
type clerk struct {
	name     string
	sequence uint64
	table    *idempotency.Table
	// waiting are claims whose caller still waits, given up those whose caller
	// was told "not run"; the value is the key.
	waiting, givenUp map[uint64]string
	remembered       map[string]bool
}

func (d *desk) start() *clerk {
	d.started++
	return &clerk{name: fmt.Sprint("vm", d.started), table: idempotency.NewTable(),
		waiting: map[uint64]string{}, givenUp: map[uint64]string{}, remembered: map[string]bool{}}
}

func (d *desk) append(e idempotency.Entry) (answered bool) {
	data := testkit.Must(idempotency.Encode(idempotency.Record{Entries: []idempotency.Entry{e}}))
	fate := d.rand.IntN(6)
	if fate > 0 {
		d.log = append(d.log, data)
	}
	if fate < 2 {
		d.held = append(d.held, data)
	}
	return fate > 1
}

func (d *desk) step() {
	i := d.rand.IntN(len(d.vms))
	c := d.vms[i]
	switch d.rand.IntN(8) {
	case 0, 1:
		c.book(d, fmt.Sprint("booking", d.rand.IntN(2)))
	case 2:
		for sequence, key := range c.waiting {
			delete(c.waiting, sequence)
			c.givenUp[sequence] = key
		}
	case 3:
		if len(d.held) > 0 {
			i := d.rand.IntN(len(d.held))
			d.log = append(d.log, d.held[i])
			d.held = slices.Delete(d.held, i, i+1)
		}
	case 4:
		if d.rand.IntN(4) == 0 {
			d.vms[i] = d.start()
		}
	default:
		c.fold(d)
	}
}

// book takes in a caller's request.
func (c *clerk) book(d *desk, key string) {
	if d.policy == onMemory {
		if !c.remembered[key] {
			c.remembered[key] = true
			d.ran[key]++
		}
		return
	}
	if c.table.HolderOf(idempotency.KeyOf("hire", key)) != nil {
		return
	}
	c.sequence++
	c.waiting[c.sequence] = key
	answered := d.append(claimOf(c.name, c.sequence, idempotency.KeyOf("hire", key)))
	if answered && d.policy == onAppend {
		d.ran[key]++
	}
}

// fold reads the log and acts on the own claims that it meets.
func (c *clerk) fold(d *desk) {
	for c.table.Applied() < uint64(len(d.log)) {
		next := c.table.Applied()
		for _, r := range c.table.Apply(next+1, time.UnixMilli(int64(next)), d.log[next]) {
			if r.ID.Claimer == c.name && r.Verdict == idempotency.VerdictApplied && r.Holder != nil && !r.Duplicate {
				c.claimed(d, r)
			}
		}
	}
}

// claimed dispatches, or releases a claim whose caller was told "not run".
func (c *clerk) claimed(d *desk, r idempotency.Result) {
	key, waits := c.waiting[r.ID.Sequence]
	delete(c.waiting, r.ID.Sequence)
	if d.policy == onFold && waits {
		d.ran[key]++
		d.append(idempotency.Entry{Outcome: &idempotency.Outcome{Key: r.Key, ClaimRevision: r.Revision, Answer: idempotency.MakeAnswer(201, nil, nil)}})
		return
	}
	d.append(idempotency.Entry{Release: &idempotency.Release{Key: r.Key, ClaimRevision: r.Revision, ID: r.ID}})
}

// runDesk returns how many bookings ran, and whether one ran twice.
func runDesk(seed uint64, p policy) (ran int, twice bool) {
	d := &desk{rand: rand.New(rand.NewPCG(seed, 2)), policy: p, ran: map[string]int{}}
	for range 3 {
		d.vms = append(d.vms, d.start())
	}
	for range 120 {
		d.step()
	}
	for _, n := range d.ran {
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
		ran, twice := runDesk(seed, onFold)
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
func TestNaiveTwinsBookTwice(t *testing.T) {
	for _, p := range []policy{onMemory, onAppend} {
		broken := 0
		for seed := range uint64(100) {
			if _, twice := runDesk(seed, p); twice {
				broken++
			}
		}
		t.Logf("%s: a booking ran twice in %d of 100 schedules", p, broken)
		if broken == 0 {
			t.Errorf("%s never books twice", p)
		}
	}
}

// TestLateDuplicateOfAReleasedClaim: a claim is released because its caller was
// told "not run". Its duplicate lands late. It must not take the key again, for
// nobody would ever answer it; a new claim does.
func TestLateDuplicateOfAReleasedClaim(t *testing.T) {
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
