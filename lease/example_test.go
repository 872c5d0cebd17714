package lease_test

import (
	"fmt"
	"time"

	"bergamotreel/lease"
	"bergamotreel/state"
)

// A holder's term starts when it sends a renewal, an observer's when it reads the
// renewal, so the holder stops first.
func ExampleHolder() {
	config := lease.Config{Term: 10 * time.Second, Margin: 2 * time.Second, RenewInterval: 3 * time.Second, MessageLifetime: time.Minute}
	start := time.Unix(0, 0)
	holder, observer := lease.NewHolder(config), lease.NewObserver(config)

	holder.RecordRenewalSent(start, 1)
	holder.ConfirmRenewal(1)
	observer.RecordLogProgress(start)
	observer.RecordRenewal(start.Add(time.Second), 7, state.Revision(7))

	for _, s := range []int{3, 7, 9} {
		now := start.Add(time.Duration(s) * time.Second)
		observer.RecordLogProgress(now)
		fmt.Println(now.Sub(start), holder.IsRenewalDue(now), holder.CanSendOrders(now), len(observer.Expired(now)))
	}
	// Output:
	// 3s true true 0
	// 7s true true 0
	// 9s true false 0
}
