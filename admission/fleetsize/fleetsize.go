// Package fleetsize decides by how many entry VMs a bound on the whole fleet is divided.
//
// Each entry VM keeps to its own part of such a bound, for example of the retries that all VMs
// together may send. A VM that counts only the VMs it exchanges reports with takes too large a part
// while it can't reach the others: VMs that start during a partition each take the whole. Therefore
// every VM also renews a record in the registry, and the parts are divided by the larger one of both
// counts. It answers two load patterns in which all requests fail at once: many VMs start while they
// reach the registry and callers but not each other, and VMs start while others reach callers but
// neither the registry nor them.
//
// The package reads no clock and does no I/O. Times are readings of a clock that keeps running while
// the VM is suspended. Its types are not safe for concurrent use.
package fleetsize

import "time"

const (
	// seenTTL is how long the fleet counts as large as it was. It exceeds network partitions,
	// whose sides would otherwise divide a bound a second time each.
	seenTTL = 5 * time.Minute
	// renewInterval is the time between two renewals of a VM's record in a small fleet, and
	// renewIntervalPerVM what each recorded VM adds, so that a fleet of any size makes at most
	// 50 renewals per second.
	renewInterval      = 10 * time.Second
	renewIntervalPerVM = 20 * time.Millisecond
	// recordTTLIntervals is how many intervals a record counts without a renewal. It spans
	// several renewals, so that losing one does not make a VM count as gone.
	recordTTLIntervals = 3
	// countTTLIntervals is after how many intervals a count is stale: VMs that have started since may divide a bound
	// by a larger number.
	countTTLIntervals = 1.5
	// minReadAdvance is how much newer a count must be than the known one. Each forwarding adds the
	// time on the way to the time of the read, so a count that two VMs send each other would
	// otherwise never grow old.
	minReadAdvance = time.Second
)

// RenewInterval returns the time between two renewals of a VM's record in a fleet with the given
// number of recorded VMs.
func RenewInterval(vms int) time.Duration {
	return renewInterval + time.Duration(vms)*renewIntervalPerVM
}

// Count is a number of failure domains, and of the VMs in one of them.
type Count struct{ Domains, DomainVMs int }

// VMCounts is the number of VMs in each failure domain.
type VMCounts map[string]int

// Sum returns the number of VMs in all failure domains.
func (c VMCounts) Sum() (sum int) {
	for _, vms := range c {
		sum += vms
	}
	return sum
}

// Size is the size of the fleet as one VM knows it.
type Size struct {
	domains    recentMax
	seen       map[string]recentMax // by failure domain
	recorded   Recorded             // without counts before the first
	recordedAt time.Duration
}

// ObserveSeen records how many VMs this VM has seen, including itself.
func (s *Size) ObserveSeen(now time.Duration, seen VMCounts) {
	s.domains.update(now, len(seen))
	if s.seen == nil {
		s.seen = make(map[string]recentMax)
	}
	for domain := range seen {
		if _, known := s.seen[domain]; !known {
			s.seen[domain] = recentMax{}
		}
	}
	for domain, m := range s.seen {
		m.update(now, seen[domain])
		s.seen[domain] = m
	}
}

// Unseen returns how many VMs of a failure domain renew a record and were not seen within seenTTL.
func (s *Size) Unseen(domain string) int {
	return max(0, s.recorded.Renewed[domain]-s.seen[domain].count)
}

// ObserveRecorded records how many VMs the registry had at readAt, unless a count of about that time
// is known.
func (s *Size) ObserveRecorded(readAt time.Duration, recorded Recorded) {
	if !s.isRecordedKnown() || readAt >= s.recordedAt+minReadAdvance {
		s.recorded, s.recordedAt = recorded, readAt
	}
}

func (s *Size) isRecordedKnown() bool { return s.recorded.Renewed != nil }

// Recorded returns the newest counts of the recorded VMs and when they were read; nil maps if there
// are none yet. The caller must not change them.
func (s *Size) Recorded() (recorded Recorded, readAt time.Duration) { return s.recorded, s.recordedAt }

// IsStale reports whether the newest count from the registry is so old that VMs which have started since may be missing in
// it. They know of this VM by its record, but it doesn't know of them unless it has seen them.
func (s *Size) IsStale(now time.Duration) bool {
	ttl := time.Duration(countTTLIntervals * float64(RenewInterval(s.recorded.Renewed.Sum())))
	return s.isRecordedKnown() && now-s.recordedAt > ttl
}

// Count returns the numbers by which a VM of the failure domain divides a bound on the fleet: an equal
// part for each failure domain, and an equal part of that for each VM. It returns false while the VM
// has no count from the registry: until then it may be one of any number of VMs.
func (s *Size) Count(domain string) (Count, bool) {
	domains := len(s.recorded.Renewed)
	for lapsed := range s.recorded.Lapsed {
		if s.recorded.Renewed[lapsed] == 0 {
			domains++
		}
	}
	domainVMs := s.recorded.Renewed[domain] + s.recorded.Lapsed[domain]
	return Count{max(s.domains.count, domains, 1), max(s.seen[domain].count, domainVMs, 1)}, s.isRecordedKnown()
}

// recentMax is the maximum of the counts of the last seenTTL or, if they have been lower since, the
// newest of them.
type recentMax struct {
	count  int
	seenAt time.Duration
}

func (m *recentMax) update(now time.Duration, count int) {
	if count >= m.count || now-m.seenAt > seenTTL {
		m.count, m.seenAt = count, now
	}
}
