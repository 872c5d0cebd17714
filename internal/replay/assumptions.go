package replay

import "time"

// This file holds every assumption of the replay, with the reason for each. The
// values are not fitted to measured results: change one only in a commit of its
// own that gives the reason. The sizes (domains, engines, models, adapters, the
// limits of the weight store) are requirements of the deployments.

const (
	gibibyte = int64(1) << 30

	// TimeToFirstToken is the prefill time of a short prompt on a free slot.
	TimeToFirstToken = 300 * time.Millisecond

	// DecisionTime is the time from the first waiting request until the engine
	// accepts the order: a message to the planner, an append to the log and its
	// read (about 10 ms each), and the keeper's order. It applies to every policy.
	DecisionTime = 50 * time.Millisecond

	// UnloadTime is the time from a withdrawal until the memory is free: the
	// unload order, the engine status that no longer lists the unit, and one more
	// append to the log.
	UnloadTime = 500 * time.Millisecond

	// LostEngineTTL is how long the rights of a reclaimed engine still count: the
	// VM list lags by seconds, and a message may be in flight for some more.
	LostEngineTTL = 30 * time.Second

	// PlanInterval is the period of planning while requests wait.
	PlanInterval = 100 * time.Millisecond

	// RemoteRate is the full rate of one load from the weight store, in bytes per
	// second: a 10 Gbit/s network, nearly saturated.
	RemoteRate = 1.0 * float64(gibibyte)
	// DiskRate is the rate of a local NVMe disk that is read in large blocks.
	DiskRate = 2.5 * float64(gibibyte)
	// MemoryRate is the rate from host memory to the accelerator over the bus.
	MemoryRate = 10 * float64(gibibyte)

	// ModelSetup is the part of a model's load time that does not depend on the
	// tier of its checkpoint: allocating the KV cache and warming up.
	ModelSetup = 3 * time.Second
	// AdapterSetup is the same for an adapter on a ready base model.
	AdapterSetup = 200 * time.Millisecond

	// StoreLoadsPerSecond and MaxConcurrentLoads are requirements on the weight store.
	// MaxConcurrentLoads is how many loads run at full speed; more loads share the
	// bandwidth of that many.
	StoreLoadsPerSecond = 4.0
	MaxConcurrentLoads  = 4

	// EngineSlots is the maximum number of requests in an engine's batch.
	EngineSlots = 16

	// HostCacheBytes and DiskCacheBytes bound an engine's checkpoint caches, which
	// both evict the least recently used checkpoint. A VM with one 80 GB
	// accelerator has about twice that in host memory, half of it free for a cache.
	HostCacheBytes = 96 * gibibyte
	DiskCacheBytes = 500 * gibibyte
	// InitialDiskCopies and InitialMemoryCopies are how many engines have a
	// checkpoint at midnight of the first day, so that it is cached unevenly. A
	// third of the checkpoints (InitialRemoteShare) are only in the weight store.
	InitialDiskCopies   = 2
	InitialMemoryCopies = 1
	InitialRemoteShare  = 1.0 / 3

	// AdapterWeightBytes is the size of a low-rank adapter of a model with 8 to 14
	// billion parameters; AdapterReplicaBytes includes its buffers.
	AdapterWeightBytes  = 200 * (gibibyte / 1024)
	AdapterReplicaBytes = 400 * (gibibyte / 1024)

	// DaysOfHistory is the number of days before the measured one, which bring
	// caches and request history to those of a system in use. Policies with
	// DropHistory lose their history at midnight of the measured day.
	DaysOfHistory = 2
)

// ModelClass describes a size of model and its share of the rarely used models.
type ModelClass struct {
	Share float64
	// WeightBytes is the size of the checkpoint, ReplicaBytes the engine memory
	// that a replica takes.
	WeightBytes, ReplicaBytes int64
}

// ActivityClass describes how often a unit is used and the share of such units.
type ActivityClass struct {
	Share float64
	// SessionsPerDay is the mean number of sessions in the opening hours of a day.
	SessionsPerDay float64
	// OpeningBurstProbability is the probability of a burst of requests at several
	// routers when the office opens.
	OpeningBurstProbability float64
}

