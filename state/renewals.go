package state

import (
	"cmp"
	"slices"

	"bergamotreel/internal/wire"
)

// Renewals are encoded as one array of numbers, since every VM reads one of them for
// each session every few seconds: by session, how much it is above the one before,
// and its number. Sessions are opened within days of each other, so that their
// distance takes 5 bytes where the session itself takes 9.
type Renewals []Renewal

// numbersEach is how many numbers a renewal is encoded as.
const numbersEach = 2

// MarshalCBOR implements cbor.Marshaler.
func (r Renewals) MarshalCBOR() ([]byte, error) {
	sorted := slices.SortedStableFunc(slices.Values(r), func(a, b Renewal) int { return cmp.Compare(a.Session, b.Session) })
	numbers := make([]uint64, 0, numbersEach*len(r))
	var before SessionID
	for _, renewal := range sorted {
		numbers = append(numbers, uint64(renewal.Session-before), renewal.Number)
		before = renewal.Session
	}
	data, err := wire.Marshal(numbers)
	return data, Error.Wrap(err)
}

// UnmarshalCBOR implements cbor.Unmarshaler. Distances that leave the numbers'
// range name sessions that don't exist, which the fold passes over.
func (r *Renewals) UnmarshalCBOR(data []byte) error {
	var numbers []uint64
	if err := wire.UnmarshalRecord(data, &numbers); err != nil {
		return Error.Wrap(err)
	}
	if len(numbers)%numbersEach != 0 {
		return Error.New("%d numbers of renewals", len(numbers))
	}
	*r = make(Renewals, 0, len(numbers)/numbersEach)
	var session SessionID
	for pair := range slices.Chunk(numbers, numbersEach) {
		session += SessionID(pair[0])
		*r = append(*r, Renewal{Session: session, Number: pair[1]})
	}
	return nil
}
