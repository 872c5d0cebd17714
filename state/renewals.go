package state

import (
	"cmp"
	"slices"

	"bergamotreel/internal/wire"
)

// Renewals is a list of renewals with a compact encoding, because every VM decodes one
// renewal per session every few seconds. It is encoded as one array of numbers, sorted
// by session: for each renewal the difference to the session before and the renewal's
// number. Sessions are opened within days of each other, so a difference takes 5 bytes
// where a SessionID takes 9.
type Renewals []Renewal

// numbersPerRenewal is the number of array elements that encode a renewal.
const numbersPerRenewal = 2

// MarshalCBOR implements cbor.Marshaler.
func (r Renewals) MarshalCBOR() ([]byte, error) {
	sorted := slices.SortedStableFunc(slices.Values(r), func(a, b Renewal) int { return cmp.Compare(a.Session, b.Session) })
	numbers := make([]uint64, 0, numbersPerRenewal*len(r))
	var before SessionID
	for _, renewal := range sorted {
		numbers = append(numbers, uint64(renewal.Session-before), renewal.Number)
		before = renewal.Session
	}
	data, err := wire.Marshal(numbers)
	return data, Error.Wrap(err)
}

// UnmarshalCBOR implements cbor.Unmarshaler. Differences that overflow yield sessions
// that don't exist, which Apply ignores.
func (r *Renewals) UnmarshalCBOR(data []byte) error {
	var numbers []uint64
	if err := wire.UnmarshalRecord(data, &numbers); err != nil {
		return Error.Wrap(err)
	}
	if len(numbers)%numbersPerRenewal != 0 {
		return Error.New("renewals have an odd count of numbers: %d", len(numbers))
	}
	*r = make(Renewals, 0, len(numbers)/numbersPerRenewal)
	var session SessionID
	for pair := range slices.Chunk(numbers, numbersPerRenewal) {
		session += SessionID(pair[0])
		*r = append(*r, Renewal{Session: session, Number: pair[1]})
	}
	return nil
}