// Deployment holds all assumptions about one of the two deployments.
type Deployment struct {
	Name    string
	Domains int
	Routers int
	// Engines counts the engines for the assistant and the rarely used models,
	// BookingEngines those bought for booking; each has its own size of memory.
	Engines, BookingEngines         int
	EngineMemory, BookingMemory     int64
	Offices, ModelsPerOffice        int
	AdaptersPerOffice               int
	HeadOfficeModels, BookingModels int

	// Base is the model of the assistant, which is the base of all adapters; the
	// booking models have its size.
	Base ModelClass
	// Classes are the sizes of the other models.
	Classes []ModelClass
	// Activity applies to the offices' models and adapters alike.
	Activity []ActivityClass

	OpeningTime, ClosingTime time.Duration
	// OpeningStdDev is the standard deviation of the time at which a burst starts,
	// around OpeningTime.
	OpeningStdDev time.Duration
	// OpeningRequests is the number of requests in an opening burst, which arrive
	// at different routers within OpeningWindow.
	OpeningRequests int
	OpeningWindow   time.Duration

	// A session has RequestsPerSession requests on average (geometrically
	// distributed), with a lognormally distributed pause after each answer.
	RequestsPerSession float64
	MedianPause        time.Duration
	PauseSigma         float64
	// A request occupies a slot for a lognormally distributed service time.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64

	// TimerShare of the offices' models are called by a timer every TimerInterval
	// within opening hours, with a standard deviation of TimerJitter.
	TimerShare    float64
	TimerInterval time.Duration
	TimerJitter   time.Duration

	// AssistantRate is the number of requests per second to the base model in
	// opening hours, BookingRate that to each booking model from 06:00 to 22:00.
	AssistantRate, BookingRate float64

	// BusyRate is the number of requests per second that an office sends in the
	// fairness experiment, over all its units. With the mean service time the
	// adapters fill a little over half of the slots that the assistant's contract
	// allows: the offices are busy, but not overloaded before the burst.
	BusyRate float64

	// The surge multiplies the sessions of SurgeOffices offices by SurgeFactor on
	// the measured day.
	SurgeStart, SurgeEnd time.Duration
	SurgeOffices         int
	SurgeFactor          float64

	// In the overnight batch each head office model gets about BatchRequests
	// requests, BatchRate per second, each with a maximum wait of BatchMaxWait.
	BatchStart    time.Duration
	BatchRequests int
	BatchRate     float64
	BatchMaxWait  time.Duration

	// MaxWait is the longest time to first token that a request of an office or of
	// the assistant allows, BookingMaxWait that of a booking request.
	MaxWait, BookingMaxWait time.Duration
	// MaxReplicas applies to each rarely used unit, the others to the assistant and
	// to each booking model.
	MaxReplicas, AssistantMaxReplicas, BookingMaxReplicas int
	// AssistantMinReplicas and BookingMinReplicas stay loaded by contract.
	AssistantMinReplicas, BookingMinReplicas int
	// StandbyPerDomain is the number of standby rights per failure domain that the
	// contract asks for each booking model.
	StandbyPerDomain int
}

// Trinidad returns the assumptions about the Caribbean Instrument Hire
// Association: many small shops, customers who wait at a counter, small models.
func Trinidad() Deployment {
	return Deployment{
		Name: "trinidad", Domains: 3, Routers: 9,
		Engines: 20, BookingEngines: 3,
		// Each engine has one 80 GB accelerator; those of booking have 48 GB.
		EngineMemory: 80 * gibibyte, BookingMemory: 48 * gibibyte,
		// 22 shops with 2 models and 5 adapters each, 9 models of the head
		// office, 1 assistant and 1 booking model make 55 models, 110 adapters.
		Offices: 22, ModelsPerOffice: 2, AdaptersPerOffice: 5,
		HeadOfficeModels: 9, BookingModels: 1,
		// 4, 8 and 14 billion parameters of 16 bits, plus half of that for the KV
		// cache.
		Base: ModelClass{WeightBytes: 16 * gibibyte, ReplicaBytes: 24 * gibibyte},
		Classes: []ModelClass{
			{Share: 0.40, WeightBytes: 8 * gibibyte, ReplicaBytes: 12 * gibibyte},
			{Share: 0.45, WeightBytes: 16 * gibibyte, ReplicaBytes: 24 * gibibyte},
			{Share: 0.15, WeightBytes: 28 * gibibyte, ReplicaBytes: 42 * gibibyte},
		},
		// The units are mostly idle: six in ten have one session a day.
		Activity: []ActivityClass{
			{Share: 0.10, SessionsPerDay: 20, OpeningBurstProbability: 0.8},
			{Share: 0.30, SessionsPerDay: 6, OpeningBurstProbability: 0.5},
			{Share: 0.60, SessionsPerDay: 1, OpeningBurstProbability: 0.1},
		},
		OpeningTime: 8 * time.Hour, ClosingTime: 17 * time.Hour, OpeningStdDev: 2 * time.Minute,
		// Clerks start at several counters; the load balancer spreads their
		// requests over the routers.
		OpeningRequests: 6, OpeningWindow: 5 * time.Second,
		// A session is a rental agreement with some questions, at a counter.
		RequestsPerSession: 5, MedianPause: 40 * time.Second, PauseSigma: 0.8,
		MedianServiceTime: 5 * time.Second, ServiceTimeSigma: 0.6,
		TimerShare: 0.05, TimerInterval: 30 * time.Minute, TimerJitter: 20 * time.Second,
		AssistantRate: 1.5, BookingRate: 0.3, BusyRate: 1.0,
		// At Carnival half of the shops have six times the sessions.
		SurgeStart: 15 * time.Hour, SurgeEnd: 17 * time.Hour, SurgeOffices: 11, SurgeFactor: 6,
		BatchStart: time.Hour, BatchRequests: 400, BatchRate: 0.5, BatchMaxWait: 10 * time.Minute,
		// The customer waits at the counter; a pickup is booked from a phone.
		MaxWait: 30 * time.Second, BookingMaxWait: 10 * time.Second,
		MaxReplicas: 2, AssistantMaxReplicas: 12, BookingMaxReplicas: 3,
		AssistantMinReplicas: 3, BookingMinReplicas: 1, StandbyPerDomain: 1,
	}
}

