package hosted

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/judge"
	"bergamotreel/refusal"
)

var (
	daySeeds = flag.Int("days.seeds", 100, "random days that TestRandomDays plays")
	daysFrom = flag.Int64("days.from", 1, "seed of the first random day")
)

const (
	// dayLength is how long requests come, troublesEnd by when the last trouble is over.
	dayLength   = 36 * time.Second
	troublesEnd = 20 * time.Second
	// dayRecovers is when a day must be served again, at least dayServed of those requests
	// that its engines have slots for.
	dayRecovers = troublesEnd + 12*time.Second
	dayServed   = 0.5
	engineSlots = 8
	// dayCalm is how long a VM must have been undisturbed for the bounds to hold.
	dayCalm = 3 * time.Second
)

// day is a random day: a fleet, and troubles that overlap.
type day struct {
	*engineBed
	random *rand.Rand
	// pause is between two requests.
	pause time.Duration
	// log tells what was drawn.
	log []string
}

// trouble is one kind of trouble; it begins now and ends by itself, or once it is told how
// long it lasts.
type trouble struct {
	name string
	run  func(d *day, lasts time.Duration)
}

// troubles are the kinds that a day draws from.
var troubles = []trouble{
	{"an engine says in its answers that it leaves", (*day).engineLeaves},
	{"an engine is listed as leaving", (*day).engineListed},
	{"an engine asks for rest", (*day).engineRests},
	{"an engine loses answers", (*day).engineLosesAnswers},
	{"an engine crashes", (*day).engineCrashes},
	{"a request crashes what runs it", (*day).crashingRequest},
	{"the registry is away", (*day).registryAway},
	{"the registry comes back older", (*day).registryOlder},
	{"the registry forgets its history", (*day).registryForgets},
	{"the registry does not answer some VMs", (*day).registryRefusesSome},
	{"VMs are killed", (*day).vmsKilled},
	{"all VMs are killed", (*day).allKilled},
	{"failure domains are cut off from each other", (*day).domainsApart},
	{"a VM is cut off from the others", (*day).vmCut},
	{"a configuration comes", (*day).configurationComes},
}

// disrupt notes a disruption of a VM's paths, or of all if vm is empty.
func (d *day) disrupt(vm string, lasts time.Duration, registry bool) {
	d.counting.Lock()
	defer d.counting.Unlock()
	now := time.Now()
	d.history.Disruptions = append(d.history.Disruptions, judge.Disruption{VM: vm, From: now, To: now.Add(lasts), Registry: registry})
}

