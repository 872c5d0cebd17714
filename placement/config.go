package placement

import "time"

// Config is the deployment's policy. The zero value of a field takes its
// default.
type Config struct {
	// ColdStartWeight from 0 to 1 weighs the tail of cold starts against idle
	// accelerator hours: near 0 saves hours, near 1 saves waiting.
	ColdStartWeight float64
	// MinKeep is the least time a replica stays after its last use. It is the
	// hysteresis: without it, two units that take turns would evict each other
	// on every request.
	MinKeep time.Duration
	// MaxKeep bounds what history may ask for.
	MaxKeep time.Duration
	// LoadStall is how many times the expected load time a load may take before
	// it counts as stalled and is tried elsewhere.
	LoadStall float64
	// AvoidAfterFailure keeps a unit off an engine where its load failed.
	AvoidAfterFailure time.Duration
	// ProposalTerm is how long a decision is given to show in the View before
	// it is proposed again.
	ProposalTerm time.Duration
	// LoadTime holds first estimates by tier, used until loads were seen.
	LoadTime map[Tier]time.Duration
	// RemoteBytesPerSecond is the first estimate of one load's rate from the
	// weight store at full speed.
	RemoteBytesPerSecond float64
	// Preload turns loading ahead of expected demand on.
	Preload bool
}

// Defaults of Config.
const (
	DefaultColdStartWeight = 0.5
	// DefaultMinKeep outlasts a clerk's pause between two questions.
	DefaultMinKeep = 20 * time.Second
	// DefaultMaxKeep is where a gap counts as "next shift".
	DefaultMaxKeep           = 2 * time.Hour
	DefaultLoadStall         = 4
	DefaultAvoidAfterFailure = 2 * time.Minute
	// DefaultProposalTerm is a few log round trips.
	DefaultProposalTerm         = 3 * time.Second
	DefaultRemoteBytesPerSecond = 1 << 30
)

// withDefaults fills the fields that are zero.
func (c Config) withDefaults() Config {
	if c.ColdStartWeight <= 0 {
		c.ColdStartWeight = DefaultColdStartWeight
	}
	if c.ColdStartWeight > 1 {
		c.ColdStartWeight = 1
	}
	if c.MinKeep <= 0 {
		c.MinKeep = DefaultMinKeep
	}
	if c.MaxKeep <= 0 {
		c.MaxKeep = DefaultMaxKeep
	}
	if c.LoadStall <= 0 {
		c.LoadStall = DefaultLoadStall
	}
	if c.AvoidAfterFailure <= 0 {
		c.AvoidAfterFailure = DefaultAvoidAfterFailure
	}
	if c.ProposalTerm <= 0 {
		c.ProposalTerm = DefaultProposalTerm
	}
	if c.RemoteBytesPerSecond <= 0 {
		c.RemoteBytesPerSecond = DefaultRemoteBytesPerSecond
	}
	return c
}
