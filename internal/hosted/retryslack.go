package hosted

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
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
	// fleetSizeTTL is how long the fleet counts as large as it was. It exceeds network
	// partitions, whose sides would otherwise divide the slack a second time each.
	fleetSizeTTL = 5 * time.Minute
	// fleetSizeInterval is the time between two counts of the fleet.
	fleetSizeInterval = 500 * time.Millisecond
)

// retrySlackGauge is this VM's part of the fleet's retry slack.
var retrySlackGauge = metrics.NewGauge(`bergamotreel_retry_slack`, nil)

// retrySlack is this VM's part of the retries that all VMs together may make at a service
// beyond a share of its traffic: an equal part of an equal part for each failure domain. It is
// safe for concurrent use.
type retrySlack struct {
	node *Node

	mu sync.Mutex
	// domains counts the failure domains, domainVMs the VMs of this VM's own.
	domains, domainVMs recentMax
}

func newRetrySlack(n *Node) *retrySlack { return &retrySlack{node: n} }

// get returns the number of retries.
func (r *retrySlack) get() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := max(r.node.config.Domains, r.domains.count, 1) * max(r.domainVMs.count, 1)
	return math.Min(maxVMRetrySlack, dividedRetrySlack*r.node.config.RetrySlack/float64(parts))
}

// run counts the fleet until ctx ends.
func (r *retrySlack) run(ctx context.Context) {
	pause.Every(ctx, fleetSizeInterval, func(context.Context) {
		domains, domainVMs := r.node.members.countSeen()
		now := time.Now()
		r.mu.Lock()
		before := [2]int{r.domains.count, r.domainVMs.count}
		r.domains.update(now, domains)
		r.domainVMs.update(now, domainVMs)
		after := [2]int{r.domains.count, r.domainVMs.count}
		r.mu.Unlock()
		retrySlackGauge.Set(r.get())
		if before != after {
			r.node.config.Logger.Info("fleet counted", zap.Int("domains", after[0]), zap.Int("domain_vms", after[1]), zap.Float64("retry_slack", r.get()))
		}
	})
}

// recentMax is the maximum of the counts of the last fleetSizeTTL or, if they have been lower
// since, the newest of them.
type recentMax struct {
	count  int
	seenAt time.Time
}

func (m *recentMax) update(now time.Time, count int) {
	if count >= m.count || now.Sub(m.seenAt) > fleetSizeTTL {
		m.count, m.seenAt = count, now
	}
}

// countSeen returns how many failure domains, and how many VMs of its own, this VM has seen
// and not forgotten since, whether they are live or not. Both include this VM.
func (m *members) countSeen() (domains, domainVMs int) {
	own := m.node.config.Domain
	vms := map[string]int{own: 1}
	m.eachSeen(func(r *entryvm.Report) { vms[r.Domain]++ })
	return len(vms), vms[own]
}
