package placement

import "time"

// Config is the deployment's policy. The zero value of a field takes its
// default.
type Config struct {
	// ColdStartWeight from 0 to 1 weighs the tail of cold starts against idle
	// accelerator hours: near 0 saves hours, near 1 saves waiting.
	ColdStartWeight float64
	// MinKeepAlive and MaxKeepAlive bound the time that history may ask to keep a replica
	// after its last use.
	MinKeepAlive, MaxKeepAlive time.Duration
	// MinIdleBeforeEviction is how long a replica must have been idle before it may make
	// room for another unit. It is the hysteresis: without it, two units that
	// take turns would evict each other on every request.
	MinIdleBeforeEviction time.Duration
	// LoadTimeoutFactor is how many times the expected load time a load may take before
	// it counts as stalled and is tried elsewhere; MinLoadTimeout is the least.
	LoadTimeoutFactor float64
	MinLoadTimeout    time.Duration
	// LoadFailureBackoff keeps a unit off an engine where its load failed.
	LoadFailureBackoff time.Duration
	// ProposalTimeout is how long a decision is given to show in the View before
	// it is proposed again.
	ProposalTimeout time.Duration
	// UpkeepInterval is how often a plan looks beyond demand: at failed loads,
	// leaving engines, contracts, scaling and idle replicas.
	UpkeepInterval time.Duration
	// MaxWaitBeforeScaleUp is the wait of the oldest request from which a unit with a
	// ready replica gets one more; a quarter of its longest wait if that is less.
	MaxWaitBeforeScaleUp time.Duration
	// TargetUtilization is the share of their slots in use from which a unit's replicas
	// get one more, before requests wait.
	TargetUtilization float64
	// ScaleDownDelay is how long fewer replicas must have been enough.
	ScaleDownDelay time.Duration
	// InitialLoadTimes holds first estimates by tier, used until loads were seen.
	InitialLoadTimes map[Tier]time.Duration
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
	// DefaultMinKeepAlive is about two loads from memory: less, and loading would be
	// most of what an engine does. The weight decides beyond it.
	DefaultMinKeepAlive          = 10 * time.Second
	DefaultMinIdleBeforeEviction = 20 * time.Second
	// DefaultMaxKeepAlive is where a gap counts as "next shift".
	DefaultMaxKeepAlive       = 2 * time.Hour
	DefaultLoadTimeoutFactor  = 4.0
	DefaultMinLoadTimeout     = 15 * time.Second
	DefaultLoadFailureBackoff = 2 * time.Minute
	// DefaultProposalTimeout is a few log round trips.
	DefaultProposalTimeout = 3 * time.Second
	// DefaultUpkeepInterval is short against loads and drains, which take seconds.
	DefaultUpkeepInterval = time.Second
	// DefaultMaxWaitBeforeScaleUp leaves the rest of a first token's 0.82 s to the engine.
	DefaultMaxWaitBeforeScaleUp = 500 * time.Millisecond
	// DefaultTargetUtilization: an adapter on two engines of 16 slots finds both full
	// about once in 300 requests at 60%, and once in 40 at 75%.
	DefaultTargetUtilization    = 0.6
	DefaultScaleDownDelay       = 2 * time.Minute
	DefaultRemoteBytesPerSecond = 1 << 30
	// DefaultModelSetup and DefaultAdapterSetup are of the order that engines
	// take to allocate and warm up; loads that were seen replace them.
	DefaultModelSetup   = 2 * time.Second
	DefaultAdapterSetup = 200 * time.Millisecond
)

// withDefaults fills the fields that are zero.
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
