package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/contract"
)

const (
	modelSlots   = 64
	modelReserve = modelSlots / 10 // as routing.Reserve
	modelPrefill = 300 * time.Millisecond
	modelMedian  = 5 * time.Second
	modelSigma   = 0.6
	modelMaxWait = 30 * time.Second
	modelLasts   = 30 * time.Minute
)

// event is an arrival of a customer's request, or the end of a ticket's service.
type event struct {
	at       time.Time
	customer string
	service  time.Duration
	ends     *Ticket
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queueModel is one entry VM before engines with modelSlots slots. Without fair
// it is the naive twin: first come, first served.
type queueModel struct {
	fair     bool
	c        *Controller
	fifo     []*Ticket
	free     int
	now      time.Time
	pending  events
	services map[*Ticket]time.Duration
	// waits and totals are bystanders' times to first token and to the end.
	waits, totals []time.Duration
	refused       int
}

// runQueueModel has the bystanders send 0.8 requests a second each, and the
// customer "burst" its rate.
func runQueueModel(fair bool, burst float64) *queueModel {
	start := time.Unix(1_000_000, 0)
	m := &queueModel{fair: fair, c: New(Config{}), free: modelSlots, now: start, services: map[*Ticket]time.Duration{}}
	contracts := map[string]*contract.Contract{"burst": {Customer: "burst", MaxQueued: 200}}
	rates := map[string]float64{"burst": burst}
	names := []string{"burst"}
	for i := range 5 {
		name := fmt.Sprint("shop", i)
		contracts[name] = &contract.Contract{Customer: name, MaxQueued: 200}
		rates[name] = 0.8
		names = append(names, name)
	}
	m.c.SetContracts(contracts)
	for i, name := range names {
		rng := rand.New(rand.NewSource(int64(i)))
		for at := start; rates[name] > 0 && at.Before(start.Add(modelLasts)); {
			at = at.Add(time.Duration(rng.ExpFloat64() / rates[name] * float64(time.Second)))
			service := time.Duration(float64(modelMedian) * math.Exp(rng.NormFloat64()*modelSigma))
			m.pending = append(m.pending, event{at: at, customer: name, service: service})
		}
	}
	heap.Init(&m.pending)
	for len(m.pending) > 0 {
		m.handle(heap.Pop(&m.pending).(event))
		m.dispatch()
	}
	return m
}

func (m *queueModel) handle(e event) {
	m.now = e.at
	if e.ends != nil {
		m.free++
		m.c.Finish(m.now, e.ends, Outcome{OK: true, FirstToken: modelPrefill, Served: m.services[e.ends]})
		return
	}
	r := Request{Customer: e.customer, Unit: "m", Pool: "m", Arrived: e.at, Deadline: e.at.Add(modelMaxWait)}
	if !m.fair {
		t := &Ticket{Request: r, phase: phaseEnded}
		m.services[t] = e.service
		m.fifo = append(m.fifo, t)
		return
	}
	t, refused := m.c.Arrive(m.now, r)
	if refused != nil {
		m.count(e.customer, modelMaxWait, modelMaxWait)
		return
	}
	m.services[t] = e.service
}

func (m *queueModel) next() *Ticket {
	if m.fair {
		for _, e := range m.c.Expire(m.now) {
			m.count(e.Ticket.Customer, modelMaxWait, modelMaxWait)
		}
		return m.c.Next(m.now, "m", func(t *Ticket) bool {
			return m.free > modelReserve || (m.free > 0 && !t.Surplus)
		})
	}
	for len(m.fifo) > 0 && m.free > 0 {
		t := m.fifo[0]
		m.fifo = m.fifo[1:]
		if m.now.Before(t.Deadline) {
			return t
		}
		m.count(t.Customer, modelMaxWait, modelMaxWait)
	}
	return nil
}

func (m *queueModel) dispatch() {
	for {
		t := m.next()
		if t == nil {
			return
		}
		m.free--
		wait := m.now.Sub(t.Arrived)
		m.count(t.Customer, wait+modelPrefill, wait+m.services[t])
		heap.Push(&m.pending, event{at: m.now.Add(m.services[t]), ends: t})
	}
}

func (m *queueModel) count(customer string, first, total time.Duration) {
	if customer == "burst" {
		if first == modelMaxWait {
			m.refused++
		}
		return
	}
	m.waits = append(m.waits, first)
	m.totals = append(m.totals, total)
}

func p99(times []time.Duration) float64 {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*99/100].Seconds()
}

// One office sends ten times its usual requests, more than the engines can take,
// while five others go on as always. First come, first served, the others queue
// behind the burst and their callers stand at the counter. Fair queueing lets
// the burst move only itself back, and the reserve keeps slots for the others,
// who would else wait for a slot of the burst to end.
func TestBurstCostsBystandersNothing(t *testing.T) {
	const most = 1.1
	alone := runQueueModel(true, 0)
	beside := runQueueModel(true, 8)
	naive := runQueueModel(false, 8)
	first := p99(beside.waits) / p99(alone.waits)
	total := p99(beside.totals) / p99(alone.totals)
	naiveFirst := p99(naive.waits) / p99(alone.waits)
	t.Logf("bystanders' p99 beside a burst ÷ alone: first token %.3f, whole answer %.3f; first come, first served: %.1f", first, total, naiveFirst)
	t.Logf("burst refused: fair %d, naive %d", beside.refused, naive.refused)
	if first > most || total > most {
		t.Errorf("first token %.3f, whole answer %.3f times the p99 alone, want at most %.1f", first, total, most)
	}
	if naiveFirst < 2 {
		t.Errorf("the naive twin is not hurt (%.2f): the model shows nothing", naiveFirst)
	}
}

// Two customers who both want more than there is get engines by the weights of
// their contracts.
func TestContendedPoolIsSharedByWeight(t *testing.T) {
	c := New(Config{})
	c.SetContracts(map[string]*contract.Contract{
		"big": {Customer: "big", Weight: 3, MaxQueued: 1000}, "small": {Customer: "small", Weight: 1, MaxQueued: 1000},
	})
	now := time.Unix(1_000_000, 0)
	for range 400 {
		for _, name := range []string{"big", "small"} {
			if _, refused := c.Arrive(now, Request{Customer: name, Unit: "m", Pool: "m", Arrived: now, Deadline: now.Add(time.Hour)}); refused != nil {
				t.Fatal(refused)
			}
		}
	}
	counts := map[string]int{}
	for range 200 {
		counts[c.Next(now, "m", nil).Customer]++
	}
	if counts["big"] < 148 || counts["big"] > 152 {
		t.Errorf("of 200 the weights 3 and 1 got %v", counts)
	}
}
