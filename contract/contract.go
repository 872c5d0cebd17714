// Package contract parses and validates customer contracts. A contract states
// which models a customer may use and with how many replicas, how much engine
// memory these may take, how long a request may wait and which priority it has.
// The package does no I/O.
//
// Sizes are in bytes, rates in requests per second, and requests with a higher
// priority go first. docs/operations lists all keys with their defaults and
// bounds.
//
// The same sections give the same Contract or the same error on every VM, in
// whatever order they are read. Every error has the class Error and wraps a
// *Problem that names section and key. Lists are sorted by name. A Contract is
// shared between goroutines and must not be modified after it was returned; With
// returns a modified copy.
package contract

import "time"

// Contract is one customer's contract.
type Contract struct {
	// Customer is the customer's name, made of letters, digits, '-' and '_'.
	Customer string
	// MemoryBytes caps the engine memory of all replicas assigned to the customer.
	MemoryBytes int64
	// Weight is the customer's share of a contended engine, at least 1.
	Weight int
	// RequestsPerSecond and Burst limit the customer's requests over all entry VMs.
	RequestsPerSecond float64
	Burst             int
	// MaxQueued bounds the customer's waiting requests on one entry VM.
	MaxQueued int
	// Keys are the customer's API keys.
	Keys     []Key
	Models   []Model
	Adapters []Adapter
	Services []Service
	// Routes forward requests unchanged, and Pools describe the model engines behind
	// the services of the routes. Only the configuration of a platform sets them; the
	// INI format of contracts has no keys for them.
	Routes []Route
	Pools  []EnginePool
	// Workspaces hold the API keys accepted on routes. If the list is nil, routes
	// need no key; if it is empty, no key is accepted.
	Workspaces []Workspace
}

// Key is an API key, stored only as a hash.
type Key struct {
	Name string
	// SHA256 is the lower-case hex hash of the key.
	SHA256 string
	// Priority is added to the priority of the model, adapter or service called.
	Priority int
}

// Model is a model that the customer may use.
type Model struct {
	Name       string
	Checkpoint string
	// MemoryBytes is the engine memory that one replica takes, KV cache included.
	MemoryBytes int64
	// MaxReplicas and MinReplicas bound the replicas assigned to the customer.
	MaxReplicas int
	MinReplicas int
	// StandbyPerDomain is the number of rights to load the model that each failure
	// domain holds in advance, so that it can load replicas while it is partitioned.
	StandbyPerDomain int
	// MaxWait is the maximum wait for the first token.
	MaxWait time.Duration
	// Priority orders waiting requests; the highest goes first.
	Priority int
}

// Adapter is a fine-tuned adapter on a base model.
type Adapter struct {
	Name        string
	Base        string
	Checkpoint  string
	MemoryBytes int64
	MaxReplicas int
	MaxWait     time.Duration
	Priority    int
}

// Service is a service without models that the customer may call under
// /services/NAME/.
type Service struct {
	Name string
	// MaxWait is the maximum wait for the complete response.
	MaxWait  time.Duration
	Priority int
	// Once lists the calls that run at most once and are never retried.
	Once []CallPattern
}

// CallPattern matches calls of a service by method and path prefix.
type CallPattern struct {
	Method string
	Path   string
}
