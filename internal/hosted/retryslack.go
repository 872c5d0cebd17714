package hosted

import (
	"context"
	"math"
	"sync"
	"time"

	"bergamotreel/internal/pause"
)

const (
	// sustainedRetryShare is the part of the fleet's retry share that each VM may use all the
	// time. Half as much again is for bursts (admission.RetryBudget), and the rest for requests
	// that are counted later than their callers sent them.
	sustainedRetryShare = 0.6
	// dividedRetrySlack is the part of the fleet's retry slack that is divided among its VMs.
	// The rest covers retries that were delayed on their way, and VMs that don't know each other.
	dividedRetrySlack = 0.75
	// maxVMRetrySlack bounds the part of one VM, which may know few of the others.
	maxVMRetrySlack = 10
	// domainSizeTTL is how long a failure domain counts as large as it was. It exceeds
	// network partitions, whose sides would otherwise divide the slack a second time each.
	domainSizeTTL = 5 * time.Minute
	// domainSizeInterval is the time between two counts of a failure domain's VMs.
	domainSizeInterval = 500 * time.Millisecond
)

// retrySlack is this VM's part of the retries that all VMs together may make at a service
// beyond a share of its traffic: an equal part of an equal part for each failure domain. It is
// safe for concurrent use.
type retrySlack struct {
	node *Node

	mu     sync.Mutex
	domain domainSize
}

func newRetrySlack(n *Node) *retrySlack { return &retrySlack{node: n, domain: domainSize{vms: 1}} }

// get returns the number of retries.
func (r *retrySlack) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	domains := max(r.node.config.Domains, 1)
	return math.Min(maxVMRetrySlack, dividedRetrySlack*r.node.config.RetrySlack/float64(domains*r.domain.vms))
}

// run counts the VMs of this VM's failure domain until ctx ends.
func (r *retrySlack) run(ctx context.Context) {
	pause.Every(ctx, domainSizeInterval, func(context.Context) {
		vms := 1 + r.node.members.countSeenInDomain()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.domain.update(time.Now(), vms)
	})
}

// domainSize is the largest recent number of a failure domain's VMs.
type domainSize struct {
	vms    int
	seenAt time.Time
}

func (d *domainSize) update(now time.Time, vms int) {
	if vms >= d.vms || now.Sub(d.seenAt) > domainSizeTTL {
		d.vms, d.seenAt = vms, now
	}
}

// countSeenInDomain returns how many other VMs of this domain this VM has seen and not
// forgotten since, whether they are live or not.
func (m *members) countSeenInDomain() (seen int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.lastSeen.IsZero() && p.report.Domain == m.node.config.Domain {
			seen++
		}
	}
	return seen
}
