package entryvm_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"bergamotreel/entryvm"
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
	secret := []byte("a fleet secret of 32 or more bytes")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	served := make(chan error)
	go func() { served <- entryvm.Serve(ctx, listener, secret, mute{}, nil) }()
	defer func() { stop(); <-served }()
	client, err := entryvm.NewClient(secret, time.Second, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	for _, n := range []int{1, 8, 30} {
		digests := make([]entryvm.Digest, n)
		for i := range digests {
			digests[i] = busyDigest(i)
		}
		b.Run(fmt.Sprint(n, "digests"), func(b *testing.B) {
			begun := processorTime(b)
			for b.Loop() {
				if _, err := client.Exchange(b.Context(), listener.Addr().String(), digests); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-begun)/float64(b.N), "cpu-ns/op")
		})
	}
}

func busyDigest(i int) entryvm.Digest {
	d := entryvm.Digest{VM: fmt.Sprintf("vm-%05d", i), Address: "10.120.130.140:7000", Domain: "d1", Region: "r1",
		Incarnation: "0123456789abcdef", Sequence: 1000, Applied: 1 << 30, InFlight: map[string]int{}}
	for k := range 8 {
		unit, customer := fmt.Sprintf("adapter-%05d", i*7+k), fmt.Sprintf("customer-%03d", (i+k)%100)
		d.InFlight[fmt.Sprintf("10.120.%d.%d:8000", i/250, (i+k)%250)] = k%4 + 1
		d.Usage = append(d.Usage, entryvm.Usage{Customer: customer, Admitted: 1.25, Arrived: 1.5})
		d.Used = append(d.Used, entryvm.Use{Unit: unit, Ago: time.Second})
	}
	return d
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
