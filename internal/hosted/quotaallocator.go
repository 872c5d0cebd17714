package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/quota"
	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/meter"
	"bergamotreel/internal/pause"
)

// leaseBucket holds the credit that this VM may grant for one workspace.
type leaseBucket struct {
	quota.Bucket
	demand meter.Meter
	// nextBorrowAt is when other allocators may be asked for credit again.
	nextBorrowAt time.Time
}

// Lease implements entryvm.Coordinator: the allocator grants credit; any other VM forwards
// the call to it, and grants credit itself if it can't reach the allocator.
func (n *Node) Lease(args entryvm.LeaseArgs) entryvm.LeaseReply {
	q := n.quotas
	allocators := q.currentAllocators(time.Now()).ownDomain
	if args.Forwarded || len(allocators) == 0 || allocators[0].address == n.config.Address || q.isUnresponsive(allocators[0].address) {
		return q.grantOrBorrow(args)
	}
	forwardedArgs := args
	forwardedArgs.Forwarded = true
	reply, err := q.leaseFrom(context.Background(), allocators[0].address, forwardedArgs, forwardTimeout)
	if err != nil {
		return q.grantOrBorrow(args)
	}
	return reply
}

// grantOrBorrow grants credit; if this VM has none, it borrows some from the allocators of
// other domains.
func (q *quotas) grantOrBorrow(args entryvm.LeaseArgs) entryvm.LeaseReply {
	now := time.Now()
	reply := q.grant(now, args)
	if reply.Credit > 0 || reply.Unknown {
		return reply
	}
	lenders := q.selectLenders(now, args.Workspace)
	if len(lenders) == 0 || !q.borrow(lenders, args) {
		return reply
	}
	retryArgs := args
	retryArgs.Refused = -args.Need // grant has counted the demand already
	return q.grant(time.Now(), retryArgs)
}

// selectLenders returns the allocators of other domains to ask for credit. It returns none
// within borrowBackoff of a call that they had no credit for.
func (q *quotas) selectLenders(now time.Time, workspace string) []allocator {
	selection := q.currentAllocators(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket := q.buckets[workspace]
	if bucket == nil || now.Before(bucket.nextBorrowAt) {
		return nil
	}
	bucket.nextBorrowAt = now.Add(borrowBackoff)
	if q.demandView.ReachableDomains(now) == 0 {
		return selection.otherDomains // this VM has just become an allocator
	}
	return slices.DeleteFunc(slices.Clone(selection.otherDomains), func(a allocator) bool { return !q.demandView.IsReachable(now, a.domain) })
}

// borrow asks all lenders at once for the request's cost and for what will be needed soon.
// It reports whether any of them lent credit.
func (q *quotas) borrow(lenders []allocator, args entryvm.LeaseArgs) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	q.mu.Lock()
	bucket := q.buckets[args.Workspace]
	if bucket == nil { // the workspace was removed meanwhile
		q.mu.Unlock()
		return false
	}
	now := time.Now()
	need := args.Need - min(bucket.Level(now), 0) + args.Prefetch
	q.mu.Unlock()
	borrowed := q.collectLoans(ctx, lenders, entryvm.LendArgs{Workspace: args.Workspace, Need: need})
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket.Borrow(time.Now(), borrowed)
	if borrowed > 0 {
		bucket.nextBorrowAt = time.Time{}
	}
	return borrowed > 0
}

// collectLoans asks all lenders at once and returns the sum of what they lent.
func (q *quotas) collectLoans(ctx context.Context, lenders []allocator, args entryvm.LendArgs) (borrowed float64) {
	credit := make(chan float64, len(lenders))
	for _, lender := range lenders {
		go func() {
			reply, err := q.node.config.Peers.EntryVMs.Lend(ctx, lender.address, args)
			if err != nil {
				reply.Credit = 0 // credit that may have been lent is lost
			}
			credit <- reply.Credit
		}()
	}
	for range lenders {
		borrowed += <-credit
	}
	return borrowed
}

// coverDebt borrows what a workspace's bucket owes, from allocators whose buckets are well
// filled. Their credit would be lost once their buckets are full.
func (q *quotas) coverDebt(ctx context.Context, workspace string, debt float64, lenders []allocator) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	borrowed := q.collectLoans(ctx, lenders, entryvm.LendArgs{Workspace: workspace, Need: debt, Reserve: prefetchReserve})
	q.mu.Lock()
	defer q.mu.Unlock()
	if bucket := q.buckets[workspace]; bucket != nil {
		bucket.Borrow(time.Now(), borrowed)
	}
}

// debts returns the debt of each workspace's bucket that is in debt.
func (q *quotas) debts(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	debts := make(map[string]float64)
	for workspace, bucket := range q.buckets {
		if level := bucket.Level(now); level < 0 {
			debts[workspace] = -level
		}
	}
	return debts
}

