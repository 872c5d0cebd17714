package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"
	"time"
)

// Unit is the common view of a model or an adapter: what an engine can hold and
// a caller can name.
type Unit struct {
	Name string
	// Base is the model that an adapter sits on; empty for a model.
	Base       string
	Checkpoint string
	// MemoryBytes is what one replica takes of an engine, without its base.
	MemoryBytes int64
	MaxReplicas int
	// MinReplicas and StandbyPerDomain are 0 for an adapter.
	MinReplicas      int
	StandbyPerDomain int
	MaxWait          time.Duration
	Priority         int
	Customer         string
}

// FindUnit finds a model or an adapter by its name. It is on the way of each
// request, and a contract may have tens of thousands of adapters.
func (c *Contract) FindUnit(name string) (Unit, bool) {
	if i := find(c.Models, name, func(m *Model) string { return m.Name }); i >= 0 {
		return c.modelUnit(&c.Models[i]), true
	}
	if i := find(c.Adapters, name, func(a *Adapter) string { return a.Name }); i >= 0 {
		return c.adapterUnit(&c.Adapters[i]), true
	}
	return Unit{}, false
}

// find returns the index of the item with the name, or -1. ParseSections and With
// leave items sorted, so it bisects; a contract that was put together by hand
// may be unsorted, so it looks at each item before it says no.
func find[T any](items []T, name string, nameOf func(*T) string) int {
	low, high := 0, len(items)
	for low < high {
		middle := (low + high) / 2
		if nameOf(&items[middle]) < name {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(items) && nameOf(&items[low]) == name {
		return low
	}
	for i := range items {
		if nameOf(&items[i]) == name {
			return i
		}
	}
	return -1
}

// EachUnit yields all models and then all adapters of the contract, without a copy
// of them all.
func (c *Contract) EachUnit() iter.Seq[Unit] {
	return func(yield func(Unit) bool) {
		for i := range c.Models {
			if !yield(c.modelUnit(&c.Models[i])) {
				return
			}
		}
		for i := range c.Adapters {
			if !yield(c.adapterUnit(&c.Adapters[i])) {
				return
			}
		}
	}
}

// Units returns all models and then all adapters of the contract.
func (c *Contract) Units() []Unit {
	return slices.AppendSeq(make([]Unit, 0, len(c.Models)+len(c.Adapters)), c.EachUnit())
}

func (c *Contract) modelUnit(m *Model) Unit {
	return Unit{
		Name: m.Name, Checkpoint: m.Checkpoint, MemoryBytes: m.MemoryBytes,
		MaxReplicas: m.MaxReplicas, MinReplicas: m.MinReplicas, StandbyPerDomain: m.StandbyPerDomain,
		MaxWait: m.MaxWait, Priority: m.Priority, Customer: c.Customer,
	}
}

func (c *Contract) adapterUnit(a *Adapter) Unit {
	return Unit{
		Name: a.Name, Base: a.Base, Checkpoint: a.Checkpoint, MemoryBytes: a.MemoryBytes,
		MaxReplicas: a.MaxReplicas, MaxWait: a.MaxWait, Priority: a.Priority, Customer: c.Customer,
	}
}

// FindService finds a plain service by its name.
func (c *Contract) FindService(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HashKey returns the hash by which a contract names an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Owns finds the contract's API key with the given hash.
func (c *Contract) FindKey(hash string) (Key, bool) {
	for _, key := range c.Keys {
		if key.SHA256 == hash {
			return key, true
		}
	}
	return Key{}, false
}
