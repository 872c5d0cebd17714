package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// unit is a model or an adapter of the deployment.
type unit struct {
	id       int
	name     string
	customer string
	// base is the model that an adapter is for, nil for a model.
	base                      *unit
	weightBytes, replicaBytes int64
	maxWait                   time.Duration
	priority                  int
	maxReplicas               int
	minReplicas               int
	standbyPerDomain          int
	activity                  ActivityClass
	// timer models are called at fixed times, batch models overnight.
	timer, batch bool
	office       int // -1 for the head office
}

// pool is the name of the model whose engines serve the unit.
func (u *unit) pool() string {
	if u.base != nil {
		return u.base.name
	}
	return u.name
}

// arrival is one request of the trace.
type arrival struct {
	at      time.Duration // since midnight of the first day
	unit    *unit
	router  int
	service time.Duration
	// wakeUp is whether the unit had no request in the minute before.
	wakeUp bool
}

// minWakeUpGap is the idle time after which a request counts as a wake-up: the
// shortest of the fixed keep-alives.
const minWakeUpGap = time.Minute

// headOffice and booking are the customers other than the offices.
const (
	headOffice = "head-office"
	booking    = "booking"
)

func officeName(i int) string { return fmt.Sprintf("office-%02d", i) }

// makeUnits returns the deployment's models and adapters. The same seed gives the
// same sizes and activities.
func makeUnits(d Deployment, seed uint64) []*unit {
	rng := rand.New(rand.NewPCG(seed, 1))
	var units []*unit
	add := func(u unit) *unit {
		u.id = len(units)
		units = append(units, &u)
		return units[u.id]
	}
	model := func(name, customer string, office int) *unit {
		class := drawModelClass(rng, d.Classes)
		return add(unit{name: name, customer: customer, weightBytes: class.WeightBytes, replicaBytes: class.ReplicaBytes,
			maxWait: d.MaxWait, maxReplicas: d.MaxReplicas, office: office})
	}
	base := add(unit{name: "assistant", customer: headOffice, weightBytes: d.Base.WeightBytes, replicaBytes: d.Base.ReplicaBytes,
		maxWait: d.MaxWait, maxReplicas: d.AssistantMaxReplicas, minReplicas: d.AssistantMinReplicas, office: -1})
	for i := range d.BookingModels {
		add(unit{name: fmt.Sprintf("booking-%d", i), customer: booking, weightBytes: d.Base.WeightBytes, replicaBytes: d.Base.ReplicaBytes,
			maxWait: d.BookingMaxWait, priority: 1, maxReplicas: d.BookingMaxReplicas, minReplicas: d.BookingMinReplicas,
			standbyPerDomain: d.StandbyPerDomain, office: -1})
	}
	for i := range d.HeadOfficeModels {
		u := model(fmt.Sprintf("head-%02d", i), headOffice, -1)
		u.batch, u.maxWait, u.priority = true, d.BatchMaxWait, -1
	}
	for o := range d.Offices {
		for i := range d.ModelsPerOffice {
			u := model(fmt.Sprintf("office-%02d-model-%d", o, i), officeName(o), o)
			u.timer = rng.Float64() < d.TimerShare
			u.activity = drawActivity(rng, d.Activity)
		}
		for i := range d.AdaptersPerOffice {
			add(unit{name: fmt.Sprintf("office-%02d-adapter-%d", o, i), customer: officeName(o), base: base,
				weightBytes: AdapterWeightBytes, replicaBytes: AdapterReplicaBytes, maxWait: d.MaxWait, maxReplicas: d.MaxReplicas,
				office: o, activity: drawActivity(rng, d.Activity)})
		}
	}
	return units
}

func drawModelClass(rng *rand.Rand, classes []ModelClass) ModelClass {
	x := rng.Float64()
	for _, c := range classes {
		if x < c.Share {
			return c
		}
		x -= c.Share
	}
	return classes[len(classes)-1]
}

func drawActivity(rng *rand.Rand, classes []ActivityClass) ActivityClass {
	x := rng.Float64()
	for _, c := range classes {
		if x < c.Share {
			return c
		}
		x -= c.Share
	}
	return classes[len(classes)-1]
}

// traceBuilder collects the arrivals of a deployment.
type traceBuilder struct {
	deployment Deployment
	seed       uint64
	arrivals   []arrival
}

const day = 24 * time.Hour

// makeTrace returns the arrivals of all days, in order of time. Only the last day
// has the surge and, if experiment is not nil, the fairness experiment.
func makeTrace(d Deployment, units []*unit, seed uint64, days int, experiment *fairnessExperiment) []arrival {
	t := &traceBuilder{deployment: d, seed: seed}
	for n := range days {
		for _, u := range units {
			rng := rand.New(rand.NewPCG(seed, uint64(n)<<32|uint64(u.id)<<8|2))
			t.addUnitDay(rng, u, n, n == days-1)
		}
	}
	if experiment != nil {
		t.addBusyOffices(units, days-1, *experiment)
	}
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	markWakeUps(t.arrivals)
	return t.arrivals
}

func markWakeUps(arrivals []arrival) {
	lastArrival := make(map[*unit]time.Duration)
	for i := range arrivals {
		a := &arrivals[i]
		previous, seen := lastArrival[a.unit]
		a.wakeUp = !seen || a.at-previous >= minWakeUpGap
		lastArrival[a.unit] = a.at
	}
}

