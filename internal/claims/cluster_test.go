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
type cluster struct {
	t   *testing.T
	log *logserver.Store

	mu  sync.Mutex
	vms []*vm
	// ran are the bookings that ran, by key.
	ran map[string][]string
	// forgetSeen makes the naive twin whose claims don't say which releases their
	// arrivals had seen.
	dropFirstUnseen bool
	// shards is the number of streams; 0 is one that all VMs hold.
	shards int
	// loseReplies is the share of holders' answers that are lost, and hasty makes
	// the naive twin whose holders release a claim when its asker has no answer.
	loseReplies        float64
	releaseOnLostReply bool
	random             *rand.Rand
}

// viewLog is the log as one VM reaches it.
type vmLog struct {
	platformlog.Log
	vm *vm
}

// Append lands after the VM's hang; the naive twin's claims lose their Since.
func (l vmLog) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	if l.vm.appendDelay > 0 {
		time.Sleep(l.vm.appendDelay)
		ctx = context.WithoutCancel(ctx)
	}
	if l.vm.cluster.dropFirstUnseen {
		data = withoutFirstUnseen(data)
	}
	return l.Log.Append(ctx, stream, data)
}

func withoutFirstUnseen(data []byte) []byte {
	record := testkit.Must(idempotency.Decode(data))
	for i := range record.Entries {
		if c := record.Entries[i].Claim; c != nil {
			c.FirstUnseen = 0
		}
	}
	return testkit.Must(idempotency.Encode(record))
}

// vm is one process of an entry VM.
type vm struct {
	*claims.Claimer
	shards     *claims.Shards
	cluster    *cluster
	name       string
	view       *logserver.View
	ctx        context.Context
	kill       context.CancelFunc
	background sync.WaitGroup
	// diedAt is zero while it lives; cut is whether peers can't reach it.
	diedAt      time.Time
	partitioned bool
	// hang is how late its appends land.
	appendDelay time.Duration
	// slow is how late it answers peers; silent is whether its answers are lost.
	replyDelay   time.Duration
	losesReplies bool
}

func runInCluster(t *testing.T, seed uint64, test func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{t: t, log: logserver.New(logserver.Config{Seed: seed}), ran: make(map[string][]string),
			random: rand.New(rand.NewSource(int64(seed)))}
		test(cl)
		for _, v := range cl.vms {
			v.die()
		}
		time.Sleep(time.Minute) // late appends land, records of answers give up
	})
}

// start starts an entry VM and waits for its table, if the log is there.
func (cl *cluster) start(name string) *vm {
	v := &vm{cluster: cl, name: name, view: cl.log.View(name)}
	v.ctx, v.kill = context.WithCancel(cl.t.Context())
	config := claims.Config{
		Log: vmLog{v.view, v}, Logger: zap.NewNop(), Incarnation: name, Window: time.Hour,
		IsAlive: cl.isAlive, RuleOutDispatch: v.ruleOutDispatch, WritesSnapshots: func() bool { return false },
	}
	if cl.shards > 0 {
		v.startShards(config)
	} else {
		v.Claimer = claims.New(config)
		v.background.Go(func() { v.Follow(v.ctx) })
		v.background.Go(func() { v.Commit(v.ctx) })
	}
	cl.mu.Lock()
	cl.vms = append(cl.vms, v)
	cl.mu.Unlock()
	// The first read of a quiet stream takes its whole wait.
	time.Sleep(3 * time.Second)
	return v
}

func (v *vm) begin(ctx context.Context, call caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	if v.shards != nil {
		return v.shards.Begin(ctx, call)
	}
	return v.Begin(ctx, call)
}

func (v *vm) die() {
	v.kill()
	v.background.Wait()
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	if v.diedAt.IsZero() {
		v.diedAt = time.Now()
	}
}

func (cl *cluster) isAlive(incarnation string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, v := range cl.vms {
		if v.name == incarnation {
			return v.diedAt.IsZero()
		}
	}
	return false
}

