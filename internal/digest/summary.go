package digest

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotreel/entryvm"
)

// Summarize adds up digests of VMs and sums of smaller cells into a sum, one digest
// that covers all of them. own, the digest of the VM that makes the sum, provides
// the names, the sequence and Applied (which belongs to its Address); its counts are
// added only if it is among the digests too. Each list keeps the limit most important
// entries, so that the size of a sum does not grow with the fleet: demand with the
// least time left, customers with the most arrivals, engines with the most requests,
// most recently used units, most recently reported draining engines. The result does
// not depend on the order of the digests except for rounding.
//
// The sum's MinApplied is the highest position that every covered VM has applied: a
// change is in force in the cell once MinApplied has reached it.
func Summarize(own entryvm.Digest, cell string, digests []entryvm.Digest, limit int) entryvm.Digest {
	sum := entryvm.Digest{
		VM: own.VM, Address: own.Address, Domain: own.Domain, Region: own.Region,
		Incarnation: own.Incarnation, Sequence: own.Sequence, Applied: own.Applied,
		Cell: cell,
	}
	var parts sumBuilder
	parts.init()
	for i, d := range digests {
		if i == 0 || lowestApplied(d) < sum.MinApplied {
			sum.MinApplied = lowestApplied(d)
		}
		sum.VMs += max(d.VMs, 1)
		parts.add(d)
	}
	sum.InFlight = topInFlight(parts.inFlight, limit)
	sum.Demand = sortAndLimit(parts.demands(), limit, func(a, b entryvm.Demand) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), strings.Compare(a.Unit, b.Unit), strings.Compare(a.Customer, b.Customer))
	})
	sum.Usage = sortAndLimit(slices.Collect(maps.Values(parts.usage)), limit, func(a, b entryvm.Usage) int {
		return cmp.Or(cmp.Compare(b.DemandRate, a.DemandRate), strings.Compare(a.Customer, b.Customer))
	})
	sum.RecentUses = sortAndLimit(parts.uses(), limit, func(a, b entryvm.Use) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Unit, b.Unit))
	})
	sum.LongRunning = sortAndLimit(slices.Collect(maps.Keys(parts.longRunning)), limit, strings.Compare)
	sum.Failing = sortAndLimit(slices.Collect(maps.Keys(parts.failing)), limit, strings.Compare)
	sum.Refused = sortAndLimit(parts.refusals(), limit, func(a, b entryvm.RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Customer, b.Customer), strings.Compare(a.Code, b.Code))
	})
	sum.Engines = sortAndLimit(slices.Collect(maps.Values(parts.draining)), limit, func(a, b entryvm.EngineReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), strings.Compare(a.Engine, b.Engine))
	})
	return sum
}

// demandKey identifies the demand of one customer for one unit.
type demandKey struct{ unit, customer string }

// refusedKey identifies the refusals of one customer with one code.
type refusedKey struct{ customer, code string }

// sumBuilder holds the parts of a sum while digests are added to it.
type sumBuilder struct {
	inFlight    map[string]int
	demand      map[demandKey]entryvm.Demand
	usage       map[string]entryvm.Usage
	lastUsedAge map[string]time.Duration
	longRunning map[string]bool
	failing     map[string]bool
	refused     map[refusedKey]uint64
	draining    map[string]entryvm.EngineReport
}

// lowestApplied returns the position that all VMs covered by a digest have applied.
func lowestApplied(d entryvm.Digest) uint64 {
	if d.Cell != "" {
		return d.MinApplied
	}
	return d.Applied
}

func (s *sumBuilder) init() {
	s.inFlight = map[string]int{}
	s.demand = map[demandKey]entryvm.Demand{}
	s.usage = map[string]entryvm.Usage{}
	s.lastUsedAge = map[string]time.Duration{}
	s.longRunning = map[string]bool{}
	s.failing = map[string]bool{}
	s.refused = map[refusedKey]uint64{}
	s.draining = map[string]entryvm.EngineReport{}
}

func (s *sumBuilder) add(d entryvm.Digest) {
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
		age, found := s.lastUsedAge[one.Unit]
		if !found || one.Age+d.Age < age {
			s.lastUsedAge[one.Unit] = one.Age + d.Age
		}
	}
	for _, unit := range d.LongRunning {
		s.longRunning[unit] = true
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

// addEngine adds the report of a draining engine from a digest of the given age.
// Reports of other engines stay within their group: with 3 engines per VM they would
// be most of a sum.
func (s *sumBuilder) addEngine(one entryvm.EngineReport, age time.Duration) {
	one.Age += age
	known, found := s.draining[one.Engine]
	if one.Draining && (!found || one.Age < known.Age) {
		s.draining[one.Engine] = one
	}
}

// addDemand adds demand from a digest of the given age, by which the time left until
// its deadline has shrunk.
func (s *sumBuilder) addDemand(one entryvm.Demand, age time.Duration) {
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

func (s *sumBuilder) demands() []entryvm.Demand { return slices.Collect(maps.Values(s.demand)) }

func (s *sumBuilder) uses() []entryvm.Use {
	uses := make([]entryvm.Use, 0, len(s.lastUsedAge))
	for unit, age := range s.lastUsedAge {
		uses = append(uses, entryvm.Use{Unit: unit, Age: age})
	}
	return uses
}

func (s *sumBuilder) refusals() []entryvm.RefusalCount {
	refused := make([]entryvm.RefusalCount, 0, len(s.refused))
	for key, count := range s.refused {
		refused = append(refused, entryvm.RefusalCount{Customer: key.customer, Code: key.code, Count: count})
	}
	return refused
}

// sortAndLimit sorts the entries and returns the first limit of them.
func sortAndLimit[T any](all []T, limit int, order func(a, b T) int) []T {
	slices.SortFunc(all, order)
	return all[:min(len(all), limit)]
}

// topInFlight returns the limit engines with the most requests.
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
