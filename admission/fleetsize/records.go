package fleetsize

import "time"

// Record is the registry's record of an entry VM.
type Record struct {
	VM, Domain string
	// Revision differs between any two renewals of the record.
	Revision string
	// Lapsed is whether a reader has marked the record as no longer renewed.
	Lapsed bool
}

// Recorded counts the VMs that have a record in the registry.
type Recorded struct {
	// Renewed counts the VMs that renew their records. Lapsed counts those that have stopped within
	// seenTTL: they may be cut off from the registry and still use their parts.
	Renewed, Lapsed VMCounts
}

// Records follows the records of the entry VMs. A record counts as renewed as long as it changes: its
// age is measured by the reader's own clock from the read in which it had changed, because the clocks
// of two VMs may differ. A record that has lapsed is marked before it is dropped, so that a reader that
// starts afterwards neither takes it for a renewed one nor misses it.
type Records struct {
	changes map[string]change // by VM
}

// change is a revision of a record, and when the read that first returned it began.
type change struct {
	revision string
	at       time.Duration
}

// Update applies a read of all records that began at now. It returns the numbers of records that
// count, the records to mark as lapsed, and the VMs whose records are to be dropped.
func (r *Records) Update(now time.Duration, list []Record) (recorded Recorded, lapsed []Record, expired []string) {
	ttl := recordTTLIntervals * RenewInterval(len(list))
	changes := make(map[string]change, len(list))
	recorded = Recorded{make(VMCounts), make(VMCounts)}
	for _, record := range list {
		c, known := r.changes[record.VM]
		if !known || c.revision != record.Revision {
			c = change{record.Revision, now}
		}
		changes[record.VM] = c
		switch age := now - c.at; {
		case age > max(ttl, seenTTL):
			expired = append(expired, record.VM)
		case record.Lapsed:
			recorded.Lapsed[record.Domain]++
		case age > ttl:
			recorded.Lapsed[record.Domain]++
			record.Lapsed = true
			lapsed = append(lapsed, record)
		default:
			recorded.Renewed[record.Domain]++
		}
	}
	r.changes = changes
	return recorded, lapsed, expired
}

// Reset restarts the age of all records. It is called when the registry did not answer, because then
// other VMs may not have been able to renew theirs either.
func (r *Records) Reset() { clear(r.changes) }