// anyEngine draws an engine that runs; nil if there is none.
func (d *day) anyEngine() *servingEngine {
	d.counting.Lock()
	defer d.counting.Unlock()
	var up []*servingEngine
	for i := range d.started {
		if e := d.engines[fmt.Sprint("at-e", i+1)]; e != nil && !e.over && !e.leaving {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[d.random.Intn(len(up))]
}

func (d *day) someVMs(share float64) []string {
	var out []string
	for _, vm := range d.vms {
		if d.random.Float64() < share {
			out = append(out, vm)
		}
	}
	return out
}

// engineLeaves has an engine's answers say that it leaves, and its entry before, later or
// never; it ends some time after its drain.
func (d *day) engineLeaves(lasts time.Duration) {
	e := d.anyEngine()
	if e == nil {
		return
	}
	entryAfter := time.Duration(d.random.Int63n(int64(8 * time.Second)))
	listedFirst, never := d.random.Intn(4) == 0, d.random.Intn(4) == 0
	if listedFirst {
		d.listLeaving(e)
		time.Sleep(entryAfter / 4)
	}
	d.announceLeaving(e.id)
	if !listedFirst && !never {
		time.AfterFunc(entryAfter, func() { d.listLeaving(e) })
	}
	time.Sleep(maxLeavingPropagation + lasts)
	d.end(e)
}

// engineListed has an engine leave by its entry alone.
func (d *day) engineListed(lasts time.Duration) {
	e := d.anyEngine()
	if e == nil {
		return
	}
	d.listLeaving(e)
	time.Sleep(maxLeavingPropagation + lasts)
	d.end(e)
}

// listLeaving has the registry accept that an engine leaves, once it answers.
func (d *day) listLeaving(e *servingEngine) {
	for d.registryIsAway() {
		time.Sleep(50 * time.Millisecond)
	}
	d.registry.mu.Lock()
	entry, listed := d.registry.backends[e.id]
	d.registry.mu.Unlock()
	if !listed {
		return
	}
	entry.Leaving = true
	d.registry.put(entry)
	d.counting.Lock()
	defer d.counting.Unlock()
	d.history.LeaveNotices = append(d.history.LeaveNotices, judge.LeaveNotice{Backend: e.id, At: time.Now()})
}

func (d *day) registryIsAway() bool {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	return d.registry.away
}

func (d *day) engineRests(lasts time.Duration) {
	e := d.anyEngine()
	if e == nil {
		return
	}
	rest := time.Second + time.Duration(d.random.Int63n(int64(3*time.Second)))
	var of func(string) bool
	if d.random.Intn(3) == 0 {
		chosen := set(d.someVMs(0.5))
		of = func(vm string) bool { return chosen[vm] }
	}
	d.setCooldown(e.id, rest, of)
	time.Sleep(lasts)
	d.setCooldown(e.id, 0, nil)
}

func (d *day) engineLosesAnswers(lasts time.Duration) {
	e := d.anyEngine()
	if e == nil {
		return
	}
	d.setLoses(e, 0.3)
	time.Sleep(lasts)
	d.setLoses(e, 0)
}

func (d *day) setLoses(e *servingEngine, share float64) {
	d.counting.Lock()
	defer d.counting.Unlock()
	e.losesShare = share
}

func (d *day) engineCrashes(time.Duration) {
	if e := d.anyEngine(); e != nil {
		d.end(e)
	}
}

func (d *day) crashingRequest(lasts time.Duration) {
	for range 4 {
		vm := d.vms[d.random.Intn(len(d.vms))]
		d.open.Go(func() { _ = d.send(vm, crashingURI) })
		time.Sleep(lasts / 4)
	}
}

func (d *day) registryAway(lasts time.Duration) {
	d.disrupt("", lasts, true)
	d.registry.setAway(true)
	time.Sleep(lasts)
	d.registry.setAway(false)
}

func (d *day) registryOlder(lasts time.Duration) {
	const outage = 400 * time.Millisecond
	older := d.registry.copy()
	time.Sleep(min(lasts, 5*time.Second))
	d.disrupt("", outage, true)
	d.registry.setAway(true)
	time.Sleep(outage)
	newer := d.registry.copy()
	gone := registryCopy{backends: maps.Clone(older.backends)}
	d.registry.restore(older)
	d.registry.setAway(false)
	time.Sleep(time.Second)
	d.writeAgain(gone, newer)
}

// writeAgain has the operator and the backend servers write again what they wrote last.
func (d *day) writeAgain(gone, newer registryCopy) {
	d.registry.configure(newer.configuration)
	for id, entry := range newer.backends {
		if _, err := d.up(entry.Address); err == nil {
			d.registry.put(entry)
		}
		delete(gone.backends, id)
	}
	for id := range gone.backends {
		d.registry.drop(id)
	}
}

func (d *day) registryForgets(time.Duration) {
	d.disrupt("", 100*time.Millisecond, true)
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	d.registry.historyLost = true
}

func (d *day) registryRefusesSome(lasts time.Duration) {
	vms := d.someVMs(0.4)
	for _, vm := range vms {
		d.disrupt(vm, lasts, true)
		d.setUnreachable(vm, true)
	}
	time.Sleep(lasts)
	for _, vm := range vms {
		d.setUnreachable(vm, false)
	}
}

func (d *day) setUnreachable(vm string, unreachable bool) {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	d.registry.unreachable[vm] = unreachable
}

func (d *day) vmsKilled(time.Duration) { d.restart(d.someVMs(0.4)) }

func (d *day) allKilled(time.Duration) { d.restart(d.vms) }

// restart kills VMs and starts them again a little later.
func (d *day) restart(vms []string) {
	chosen := set(vms)
	var down []int
	for i, vm := range d.vms {
		if chosen[vm] && d.endVM(vm) {
			down = append(down, i)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, i := range down {
		d.bootSpread(i)
	}
}

// endVM kills a VM, false if it is down already.
func (d *day) endVM(vm string) bool {
	d.mu.Lock()
	running := d.nodes[vm] != nil
	d.mu.Unlock()
	if !running {
		return false
	}
	d.disrupt(vm, time.Second, false)
	d.counting.Lock()
	d.killed[vmStart{vm, d.boots[vm]}] = true
	d.counting.Unlock()
	d.kill(vm)
	return true
}

func (d *day) domainsApart(lasts time.Duration) {
	d.disrupt("", lasts, false)
	d.setDomainsCut(true)
	time.Sleep(lasts)
	d.setDomainsCut(false)
}

func (d *day) vmCut(lasts time.Duration) {
	vm := d.vms[d.random.Intn(len(d.vms))]
	d.disrupt(vm, lasts, false)
	d.setCut(vm, true)
	time.Sleep(lasts)
	d.setCut(vm, false)
}

func (d *day) setCut(vm string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[vm] = cut
}

func (d *day) configurationComes(time.Duration) {
	d.registry.mu.Lock()
	next := *d.registry.configuration
	d.registry.mu.Unlock()
	next.Version++
	d.registry.configure(&next)
}

// play has troubles come while requests do.
func (d *day) play() {
	for range 2 + d.random.Intn(7) {
		kind := troubles[d.random.Intn(len(troubles))]
		lasts := time.Duration(1+d.random.Intn(7)) * time.Second
		at := time.Duration(d.random.Int63n(int64(troublesEnd - 8*time.Second)))
		d.log = append(d.log, fmt.Sprintf("%s at %s for %s", kind.name, at, lasts))
		d.open.Go(func() {
			time.Sleep(at)
			kind.run(d, lasts)
		})
	}
	begun := time.Now()
	d.pause = time.Duration(5+d.random.Intn(40)) * time.Millisecond
	for i := 0; time.Since(begun) < dayLength; i++ {
		vm, id := d.vms[d.engineBed.random.Intn(len(d.vms))], fmt.Sprint("r", i)
		d.open.Go(func() { d.serve(vm, id) })
		time.Sleep(d.pause)
	}
	d.open.Wait()
}

// servable is the part of the requests that so many engines have slots for.
func (d *day) servable(engines int) float64 {
	asked, slots := 1/d.pause.Seconds(), float64(engines*engineSlots)/runTime.Seconds()
	return min(1, slots/asked)
}

// serve sends one request and notes its end. What a VM says after it was killed does not
// reach the caller.
func (d *day) serve(vm, id string) {
	d.counting.Lock()
	sent := time.Now()
	d.sentAt[id] = sent
	start := vmStart{vm, d.boots[vm]}
	d.counting.Unlock()
	err := d.sendAs(vm, id, "/day/"+id)
	d.counting.Lock()
	defer d.counting.Unlock()
	var refused *refusal.Refusal
	cut := d.killed[start]
	d.history.Outcomes = append(d.history.Outcomes, judge.Outcome{Request: id, Sent: sent, Answered: !cut && err == nil,
		NotRun: !cut && errors.As(err, &refused) && refused.Ran == refusal.RanNo})
}

// summary tells how much of a day there was to judge.
func (d *day) summary() string {
	answered, refused, leaving, rests := 0, 0, 0, 0
	for _, e := range d.history.Outcomes {
		if e.Answered {
			answered++
		}
		if e.NotRun {
			refused++
		}
	}
	for _, a := range d.history.Arrivals {
		if a.Leaving {
			leaving++
		}
		if a.RetryAfter > 0 {
			rests++
		}
	}
	return fmt.Sprintf("%d requests: %d answered, %d not run; %d answers said leaving, %d rest, %d leavings listed",
		len(d.history.Outcomes), answered, refused, leaving, rests, len(d.history.LeaveNotices))
}

// judged are the promises that a day broke.
func (d *day) judged(begun time.Time, engines int) []judge.Violation {
	h := &d.history
	var broken []judge.Violation
	broken = append(broken, judge.CheckAtMostOnce(h)...)
	broken = append(broken, judge.CheckHonestRefusals(h)...)
	broken = append(broken, judge.CheckDrainByAnswer(h, maxLeavingPropagation)...)
	broken = append(broken, judge.CheckDrainByRegistry(h, maxLeavingPropagation, dayCalm)...)
	broken = append(broken, judge.CheckRetryAfter(h, cooldownGrace, maxCooldownRequests)...)
	return append(broken, judge.CheckRecovery(h, begun.Add(dayRecovers), dayServed*d.servable(engines))...)
}

// Guards against promises that are broken where troubles of several kinds overlap:
// -days.seeds and -days.from choose the days.
func TestRandomDays(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewSource(seed))
			vms, engines := 2+random.Intn(9), 1+random.Intn(6)
			if random.Intn(6) == 0 {
				vms = maxFullMeshPeers + 2 + random.Intn(12) // reports go through relays
			}
			inEngineBed(t, vms, engines, func(b *engineBed) {
				d := &day{engineBed: b, random: random}
				begun := time.Now()
				d.play()
				broken := d.judged(begun, engines)
				t.Log(d.summary())
				if len(broken) == 0 {
					return
				}
				t.Errorf("%d VMs, %d engines; %s", vms, engines, strings.Join(d.log, "; "))
				for _, one := range broken[:min(len(broken), 5)] {
					t.Errorf("%s after %s (of %d)", one, one.At.Sub(begun), len(broken))
				}
			})
		})
	}
}