// Lend implements entryvm.Coordinator: an allocator lends credit to that of another domain.
func (n *Node) Lend(args entryvm.LendArgs) entryvm.LendReply {
	q := n.quotas
	limit, known := q.lookupQuota(args.Workspace)
	now := time.Now()
	selection := q.currentAllocators(now)
	if !known || !selection.isAllocator(n.config.Address) {
		return entryvm.LendReply{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	bucket := q.buckets[args.Workspace]
	if bucket == nil {
		return entryvm.LendReply{}
	}
	q.updateBucket(now, args.Workspace, bucket, limit)
	return entryvm.LendReply{Credit: bucket.Lend(now, args.Need, args.Reserve)}
}

// grant grants credit from this VM's bucket.
func (q *quotas) grant(now time.Time, args entryvm.LeaseArgs) entryvm.LeaseReply {
	limit, known := q.lookupQuota(args.Workspace)
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
	q.updateBucket(now, args.Workspace, bucket, limit)
	q.grantedAt = now
	bucket.demand.Add(now, args.Need+args.Refused, demandWindow)
	wait, ok := q.take(now, bucket, args)
	if !ok {
		return entryvm.LeaseReply{Wait: wait}
	}
	return entryvm.LeaseReply{Credit: args.Need + bucket.TakeSpare(now, args.Prefetch, prefetchReserve), Wait: wait}
}

// take charges a request to a bucket. Of VMs that reach no other one each has a bucket, and if
// requests put these into debt, each restart would grant one request for each VM. Call with mu held.
func (q *quotas) take(now time.Time, bucket *leaseBucket, args entryvm.LeaseArgs) (wait time.Duration, ok bool) {
	if q.allocators.vms.isAlone() {
		return bucket.WaitTime(now), bucket.TakeIfCovered(now, args.Need)
	}
	return bucket.Take(now, args.Need, args.MaxWait)
}

// updateBucket sets a bucket's rate and burst to this domain's share of the limit. Call with
// mu held.
func (q *quotas) updateBucket(now time.Time, workspace string, bucket *leaseBucket, limit contract.Quota) {
	q.demandView.SetReachableFraction(q.allocators.vms.reachableFraction())
	share := q.demandView.Share(now, workspace, limit.PerSecond)
	// Bursts are divided evenly: a burst that followed demand would take away the credit of
	// a domain whose demand pauses, and allocators lend credit to each other anyway.
	burst := q.demandView.EvenShare(now) * (limit.Burst + burstSlackShare*q.node.config.QuotaSlack)
	bucket.SetRate(now, share*limit.PerSecond, burst)
}

// updateBuckets updates all buckets after a change of the demand view. Call with mu held.
func (q *quotas) updateBuckets(now time.Time) {
	for workspace, bucket := range q.buckets {
		if limit, known := q.lookupQuota(workspace); known {
			q.updateBucket(now, workspace, bucket, limit)
		}
	}
}

// run updates the buckets and exchanges demand with the allocators of other domains while
// this VM is its own domain's allocator.
func (q *quotas) run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	pause.Every(ctx, demandInterval, func(ctx context.Context) {
		now := time.Now()
		q.pruneLocalCredits(now)
		if !q.hasQuotas() {
			q.dropIdleBuckets(now)
			return
		}
		selection := q.currentAllocators(now)
		if !selection.isAllocator(q.node.config.Address) {
			q.dropIdleBuckets(now)
			if withdrawal, due := q.withdrawDemand(now); due {
				for _, allocator := range selection.otherDomains {
					exchanges.Go(func() { q.sendWithdrawal(ctx, allocator.address, withdrawal) })
				}
			}
			return
		}
		report := q.announceDemand(now, selection.vms.reachableFraction())
		for _, allocator := range selection.otherDomains {
			exchanges.Go(func() { q.exchangeDemand(ctx, allocator.address, report) })
		}
		for workspace, debt := range q.debts(now) {
			exchanges.Go(func() { q.coverDebt(ctx, workspace, debt, selection.otherDomains) })
		}
	})
}

// pruneLocalCredits drops the local credit of workspaces without requests.
func (q *quotas) pruneLocalCredits(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.localCredits, func(_ string, w *quota.LocalCredit) bool { return w.IsIdle(now) })
}

// dropIdleBuckets drops the buckets of a VM that is no allocator and has granted nothing for
// quotaIdleTTL: their credit would come on top of the current allocator's.
func (q *quotas) dropIdleBuckets(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.grantedAt) > quotaIdleTTL {
		clear(q.buckets)
	}
}

