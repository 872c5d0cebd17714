package placement

import "time"

// Config is the deployment's policy. The zero value of a field takes its
// default.
type Config struct {
	// ColdStartWeight from 0 to 1 weighs the tail of cold starts against idle
	// accelerator hours: near 0 saves hours, near 1 saves waiting.
	ColdStartWeight float64
	// MinKeepAlive and MaxKeepAlive bound how long a replica is kept after its
	// last use; its unit's history decides between them.
	MinKeepAlive, MaxKeepAlive time.Duration
	// MinIdleBeforeEviction is how long a replica must have been idle before it may
	// be evicted to free memory for another unit. Without this hysteresis, two units
	// that are used in turn would evict each other on every request.
	MinIdleBeforeEviction time.Duration
	// LoadTimeoutFactor is how many times its expected time a load may take before
	// it counts as stalled and is tried on another engine. MinLoadTimeout is the
	// lower bound of the resulting timeout.
	LoadTimeoutFactor float64
	MinLoadTimeout    time.Duration
	// LoadFailureBackoff is how long a unit is kept off an engine where its load
	// failed or stalled.
	LoadFailureBackoff time.Duration
	// ProposalTimeout is how long the effect of a decision may take to show in the
	// View before it is proposed again.
	ProposalTimeout time.Duration
	// UpkeepInterval is how often a plan handles more than demand: failed loads,
	// leaving engines, contracts, scaling and idle replicas.
	UpkeepInterval time.Duration
	// MaxWaitBeforeScaleUp is how long the oldest request may wait before a unit
	// with a ready replica gets one more. A quarter of Unit.MaxWait applies instead
	// if that is less.
	MaxWaitBeforeScaleUp time.Duration
	// TargetUtilization is the share of slots in use at which a unit gets one more
	// replica although no requests wait yet.
	TargetUtilization float64
	// ScaleDownDelay is how long one replica fewer must have been enough before one
	// is released.
	ScaleDownDelay time.Duration
	// InitialLoadTimes are the load times by tier that are assumed until loads were
	// measured. They take precedence over the three fields below.
	InitialLoadTimes map[Tier]time.Duration
	// RemoteBytesPerSecond is the initial estimate of the rate at which one load
	// reads from the weight store at full speed.
	RemoteBytesPerSecond float64
	// ModelSetup and AdapterSetup are the initial estimates of the time that a load
	// takes in addition to reading its bytes.
	ModelSetup, AdapterSetup time.Duration
	// Preload turns on loading ahead of expected demand.
	Preload bool
}

// Defaults of Config.
const (
	DefaultColdStartWeight = 0.5
	// DefaultMinKeepAlive is about the time of two loads from memory. With less, an
	// engine would spend most of its time loading. Above it, ColdStartWeight decides.
	DefaultMinKeepAlive          = 10 * time.Second
	DefaultMinIdleBeforeEviction = 20 * time.Second
	// DefaultMaxKeepAlive does not cover longer gaps: they are pauses between work
	// shifts, over which an idle replica would only take memory.
	DefaultMaxKeepAlive       = 2 * time.Hour
	DefaultLoadTimeoutFactor  = 4.0
	DefaultMinLoadTimeout     = 15 * time.Second
	DefaultLoadFailureBackoff = 2 * time.Minute
	// DefaultProposalTimeout is a few round trips of the log.
	DefaultProposalTimeout = 3 * time.Second
	// DefaultUpkeepInterval is short compared with loads and drains, which take
	// seconds.
	DefaultUpkeepInterval = time.Second
	// DefaultMaxWaitBeforeScaleUp leaves the engine 0.32 s of the 0.82 s for a first
	// token.
	DefaultMaxWaitBeforeScaleUp = 500 * time.Millisecond
	// DefaultTargetUtilization is 60% because an adapter on two engines of 16 slots
	// finds both full about once in 300 requests at 60%, but once in 40 at 75%.
	DefaultTargetUtilization    = 0.6
	DefaultScaleDownDelay       = 2 * time.Minute
	DefaultRemoteBytesPerSecond = 1 << 30
	// DefaultModelSetup and DefaultAdapterSetup are in the order of magnitude of
	// what engines take to allocate memory and warm up. Measured loads replace them.
	DefaultModelSetup   = 2 * time.Second
	DefaultAdapterSetup = 200 * time.Millisecond
)

// withDefaults returns the configuration with defaults for zero fields.
func (c Config) withDefaults() Config {
	c.ColdStartWeight = min(orDefault(c.ColdStartWeight, DefaultColdStartWeight), 1)
	c.MinKeepAlive = orDefault(c.MinKeepAlive, DefaultMinKeepAlive)
	c.MaxKeepAlive = orDefault(c.MaxKeepAlive, DefaultMaxKeepAlive)
	c.MinIdleBeforeEviction = orDefault(c.MinIdleBeforeEviction, DefaultMinIdleBeforeEviction)
	c.LoadTimeoutFactor = orDefault(c.LoadTimeoutFactor, DefaultLoadTimeoutFactor)
	c.MinLoadTimeout = orDefault(c.MinLoadTimeout, DefaultMinLoadTimeout)
	c.LoadFailureBackoff = orDefault(c.LoadFailureBackoff, DefaultLoadFailureBackoff)
	c.ProposalTimeout = orDefault(c.ProposalTimeout, DefaultProposalTimeout)
	c.UpkeepInterval = orDefault(c.UpkeepInterval, DefaultUpkeepInterval)
	c.MaxWaitBeforeScaleUp = orDefault(c.MaxWaitBeforeScaleUp, DefaultMaxWaitBeforeScaleUp)
	c.TargetUtilization = orDefault(c.TargetUtilization, DefaultTargetUtilization)
	c.ScaleDownDelay = orDefault(c.ScaleDownDelay, DefaultScaleDownDelay)
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
