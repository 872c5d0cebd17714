package replay

import "time"

// This file holds every assumption of the replay, with the reason for each. It
// was fixed before the first measurement; a later change of a figure needs a
// commit of its own that says why. The sizes (domains, engines, models,
// adapters, the store's limits) are the brief's.

const (
	gigabyte = int64(1) << 30

	// TimeToFirstToken is prefill of a short prompt on a free slot.
	TimeToFirstToken = 300 * time.Millisecond

	// DecisionTime is from the first waiting request to the engine's taking of
	// the order: a message to the planner, an append to the log and its read
	// (about 10 ms each), and the keeper's order. Every policy pays it.
	DecisionTime = 50 * time.Millisecond

	// GoneTime is from a withdrawal to the freed memory: the unload order, the
	// engine's status that shows it gone, and one more append.
	UnloadTime = 500 * time.Millisecond

	// EngineLostTime is how long a reclaimed engine's rights still count: the
	// VM list lags by seconds, and a message may live for some more.
	LostEngineTTL = 30 * time.Second

	// PlanInterval is the planner's tick.
	PlanInterval = 100 * time.Millisecond

	// RemoteRate is one load's rate from the weight store at full speed: a
	// 10 Gbit/s network, nearly full.
	RemoteRate = 1.0 * float64(gigabyte)
	// DiskRate is a local NVMe disk's, read in large blocks.
	DiskRate = 2.5 * float64(gigabyte)
	// MemoryRate is host memory to accelerator over the bus.
	MemoryRate = 10 * float64(gigabyte)

	// ModelSetup is what loading a model costs whatever its tier: allocating
	// the KV cache and warming up.
	ModelSetup = 3 * time.Second
	// AdapterSetup is the same for an adapter on a ready base.
	AdapterSetup = 200 * time.Millisecond

	// StoreLoadsPerSecond and StoreAtOnce are the brief's. More loads at once
	// than StoreAtOnce share the bandwidth of StoreAtOnce.
	StoreLoadsPerSecond = 4.0
	StoreFullRateLoads  = 4

	// EngineSlots is how many requests an engine batches.
	EngineSlots = 16

	// HostCacheBytes and DiskCacheBytes bound an engine's checkpoint caches;
	// both drop the least recently used. A VM with one 80 GB accelerator comes
	// with about twice that in memory, of which half is free for a cache.
	HostCacheBytes = 96 * gigabyte
	DiskCacheBytes = 500 * gigabyte
	// InitialDiskCopies and InitialMemoryCopies are how many engines have each
	// checkpoint at midnight of the first day: "cached unevenly". A third of the
	// checkpoints are only remote.
	InitialDiskCopies   = 2
	InitialMemoryCopies = 1
	InitialRemoteShare  = 1.0 / 3

	// AdapterWeights is a low-rank adapter of an 8 to 14 billion parameter
	// model; AdapterReplica adds its buffers.
	AdapterWeightBytes  = 200 * (gigabyte / 1024)
	AdapterReplicaBytes = 400 * (gigabyte / 1024)

	// DaysOfHistory run before the measured day, so that caches and history are
	// those of a system in use. "No history" rows start the policy afresh at
	// midnight of the measured day.
	DaysOfHistory = 2
)

// ModelClass is a size of model with its share among the rarely used models.
type ModelClass struct {
	Share float64
	// Weights are the checkpoint's bytes, Replica what it takes of an engine.
	WeightBytes, ReplicaBytes int64
}

// ActivityClass is how often a unit is used, with its share among the units.
type ActivityClass struct {
	Share float64
	// SessionsPerDay is the mean over the opening hours.
	SessionsPerDay float64
	// OpensWith is the chance of a burst at several routers at opening time.
	OpeningBurstProbability float64
}