// exchangeDemand sends this domain's demand to an allocator and records the demand in its
// reply.
func (q *quotas) exchangeDemand(ctx context.Context, address string, report entryvm.DemandReport) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	reply, err := q.node.config.Peers.EntryVMs.Demand(ctx, address, report)
	if err != nil || reply.Sequence == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demandView.Receive(now, toProcess(&reply), reply.Domain, reply.Sequence, toAnnouncement(&reply))
	q.demandView.Acknowledge(now, toProcess(&reply), report.Sequence)
	q.updateBuckets(now)
}

// withdrawDemand returns the report that tells the other domains' allocators that this VM is
// no allocator any more. It is due for withdrawalSpan, while this VM grants nothing: many
// VMs are allocators for a moment when a fleet starts, and the others would count their
// demand, and wait for their acknowledgements, until they count as unreachable.
func (q *quotas) withdrawDemand(now time.Time) (report entryvm.DemandReport, due bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.announcedAt) > withdrawalSpan || now.Sub(q.grantedAt) < demandInterval {
		return entryvm.DemandReport{}, false
	}
	own := q.node.config
	return entryvm.DemandReport{VM: own.VM, Domain: own.Domain, Incarnation: own.Incarnation, Sequence: q.demandView.Withdraw(now), Withdrawn: true}, true
}

// sendWithdrawal sends a withdrawal to an allocator. It is sent again at the next interval,
// so a lost one doesn't matter.
func (q *quotas) sendWithdrawal(ctx context.Context, address string, withdrawal entryvm.DemandReport) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	if _, err := q.node.config.Peers.EntryVMs.Demand(ctx, address, withdrawal); err != nil {
		q.node.config.Logger.Debug("withdrawal of demand not delivered", zap.String("address", address), zap.Error(err))
	}
}

// announceDemand updates the buckets and returns the report of the demand in this domain.
func (q *quotas) announceDemand(now time.Time, reachableFraction float64) entryvm.DemandReport {
	current := q.node.active.Load()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.announcedAt = now
	demand := make(map[string]float64)
	for i := range current.Contract.Workspaces {
		w := &current.Contract.Workspaces[i]
		if !w.Quota.IsLimited() {
			continue
		}
		bucket := q.buckets[w.Name]
		if bucket == nil {
			bucket = &leaseBucket{}
			q.buckets[w.Name] = bucket
		}
		q.updateBucket(now, w.Name, bucket, w.Quota)
		if rate := bucket.demand.Rate(now, demandWindow); rate >= 1 {
			demand[w.Name] = rate
		}
	}
	for name := range q.buckets {
		if current.workspaces.FindByName(name) == nil {
			delete(q.buckets, name)
		}
	}
	return q.newDemandReport(q.demandView.Announce(now, quota.Announcement{Demand: demand, ReachableFraction: reachableFraction}))
}

func (q *quotas) newDemandReport(sequence uint64, announcement quota.Announcement) entryvm.DemandReport {
	own := q.node.config
	report := entryvm.DemandReport{VM: own.VM, Domain: own.Domain, Incarnation: own.Incarnation, Sequence: sequence, ReachableFraction: announcement.ReachableFraction}
	for workspace, rate := range announcement.Demand {
		report.Demand = append(report.Demand, entryvm.WorkspaceDemand{Workspace: workspace, PerSecond: float32(rate)})
	}
	return report
}

func toProcess(report *entryvm.DemandReport) quota.Process {
	return quota.Process{VM: report.VM, Incarnation: report.Incarnation}
}

func toAnnouncement(report *entryvm.DemandReport) quota.Announcement {
	demand := make(map[string]float64, len(report.Demand))
	for _, d := range report.Demand {
		demand[d.Workspace] = float64(d.PerSecond)
	}
	return quota.Announcement{Demand: demand, ReachableFraction: report.ReachableFraction}
}

// Demand implements entryvm.Coordinator: it records or drops the demand of another domain
// and, on an allocator, returns that of its own.
func (n *Node) Demand(report entryvm.DemandReport) entryvm.DemandReport {
	q := n.quotas
	now := time.Now()
	selection := q.currentAllocators(now)
	q.mu.Lock()
	if report.Withdrawn {
		q.demandView.ReceiveWithdrawal(now, toProcess(&report), report.Sequence)
	} else {
		q.demandView.Receive(now, toProcess(&report), report.Domain, report.Sequence, toAnnouncement(&report))
	}
	q.updateBuckets(now)
	q.mu.Unlock()
	if !selection.isAllocator(n.config.Address) || !q.hasQuotas() {
		return entryvm.DemandReport{VM: n.config.VM, Domain: n.config.Domain, Incarnation: n.config.Incarnation}
	}
	return q.lastDemandReport()
}

// lastDemandReport returns the report that was announced last.
func (q *quotas) lastDemandReport() entryvm.DemandReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.newDemandReport(q.demandView.LastAnnouncement())
}
