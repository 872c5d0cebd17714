package admission_test

import (
	"fmt"
	"time"

	"bergamotreel/admission"
	"bergamotreel/contract"
)

// Two requests of one customer wait for one engine. The one with the higher priority
// is dispatched first; the other cannot meet its deadline and is refused.
func ExampleController() {
	now := time.Unix(1_800_000_000, 0)
	c := admission.New(admission.Config{})
	c.SetContracts(map[string]*contract.Contract{
		"trinidad": {Customer: "trinidad", Weight: 1, RequestsPerSecond: 10, Burst: 10, MaxQueued: 10},
	})
	c.SetVMs(1, 0) // this entry VM is the only one
	for _, r := range []admission.Request{
		{ID: "overnight", Priority: -50, Deadline: now.Add(2 * time.Second)},
		{ID: "desk", Priority: 20, Deadline: now.Add(8 * time.Second)},
	} {
		r.Customer, r.Unit, r.Pool, r.Arrived = "trinidad", "clerk-7b", "clerk-7b", now
		if _, refused := c.Submit(now, r); refused != nil {
			fmt.Println(refused)
		}
	}
	first := c.Next(now, "clerk-7b", nil)
	fmt.Println("dispatched", first.ID)

	now = now.Add(2 * time.Second)
	for _, late := range c.Expire(now) {
		fmt.Println("refused", late.Ticket.ID, late.Refusal.Code, late.Refusal.Ran)
	}
	c.Finish(now, first, admission.Outcome{OK: true, TimeToFirstToken: time.Second, ServiceTime: 2 * time.Second})
	// Output:
	// dispatched desk
	// refused overnight wait_too_long no
}
