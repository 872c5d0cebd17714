package state

import (
	"maps"
	"slices"
)

// RightsToUnit returns the rights to a unit, oldest first, including withdrawn ones. The
// caller must not change the result.
func (s *State) RightsToUnit(unit string) []EngineRight { return s.index.rightsByUnit[unit] }

// RightsOf returns an engine's rights, keyed by unit. The caller must not change them.
func (s *State) RightsOf(engine string) map[string]*Right {
	if e := s.Engines[engine]; e != nil {
		return e.Rights
	}
	return nil
}

// EnginesKeptBy returns the names of the engines that a session keeps, sorted.
func (s *State) EnginesKeptBy(session SessionID) []string {
	return slices.Sorted(maps.Keys(s.index.enginesBySession[session]))
}

// KeyOwner returns the customer that owns the API key with the hash.
func (s *State) KeyOwner(sha256 string) (customer string, ok bool) {
	customer, ok = s.index.customersByKey[sha256]
	return customer, ok
}

// NewestContractVersion returns the highest contract version.
func (s *State) NewestContractVersion() Revision { return s.index.newestContractVersion }

// ContractVersion returns the version of a customer's contract, or 0 if there never
// was one. A removed contract keeps the version of its removal.
func (s *State) ContractVersion(customer string) Revision {
	if published := s.Contracts[customer]; published != nil {
		return published.Version
	}
	return 0
}

// CustomerBytes returns the engine memory that a customer's rights take.
func (s *State) CustomerBytes(customer string) int64 { return s.index.customerBytes[customer] }

// UsedBytes returns the memory that an engine's rights take.
func (e *Engine) UsedBytes() int64 { return e.usedBytes }