// nobodyAhead asks as a node does: also those that died since.
func (v *vm) ruleOutDispatch(_ context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	for _, other := range v.cluster.vms {
		gone := !other.diedAt.IsZero()
		if other == v || (gone && other.diedAt.Before(since)) {
			continue
		}
		if gone || other.partitioned {
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
type callResult struct {
	// booked is the number of the booking that the caller was told, told the
	// refusal.
	booked  string
	refusal *refusal.Refusal
	// dispatched is the booking that this arrival itself ran, empty if none.
	dispatched string
	duration   time.Duration
}

func (a callResult) String() string {
	return fmt.Sprintf("%q, %v, after %v", a.booked, a.refusal, a.duration)
}

// attempt is how a dispatch ends.
type dispatchFunc func(v *vm, run func()) bool

var (
	// succeed runs the booking and has its answer.
	succeed dispatchFunc = func(_ *vm, run func()) bool { run(); return true }
	// dieAfter runs the booking, and the entry VM dies before it has the answer.
	dieAfter dispatchFunc = func(v *vm, run func()) bool { run(); v.die(); return false }
	// dieBefore has the entry VM die before the booking is sent.
	dieBefore dispatchFunc = func(v *vm, _ func()) bool { v.die(); return false }
	// lose runs the booking, whose answer is lost.
	loseAnswer dispatchFunc = func(_ *vm, run func()) bool { run(); return false }
	// giveBack finds that the booking can't be sent.
	notSent dispatchFunc
)

const callTimeout = 5 * time.Second

func (v *vm) book(key, body string, how dispatchFunc) callResult {
	return v.bookArrived(time.Now(), key, body, how)
}

func newBookingCall(arrived time.Time, key, body string) caller.ServiceCall {
	return caller.ServiceCall{
		Identity: caller.Identity{Customer: "hire"}, Once: true, IdempotencyKey: key, Arrived: arrived,
		Call: service.Call{Method: "POST", Path: "/book", Body: []byte(body)},
	}
}

// bookFrom is book for an arrival that came earlier and was not looked at since.
func (v *vm) bookArrived(arrivedAt time.Time, key, body string, how dispatchFunc) callResult {
	ctx, cancel := context.WithTimeout(v.ctx, callTimeout)
	defer cancel()
	claim, stored, err := v.begin(ctx, newBookingCall(arrivedAt, key, body))
	var a callResult
	switch {
	case err != nil:
		a.refusal = refusal.FromError(err)
	case stored != nil:
		a.booked = string(stored.Body)
	default:
		a = v.dispatch(claim, key, how)
	}
	a.duration = time.Since(arrivedAt)
	return a
}

func (v *vm) dispatch(c serving.Claim, key string, how dispatchFunc) (a callResult) {
	if how == nil {
		c.NotRun()
		a.refusal = refusal.New(refusal.CodeBackendFailed, 0, "no backend server")
		return a
	}
	ok := how(v, func() { a.dispatched = v.cluster.runBooking(key, v.name) })
	if ok {
		c.Done(service.Answer{Status: 201, Body: []byte(a.dispatched)})
		a.booked = a.dispatched
		return a
	}
	if v.ctx.Err() == nil {
		c.Unknown()
	}
	a.refusal = refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "the call was sent and its answer was lost")
	return a
}

// run is the backend server.
func (cl *cluster) runBooking(key, vmName string) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	booking := fmt.Sprint("B", len(cl.ran[key]), "-", key, "-", vmName)
	cl.ran[key] = append(cl.ran[key], booking)
	return booking
}

func (cl *cluster) runCount(key string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.ran[key])
}

// wantRan fails the test unless the booking ran so often.
func (cl *cluster) wantRan(key string, times int) {
	cl.t.Helper()
	testkit.Equal(cl.t, key+" ran", cl.runCount(key), times)
}

// wantTold fails the test unless the arrival was refused so, at once.
func (cl *cluster) wantRefusedAtOnce(what string, a callResult, code refusal.Code, ran refusal.Ran) {
	cl.t.Helper()
	if a.refusal == nil || a.refusal.Code != code || a.refusal.Ran != ran || a.duration > 100*time.Millisecond {
		cl.t.Errorf("%s: %v, want %s, ran %s, at once", what, a, code, ran)
	}
}

// wantBooked fails the test unless the caller was told a booking.
func (cl *cluster) wantBooked(what string, a callResult) {
	cl.t.Helper()
	if a.booked == "" {
		cl.t.Errorf("%s: %v", what, a)
	}
}

// wantRefused fails the test unless the caller was told so of what ran.
func (cl *cluster) wantRefused(what string, a callResult, ran refusal.Ran) {
	cl.t.Helper()
	if a.refusal == nil || a.refusal.Ran != ran {
		cl.t.Errorf("%s: %v, want ran %s", what, a, ran)
	}
}

// wantOneBookingEach sends bookings to all VMs at the same moment: each runs once,
// all are told its number, and another booking with its key is refused. One VM
// dies; a new one tells whoever repeats a booking the same.
func (cl *cluster) wantEachBookingRunsOnce(vms []*vm) {
	for i := range 20 {
		key := fmt.Sprint("key", i)
		got := make([]callResult, len(vms))
		var group sync.WaitGroup
		for i, v := range vms {
			group.Go(func() { got[i] = v.book(key, "bike", succeed) })
		}
		group.Wait()
		for _, a := range got {
			if a.booked == "" || a.booked != got[0].booked {
				cl.t.Errorf("%s: %v and %v", key, got[0], a)
			}
		}
		cl.wantRan(key, 1)
		if conflict := vms[i%len(vms)].book(key, "boat", succeed); conflict.refusal == nil || conflict.refusal.Code != refusal.CodeKeyConflict {
			cl.t.Errorf("%s: another body: %v", key, conflict)
		}
	}
	vms[0].die()
	again := cl.start("new").book("key7", "bike", succeed)
	cl.wantRan("key7", 1)
	testkit.Equal(cl.t, "repeated at a new VM", again.booked, cl.ran["key7"][0])
}
