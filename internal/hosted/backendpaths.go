package hosted

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/internal/crash"
	"bergamotreel/internal/telemetry"
	"bergamotreel/routing"
	"bergamotreel/routing/pathloss"
	"bergamotreel/service"
)

const (
	// gatewaysPerCheck is how many gateways are asked at once whether they reach a backend
	// server that has become unreachable; most of them may have lost their paths too.
	// gatewaysPerRecheck is the same after each failed probe of it.
	gatewaysPerCheck   = 3
	gatewaysPerRecheck = 1
	// maxCommonSilence is how long all backend servers with requests in flight may send nothing
	// until the paths to some of them are verified, again after suspectInterval at the earliest.
	maxCommonSilence = 400 * time.Millisecond
	suspectInterval  = time.Second
	// maxSuspects is how many backend servers are verified then: enough to tell lost paths from
	// the silence of a few.
	maxSuspects = 4
	// minPathsAge is how long paths must have been back before this VM keeps engines again.
	minPathsAge = 2 * time.Second
	// maxPendingPathChecks bounds the checks that wait to begin. Later ones are left to the
	// probes of unreachable backend servers.
	maxPendingPathChecks = 256
)

var (
	pathLossesTotal      = metrics.NewCounter(`bergamotreel_backend_path_losses_total`)
	indirectPathsTotal   = metrics.NewCounter(`bergamotreel_indirect_paths_total`)
	gatewayFailuresTotal = metrics.NewCounter(`bergamotreel_gateway_failures_total`)
)

// backendPaths finds paths to the backend servers that this VM doesn't reach directly, through
// other entry VMs that do. It is safe for concurrent use.
type backendPaths struct {
	node *Node
	// checks holds the backend servers to check, suspects those to verify first.
	checks, suspects chan string
	// hasRecords is whether any monitor has records. It avoids locking at each answer.
	hasRecords atomic.Bool

	mu sync.Mutex
	// monitors follow the direct paths, by service.
	monitors map[string]*pathloss.Monitor
	// checking holds the backend servers that are being checked.
	checking map[string]bool
	// gatewayFailedAt is when gateways last failed, by address.
	gatewayFailedAt map[string]time.Time
	// suspectedAt is when backend servers were last verified because all were silent.
	suspectedAt time.Time
	// lostAt is when this VM last had no paths to the engines of a pool, zero for never.
	lostAt time.Time
}

func newBackendPaths(n *Node) *backendPaths {
	return &backendPaths{node: n, checks: make(chan string, maxPendingPathChecks), suspects: make(chan string, maxPendingPathChecks), monitors: make(map[string]*pathloss.Monitor),
		checking: make(map[string]bool), gatewayFailedAt: make(map[string]time.Time)}
}

// run checks backend servers that have become unreachable until ctx ends.
func (p *backendPaths) run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case id := <-p.checks:
			checks.Go(func() { p.check(ctx, id, gatewaysPerCheck) })
		case id := <-p.suspects:
			checks.Go(func() { p.verify(ctx, id) })
		case <-ctx.Done():
			return
		}
	}
}

// suspect has the paths to some of the backend servers verified, of which none sends anything.
func (p *backendPaths) suspect(now time.Time, silent []string) {
	if len(silent) == 0 {
		return
	}
	p.mu.Lock()
	due := now.Sub(p.suspectedAt) >= suspectInterval
	if due {
		p.suspectedAt = now
	}
	p.mu.Unlock()
	if due {
		p.requestVerification(silent)
	}
}

// requestVerification has run verify the paths to some of the backend servers.
func (p *backendPaths) requestVerification(ids []string) {
	for _, id := range ids[:min(len(ids), maxSuspects)] {
		select {
		case p.suspects <- id:
		default:
		}
	}
}

// verify tries a direct connection to a backend server that counts as reachable, and looks for a
// gateway if there is none.
func (p *backendPaths) verify(ctx context.Context, id string) {
	b, listed := p.node.backends.get(id)
	if !listed || b.probeBackoff > 0 {
		return
	}
	err := p.node.tryConnect(ctx, service.Target{ID: id, Address: b.Address})
	if err == nil {
		p.recordDirectAnswer(id)
		return
	}
	if ctx.Err() == nil && p.node.backends.markUnreachable(time.Now(), id, errors.Is(err, service.ErrConnectionRefused)) {
		p.check(ctx, id, gatewaysPerCheck)
	}
}

