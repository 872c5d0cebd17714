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

// emptyHandler is a Handler that answers with empty replies.
type emptyHandler struct{}

func (emptyHandler) Exchange([]entryvm.Digest) []entryvm.Digest { return nil }
func (emptyHandler) Want(string, []entryvm.Demand)              {}
func (emptyHandler) Histories([]entryvm.UnitHistory)            {}
func (emptyHandler) Records(uint64, time.Duration) (entryvm.Records, error) {
	return entryvm.Records{}, nil
}
func (emptyHandler) Claimed(entryvm.ClaimQuery) (reply entryvm.ClaimReply) { return reply }
func (emptyHandler) Claim(entryvm.ClaimCall) (result entryvm.ClaimResult)  { return result }
func (emptyHandler) Settle(entryvm.ClaimCall) (stored bool)                { return stored }

// BenchmarkExchange exchanges one message with 1, 8 or 30 digests over the loopback
// interface. Each digest has 8 entries of each kind. cpu-ns/op is the processor time of both
// sides, including the kernel's.
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

// BenchmarkClaim measures what a booking adds at a VM that doesn't hold its shard: a Claim
// and a Settle call to a holder that answers immediately, with outcomes of the given number
// of bytes. "connecting" uses a new connection for each booking. wireB/op counts the message
// bytes in both directions, without TCP overhead.
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

// serve serves an emptyHandler until the benchmark ends.
func serve(b *testing.B) testkit.CountingListener {
	inner := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(b)
	listener := testkit.CountingListener{Listener: inner, Bytes: &atomic.Int64{}}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- entryvm.Serve(ctx, listener, benchSecret, emptyHandler{}, nil) }()
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
