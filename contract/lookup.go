package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"
	"time"
)

// Unit describes a model or an adapter: what an engine can load and a request can
// name.
type Unit struct {
	Name string
	// Base is the base model of an adapter; empty for a model.
	Base       string
	Checkpoint string
	// MemoryBytes is the engine memory that one replica takes, without its base model.
	MemoryBytes int64
	MaxReplicas int
	// MinReplicas and StandbyPerDomain are 0 for an adapter.
	MinReplicas      int
	StandbyPerDomain int
	MaxWait          time.Duration
	Priority         int
	Customer         string
}

// FindUnit returns the model or adapter with the given name. It runs for each
// request, and a contract may have tens of thousands of adapters, so it uses a binary
// search.
func (c *Contract) FindUnit(name string) (Unit, bool) {
	if i := findByName(c.Models, name, func(m *Model) string { return m.Name }); i >= 0 {
		return c.modelUnit(&c.Models[i]), true
	}
	if i := findByName(c.Adapters, name, func(a *Adapter) string { return a.Name }); i >= 0 {
		return c.adapterUnit(&c.Adapters[i]), true
	}
	return Unit{}, false
}

// findByName returns the index of the item with the given name, or -1. It uses a
// binary search, because ParseSections and With keep items sorted by name. If that
// finds nothing it scans all items, because a Contract built in other ways may be
// unsorted.
func findByName[T any](items []T, name string, nameOf func(*T) string) int {
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

// EachUnit iterates over all models and then all adapters of the contract, without
// building a slice of them.
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

// FindService returns the service with the given name.
func (c *Contract) FindService(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HashKey returns the SHA-256 hash of an API key in lower-case hexadecimal, as
// contracts store it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FindKey returns the contract's API key with the given hash.
func (c *Contract) FindKey(hash string) (Key, bool) {
	for _, key := range c.Keys {
		if key.SHA256 == hash {
			return key, true
		}
	}
	return Key{}, false
}
