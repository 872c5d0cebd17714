package replay

import (
	"math"
	"slices"
	"time"

	"bergamotreel/placement"
)

// metrics is what is counted on the measured day.
type metrics struct {
	requests, inTime, refused, broken int
	// overdue requests had no final answer within their longest wait.
	overdue int
	// late requests were sent in time and had their first token after it.
	late       int
	cold, wake []float64 // seconds
	idleHours  float64
	// contractHours is the part of it that the contracts ask for.
	contractHours float64
	// unloadedHours is the part of contractHours in which the right's unit was
	// not loaded: its memory is taken all the same.
	unloadedHours float64
	loads         map[placement.Tier]int
	decisions     int
	conflicts     int
	overLimit     int
	// byCustomer is the bystanders' times to the first token in the burst's
	// window, bystanders those of all of them.
	byCustomer map[string][]float64
	bystanders []float64
	outcomes   map[requestKey]outcome
}

func newMetrics() *metrics {
	return &metrics{loads: make(map[placement.Tier]int), byCustomer: make(map[string][]float64),
		outcomes: make(map[requestKey]outcome)}
}

func (m *metrics) decided(measuring bool) {
	if measuring {
		m.decisions++
	}
}

func (m *metrics) loadStarted(measuring bool, tier placement.Tier) {
	if measuring {
		m.loads[tier]++
	}
}

func (m *metrics) mostReplicas(u *unit, n int) {
	if n > u.maxReplicas {
		m.overLimit++
	}
}

func (m *metrics) answered(r *request) {
	if r.firstToken <= r.deadline {
		m.inTime++
	} else {
		m.late++
	}
	m.note(r, r.firstToken-r.at)
}

// refusedRequest counts with its longest wait: to its caller it is no better.
func (m *metrics) refusedRequest(r *request, _ time.Duration) {
	m.refused++
	m.note(r, r.unit.maxWait)
}

func (m *metrics) note(r *request, took time.Duration) {
	if r.cold {
		m.cold = append(m.cold, took.Seconds())
	}
	if r.wakeUp {
		m.wake = append(m.wake, took.Seconds())
	}
	clock := r.at % day
	if r.unit.office > 0 && clock >= BurstStart && clock < BurstStart+BurstDuration {
		m.byCustomer[r.unit.customer] = append(m.byCustomer[r.unit.customer], took.Seconds())
		m.bystanders = append(m.bystanders, took.Seconds())
		m.outcomes[requestKey{r.unit.id, r.at}] = outcome{took.Seconds(), r.met}
	}
}

// Percentiles of a time in seconds.
type Percentiles struct {
	Count         int
	P50, P95, P99 float64
}

func percentiles(values []float64) Percentiles {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Percentiles{Count: len(sorted), P50: quantile(sorted, 0.5), P95: quantile(sorted, 0.95), P99: quantile(sorted, 0.99)}
}

// quantile is the nearest rank of sorted values; 0 for none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// Result is one run's figures.
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
	// ContractHours is the part of IdleHours that no policy may save: minimum
	// replicas and standby rights.
	ContractHours float64
	// UnloadedHours is the part of ContractHours of rights that were not loaded.
	UnloadedHours float64
	Loads         int
	Remote        int
	Decided       int
	Conflicts     int
	OverLimit     int
	// CustomerP99 is each bystander's p99 in the burst's window, in seconds, and
	// AllP99 that of all together.
	CustomerP99 map[string]float64 `json:"-"`
	AllP99      float64            `json:"-"`
	// Outcomes are the bystanders' requests in the burst's window.
	Outcomes map[requestKey]outcome `json:"-"`
}

func (m *metrics) result(opt Options) *Result {
	r := &Result{Policy: opt.Policy.Name, Fault: opt.Fault, Seed: opt.Seed, Requests: m.requests,
		Cold: percentiles(m.cold), WakeUp: percentiles(m.wake), Broken: m.broken, Overdue: m.overdue, Late: m.late,
		IdleHours: m.idleHours, ContractHours: m.contractHours, UnloadedHours: m.unloadedHours, Remote: m.loads[placement.TierRemote], Decided: m.decisions,
		Conflicts: m.conflicts, OverLimit: m.overLimit, CustomerP99: make(map[string]float64), Outcomes: m.outcomes}
	for _, n := range m.loads {
		r.Loads += n
	}
	if m.requests > 0 {
		r.InTime = float64(m.inTime) / float64(m.requests)
		r.Refused = float64(m.refused) / float64(m.requests)
	}
	r.AllP99 = percentiles(m.bystanders).P99
	for customer, times := range m.byCustomer {
		r.CustomerP99[customer] = percentiles(times).P99
	}
	return r
}

// Bystander is the worst ratio of a bystander's p99 beside the burst to alone.
type Bystander struct {
	Customer      string
	Beside, Alone float64 // seconds
	Ratio         float64
	// Noise is the worst ratio with no burst, only the one office's usual
	// requests drawn afresh.
	Noise float64
	// AllBeside and AllAlone are of all bystanders' requests together.
	AllBeside, AllAlone float64
	// Slower are the requests that were slower beside the burst than alone, by
	// what they met there, Faster those that were slower alone.
	Slower, Faster []DelayGroup
}

// worstBystander compares all offices but the bursting one.
func worstBystander(beside, alone *Result) Bystander {
	worst := Bystander{AllBeside: beside.AllP99, AllAlone: alone.AllP99,
		Slower: pair(beside, alone), Faster: pair(alone, beside)}
	for customer, p99 := range beside.CustomerP99 {
		before := alone.CustomerP99[customer]
		if before == 0 {
			continue
		}
		ratio := p99 / before
		if ratio > worst.Ratio || ratio == worst.Ratio && customer < worst.Customer {
			worst.Customer, worst.Beside, worst.Alone, worst.Ratio = customer, p99, before, ratio
		}
	}
	return worst
}
