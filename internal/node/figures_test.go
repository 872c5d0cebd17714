package node_test

import (
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/idempotency"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/faults"
	"bergamotreel/lease"
	"bergamotreel/platformlog"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// The TestFigures tests produce the figures of docs/measures/recovery.md in virtual
// time. Without these flags each runs once and checks only that the measured event
// happens.
var (
	figureSeeds   = flag.Int("figures.seeds", 1, "seeds of the tests of figures")
	figureMinutes = flag.Int("figures.minutes", 1, "virtual minutes of TestFiguresAppends")
	figureVMs     = flag.Int("figures.vms", 9, "entry VMs of TestFiguresFleet")
)

// daemonLease holds the lease settings that result from the daemon's defaults.
var daemonLease = lease.Config{
	Term: 10 * time.Second, Margin: 10 * time.Second / 6, RenewInterval: 2500 * time.Millisecond,
	MessageLifetime: 2 * time.Minute,
}

// latencies holds the times measured for one case.
type latencies []time.Duration

func (q latencies) print(t *testing.T, what string) {
	if len(q) == 0 {
		t.Errorf("%s: nothing happened", what)
		return
	}
	slices.Sort(q)
	at := func(share float64) time.Duration { return q[int(share*float64(len(q)-1))].Round(time.Millisecond) }
	t.Logf("%-44s n=%d p50=%v p99=%v max=%v", what, len(q), at(0.5), at(0.99), at(1))
}

// runSeeds runs a system with the daemon's lease settings for each seed and returns the
// times of all runs.
func runSeeds(t *testing.T, checksTokens bool, run func(*system, *rand.Rand) latencies) latencies {
	saved := testLease
	testLease = daemonLease
	defer func() { testLease = saved }()
	var all latencies
	for seed := range *figureSeeds {
		synctest.Test(t, func(t *testing.T) {
			all = append(all, run(newSystem(t, checksTokens), rand.New(rand.NewSource(int64(seed))))...)
		})
	}
	return all
}

// TestFiguresTakeover measures the time from the death or planned stop of an engine's
// keeper until the engine gets the first order of another keeper.
func TestFiguresTakeover(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		for _, planned := range []bool{false, true} {
			runSeeds(t, checksTokens, func(s *system, rng *rand.Rand) latencies {
				return latencies{s.measureTakeover(rng, planned)}
			}).print(t, fmt.Sprintf("takeover, checks tokens %v, planned %v", checksTokens, planned))
		}
	}
}

func (s *system) measureTakeover(rng *rand.Rand, planned bool) time.Duration {
	var mu sync.Mutex
	fencedBy, at := map[string]string{}, map[string]time.Time{}
	s.setFreezeOnOrder(func(vm, address string, order engine.Order) bool {
		mu.Lock()
		defer mu.Unlock()
		if order.Action == engine.ActionFence {
			fencedBy[address], at[address] = vm, time.Now()
		}
		return false
	})
	s.waitReady()
	time.Sleep(10*time.Second + time.Duration(rng.Int63n(int64(5*time.Second))))
	address := []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"}[rng.Intn(4)]
	mu.Lock()
	keeper := fencedBy[address]
	mu.Unlock()
	start := time.Now()
	if n := s.node(keeper); planned {
		n.Leave()
		n.Stop(s.ctx)
	} else {
		n.kill()
	}
	for time.Since(start) < time.Minute {
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		other, when := fencedBy[address], at[address]
		mu.Unlock()
		if other != keeper {
			return when.Sub(start)
		}
	}
	s.t.Errorf("%s of %s: no takeover", address, keeper)
	return time.Minute
}

// TestFiguresFree measures how long a right stays counted if the engine's keeper dies
// and leaves the VM list while the contract drops the loaded model: the time until the
// model's place and memory are free again.
func TestFiguresFree(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		runSeeds(t, checksTokens, func(s *system, rng *rand.Rand) latencies {
			return latencies{s.measureRightRelease(rng)}
		}).print(t, fmt.Sprintf("right free after the death, checks tokens %v", checksTokens))
	}
}

func (s *system) measureRightRelease(rng *rand.Rand) time.Duration {
	loads := make(chan [2]string, 16)
	s.setFreezeOnOrder(func(vm, address string, order engine.Order) bool {
		if order.Action == engine.ActionLoad {
			loads <- [2]string{vm, address}
		}
		return false
	})
	s.waitReady()
	base := s.publish("v-a1", "first", baseContract(1), 0).Revision
	s.generate("v-a1", "clerk", "hello", 4)
	load := <-loads
	time.Sleep(time.Duration(rng.Int63n(int64(5 * time.Second))))
	at := "v-a1"
	if load[0] == at {
		at = "v-b1"
	}
	s.node(load[0]).kill()
	s.list.Remove(load[0])
	start, from := time.Now(), s.logEnd("control")
	s.publish(at, "without", strings.ReplaceAll(baseContract(1), `"clerk"`, `"other"`), base)
	for time.Since(start) < 10*time.Minute {
		time.Sleep(time.Second)
		if freedAt, found := s.findUnloadSince(from, load[1]); found {
			return freedAt.Sub(start)
		}
	}
	s.t.Errorf("%v: not freed", load)
	return 10 * time.Minute
}

