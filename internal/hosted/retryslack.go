package hosted

import (
	"math"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// sustainedRetryShare is the part of the fleet's retry share that each VM may use all the
	// time. Half as much again is for bursts (admission.RetryBudget), and the rest for requests
	// that are counted later than their callers sent them.
	sustainedRetryShare = 0.6
	// dividedRetrySlack is the part of the fleet's retry slack that is divided among its VMs.
	// The rest covers retries that were delayed on their way, and VMs that were counted late.
	dividedRetrySlack = 0.75
	// staleSlackShare is the part of its slack that a VM uses while its count of the fleet is stale. What all VMs leave
	// that are cut off is room for those that join meanwhile.
	staleSlackShare = 0.55
	// maxVMRetrySlack bounds the part of one VM, which may have started before others were recorded.
	maxVMRetrySlack = 10
)

// retrySlackGauge is this VM's part of the fleet's retry slack.
var retrySlackGauge = metrics.NewGauge(`bergamotreel_retry_slack`, nil)

// retrySlack returns this VM's part of the retries that all VMs together may make at a service
// beyond a share of its traffic: an equal part of an equal part for each failure domain, none while
// the size of the fleet is unknown.
func (n *Node) retrySlack() float64 {
	fleet, known := n.fleetSize.count()
	if !known {
		return 0
	}
	slack := math.Min(maxVMRetrySlack, dividedRetrySlack*n.config.RetrySlack/float64(fleet.Domains*fleet.DomainVMs))
	if n.fleetSize.isStale() {
		slack *= staleSlackShare
	}
	return slack
}