// Deployment is everything assumed about one of the two deployments.
type Deployment struct {
	Name    string
	Domains int
	Routers int
	// Engines of the assistant and of booking, and their memory.
	Engines, BookingEngines         int
	EngineMemory, BookingMemory     int64
	Offices, ModelsPerOffice        int
	AdaptersPerOffice               int
	HeadOfficeModels, BookingModels int

	// Base is the assistant's own model, which carries the adapters.
	Base    ModelClass
	Classes []ModelClass
	// Activity of models and adapters alike.
	Activity []ActivityClass

	OpeningTime, ClosingTime time.Duration
	// OpeningSpread is the standard deviation of an office's opening.
	OpeningStdDev time.Duration
	// OpeningRequests arrive at different routers within OpeningWithin.
	OpeningRequests int
	OpeningWindow   time.Duration

	// A session is RequestsPerSession requests on average (geometric) with
	// lognormal pauses (median and sigma) after each answer.
	RequestsPerSession float64
	MedianPause        time.Duration
	PauseSigma         float64
	// Service is the lognormal time a request takes a slot.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64

	// TimerShare of the offices' models is called by a timer every TimerEvery
	// within opening hours, give or take TimerJitter.
	TimerShare    float64
	TimerInterval time.Duration
	TimerJitter   time.Duration

	// AssistantRate is requests a second to the base model in opening hours;
	// BookingRate to each booking model from 06:00 to 22:00.
	AssistantRate, BookingRate float64

	// BusyRate is an office's busy rate in requests a second, over its units, in
	// the fairness experiment. With the mean service time the adapters fill a
	// little over half of the slots that the assistant's contract allows: busy,
	// but not overloaded before the burst.
	BusyRate float64

	// The surge multiplies the sessions of SurgeOffices.
	SurgeStart, SurgeEnd time.Duration
	SurgeOffices         int
	SurgeFactor          float64

	// The overnight batch: each head office model gets BatchRequests at
	// BatchRate a second, with a longest wait of BatchWait.
	BatchStart    time.Duration
	BatchRequests int
	BatchRate     float64
	BatchMaxWait  time.Duration

	// MaxWait of the offices' requests and of booking.
	MaxWait, BookingMaxWait time.Duration
	// MaxReplicas of a rarely used unit, of the assistant and of booking.
	MaxReplicas, AssistantMaxReplicas, BookingMaxReplicas int
	// AssistantMin and BookingMin replicas stay up by contract.
	AssistantMinReplicas, BookingMinReplicas int
	// StandbyPerDomain rights for the booking models, by contract.
	StandbyPerDomain int
}

// Trinidad is the Caribbean Instrument Hire Association: many small shops, a
// customer at the counter, small models.
func Trinidad() Deployment {
	return Deployment{
		Name: "trinidad", Domains: 3, Routers: 9,
		Engines: 20, BookingEngines: 3,
		// One 80 GB accelerator an engine; booking runs on 48 GB ones.
		EngineMemory: 80 * gigabyte, BookingMemory: 48 * gigabyte,
		// 22 shops with 2 models and 5 adapters each, 9 models of the head
		// office, 1 assistant and 1 booking model: 55 models, 110 adapters.
		Offices: 22, ModelsPerOffice: 2, AdaptersPerOffice: 5,
		HeadOfficeModels: 9, BookingModels: 1,
		// 4, 8 and 14 billion parameters in 16 bits; half as much again for KV.
		Base: ModelClass{WeightBytes: 16 * gigabyte, ReplicaBytes: 24 * gigabyte},
		Classes: []ModelClass{
			{Share: 0.40, WeightBytes: 8 * gigabyte, ReplicaBytes: 12 * gigabyte},
			{Share: 0.45, WeightBytes: 16 * gigabyte, ReplicaBytes: 24 * gigabyte},
			{Share: 0.15, WeightBytes: 28 * gigabyte, ReplicaBytes: 42 * gigabyte},
		},
		// "Mostly idle": six in ten units see a session a day.
		Activity: []ActivityClass{
			{Share: 0.10, SessionsPerDay: 20, OpeningBurstProbability: 0.8},
			{Share: 0.30, SessionsPerDay: 6, OpeningBurstProbability: 0.5},
			{Share: 0.60, SessionsPerDay: 1, OpeningBurstProbability: 0.1},
		},
		OpeningTime: 8 * time.Hour, ClosingTime: 17 * time.Hour, OpeningStdDev: 2 * time.Minute,
		// Clerks at several counters; the balancer spreads them over routers.
		OpeningRequests: 6, OpeningWindow: 5 * time.Second,
		// A rental agreement with some questions, at a counter.
		RequestsPerSession: 5, MedianPause: 40 * time.Second, PauseSigma: 0.8,
		MedianServiceTime: 5 * time.Second, ServiceTimeSigma: 0.6,
		TimerShare: 0.05, TimerInterval: 30 * time.Minute, TimerJitter: 20 * time.Second,
		AssistantRate: 1.5, BookingRate: 0.3, BusyRate: 1.0,
		// Carnival: half of the shops, six times the sessions.
		SurgeStart: 15 * time.Hour, SurgeEnd: 17 * time.Hour, SurgeOffices: 11, SurgeFactor: 6,
		BatchStart: time.Hour, BatchRequests: 400, BatchRate: 0.5, BatchMaxWait: 10 * time.Minute,
		// A customer stands at the counter; a pickup is booked from a phone.
		MaxWait: 30 * time.Second, BookingMaxWait: 10 * time.Second,
		MaxReplicas: 2, AssistantMaxReplicas: 12, BookingMaxReplicas: 3,
		AssistantMinReplicas: 3, BookingMinReplicas: 1, StandbyPerDomain: 1,
	}
}

