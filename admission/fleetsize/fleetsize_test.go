package fleetsize_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/admission/fleetsize"
	"bergamotreel/internal/testkit"
)

// fakeVM is a VM that knows others from their records only.
type fakeVM struct {
	records   fleetsize.Records
	size      fleetsize.Size
	revisions int
	nextAt    time.Duration
}

// step renews the VM's record and reads all records, if that is due.
func (v *fakeVM) step(now time.Duration, name string, registry map[string]fleetsize.Record) {
	if now < v.nextAt {
		return
	}
	v.nextAt = now + fleetsize.RenewInterval(len(registry))
	v.revisions++
	registry[name] = fleetsize.Record{VM: name, Domain: "d", Revision: fmt.Sprint(v.revisions)}
	var list []fleetsize.Record
	for _, record := range registry {
		list = append(list, record)
	}
	v.size.ObserveSeen(now, fleetsize.VMCounts{"d": 1})
	recorded, lapsed, expired := v.records.Update(now, list)
	v.size.ObserveRecorded(now, recorded)
	for _, record := range lapsed {
		registry[record.VM] = record
	}
	for _, vm := range expired {
		delete(registry, vm)
	}
}

// part returns the VM's part of a bound of 1 on the fleet.
func (v *fakeVM) part() float64 {
	count, known := v.size.Count("d")
	if !known {
		return 0
	}
	return 1 / float64(count.Domains*count.DomainVMs)
}

// Guards against parts that add up to a multiple of the bound, as VMs that start one after the other
// never see each other.
func TestPartsOfVMsThatNeverMeetAddUpToTheBound(t *testing.T) {
	for _, vms := range []int{1, 8, 300} {
		registry := make(map[string]fleetsize.Record)
		fleet := make([]fakeVM, vms)
		end := time.Duration(0)
		for now := time.Duration(0); now < 2*time.Minute; now += time.Second {
			for i := range fleet {
				if now >= time.Duration(i)*30*time.Second/time.Duration(vms) {
					fleet[i].step(now, fmt.Sprint(i), registry)
				}
			}
			end = now
		}
		sum := 0.0
		for i := range fleet {
			sum += fleet[i].part()
		}
		testkit.That(t, sum > 0.999 && sum < 1.001, "%d VMs: the parts add up to %.3f at %s", vms, sum, end)
	}
}

// Guards against a VM that takes a part before it knows how many share the bound.
func TestNoPartBeforeTheRecordsWereRead(t *testing.T) {
	var size fleetsize.Size
	size.ObserveSeen(0, fleetsize.VMCounts{"d": 4, "x": 1, "y": 2})
	_, known := size.Count("d")
	testkit.That(t, !known, "a count without the registry's")
	size.ObserveRecorded(0, fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 9, "other": 1}})
	count, known := size.Count("d")
	testkit.That(t, known && count == fleetsize.Count{Domains: 3, DomainVMs: 9}, "%v, %t", count, known)
	testkit.Equal(t, "unseen VMs", size.Unseen("d"), 5)
}

// Guards against a VM that counts forever after it is gone, and against one that stops counting while
// nobody can renew records.
func TestRecordExpiresUnlessTheRegistryIsAway(t *testing.T) {
	var records fleetsize.Records
	other := fleetsize.Record{VM: "other", Domain: "d", Revision: "1"}
	read := func(now time.Duration, ownRevision string, renewed, lapsed int) (marked []fleetsize.Record, expired []string) {
		counts, marked, expired := records.Update(now, []fleetsize.Record{{VM: "own", Domain: "d", Revision: ownRevision}, other})
		testkit.Equal(t, fmt.Sprint("VMs that renew their records at ", now), counts.Renewed["d"], renewed)
		testkit.Equal(t, fmt.Sprint("VMs with lapsed records at ", now), counts.Lapsed["d"], lapsed)
		return marked, expired
	}
	read(0, "1", 2, 0)
	read(25*time.Second, "2", 2, 0)
	records.Reset()
	read(40*time.Second, "3", 2, 0)
	read(65*time.Second, "4", 2, 0)
	marked, expired := read(75*time.Second, "5", 1, 1)
	testkit.That(t, len(expired) == 0 && len(marked) == 1 && marked[0].VM == "other" && marked[0].Lapsed, "marked: %v, expired: %v", marked, expired)
	other = marked[0]
	marked, expired = read(85*time.Second, "6", 1, 1)
	testkit.That(t, len(marked)+len(expired) == 0, "marked again: %v, expired: %v", marked, expired)
	_, expired = read(6*time.Minute, "7", 1, 0)
	testkit.That(t, len(expired) == 1 && expired[0] == "other", "expired: %v", expired)
}

// Guards against a VM that starts after others have lost the registry and takes their parts, which they
// still use.
func TestLapsedRecordCountsForVMThatStarts(t *testing.T) {
	for _, c := range []struct {
		name                 string
		recorded             fleetsize.Recorded
		seen                 fleetsize.VMCounts
		domains, vms, unseen int
	}{
		{"no lapsed record", fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 4, "x": 4}}, fleetsize.VMCounts{"d": 1}, 2, 4, 3},
		{"lapsed in the own domain", fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 1, "x": 4}, Lapsed: fleetsize.VMCounts{"d": 3}}, fleetsize.VMCounts{"d": 1}, 2, 4, 0},
		{"another domain lapsed", fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 4}, Lapsed: fleetsize.VMCounts{"x": 4}}, fleetsize.VMCounts{"d": 4}, 2, 4, 0},
		{"lapsed and seen", fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 2}, Lapsed: fleetsize.VMCounts{"d": 2}}, fleetsize.VMCounts{"d": 4, "x": 4}, 2, 4, 0},
	} {
		var size fleetsize.Size
		size.ObserveSeen(0, c.seen)
		size.ObserveRecorded(0, c.recorded)
		count, known := size.Count("d")
		testkit.That(t, known && count == fleetsize.Count{Domains: c.domains, DomainVMs: c.vms}, "%s: %v, %t", c.name, count, known)
		testkit.Equal(t, c.name+": unseen VMs", size.Unseen("d"), c.unseen)
	}
}

// Guards against a count that stays new forever because two VMs send it each other, each time with
// the time on the way added.
func TestForwardedCountGrowsOld(t *testing.T) {
	const latency = 40 * time.Millisecond
	var sizes [2]fleetsize.Size
	sizes[0].ObserveRecorded(0, fleetsize.Recorded{Renewed: fleetsize.VMCounts{"d": 2}})
	for now, from := time.Duration(0), 0; now < 20*time.Second; now += latency {
		recorded, readAt := sizes[from].Recorded()
		sizes[1-from].ObserveRecorded(readAt+latency, recorded)
		from = 1 - from
	}
	_, readAt := sizes[0].Recorded()
	testkit.That(t, readAt < time.Second, "a count that was read at 0 s passes for one of %s", readAt)
}
