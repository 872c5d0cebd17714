package placement

import "time"

// Config is the deployment's policy. The zero value of a field takes its
// default.
type Config struct {
	// ColdStartWeight from 0 to 1 weighs the tail of cold starts against idle
	// accelerator hours: near 0 saves hours, near 1 saves waiting.
	ColdStartWeight float64
	// MinKeep and MaxKeep bound the time that history may ask to keep a replica
	// after its last use.
	MinKeep, MaxKeep time.Duration
	// EvictAfter is how long a replica must have been idle before it may make
	// room for another unit. It is the hysteresis: without it, two units that
	// take turns would evict each other on every request.
	EvictAfter time.Duration
	// LoadStall is how many times the expected load time a load may take before
	// it counts as stalled and is tried elsewhere; LoadStallFloor is the least.
	LoadStall      float64
	LoadStallFloor time.Duration
	// AvoidAfterFailure keeps a unit off an engine where its load failed.
	AvoidAfterFailure time.Duration
	// ProposalTerm is how long a decision is given to show in the View before
	// it is proposed again.
	ProposalTerm time.Duration
	// UpkeepEvery is how often a plan looks beyond demand: at failed loads,
	// leaving engines, contracts, scaling and idle replicas.
	UpkeepEvery time.Duration
	// ScaleUpWait is the wait of the oldest request from which a unit with a
	// ready replica gets one more; a quarter of its longest wait if that is less.
	ScaleUpWait time.Duration
	// TargetBusy is the share of their slots in use from which a unit's replicas
	// get one more, before requests wait.
	TargetBusy float64
	// ScaleDownAfter is how long fewer replicas must have been enough.
	ScaleDownAfter time.Duration
	// LoadTime holds first estimates by tier, used until loads were seen.
	LoadTime map[Tier]time.Duration
	// RemoteBytesPerSecond is the first estimate of one load's rate from the
	// weight store at full speed.
	RemoteBytesPerSecond float64
	// ModelSetup and AdapterSetup are the first estimates of what a load takes
	// beside the reading of its bytes.
	ModelSetup, AdapterSetup time.Duration
	// Preload turns loading ahead of expected demand on.
	Preload bool
}

// Defaults of Config.
const (
	DefaultColdStartWeight = 0.5
	// DefaultMinKeep is about two loads from memory: less, and loading would be
	// most of what an engine does. The weight decides beyond it.
	DefaultMinKeep    = 10 * time.Second
	DefaultEvictAfter = 20 * time.Second
	// DefaultMaxKeep is where a gap counts as "next shift".
	DefaultMaxKeep           = 2 * time.Hour
	DefaultLoadStall         = 4.0
	DefaultLoadStallFloor    = 15 * time.Second
	DefaultAvoidAfterFailure = 2 * time.Minute
	// DefaultProposalTerm is a few log round trips.
	DefaultProposalTerm = 3 * time.Second
	// DefaultUpkeepEvery is short against loads and drains, which take seconds.
	DefaultUpkeepEvery = time.Second
	// DefaultScaleUpWait leaves the rest of a first token's 0.82 s to the engine.
	DefaultScaleUpWait = 500 * time.Millisecond
	// DefaultTargetBusy: an adapter on two engines of 16 slots finds both full
	// about once in 300 requests at 60%, and once in 40 at 75%.
	DefaultTargetBusy           = 0.6
	DefaultScaleDownAfter       = 2 * time.Minute
	DefaultRemoteBytesPerSecond = 1 << 30
	// DefaultModelSetup and DefaultAdapterSetup are of the order that engines
	// take to allocate and warm up; loads that were seen replace them.
	DefaultModelSetup   = 2 * time.Second
	DefaultAdapterSetup = 200 * time.Millisecond
)

// withDefaults fills the fields that are zero.
func (c Config) withDefaults() Config {
	c.ColdStartWeight = min(orDefault(c.ColdStartWeight, DefaultColdStartWeight), 1)
	c.MinKeep = orDefault(c.MinKeep, DefaultMinKeep)
	c.MaxKeep = orDefault(c.MaxKeep, DefaultMaxKeep)
	c.EvictAfter = orDefault(c.EvictAfter, DefaultEvictAfter)
	c.LoadStall = orDefault(c.LoadStall, DefaultLoadStall)
	c.LoadStallFloor = orDefault(c.LoadStallFloor, DefaultLoadStallFloor)
	c.AvoidAfterFailure = orDefault(c.AvoidAfterFailure, DefaultAvoidAfterFailure)
	c.ProposalTerm = orDefault(c.ProposalTerm, DefaultProposalTerm)
	c.UpkeepEvery = orDefault(c.UpkeepEvery, DefaultUpkeepEvery)
	c.ScaleUpWait = orDefault(c.ScaleUpWait, DefaultScaleUpWait)
	c.TargetBusy = orDefault(c.TargetBusy, DefaultTargetBusy)
	c.ScaleDownAfter = orDefault(c.ScaleDownAfter, DefaultScaleDownAfter)
	c.ModelSetup = orDefault(c.ModelSetup, DefaultModelSetup)
	c.AdapterSetup = orDefault(c.AdapterSetup, DefaultAdapterSetup)
	c.RemoteBytesPerSecond = orDefault(c.RemoteBytesPerSecond, DefaultRemoteBytesPerSecond)
	return c
}

func orDefault[T time.Duration | float64](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
