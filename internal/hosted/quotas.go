package hosted

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/quota"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/refusal"
)

// In each failure domain one VM, the allocator, grants credit for the quotas of workspaces;
// the others ask it (package quota makes the decisions). The VM selected second grants
// credit in its place if it can't reach the allocator either. A VM that reaches neither
// spends an even share of its domain's part of the quota.

const (
	// allocatorsPerDomain is how many VMs of a failure domain are asked for credit, one
	// after the other.
	allocatorsPerDomain = 2
	// leaseTimeout is how long a request waits for the allocator's answer, forwardTimeout
	// how long the VM selected second waits for it.
	leaseTimeout   = 150 * time.Millisecond
	forwardTimeout = 80 * time.Millisecond
	// unresponsiveTTL is how long an allocator that did not answer is not asked.
	unresponsiveTTL = time.Second
	// maxCreditWait is how long a request may wait for credit. All requests share one limit:
	// in an overloaded workspace the debt stays at the largest allowed wait, so a request
	// with a shorter limit would never get credit.
	maxCreditWait = 50 * time.Millisecond
	// maxStartupCreditWait is the same during startupPeriod after this VM's start: the
	// buckets may have started at the same time, empty.
	maxStartupCreditWait = 200 * time.Millisecond
	startupPeriod        = 2 * time.Second
	// minStartupReach is the fraction of its domain's VMs that a VM which has just started must reach
	// before it asks for credit: fewer grant only a part of it. startupPollInterval is the interval at
	// which it checks that.
	minStartupReach     = 0.75
	startupPollInterval = 20 * time.Millisecond
	// minRetryAfter is the minimum time after which a refused caller should retry.
	minRetryAfter = 100 * time.Millisecond
	// prefetchReserve is the share of a bucket's burst that is not granted ahead of use.
	prefetchReserve = 0.5
	// maxReturnAge is how long after its admission a request's credit may be returned.
	maxReturnAge = time.Second
	// burstSlackShare is the part of QuotaSlack added to bursts. The rest covers, in each
	// domain, one request that costs more than the remaining credit.
	burstSlackShare = 0.4
	// demandInterval is the time between two exchanges of demand with an allocator.
	demandInterval = 200 * time.Millisecond
	// borrowBackoff is how long the allocators of other domains are not asked for a
	// workspace's credit after they had none, lendTimeout bounds the call.
	borrowBackoff = 200 * time.Millisecond
	lendTimeout   = 60 * time.Millisecond
	// demandTimeout bounds an exchange of demand.
	demandTimeout = 400 * time.Millisecond
	// withdrawalSpan is how long a VM that is no allocator any more withdraws its demand.
	// After that it counts as unreachable.
	withdrawalSpan = time.Second
	// allocatorSelectionInterval is the minimum time between two selections of the allocators.
	allocatorSelectionInterval = 200 * time.Millisecond
	// startupSelectionInterval is the same during startupPeriod after this VM's start. A VM
	// that knows no others yet takes itself for the allocator, and grants from a bucket of
	// its own until it selects again.
	startupSelectionInterval = 10 * time.Millisecond
	// demandWindow is the time constant of the demand that an allocator reports.
	demandWindow = time.Second
	// quotaIdleTTL is how long the buckets of even shares are kept after the last use of
	// one, and the buckets of a VM that is no allocator after its last grant. New ones start
	// empty, so dropping one early refuses requests that it would have covered.
	quotaIdleTTL = 2 * time.Second
)

// quotas charges requests to the quotas of their workspaces and, on an allocator, grants
// credit to other VMs. It is safe for concurrent use.
type quotas struct {
	node  *Node
	usage *workspaceUsage

	mu              sync.Mutex
	localCredits    map[string]*quota.LocalCredit
	returns         map[string]*quota.ReturnSchedule
	buckets         map[string]*leaseBucket
	fallbackBuckets map[string]*quota.Bucket
	// fallbackUsedAt is when an even share was last used.
	fallbackUsedAt time.Time
	demandView     *quota.DemandView
	// grantedAt is when credit was last granted, announcedAt when demand was last announced.
	grantedAt, announcedAt time.Time
	// unresponsiveUntil holds, by address, until when VMs that did not answer are not asked.
	unresponsiveUntil map[string]time.Time
	allocators        allocatorSelection
}