// requestCheck has run check a backend server.
func (p *backendPaths) requestCheck(id string) {
	select {
	case p.checks <- id:
	default:
	}
}

// check finds out whether gateways reach a backend server that this VM doesn't reach, and
// records the result. It asks as many gateways as given.
func (p *backendPaths) check(ctx context.Context, id string, gateways int) {
	b, listed := p.node.backends.get(id)
	if !listed || !p.beginCheck(id) {
		return
	}
	defer p.endCheck(id)
	gateway := p.askGateways(ctx, service.Target{ID: id, Address: b.Address}, gateways).gateway
	reached := gateway != ""
	if ctx.Err() != nil {
		return
	}
	changed, unreachable := p.node.backends.setIndirect(id, reached)
	if !unreachable {
		return // it has been reached directly meanwhile
	}
	if reached {
		p.recordLostPath(&b)
	}
	if changed {
		p.recordChange(&b, gateway, reached)
	}
}

func (p *backendPaths) beginCheck(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checking[id] {
		return false
	}
	p.checking[id] = true
	return true
}

func (p *backendPaths) endCheck(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.checking, id)
}

// recordChange logs the result of a check and wakes what depends on it.
func (p *backendPaths) recordChange(b *backend, gateway string, reached bool) {
	if reached {
		indirectPathsTotal.Inc()
		p.forgiveFailures(b.refused, b.ID)
		p.node.config.Logger.Info("backend server reached through a gateway", zap.String("backend", b.ID), zap.String("gateway", gateway))
	} else {
		p.node.config.Logger.Info("backend server reached through no gateway", zap.String("backend", b.ID))
	}
	p.node.handleBackendChanges()
}

// forgiveFailures drops what the router counts against backend servers: the path failed, not
// they. Unless connections were refused, open ones are dead too, and so are the requests on
// them.
func (p *backendPaths) forgiveFailures(refused bool, ids ...string) {
	if !refused {
		for _, id := range ids {
			p.node.serving.DropInFlight(id)
		}
	}
	p.node.serving.WithLockedState(func(_ *admission.Controller, router *routing.Router) {
		for _, id := range ids {
			router.ForgiveFailures(id)
		}
	})
}

// probeProcess finds out whether a backend server's process has ended: its address refuses
// connections, and no other VM reaches it. The network may also refuse connections of a VM whose
// paths are lost, so such a VM relies on gateways alone. Other VMs ask gateways about an address
// that doesn't answer only if askIfSilent is set.
func (p *backendPaths) probeProcess(ctx context.Context, b *crash.Server, askIfSilent bool) crash.ProcessState {
	target := service.Target{ID: b.ID, Address: b.Address}
	refused := false
	if !p.areLostTo(b.Service) {
		err := p.node.tryConnect(ctx, target)
		if err == nil {
			return crash.ProcessRuns
		}
		refused = errors.Is(err, service.ErrConnectionRefused)
		if !refused && !askIfSilent {
			return crash.ProcessUnknown
		}
	}
	answers := p.askGateways(ctx, target, gatewaysPerCheck)
	switch {
	case answers.gateway != "":
		return crash.ProcessRuns
	case answers.refused, refused && !p.areLostTo(b.Service):
		return crash.ProcessEnded
	default:
		return crash.ProcessUnknown
	}
}

// markUnreachable records that a connection to a target could not be established. If it was
// direct, a gateway is looked for; otherwise another one.
func (p *backendPaths) markUnreachable(now time.Time, target service.Target, cause error) {
	if target.Gateway == "" {
		if p.node.backends.markUnreachable(now, target.ID, errors.Is(cause, service.ErrConnectionRefused)) {
			p.requestCheck(target.ID)
		}
		return
	}
	p.recordGatewayResult(now, target.Gateway, cause)
	p.node.config.Logger.Info("gateway failed", zap.String("gateway", target.Gateway), zap.String("backend", target.ID), telemetry.Reason(cause))
	if errors.Is(cause, entryvm.ErrBackendUnreachable) {
		p.requestCheck(target.ID)
	}
}

