package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"bergamotreel/engine"
	"bergamotreel/internal/expect"
)

// BenchmarkStatus is the processor time to read one engine's status, without the
// kernel's part, and its body's size, by the units that it holds.
func BenchmarkStatus(b *testing.B) {
	for _, units := range []int{2, 10, 40} {
		status := engine.Status{Incarnation: "3f9a2b7c1d", Role: engine.RoleBoth, MemoryBytes: 80 << 30, Slots: 16,
			Cached: map[string]engine.Tier{}}
		for i := range units {
			name := fmt.Sprintf("adapter-%05d", i)
			status.Units = append(status.Units, engine.Unit{Unit: name, Base: "base-7b", Checkpoint: name + ":1",
				Bytes: 200 << 20, Phase: engine.PhaseReady})
			status.Cached["other-"+name] = engine.TierDisk
		}
		body, err := json.Marshal(status)
		expect.OK(b, err)
		b.Run(fmt.Sprint(units, "units"), func(b *testing.B) {
			client := engine.NewClient(&http.Client{Transport: cannedTransport(body)})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Status(context.Background(), "engine"); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-B/status")
		})
	}
}
