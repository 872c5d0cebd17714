package state_test

import (
	"fmt"
	"testing"

	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// fleet describes the size of a system.
type fleet struct{ vms, engines, adapters int }

// fleets are today's size, an intermediate size and the design target.
var fleets = []fleet{{9, 40, 165}, {340, 1_000, 3_900}, {3_400, 10_000, 39_000}}

func (f fleet) String() string {
	return fmt.Sprintf("%dvms-%dengines-%dadapters", f.vms, f.engines, f.adapters)
}

const (
	// adaptersPerCustomer is the number of adapters in one customer's contract.
	adaptersPerCustomer = 100
	// adaptersPerEngine is the number of adapter rights that each engine gets besides
	// the right to their base: about 12% of 39,000 adapters loaded on 10,000 engines.
	adaptersPerEngine = 1
	// vmsPerGroup is the size of a group in a failure domain of 486 VMs,
	// renewalsPerDay the number of renewals that a session requests in a day.
	vmsPerGroup, renewalsPerDay = 30, 172_800
)

// build returns a state that holds the selected parts of a fleet: its VMs, contracts
// and engines.
func (f fleet) build(b *testing.B, vms, contracts, engines bool) *harness {
	m := &harness{actual: state.New(), sequence: map[string]uint64{}}
	apply := func(by string, p state.Proposal) state.Outcome { return m.apply(b, m.identify(by, p)) }
	if vms || engines {
		for i := range f.vms {
			apply(vmName(i), state.Proposal{SessionOpen: &state.SessionOpen{VM: vmName(i), Incarnation: "3f9a2b7c1d", Domain: "domain-1"}})
		}
	}
	if contracts || engines {
		for customer := 0; customer*adaptersPerCustomer < f.adapters; customer++ {
			apply("op", publish(customerName(customer), 0, f.contract(customer)))
		}
	}
	if !engines {
		return m
	}
	sessions := sortedSessions(m.actual)
	for i := range f.engines {
		owner := vmName(i % f.vms)
		keeper := apply(owner, state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: engineName(i), Session: sessions[i%f.vms]}}).Revision
		apply(owner, state.Proposal{EngineReport: &state.EngineReport{Engine: engineName(i), Keeper: keeper,
			Incarnation: "3f9a2b7c1d", Domain: "domain-1", MemoryBytes: 80 * gb}})
		customer := i * adaptersPerCustomer % f.adapters / adaptersPerCustomer
		units := []string{"base-7b", fmt.Sprintf("adapter-%05d", customer*adaptersPerCustomer+i/max(1, f.adapters/adaptersPerCustomer)%adaptersPerCustomer)}
		for _, unit := range units[:1+adaptersPerEngine] {
			o := apply(owner, state.Proposal{Grant: &state.Grant{Engine: engineName(i), Keeper: keeper,
				Customer: customerName(customer), Unit: unit, Wanted: true}})
			testkit.Require(b, o.Reason, o.Verdict, state.VerdictApplied)
		}
	}
	return m
}

func vmName(i int) string       { return fmt.Sprintf("entry-vm-%04d", i) }
func engineName(i int) string   { return fmt.Sprintf("engine-vm-%05d", i) }
func customerName(i int) string { return fmt.Sprintf("customer-%03d", i) }

// contract returns a contract with the model that all customers share and the
// customer's own adapters.
func (f fleet) contract(customer int) map[string]string {
	sections := map[string]string{
		"customer":        "name = " + customerName(customer) + "\nmemory = 100000GB\n",
		`model "base-7b"`: "checkpoint = base-7b\nmemory = 20GB\nmax_replicas = 1000\nmax_wait = 20s\n",
	}
	for i := customer * adaptersPerCustomer; i < min(f.adapters, (customer+1)*adaptersPerCustomer); i++ {
		sections[fmt.Sprintf("adapter %q", fmt.Sprintf("adapter-%05d", i))] = fmt.Sprintf(
			"base = base-7b\ncheckpoint = adapter-%05d-v1\nmemory = 200MB\nmax_replicas = 100\nmax_wait = 20s\n", i)
	}
	return sections
}

// apply applies one proposal without the reference.
func (m *harness) apply(t testkit.Fataler, p state.Proposal) state.Outcome {
	t.Helper()
	m.offset++
	return m.actual.Apply(m.offset, record(t, p))[0]
}