// recordDirectAnswer records that a backend server answered this VM directly.
func (p *backendPaths) recordDirectAnswer(id string) {
	if !p.hasRecords.Load() {
		return
	}
	b, listed := p.node.backends.get(id)
	if !listed {
		return
	}
	p.mu.Lock()
	monitor := p.monitors[b.Service]
	wasLost := monitor != nil && monitor.RecordDirectAnswer()
	p.updateHasRecords()
	p.mu.Unlock()
	if wasLost {
		p.node.config.Logger.Warn("paths to backend servers are back", zap.String("service", b.Service))
		p.node.backends.probeSoon(time.Now(), b.Service)
	}
}

// recordLostPath records that gateways reach a backend server which this VM doesn't reach. Once
// the paths to the whole service count as lost, its other backend servers are reached through
// gateways too, unless a probe of their own succeeds.
func (p *backendPaths) recordLostPath(b *backend) {
	serviceName := b.Service
	p.mu.Lock()
	monitor := p.monitors[serviceName]
	if monitor == nil {
		monitor = &pathloss.Monitor{}
		p.monitors[serviceName] = monitor
	}
	nowLost := monitor.RecordLostPath(b.ID, p.node.backends.countService(serviceName))
	p.updateHasRecords()
	p.mu.Unlock()
	if nowLost {
		p.beginLoss(serviceName, b.refused)
	}
}

// beginLoss has the backend servers of a service reached through gateways, as the paths to them
// count as lost from now on.
func (p *backendPaths) beginLoss(serviceName string, refused bool) {
	others := p.node.backends.assumeIndirect(time.Now(), serviceName, refused, func(other *backend) bool { return !other.isIndirect() })
	pathLossesTotal.Inc()
	p.forgiveFailures(refused, others...)
	p.node.config.Logger.Warn("paths to backend servers lost", zap.String("service", serviceName), zap.Int("assumed", len(others)))
	p.node.members.notifyAll()
	p.requestVerification(p.node.backends.sampleOtherServices(serviceName))
}

// handleListChange has backend servers that were listed after the paths to their service were
// lost reached through gateways too, and drops the state of services without any.
func (p *backendPaths) handleListChange(now time.Time) {
	if !p.hasRecords.Load() {
		return
	}
	for _, serviceName := range p.recountLosses(now) {
		p.beginLoss(serviceName, true)
	}
}

// recountLosses applies a change of the list to the services' monitors. It returns the services to
// which the paths count as lost from now on.
func (p *backendPaths) recountLosses(now time.Time) (nowLost []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for serviceName, monitor := range p.monitors {
		listed := p.node.backends.countService(serviceName)
		switch {
		case listed == 0:
			delete(p.monitors, serviceName)
		case monitor.IsLost():
			p.node.backends.assumeIndirect(now, serviceName, true, (*backend).isDirect)
		case monitor.Recount(listed):
			nowLost = append(nowLost, serviceName)
		}
	}
	p.updateHasRecords()
	return nowLost
}

// updateHasRecords updates hasRecords. Call with mu held.
func (p *backendPaths) updateHasRecords() {
	has := false
	for _, monitor := range p.monitors {
		has = has || monitor.HasRecords()
	}
	p.hasRecords.Store(has)
}

// areLostTo reports whether this VM has lost its paths to the backend servers of a service.
func (p *backendPaths) areLostTo(serviceName string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	monitor := p.monitors[serviceName]
	return monitor != nil && monitor.IsLost()
}

// canOrder reports whether this VM has paths to the engines that it may have to order, and has
// had them for minPathsAge: engines change hands slowly.
func (p *backendPaths) canOrder(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for serviceName, monitor := range p.monitors {
		if monitor.IsLost() && p.node.findPool(serviceName) != nil {
			p.lostAt = now
		}
	}
	return p.lostAt.IsZero() || now.Sub(p.lostAt) >= minPathsAge
}

// areLost reports whether this VM has lost its paths to the backend servers of any service.
func (p *backendPaths) areLost() bool {
	if !p.hasRecords.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, monitor := range p.monitors {
		if monitor.IsLost() {
			return true
		}
	}
	return false
}
