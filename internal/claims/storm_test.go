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

// bookings is the model of one booking: it runs once, and all who are told its
// number are told the same one. The state is that number, empty before.
var bookings = porcupine.Model{
	Partition: testkit.PartitionBy(func(op porcupine.Operation) string { return op.Input.(string) }),
	Init:      func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		a := output.(answered)
		switch {
		case a.dispatched != "":
			return state == "", a.dispatched
		case a.booked != "":
			return state == a.booked, state
		case a.told.Ran == refusal.RanNo:
			return state == "", state
		}
		return true, state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, ": ", output) },
}

// policy books in one way.
type policy func(v *vm, key string, how attempt) answered

// ours is what is under test.
func ours(v *vm, key string, how attempt) answered { return v.book(key, "bike", how) }

// storm has callers repeat few bookings at three VMs while the log loses answers
// and fails, VMs are cut off from it, and die and are replaced.
func storm(d *desk, seed int64, book policy) []porcupine.Operation {
	random := rand.New(rand.NewSource(seed))
	names := []string{"a", "b", "c"}
	vms := []*vm{d.start("a"), d.start("b"), d.start("c")}
	history := testkit.NewHistory()
	var group sync.WaitGroup
	for i := range 60 {
		at := random.Intn(len(vms))
		v, key := vms[at], fmt.Sprint("key", random.Intn(6))
		how := []attempt{succeed, succeed, giveBack, lose}[random.Intn(4)]
		group.Go(func() { history.Note(i, key, func() any { return book(v, key, how) }) })
		time.Sleep(time.Duration(random.Intn(300)) * time.Millisecond)
		switch random.Intn(8) {
		case 0:
			d.log.Faults().Set(faults.Settings{
				Outage: random.Intn(2) == 0, LoseProbability: random.Float64() / 2, SlowMS: int64(random.Intn(1500)),
			})
		case 1, 2:
			d.log.Faults().Set(faults.Settings{})
		case 3:
			v.view.Cut()
		case 4, 5:
			v.view.Heal()
		case 6:
			v.die()
			vms[at] = d.start(fmt.Sprint(names[at], i))
		}
	}
	group.Wait()
	return history.Operations()
}

// Callers repeat bookings anywhere while everything fails. All that they are told
// fits one order in which each booking runs at most once, and "not run" is said
// only before it ran; and none that came before a "not run" was said runs after it.
func TestStormIsLinearizable(t *testing.T) {
	checkStorms(t, func(*desk) {})
}

// checkStorms checks 40 storms, and that callers met all kinds of answers.
func checkStorms(t *testing.T, prepare func(*desk)) {
	told := make(map[string]int)
	for seed := range int64(40) {
		inDesk(t, uint64(seed), func(d *desk) {
			prepare(d)
			history := storm(d, seed, ours)
			if !porcupine.CheckOperations(bookings, history) {
				t.Errorf("seed %d: not linearizable", seed)
			}
			if n := ranAfterNo(history); n > 0 {
				t.Errorf("seed %d: %d ran although they came before a refusal", seed, n)
			}
			for _, op := range history {
				told[kind(op.Output.(answered))]++
			}
		})
	}
	t.Log(told)
	for _, want := range []string{"ran", "repeated", "no", "maybe"} {
		if told[want] < 20 {
			t.Errorf("%q was met %d times only", want, told[want])
		}
	}
}

// ranAfterNo counts arrivals that ran although another one of their booking was
// told "not run" after they had come.
func ranAfterNo(history []porcupine.Operation) (n int) {
	for _, refused := range history {
		for _, ran := range history {
			no := refused.Output.(answered).told
			if no != nil && no.Ran == refusal.RanNo && ran.Output.(answered).dispatched != "" &&
				ran.Input == refused.Input && ran.Call < refused.Return {
				n++
			}
		}
	}
	return n
}

// The naive twin whose claims don't name what their arrivals had seen, in the
// same storms.
func TestNaiveTwinRunsWhatWasRefused(t *testing.T) {
	ran := 0
	for seed := range int64(40) {
		inDesk(t, uint64(seed), func(d *desk) {
			d.forgetSeen = true
			ran += ranAfterNo(storm(d, seed, ours))
		})
	}
	if ran == 0 {
		t.Error("the twin keeps the promise")
	}
}

func kind(a answered) string {
	switch {
	case a.dispatched != "":
		return "ran"
	case a.booked != "":
		return "repeated"
	}
	return string(a.told.Ran)
}

// Two naive twins in the same storms: one remembers keys in the memory of its own
// VM; the other takes an answered append for the claim and does not read back
// whose came first. Both book twice.
func TestNaiveTwinsBookTwice(t *testing.T) {
	for name, twin := range map[string]func() policy{"memory": memory, "append": appended} {
		twice := 0
		for seed := range int64(5) {
			inDesk(t, uint64(seed), func(d *desk) {
				storm(d, seed, twin())
				for key := range d.ran {
					if d.times(key) > 1 {
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

func memory() policy {
	var mu sync.Mutex
	known := make(map[string]bool)
	return func(v *vm, key string, _ attempt) answered {
		mu.Lock()
		defer mu.Unlock()
		if known[v.name+key] {
			return answered{told: refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "known")}
		}
		known[v.name+key] = true
		return answered{dispatched: v.desk.run(key, v.name)}
	}
}

func appended() policy {
	return func(v *vm, key string, _ attempt) answered {
		data, _ := json.Marshal(key)
		if _, err := v.view.Append(v.ctx, "naive", data); err != nil {
			return answered{told: refusal.New(refusal.CodeLogUnavailable, 0, "no claim")}
		}
		return answered{dispatched: v.desk.run(key, v.name)}
	}
}
