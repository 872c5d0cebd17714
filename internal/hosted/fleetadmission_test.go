package hosted

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// newLoadNode returns a node that doesn't run, with the configuration of testContract.
func newLoadNode(i int, load LoadPolicies) *Node {
	n := New(Config{VM: fmt.Sprint(i), Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(int64(i))), Load: load, BootClock: func() time.Duration { return 0 }})
	n.applyConfiguration(testContract("m"), "test")
	return n
}

// submit has a request arrive with ten seconds until its deadline, and dispatches a waiting one if asked to.
func (n *Node) submit(now time.Time, dispatched bool) (refused *refusal.Refusal) {
	unit := unitName(testService, "m", "")
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		_, refused = a.Submit(now, admission.Request{Customer: "c", Unit: unit, Pool: unit, Arrived: now, Deadline: now.Add(10 * time.Second), Target: 400 * time.Millisecond})
		if dispatched {
			a.Next(now, unit, nil)
		}
	})
	return refused
}

// Guards against counts that are lost or changed between VMs: 62 VMs see one or two requests each, and know
// from the sum that a sixth of them is dispatched. Without the setting, nothing is measured and nothing is
// refused.
func TestVMsShareTheLoadOfUnits(t *testing.T) {
	const vms = 62
	for _, on := range []bool{false, true} {
		nodes := make([]*Node, vms)
		for i := range nodes {
			nodes[i] = newLoadNode(i, LoadPolicies{FleetAdmission: on})
		}
		now := time.Now()
		refused, largest := 0, 0
		var sum *entryvm.LoadSignals
		for round := range 20 {
			total := loadsignals.NewSum()
			for i, n := range nodes {
				// Of 310 requests per second, one in six is dispatched.
				for request := range 2 {
					if n.submit(now, request == 0 && (round+i)%3 == 0) != nil {
						refused++
					}
				}
				signals := n.measureSignals(now)
				encoded := testkit.Value(cbor.Marshal(signals))(t)
				largest = max(largest, len(encoded))
				received := &entryvm.LoadSignals{}
				testkit.OK(t, cbor.Unmarshal(encoded, received))
				total.Add(received)
			}
			sum = total.Total()
			for _, n := range nodes {
				n.applySignals(now, sum)
			}
			now = now.Add(signalsInterval)
		}
		if !on {
			testkit.That(t, len(sum.Units) == 0 && refused == 0 && largest <= 1, "off: %+v, %d refused, %d bytes", sum.Units, refused, largest)
			continue
		}
		testkit.Need(t, len(sum.Units) == 1, "got %+v", sum.Units)
		u := sum.Units[0]
		t.Logf("%d bytes for a VM's signals, %d refused, sum %+v", largest, refused, u)
		testkit.That(t, u.Target == 400 && u.Arrived > 2500 && u.Arrived < 3700 && u.Dispatched > 400 && u.Dispatched < 650, "sum %+v", u)
		testkit.That(t, refused > 0 && u.Waiting > 0, "%d refused", refused)
		testkit.That(t, vms*largest*int(time.Second/signalsInterval) < 24<<10, "%d bytes for a VM's signals", largest)
	}
}
