package entryvm_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// mute is a peer that answers with nothing.
type mute struct{}

func (mute) Exchange([]entryvm.Digest) []entryvm.Digest             { return nil }
func (mute) Want(string, []entryvm.Demand)                          {}
func (mute) Histories([]entryvm.UnitHistory)                        {}
func (mute) Records(uint64, time.Duration) (entryvm.Records, error) { return entryvm.Records{}, nil }
func (mute) Claimed(entryvm.ClaimQuery) (reply entryvm.ClaimReply)  { return reply }
func (mute) Claim(entryvm.ClaimCall) (result entryvm.ClaimResult)   { return result }
func (mute) Settle(entryvm.ClaimCall) (stored bool)                 { return stored }

// BenchmarkExchange is one message with so many digests over the loopback, each
// with 8 entries of everything; cpu-ns/op is the processor time of both ends,
// with the kernel's part.
func BenchmarkExchange(b *testing.B) {
	listener := serve(b)
	client := connect(b)
	for _, n := range []int{1, 8, 30} {
		digests := make([]entryvm.Digest, n)
		for i := range digests {
			digests[i] = busyDigest(i)
		}
		b.Run(fmt.Sprint(n, "digests"), func(b *testing.B) {
			begun := testkit.ProcessorTime()
			for b.Loop() {
				testkit.Value(client.Exchange(b.Context(), listener.Addr().String(), digests))(b)
			}
			b.ReportMetric(float64(testkit.ProcessorTime()-begun)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkClaim is what a booking at a VM that doesn't hold its shard adds: a
// claim and a settling at a holder that answers at once, with outcomes of so many
// bytes; "connecting" has a new connection for each. B/op on the wire are of the
// messages, both ways, without TCP's part.
func BenchmarkClaim(b *testing.B) {
	listener := serve(b)
	address := listener.Addr().String()
	claim := entryvm.ClaimCall{Shard: 17, Shards: 64, Record: make([]byte, 63)}
	book := func(b *testing.B, client *entryvm.Client, outcome int) {
		testkit.Value(client.Claim(b.Context(), address, claim))(b)
		settle := entryvm.ClaimCall{Shard: 17, Shards: 64, Record: make([]byte, outcome)}
		testkit.Value(client.Settle(b.Context(), address, settle))(b)
	}
	run := func(name string, call func(b *testing.B)) {
		b.Run(name, func(b *testing.B) {
			begun, bytes := testkit.ProcessorTime(), listener.Bytes.Load()
			for b.Loop() {
				call(b)
			}
			b.ReportMetric(float64(testkit.ProcessorTime()-begun)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(listener.Bytes.Load()-bytes)/float64(b.N), "wireB/op")
		})
	}
	client := connect(b)
	for _, outcome := range []int{32, 72, 4096} {
		run(fmt.Sprint(outcome, "B"), func(b *testing.B) { book(b, client, outcome) })
	}
	run("connecting", func(b *testing.B) {
		client := connect(b)
		book(b, client, 72)
		_ = client.Close()
	})
}

var benchSecret = []byte("a fleet secret of 32 or more bytes")

// serve serves mute until the benchmark ends.
func serve(b *testing.B) testkit.CountingListener {
	inner := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(b)
	listener := testkit.CountingListener{Listener: inner, Bytes: &atomic.Int64{}}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- entryvm.Serve(ctx, listener, benchSecret, mute{}, nil) }()
	b.Cleanup(func() { stop(); <-served })
	return listener
}

func connect(b *testing.B) *entryvm.Client {
	client := testkit.Value(entryvm.NewClient(benchSecret, time.Second, nil))(b)
	b.Cleanup(func() { _ = client.Close() })
	return client
}

func busyDigest(i int) entryvm.Digest {
	d := entryvm.Digest{VM: fmt.Sprintf("vm-%05d", i), Address: "10.120.130.140:7000", Domain: "d1", Region: "r1",
		Incarnation: "0123456789abcdef", Sequence: 1000, Applied: 1 << 30, InFlight: map[string]int{}}
	for k := range 8 {
		unit, customer := fmt.Sprintf("adapter-%05d", i*7+k), fmt.Sprintf("customer-%03d", (i+k)%100)
		d.InFlight[fmt.Sprintf("10.120.%d.%d:8000", i/250, (i+k)%250)] = k%4 + 1
		d.Usage = append(d.Usage, entryvm.Usage{Customer: customer, AdmittedRate: 1.25, DemandRate: 1.5})
		d.RecentUses = append(d.RecentUses, entryvm.Use{Unit: unit, Age: time.Second})
	}
	return d
}
