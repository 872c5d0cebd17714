package digest_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/internal/testkit"
)

// fleetSizes are a small fleet, one domain and the whole fleet at the largest size
// that the design is meant for.
var fleetSizes = []int{9, 486, 3400}

// busyDigest returns the digest of a VM with 20 requests per second: the given number
// of entries in the lists, with names as long as in production.
func busyDigest(i, entries int) entryvm.Digest {
	d := entryvm.Digest{
		VM: fmt.Sprintf("vm-%05d", i), Address: "10.120.130.140:7000", Domain: "d1", Region: "r1",
		Incarnation: "0123456789abcdef", Sequence: uint64(1000 + i), Applied: 1 << 30, InFlight: map[string]int{},
	}
	for k := range entries {
		unit, customer := fmt.Sprintf("adapter-%05d", i*7+k), fmt.Sprintf("customer-%03d", (i+k)%100)
		d.InFlight[fmt.Sprintf("10.120.%d.%d:8000", (i+k)/250%250, (i+k)%250)] = k%4 + 1
		d.Usage = append(d.Usage, entryvm.Usage{Customer: customer, AdmittedRate: 1.25, DemandRate: 1.5})
		d.RecentUses = append(d.RecentUses, entryvm.Use{Unit: unit, Age: 1e9})
		if k%4 == 0 {
			d.Demand = append(d.Demand, entryvm.Demand{Unit: unit, Customer: customer, Waiting: 1, Deadline: 1e9, Priority: 1})
		}
	}
	return d
}

// busyDigests returns the digests of n VMs, each with 8 entries.
func busyDigests(n int) []entryvm.Digest {
	digests := make([]entryvm.Digest, n)
	for i := range digests {
		digests[i] = busyDigest(i, 8)
	}
	return digests
}

// encodedSize returns the size in bytes of one message on a connection that has sent
// the gob types already.
func encodedSize(digests ...entryvm.Digest) int {
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	for range 2 {
		out.Reset()
		testkit.Must(0, encoder.Encode(&entryvm.ExchangeArgs{Digests: digests}))
	}
	return out.Len()
}

func BenchmarkMerge(b *testing.B) {
	testkit.EachSize(b, fleetSizes, func(b *testing.B, n int) {
		digests := busyDigests(n)
		table := digest.NewTable("self", timeout)
		b.ReportAllocs()
		for round := 0; b.Loop(); round++ {
			for i := range digests {
				digests[i].Sequence++
			}
			table.Merge(startTime, digests)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/digest")
		b.ReportMetric(float64(encodedSize(digests[0])), "wire-B/digest")
	})
}

func BenchmarkSummarize(b *testing.B) {
	testkit.EachSize(b, []int{9, 30}, func(b *testing.B, n int) {
		digests := busyDigests(n)
		var sum entryvm.Digest
		b.ReportAllocs()
		for b.Loop() {
			sum = digest.Summarize(digests[0], "cell", digests, 16)
		}
		b.ReportMetric(float64(encodedSize(sum)), "wire-B/sum")
	})
}

func BenchmarkTargets(b *testing.B) {
	testkit.EachSize(b, fleetSizes, func(b *testing.B, n int) {
		fleet := newFleet(n)
		b.ReportAllocs()
		for b.Loop() {
			digest.DefaultTopology.Targets(fleet[0], fleet, 0)
		}
		cells := digest.DefaultTopology.Divide(fleet, 0)
		start := time.Now()
		for range 1000 {
			cells.Targets(fleet[0])
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/1000, "ns/unchanged")
	})
}

// overheadBytes is what net/rpc, the project's framing, TCP and IP add to a message and
// its acknowledgement: 24 bytes of net/rpc and framing, 2 times 52 of TCP and IP.
const overheadBytes = 128

// BenchmarkTraffic reports the bytes per second that a VM sends and receives for
// digests, for the mean and for the busiest VM. It computes them from the topology and
// the encoded sizes, with a heartbeat of 500 ms.
func BenchmarkTraffic(b *testing.B) {
	const heartbeat = 500 * time.Millisecond
	own := float64(encodedSize(busyDigest(1, 8)) + overheadBytes)
	digests := busyDigests(30)
	sum := float64(encodedSize(digest.Summarize(digests[0], "cell", digests, 16)) + overheadBytes)
	testkit.EachSize(b, fleetSizes, func(b *testing.B, n int) {
		fleet := newFleet(n)
		var d degrees
		for b.Loop() {
			d = countTargets(fleet)
		}
		total, busiest := 0.0, 0.0
		for _, m := range fleet {
			rate := groupTraffic(m, d, own, sum) / heartbeat.Seconds()
			for level := digest.LevelDomain; level <= digest.LevelWorld; level++ {
				messages := float64(d.out[m.VM][level] + d.in[m.VM][level])
				rate += messages * (sum + overheadBytes) / level.ExchangeInterval(heartbeat).Seconds()
			}
			total += rate
			busiest = max(busiest, rate)
		}
		b.ReportMetric(total/float64(n), "mean-B/s")
		b.ReportMetric(busiest, "busiest-B/s")
		b.ReportMetric(float64(d.maxTargets), "max-targets")
		b.ReportMetric(float64(d.maxSources), "max-sources")
	})
}

// groupTraffic returns the bytes of one heartbeat within the group: digests out and in,
// an empty reply to VMs that initiate exchanges themselves and, every second time, a
// sum in a relay's reply to the others.
func groupTraffic(m digest.Member, d degrees, own, sum float64) float64 {
	out, in := float64(d.out[m.VM][digest.LevelGroup]), float64(d.in[m.VM][digest.LevelGroup])
	bytes := (out + in) * (own + overheadBytes)
	switch {
	case in > out:
		bytes += (in - out) * sum / 2
	case in == 0:
		bytes += out * sum / 2
	}
	return bytes
}
