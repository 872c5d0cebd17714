package state

import (
	"cmp"
	"fmt"
	"slices"

	"bergamotreel/contract"
)

// EngineRight is a right to a unit together with the engine that has it.
type EngineRight struct {
	Engine *Engine
	Right  *Right
}

// index holds data derived from the other fields of State, so that a proposal is
// checked without a scan over them.
type index struct {
	units map[string]*unit
	// customersByKey maps the hash of an API key to its customer.
	customersByKey map[string]string
	// rightsByUnit holds the rights to each unit, oldest first.
	rightsByUnit  map[string][]EngineRight
	customerBytes map[string]int64
	// enginesBySession holds the names of the engines that each session keeps.
	enginesBySession map[SessionID]map[string]struct{}
	// liveSessions counts the live sessions of each proposer.
	liveSessions map[string]int
	// newestContractVersion is the highest contract version.
	newestContractVersion Revision
	// outcomeRefs are the stored outcomes, oldest first, mixed with some that were
	// forgotten since. rememberedCount counts those that are still stored.
	outcomeRefs     []outcomeRef
	rememberedCount int
	journal         *journal
}

// unit is a model or an adapter, with the properties that every contract naming it
// must agree on.
type unit struct {
	base       string
	checkpoint string
	bytes      int64
	customers  []unitCustomer
}

// unitCustomer is a customer whose contract names a unit.
type unitCustomer struct {
	customer    string
	maxReplicas int
}

func (u *unit) maxReplicasFor(customer string) (int, bool) {
	if u == nil {
		return 0, false
	}
	for _, entry := range u.customers {
		if entry.customer == customer {
			return entry.maxReplicas, true
		}
	}
	return 0, false
}

// rebuildIndex derives the index from the other fields of State.
func (s *State) rebuildIndex() {
	s.index = index{
		units: map[string]*unit{}, customersByKey: map[string]string{}, rightsByUnit: map[string][]EngineRight{},
		customerBytes: map[string]int64{}, enginesBySession: map[SessionID]map[string]struct{}{}, liveSessions: map[string]int{},
		journal: &journal{},
	}
	for _, published := range s.Contracts {
		s.index.addContract(published.Contract)
		s.index.newestContractVersion = max(s.index.newestContractVersion, published.Version)
	}
	for _, session := range s.Sessions {
		if !session.Ended {
			s.index.liveSessions[session.Proposer]++
		}
	}
	s.rebuildOutcomeRefs()
	for _, engine := range s.Engines {
		engine.usedBytes = 0
		if engine.KeeperSession != 0 {
			s.index.addKeptEngine(engine.KeeperSession, engine.Name)
		}
		for _, right := range engine.Rights {
			s.index.addRight(engine, right)
		}
	}
	for _, rights := range s.index.rightsByUnit {
		slices.SortFunc(rights, func(a, b EngineRight) int { return cmp.Compare(a.Right.Granted, b.Right.Granted) })
	}
}

func (x *index) addRight(engine *Engine, right *Right) {
	engine.usedBytes += right.Bytes
	x.customerBytes[right.Customer] += right.Bytes
	x.rightsByUnit[right.Unit] = append(x.rightsByUnit[right.Unit], EngineRight{engine, right})
}

func (x *index) removeRight(engine *Engine, right *Right) {
	engine.usedBytes -= right.Bytes
	x.customerBytes[right.Customer] -= right.Bytes
	if x.customerBytes[right.Customer] == 0 {
		delete(x.customerBytes, right.Customer)
	}
	// Readers may hold the old slice, so it is not modified.
	var remaining []EngineRight
	for _, held := range x.rightsByUnit[right.Unit] {
		if held.Right != right {
			remaining = append(remaining, held)
		}
	}
	x.rightsByUnit[right.Unit] = remaining
	if len(remaining) == 0 {
		delete(x.rightsByUnit, right.Unit)
	}
}

// countRights returns the number of a customer's rights to a unit.
func (x *index) countRights(customer, unit string) int {
	n := 0
	for _, holding := range x.rightsByUnit[unit] {
		if holding.Right.Customer == customer {
			n++
		}
	}
	return n
}

func (x *index) addKeptEngine(session SessionID, engine string) {
	if x.enginesBySession[session] == nil {
		x.enginesBySession[session] = map[string]struct{}{}
	}
	x.enginesBySession[session][engine] = struct{}{}
}

func (x *index) removeKeptEngine(session SessionID, engine string) {
	delete(x.enginesBySession[session], engine)
	if len(x.enginesBySession[session]) == 0 {
		delete(x.enginesBySession, session)
	}
}

// findConflict returns why a contract is incompatible with those of other
// customers, or "". A key belongs to one customer only, because a request could
// otherwise be charged to another. A unit has the same definition in all contracts,
// because replicas of the same name could otherwise differ.
func (x *index) findConflict(c *contract.Contract) string {
	for _, key := range c.Keys {
		if owner, taken := x.customersByKey[key.SHA256]; taken && owner != c.Customer {
			return fmt.Sprintf("key %q belongs to another customer", key.Name)
		}
	}
	for _, u := range c.Units() {
		known := x.units[u.Name]
		if known == nil || known.isOnlyUsedBy(c.Customer) {
			continue
		}
		if known.base != u.Base || known.checkpoint != u.Checkpoint || known.bytes != u.MemoryBytes {
			return fmt.Sprintf("unit %q has another base, checkpoint or memory in another contract", u.Name)
		}
	}
	return ""
}

func (u *unit) isOnlyUsedBy(customer string) bool {
	return !slices.ContainsFunc(u.customers, func(other unitCustomer) bool { return other.customer != customer })
}

func (x *index) addContract(c *contract.Contract) {
	if c == nil {
		return
	}
	for _, key := range c.Keys {
		x.customersByKey[key.SHA256] = c.Customer
	}
	for _, u := range c.Units() {
		if x.units[u.Name] == nil {
			x.units[u.Name] = &unit{base: u.Base, checkpoint: u.Checkpoint, bytes: u.MemoryBytes}
		}
		known := x.units[u.Name]
		known.customers = append(known.customers, unitCustomer{c.Customer, u.MaxReplicas})
	}
}

func (x *index) removeContract(c *contract.Contract) {
	if c == nil {
		return
	}
	for _, key := range c.Keys {
		delete(x.customersByKey, key.SHA256)
	}
	for _, u := range c.Units() {
		known := x.units[u.Name]
		known.customers = slices.DeleteFunc(known.customers, func(other unitCustomer) bool { return other.customer == c.Customer })
		if len(known.customers) == 0 {
			delete(x.units, u.Name)
		}
	}
}