// Kathmandu returns the assumptions about the Sahayatri Rin Salah Franchise
// Office: larger models that are idle for longer.
func Kathmandu() Deployment {
	return Deployment{
		Name: "kathmandu", Domains: 4, Routers: 8,
		Engines: 20, BookingEngines: 4,
		EngineMemory: 80 * gibibyte, BookingMemory: 48 * gibibyte,
		// 23 offices with 1 model and 5 adapters each, 10 models of the head
		// office, 1 assistant and 1 booking model make 35 models, 115 adapters.
		Offices: 23, ModelsPerOffice: 1, AdaptersPerOffice: 5,
		HeadOfficeModels: 10, BookingModels: 1,
		// Nepali needs 14 billion parameters; the largest models have 24 billion.
		Base: ModelClass{WeightBytes: 28 * gibibyte, ReplicaBytes: 40 * gibibyte},
		Classes: []ModelClass{
			{Share: 0.25, WeightBytes: 16 * gibibyte, ReplicaBytes: 22 * gibibyte},
			{Share: 0.45, WeightBytes: 28 * gibibyte, ReplicaBytes: 40 * gibibyte},
			{Share: 0.30, WeightBytes: 48 * gibibyte, ReplicaBytes: 68 * gibibyte},
		},
		Activity: []ActivityClass{
			{Share: 0.10, SessionsPerDay: 10, OpeningBurstProbability: 0.8},
			{Share: 0.25, SessionsPerDay: 3, OpeningBurstProbability: 0.5},
			{Share: 0.65, SessionsPerDay: 0.5, OpeningBurstProbability: 0.1},
		},
		OpeningTime: 10 * time.Hour, ClosingTime: 17 * time.Hour, OpeningStdDev: 2 * time.Minute,
		OpeningRequests: 5, OpeningWindow: 5 * time.Second,
		// The client describes a case at length, and the summary is long.
		RequestsPerSession: 4, MedianPause: 90 * time.Second, PauseSigma: 0.8,
		MedianServiceTime: 12 * time.Second, ServiceTimeSigma: 0.6,
		// Reminders of the day's sessions go out on every full hour.
		TimerShare: 0.05, TimerInterval: time.Hour, TimerJitter: 20 * time.Second,
		AssistantRate: 0.5, BookingRate: 0.2, BusyRate: 0.25,
		// After a news item on moneylenders half of the offices have five times the
		// sessions.
		SurgeStart: 14 * time.Hour, SurgeEnd: 16 * time.Hour, SurgeOffices: 11, SurgeFactor: 5,
		BatchStart: 2 * time.Hour, BatchRequests: 150, BatchRate: 0.2, BatchMaxWait: 10 * time.Minute,
		// A load of the largest model from the weight store takes 51 s.
		MaxWait: time.Minute, BookingMaxWait: 10 * time.Second,
		MaxReplicas: 2, AssistantMaxReplicas: 8, BookingMaxReplicas: 4,
		AssistantMinReplicas: 2, BookingMinReplicas: 1, StandbyPerDomain: 1,
	}
}

// The fairness experiment: all offices are busy, and for BurstDuration one of
// them sends BurstFactor times its busy rate. All others are bystanders.
const (
	BurstStart    = 11 * time.Hour
	BurstDuration = 15 * time.Minute
	BurstFactor   = 10
	// From BusyStart to BusyEnd all offices send their busy rate, spread over their
	// units, with and without the burst.
	BusyStart = 10*time.Hour + 40*time.Minute
	BusyEnd   = 11*time.Hour + 20*time.Minute
	// An office's contract allows ContractRateFactor times its busy rate, with a
	// token bucket of ContractBurst requests.
	ContractRateFactor = 2
	ContractBurst      = 40
	// ContractMaxQueued bounds an office's waiting requests on one router.
	ContractMaxQueued = 100
)

// The faults, each in a run of its own.
const (
	// StoreSlowFactor divides the bandwidth of the weight store for the whole
	// measured day.
	StoreSlowFactor = 4.0
	// The log outage starts LogOutageLead before opening.
	LogOutageLead     = 5 * time.Minute
	LogOutageDuration = 30 * time.Minute
	// One failure domain is partitioned from the others and from the platform in
	// mid-morning.
	DomainCutAfterOpening = time.Hour
	DomainCutDuration     = 10 * time.Minute
	// ReclaimShare of the VMs are reclaimed at once, in mid-morning. The engines
	// that replace them after ReplacementDelay have empty caches.
	ReclaimAfterOpening = time.Hour
	ReclaimShare        = 0.1
	ReplacementDelay    = 3 * time.Minute
)
