package admission

import (
	"fmt"
	"testing"

	"bergamotreel/contract"
)

// BenchmarkSetContracts is what each accepted change of any contract costs a
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
				t, refused := c.Arrive(epoch, Request{Customer: fmt.Sprint("shop", i), Unit: "m", Pool: "m", Deadline: epoch.Add(1e9)})
				if refused != nil {
					b.Fatal(refused)
				}
				c.Leave(epoch, t)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.SetContracts(contracts)
			}
		})
	}
}
