package claims_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/claims"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// desk is entry VMs that claim bookings over one log, and the backend server
// that books.
type desk struct {
	t   *testing.T
	log *logserver.Store

	mu  sync.Mutex
	vms []*vm
	// ran are the bookings that ran, by key.
	ran map[string][]string
	// forgetSeen makes the naive twin whose claims don't say which releases their
	// arrivals had seen.
	forgetSeen bool
	// shards is the number of streams; 0 is one that all VMs hold.
	shards int
	// loseReplies is the share of holders' answers that are lost, and hasty makes
	// the naive twin whose holders release a claim when its asker has no answer.
	loseReplies float64
	hasty       bool
	random      *rand.Rand
}

// viewLog is the log as one VM reaches it.
type viewLog struct {
	platformlog.Log
	vm *vm
}

// Append lands after the VM's hang; the naive twin's claims lose their Since.
func (l viewLog) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	if l.vm.hang > 0 {
		time.Sleep(l.vm.hang)
		ctx = context.WithoutCancel(ctx)
	}
	if l.vm.desk.forgetSeen {
		data = withoutSince(data)
	}
	return l.Log.Append(ctx, stream, data)
}

func withoutSince(data []byte) []byte {
	record := testkit.Must(idempotency.Decode(data))
	for i := range record.Entries {
		if c := record.Entries[i].Claim; c != nil {
			c.Since = 0
		}
	}
	return testkit.Must(idempotency.Encode(record))
}

// vm is one process of an entry VM.
type vm struct {
	*claims.Claimer
	sharded *claims.Shards
	desk    *desk
	name    string
	view    *logserver.View
	ctx     context.Context
	kill    context.CancelFunc
	duties  sync.WaitGroup
	// diedAt is zero while it lives; cut is whether peers can't reach it.
	diedAt time.Time
	cut    bool
	// hang is how late its appends land.
	hang time.Duration
	// slow is how late it answers peers; silent is whether its answers are lost.
	slow   time.Duration
	silent bool
}

func inDesk(t *testing.T, seed uint64, test func(d *desk)) {
	synctest.Test(t, func(t *testing.T) {
		d := &desk{t: t, log: logserver.New(logserver.Config{Seed: seed}), ran: make(map[string][]string),
			random: rand.New(rand.NewSource(int64(seed)))}
		test(d)
		for _, v := range d.vms {
			v.die()
		}
		time.Sleep(time.Minute) // late appends land, records of answers give up
	})
}

// start starts an entry VM and waits for its table, if the log is there.
func (d *desk) start(name string) *vm {
	v := &vm{desk: d, name: name, view: d.log.View(name)}
	v.ctx, v.kill = context.WithCancel(d.t.Context())
	config := claims.Config{
		Log: viewLog{v.view, v}, Logger: zap.NewNop(), Incarnation: name, Window: time.Hour,
		Alive: d.alive, NobodyAhead: v.nobodyAhead, WritesSnapshots: func() bool { return false },
	}
	if d.shards > 0 {
		v.startShards(config)
	} else {
		v.Claimer = claims.New(config)
		v.duties.Go(func() { v.Follow(v.ctx) })
		v.duties.Go(func() { v.Commit(v.ctx) })
	}
	d.mu.Lock()
	d.vms = append(d.vms, v)
	d.mu.Unlock()
	// The first read of a quiet stream takes its whole wait.
	time.Sleep(3 * time.Second)
	return v
}

func (v *vm) begin(ctx context.Context, call caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	if v.sharded != nil {
		return v.sharded.Begin(ctx, call)
	}
	return v.Begin(ctx, call)
}

func (v *vm) die() {
	v.kill()
	v.duties.Wait()
	v.desk.mu.Lock()
	defer v.desk.mu.Unlock()
	if v.diedAt.IsZero() {
		v.diedAt = time.Now()
	}
}

func (d *desk) alive(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		if v.name == incarnation {
			return v.diedAt.IsZero()
		}
	}
	return false
}

