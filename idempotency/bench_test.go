package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/idempotency"
	"bergamotreel/internal/testkit"
)

// claimCounts are the numbers of claims held in one window of one shard.
var claimCounts = []int{1_000, 10_000, 100_000}

// sampleBody is the body of a typical answer.
const sampleBody = `{"booking":"B-2041","shop":"san-fernando"}`

// encodePair returns a claim and its outcome as one record each. With an empty
// body, the answer is a status alone.
func encodePair(b *testing.B, i int, body string) (claim, outcome []byte) {
	name := fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
	key := idempotency.KeyOf("customer-017", name)
	digest := idempotency.DigestOf("POST", "/services/booking/book", []byte(name))
	claim = encode(b, idempotency.Entry{Claim: &idempotency.Claim{
		ID: idempotency.ClaimID{Claimer: "entry-vm-0017-3f9a2b7c1d", Sequence: uint64(i + 1)}, Key: key, Digest: digest, WindowMs: 24 * time.Hour.Milliseconds(), FirstUnseen: uint64(2*i + 1)}})
	answer := idempotency.MakeAnswer(201, nil, nil)
	if body != "" {
		answer = idempotency.MakeAnswer(201, map[string]string{"Content-Type": "application/json"}, []byte(body))
	}
	outcome = encode(b, idempotency.Entry{Outcome: &idempotency.Outcome{Key: key, ClaimRevision: idempotency.MakeRevision(uint64(2*i+1), 0),
		Answer: answer}})
	return claim, outcome
}

// applyPairs applies the first n pairs.
func applyPairs(b *testing.B, table *idempotency.Table, n int, body string) {
	for i := range n {
		claim, outcome := encodePair(b, i, body)
		applyPair(b, table, i, claim, outcome)
	}
}

func applyPair(b *testing.B, table *idempotency.Table, i int, claim, outcome []byte) {
	table.Apply(uint64(2*i+1), time.UnixMilli(int64(i)), claim)
	if r := table.Apply(uint64(2*i+2), time.UnixMilli(int64(i)), outcome)[0]; r.Verdict != idempotency.VerdictApplied {
		b.Fatal(r)
	}
}

// BenchmarkApply applies a claim and its outcome, in two records, to a table
// with n held claims.
func BenchmarkApply(b *testing.B) {
	for _, n := range claimCounts {
		b.Run(fmt.Sprint(n, "held"), func(b *testing.B) {
			table := idempotency.NewTable()
			applyPairs(b, table, n, sampleBody)
			bytes, i := 0, n
			for b.Loop() {
				b.StopTimer()
				claim, outcome := encodePair(b, i, sampleBody)
				bytes += len(claim) + len(outcome)
				b.StartTimer()
				applyPair(b, table, i, claim, outcome)
				i++
			}
			b.ReportMetric(float64(bytes)/float64(i-n), "B/call")
		})
	}
}

// BenchmarkMemory reports the bytes of heap and of snapshot per held claim,
// with a typical answer and with a status alone.
func BenchmarkMemory(b *testing.B) {
	for name, body := range map[string]string{"": sampleBody, "bare": ""} {
		for _, n := range claimCounts {
			b.Run(fmt.Sprint(n, "held", name), func(b *testing.B) { benchmarkMemory(b, n, body) })
		}
	}
}

func benchmarkMemory(b *testing.B, n int, body string) {
	var heap, snapshot float64
	for b.Loop() {
		var table *idempotency.Table
		heap, snapshot = testkit.HeapBytes(func() *idempotency.Table {
			table = idempotency.NewTable()
			applyPairs(b, table, n, body)
			return table
		}), 0
		parts := testkit.Value(table.Snapshot("w"))(b)
		for _, part := range parts {
			snapshot += float64(len(part.Data))
		}
	}
	b.ReportMetric(heap/float64(n), "B/claim")
	b.ReportMetric(snapshot/float64(n), "snapshotB/claim")
}
