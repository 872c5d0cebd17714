package idempotency_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotreel/idempotency"
	"bergamotreel/internal/testkit"
)

// historyEntry is an entry of the complete history, from which the reference
// model is computed.
type historyEntry struct {
	at    time.Time
	rev   idempotency.Revision
	entry idempotency.Entry
}

// referenceHolder is the reference model of one key after a history, recomputed
// from the start.
type referenceHolder struct {
	claim    *idempotency.Claim
	rev      idempotency.Revision
	expires  time.Time
	answer   *idempotency.Answer
	free     bool
	released []idempotency.ClaimID
	// releasedAt is the offset of the newest release.
	releasedAt uint64
}

// replayHistory computes the state of one key from the history up to a time. It
// returns the holder at that time and the verdict of the last entry.
func replayHistory(history []historyEntry, key idempotency.Key, now time.Time) (holder referenceHolder, last idempotency.Verdict) {
	for _, e := range history {
		if holder.claim != nil && !holder.expires.After(e.at) {
			holder = referenceHolder{}
		}
		isHeld := holder.claim != nil && !holder.free
		last = idempotency.VerdictStale
		switch c, o, r := e.entry.Claim, e.entry.Outcome, e.entry.Release; {
		case c != nil && c.Key == key:
			last = holder.verdict(c, isHeld)
			if last == idempotency.VerdictApplied && !isHeld {
				holder = holder.afterClaim(e, c)
			}
		case o != nil && o.Key == key && isHeld && o.ClaimRevision == holder.rev && holder.answer == nil:
			holder.answer, last = &o.Answer, idempotency.VerdictApplied
		case r != nil && r.Key == key && isHeld && r.ClaimRevision == holder.rev && r.ID == holder.claim.ID && holder.answer == nil:
			holder.free, holder.released, last = true, append(slices.Clone(holder.released), r.ID), idempotency.VerdictApplied
			holder.releasedAt, holder.expires = e.rev.Offset(), e.at.Add(idempotency.ReleaseTTL)
		}
	}
	if holder.claim != nil && !holder.expires.After(now) {
		holder = referenceHolder{}
	}
	return holder, last
}

// afterClaim returns the state after the claim is applied. It keeps the
// releases for as long as they must be remembered.
func (h referenceHolder) afterClaim(e historyEntry, c *idempotency.Claim) referenceHolder {
	expires := e.at.Add(time.Duration(c.WindowMs) * time.Millisecond)
	if expires.Before(h.expires) {
		expires = h.expires
	}
	return referenceHolder{claim: c, rev: e.rev, expires: expires, released: h.released, releasedAt: h.releasedAt}
}

func (h referenceHolder) verdict(c *idempotency.Claim, isHeld bool) idempotency.Verdict {
	switch {
	case c.WindowMs < idempotency.MinWindow.Milliseconds():
		return idempotency.VerdictInvalid
	case isHeld && h.claim.ID == c.ID:
		return idempotency.VerdictApplied
	case isHeld && h.claim.Digest != c.Digest:
		return idempotency.VerdictMismatch
	case isHeld:
		return idempotency.VerdictTaken
	case slices.Contains(h.released, c.ID), c.FirstUnseen != 0 && h.releasedAt >= c.FirstUnseen:
		return idempotency.VerdictStale
	}
	return idempotency.VerdictApplied
}

// claimOf returns a claim with the digest 7 and a window of one hour.
func claimOf(claimer string, sequence uint64, key idempotency.Key) idempotency.Entry {
	return idempotency.Entry{Claim: &idempotency.Claim{
		ID: idempotency.ClaimID{Claimer: claimer, Sequence: sequence}, Key: key, Digest: 7, WindowMs: time.Hour.Milliseconds(),
	}}
}

func encode(t testkit.Fataler, entries ...idempotency.Entry) []byte {
	return encodeRecord(t, idempotency.Record{Entries: entries})
}

func encodeRecord(t testkit.Fataler, record idempotency.Record) []byte {
	return testkit.Value(idempotency.Encode(record))(t)
}

// restoreFromSnapshot returns the table restored from its own snapshot.
func restoreFromSnapshot(t testkit.Fataler, table *idempotency.Table) *idempotency.Table {
	parts := testkit.Value(table.Snapshot("w"))(t)
	return testkit.Value(idempotency.Restore(parts))(t)
}

var keys = []idempotency.Key{idempotency.KeyOf("hire", "a"), idempotency.KeyOf("hire", "b"), idempotency.KeyOf("debt", "a")}

var answers = []idempotency.Answer{
	{}, idempotency.MakeAnswer(204, nil, nil), idempotency.MakeAnswer(200, nil, []byte("booked")),
	idempotency.MakeAnswer(201, map[string]string{"Content-Type": "application/json", "Location": "/b/1"}, []byte("{}")),
	idempotency.MakeAnswer(200, nil, make([]byte, idempotency.MaxBodyBytes+1)),
}

