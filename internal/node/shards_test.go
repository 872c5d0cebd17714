package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/refusal"
)

// Claims are distributed over 8 streams, each held by 2 of the 5 entry VMs of each domain.
// A booking is sent to one VM, which in half of the cases is killed meanwhile, and then to
// all other VMs. It must run at most once, all answers must be the same, and a refusal
// that says "not run" must be true. Without a kill the first attempt must succeed.
func TestBookingOverShardsRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShardedSystem(t, true, 8)
		s.growTo(10, "a", "b")
		vms := slices.Sorted(maps.Keys(s.nodes))
		s.publish("v-a1", "c1", baseContract(1), 0)
		time.Sleep(2 * time.Minute) // until no VM holds a shard that was reassigned to others
		for i := range 20 {
			key, vm := fmt.Sprint("band", i), vms[i%len(vms)]
			if i < 10 {
				if _, err := s.book(vm, key); err != nil {
					t.Errorf("%s at %s: %v", key, vm, err)
				}
			} else {
				go func() { _, _ = s.book(vm, key) }()
				time.Sleep(time.Duration(i-10) * 5 * time.Millisecond)
				s.node(vm).kill()
				<-s.node(vm).done
			}
			answers := make(map[string]bool)
			for _, other := range vms {
				if other == vm {
					continue
				}
				answer, err := s.book(other, key)
				ran := s.countBookings(key)
				switch {
				case ran > 1, err == nil && ran != 1, err != nil && refusal.FromError(err).Ran == refusal.RanNo && ran > 0:
					t.Errorf("%s at %s: %v, ran %d times", key, other, err, ran)
				case err == nil:
					answers[string(answer.Body)] = true
				}
			}
			if len(answers) > 1 || (i < 10 && len(answers) == 0) {
				t.Errorf("%s: answers %v", key, answers)
			}
			if i >= 10 {
				s.start(vm, fmt.Sprint(vm, "-after-", i))
			}
		}
		if n := s.claimCalls.Load(); n < 50 {
			t.Errorf("holders were asked %d times only", n)
		}
	})
}
