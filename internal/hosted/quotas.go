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

// In each failure domain one VM, the allocator, hands out credit for the quotas of
// workspaces; the others ask it (package quota has the decisions). The one drawn next
// stands in where it can't reach the allocator itself. A VM that reaches neither goes by
// its even part of its domain's.

const (
	// allocatorsPerDomain is how many VMs of a failure domain are asked for credit in turn.
	allocatorsPerDomain = 2
	// leaseTimeout is how long a request waits for the allocator's answer, forwardTimeout
	// how long the VM that stands in does.
	leaseTimeout   = 150 * time.Millisecond
	forwardTimeout = 80 * time.Millisecond
	// suspectFor is how long a VM is not asked after it did not answer.
	suspectTTL = time.Second
	// creditWait is how long a request may wait for credit. It is the same for all: at a
	// workspace over its quota the debt stays where the longest wait ends, and whoever
	// waits for less would get nothing.
	maxCreditWait = 50 * time.Millisecond
	// creditWaitStarting is the same for startingFor after this VM's start: the buckets
	// may have started with it, empty.
	maxStartupCreditWait = 200 * time.Millisecond
	startupPeriod        = 2 * time.Second
	// comeBackLeast is the least time after which a refused caller should come back.
	minRetryAfter = 100 * time.Millisecond
	// aheadReserve is the part of a bucket's burst that is not given out ahead of use.
	prefetchReserve = 0.5
	// returnWithin is how long after its admission a request's credit may come back.
	maxReturnAge = time.Second
	// slackUsed is the part of the slack that adds to bursts; the rest is for requests that
	// cost more than what is left, one in each domain.
	burstSlackShare = 0.4
	// demandEvery is the time between two exchanges of demand with an allocator.
	demandInterval = 200 * time.Millisecond
	// borrowPause is how long other domains' allocators are not asked for a workspace's
	// credit after they had none, lendTimeout bounds the question.
	borrowBackoff = 200 * time.Millisecond
	lendTimeout   = 60 * time.Millisecond
	// demandTimeout bounds an exchange of demand.
	demandTimeout = 400 * time.Millisecond
	// drawAllocatorsEvery is the least time between two draws of the allocators.
	allocatorDrawInterval = 200 * time.Millisecond
	// demandWindow is the time constant of the demand that an allocator tells.
	demandWindow = time.Second
	// fallbackIdle is the pause after which even parts are gathered anew, from nothing.
	quotaIdleTTL = 2 * time.Second
)

// quotas are the quotas of workspaces as this VM spends and hands them out. It is safe
// for concurrent use.
type quotas struct {
	node  *Node
	usage *workspaceUsage

	mu              sync.Mutex
	localCredits    map[string]*quota.LocalCredit
	buckets         map[string]*leaseBucket
	fallbackBuckets map[string]*quota.Bucket
	// fallbackAt is when an even part was used last.
	fallbackUsedAt time.Time
	demandView     *quota.DemandView
	// grantedAt is when credit was handed out last.
	grantedAt time.Time
	// suspects are the VMs that did not answer, by address, until when.
	suspectUntil map[string]time.Time
	allocators   allocatorDraw
}

func newQuotas(n *Node) *quotas {
	return &quotas{node: n, usage: newWorkspaceUsage(), localCredits: make(map[string]*quota.LocalCredit), buckets: make(map[string]*leaseBucket),
		fallbackBuckets: make(map[string]*quota.Bucket), suspectUntil: make(map[string]time.Time),
		demandView: quota.NewDemandView(n.config.Domain, n.config.Domains)}
}

// limited tells whether the configuration in force has a quota.
func (q *quotas) hasQuotas() bool {
	current := q.node.inForce.Load()
	return current != nil && current.limited
}

// quotaOf is the quota of a workspace by the configuration in force.
func (q *quotas) lookupQuota(workspace string) (contract.Quota, bool) {
	current := q.node.inForce.Load()
	if current == nil {
		return contract.Quota{}, false
	}
	w := current.workspaces.Find(workspace)
	if w == nil || !w.Quota.Limited() {
		return contract.Quota{}, false
	}
	return w.Quota, true
}

// creditUse is what a request was charged.
type creditCharge struct {
	workspace string
	cost      float64
	chargedAt time.Time
}

// admit charges a request to its workspace's quota, or refuses it.
func (q *quotas) admit(ctx context.Context, r *caller.RelayRequest) (creditCharge, error) {
	if r.Workspace == nil || !r.Workspace.Quota.Limited() {
		return creditCharge{}, nil
	}
	now := time.Now()
	charge := creditCharge{workspace: r.Workspace.Name, cost: r.Workspace.Quota.Cost(r.Tokens, r.Counted), chargedAt: now}
	q.mu.Lock()
	credit := q.localCredit(charge.workspace)
	maxWait := q.currentMaxCreditWait()
	if credit.TrySpend(now, charge.cost) {
		q.mu.Unlock()
		q.usage.admitted(charge)
		return charge, nil
	}
	if wait, blocked := credit.BlockedFor(now, maxWait); blocked {
		credit.RecordRefusal(now, charge.cost, wait)
		q.mu.Unlock()
		return creditCharge{}, q.newQuotaRefusal(r, charge, wait, "its allocator has none")
	}
	args := entryvm.LeaseArgs{Workspace: charge.workspace, Need: charge.cost, MaxWait: maxWait, Ahead: credit.PrefetchAmount(now), Refused: credit.DrainRefused()}
	q.mu.Unlock()
	return q.leaseAndSpend(ctx, r, charge, args)
}

