package idempotency

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/wire"
)

// The types below decode format 1, which is CBOR. It contains customers' keys
// and digests in full. They are converted to the keys and digests of the newest
// format, so that a key claimed in one format is held in the other.

type legacyKey struct {
	Customer string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
}

// legacyDigest is a SHA-256 in base64.
type legacyDigest string

type legacyRecord struct {
	Format   int           `cbor:"1,keyasint"`
	Entries  []legacyEntry `cbor:"2,keyasint,omitempty"`
	Snapshot *chunks.Chunk `cbor:"3,keyasint,omitempty"`
}

type legacyEntry struct {
	Claim   *legacyClaim   `cbor:"1,keyasint,omitempty"`
	Outcome *legacyOutcome `cbor:"2,keyasint,omitempty"`
	Release *legacyRelease `cbor:"3,keyasint,omitempty"`
}

type legacyClaim struct {
	ID          ClaimID      `cbor:"1,keyasint"`
	Key         legacyKey    `cbor:"2,keyasint"`
	Digest      legacyDigest `cbor:"3,keyasint"`
	WindowMs    int64        `cbor:"5,keyasint"`
	FirstUnseen uint64       `cbor:"6,keyasint,omitempty"`
}

type legacyOutcome struct {
	Key           legacyKey `cbor:"1,keyasint"`
	ClaimRevision Revision  `cbor:"2,keyasint"`
	Answer        Answer    `cbor:"3,keyasint"`
}

type legacyRelease struct {
	Key           legacyKey `cbor:"1,keyasint"`
	ClaimRevision Revision  `cbor:"2,keyasint"`
	ID            ClaimID   `cbor:"3,keyasint"`
}

func (k legacyKey) convert() Key { return KeyOf(k.Customer, k.Key) }

func (d legacyDigest) convert() Digest {
	sum, err := base64.RawURLEncoding.DecodeString(string(d))
	if err != nil || len(sum) != sha256.Size {
		hashed := sha256.Sum256([]byte(d))
		sum = hashed[:]
	}
	return Digest(binary.BigEndian.Uint64(sum))
}

func decodeLegacy(data []byte) (Record, error) {
	var old legacyRecord
	if err := wire.UnmarshalRecord(data, &old); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if old.Format != 1 {
		return Record{}, Error.New("format %d, this code reads up to %d", old.Format, NewestFormat)
	}
	if len(old.Entries) > MaxEntries {
		return Record{}, Error.New("%d entries, at most %d", len(old.Entries), MaxEntries)
	}
	record := Record{Snapshot: old.Snapshot}
	for i := range old.Entries {
		record.Entries = append(record.Entries, old.Entries[i].convert())
	}
	return record, nil
}

func (e legacyEntry) convert() (entry Entry) {
	if e.Claim != nil {
		entry.Claim = e.Claim.convert()
	}
	if o := e.Outcome; o != nil {
		entry.Outcome = &Outcome{Key: o.Key.convert(), ClaimRevision: o.ClaimRevision, Answer: o.Answer}
	}
	if r := e.Release; r != nil {
		entry.Release = &Release{Key: r.Key.convert(), ClaimRevision: r.ClaimRevision, ID: r.ID}
	}
	return entry
}

// convert converts a claim. An invalid claim becomes one that is invalid in the
// newer format too.
func (c *legacyClaim) convert() *Claim {
	k := c.Key
	if k.Customer == "" || k.Key == "" || len(k.Key) > MaxKeyBytes || c.Digest == "" {
		return &Claim{Key: k.convert()}
	}
	return &Claim{ID: c.ID, Key: k.convert(), Digest: c.Digest.convert(), WindowMs: c.WindowMs, FirstUnseen: c.FirstUnseen}
}

// legacySnapshot is the encoded table of format 1.
type legacySnapshot struct {
	Applied uint64          `cbor:"1,keyasint"`
	Skipped uint64          `cbor:"2,keyasint"`
	NowMs   int64           `cbor:"3,keyasint"`
	Holders []*legacyHolder `cbor:"4,keyasint"`
}

type legacyHolder struct {
	Key        legacyKey    `cbor:"1,keyasint"`
	ID         ClaimID      `cbor:"2,keyasint"`
	Digest     legacyDigest `cbor:"3,keyasint"`
	Revision   Revision     `cbor:"5,keyasint"`
	ExpiresMs  int64        `cbor:"6,keyasint"`
	Answer     *Answer      `cbor:"7,keyasint,omitempty"`
	Released   []ClaimID    `cbor:"8,keyasint,omitempty"`
	Free       bool         `cbor:"9,keyasint,omitempty"`
	ReleasedAt uint64       `cbor:"10,keyasint,omitempty"`
}

func restoreLegacy(data []byte) (*Table, error) {
	var old legacySnapshot
	if err := wire.UnmarshalSnapshot(data, &old); err != nil {
		return nil, Error.Wrap(err)
	}
	t := NewTable()
	t.applied, t.skipped, t.nowMs = old.Applied, old.Skipped, old.NowMs
	for _, h := range old.Holders {
		if h == nil {
			return nil, Error.New("snapshot with an empty entry")
		}
		restored := row{Holder: Holder{
			Key: h.Key.convert(), ID: h.ID, Digest: h.Digest.convert(), Revision: h.Revision, ExpiresMs: h.ExpiresMs, Answer: h.Answer,
		}}
		if len(h.Released) > 0 || h.Free {
			restored.release = &releaseState{free: h.Free, offset: h.ReleasedAt, ids: h.Released}
		}
		t.keys.put(restored)
	}
	return t, nil
}
