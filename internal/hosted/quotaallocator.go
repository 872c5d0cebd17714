package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotreel/admission/quota"
	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/meter"
	"bergamotreel/internal/pause"
)

// leaseBucket is what this VM hands out of a workspace's quota.
type leaseBucket struct {
	quota.Bucket
	demand meter.Meter
	// borrowAt is from when on other allocators may be asked for credit again.
	borrowAt time.Time
}

// Lease implements entryvm.Coordinator: the allocator hands out credit, any other VM asks
// it, and stands in for one that it can't reach.
func (n *Node) Lease(args entryvm.LeaseArgs) entryvm.LeaseReply {
	q := n.quotas
	allocators := q.draw(time.Now()).own
	if args.Forwarded || len(allocators) == 0 || allocators[0].address == n.config.Address || q.suspected(allocators[0].address) {
		return q.grantOrBorrow(args)
	}
	forwarded := args
	forwarded.Forwarded = true
	reply, err := q.ask(context.Background(), allocators[0].address, forwarded, forwardTimeout)
	if err != nil {
		return q.grantOrBorrow(args)
	}
	return reply
}

// grantOrBorrow hands out credit, and borrows some of other domains' allocators where this
// one has none.
func (q *quotas) grantOrBorrow(args entryvm.LeaseArgs) entryvm.LeaseReply {
	now := time.Now()
	reply := q.grant(now, args)
	if reply.Credit > 0 || reply.Unknown {
		return reply
	}
	lenders := q.lenders(now, args.Workspace)
	if len(lenders) == 0 || !q.borrow(lenders, args) {
		return reply
	}
	again := args
	again.Refused = -args.Need // it is counted already
	return q.grant(time.Now(), again)
}

