package contract

import "time"

// Defaults of keys that a contract may leave out.
const (
	// DefaultWeight gives customers equal shares of a contended engine.
	DefaultWeight = 1
	// DefaultRequestsPerSecond suits a desk of a few dozen people: one request
	// each every few seconds.
	DefaultRequestsPerSecond = 20
	// DefaultBurst lets everybody at such a desk ask within the same second.
	DefaultBurst = 40
	// DefaultMaxQueued holds two bursts: more would wait longer than anybody
	// stands at a counter, and is better refused at once.
	DefaultMaxQueued = 80
	// DefaultMaxReplicas is one: most models are rarely used.
	DefaultMaxReplicas = 1
	// DefaultModelMaxWait covers a cold start from the weight store (tens of
	// seconds for a large checkpoint) with a queue before it.
	DefaultModelMaxWait = 60 * time.Second
	// DefaultServiceMaxWait is what people wait for a booking to be confirmed.
	DefaultServiceMaxWait = 10 * time.Second
)

// Bounds that every contract has to keep. They are wide: they are there so that
// a slip of the pen (a wait of years, a negative size) is refused, and so that
// sums over a contract cannot overflow.
const (
	// MaxMemoryBytes is 1 PiB, far above all engines of a deployment together.
	MaxMemoryBytes = 1 << 50
	// MaxWeight keeps the smallest share of two customers above 1/1000.
	MaxWeight = 1000
	// MaxRequestsPerSecond is above the peak of the largest deployment (69,000).
	MaxRequestsPerSecond = 1e6
	// MaxBurst is one second at MaxRequestsPerSecond.
	MaxBurst = 1_000_000
	// MaxQueuedLimit bounds the waiting requests of a customer on an entry VM.
	MaxQueuedLimit = 100_000
	// MaxReplicasLimit is the number of engines of the largest deployment.
	MaxReplicasLimit = 10_000
	// MinWait is the shortest longest wait that a network can keep.
	MinWait = time.Millisecond
	// MaxWaitLimit suits overnight jobs.
	MaxWaitLimit = 24 * time.Hour
	// MaxPriority bounds priorities on both sides of 0; sums of two stay small.
	MaxPriority = 1000
	// MaxNameLength keeps names readable in tables and labels.
	MaxNameLength = 64
	// MaxCheckpointLength bounds a checkpoint's name in the weight store.
	MaxCheckpointLength = 256
	// MaxPathLength bounds the path of a call pattern.
	MaxPathLength = 256
)