func newQuotas(n *Node) *quotas {
	return &quotas{node: n, usage: newWorkspaceUsage(), localCredits: make(map[string]*quota.LocalCredit), returns: make(map[string]*quota.ReturnSchedule), buckets: make(map[string]*leaseBucket),
		fallbackBuckets: make(map[string]*quota.Bucket), unresponsiveUntil: make(map[string]time.Time),
		demandView: quota.NewDemandView(n.config.Domain, n.config.Domains)}
}

// hasQuotas reports whether the configuration in force has a quota.
func (q *quotas) hasQuotas() bool {
	current := q.node.active.Load()
	return current != nil && current.hasQuotas
}

// lookupQuota returns a workspace's quota in the configuration in force; false if it has
// none.
func (q *quotas) lookupQuota(workspace string) (contract.Quota, bool) {
	current := q.node.active.Load()
	if current == nil {
		return contract.Quota{}, false
	}
	w := current.workspaces.FindByName(workspace)
	if w == nil || !w.Quota.IsLimited() {
		return contract.Quota{}, false
	}
	return w.Quota, true
}

// creditCharge is what a request was charged.
type creditCharge struct {
	workspace string
	cost      float64
	chargedAt time.Time
}

// admit charges a request to its workspace's quota, or refuses it.
func (q *quotas) admit(ctx context.Context, r *caller.RelayRequest) (creditCharge, error) {
	if r.Workspace == nil || !r.Workspace.Quota.IsLimited() {
		return creditCharge{}, nil
	}
	now := time.Now()
	charge := creditCharge{workspace: r.Workspace.Name, cost: r.Workspace.Quota.Cost(r.Tokens, r.HasTokens), chargedAt: now}
	q.mu.Lock()
	credit := q.localCredit(charge.workspace)
	prefetch := credit.PrefetchAmount(now)
	maxWait := q.currentMaxCreditWait()
	if credit.TrySpend(now, charge.cost) {
		q.mu.Unlock()
		q.recordAdmitted(now, charge)
		return charge, nil
	}
	if wait, blocked := credit.BlockedFor(now, maxWait); blocked {
		credit.RecordRefusal(now, charge.cost, wait)
		q.mu.Unlock()
		return creditCharge{}, q.newQuotaRefusal(r, charge, wait, "its allocator has none")
	}
	args := entryvm.LeaseArgs{Workspace: charge.workspace, Need: charge.cost, MaxWait: maxWait, Prefetch: prefetch, Refused: credit.DrainRefused()}
	q.mu.Unlock()
	return q.leaseAndSpend(ctx, r, charge, args)
}

// isStarting reports whether this VM has started within startupPeriod.
func (q *quotas) isStarting() bool {
	return q.node.config.BootClock()-q.node.startedAt < startupPeriod
}

// currentMaxCreditWait returns how long a request may wait for credit now.
func (q *quotas) currentMaxCreditWait() time.Duration {
	if q.isStarting() {
		return maxStartupCreditWait
	}
	return maxCreditWait
}

