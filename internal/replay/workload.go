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
	// base is nil for a model.
	base             *unit
	weights, replica int64
	maxWait          time.Duration
	priority         int
	maxReplicas      int
	minReplicas      int
	standby          int
	activity         ActivityClass
	// timer models are called at fixed times; batch ones overnight.
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

// wakeUpGap is the idle time after which a request counts as a wake-up: the
// shortest of the fixed keep-alives.
const wakeUpGap = time.Minute

// headOffice and booking are customers beside the offices.
const (
	headOffice = "head-office"
	booking    = "booking"
)

func officeName(i int) string { return fmt.Sprintf("office-%02d", i) }

// makeUnits lays out the deployment's models and adapters. The same seed gives
// the same sizes and activities.
func makeUnits(d Deployment, seed uint64) []*unit {
	rng := rand.New(rand.NewPCG(seed, 1))
	var units []*unit
	add := func(u unit) *unit {
		u.id = len(units)
		units = append(units, &u)
		return units[u.id]
	}
	model := func(name, customer string, office int) *unit {
		class := drawClass(rng, d.Classes)
		return add(unit{name: name, customer: customer, weights: class.WeightBytes, replica: class.ReplicaBytes,
			maxWait: d.MaxWait, maxReplicas: d.MaxReplicas, office: office})
	}
	base := add(unit{name: "assistant", customer: headOffice, weights: d.Base.WeightBytes, replica: d.Base.ReplicaBytes,
		maxWait: d.MaxWait, maxReplicas: d.AssistantMaxReplicas, minReplicas: d.AssistantMinReplicas, office: -1})
	for i := range d.BookingModels {
		add(unit{name: fmt.Sprintf("booking-%d", i), customer: booking, weights: d.Base.WeightBytes, replica: d.Base.ReplicaBytes,
			maxWait: d.BookingMaxWait, priority: 1, maxReplicas: d.BookingMaxReplicas, minReplicas: d.BookingMinReplicas,
			standby: d.StandbyPerDomain, office: -1})
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
				weights: AdapterWeightBytes, replica: AdapterReplicaBytes, maxWait: d.MaxWait, maxReplicas: d.MaxReplicas,
				office: o, activity: drawActivity(rng, d.Activity)})
		}
	}
	return units
}

