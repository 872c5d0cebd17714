package idempotency_test

import (
	"fmt"
	"time"

	"bergamotreel/idempotency"
)

// A caller sends a booking to two entry VMs with the same key. Both claim it;
// only the first claim in the stream may dispatch.
func ExampleTable_Apply() {
	table := idempotency.NewTable()
	key := idempotency.KeyOf("trinidad", "pickup-2041")
	digest := idempotency.DigestOf("POST", "/book", []byte(`{"slot":"tue-10"}`))
	apply := func(offset uint64, entry idempotency.Entry) idempotency.Result {
		data, err := idempotency.Encode(idempotency.Record{Entries: []idempotency.Entry{entry}})
		if err != nil {
			fmt.Println(err)
			return idempotency.Result{}
		}
		return table.Apply(offset, time.Unix(int64(offset), 0), data)[0]
	}
	claim := func(offset uint64, vm string) {
		result := apply(offset, idempotency.Entry{Claim: &idempotency.Claim{
			ID: idempotency.ClaimID{Claimer: vm, Sequence: 1}, Key: key, Digest: digest, WindowMs: time.Hour.Milliseconds(),
		}})
		fmt.Println(vm, result.Verdict, "holder", result.Holder.ID.Claimer)
	}
	claim(1, "entry-1")
	claim(2, "entry-4")
	apply(3, idempotency.Entry{Outcome: &idempotency.Outcome{
		Key: key, ClaimRevision: idempotency.MakeRevision(1, 0), Answer: idempotency.MakeAnswer(201, nil, []byte("booked")),
	}})
	fmt.Println(table.HolderOf(key).Answer.Status)
	// Output:
	// entry-1 applied holder entry-1
	// entry-4 taken holder entry-1
	// 201
}