// Kathmandu is the Sahayatri Rin Salah Franchise Office: larger models that are
// idle for longer.
func Kathmandu() Deployment {
	return Deployment{
		Name: "kathmandu", Domains: 4, Routers: 8,
		Engines: 20, BookingEngines: 4,
		EngineMemory: 80 * gigabyte, BookingMemory: 48 * gigabyte,
		// 23 offices with 1 model and 5 adapters each, 10 models of the head
		// office, 1 assistant and 1 booking model: 35 models, 115 adapters.
		Offices: 23, ModelsPerOffice: 1, AdaptersPerOffice: 5,
		HeadOfficeModels: 10, BookingModels: 1,
		// 14 billion parameters carry Nepali; the largest are 24 billion.
		Base: ModelClass{WeightBytes: 28 * gigabyte, ReplicaBytes: 40 * gigabyte},
		Classes: []ModelClass{
			{Share: 0.25, WeightBytes: 16 * gigabyte, ReplicaBytes: 22 * gigabyte},
			{Share: 0.45, WeightBytes: 28 * gigabyte, ReplicaBytes: 40 * gigabyte},
			{Share: 0.30, WeightBytes: 48 * gigabyte, ReplicaBytes: 68 * gigabyte},
		},
		Activity: []ActivityClass{
			{Share: 0.10, SessionsPerDay: 10, OpeningBurstProbability: 0.8},
			{Share: 0.25, SessionsPerDay: 3, OpeningBurstProbability: 0.5},
			{Share: 0.65, SessionsPerDay: 0.5, OpeningBurstProbability: 0.1},
		},
		OpeningTime: 10 * time.Hour, ClosingTime: 17 * time.Hour, OpeningStdDev: 2 * time.Minute,
		OpeningRequests: 5, OpeningWindow: 5 * time.Second,
		// A client tells a story; the summary is long.
		RequestsPerSession: 4, MedianPause: 90 * time.Second, PauseSigma: 0.8,
		MedianServiceTime: 12 * time.Second, ServiceTimeSigma: 0.6,
		// Reminders of the day's sessions on every full hour.
		TimerShare: 0.05, TimerInterval: time.Hour, TimerJitter: 20 * time.Second,
		AssistantRate: 0.5, BookingRate: 0.2, BusyRate: 0.25,
		// A news item on moneylenders: half of the offices, five times.
		SurgeStart: 14 * time.Hour, SurgeEnd: 16 * time.Hour, SurgeOffices: 11, SurgeFactor: 5,
		BatchStart: 2 * time.Hour, BatchRequests: 150, BatchRate: 0.2, BatchMaxWait: 10 * time.Minute,
		// A load of the largest takes 51 s from the store.
		MaxWait: time.Minute, BookingMaxWait: 10 * time.Second,
		MaxReplicas: 2, AssistantMaxReplicas: 8, BookingMaxReplicas: 4,
		AssistantMinReplicas: 2, BookingMinReplicas: 1, StandbyPerDomain: 1,
	}
}

// Fairness experiment: one office sends ten times as much as it usually does
// at its busiest, for BurstFor; all others are bystanders.
const (
	BurstStart    = 11 * time.Hour
	BurstDuration = 15 * time.Minute
	BurstFactor   = 10
	// BusyFrom to BusyTo all offices send their busy rate, spread over their
	// units, with and without the burst.
	BusyStart = 10*time.Hour + 40*time.Minute
	BusyEnd   = 11*time.Hour + 20*time.Minute
	// ContractFactor is how much of its busy rate an office's contract allows,
	// with a bucket of ContractBurst requests.
	ContractRateFactor = 2
	ContractBurst      = 40
	// ContractQueue bounds an office's waiting requests on one router.
	ContractMaxQueued = 100
)

// Faults, each on a day of its own.
const (
	// StoreSlowFactor lasts the whole measured day.
	StoreSlowFactor = 4.0
	// The log outage starts LogOutageLead before opening.
	LogOutageLead     = 5 * time.Minute
	LogOutageDuration = 30 * time.Minute
	// A failure domain is cut from the rest and the platform in mid-morning.
	DomainCutAfterOpening = time.Hour
	DomainCutDuration     = 10 * time.Minute
	// A tenth of the VMs is reclaimed at once, in mid-morning. Engines that
	// take their place have empty caches and come after ReclaimReplace.
	ReclaimAfterOpening = time.Hour
	ReclaimShare        = 0.1
	ReplacementDelay    = 3 * time.Minute
)
