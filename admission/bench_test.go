package admission

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

// benchSizes are the sizes of one entry VM's state in a fleet of 40 engines, one of
// 1,000, and the design maximum of 10,000: 72 models with 39,000 adapters of 2,000
// customers, and a long queue.
var benchSizes = []struct {
	name                      string
	customers, units, waiting int
}{{"today", 25, 7, 50}, {"between", 200, 20, 200}, {"planned", 2000, 20, 2000}}

func benchController(b *testing.B, customers, units, waiting int) (*Controller, func(i int) Request) {
	c := New(Config{MaxQueued: 2 * waiting})
	contracts := map[string]*contract.Contract{}
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("shop", i)
		k := &contract.Contract{Customer: names[i], Weight: 1 + i%3, RequestsPerSecond: 1e6, Burst: 1e6, MaxQueued: waiting}
		for j := range units {
			k.Adapters = append(k.Adapters, contract.Adapter{Name: fmt.Sprintf("%s-%d", names[i], j), Base: "m"})
		}
		contracts[names[i]] = k
	}
	c.SetContracts(contracts)
	c.SetVMs(9, 8)
	c.SetPeerUsage(epoch, nil)
	next := func(i int) Request {
		k := contracts[names[i%customers]]
		return Request{Customer: k.Customer, Unit: k.Adapters[i/customers%units].Name, Pool: "m", Arrived: epoch, Deadline: epoch.Add(time.Minute)}
	}
	for i := range waiting {
		_, refused := c.Submit(epoch, next(i))
		testkit.Need(b, refused == nil, "%v", refused)
	}
	b.ReportAllocs()
	return c, next
}

func BenchmarkController(b *testing.B) {
	none := func(*Ticket) bool { return false }
	for _, size := range benchSizes {
		for name, run := range map[string]func(c *Controller, r Request){
			// Submits one request and cancels its ticket.
			"arrive": func(c *Controller, r Request) {
				t, _ := c.Submit(epoch, r)
				c.Cancel(epoch, t)
			},
			// Dispatches one request, finishes it and submits another in its place.
			"next": func(c *Controller, r Request) {
				c.Finish(epoch, c.Next(epoch, "m", nil), Outcome{OK: true, TimeToFirstToken: time.Second, ServiceTime: time.Second})
				c.Submit(epoch, r)
			},
			// Checks the whole queue while no unit is loaded.
			"next-none-fits": func(c *Controller, _ Request) { c.Next(epoch, "m", none) },
			// Checks the whole queue for tickets that will miss their deadlines.
			"expire": func(c *Controller, _ Request) {
				c.recheckNeeded = true
				c.Expire(epoch)
			},
			// Reports usage and receives peer usage once, with all customers active.
			"digest": func(c *Controller, _ Request) {
				c.ReportUsage(epoch)
				c.SetPeerUsage(epoch, nil)
			},
		} {
			b.Run(name+"/"+size.name, func(b *testing.B) {
				c, next := benchController(b, size.customers, size.units, size.waiting)
				for i := 0; b.Loop(); i++ {
					run(c, next(i))
				}
				testkit.Need(b, c.waitingCount == size.waiting, "%d waiting, want %d", c.waitingCount, size.waiting)
			})
		}
	}
}

// BenchmarkSetContracts measures the cost per accepted contract change for a
// Controller, by the number of customers, half of which have traffic.
func BenchmarkSetContracts(b *testing.B) {
	for _, customers := range []int{25, 200, 2000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			c := New(Config{})
			contracts := map[string]*contract.Contract{}
			for i := range customers {
				name := fmt.Sprint("shop", i)
				contracts[name] = &contract.Contract{Customer: name, Weight: 1, RequestsPerSecond: 1e6, Burst: 1e6, MaxQueued: 100}
			}
			c.SetContracts(contracts)
			for i := range customers / 2 {
				t, refused := c.Submit(epoch, Request{Customer: fmt.Sprint("shop", i), Unit: "m", Pool: "m", Deadline: epoch.Add(1e9)})
				testkit.Need(b, refused == nil, "%v", refused)
				c.Cancel(epoch, t)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.SetContracts(contracts)
			}
		})
	}
}