// leaseAndSpend requests credit for a request and waits until the credit may be used.
func (q *quotas) leaseAndSpend(ctx context.Context, r *caller.RelayRequest, charge creditCharge, args entryvm.LeaseArgs) (creditCharge, error) {
	reply, from, ok := q.requestFirstLease(ctx, r, args)
	now := time.Now()
	if !ok {
		wait, covered := q.spendEvenShare(now, charge)
		if !covered {
			return creditCharge{}, q.newQuotaRefusal(r, charge, wait, "no allocator answers")
		}
		q.recordAdmitted(now, charge)
		return charge, nil
	}
	if reply.Credit < charge.cost {
		q.mu.Lock()
		q.localCredit(charge.workspace).RecordRefusal(now, 0, reply.Wait)
		q.mu.Unlock()
		return creditCharge{}, q.newQuotaRefusal(r, charge, reply.Wait, "refused by "+from)
	}
	q.deposit(now, charge.workspace, reply.Credit-charge.cost)
	q.recordAdmitted(now, charge)
	if reply.Wait > 0 && !pause.For(ctx, reply.Wait) {
		q.returnCredit(charge)
		return creditCharge{}, ctx.Err()
	}
	return charge, nil
}

// requestFirstLease is requestLease for a VM that may have just started. Its request waits until the VM
// has met most of its domain, and for credit if buckets that began empty will have it in time.
func (q *quotas) requestFirstLease(ctx context.Context, r *caller.RelayRequest, args entryvm.LeaseArgs) (reply entryvm.LeaseReply, from string, ok bool) {
	for q.canWaitToStart(r, startupPollInterval) && q.currentAllocators(time.Now()).vms.reachableFraction() < minStartupReach {
		if !pause.For(ctx, startupPollInterval) {
			return entryvm.LeaseReply{}, "", false
		}
	}
	for {
		reply, from, ok = q.requestLease(ctx, args)
		if !ok || reply.Credit >= args.Need || !q.canWaitToStart(r, reply.Wait) || !pause.For(ctx, max(reply.Wait, startupPollInterval)) {
			return reply, from, ok
		}
	}
}

// canWaitToStart reports whether a request may wait for some time because this VM has just started.
func (q *quotas) canWaitToStart(r *caller.RelayRequest, wait time.Duration) bool {
	inStartup := q.node.config.BootClock()-q.node.startedAt+wait < startupPeriod
	return inStartup && (r.BeginDeadline.IsZero() || time.Until(r.BeginDeadline) > wait)
}

// newQuotaRefusal counts and returns the refusal of a request over its workspace's quota.
func (q *quotas) newQuotaRefusal(r *caller.RelayRequest, charge creditCharge, wait time.Duration, reason string) error {
	q.usage.refused(charge)
	limit := r.Workspace.Quota
	retryAfter := max(wait, minRetryAfter)
	if q.node.config.Load.SpreadReturns {
		now := time.Now()
		q.mu.Lock()
		retryAfter = q.returnSchedule(charge.workspace).Delay(now, charge.cost, retryAfter, r.AnswerDeadline.Sub(now))
		q.mu.Unlock()
	}
	return refusal.New(refusal.CodeRateLimited, retryAfter, "workspace %s: %.0f %s are over its quota of %.0f a second (%s)",
		charge.workspace, charge.cost, limit.Unit, limit.PerSecond, reason)
}

// recordAdmitted records a request that was charged.
func (q *quotas) recordAdmitted(now time.Time, charge creditCharge) {
	q.usage.admitted(charge)
	if q.node.config.Load.SpreadReturns {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.returnSchedule(charge.workspace).RecordAdmitted(now, charge.cost)
	}
}

// returnSchedule returns the schedule of a workspace's returns. Call with mu held.
func (q *quotas) returnSchedule(workspace string) *quota.ReturnSchedule {
	schedule := q.returns[workspace]
	if schedule == nil {
		schedule = &quota.ReturnSchedule{}
		q.returns[workspace] = schedule
	}
	return schedule
}

// returnCredit returns the credit of a request that did not run.
func (q *quotas) returnCredit(charge creditCharge) {
	now := time.Now()
	if charge.cost <= 0 || now.Sub(charge.chargedAt) > maxReturnAge {
		return
	}
	q.deposit(now, charge.workspace, charge.cost)
	q.usage.returned(charge)
}

func (q *quotas) deposit(now time.Time, workspace string, credit float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.localCredit(workspace).Deposit(now, credit)
}

