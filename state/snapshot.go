package state

import (
	"github.com/cespare/xxhash/v2"

	"bergamotreel/contract"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/wire"
)

// Collector finds the newest complete snapshot among the records of the stream.
type Collector = chunks.Collector

// encoded is the canonical form of a state: maps are written with sorted keys,
// so that equal states encode to equal bytes on every VM.
type encoded struct {
	Applied   uint64                        `cbor:"1,keyasint"`
	Skipped   uint64                        `cbor:"2,keyasint"`
	Contracts map[string]*PublishedContract `cbor:"3,keyasint"`
	Sessions  map[SessionID]*Session        `cbor:"4,keyasint"`
	Engines   map[string]*Engine            `cbor:"5,keyasint"`
	Proposers map[string]*Proposer          `cbor:"6,keyasint"`
}

// Snapshot encodes the state just after Applied in chunks for the log. It takes
// long for a large state; a reader that holds a lock takes an Image instead.
func (s *State) Snapshot(writer string) ([]SnapshotChunk, error) {
	return s.encoded().snapshot(writer)
}

// Sum is the xxhash of the encoded state, as in the chunks of its snapshot. Two
// VMs with the same Applied must have the same sum.
func (s *State) Sum() (uint64, error) {
	data, err := s.encoded().encode()
	return xxhash.Sum64(data), err
}

// encoded shares everything with the state.
func (s *State) encoded() encoded {
	return encoded{s.Applied, s.SkippedRecords, s.Contracts, s.Sessions, s.Engines, s.Proposers}
}

func (e encoded) snapshot(writer string) ([]SnapshotChunk, error) {
	data, err := e.encode()
	if err != nil {
		return nil, err
	}
	all, err := chunks.Split(data, writer, e.Applied, chunks.Size)
	return all, Error.Wrap(err)
}

func (e encoded) encode() ([]byte, error) {
	data, err := wire.Marshal(e)
	return data, Error.Wrap(err)
}

// Restore makes the state of a complete snapshot.
func Restore(all []SnapshotChunk) (*State, error) {
	data, err := chunks.Join(all)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var e encoded
	if err := wire.UnmarshalSnapshot(data, &e); err != nil {
		return nil, Error.Wrap(err)
	}
	s := New()
	s.Applied, s.SkippedRecords = e.Applied, e.Skipped
	fill(s.Contracts, e.Contracts)
	fill(s.Sessions, e.Sessions)
	fill(s.Engines, e.Engines)
	fill(s.Proposers, e.Proposers)
	if err := s.parseContracts(); err != nil {
		return nil, err
	}
	s.normalize()
	s.rebuildIndex()
	return s, nil
}

// normalize makes the names inside agree with the keys. The sum keeps out
// corruption; a writer of a faulty version must still not crash its readers.
func (s *State) normalize() {
	for id, session := range s.Sessions {
		session.ID = id
	}
	for name, engine := range s.Engines {
		engine.Name = name
		rights := engine.Rights
		engine.Rights = map[string]*Right{}
		fill(engine.Rights, rights)
		for unit, right := range engine.Rights {
			right.Unit = unit
		}
	}
}

// fill copies all but nil entries, which an encoding can hold.
func fill[K comparable, V any](to, from map[K]*V) {
	for key, value := range from {
		if value != nil {
			to[key] = value
		}
	}
}

func (s *State) parseContracts() error {
	for customer, published := range s.Contracts {
		if len(published.Sections) == 0 {
			continue
		}
		parsed, err := contract.ParseSections(published.Sections)
		if err != nil {
			return Error.New("contract of %q: %w", customer, err)
		}
		if parsed.Customer != customer {
			return Error.New("contract of %q names %q", customer, parsed.Customer)
		}
		published.Contract = parsed
	}
	return nil
}

// Clone returns a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	image := s.Image().encoded
	c := New()
	c.Applied, c.SkippedRecords = image.Applied, image.Skipped
	c.Contracts, c.Sessions = image.Contracts, image.Sessions
	c.Engines, c.Proposers = image.Engines, image.Proposers
	c.rebuildIndex()
	return c
}
