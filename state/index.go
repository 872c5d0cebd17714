package state

import (
	"cmp"
	"fmt"
	"slices"

	"bergamotreel/contract"
)

// Holding is an engine's right, as found from its unit.
type Holding struct {
	Engine *Engine
	Right  *Right
}

// index holds what follows from the rest of the state, so that a proposal is
// checked without a walk over it.
type index struct {
	units map[string]*unit
	// keys holds the customer by the hash of an API key.
	keys map[string]string
	// holdings are the rights by unit, oldest first.
	holdings      map[string][]Holding
	customerBytes map[string]int64
	// keeping holds the names of the engines by the session that keeps them.
	keeping map[SessionID]map[string]struct{}
	// live counts the live sessions by proposer.
	live map[string]int
	// newest is the highest contract version.
	newest Revision
	// landed are the remembered outcomes, oldest first, and some that were
	// forgotten; remembered counts those that were not.
	landed     []landing
	remembered int
	journal    *journal
}

// unit is what all contracts that name a model or an adapter agree on.
type unit struct {
	base       string
	checkpoint string
	bytes      int64
	users      []user
}

// user is a customer whose contract names a unit.
type user struct {
	customer string
	replicas int
}

func (u *unit) replicas(customer string) (int, bool) {
	if u == nil {
		return 0, false
	}
	for _, user := range u.users {
		if user.customer == customer {
			return user.replicas, true
		}
	}
	return 0, false
}

// rebuildIndex makes the index from the rest of the state.
func (s *State) rebuildIndex() {
	s.index = index{
		units: map[string]*unit{}, keys: map[string]string{}, holdings: map[string][]Holding{},
		customerBytes: map[string]int64{}, keeping: map[SessionID]map[string]struct{}{}, live: map[string]int{},
		journal: &journal{},
	}
	for _, published := range s.Contracts {
		s.index.addContract(published.Contract)
		s.index.newest = max(s.index.newest, published.Version)
	}
	for _, session := range s.Sessions {
		if !session.Ended {
			s.index.live[session.Proposer]++
		}
	}
	s.indexLandings()
	for _, engine := range s.Engines {
		engine.used = 0
		if engine.KeeperSession != 0 {
			s.index.keep(engine.KeeperSession, engine.Name)
		}
		for _, right := range engine.Rights {
			s.index.add(engine, right)
		}
	}
	for _, holdings := range s.index.holdings {
		slices.SortFunc(holdings, func(a, b Holding) int { return cmp.Compare(a.Right.Granted, b.Right.Granted) })
	}
}

func (x *index) add(engine *Engine, right *Right) {
	engine.used += right.Bytes
	x.customerBytes[right.Customer] += right.Bytes
	x.holdings[right.Unit] = append(x.holdings[right.Unit], Holding{engine, right})
}

func (x *index) drop(engine *Engine, right *Right) {
	engine.used -= right.Bytes
	x.customerBytes[right.Customer] -= right.Bytes
	if x.customerBytes[right.Customer] == 0 {
		delete(x.customerBytes, right.Customer)
	}
	// A new slice: readers may hold the old one.
	var rest []Holding
	for _, holding := range x.holdings[right.Unit] {
		if holding.Right != right {
			rest = append(rest, holding)
		}
	}
	x.holdings[right.Unit] = rest
	if len(rest) == 0 {
		delete(x.holdings, right.Unit)
	}
}

// count counts a customer's rights to a unit.
func (x *index) count(customer, unit string) int {
	n := 0
	for _, holding := range x.holdings[unit] {
		if holding.Right.Customer == customer {
			n++
		}
	}
	return n
}

func (x *index) keep(session SessionID, engine string) {
	if x.keeping[session] == nil {
		x.keeping[session] = map[string]struct{}{}
	}
	x.keeping[session][engine] = struct{}{}
}

func (x *index) unkeep(session SessionID, engine string) {
	delete(x.keeping[session], engine)
	if len(x.keeping[session]) == 0 {
		delete(x.keeping, session)
	}
}

// clash returns why a contract can't stand beside the others, or nothing. A key
// belongs to one customer, else a request would be served on another's account;
// a unit is the same thing for all, else two replicas of one name would differ.
func (x *index) clash(c *contract.Contract) string {
	for _, key := range c.Keys {
		if owner, taken := x.keys[key.SHA256]; taken && owner != c.Customer {
			return fmt.Sprintf("key %q belongs to another customer", key.Name)
		}
	}
	for _, u := range c.Units() {
		known := x.units[u.Name]
		if known == nil || known.onlyUsedBy(c.Customer) {
			continue
		}
		if known.base != u.Base || known.checkpoint != u.Checkpoint || known.bytes != u.MemoryBytes {
			return fmt.Sprintf("unit %q has another base, checkpoint or memory in another contract", u.Name)
		}
	}
	return ""
}

func (u *unit) onlyUsedBy(customer string) bool {
	return !slices.ContainsFunc(u.users, func(other user) bool { return other.customer != customer })
}

func (x *index) addContract(c *contract.Contract) {
	if c == nil {
		return
	}
	for _, key := range c.Keys {
		x.keys[key.SHA256] = c.Customer
	}
	for _, u := range c.Units() {
		if x.units[u.Name] == nil {
			x.units[u.Name] = &unit{base: u.Base, checkpoint: u.Checkpoint, bytes: u.MemoryBytes}
		}
		known := x.units[u.Name]
		known.users = append(known.users, user{c.Customer, u.MaxReplicas})
	}
}

func (x *index) removeContract(c *contract.Contract) {
	if c == nil {
		return
	}
	for _, key := range c.Keys {
		delete(x.keys, key.SHA256)
	}
	for _, u := range c.Units() {
		known := x.units[u.Name]
		known.users = slices.DeleteFunc(known.users, func(other user) bool { return other.customer == c.Customer })
		if len(known.users) == 0 {
			delete(x.units, u.Name)
		}
	}
}