// findUnloadSince returns the time at which the log confirms an unload on the engine.
func (s *system) findUnloadSince(from platformlog.Offset, address string) (time.Time, bool) {
	batch, err := s.log.Read(s.ctx, "control", from, 4096, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range batch.Records {
		record, _ := state.Decode(r.Data)
		for _, p := range record.Proposals {
			if p.ConfirmUnload != nil && p.ConfirmUnload.Engine == address {
				return r.Time, true
			}
		}
	}
	return time.Time{}, false
}

// growToNine adds entry VMs until the system has 9 in 3 failure domains.
func (s *system) growToNine() {
	for _, name := range []string{"v-a3", "v-b3", "v-c1", "v-c2", "v-c3"} {
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEntry, Address: name, Domain: name[2:3]})
		s.start(name, name)
	}
	s.waitReady()
}

// TestFiguresPublish measures the time from publishing a change at one entry VM until
// it is in force on all nine.
func TestFiguresPublish(t *testing.T) {
	for name, disturb := range map[string]func(*system){
		"all reach the log":              func(*system) {},
		"3 of 9 cut from the log":        func(s *system) { s.cutFromLog("v-a1", "v-b1", "v-c1") },
		"8 of 9 cut from the log":        func(s *system) { s.cutFromLog("v-a1", "v-a2", "v-a3", "v-b1", "v-b2", "v-b3", "v-c1", "v-c2") },
		"each call to the log takes 1 s": func(s *system) { s.log.Faults().Set(faults.Settings{SlowMS: 1000}) },
	} {
		runSeeds(t, true, func(s *system, rng *rand.Rand) latencies {
			s.growToNine()
			base := s.publish("v-c3", "first", baseContract(1), 0).Revision
			disturb(s)
			time.Sleep(5 * time.Second)
			var times latencies
			for i := range 5 {
				time.Sleep(time.Duration(rng.Int63n(int64(3 * time.Second))))
				start := time.Now()
				base = s.publish("v-c3", fmt.Sprint("c", i), baseContract(2+i), base).Revision
				times = append(times, s.waitInForce(start, base, "v-a1", "v-a2", "v-a3", "v-b1", "v-b2", "v-b3", "v-c1", "v-c2", "v-c3"))
			}
			return times
		}).print(t, "in force on 9, "+name)
	}
}

func (s *system) cutFromLog(names ...string) {
	for _, name := range names {
		s.node(name).logView.Disconnect()
	}
}

// waitInForce waits until the version is in force on the VMs and returns the time since
// start.
func (s *system) waitInForce(start time.Time, version state.Revision, names ...string) time.Duration {
	for time.Since(start) < 2*time.Minute {
		if !slices.ContainsFunc(names, func(name string) bool {
			got, err := s.node(name).Operators().Contract(s.ctx, "trinidad")
			return err != nil || got.Version < version
		}) {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Errorf("version %d is not in force on all of %v", version, names)
	return 2 * time.Minute
}

// TestFiguresCutEnd cuts VMs off from the log and from their peers for a minute, during
// which a change is published. It measures the time from the end of the cut until the
// change is in force on them.
func TestFiguresCutEnd(t *testing.T) {
	for name, cut := range map[string][]string{"one VM": {"v-a1"}, "a domain's three": {"v-a1", "v-a2", "v-a3"}} {
		for _, logToo := range []bool{true, false} {
			runSeeds(t, true, func(s *system, rng *rand.Rand) latencies {
				s.growToNine()
				base := s.publish("v-c3", "first", baseContract(1), 0).Revision
				time.Sleep(time.Second)
				s.cutFromLog(cut...)
				for _, vm := range cut {
					s.mesh.setIsolated(vm, true)
				}
				time.Sleep(time.Duration(rng.Int63n(int64(10 * time.Second))))
				version := s.publish("v-c3", "second", baseContract(2), base).Revision
				time.Sleep(50 * time.Second)
				start := time.Now()
				for _, vm := range cut {
					s.mesh.setIsolated(vm, false)
					if logToo {
						s.node(vm).logView.Heal()
					}
				}
				return latencies{s.waitInForce(start, version, cut...)}
			}).print(t, fmt.Sprintf("after a cut of %s, log heals %v", name, logToo))
		}
	}
}

const (
	typicalModels, typicalAdapters, typicalEngines = 55, 110, 24
	// loadsPerHour is 12% of the units.
	loadsPerHour      = (typicalModels + typicalAdapters) * 12 / 100
	bookingsPerSecond = 2
)

// TestFiguresAppends runs a typical deployment in steady state. It counts the appends
// by stream, and the proposals and claims in them by kind.
func TestFiguresAppends(t *testing.T) {
	saved := testLease
	testLease = daemonLease
	defer func() { testLease = saved }()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		for i := range typicalEngines - 4 {
			name := fmt.Sprint("abc"[i%3:i%3+1], 3+i/3)
			e := engineserver.New(engineserver.Options{
				Name: name, MemoryBytes: 80 * gigabyte, Slots: 8, TokenTime: 10 * time.Millisecond,
				Fetcher: s.store, ChecksTokens: true, DiskBytesPerSecond: 64 * gigabyte,
			})
			t.Cleanup(e.Close)
			s.engines.Put("engine-"+name, e)
			s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: "engine-" + name, Domain: name[:1]})
		}
		s.growToNine()
		s.publish("v-c3", "first", typicalContract(), 0)
		time.Sleep(30 * time.Second)
		startOffsets := map[string]platformlog.Offset{"control": s.logEnd("control"), "claims": s.logEnd("claims")}
		s.runSteadyLoad(time.Duration(*figureMinutes) * time.Minute)
		for stream, offset := range startOffsets {
			s.printAppends(stream, offset+1, time.Duration(*figureMinutes)*time.Minute)
		}
	})
}