// localCredit returns the workspace's local credit. Call with mu held.
func (q *quotas) localCredit(workspace string) *quota.LocalCredit {
	credit := q.localCredits[workspace]
	if credit == nil {
		credit = &quota.LocalCredit{}
		q.localCredits[workspace] = credit
	}
	return credit
}

// leaseResult is an allocator's answer.
type leaseResult struct {
	reply entryvm.LeaseReply
	err   error
}

// requestLease asks the domain's allocators one after the other; ok is false if none
// answers.
func (q *quotas) requestLease(ctx context.Context, args entryvm.LeaseArgs) (reply entryvm.LeaseReply, from string, ok bool) {
	for _, allocator := range q.currentAllocators(time.Now()).ownDomain {
		if allocator.address == q.node.config.Address {
			return q.grantOrBorrow(args), allocator.vm, true
		}
		if q.isUnresponsive(allocator.address) {
			continue
		}
		reply, err := q.leaseFrom(ctx, allocator.address, args, leaseTimeout)
		if err == nil && !reply.Unknown {
			return reply, allocator.vm, true
		}
		if ctx.Err() != nil {
			return entryvm.LeaseReply{}, "", false
		}
	}
	return entryvm.LeaseReply{}, "", false
}

// leaseFrom asks one VM for credit. Credit that arrives after the timeout is kept for later
// requests, since the VM's bucket has been charged for it.
func (q *quotas) leaseFrom(ctx context.Context, address string, args entryvm.LeaseArgs, timeout time.Duration) (entryvm.LeaseReply, error) {
	answered := make(chan leaseResult, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		reply, err := q.node.config.Peers.EntryVMs.Lease(callCtx, address, args)
		answered <- leaseResult{reply, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-answered:
		if result.err != nil {
			q.markUnresponsive(address)
		}
		return result.reply, result.err
	case <-ctx.Done():
		go q.depositLateLease(args.Workspace, answered)
		return entryvm.LeaseReply{}, ctx.Err()
	case <-timer.C:
		q.markUnresponsive(address)
		go q.depositLateLease(args.Workspace, answered)
		return entryvm.LeaseReply{}, context.DeadlineExceeded
	}
}

func (q *quotas) depositLateLease(workspace string, answered <-chan leaseResult) {
	if result := <-answered; result.err == nil {
		q.deposit(time.Now(), workspace, result.reply.Credit)
	}
}

func (q *quotas) markUnresponsive(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unresponsiveUntil[address] = time.Now().Add(unresponsiveTTL)
	q.node.config.Logger.Info("quota allocator does not answer", zap.String("address", address))
}

func (q *quotas) isUnresponsive(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, known := q.unresponsiveUntil[address]
	if known && !time.Now().Before(until) {
		delete(q.unresponsiveUntil, address)
		return false
	}
	return known
}

// spendEvenShare charges a request to this VM's even share of its domain's part of the
// quota. It reports whether the share covers the cost and, if not, when to retry.
func (q *quotas) spendEvenShare(now time.Time, charge creditCharge) (time.Duration, bool) {
	limit, known := q.lookupQuota(charge.workspace)
	if !known {
		return 0, true
	}
	selection := q.currentAllocators(now)
	share := 1 / float64(q.domainCount()*max(selection.vms.known, selection.vms.live))
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.fallbackUsedAt) > quotaIdleTTL {
		clear(q.fallbackBuckets)
	}
	q.fallbackUsedAt = now
	bucket := q.fallbackBuckets[charge.workspace]
	if bucket == nil {
		bucket = &quota.Bucket{}
		q.fallbackBuckets[charge.workspace] = bucket
	}
	bucket.SetRate(now, share*limit.PerSecond, share*limit.Burst)
	if bucket.TakeIfCovered(now, charge.cost) {
		return 0, true
	}
	return max(unresponsiveTTL, bucket.WaitTime(now)), false
}

// domainCount returns the number of failure domains, 1 if it is unknown.
func (q *quotas) domainCount() int { return max(q.node.config.Domains, 1) }
