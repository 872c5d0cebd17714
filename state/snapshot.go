package state

import (
	"github.com/cespare/xxhash/v2"

	"bergamotreel/contract"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/wire"
)

// Collector finds the newest complete snapshot among the records of the stream.
type Collector = chunks.Collector

// encodableState is the part of a state that is encoded, in canonical form: maps are
// written with sorted keys, so that equal states encode to equal bytes on every VM.
type encodableState struct {
	Applied   uint64                        `cbor:"1,keyasint"`
	Skipped   uint64                        `cbor:"2,keyasint"`
	Contracts map[string]*PublishedContract `cbor:"3,keyasint"`
	Sessions  map[SessionID]*Session        `cbor:"4,keyasint"`
	Engines   map[string]*Engine            `cbor:"5,keyasint"`
	Proposers map[string]*Proposer          `cbor:"6,keyasint"`
}

// Snapshot encodes the state just after Applied as chunks for the log. It takes long
// for a large state, so a reader that holds a lock uses Image instead.
func (s *State) Snapshot(writer string) ([]SnapshotChunk, error) {
	return s.encodable().snapshot(writer)
}

// Sum returns the xxhash of the encoded state, as in the chunks of its snapshot. Two
// VMs with the same Applied must have the same sum.
func (s *State) Sum() (uint64, error) {
	data, err := s.encodable().encode()
	return xxhash.Sum64(data), err
}

// encodable returns the state's fields without copying what they refer to.
func (s *State) encodable() encodableState {
	return encodableState{s.Applied, s.SkippedRecords, s.Contracts, s.Sessions, s.Engines, s.Proposers}
}

func (e encodableState) snapshot(writer string) ([]SnapshotChunk, error) {
	data, err := e.encode()
	if err != nil {
		return nil, err
	}
	all, err := chunks.Split(data, writer, e.Applied, chunks.MaxChunkBytes)
	return all, Error.Wrap(err)
}

func (e encodableState) encode() ([]byte, error) {
	data, err := wire.Marshal(e)
	return data, Error.Wrap(err)
}

// Restore decodes the state from the chunks of a complete snapshot.
func Restore(all []SnapshotChunk) (*State, error) {
	data, err := chunks.Join(all)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var e encodableState
	if err := wire.UnmarshalSnapshot(data, &e); err != nil {
		return nil, Error.Wrap(err)
	}
	s := New()
	s.Applied, s.SkippedRecords = e.Applied, e.Skipped
	copyNonNil(s.Contracts, e.Contracts)
	copyNonNil(s.Sessions, e.Sessions)
	copyNonNil(s.Engines, e.Engines)
	copyNonNil(s.Proposers, e.Proposers)
	if err := s.parseContracts(); err != nil {
		return nil, err
	}
	s.normalize()
	s.rebuildIndex()
	return s, nil
}

// normalize makes the names inside the values agree with the map keys. The checksum
// excludes corruption, but a faulty writer must not crash the readers either.
func (s *State) normalize() {
	for id, session := range s.Sessions {
		session.ID = id
	}
	for name, engine := range s.Engines {
		engine.Name = name
		rights := engine.Rights
		engine.Rights = map[string]*Right{}
		copyNonNil(engine.Rights, rights)
		for unit, right := range engine.Rights {
			right.Unit = unit
		}
	}
}

// copyNonNil copies all entries except nil ones, which an encoding can contain.
func copyNonNil[K comparable, V any](to, from map[K]*V) {
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
			return Error.New("contract of %q names customer %q", customer, parsed.Customer)
		}
		published.Contract = parsed
	}
	return nil
}

// Clone returns a copy that shares nothing that Apply changes in place.
func (s *State) Clone() *State {
	image := s.Image().copied
	c := New()
	c.Applied, c.SkippedRecords = image.Applied, image.Skipped
	c.Contracts, c.Sessions = image.Contracts, image.Sessions
	c.Engines, c.Proposers = image.Engines, image.Proposers
	c.rebuildIndex()
	return c
}