func (t *traceBuilder) addRequest(rng *rand.Rand, u *unit, at time.Duration) time.Duration {
	service := logNormal(rng, t.deployment.MedianServiceTime, t.deployment.ServiceTimeSigma)
	t.arrivals = append(t.arrivals, arrival{at: at, unit: u, router: rng.IntN(t.deployment.Routers), service: service})
	return service
}

func logNormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

func (t *traceBuilder) addUnitDay(rng *rand.Rand, u *unit, n int, isLastDay bool) {
	midnight := time.Duration(n) * day
	switch {
	case u.batch:
		t.addPoisson(rng, u, midnight+t.deployment.BatchStart, float64(t.deployment.BatchRequests)/t.deployment.BatchRate, t.deployment.BatchRate)
	case u.customer == booking:
		t.addPoisson(rng, u, midnight+6*time.Hour, (16 * time.Hour).Seconds(), t.deployment.BookingRate)
	case u.office < 0:
		t.addPoisson(rng, u, midnight+t.deployment.OpeningTime, (t.deployment.ClosingTime - t.deployment.OpeningTime).Seconds(), t.deployment.AssistantRate)
	case u.timer:
		t.addTimerRequests(rng, u, midnight)
	default:
		t.addOpeningBurst(rng, u, midnight)
		t.addSessions(rng, u, midnight, isLastDay)
	}
}

// addPoisson adds a Poisson process of arrivals with the given rate per second.
func (t *traceBuilder) addPoisson(rng *rand.Rand, u *unit, from time.Duration, seconds, rate float64) {
	for x := rng.ExpFloat64() / rate; x < seconds; x += rng.ExpFloat64() / rate {
		t.addRequest(rng, u, from+time.Duration(x*float64(time.Second)))
	}
}

func (t *traceBuilder) addTimerRequests(rng *rand.Rand, u *unit, midnight time.Duration) {
	for at := t.deployment.OpeningTime; at < t.deployment.ClosingTime; at += t.deployment.TimerInterval {
		jitter := time.Duration(rng.NormFloat64() * float64(t.deployment.TimerJitter))
		t.addRequest(rng, u, midnight+at+jitter)
	}
}

// addOpeningBurst adds the burst of requests at several routers when an office
// opens.
func (t *traceBuilder) addOpeningBurst(rng *rand.Rand, u *unit, midnight time.Duration) {
	if rng.Float64() >= u.activity.OpeningBurstProbability {
		return
	}
	at := midnight + t.deployment.OpeningTime + time.Duration(rng.NormFloat64()*float64(t.deployment.OpeningStdDev))
	first := rng.IntN(t.deployment.Routers)
	for i := range t.deployment.OpeningRequests {
		t.addRequest(rng, u, at+time.Duration(rng.Float64()*float64(t.deployment.OpeningWindow)))
		t.arrivals[len(t.arrivals)-1].router = (first + i) % t.deployment.Routers
	}
}

// addSessions adds sessions at a constant rate over the opening hours and, on the
// last day, those of the surge.
func (t *traceBuilder) addSessions(rng *rand.Rand, u *unit, midnight time.Duration, isLastDay bool) {
	open := t.deployment.ClosingTime - t.deployment.OpeningTime
	rate := u.activity.SessionsPerDay / open.Seconds()
	t.addSessionsAtRate(rng, u, midnight+t.deployment.OpeningTime, open, rate)
	if isLastDay && u.office < t.deployment.SurgeOffices {
		t.addSessionsAtRate(rng, u, midnight+t.deployment.SurgeStart, t.deployment.SurgeEnd-t.deployment.SurgeStart, rate*(t.deployment.SurgeFactor-1))
	}
}

func (t *traceBuilder) addSessionsAtRate(rng *rand.Rand, u *unit, from, length time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	for x := rng.ExpFloat64() / rate; x < length.Seconds(); x += rng.ExpFloat64() / rate {
		at := from + time.Duration(x*float64(time.Second))
		for {
			at += t.addRequest(rng, u, at) + logNormal(rng, t.deployment.MedianPause, t.deployment.PauseSigma)
			if rng.Float64() < 1/t.deployment.RequestsPerSession {
				break
			}
		}
	}
}

// fairnessExperiment configures the experiment with one bursting office among busy
// ones.
type fairnessExperiment struct {
	// burst is whether office 0 sends BurstFactor times its rate.
	burst bool
	// resampled is whether the usual requests of office 0 are drawn from another
	// random stream. The change that this alone makes for the bystanders is the
	// noise of the measurement.
	resampled bool
}

// addBusyOffices adds the requests of each office's busy rate, and the burst. Each
// unit has a random stream of its own, so that the bystanders' requests are the
// same with and without the burst.
func (t *traceBuilder) addBusyOffices(units []*unit, n int, f fairnessExperiment) {
	midnight := time.Duration(n) * day
	perOffice := float64(t.deployment.ModelsPerOffice + t.deployment.AdaptersPerOffice)
	rate := t.deployment.BusyRate / perOffice
	for _, u := range units {
		if u.office < 0 {
			continue
		}
		stream := uint64(3)
		if f.resampled && u.office == 0 {
			stream = 6
		}
		rng := rand.New(rand.NewPCG(t.seed, uint64(u.id)<<8|stream))
		t.addPoisson(rng, u, midnight+BusyStart, (BusyEnd - BusyStart).Seconds(), rate)
		if f.burst && u.office == 0 {
			t.addPoisson(rng, u, midnight+BurstStart, BurstDuration.Seconds(), rate*(BurstFactor-1))
		}
	}
}
