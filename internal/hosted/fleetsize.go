package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/fleetsize"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

const (
	// fleetSizeInterval is the time between two counts of the VMs that this VM has seen.
	fleetSizeInterval = 500 * time.Millisecond
	// recordStartSpread spreads the first records of VMs that start together.
	recordStartSpread = 400 * time.Millisecond
	// recordRetryInterval is the pause after a call on records that failed.
	recordRetryInterval = 2 * time.Second
	// youngReadInterval is the time between two reads of the records during youngPeriod after
	// this VM's start, when others may be starting as well.
	youngReadInterval = 4 * time.Second
	youngPeriod       = 20 * time.Second
)

// fleetSize counts the entry VMs that share the bounds on the whole fleet: those that this VM has
// seen, and those that have a record in the registry. It renews this VM's record. It is safe for
// concurrent use.
type fleetSize struct {
	node *Node

	mu   sync.Mutex
	size fleetsize.Size
	// loggedSlack is the part of the retry slack that was logged last.
	loggedSlack float64

	// The fields below are used by run only.
	records fleetsize.Records
	// renewals counts the renewals of this VM's record, the next of which is due at renewAt.
	renewals uint64
	renewAt  time.Duration
	// readAt is the earliest time of the next read of the records.
	readAt time.Duration
}

func newFleetSize(n *Node) *fleetSize { return &fleetSize{node: n} }

// count returns the numbers by which to divide a bound on the fleet; see fleetsize.Size.Count.
func (f *fleetSize) count() (fleetsize.Count, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, ok := f.size.Count(f.node.config.Domain)
	count.Domains = max(count.Domains, f.node.config.Domains)
	return count, ok
}

// isStale is fleetsize.Size.IsStale.
func (f *fleetSize) isStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size.IsStale(f.now())
}

// renewed returns the numbers of VMs that renew their records, nil if they are unknown.
func (f *fleetSize) renewed() fleetsize.VMCounts { return f.recorded().Renewed }

// recorded returns the numbers of recorded VMs, without counts if they are unknown.
func (f *fleetSize) recorded() fleetsize.Recorded {
	f.mu.Lock()
	defer f.mu.Unlock()
	recorded, _ := f.size.Recorded()
	return recorded
}

// unseen returns how many VMs of a failure domain renew a record and were not seen by this VM, 0 if it
// has no count from the registry.
func (f *fleetSize) unseen(domain string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size.Unseen(domain)
}

// run counts the fleet until ctx ends.
func (f *fleetSize) run(ctx context.Context) {
	if !pause.For(ctx, f.node.jitter(0, recordStartSpread)) {
		return
	}
	pause.Every(ctx, fleetSizeInterval, func(ctx context.Context) {
		f.observe(func() { f.size.ObserveSeen(f.now(), f.node.members.countSeen()) })
		f.renew(ctx)
		f.read(ctx)
	})
}

func (f *fleetSize) now() time.Duration { return f.node.config.BootClock() }

// observe changes the size and logs the new count if that differs.
func (f *fleetSize) observe(change func()) {
	before, wasKnown := f.count()
	f.mu.Lock()
	change()
	f.mu.Unlock()
	after, known := f.count()
	slack, recorded := f.node.retrySlack(), f.recorded()
	f.mu.Lock()
	isLogged := slack == f.loggedSlack
	f.loggedSlack = slack
	f.mu.Unlock()
	if before != after || wasKnown != known || !isLogged {
		retrySlackGauge.Set(slack)
		f.node.config.Logger.Info("fleet counted", zap.Int("domains", after.Domains), zap.Int("domain_vms", after.DomainVMs),
			zap.Any("recorded", recorded.Renewed), zap.Any("lapsed", recorded.Lapsed), zap.Bool("registry_read", known), zap.Bool("stale", f.isStale()), zap.Float64("retry_slack", slack))
	}
}

// renew renews this VM's record if that is due.
func (f *fleetSize) renew(ctx context.Context) {
	if f.now() < f.renewAt {
		return
	}
	f.renewals++
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	own := &f.node.config
	err := own.Peers.Registry.RecordVM(callCtx, registry.VMRecord{VM: own.VM, Domain: own.Domain, Revision: fmt.Sprint(own.Incarnation, "-", f.renewals)})
	if err != nil {
		f.handleFailure("record of this entry VM not renewed", err)
		f.renewAt = f.now() + recordRetryInterval
		return
	}
	f.renewAt = f.now() + f.interval()
}

