package backendqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load is what VMs measure of a service or of one of its backend servers. Its key is Service and
// Backend; loads with the same key can be summed up over VMs.
type Load struct {
	Service string
	// Backend is empty for the service.
	Backend string
	// Arrived is the rate of requests that arrived for the service.
	Arrived float64
	// Sent and Rejected are the rates of requests that the service or backend server answered, and
	// that it rejected for want of room.
	Sent, Rejected float64
	// Work is the rate of answered requests times their work time: the number of slots in use.
	Work float64
	// Length is the assumed queue of the backend server, VMs the number of VMs that assume one.
	Length float64
	VMs    int
}

// Change is a change of what Queues does with a service.
type Change struct {
	Service string
	// Queueing is whether the backend servers' queues are used.
	Queueing bool
	// Share is the share of the arriving requests that is admitted.
	Share float64
	// Capacity and Demand are the rates that the share results from.
	Capacity, Demand float64
}

// Report returns what this VM measured, sorted by service and backend server.
func (q *Queues) Report(now time.Time) []Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Load
	for name, s := range q.services {
		if now.Sub(s.seen) > serviceTTL {
			delete(q.services, name)
			continue
		}
		if s.places == 0 || s.places >= reportedPlacesPerVM*s.vms {
			s.own = Load{}
			continue
		}
		sent := s.sent.Rate(now, rateWindow)
		s.own = Load{Service: name, Arrived: s.arrived.Rate(now, arrivalWindow), Sent: sent, Work: sent * s.work}
		out = append(out, s.own)
		for id, b := range s.backends {
			if b.usable {
				out = append(out, Load{Service: name, Backend: id, Sent: b.sent.Rate(now, rateWindow), Rejected: b.rejected.Rate(now, rateWindow), Length: b.length.length, VMs: 1})
			}
		}
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend))
	})
	return out[:min(len(out), maxReported)]
}

// SetFleet applies the loads summed up over all VMs, this one included, and returns what changed
// since the last call.
func (q *Queues) SetFleet(now time.Time, loads []Load) []Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	elapsed := min(max(0, now.Sub(q.updated)), maxUpdateInterval)
	q.updated = now
	for _, s := range q.services {
		s.fleet = s.own
	}
	for _, l := range loads {
		if s := q.services[l.Service]; s != nil && l.Backend == "" {
			s.fleet = Load{Arrived: sanitize(l.Arrived), Sent: sanitize(l.Sent), Work: sanitize(l.Work)}
		}
	}
	for _, l := range loads {
		s := q.services[l.Service]
		if s == nil || s.backends[l.Backend] == nil {
			continue
		}
		b := s.backends[l.Backend].length
		longest := longestQueue(b.slots, s.target, time.Duration(s.workTime()*float64(time.Second)))
		if !b.adopted && l.VMs > 1 {
			b.length, b.adopted = min(sanitize(l.Length)/float64(l.VMs), longest), true
		}
		sent, rejected := sanitize(l.Sent), sanitize(l.Rejected)
		if work := s.workTime(); work > 0 {
			rejected = max(0, rejected-max(0, sent-excessSent*b.allowed()*float64(b.slots)/work))
		}
		b.update(now, sent, rejected, elapsed, longest)
	}
	return q.changes(now)
}

// sanitize returns a value from another VM, or 0 if it is no valid rate or length.
func sanitize(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

// changes returns the services whose state differs from the last reported one.
func (q *Queues) changes(now time.Time) []Change {
	var out []Change
	for name, s := range q.services {
		c := Change{Service: name, Queueing: s.queueing, Share: 1, Capacity: s.capacity()}
		c.Demand, _ = s.demand(now)
		if s.queueing && c.Capacity > 0 && c.Demand > 0 {
			c.Share = min(1, c.Capacity/c.Demand)
		}
		if !s.isChange(now, c) {
			continue
		}
		s.reported, s.reportedAt = c, now
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// isChange reports whether c is worth a report after the last one. A share
// counts as changed by a tenth, or when all requests are admitted again.
func (s *serviceState) isChange(now time.Time, c Change) bool {
	if c.Queueing != s.reported.Queueing {
		return true
	}
	ended := c.Share == 1 && s.reported.Share < 1
	return c.Queueing && now.Sub(s.reportedAt) >= changeInterval && (ended || math.Abs(c.Share-s.reported.Share) >= 0.1)
}