// drawEntry draws an entry that often refers to the claim that holds the key.
func drawEntry(t *rapid.T, table *idempotency.Table) idempotency.Entry {
	key := rapid.SampledFrom(keys).Draw(t, "key")
	id := idempotency.ClaimID{Claimer: rapid.SampledFrom([]string{"vm", "other"}).Draw(t, "claimer"), Sequence: rapid.Uint64Range(1, 6).Draw(t, "id")}
	rev := idempotency.Revision(0)
	if holder := table.HolderOf(key); holder != nil && rapid.IntRange(0, 9).Draw(t, "stale") != 4 {
		id, rev = holder.ID, holder.Revision
	}
	switch rapid.SampledFrom([]string{"claim", "outcome", "release", "retry"}).Draw(t, "kind") {
	case "outcome":
		return idempotency.Entry{Outcome: &idempotency.Outcome{Key: key, ClaimRevision: rev, Answer: rapid.SampledFrom(answers).Draw(t, "answer")}}
	case "release":
		return idempotency.Entry{Release: &idempotency.Release{Key: key, ClaimRevision: rev, ID: id}}
	case "claim":
		id.Sequence = rapid.Uint64Range(1, 6).Draw(t, "new id")
	}
	window := rapid.Int64Range(1000, 4000).Draw(t, "window")
	if rapid.IntRange(0, 19).Draw(t, "too short") == 7 {
		window = 999
	}
	return idempotency.Entry{Claim: &idempotency.Claim{
		ID: id, Key: key, Digest: rapid.SampledFrom([]idempotency.Digest{1, 2}).Draw(t, "digest"),
		WindowMs: window,
		// Below, among or above the applied offsets; 0 as in records of older code.
		FirstUnseen: rapid.Uint64Range(0, table.Applied()+1).Draw(t, "first unseen"),
	}}
}

// TestTableAgreesWithReference applies claims, outcomes and releases alone, in
// groups, twice and among garbage, while the log's time advances. After each
// record, the table must match a replay of the complete history, and so must a
// table that is repeatedly restored from its snapshot.
func TestTableAgreesWithReference(t *testing.T) {
	verdicts := map[idempotency.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		table, restored := idempotency.NewTable(), idempotency.NewTable()
		var history []historyEntry
		now, offset := time.UnixMilli(1_000_000), uint64(0)
		apply := func(t *rapid.T, entries ...idempotency.Entry) {
			pause := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 39).Draw(t, "long pause") == 13 {
				pause = idempotency.ReleaseTTL
			}
			now = now.Add(pause)
			offset++
			data := encode(t, entries...)
			restored.Apply(offset, now, data)
			for i, result := range table.Apply(offset, now, data) {
				history = append(history, historyEntry{now, idempotency.MakeRevision(offset, i), entries[i]})
				_, want := replayHistory(history, result.Key, now)
				verdicts[result.Verdict]++
				if result.Verdict != want {
					t.Fatalf("%+v: verdict %s, reference %s", entries[i], result.Verdict, want)
				}
			}
			for _, key := range keys {
				holder, _ := replayHistory(history, key, now)
				testkit.Require(t, "holder", describeHolder(table.HolderOf(key)), holder.String())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"land":  func(t *rapid.T) { apply(t, drawEntry(t, table)) },
			"group": func(t *rapid.T) { apply(t, drawEntry(t, table), drawEntry(t, table)) },
			"again": func(t *rapid.T) {
				if len(history) > 0 {
					apply(t, rapid.SampledFrom(history).Draw(t, "again").entry)
				}
			},
			"garbage": func(t *rapid.T) {
				offset++
				table.Apply(offset, now, []byte{0xff, 1})
				restored.Apply(offset, now, []byte{0xff, 1})
			},
			"snapshot": func(t *rapid.T) { restored = restoreFromSnapshot(t, restored) },
		})
		if one, other := checksum(t, table), checksum(t, restored); one != other || checksum(t, table.Clone()) != one {
			t.Fatal("tables differ")
		}
	})
	t.Log(verdicts)
	if len(verdicts) != 5 {
		t.Error("not every verdict occurred")
	}
}

func checksum(t testkit.Fataler, table *idempotency.Table) uint64 {
	parts := testkit.Value(table.Snapshot("w"))(t)
	return parts[0].Sum
}

func (h referenceHolder) String() string {
	if h.claim == nil || h.free {
		return "free"
	}
	return fmt.Sprint(h.claim.ID, h.claim.Digest, h.rev, h.expires.UnixMilli(), h.answer)
}

func describeHolder(h *idempotency.Holder) string {
	if h == nil {
		return "free"
	}
	return fmt.Sprint(h.ID, h.Digest, h.Revision, h.ExpiresMs, h.Answer)
}