// creditWait is how long a request may wait for credit now.
func (q *quotas) currentMaxCreditWait() time.Duration {
	if q.node.config.Boot()-q.node.started < startupPeriod {
		return maxStartupCreditWait
	}
	return maxCreditWait
}

// spend asks for a request's credit and waits until it may be used.
func (q *quotas) leaseAndSpend(ctx context.Context, r *caller.RelayRequest, charge creditCharge, args entryvm.LeaseArgs) (creditCharge, error) {
	reply, from, ok := q.requestLease(ctx, args)
	now := time.Now()
	if !ok {
		wait, covered := q.spendEvenShare(now, charge)
		if !covered {
			return creditCharge{}, q.newQuotaRefusal(r, charge, wait, "no allocator answers")
		}
		q.usage.admitted(charge)
		return charge, nil
	}
	if reply.Credit < charge.cost {
		q.mu.Lock()
		q.localCredit(charge.workspace).RecordRefusal(now, 0, reply.Wait)
		q.mu.Unlock()
		return creditCharge{}, q.newQuotaRefusal(r, charge, reply.Wait, "refused by "+from)
	}
	q.deposit(now, charge.workspace, reply.Credit-charge.cost)
	q.usage.admitted(charge)
	if reply.Wait > 0 && !pause.For(ctx, reply.Wait) {
		q.returnCredit(charge)
		return creditCharge{}, ctx.Err()
	}
	return charge, nil
}

// refuse makes the refusal of a request over its workspace's quota.
func (q *quotas) newQuotaRefusal(r *caller.RelayRequest, charge creditCharge, wait time.Duration, reason string) error {
	q.usage.refused(charge)
	limit := r.Workspace.Quota
	return refusal.New(refusal.CodeRateLimited, max(wait, minRetryAfter), "workspace %s: %.0f %s are over its quota of %.0f a second (%s)",
		charge.workspace, charge.cost, limit.Unit, limit.PerSecond, reason)
}

// giveBack returns the credit of a request that ran nowhere.
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

// wallet is the workspace's. Call with mu held.
func (q *quotas) localCredit(workspace string) *quota.LocalCredit {
	w := q.localCredits[workspace]
	if w == nil {
		w = &quota.LocalCredit{}
		q.localCredits[workspace] = w
	}
	return w
}

// leaseResult is what an allocator answered.
type leaseResult struct {
	reply entryvm.LeaseReply
	err   error
}

// lease asks the domain's allocators in turn; ok is false where none answers.
func (q *quotas) requestLease(ctx context.Context, args entryvm.LeaseArgs) (reply entryvm.LeaseReply, from string, ok bool) {
	for _, allocator := range q.currentAllocators(time.Now()).ownDomain {
		if allocator.address == q.node.config.Address {
			return q.grantOrBorrow(args), allocator.vm, true
		}
		if q.isSuspect(allocator.address) {
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

// ask asks one VM. What it grants after the time-out is kept for later requests: it has
// been charged there.
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
			q.markSuspect(address)
		}
		return result.reply, result.err
	case <-ctx.Done():
		go q.depositLateLease(args.Workspace, answered)
		return entryvm.LeaseReply{}, ctx.Err()
	case <-timer.C:
		q.markSuspect(address)
		go q.depositLateLease(args.Workspace, answered)
		return entryvm.LeaseReply{}, context.DeadlineExceeded
	}
}

func (q *quotas) depositLateLease(workspace string, answered <-chan leaseResult) {
	if result := <-answered; result.err == nil {
		q.deposit(time.Now(), workspace, result.reply.Credit)
	}
}

func (q *quotas) markSuspect(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspectUntil[address] = time.Now().Add(suspectTTL)
	q.node.config.Logger.Info("quota allocator does not answer", zap.String("address", address))
}

func (q *quotas) isSuspect(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, known := q.suspectUntil[address]
	if known && !time.Now().Before(until) {
		delete(q.suspectUntil, address)
		return false
	}
	return known
}

// spendEvenPart charges a request to this VM's even part of its domain's.
func (q *quotas) spendEvenShare(now time.Time, charge creditCharge) (time.Duration, bool) {
	limit, known := q.lookupQuota(charge.workspace)
	if !known {
		return 0, true
	}
	draw := q.currentAllocators(now)
	share := 1 / float64(q.domainCount()*max(draw.knownVMs, draw.liveVMs))
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
	return max(suspectTTL, bucket.WaitTime(now)), false
}

// domains is the number of failure domains, as far as it is known.
func (q *quotas) domainCount() int { return max(q.node.config.Domains, 1) }