// lenders are the allocators to ask for credit, none where they had none lately.
func (q *quotas) lenders(now time.Time, workspace string) []allocator {
	draw := q.draw(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket := q.buckets[workspace]
	if bucket == nil || now.Before(bucket.borrowAt) {
		return nil
	}
	bucket.borrowAt = now.Add(borrowPause)
	if q.division.ReachableDomains(now) == 0 {
		return draw.others // this VM has just begun to hand out
	}
	return slices.DeleteFunc(slices.Clone(draw.others), func(h allocator) bool { return !q.division.IsReachable(now, h.domain) })
}

// borrow asks all of the allocators at once for a cost and what will be needed soon; it
// tells whether any lent something.
func (q *quotas) borrow(lenders []allocator, args entryvm.LeaseArgs) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	q.mu.Lock()
	bucket := q.buckets[args.Workspace]
	if bucket == nil { // the workspace has just been removed
		q.mu.Unlock()
		return false
	}
	now := time.Now()
	need := args.Need - min(bucket.Level(now), 0) + args.Ahead
	q.mu.Unlock()
	credit := make(chan float64, len(lenders))
	for _, lender := range lenders {
		go func() {
			reply, err := q.node.config.Peers.EntryVMs.Lend(ctx, lender.address, entryvm.LendArgs{Workspace: args.Workspace, Need: need})
			if err != nil {
				reply.Credit = 0 // what may have been lent lapses
			}
			credit <- reply.Credit
		}()
	}
	sum := 0.0
	for range lenders {
		sum += <-credit
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket.Borrow(time.Now(), sum)
	if sum > 0 {
		bucket.borrowAt = time.Time{}
	}
	return sum > 0
}

// Lend implements entryvm.Coordinator.
func (n *Node) Lend(args entryvm.LendArgs) entryvm.LendReply {
	q := n.quotas
	limit, known := q.quotaOf(args.Workspace)
	now := time.Now()
	draw := q.draw(now)
	if !known || !draw.holds(n.config.Address) {
		return entryvm.LendReply{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket := q.buckets[args.Workspace]
	if bucket == nil {
		return entryvm.LendReply{}
	}
	q.refill(now, args.Workspace, bucket, limit)
	return entryvm.LendReply{Credit: bucket.Lend(now, args.Need)}
}

// grant grants credit of this VM's bucket.
func (q *quotas) grant(now time.Time, args entryvm.LeaseArgs) entryvm.LeaseReply {
	limit, known := q.quotaOf(args.Workspace)
	if !known {
		return entryvm.LeaseReply{Unknown: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket := q.buckets[args.Workspace]
	if bucket == nil {
		bucket = &leaseBucket{}
		q.buckets[args.Workspace] = bucket
	}
	q.refill(now, args.Workspace, bucket, limit)
	q.grantedAt = now
	bucket.demand.Add(now, args.Need+args.Refused, demandWindow)
	wait, ok := bucket.Take(now, args.Need, args.MaxWait)
	if !ok {
		return entryvm.LeaseReply{Wait: wait}
	}
	return entryvm.LeaseReply{Credit: args.Need + bucket.TakeSpare(now, args.Ahead, aheadReserve), Wait: wait}
}

// refill brings a bucket to its part of the limit. Call with mu held.
func (q *quotas) refill(now time.Time, workspace string, bucket *leaseBucket, limit contract.Quota) {
	q.division.SetReachableFraction(q.allocators.present())
	part := q.division.Share(now, workspace, limit.PerSecond)
	// Bursts are divided evenly: a burst that followed demand would cut credit off where
	// demand pauses, and allocators lend it anyway.
	burst := q.division.EvenShare(now) * (limit.Burst + slackUsed*q.node.config.QuotaSlack)
	bucket.SetRate(now, part*limit.PerSecond, burst)
}

// run is the duty that keeps buckets filled and exchanges demand with other domains'
// allocators while this VM holds its own domain's.
func (q *quotas) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	pause.Every(ctx, demandEvery, func(ctx context.Context) {
		now := time.Now()
		q.prune(now)
		if !q.limited() {
			q.forget(now)
			return
		}
		draw := q.draw(now)
		if !draw.holds(q.node.config.Address) {
			q.forget(now)
			return
		}
		report := q.announce(now, draw.present())
		for _, allocator := range draw.others {
			exchanges.Go(func() { q.exchange(ctx, allocator.address, report) })
		}
	})
}

// prune drops the wallets of workspaces without requests.
func (q *quotas) prune(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.wallets, func(_ string, w *quota.LocalCredit) bool { return w.IsIdle(now) })
}

// forget drops the buckets of a VM that is no allocator and was not asked for a while: its
// credit would come on top of the next one's.
func (q *quotas) forget(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.grantedAt) > fallbackIdle {
		clear(q.buckets)
	}
}

// exchange tells an allocator the demand here, and takes its.
func (q *quotas) exchange(ctx context.Context, address string, report entryvm.DemandReport) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	reply, err := q.node.config.Peers.EntryVMs.Demand(ctx, address, report)
	if err != nil || reply.Sequence == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.division.Receive(now, reply.VM+reply.Incarnation, reply.Domain, reply.Sequence, announcementOf(&reply))
	q.division.Acknowledge(now, reply.VM+reply.Incarnation, report.Sequence)
}

// announce refills the buckets and makes the report of the demand in this domain.
func (q *quotas) announce(now time.Time, present float64) entryvm.DemandReport {
	current := q.node.active.Load()
	q.mu.Lock()
	defer q.mu.Unlock()
	demand := make(map[string]float64)
	for i := range current.Contract.Workspaces {
		w := &current.Contract.Workspaces[i]
		if !w.Quota.Limited() {
			continue
		}
		bucket := q.buckets[w.Name]
		if bucket == nil {
			bucket = &leaseBucket{}
			q.buckets[w.Name] = bucket
		}
		q.refill(now, w.Name, bucket, w.Quota)
		if rate := bucket.demand.Rate(now, demandWindow); rate >= 1 {
			demand[w.Name] = rate
		}
	}
	for name := range q.buckets {
		if current.workspaces.Find(name) == nil {
			delete(q.buckets, name)
		}
	}
	return q.report(q.division.Announce(now, quota.Announcement{Demand: demand, ReachableFraction: present}))
}

func (q *quotas) report(sequence uint64, newest quota.Announcement) entryvm.DemandReport {
	own := q.node.config
	report := entryvm.DemandReport{VM: own.VM, Domain: own.Domain, Incarnation: own.Incarnation, Sequence: sequence, Present: newest.ReachableFraction}
	for workspace, rate := range newest.Demand {
		report.Demand = append(report.Demand, entryvm.WorkspaceDemand{Workspace: workspace, PerSecond: float32(rate)})
	}
	return report
}

func announcementOf(report *entryvm.DemandReport) quota.Announcement {
	demand := make(map[string]float64, len(report.Demand))
	for _, d := range report.Demand {
		demand[d.Workspace] = float64(d.PerSecond)
	}
	return quota.Announcement{Demand: demand, ReachableFraction: report.Present}
}

// Demand implements entryvm.Coordinator.
func (n *Node) Demand(report entryvm.DemandReport) entryvm.DemandReport {
	q := n.quotas
	now := time.Now()
	draw := q.draw(now)
	q.mu.Lock()
	q.division.Receive(now, report.VM+report.Incarnation, report.Domain, report.Sequence, announcementOf(&report))
	q.mu.Unlock()
	if !draw.holds(n.config.Address) || !q.limited() {
		return entryvm.DemandReport{VM: n.config.VM, Domain: n.config.Domain, Incarnation: n.config.Incarnation}
	}
	return q.newest()
}

// newest is the report announced last.
func (q *quotas) newest() entryvm.DemandReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.report(q.division.LastAnnouncement())
}
