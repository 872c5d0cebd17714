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

// cluster is a set of entry VMs that claim bookings over one log, and the
// backend server that books.
type cluster struct {
	t   *testing.T
	log *logserver.Store

	mu  sync.Mutex
	vms []*vm
	// ran holds the bookings that ran, by key.
	ran map[string][]string
	// dropFirstUnseen selects the faulty variant whose claims do not carry
	// FirstUnseen.
	dropFirstUnseen bool
	// shards is the number of streams; 0 is a single stream that all VMs hold.
	shards int
	// loseReplies is the fraction of holders' replies that are lost.
	// releaseOnLostReply selects the faulty variant whose holders release a
	// claim when their reply is lost.
	loseReplies        float64
	releaseOnLostReply bool
	random             *rand.Rand
}

// vmLog is the log as one VM reaches it.
type vmLog struct {
	platformlog.Log
	vm *vm
}

// Append appends after the VM's appendDelay; in the faulty variant, claims lose
// their FirstUnseen.
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
	// diedAt is zero while the process lives; partitioned is whether peers
	// can't reach it.
	diedAt      time.Time
	partitioned bool
	// appendDelay is how long its appends take to reach the log.
	appendDelay time.Duration
	// replyDelay is how long it takes to reply to peers; losesReplies is
	// whether its replies are lost.
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
		time.Sleep(time.Minute) // until late appends arrive and retries end
	})
}

// start starts an entry VM and waits for its table, which is loaded then if the
// log is reachable.
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
	// The first read of a stream without new records takes its whole wait.
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

// ruleOutDispatch asks the other VMs like a node does, including those that
// have died since.
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
		if reply.Held || reply.Applied > applied || time.Now().Add(-reply.Uptime).After(since) {
			return false
		}
	}
	return true
}

// callResult is the result of one attempt of a booking.
type callResult struct {
	// booked is the number of the booking that the caller was told; refusal is
	// the refusal.
	booked  string
	refusal *refusal.Refusal
	// dispatched is the booking that this attempt itself ran, empty if none.
	dispatched string
	duration   time.Duration
}

func (a callResult) String() string {
	return fmt.Sprintf("%q, %v, after %v", a.booked, a.refusal, a.duration)
}

// dispatchFunc simulates a dispatch. It reports whether the answer arrived.
type dispatchFunc func(v *vm, run func()) bool

var (
	// succeed runs the booking and gets its answer.
	succeed dispatchFunc = func(_ *vm, run func()) bool { run(); return true }
	// dieAfter runs the booking; the entry VM dies before it gets the answer.
	dieAfter dispatchFunc = func(v *vm, run func()) bool { run(); v.die(); return false }
	// dieBefore makes the entry VM die before the booking is sent.
	dieBefore dispatchFunc = func(v *vm, _ func()) bool { v.die(); return false }
	// loseAnswer runs the booking and loses its answer.
	loseAnswer dispatchFunc = func(_ *vm, run func()) bool { run(); return false }
	// notSent stands for a booking that can't be sent.
	notSent dispatchFunc
)

const callTimeout = 5 * time.Second

func (v *vm) book(key, body string, how dispatchFunc) callResult {
	return v.bookArrived(time.Now(), key, body, how)
}

func newBookingCall(arrived time.Time, key, body string) caller.ServiceCall {
	return caller.ServiceCall{
		Identity: caller.Identity{Customer: "hire"}, AtMostOnce: true, IdempotencyKey: key, Arrived: arrived,
		Call: service.Call{Method: "POST", Path: "/book", Body: []byte(body)},
	}
}

// bookArrived books for an attempt that came in at arrivedAt and is only
// handled now.
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

func (v *vm) dispatch(claim serving.Claim, key string, how dispatchFunc) (a callResult) {
	if how == nil {
		claim.Release()
		a.refusal = refusal.New(refusal.CodeBackendFailed, 0, "no backend server")
		return a
	}
	ok := how(v, func() { a.dispatched = v.cluster.runBooking(key, v.name) })
	if ok {
		claim.Complete(service.Answer{Status: 201, Body: []byte(a.dispatched)})
		a.booked = a.dispatched
		return a
	}
	if v.ctx.Err() == nil {
		claim.MarkUnknown()
	}
	a.refusal = refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "the call was sent and its answer was lost")
	return a
}

// runBooking is the backend server.
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

// wantRan fails the test unless the booking ran the given number of times.
func (cl *cluster) wantRan(key string, times int) {
	cl.t.Helper()
	testkit.Equal(cl.t, key+" ran", cl.runCount(key), times)
}

// wantRefusedAtOnce fails the test unless the attempt was refused at once with
// the given code.
func (cl *cluster) wantRefusedAtOnce(what string, a callResult, code refusal.Code, ran refusal.Ran) {
	cl.t.Helper()
	if a.refusal == nil || a.refusal.Code != code || a.refusal.Ran != ran || a.duration > 100*time.Millisecond {
		cl.t.Errorf("%s: %v, want %s, ran %s, at once", what, a, code, ran)
	}
}

// wantBooked fails the test unless the caller got a booking.
func (cl *cluster) wantBooked(what string, a callResult) {
	cl.t.Helper()
	if a.booked == "" {
		cl.t.Errorf("%s: %v", what, a)
	}
}

// wantRefused fails the test unless the attempt was refused with the given
// statement of whether the call ran.
func (cl *cluster) wantRefused(what string, a callResult, ran refusal.Ran) {
	cl.t.Helper()
	if a.refusal == nil || a.refusal.Ran != ran {
		cl.t.Errorf("%s: %v, want ran %s", what, a, ran)
	}
}

// wantEachBookingRunsOnce sends bookings to all VMs at the same moment. Each
// must run once, all callers must get its number, and another booking with its
// key must be refused. After one VM dies, a new one must give the same answer
// to a repeat.
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
