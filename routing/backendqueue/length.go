package backendqueue

import (
	"math"
	"time"
)

const (
	// acceptedRejections is the share of the requests sent to a backend server that it may reject
	// without a decrease of the assumed queue. Rejections come several at a time, before a decrease
	// has an effect, so more are rejected in the end.
	acceptedRejections = 0.002
	// growthPerSecond is the growth of the assumed queue while nothing is rejected, as a share of
	// the backend server's slots. Slower growth prolongs refusals after a decrease.
	growthPerSecond = 1.0 / 6
	// rejectionWindow smooths the rates by which the length is decided. A queue that is full once
	// rejects several requests in a row, which say as much as one.
	rejectionWindow = 5 * time.Second
	// halvingInterval is the minimum time between two decreases: rejections that one length caused
	// are reported over up to two seconds.
	halvingInterval = 1500 * time.Millisecond
	// initialShare is the assumed queue of a new backend server, as a share of its slots.
	initialShare = 0.5
	// minUtilization is the utilization that is always allowed. Below it, rejections come from
	// something else than a full queue, and fewer requests would not prevent them.
	minUtilization = 0.5
	// targetShare is the part of the target latency that may be spent on waiting and work at the
	// backend server. The rest is for the network and for a second attempt.
	targetShare = 0.8
)

// queueLength is the assumed length of one backend server's own queue, in requests.
type queueLength struct {
	slots  int
	length float64
	// sent and rejected are the requests of rejectionWindow, weighted by age; halvedAt is when they
	// last led to a decrease.
	sent, rejected float64
	halvedAt       time.Time
	// adopted is whether the length was compared with that of the other VMs.
	adopted bool
	// utilization caches maxUtilization for the length utilizationFor.
	utilization    float64
	utilizationFor int
}

func newQueueLength(slots int) *queueLength {
	return &queueLength{slots: slots, length: initialShare * float64(slots), utilizationFor: -1}
}

// update changes the length by what the fleet sent and had rejected, in requests per second, for
// the time dt until now. longest is the length that the target latency allows.
func (l *queueLength) update(now time.Time, sent, rejected float64, dt time.Duration, longest float64) {
	seconds := dt.Seconds()
	decay := math.Exp(-seconds / rejectionWindow.Seconds())
	l.sent, l.rejected = decay*l.sent+sent*seconds, decay*l.rejected+rejected*seconds
	switch {
	case now.Sub(l.halvedAt) < halvingInterval:
		l.rejected = 0 // they belong to the length before the decrease
	case l.rejected > acceptedRejections*l.sent:
		l.length, l.halvedAt = l.length/2, now
	default:
		l.length += growthPerSecond * float64(l.slots) * seconds
	}
	l.length = min(l.length, longest)
}

// allowed returns the share of the slots that may be used on average.
func (l *queueLength) allowed() float64 {
	if length := int(l.length); length != l.utilizationFor {
		l.utilization, l.utilizationFor = maxUtilization(l.slots, length), length
	}
	return l.utilization
}

// longestQueue returns the longest queue in which a request is answered within the target, in
// requests. Without a target or a work time it is as long as the slots.
func longestQueue(slots int, target, work time.Duration) float64 {
	if target <= 0 || work <= 0 {
		return float64(slots)
	}
	return max(0, (targetShare*target.Seconds()/work.Seconds()-1)*float64(slots))
}

// maxUtilization returns the utilization at which a server with the given slots and queue rejects
// acceptedRejections of randomly arriving requests. VMs know of each other's requests too late to
// avoid a full queue, so only the mean rate of requests is under their control.
//
// Work of about equal length fills a queue as work of exponential length fills one of twice the
// length; for more variable work, the assumed queue adapts.
func maxUtilization(slots, queue int) float64 {
	low, high := minUtilization, 1.0
	if rejectedShare(slots, 2*queue, low) >= acceptedRejections {
		return low
	}
	for range 12 {
		middle := (low + high) / 2
		if rejectedShare(slots, 2*queue, middle) < acceptedRejections {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// rejectedShare returns the share of requests that find all slots and the queue full, for Poisson
// arrivals and exponential work (M/M/c/K).
func rejectedShare(slots, queue int, utilization float64) float64 {
	load, rejected := utilization*float64(slots), 1.0
	for k := range slots {
		rejected = load * rejected / (float64(k+1) + load*rejected)
	}
	for range queue {
		rejected = utilization * rejected / (1 + utilization*rejected)
	}
	return rejected
}