// BenchmarkApply measures the time and size of one record of several kinds: a renewal,
// the renewals of a group, a right from Grant to ConfirmUnload (four records), and a
// publish that changes one section.
func BenchmarkApply(b *testing.B) {
	for _, f := range fleets {
		m := f.build(b, true, true, true)
		engine := m.actual.Engines[engineName(0)]
		owner, session := vmName(0), sortedSessions(m.actual)[0]
		unit := fmt.Sprintf("adapter-%05d", 7)
		cycle := func() []state.Proposal {
			right := state.MakeRevision(m.offset+1, 0)
			return []state.Proposal{
				m.identify(owner, state.Proposal{Grant: &state.Grant{Engine: engine.Name, Keeper: engine.Keeper, Customer: customerName(0), Unit: unit, Wanted: true}}),
				m.identify(owner, state.Proposal{SetWanted: &state.SetWanted{Engine: engine.Name, Keeper: engine.Keeper, Unit: unit, Right: right}}),
				m.identify(owner, state.Proposal{Withdraw: &state.Withdraw{Engine: engine.Name, Keeper: engine.Keeper, Unit: unit, Right: right}}),
				m.identify(owner, state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: engine.Name, Keeper: engine.Keeper, Unit: unit, Right: right}}),
			}
		}
		proposalsByKind := map[string]func() []state.Proposal{
			"renew": func() []state.Proposal {
				return []state.Proposal{m.identify(owner, state.Proposal{SessionRenew: &state.SessionRenew{Session: session}})}
			},
			"renew-group": func() []state.Proposal {
				all := sortedSessions(m.actual)
				var renewals []state.Renewal
				for _, id := range all[:min(len(all), vmsPerGroup)] {
					renewals = append(renewals, state.Renewal{Session: id, Number: renewalsPerDay + m.offset})
				}
				return []state.Proposal{m.identify(owner, state.Proposal{SessionsRenew: &state.SessionsRenew{Renewals: renewals}})}
			},
			"right": cycle,
			"publish": func() []state.Proposal {
				name := fmt.Sprintf("adapter %q", unit)
				text := fmt.Sprintf("base = base-7b\ncheckpoint = adapter-00007-v1\nmemory = 200MB\nmax_wait = %ds\n", 20+m.offset%9)
				return []state.Proposal{m.identify("op", publish(customerName(0), m.actual.ContractVersion(customerName(0)), map[string]string{name: text}))}
			},
		}
		for _, kind := range []string{"renew", "renew-group", "right", "publish"} {
			b.Run(kind+"/"+f.String(), func(b *testing.B) { m.benchmarkRecords(b, proposalsByKind[kind]) })
		}
	}
}

func (m *harness) benchmarkRecords(b *testing.B, make func() []state.Proposal) {
	records, bytes := 0, 0
	for b.Loop() {
		b.StopTimer()
		var all [][]byte
		for _, p := range make() {
			all = append(all, record(b, p))
		}
		b.StartTimer()
		for _, data := range all {
			records++
			bytes += len(data)
			m.offset++
			if o := m.actual.Apply(m.offset, data)[0]; o.Verdict != state.VerdictApplied {
				b.Fatal(o)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(records), "ns/record")
	b.ReportMetric(float64(bytes)/float64(records), "B/record")
}

// BenchmarkMemory measures the heap that each part of a state takes.
func BenchmarkMemory(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			var vms, contracts, whole float64
			for b.Loop() {
				vms = f.measureHeap(b, true, false, false)
				contracts = f.measureHeap(b, false, true, false)
				whole = f.measureHeap(b, true, true, true)
			}
			b.ReportMetric(vms/float64(f.vms), "B/session")
			b.ReportMetric(contracts/float64(f.adapters), "B/adapter")
			b.ReportMetric((whole-vms-contracts)/float64(f.engines), "B/engine")
			b.ReportMetric(whole/(1<<20), "MB/state")
		})
	}
}

func (f fleet) measureHeap(b *testing.B, vms, contracts, engines bool) float64 {
	return testkit.HeapBytes(func() *harness { return f.build(b, vms, contracts, engines) })
}

// benchmarkEachSize runs a benchmark on a complete state of each size.
func benchmarkEachSize(b *testing.B, measure func(*testing.B, *state.State)) {
	for _, f := range fleets {
		m := f.build(b, true, true, true)
		b.Run(f.String(), func(b *testing.B) { measure(b, m.actual) })
	}
}

// BenchmarkSnapshot measures encoding a snapshot, BenchmarkRestore decoding one.
func BenchmarkSnapshot(b *testing.B) {
	benchmarkEachSize(b, func(b *testing.B, s *state.State) {
		size, parts := 0, 0
		for b.Loop() {
			all := testkit.Value(s.Snapshot("w"))(b)
			size, parts = 0, len(all)
			for _, part := range all {
				size += len(part.Data)
			}
		}
		b.ReportMetric(float64(size), "B/snapshot")
		b.ReportMetric(float64(parts), "records/snapshot")
	})
}

// BenchmarkImage measures copying a state for a snapshot, during which its lock is
// held.
func BenchmarkImage(b *testing.B) {
	benchmarkEachSize(b, func(b *testing.B, s *state.State) {
		for b.Loop() {
			s.Image()
		}
	})
}

func BenchmarkRestore(b *testing.B) {
	benchmarkEachSize(b, func(b *testing.B, s *state.State) {
		parts := testkit.Value(s.Snapshot("w"))(b)
		for b.Loop() {
			testkit.Value(state.Restore(parts))(b)
		}
	})
}