// nobodyAhead asks as a node does: also those that died since.
func (v *vm) nobodyAhead(_ context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool {
	v.desk.mu.Lock()
	defer v.desk.mu.Unlock()
	for _, other := range v.desk.vms {
		gone := !other.diedAt.IsZero()
		if other == v || (gone && other.diedAt.Before(since)) {
			continue
		}
		if gone || other.cut {
			return false
		}
		reply := other.Claimed(query)
		if reply.Held || reply.Applied > applied || time.Now().Add(-reply.Up).After(since) {
			return false
		}
	}
	return true
}

// answered is what one arrival of a booking got.
type answered struct {
	// booked is the number of the booking that the caller was told, told the
	// refusal.
	booked string
	told   *refusal.Refusal
	// dispatched is the booking that this arrival itself ran, empty if none.
	dispatched string
	took       time.Duration
}

func (a answered) String() string { return fmt.Sprintf("%q, %v, after %v", a.booked, a.told, a.took) }

// attempt is how a dispatch ends.
type attempt func(v *vm, run func()) bool

var (
	// succeed runs the booking and has its answer.
	succeed attempt = func(_ *vm, run func()) bool { run(); return true }
	// dieAfter runs the booking, and the entry VM dies before it has the answer.
	dieAfter attempt = func(v *vm, run func()) bool { run(); v.die(); return false }
	// dieBefore has the entry VM die before the booking is sent.
	dieBefore attempt = func(v *vm, _ func()) bool { v.die(); return false }
	// lose runs the booking, whose answer is lost.
	lose attempt = func(_ *vm, run func()) bool { run(); return false }
	// giveBack finds that the booking can't be sent.
	giveBack attempt
)

const patience = 5 * time.Second

func (v *vm) book(key, body string, how attempt) answered {
	return v.bookFrom(time.Now(), key, body, how)
}

func booking(arrived time.Time, key, body string) caller.ServiceCall {
	return caller.ServiceCall{
		Identity: caller.Identity{Customer: "hire"}, Once: true, IdempotencyKey: key, Arrived: arrived,
		Call: service.Call{Method: "POST", Path: "/book", Body: []byte(body)},
	}
}

// bookFrom is book for an arrival that came earlier and was not looked at since.
func (v *vm) bookFrom(begun time.Time, key, body string, how attempt) answered {
	ctx, cancel := context.WithTimeout(v.ctx, patience)
	defer cancel()
	claim, stored, err := v.begin(ctx, booking(begun, key, body))
	var a answered
	switch {
	case err != nil:
		a.told = refusal.FromError(err)
	case stored != nil:
		a.booked = string(stored.Body)
	default:
		a = v.dispatch(claim, key, how)
	}
	a.took = time.Since(begun)
	return a
}

func (v *vm) dispatch(c serving.Claim, key string, how attempt) (a answered) {
	if how == nil {
		c.NotRun()
		a.told = refusal.New(refusal.CodeBackendFailed, 0, "no backend server")
		return a
	}
	ok := how(v, func() { a.dispatched = v.desk.run(key, v.name) })
	if ok {
		c.Done(service.Answer{Status: 201, Body: []byte(a.dispatched)})
		a.booked = a.dispatched
		return a
	}
	if v.ctx.Err() == nil {
		c.Unknown()
	}
	a.told = refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "the call was sent and its answer was lost")
	return a
}

// run is the backend server.
func (d *desk) run(key, by string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	booking := fmt.Sprint("B", len(d.ran[key]), "-", key, "-", by)
	d.ran[key] = append(d.ran[key], booking)
	return booking
}

func (d *desk) times(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.ran[key])
}

// wantRan fails the test unless the booking ran so often.
func (d *desk) wantRan(key string, times int) {
	d.t.Helper()
	testkit.Equal(d.t, key+" ran", d.times(key), times)
}

// wantTold fails the test unless the arrival was refused so, at once.
func (d *desk) wantTold(what string, a answered, code refusal.Code, ran refusal.Ran) {
	d.t.Helper()
	if a.told == nil || a.told.Code != code || a.told.Ran != ran || a.took > 100*time.Millisecond {
		d.t.Errorf("%s: %v, want %s, ran %s, at once", what, a, code, ran)
	}
}

// wantBooked fails the test unless the caller was told a booking.
func (d *desk) wantBooked(what string, a answered) {
	d.t.Helper()
	if a.booked == "" {
		d.t.Errorf("%s: %v", what, a)
	}
}

// wantRefused fails the test unless the caller was told so of what ran.
func (d *desk) wantRefused(what string, a answered, ran refusal.Ran) {
	d.t.Helper()
	if a.told == nil || a.told.Ran != ran {
		d.t.Errorf("%s: %v, want ran %s", what, a, ran)
	}
}

// wantOneBookingEach sends bookings to all VMs at the same moment: each runs once,
// all are told its number, and another booking with its key is refused. One VM
// dies; a new one tells whoever repeats a booking the same.
func (d *desk) wantOneBookingEach(vms []*vm) {
	for i := range 20 {
		key := fmt.Sprint("key", i)
		got := make([]answered, len(vms))
		var group sync.WaitGroup
		for i, v := range vms {
			group.Go(func() { got[i] = v.book(key, "bike", succeed) })
		}
		group.Wait()
		for _, a := range got {
			if a.booked == "" || a.booked != got[0].booked {
				d.t.Errorf("%s: %v and %v", key, got[0], a)
			}
		}
		d.wantRan(key, 1)
		if conflict := vms[i%len(vms)].book(key, "boat", succeed); conflict.told == nil || conflict.told.Code != refusal.CodeKeyConflict {
			d.t.Errorf("%s: another body: %v", key, conflict)
		}
	}
	vms[0].die()
	again := d.start("new").book("key7", "bike", succeed)
	d.wantRan("key7", 1)
	testkit.Equal(d.t, "repeated at a new VM", again.booked, d.ran["key7"][0])
}
