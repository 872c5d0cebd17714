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

// Claims are spread over 8 streams, each held by 2 of the 5 entry VMs of each
// domain. A caller sends a booking to any VM, which is killed at some moment, and
// again to all the others. It runs at most once, who gets an answer gets the same
// one, and "not run" is true. Without a kill the first try is served.
func TestBookingOverShardsRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShardedSystem(t, true, 8)
		s.growTo(10, "a", "b")
		vms := slices.Sorted(maps.Keys(s.nodes))
		s.publish("v-a1", "c1", text(1), 0)
		time.Sleep(2 * time.Minute) // until nobody holds a shard that became others'
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
				ran := s.bookings(key)
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