func typicalContract() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[customer]\nname = trinidad\nmemory = 1000GB\nrequests_per_second = 1000\nburst = 1000\nmax_queued = 1000\n"+
		"[key \"desk\"]\nsha256 = %s\n[service \"booking\"]\nmax_wait = 5s\nonce = POST /book\n", contract.HashKey("desk-key"))
	for i := range typicalModels {
		fmt.Fprintf(&b, "[model \"m%d\"]\ncheckpoint = m%d:v1\nmemory = 16GB\nmax_replicas = 2\nmax_wait = 30s\n", i, i)
	}
	for i := range typicalAdapters {
		fmt.Fprintf(&b, "[adapter \"x%d\"]\nbase = m%d\ncheckpoint = x%d:v1\nmemory = 1GB\nmax_replicas = 2\nmax_wait = 30s\n", i, i%typicalModels, i)
	}
	return b.String()
}

func (s *system) runSteadyLoad(d time.Duration) {
	rng := rand.New(rand.NewSource(1))
	vms := []string{"v-a1", "v-a2", "v-a3", "v-b1", "v-b2", "v-b3", "v-c1", "v-c2", "v-c3"}
	var requests sync.WaitGroup
	start, nextLoad := time.Now(), time.Now()
	for i := 0; time.Since(start) < d; i++ {
		at, key := vms[rng.Intn(len(vms))], fmt.Sprint("figure", i)
		requests.Go(func() {
			if _, err := s.book(at, key); err != nil {
				s.t.Errorf("booking: %v", err)
			}
		})
		if !time.Now().Before(nextLoad) {
			nextLoad = nextLoad.Add(time.Hour / loadsPerHour)
			unit := fmt.Sprint("m", rng.Intn(typicalModels))
			if rng.Intn(3) > 0 {
				unit = fmt.Sprint("x", rng.Intn(typicalAdapters))
			}
			requests.Go(func() {
				if a := s.generate(at, unit, key, 16); a.err != nil {
					s.t.Errorf("%s: %v", unit, a.err)
				}
			})
		}
		time.Sleep(time.Second / bookingsPerSecond)
	}
	requests.Wait()
}

func (s *system) logEnd(stream string) platformlog.Offset {
	batch, err := s.log.Read(s.ctx, stream, 1, 1, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return batch.End
}

func (s *system) printAppends(stream string, from platformlog.Offset, d time.Duration) {
	counts := s.countRecords(stream, from)
	s.t.Logf("%s: %.2f appends a second", stream, float64(counts["appends"])/d.Seconds())
	for kind, n := range counts {
		s.t.Logf("%s %s: %d, %.3f a second", stream, kind, n, float64(n)/d.Seconds())
	}
}

// countRecords counts the appends to a stream, and the proposals and claims in them by
// kind.
func (s *system) countRecords(stream string, from platformlog.Offset) map[string]int {
	counts := make(map[string]int)
	for end := s.logEnd(stream); from <= end; {
		batch, err := s.log.Read(s.ctx, stream, from, 4096, 0)
		if err != nil {
			s.t.Fatal(err)
		}
		from = batch.Next
		counts["appends"] += len(batch.Records)
		for _, record := range batch.Records {
			countKinds(counts, stream, record.Data)
		}
	}
	return counts
}

// countKinds counts the contents of a record by the names of its non-nil pointer
// fields.
func countKinds(counts map[string]int, stream string, data []byte) {
	count := func(item any) {
		v := reflect.ValueOf(item)
		for i := range v.NumField() {
			if f := v.Field(i); f.Kind() == reflect.Pointer && !f.IsNil() {
				counts[v.Type().Field(i).Name]++
			}
		}
	}
	if stream == "claims" {
		record, _ := idempotency.Decode(data)
		count(record)
		for _, entry := range record.Entries {
			count(entry)
		}
		return
	}
	record, _ := state.Decode(data)
	count(record)
	for _, p := range record.Proposals {
		count(p)
	}
}