func drawClass(rng *rand.Rand, classes []ModelClass) ModelClass {
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

// tracer makes the arrivals of a deployment.
type tracer struct {
	d        Deployment
	seed     uint64
	arrivals []arrival
}

const day = 24 * time.Hour

// makeTrace is the arrivals of all days, in order of time. Only the last day
// has the surge and, if burst is not nil, the fairness experiment.
func makeTrace(d Deployment, units []*unit, seed uint64, days int, fairness *fairness) []arrival {
	t := &tracer{d: d, seed: seed}
	for n := range days {
		for _, u := range units {
			rng := rand.New(rand.NewPCG(seed, uint64(n)<<32|uint64(u.id)<<8|2))
			t.unitDay(rng, u, n, n == days-1)
		}
	}
	if fairness != nil {
		t.busyOffices(units, days-1, *fairness)
	}
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	markWakeUps(t.arrivals)
	return t.arrivals
}

func markWakeUps(arrivals []arrival) {
	last := make(map[*unit]time.Duration)
	for i := range arrivals {
		a := &arrivals[i]
		before, seen := last[a.unit]
		a.wakeUp = !seen || a.at-before >= wakeUpGap
		last[a.unit] = a.at
	}
}

func (t *tracer) add(rng *rand.Rand, u *unit, at time.Duration) time.Duration {
	service := logNormal(rng, t.d.MedianServiceTime, t.d.ServiceTimeSigma)
	t.arrivals = append(t.arrivals, arrival{at: at, unit: u, router: rng.IntN(t.d.Routers), service: service})
	return service
}

func logNormal(rng *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
}

func (t *tracer) unitDay(rng *rand.Rand, u *unit, n int, last bool) {
	midnight := time.Duration(n) * day
	switch {
	case u.batch:
		t.poisson(rng, u, midnight+t.d.BatchStart, float64(t.d.BatchRequests)/t.d.BatchRate, t.d.BatchRate)
	case u.customer == booking:
		t.poisson(rng, u, midnight+6*time.Hour, (16 * time.Hour).Seconds(), t.d.BookingRate)
	case u.office < 0:
		t.poisson(rng, u, midnight+t.d.OpeningTime, (t.d.ClosingTime - t.d.OpeningTime).Seconds(), t.d.AssistantRate)
	case u.timer:
		t.timer(rng, u, midnight)
	default:
		t.opening(rng, u, midnight)
		t.sessions(rng, u, midnight, last)
	}
}

// poisson adds independent arrivals at a rate a second.
func (t *tracer) poisson(rng *rand.Rand, u *unit, from time.Duration, seconds, rate float64) {
	for x := rng.ExpFloat64() / rate; x < seconds; x += rng.ExpFloat64() / rate {
		t.add(rng, u, from+time.Duration(x*float64(time.Second)))
	}
}

func (t *tracer) timer(rng *rand.Rand, u *unit, midnight time.Duration) {
	for at := t.d.OpeningTime; at < t.d.ClosingTime; at += t.d.TimerInterval {
		jitter := time.Duration(rng.NormFloat64() * float64(t.d.TimerJitter))
		t.add(rng, u, midnight+at+jitter)
	}
}

// opening is the burst at several routers as an office opens.
func (t *tracer) opening(rng *rand.Rand, u *unit, midnight time.Duration) {
	if rng.Float64() >= u.activity.OpeningBurstProbability {
		return
	}
	at := midnight + t.d.OpeningTime + time.Duration(rng.NormFloat64()*float64(t.d.OpeningStdDev))
	first := rng.IntN(t.d.Routers)
	for i := range t.d.OpeningRequests {
		t.add(rng, u, at+time.Duration(rng.Float64()*float64(t.d.OpeningWindow)))
		t.arrivals[len(t.arrivals)-1].router = (first + i) % t.d.Routers
	}
}

// sessions are spread evenly over the opening hours; the surge adds more.
func (t *tracer) sessions(rng *rand.Rand, u *unit, midnight time.Duration, last bool) {
	open := t.d.ClosingTime - t.d.OpeningTime
	rate := u.activity.SessionsPerDay / open.Seconds()
	t.sessionsAt(rng, u, midnight+t.d.OpeningTime, open, rate)
	if last && u.office < t.d.SurgeOffices {
		t.sessionsAt(rng, u, midnight+t.d.SurgeStart, t.d.SurgeEnd-t.d.SurgeStart, rate*(t.d.SurgeFactor-1))
	}
}

func (t *tracer) sessionsAt(rng *rand.Rand, u *unit, from, length time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	for x := rng.ExpFloat64() / rate; x < length.Seconds(); x += rng.ExpFloat64() / rate {
		at := from + time.Duration(x*float64(time.Second))
		for {
			at += t.add(rng, u, at) + logNormal(rng, t.d.MedianPause, t.d.PauseSigma)
			if rng.Float64() < 1/t.d.RequestsPerSession {
				break
			}
		}
	}
}

// fairness is the experiment with one bursting office among busy ones.
type fairness struct {
	// burst is whether office 0 sends BurstFactor times its rate.
	burst bool
	// redrawn is whether its usual requests are drawn afresh: what that alone
	// changes for the bystanders is the noise of the measure.
	redrawn bool
}

// busyOffices adds each office's busy rate, and the burst from a stream of its
// own: the bystanders' requests are the same with and without it.
func (t *tracer) busyOffices(units []*unit, n int, f fairness) {
	midnight := time.Duration(n) * day
	perOffice := float64(t.d.ModelsPerOffice + t.d.AdaptersPerOffice)
	rate := t.d.BusyRate / perOffice
	for _, u := range units {
		if u.office < 0 {
			continue
		}
		stream := uint64(3)
		if f.redrawn && u.office == 0 {
			stream = 6
		}
		rng := rand.New(rand.NewPCG(t.seed, uint64(u.id)<<8|stream))
		t.poisson(rng, u, midnight+BusyStart, (BusyEnd - BusyStart).Seconds(), rate)
		if f.burst && u.office == 0 {
			t.poisson(rng, u, midnight+BurstStart, BurstDuration.Seconds(), rate*(BurstFactor-1))
		}
	}
}
