package node

import (
	"context"
	"errors"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/refusal"
	"bergamotreel/service"
	"bergamotreel/state"
)

// otherVMRetryAfter is the Retry-After of an entry VM that accepts no requests; by
// then the balancer has chosen another one.
const otherVMRetryAfter = time.Second

var _ caller.Backend = (*Node)(nil)

// Identify implements caller.Backend.
func (n *Node) Identify(key string) (caller.Identity, bool) {
	hash := contract.HashKey(key)
	var identity caller.Identity
	found := false
	n.control.View(func(s *state.State) {
		customer, ok := s.KeyOwner(hash)
		if !ok {
			return
		}
		owned, ok := s.Contracts[customer].Contract.FindKey(hash)
		identity = caller.Identity{Customer: customer, Priority: owned.Priority}
		found = ok
	})
	return identity, found
}

// Contract implements caller.Backend.
func (n *Node) Contract(customer string) (*contract.Contract, bool) {
	var found *contract.Contract
	n.control.View(func(s *state.State) {
		if published := s.Contracts[customer]; published != nil {
			found = published.Contract
		}
	})
	return found, found != nil
}

// contractsSince returns all contracts in force and the newest version among them,
// or a nil map if no version is newer than known. Nearly all records change rights
// only, and copying thousands of contracts for each of them costs more than applying
// the record.
func (n *Node) contractsSince(known state.Revision) (map[string]*contract.Contract, state.Revision) {
	var version state.Revision
	var all map[string]*contract.Contract
	n.control.View(func(s *state.State) {
		version = s.NewestContractVersion()
		if version <= known {
			return
		}
		all = make(map[string]*contract.Contract, len(s.Contracts))
		for customer, published := range s.Contracts {
			if published.Contract != nil {
				all[customer] = published.Contract
			}
		}
	})
	return all, version
}

// Generate implements caller.Backend.
func (n *Node) Generate(ctx context.Context, g caller.Generation, sink caller.Sink) error {
	unit, err := n.findUnit(g)
	if err == nil {
		n.recordUse(unit.Name, g.Arrived)
		err = n.serving.Generate(ctx, g, unit, sink)
	}
	return n.recordRefusal(ctx, g.Identity.Customer, err)
}

func (n *Node) findUnit(g caller.Generation) (contract.Unit, error) {
	found, ok := n.Contract(g.Identity.Customer)
	if !ok {
		return contract.Unit{}, n.newNotReady()
	}
	unit, ok := found.FindUnit(g.Unit)
	if !ok {
		return unit, refusal.New(refusal.CodeNotFound, 0, "no such model")
	}
	return unit, nil
}

func (n *Node) newNotReady() error {
	return refusal.New(refusal.CodeNotReady, otherVMRetryAfter, "this entry VM has no contract of the customer")
}

// Call implements caller.Backend.
func (n *Node) Call(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	answer, err := n.serving.Call(ctx, call)
	return answer, n.recordRefusal(ctx, call.Identity.Customer, err)
}

// recordRefusal converts err to a refusal and counts it. It returns nil for no error,
// and err itself if the caller has gone and err is no refusal.
func (n *Node) recordRefusal(ctx context.Context, customer string, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil && !isRefusal(err) {
		return err
	}
	refused := refusal.FromError(err)
	n.refusalCounts.count(customer, string(refused.Code))
	return refused
}

func isRefusal(err error) bool {
	var r *refusal.Refusal
	return errors.As(err, &r)
}
