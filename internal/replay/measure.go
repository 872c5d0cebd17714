package replay

import (
	"math"
	"slices"
	"time"

	"bergamotreel/placement"
)

// metrics holds the counts and times of the measured day.
type metrics struct {
	requests, inTime, refused, broken int
	// overdue counts requests without a final answer within their maximum wait.
	overdue int
	// late counts requests whose first token came after their maximum wait.
	late                   int
	coldTimes, wakeUpTimes []float64 // seconds
	idleHours              float64
	// contractHours is the part of idleHours that the contracts ask for.
	contractHours float64
	// unloadedHours is the part of contractHours in which the unit of the right was
	// not loaded; the right reserves the memory all the same.
	unloadedHours float64
	loads         map[placement.Tier]int
	loadDecisions int
	// conflicts counts proposals without effect because they would break an invariant.
	conflicts int
	overLimit int
	// bystanderTimes are the bystanders' times to first token during the burst, in
	// seconds by customer; allBystanderTimes has those of all customers.
	bystanderTimes    map[string][]float64
	allBystanderTimes []float64
	outcomes          map[requestKey]outcome
}

func newMetrics() *metrics {
	return &metrics{loads: make(map[placement.Tier]int), bystanderTimes: make(map[string][]float64),
		outcomes: make(map[requestKey]outcome)}
}

func (m *metrics) recordLoadDecision(isMeasuredDay bool) {
	if isMeasuredDay {
		m.loadDecisions++
	}
}

func (m *metrics) recordLoadStart(isMeasuredDay bool, tier placement.Tier) {
	if isMeasuredDay {
		m.loads[tier]++
	}
}

func (m *metrics) checkReplicaLimit(u *unit, replicas int) {
	if replicas > u.maxReplicas {
		m.overLimit++
	}
}

func (m *metrics) recordFirstToken(r *request) {
	if r.firstToken <= r.deadline {
		m.inTime++
	} else {
		m.late++
	}
	m.recordTime(r, r.firstToken-r.at)
}

// recordRefusal counts a refused request with its maximum wait, because to its
// caller a refusal is no better.
func (m *metrics) recordRefusal(r *request, _ time.Duration) {
	m.refused++
	m.recordTime(r, r.unit.maxWait)
}

func (m *metrics) recordTime(r *request, took time.Duration) {
	if r.cold {
		m.coldTimes = append(m.coldTimes, took.Seconds())
	}
	if r.wakeUp {
		m.wakeUpTimes = append(m.wakeUpTimes, took.Seconds())
	}
	clock := r.at % day
	if r.unit.office > 0 && clock >= BurstStart && clock < BurstStart+BurstDuration {
		m.bystanderTimes[r.unit.customer] = append(m.bystanderTimes[r.unit.customer], took.Seconds())
		m.allBystanderTimes = append(m.allBystanderTimes, took.Seconds())
		m.outcomes[requestKey{r.unit.id, r.at}] = outcome{took.Seconds(), r.delayCause}
	}
}

// Percentiles holds percentiles of a time in seconds.
type Percentiles struct {
	Count         int
	P50, P95, P99 float64
}

func percentiles(values []float64) Percentiles {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Percentiles{Count: len(sorted), P50: quantile(sorted, 0.5), P95: quantile(sorted, 0.95), P99: quantile(sorted, 0.99)}
}

// quantile returns the nearest-rank quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// Result holds the figures of one run.
type Result struct {
	Policy    string
	Fault     Fault
	Seed      uint64
	Requests  int
	Cold      Percentiles
	WakeUp    Percentiles
	InTime    float64 // share of requests
	Refused   float64 // share of requests
	Broken    int
	Overdue   int
	Late      int
	IdleHours float64
	// ContractHours is the part of IdleHours that no policy may save: that of
	// minimum replicas and standby rights.
	ContractHours float64
	// UnloadedHours is the part of ContractHours in which the unit of the right was
	// not loaded.
	UnloadedHours float64
	Loads         int
	Remote        int
	Decided       int
	Conflicts     int
	OverLimit     int
	// CustomerP99 is the p99 of each bystander during the burst, in seconds, AllP99
	// that of all bystanders' requests together.
	CustomerP99 map[string]float64 `json:"-"`
	AllP99      float64            `json:"-"`
	// Outcomes holds the bystanders' requests during the burst.
	Outcomes map[requestKey]outcome `json:"-"`
}

func (m *metrics) result(opt Options) *Result {
	r := &Result{Policy: opt.Policy.Name, Fault: opt.Fault, Seed: opt.Seed, Requests: m.requests,
		Cold: percentiles(m.coldTimes), WakeUp: percentiles(m.wakeUpTimes), Broken: m.broken, Overdue: m.overdue, Late: m.late,
		IdleHours: m.idleHours, ContractHours: m.contractHours, UnloadedHours: m.unloadedHours, Remote: m.loads[placement.TierRemote], Decided: m.loadDecisions,
		Conflicts: m.conflicts, OverLimit: m.overLimit, CustomerP99: make(map[string]float64), Outcomes: m.outcomes}
	for _, n := range m.loads {
		r.Loads += n
	}
	if m.requests > 0 {
		r.InTime = float64(m.inTime) / float64(m.requests)
		r.Refused = float64(m.refused) / float64(m.requests)
	}
	r.AllP99 = percentiles(m.allBystanderTimes).P99
	for customer, times := range m.bystanderTimes {
		r.CustomerP99[customer] = percentiles(times).P99
	}
	return r
}

// Bystander describes the bystander with the worst ratio of its p99 during the
// burst (Beside) to its p99 in a run without one (Alone).
type Bystander struct {
	Customer      string
	Beside, Alone float64 // seconds
	Ratio         float64
	// Noise is the worst ratio in a run without a burst in which only the one
	// office's usual requests are drawn from another random stream.
	Noise float64
	// AllBeside and AllAlone are the p99 of all bystanders' requests together.
	AllBeside, AllAlone float64
	// Slower groups the requests that were slower during the burst than without it,
	// by the cause of their delay; Faster groups those that were slower without it.
	Slower, Faster []DelayGroup
}

// worstBystander compares all offices but the bursting one. Of equal ratios the
// customer first by name counts, so that the report is deterministic.
func worstBystander(withBurst, withoutBurst *Result) Bystander {
	worst := Bystander{AllBeside: withBurst.AllP99, AllAlone: withoutBurst.AllP99,
		Slower: groupDelays(withBurst, withoutBurst), Faster: groupDelays(withoutBurst, withBurst)}
	for customer, p99 := range withBurst.CustomerP99 {
		reference := withoutBurst.CustomerP99[customer]
		if reference == 0 {
			continue
		}
		ratio := p99 / reference
		if ratio > worst.Ratio || ratio == worst.Ratio && customer < worst.Customer {
			worst.Customer, worst.Beside, worst.Alone, worst.Ratio = customer, p99, reference, ratio
		}
	}
	return worst
}
