package claims_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

// bookingModel is the model of one booking: it runs once, and every caller who
// is told its number is told the same one. The state is that number, empty
// before the booking runs.
var bookingModel = porcupine.Model{
	Partition: testkit.PartitionBy(func(op porcupine.Operation) string { return op.Input.(string) }),
	Init:      func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		a := output.(callResult)
		switch {
		case a.dispatched != "":
			return state == "", a.dispatched
		case a.booked != "":
			return state == a.booked, state
		case a.refusal.Ran == refusal.RanNo:
			return state == "", state
		}
		return true, state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, ": ", output) },
}

// bookFunc is a way to book.
type bookFunc func(v *vm, key string, how dispatchFunc) callResult

// bookThroughClaims books through the package under test.
func bookThroughClaims(v *vm, key string, how dispatchFunc) callResult {
	return v.book(key, "bike", how)
}

// runFaultSchedule lets callers repeat a few bookings at three VMs while the
// log loses answers and fails, and VMs lose the log, die and are replaced.
func runFaultSchedule(cl *cluster, seed int64, book bookFunc) []porcupine.Operation {
	random := rand.New(rand.NewSource(seed))
	names := []string{"a", "b", "c"}
	vms := []*vm{cl.start("a"), cl.start("b"), cl.start("c")}
	history := testkit.NewHistory()
	var group sync.WaitGroup
	for i := range 60 {
		at := random.Intn(len(vms))
		v, key := vms[at], fmt.Sprint("key", random.Intn(6))
		how := []dispatchFunc{succeed, succeed, notSent, loseAnswer}[random.Intn(4)]
		group.Go(func() { history.Record(i, key, func() any { return book(v, key, how) }) })
		time.Sleep(time.Duration(random.Intn(300)) * time.Millisecond)
		switch random.Intn(8) {
		case 0:
			cl.log.Faults().Set(faults.Settings{
				Outage: random.Intn(2) == 0, LoseProbability: random.Float64() / 2, SlowMS: int64(random.Intn(1500)),
			})
		case 1, 2:
			cl.log.Faults().Set(faults.Settings{})
		case 3:
			v.view.Disconnect()
		case 4, 5:
			v.view.Heal()
		case 6:
			v.die()
			vms[at] = cl.start(fmt.Sprint(names[at], i))
		}
	}
	group.Wait()
	return history.Operations()
}

// Callers repeat bookings at any VM while the log and the VMs fail. All answers
// must fit one order in which each booking runs at most once and "not run" is
// only said before it ran. No attempt that came before a "not run" was said may
// run after it.
func TestFaultSchedulesAreLinearizable(t *testing.T) {
	checkFaultSchedules(t, func(*cluster) {})
}

// checkFaultSchedules checks 40 fault schedules, and that callers got all kinds
// of answers.
func checkFaultSchedules(t *testing.T, prepare func(*cluster)) {
	answerCounts := make(map[string]int)
	for seed := range int64(40) {
		runInCluster(t, uint64(seed), func(cl *cluster) {
			prepare(cl)
			history := runFaultSchedule(cl, seed, bookThroughClaims)
			if !porcupine.CheckOperations(bookingModel, history) {
				t.Errorf("seed %d: not linearizable", seed)
			}
			if runs := countRunsAfterNotRun(history); runs > 0 {
				t.Errorf("seed %d: %d ran although they came before a refusal", seed, runs)
			}
			for _, op := range history {
				answerCounts[answerKind(op.Output.(callResult))]++
			}
		})
	}
	t.Log(answerCounts)
	for _, want := range []string{"ran", "repeated", "no", "maybe"} {
		if answerCounts[want] < 20 {
			t.Errorf("answer %q occurred only %d times", want, answerCounts[want])
		}
	}
}

// countRunsAfterNotRun counts attempts that ran although, after they came in,
// another attempt of the same booking was told "not run".
func countRunsAfterNotRun(history []porcupine.Operation) (n int) {
	for _, refused := range history {
		for _, ran := range history {
			reply := refused.Output.(callResult).refusal
			if reply != nil && reply.Ran == refusal.RanNo && ran.Output.(callResult).dispatched != "" &&
				ran.Input == refused.Input && ran.Call < refused.Return {
				n++
			}
		}
	}
	return n
}

// The fault schedules must detect the faulty variant whose claims do not carry
// FirstUnseen: it runs calls that were refused with "not run".
func TestClaimsWithoutFirstUnseenRunRefusedCalls(t *testing.T) {
	ran := 0
	for seed := range int64(40) {
		runInCluster(t, uint64(seed), func(cl *cluster) {
			cl.dropFirstUnseen = true
			ran += countRunsAfterNotRun(runFaultSchedule(cl, seed, bookThroughClaims))
		})
	}
	if ran == 0 {
		t.Error("no refused call ran without FirstUnseen")
	}
}

func answerKind(a callResult) string {
	switch {
	case a.dispatched != "":
		return "ran"
	case a.booked != "":
		return "repeated"
	}
	return string(a.refusal.Ran)
}

// The fault schedules must detect two faulty variants that book twice: one
// remembers keys in the memory of its own VM; the other treats an answered
// append as a won claim and does not read back which claim came first.
func TestFaultyVariantsBookTwice(t *testing.T) {
	for name, variant := range map[string]func() bookFunc{"memory": bookByLocalMemory, "append": bookOnAppend} {
		twice := 0
		for seed := range int64(5) {
			runInCluster(t, uint64(seed), func(cl *cluster) {
				runFaultSchedule(cl, seed, variant())
				for key := range cl.ran {
					if cl.runCount(key) > 1 {
						twice++
					}
				}
			})
		}
		if twice == 0 {
			t.Errorf("%s never books twice", name)
		}
	}
}

func bookByLocalMemory() bookFunc {
	var mu sync.Mutex
	known := make(map[string]bool)
	return func(v *vm, key string, _ dispatchFunc) callResult {
		mu.Lock()
		defer mu.Unlock()
		if known[v.name+key] {
			return callResult{refusal: refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "known")}
		}
		known[v.name+key] = true
		return callResult{dispatched: v.cluster.runBooking(key, v.name)}
	}
}

func bookOnAppend() bookFunc {
	return func(v *vm, key string, _ dispatchFunc) callResult {
		data, _ := json.Marshal(key)
		if _, err := v.view.Append(v.ctx, "faulty", data); err != nil {
			return callResult{refusal: refusal.New(refusal.CodeLogUnavailable, 0, "no claim")}
		}
		return callResult{dispatched: v.cluster.runBooking(key, v.name)}
	}
}
