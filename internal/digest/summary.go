package digest

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
)

// Summarise adds up digests of VMs and of smaller cells as one digest that
// speaks for all of them. The maker's digest gives the names, the sequence and
// Applied (which goes with its Address); its counts are not added unless it is
// among the digests too. Each list keeps the limit entries that matter most, so
// that a summary's size does not grow with the fleet: demand with the least time
// left, customers with the most arrivals, engines with the most requests, units
// used last, engines found draining last. The result does not depend on the order of the digests but for
// rounding.
// The sum's Lowest tells how far all of them are: a change is in force in the
// cell once that has passed it.
func Summarise(maker entryvm.Digest, cell string, digests []entryvm.Digest, limit int) entryvm.Digest {
	sum := entryvm.Digest{
		VM: maker.VM, Address: maker.Address, Domain: maker.Domain, Region: maker.Region,
		Incarnation: maker.Incarnation, Sequence: maker.Sequence, Applied: maker.Applied,
		Cell: cell,
	}
	var parts sums
	parts.init()
	for i, d := range digests {
		if i == 0 || lowest(d) < sum.MinApplied {
			sum.MinApplied = lowest(d)
		}
		sum.VMs += max(d.VMs, 1)
		parts.add(d)
	}
	sum.InFlight = topInFlight(parts.inFlight, limit)
	sum.Demand = first(parts.demands(), limit, func(a, b entryvm.Demand) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), strings.Compare(a.Unit, b.Unit), strings.Compare(a.Customer, b.Customer))
	})
	sum.Usage = first(slices.Collect(maps.Values(parts.usage)), limit, func(a, b entryvm.Usage) int {
		return cmp.Or(cmp.Compare(b.DemandRate, a.DemandRate), strings.Compare(a.Customer, b.Customer))
	})
	sum.RecentUses = first(parts.uses(), limit, func(a, b entryvm.Use) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Unit, b.Unit))
	})
	sum.LongRunning = first(slices.Collect(maps.Keys(parts.busy)), limit, strings.Compare)
	sum.Failing = first(slices.Collect(maps.Keys(parts.failing)), limit, strings.Compare)
	sum.Refused = first(parts.refusals(), limit, func(a, b entryvm.RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Customer, b.Customer), strings.Compare(a.Code, b.Code))
	})
	sum.Engines = first(slices.Collect(maps.Values(parts.draining)), limit, func(a, b entryvm.EngineReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Engine, b.Engine))
	})
	return sum
}

// demandKey is what demand is added up by.
type demandKey struct{ unit, customer string }

// refusedKey is what refusals are added up by.
type refusedKey struct{ customer, code string }

// sums are the parts of a summary while it is added up.
type sums struct {
	inFlight map[string]int
	demand   map[demandKey]entryvm.Demand
	usage    map[string]entryvm.Usage
	used     map[string]time.Duration
	busy     map[string]bool
	failing  map[string]bool
	refused  map[refusedKey]uint64
	draining map[string]entryvm.EngineReport
}

// lowest is what all the VMs that a digest speaks for have folded.
func lowest(d entryvm.Digest) uint64 {
	if d.Cell != "" {
		return d.MinApplied
	}
	return d.Applied
}

func (s *sums) init() {
	s.inFlight = map[string]int{}
	s.demand = map[demandKey]entryvm.Demand{}
	s.usage = map[string]entryvm.Usage{}
	s.used = map[string]time.Duration{}
	s.busy = map[string]bool{}
	s.failing = map[string]bool{}
	s.refused = map[refusedKey]uint64{}
	s.draining = map[string]entryvm.EngineReport{}
}

func (s *sums) add(d entryvm.Digest) {
	for engine, n := range d.InFlight {
		s.inFlight[engine] += n
	}
	for _, one := range d.Demand {
		s.addDemand(one, d.Age)
	}
	for _, one := range d.Usage {
		sum := s.usage[one.Customer]
		sum.Customer = one.Customer
		sum.AdmittedRate += one.AdmittedRate
		sum.DemandRate += one.DemandRate
		s.usage[one.Customer] = sum
	}
	for _, one := range d.RecentUses {
		ago, found := s.used[one.Unit]
		if !found || one.Age+d.Age < ago {
			s.used[one.Unit] = one.Age + d.Age
		}
	}
	for _, unit := range d.LongRunning {
		s.busy[unit] = true
	}
	for _, server := range d.Failing {
		s.failing[server] = true
	}
	for _, one := range d.Engines {
		s.addEngine(one, d.Age)
	}
	for _, one := range d.Refused {
		s.refused[refusedKey{one.Customer, one.Code}] += one.Count
	}
}

// addEngine adds the report of a draining engine that was told age ago. Others stay
// in their group: with 3 engines a VM they would be most of a sum.
func (s *sums) addEngine(one entryvm.EngineReport, age time.Duration) {
	one.Age += age
	known, found := s.draining[one.Engine]
	if one.Draining && (!found || one.Age < known.Age) {
		s.draining[one.Engine] = one
	}
}

// addDemand adds demand that was told age ago; its time has run on since.
func (s *sums) addDemand(one entryvm.Demand, age time.Duration) {
	one.Deadline -= age
	key := demandKey{one.Unit, one.Customer}
	sum, found := s.demand[key]
	if !found {
		s.demand[key] = one
		return
	}
	sum.Waiting += one.Waiting
	sum.Deadline = min(sum.Deadline, one.Deadline)
	sum.Priority = max(sum.Priority, one.Priority)
	s.demand[key] = sum
}

func (s *sums) demands() []entryvm.Demand { return slices.Collect(maps.Values(s.demand)) }

func (s *sums) uses() []entryvm.Use {
	uses := make([]entryvm.Use, 0, len(s.used))
	for unit, ago := range s.used {
		uses = append(uses, entryvm.Use{Unit: unit, Age: ago})
	}
	return uses
}

func (s *sums) refusals() []entryvm.RefusalCount {
	refused := make([]entryvm.RefusalCount, 0, len(s.refused))
	for key, count := range s.refused {
		refused = append(refused, entryvm.RefusalCount{Customer: key.customer, Code: key.code, Count: count})
	}
	return refused
}

// first sorts the entries and keeps the first ones.
func first[T any](all []T, limit int, order func(a, b T) int) []T {
	slices.SortFunc(all, order)
	return all[:min(len(all), limit)]
}

// topInFlight keeps the engines with the most requests.
func topInFlight(all map[string]int, limit int) map[string]int {
	if len(all) <= limit {
		return all
	}
	engines := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(all[b], all[a]), strings.Compare(a, b))
	})
	top := make(map[string]int, limit)
	for _, engine := range engines[:limit] {
		top[engine] = all[engine]
	}
	return top
}
