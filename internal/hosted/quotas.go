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
	suspectFor = time.Second
	// creditWait is how long a request may wait for credit. It is the same for all: at a
	// workspace over its quota the debt stays where the longest wait ends, and whoever
	// waits for less would get nothing.
	creditWait = 50 * time.Millisecond
	// creditWaitStarting is the same for startingFor after this VM's start: the buckets
	// may have started with it, empty.
	creditWaitStarting = 200 * time.Millisecond
	startingFor        = 2 * time.Second
	// comeBackLeast is the least time after which a refused caller should come back.
	comeBackLeast = 100 * time.Millisecond
	// aheadReserve is the part of a bucket's burst that is not given out ahead of use.
	aheadReserve = 0.5
	// returnWithin is how long after its admission a request's credit may come back.
	returnWithin = time.Second
	// slackUsed is the part of the slack that adds to bursts; the rest is for requests that
	// cost more than what is left, one in each domain.
	slackUsed = 0.4
	// demandEvery is the time between two exchanges of demand with an allocator.
	demandEvery = 200 * time.Millisecond
	// borrowPause is how long other domains' allocators are not asked for a workspace's
	// credit after they had none, lendTimeout bounds the question.
	borrowPause = 200 * time.Millisecond
	lendTimeout = 60 * time.Millisecond
	// demandTimeout bounds an exchange of demand.
	demandTimeout = 400 * time.Millisecond
	// drawAllocatorsEvery is the least time between two draws of the allocators.
	drawAllocatorsEvery = 200 * time.Millisecond
	// demandWindow is the time constant of the demand that an allocator tells.
	demandWindow = time.Second
	// fallbackIdle is the pause after which even parts are gathered anew, from nothing.
	fallbackIdle = 2 * time.Second
)

// quotas are the quotas of workspaces as this VM spends and hands them out. It is safe
// for concurrent use.
type quotas struct {
	node  *Node
	usage *workspaceUsage

	mu       sync.Mutex
	wallets  map[string]*quota.LocalCredit
	buckets  map[string]*leaseBucket
	fallback map[string]*quota.Bucket
	// fallbackAt is when an even part was used last.
	fallbackAt time.Time
	division   *quota.DemandView
	// grantedAt is when credit was handed out last.
	grantedAt time.Time
	// suspects are the VMs that did not answer, by address, until when.
	suspects   map[string]time.Time
	allocators allocatorDraw
}

func newQuotas(n *Node) *quotas {
	return &quotas{node: n, usage: newWorkspaceUsage(), wallets: make(map[string]*quota.LocalCredit), buckets: make(map[string]*leaseBucket),
		fallback: make(map[string]*quota.Bucket), suspects: make(map[string]time.Time),
		division: quota.NewDemandView(n.config.Domain, n.config.Domains)}
}

// limited tells whether the configuration in force has a quota.
func (q *quotas) limited() bool {
	current := q.node.active.Load()
	return current != nil && current.hasQuotas
}

