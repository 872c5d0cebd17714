package idempotency_test

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"bergamotreel/idempotency"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/testkit"
)

// Encodings of legacyEntries in format 1: two records, the table after them,
// and a record with that table's snapshot. They were written by the code of
// commit 2f66962.
const (
	legacyClaims   = "ogEBAoOhAaUBogFkdm0tMQIBAqIBZGhpcmUCYWEDeCtnNkJSSENSU0VDWldXQ3BDTXRfVXNHNHY1YnVNYWFMREFiV081NGUwbGNvBGJ2bQUaADbugKEBpQGiAWR2bS0xAgICogFkaGlyZQJhYgN4K1VMTm1JOHc5TVZ6N05MVGx0OHBiblVxdUJvS3ptUEEwaFh6d0c2U0ZQNmMEYnZtBRoANu6AoQGmAaIBZHZtLTECAwKiAWRkZWJ0AmFhA3grZzZCUkhDUlNFQ1pXV0NwQ010X1VzRzR2NWJ1TWFhTERBYldPNTRlMGxjbwRidm0FGgA27oAGAQ=="
	legacyOutcomes = "ogEBAoKhAqMBogFkaGlyZQJhYQIZEAADowEYyQKhbENvbnRlbnQtVHlwZXBhcHBsaWNhdGlvbi9qc29uA1F7ImJvb2tpbmciOiJCLTEifaEDowGiAWRoaXJlAmFiAhkQAQOiAWR2bS0xAgI="
	legacyTable    = "pAECAgADAgSDpwGiAWRoaXJlAmFhAqIBZHZtLTECAQN4K2c2QlJIQ1JTRUNaV1dDcENNdF9Vc0c0djVidU1hYUxEQWJXTzU0ZTBsY28EYnZtBRkQAAYaADbugQejARjJAqFsQ29udGVudC1UeXBlcGFwcGxpY2F0aW9uL2pzb24DUXsiYm9va2luZyI6IkItMSJ9qQGiAWRoaXJlAmFiAqIBZHZtLTECAgN4K1VMTm1JOHc5TVZ6N05MVGx0OHBiblVxdUJvS3ptUEEwaFh6d0c2U0ZQNmMEYnZtBRkQAQYaAA27ogiBogFkdm0tMQICCfUKAqYBogFkZGVidAJhYQKiAWR2bS0xAgMDeCtnNkJSSENSU0VDWldXQ3BDTXRfVXNHNHY1YnVNYWFMREFiV081NGUwbGNvBGJ2bQUZEAIGGgA27oE="
	legacySnapshot = "ogEBA6YBYXcCAgMABAEGG7+TapJlIAVtB1jyWsLIxMTAzMTSvJxxEWNKRmZRKlNiItMixpSyXF1DJkbmCu10M6cgD+egYFfnqPBw5wJn35L40GJ3kzLTpFLfxEQfF8ekcH9Tk1SDnOR8lqSyXFZJAQY2KQazd43sixklTjItzHHOzytJzSvRDaksSC1ILCjIyUxOLMnMz9PPKs7PYw6sVkrKz8/OzEtXslJy0jVUql2JcEkS3CVMzBXaoT5+uZ4W5Za+YVXmfj4hOSUWBUl5oYWlTvneVbkBjgYZEVXl7mbBbgFmyVCXMLJJMfDuXsTRCDeG8ysX0zKQBSmpSSXIXmUmy6tMEK8CAgAA//8="
)

func fromBase64(t testkit.Fataler, text string) []byte {
	return testkit.Value(base64.StdEncoding.DecodeString(text))(t)
}

// legacyEntries returns the entries of the two records.
func legacyEntries() (claims, outcomes []idempotency.Entry) {
	for i, key := range []string{"a", "b", "a"} {
		claims = append(claims, idempotency.Entry{Claim: &idempotency.Claim{
			ID: idempotency.ClaimID{Claimer: "vm-1", Sequence: uint64(i + 1)}, Key: keys[i],
			Digest: idempotency.DigestOf("POST", "/book", []byte(key)), WindowMs: time.Hour.Milliseconds(), FirstUnseen: uint64(i / 2),
		}})
	}
	answer := idempotency.MakeAnswer(201, map[string]string{"Content-Type": "application/json"}, []byte(`{"booking":"B-1"}`))
	outcomes = []idempotency.Entry{
		{Outcome: &idempotency.Outcome{Key: keys[0], ClaimRevision: idempotency.MakeRevision(1, 0), Answer: answer}},
		{Release: &idempotency.Release{Key: keys[1], ClaimRevision: idempotency.MakeRevision(1, 1), ID: claims[1].Claim.ID}},
	}
	return claims, outcomes
}

// TestLegacyRecordsStillApply guards against bookings of older code being lost
// in an upgrade. The log may contain them as records, as a snapshot, or as a
// claim in the older and an outcome in the newer format. A repeat must find its
// booking under its own key, so all of these must yield the same table.
func TestLegacyRecordsStillApply(t *testing.T) {
	claims, outcomes := legacyEntries()
	olderClaims, olderOutcomes := fromBase64(t, legacyClaims), fromBase64(t, legacyOutcomes)
	newerClaims, newerOutcomes := encode(t, claims...), encode(t, outcomes...)
	if len(newerClaims) > len(olderClaims)/2 || len(newerOutcomes) > len(olderOutcomes) {
		t.Errorf("%d and %d B, were %d and %d B", len(newerClaims), len(newerOutcomes), len(olderClaims), len(olderOutcomes))
	}
	want := applyAll(t, newerClaims, newerOutcomes)
	snapshot := testkit.Value(idempotency.Decode(fromBase64(t, legacySnapshot)))(t)
	fromSnapshot := testkit.Value(idempotency.Restore([]chunks.Chunk{*snapshot.Snapshot}))(t)
	for name, table := range map[string]*idempotency.Table{
		"older": applyAll(t, olderClaims, olderOutcomes), "older, newer": applyAll(t, olderClaims, newerOutcomes),
		"newer, older": applyAll(t, newerClaims, olderOutcomes), "snapshot": fromSnapshot,
	} {
		if checksum(t, table) != checksum(t, want) || table.HolderOf(keys[0]).Answer.Status != 201 || table.HolderOf(keys[1]) != nil {
			t.Errorf("%s: the table differs", name)
		}
	}
}

func applyAll(t testkit.Fataler, records ...[]byte) *idempotency.Table {
	table := idempotency.NewTable()
	for i, data := range records {
		for _, result := range table.Apply(uint64(i+1), time.UnixMilli(int64(i+1)), data) {
			testkit.Require(t, fmt.Sprintf("%+v", result), result.Verdict, idempotency.VerdictApplied)
		}
	}
	return table
}
