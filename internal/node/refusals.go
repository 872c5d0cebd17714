package node

import (
	"sort"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

// Refusals grow with customers and codes and are wanted by operators only, so
// they are told for refusalsTold heartbeats of each refusalsEvery: each peer gets
// them twice, should one digest be lost. In each digest they were a quarter of
// its bytes.
const refusalReportHeartbeats, refusalReportPeriod = 2, 12

// refusals counts refusals since the start by customer and code.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[entryvm.Refused]uint64
}

func newRefusalCounts() *refusalCounts {
	return &refusalCounts{counts: make(map[entryvm.Refused]uint64)}
}

func (r *refusalCounts) count(customer, code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[entryvm.Refused{Customer: customer, Code: code}]++
}

func (r *refusalCounts) all() []entryvm.Refused {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]entryvm.Refused, 0, len(r.counts))
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

// byCode sums the counts over customers.
func (r *refusalCounts) byCode() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := make(map[string]uint64)
	for key, count := range r.counts {
		sums[key.Code] += count
	}
	return sums
}

// due are the counts to tell at a time, nil for none.
func (r *refusalCounts) dueReport(now time.Time, heartbeat time.Duration) []entryvm.Refused {
	if now.UnixNano()/int64(heartbeat)%refusalReportPeriod >= refusalReportHeartbeats {
		return nil
	}
	return r.all()
}

// peerRefusals are the counts that the other entry VMs told last.
type peerRefusals struct {
	mu   sync.Mutex
	byVM map[string]peerCounts
}

// peerCounts are the counts of one start of a VM.
type peerCounts struct {
	incarnation string
	counts      []entryvm.Refused
	seenAt      time.Time
}

// silentKept is how long the counts of a silent VM are kept: longer than the VM
// list trails. VMs are replaced all day, and the counts must not grow for ever.
const silentPeerTTL = 10 * time.Minute

func newPeerRefusals() *peerRefusals { return &peerRefusals{byVM: make(map[string]peerCounts)} }

// saw takes the counts of a digest; one without them may tell them later.
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

// forget drops the VMs that are long silent. Call with mu held.
func (p *peerRefusals) dropExpired(now time.Time) {
	for vm, known := range p.byVM {
		if now.Sub(known.seenAt) > silentPeerTTL {
			delete(p.byVM, vm)
		}
	}
}

// each calls add with the counts of each VM that is there, and forgets the rest.
func (p *peerRefusals) eachPresent(present map[string]bool, add func([]entryvm.Refused)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, known := range p.byVM {
		if !present[vm] {
			delete(p.byVM, vm)
			continue
		}
		add(known.counts)
	}
}
