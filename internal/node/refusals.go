package node

import (
	"sort"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

// Refusal counts grow with customers and codes, and only operators need them. Digests
// therefore include them in refusalReportHeartbeats of every refusalReportPeriod
// heartbeats; each peer gets them twice in case one digest is lost. In every digest they
// would take a quarter of its bytes.
const refusalReportHeartbeats, refusalReportPeriod = 2, 12

// refusalCounts counts this VM's refusals since its start by customer and code.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[entryvm.RefusalCount]uint64
}

func newRefusalCounts() *refusalCounts {
	return &refusalCounts{counts: make(map[entryvm.RefusalCount]uint64)}
}

func (r *refusalCounts) count(customer, code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[entryvm.RefusalCount{Customer: customer, Code: code}]++
}

func (r *refusalCounts) all() []entryvm.RefusalCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]entryvm.RefusalCount, 0, len(r.counts))
	for key, count := range r.counts {
		key.Count = count
		out = append(out, key)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Customer != out[j].Customer {
			return out[i].Customer < out[j].Customer
		}
		return out[i].Code < out[j].Code
	})
	return out
}

// byCode returns the counts summed over all customers.
func (r *refusalCounts) byCode() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]uint64)
	for key, count := range r.counts {
		sums[key.Code] += count
	}
	return sums
}

// dueReport returns the counts for a digest made at now, or nil if that digest
// includes none.
func (r *refusalCounts) dueReport(now time.Time, heartbeat time.Duration) []entryvm.RefusalCount {
	if now.UnixNano()/int64(heartbeat)%refusalReportPeriod >= refusalReportHeartbeats {
		return nil
	}
	return r.all()
}

// peerRefusals holds the last refusal counts received from each other entry VM.
type peerRefusals struct {
	mu   sync.Mutex
	byVM map[string]peerCounts
}

// peerCounts holds the counts of one incarnation of a VM.
type peerCounts struct {
	incarnation string
	counts      []entryvm.RefusalCount
	seenAt      time.Time
}

// silentPeerTTL is how long the counts of a silent VM are kept. It is longer than the
// VM list may lag. VMs are replaced all the time, so the counts must expire.
const silentPeerTTL = 10 * time.Minute

func newPeerRefusals() *peerRefusals { return &peerRefusals{byVM: make(map[string]peerCounts)} }

// applyDigest stores the counts of a digest. A digest without counts leaves those of
// the same incarnation unchanged.
func (p *peerRefusals) applyDigest(now time.Time, d entryvm.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.byVM[d.VM]
	if !ok {
		p.dropExpired(now)
	}
	if len(d.Refused) > 0 || known.incarnation != d.Incarnation {
		known = peerCounts{incarnation: d.Incarnation, counts: d.Refused}
	}
	known.seenAt = now
	p.byVM[d.VM] = known
}

// dropExpired drops the VMs that have been silent for silentPeerTTL. The caller must
// hold mu.
func (p *peerRefusals) dropExpired(now time.Time) {
	for vm, known := range p.byVM {
		if now.Sub(known.seenAt) > silentPeerTTL {
			delete(p.byVM, vm)
		}
	}
}

// eachPresent calls add with the counts of each present VM and drops all other VMs.
func (p *peerRefusals) eachPresent(present map[string]bool, add func([]entryvm.RefusalCount)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, peer := range p.byVM {
		if !present[vm] {
			delete(p.byVM, vm)
			continue
		}
		add(peer.counts)
	}
}
