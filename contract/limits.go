package contract

import "time"

// Default values of optional keys.
const (
	// DefaultWeight gives all customers equal shares of a contended engine.
	DefaultWeight = 1
	// DefaultRequestsPerSecond suits an office of a few dozen people who each send
	// a request every few seconds.
	DefaultRequestsPerSecond = 20
	// DefaultBurst lets all people of such an office send a request within the same
	// second.
	DefaultBurst = 40
	// DefaultMaxQueued holds two bursts. Further requests would wait longer than
	// people accept, so they are refused immediately.
	DefaultMaxQueued = 80
	// DefaultMaxReplicas is one because most models are rarely used.
	DefaultMaxReplicas = 1
	// DefaultModelMaxWait covers time in a queue and a cold start from the weight
	// store, which takes tens of seconds for a large checkpoint.
	DefaultModelMaxWait = 60 * time.Second
	// DefaultServiceMaxWait is how long people wait for a booking to be confirmed.
	DefaultServiceMaxWait = 10 * time.Second
)

// Bounds on the values of every contract. They are wide: they reject typing errors,
// such as a wait of years or a negative size, and keep sums over a contract from
// overflowing.
const (
	// MaxMemoryBytes is 1 PiB, far above the total memory of a deployment's engines.
	MaxMemoryBytes = 1 << 50
	// MaxWeight bounds the ratio of two customers' shares to 1000 to 1.
	MaxWeight = 1000
	// MaxRequestsPerSecond is above the peak of the largest deployment, 69,000.
	MaxRequestsPerSecond = 1e6
	// MaxBurst is one second of requests at MaxRequestsPerSecond.
	MaxBurst = 1_000_000
	// MaxQueuedLimit bounds max_queued, the waiting requests of a customer on one entry
	// VM.
	MaxQueuedLimit = 100_000
	// MaxReplicasLimit is the number of engines of the largest deployment.
	MaxReplicasLimit = 10_000
	// MinWait is the smallest max_wait: a network cannot respond faster.
	MinWait = time.Millisecond
	// MaxWaitLimit is the largest max_wait and suits overnight jobs.
	MaxWaitLimit = 24 * time.Hour
	// MaxPriority bounds the absolute value of a priority, so that the sum of two stays
	// small.
	MaxPriority = 1000
	// MaxNameLength keeps names readable in tables and metric labels.
	MaxNameLength = 64
	// MaxCheckpointLength bounds the name of a checkpoint in the weight store.
	MaxCheckpointLength = 256
	// MaxPathLength bounds the path of a call pattern.
	MaxPathLength = 256
)
