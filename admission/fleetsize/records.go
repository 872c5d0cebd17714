package fleetsize

import "time"

// Record is the registry's record of an entry VM.
type Record struct {
	VM, Domain string
	// Revision differs between any two writes of the record.
	Revision string
}

// Records follows the records of the entry VMs. A record counts as long as it changes: its age is
// measured by the reader's own clock from the read in which it had changed, because the clocks of two
// VMs may differ.
type Records struct {
	changes map[string]change // by VM
}

// change is a revision of a record, and when the read that first returned it began.
type change struct {
	revision string
	at       time.Duration
}

// Update applies a read of all records that began at now. It returns the numbers of records that
// count, and the VMs whose records have expired.
func (r *Records) Update(now time.Duration, list []Record) (counts VMCounts, expired []string) {
	ttl := recordTTLIntervals * RenewInterval(len(list))
	changes := make(map[string]change, len(list))
	counts = make(VMCounts)
	for _, record := range list {
		c, known := r.changes[record.VM]
		if !known || c.revision != record.Revision {
			c = change{record.Revision, now}
		}
		changes[record.VM] = c
		if now-c.at > ttl {
			expired = append(expired, record.VM)
			continue
		}
		counts[record.Domain]++
	}
	r.changes = changes
	return counts, expired
}

// Reset restarts the age of all records. It is called when the registry did not answer, because then
// other VMs may not have been able to renew theirs either.
func (r *Records) Reset() { clear(r.changes) }