// read reads the records unless they were read recently, by this VM or by another one of its domain.
func (f *fleetSize) read(ctx context.Context) {
	startedAt := f.now()
	if !f.isReadDue(startedAt) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	own := &f.node.config
	list, err := own.Peers.Registry.VMs(callCtx)
	if err != nil {
		f.handleFailure("records of entry VMs not read", err)
		f.readAt = f.now() + recordRetryInterval
		return
	}
	records := make([]fleetsize.Record, len(list))
	for i, r := range list {
		records[i] = fleetsize.Record(r)
	}
	recorded, lapsed, expired := f.records.Update(startedAt, records)
	f.observe(func() { f.size.ObserveRecorded(startedAt, recorded) })
	f.maintain(callCtx, lapsed, expired)
}

// maintain marks the records that have lapsed and drops the expired ones. A VM that renews its record
// between the read and this has a lapsed one, or none, until it next does.
func (f *fleetSize) maintain(ctx context.Context, lapsed []fleetsize.Record, expired []string) {
	if len(lapsed)+len(expired) == 0 {
		return
	}
	marked, names := make([]registry.VMRecord, len(lapsed)), make([]string, len(lapsed))
	for i, r := range lapsed {
		marked[i], names[i] = registry.VMRecord(r), r.VM
	}
	logger := f.node.config.Logger.With(zap.Strings("lapsed", names), zap.Strings("expired", expired))
	if err := f.node.config.Peers.Registry.MaintainVMs(ctx, marked, expired); err != nil {
		logger.Warn("records of entry VMs not marked as lapsed or dropped", telemetry.Reason(err))
		return
	}
	logger.Info("records of entry VMs marked as lapsed or dropped")
}

// handleFailure handles a call on the records that failed.
func (f *fleetSize) handleFailure(message string, err error) {
	f.records.Reset()
	f.node.config.Logger.Debug(message, telemetry.Reason(err))
}

// interval returns the time between two renewals and the minimum time between two reads.
func (f *fleetSize) interval() time.Duration { return fleetsize.RenewInterval(f.renewed().Sum()) }

// isReadDue reports whether this VM has to read the records. Its own is among them then. In a large
// fleet the relays read them first and report the counts to the other VMs of their domain.
func (f *fleetSize) isReadDue(now time.Duration) bool {
	if f.renewals == 0 || now < f.readAt {
		return false
	}
	interval := f.interval()
	if now-f.node.startedAt < youngPeriod {
		interval = youngReadInterval
	}
	if !f.node.members.isRelay(time.Now()) {
		interval += f.node.jitter(0, interval)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	recorded, lastReadAt := f.size.Recorded()
	return recorded.Renewed == nil || now-lastReadAt >= interval
}

// publish adds the count of the recorded VMs to a report to a VM of this domain.
func (f *fleetSize) publish(report *entryvm.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if recorded, readAt := f.size.Recorded(); recorded.Renewed != nil {
		report.RecordedVMs = &entryvm.RecordedVMs{ByDomain: recorded.Renewed, LapsedByDomain: recorded.Lapsed, Age: f.now() - readAt}
	}
}

// merge applies the count in a report.
func (f *fleetSize) merge(report *entryvm.Report) {
	recorded := report.RecordedVMs
	if recorded == nil || recorded.ByDomain == nil || report.Domain != f.node.config.Domain {
		return
	}
	f.observe(func() {
		f.size.ObserveRecorded(f.now()-recorded.Age, fleetsize.Recorded{Renewed: recorded.ByDomain, Lapsed: recorded.LapsedByDomain})
	})
}

// countSeen returns how many VMs of each failure domain this VM has seen and not forgotten since,
// whether they are live or not. They include this VM.
func (m *members) countSeen() fleetsize.VMCounts {
	vms := fleetsize.VMCounts{m.node.config.Domain: 1}
	m.eachSeen(func(r *entryvm.Report) { vms[r.Domain]++ })
	return vms
}