// quotaOf is the quota of a workspace by the configuration in force.
func (q *quotas) quotaOf(workspace string) (contract.Quota, bool) {
	current := q.node.active.Load()
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
type creditUse struct {
	workspace string
	cost      float64
	at        time.Time
}

// admit charges a request to its workspace's quota, or refuses it.
func (q *quotas) admit(ctx context.Context, r *caller.RelayRequest) (creditUse, error) {
	if r.Workspace == nil || !r.Workspace.Quota.Limited() {
		return creditUse{}, nil
	}
	now := time.Now()
	use := creditUse{workspace: r.Workspace.Name, cost: r.Workspace.Quota.Cost(r.Tokens, r.Counted), at: now}
	q.mu.Lock()
	wallet := q.wallet(use.workspace)
	longest := q.creditWait()
	if wallet.TrySpend(now, use.cost) {
		q.mu.Unlock()
		q.usage.admitted(use)
		return use, nil
	}
	if wait, blocked := wallet.BlockedFor(now, longest); blocked {
		wallet.RecordRefusal(now, use.cost, wait)
		q.mu.Unlock()
		return creditUse{}, q.refuse(r, use, wait, "its allocator has none")
	}
	args := entryvm.LeaseArgs{Workspace: use.workspace, Need: use.cost, MaxWait: longest, Ahead: wallet.PrefetchAmount(now), Refused: wallet.DrainRefused()}
	q.mu.Unlock()
	return q.spend(ctx, r, use, args)
}

// creditWait is how long a request may wait for credit now.
func (q *quotas) creditWait() time.Duration {
	if q.node.config.BootClock()-q.node.startedAt < startingFor {
		return creditWaitStarting
	}
	return creditWait
}

// spend asks for a request's credit and waits until it may be used.
func (q *quotas) spend(ctx context.Context, r *caller.RelayRequest, use creditUse, args entryvm.LeaseArgs) (creditUse, error) {
	reply, from, ok := q.lease(ctx, args)
	now := time.Now()
	if !ok {
		wait, covered := q.spendEvenPart(now, use)
		if !covered {
			return creditUse{}, q.refuse(r, use, wait, "no allocator answers")
		}
		q.usage.admitted(use)
		return use, nil
	}
	if reply.Credit < use.cost {
		q.mu.Lock()
		q.wallet(use.workspace).RecordRefusal(now, 0, reply.Wait)
		q.mu.Unlock()
		return creditUse{}, q.refuse(r, use, reply.Wait, "refused by "+from)
	}
	q.deposit(now, use.workspace, reply.Credit-use.cost)
	q.usage.admitted(use)
	if reply.Wait > 0 && !pause.For(ctx, reply.Wait) {
		q.giveBack(use)
		return creditUse{}, ctx.Err()
	}
	return use, nil
}

// refuse makes the refusal of a request over its workspace's quota.
func (q *quotas) refuse(r *caller.RelayRequest, use creditUse, wait time.Duration, why string) error {
	q.usage.refused(use)
	limit := r.Workspace.Quota
	return refusal.New(refusal.CodeRateLimited, max(wait, comeBackLeast), "workspace %s: %.0f %s are over its quota of %.0f a second (%s)",
		use.workspace, use.cost, limit.Unit, limit.PerSecond, why)
}

// giveBack returns the credit of a request that ran nowhere.
func (q *quotas) giveBack(use creditUse) {
	now := time.Now()
	if use.cost <= 0 || now.Sub(use.at) > returnWithin {
		return
	}
	q.deposit(now, use.workspace, use.cost)
	q.usage.returned(use)
}

func (q *quotas) deposit(now time.Time, workspace string, credit float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wallet(workspace).Deposit(now, credit)
}

// wallet is the workspace's. Call with mu held.
func (q *quotas) wallet(workspace string) *quota.LocalCredit {
	w := q.wallets[workspace]
	if w == nil {
		w = &quota.LocalCredit{}
		q.wallets[workspace] = w
	}
	return w
}

// leaseResult is what an allocator answered.
type leaseResult struct {
	reply entryvm.LeaseReply
	err   error
}

// lease asks the domain's allocators in turn; ok is false where none answers.
func (q *quotas) lease(ctx context.Context, args entryvm.LeaseArgs) (reply entryvm.LeaseReply, from string, ok bool) {
	for _, allocator := range q.draw(time.Now()).own {
		if allocator.address == q.node.config.Address {
			return q.grantOrBorrow(args), allocator.vm, true
		}
		if q.suspected(allocator.address) {
			continue
		}
		reply, err := q.ask(ctx, allocator.address, args, leaseTimeout)
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
func (q *quotas) ask(ctx context.Context, address string, args entryvm.LeaseArgs, timeout time.Duration) (entryvm.LeaseReply, error) {
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
			q.suspect(address)
		}
		return result.reply, result.err
	case <-ctx.Done():
		go q.keepLate(args.Workspace, answered)
		return entryvm.LeaseReply{}, ctx.Err()
	case <-timer.C:
		q.suspect(address)
		go q.keepLate(args.Workspace, answered)
		return entryvm.LeaseReply{}, context.DeadlineExceeded
	}
}

func (q *quotas) keepLate(workspace string, answered <-chan leaseResult) {
	if result := <-answered; result.err == nil {
		q.deposit(time.Now(), workspace, result.reply.Credit)
	}
}

func (q *quotas) suspect(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspects[address] = time.Now().Add(suspectFor)
	q.node.config.Logger.Info("quota allocator does not answer", zap.String("address", address))
}

func (q *quotas) suspected(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, known := q.suspects[address]
	if known && !time.Now().Before(until) {
		delete(q.suspects, address)
		return false
	}
	return known
}

// spendEvenPart charges a request to this VM's even part of its domain's.
func (q *quotas) spendEvenPart(now time.Time, use creditUse) (time.Duration, bool) {
	limit, known := q.quotaOf(use.workspace)
	if !known {
		return 0, true
	}
	draw := q.draw(now)
	part := 1 / float64(q.domains()*max(draw.known, draw.live))
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.fallbackAt) > fallbackIdle {
		clear(q.fallback)
	}
	q.fallbackAt = now
	bucket := q.fallback[use.workspace]
	if bucket == nil {
		bucket = &quota.Bucket{}
		q.fallback[use.workspace] = bucket
	}
	bucket.SetRate(now, part*limit.PerSecond, part*limit.Burst)
	if bucket.TakeIfCovered(now, use.cost) {
		return 0, true
	}
	return max(suspectFor, bucket.WaitTime(now)), false
}

// domains is the number of failure domains, as far as it is known.
func (q *quotas) domains() int { return max(q.node.config.Domains, 1) }
