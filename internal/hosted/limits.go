package hosted

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission/permit"
	"bergamotreel/entryvm"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// backendLimits holds the request rate limits that overloaded backend servers have reported in
// their responses, and this VM's permits to send requests to these servers. It is safe for
// concurrent use.
type backendLimits struct {
	node *Node

	mu sync.Mutex
	// byBackend holds the newest limits by backend server, including recently lifted ones.
	byBackend map[string]*backendLimit
	// changedAt is when any limit last changed.
	changedAt time.Time
	// issuers holds the permit issuers of the backend servers whose permits this VM issues.
	issuers map[string]*permit.Issuer
	// version counts the observations made by this VM.
	version uint64
}

// backendLimit is the state of a backend server's limit on this VM.
type backendLimit struct {
	permit.Limit
	permits      permit.Holder
	seenVersions seenVersions
	// unreportedAnswers counts the answers not yet reported to the issuer, notifiedAt is when
	// this VM last reported to it.
	unreportedAnswers permit.AnswerCounts
	notifiedAt        time.Time
}

var (
	limitsReported = metrics.NewCounter("bergamotreel_backend_limits_named_total")
	limitsLifted   = metrics.NewCounter("bergamotreel_backend_limits_lifted_total")
)

func newBackendLimits(n *Node) *backendLimits {
	return &backendLimits{node: n, byBackend: make(map[string]*backendLimit), issuers: make(map[string]*permit.Issuer)}
}

// RecordLimit implements serving.ForwardDirectory.
func (n *Node) RecordLimit(backend string, limit service.Limit) {
	l, now := n.limits, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Limited {
		l.observe(backend, l.newLocalLimit(permit.Limit{Limited: true, PerSecond: limit.PerSecond}), n.config.VM)
	}
	b := l.byBackend[backend]
	if b == nil || !b.Limited {
		return
	}
	b.unreportedAnswers.Add(limit.Limited)
	if limit.Limited && now.Sub(b.notifiedAt) >= issuerNotifyInterval {
		b.notifiedAt = now
		go l.requestPermits(backend, 0)
	}
}

// TryUsePermit implements serving.ForwardDirectory.
func (n *Node) TryUsePermit(backend string) bool {
	now := time.Now()
	return n.limits.tryUse(now, backend) && n.rooms.tryUse(now, backend)
}

// tryUse uses a permit for a backend server if it has a limit. It returns false if there is
// none.
func (l *backendLimits) tryUse(now time.Time, backend string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.byBackend[backend]
	return b == nil || !b.Limited || b.permits.TryUse(now)
}

// newLocalLimit returns limit as an observation made by this VM now. Call with mu held.
func (l *backendLimits) newLocalLimit(limit permit.Limit) permit.Limit {
	l.version++
	limit.ReceivedAt, limit.Origin, limit.Version = time.Now(), l.node.origin(), l.version
	return limit
}

// observe applies an observation of a backend server's limit if it is the newest. Call with
// mu held.
func (l *backendLimits) observe(backend string, limit permit.Limit, from string) {
	b := l.byBackend[backend]
	if b == nil {
		if _, listed := l.node.backends.get(backend); !listed {
			return // forget would never be called for it
		}
		b = &backendLimit{seenVersions: make(seenVersions)}
		l.byBackend[backend] = b
	}
	if !b.seenVersions.record(limit.Origin, limit.Version) || !limit.IsNewerThan(b.Limit) {
		return
	}
	before := b.Limit
	b.Limit = limit
	if limit.IsSameLimit(before) {
		return
	}
	l.changedAt = time.Now()
	b.unreportedAnswers = permit.AnswerCounts{} // they belong to the previous limit
	if limit.Limited {
		limitsReported.Inc()
		l.node.config.Logger.Info("backend server limits requests", zap.String("backend", backend),
			zap.Float64("per_second", limit.PerSecond), zap.String("from", from))
		return
	}
	limitsLifted.Inc()
	l.node.config.Logger.Info("backend server lifts its limit", zap.String("backend", backend), zap.String("from", from))
}

// addPermits marks the candidates that require a permit, sets the number of permits that this
// VM holds for each, and requests more where it has none.
func (l *backendLimits) addPermits(now time.Time, candidates []routing.Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byBackend) == 0 {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		b := l.byBackend[c.Engine]
		if b == nil || !b.Limited {
			continue
		}
		c.PermitRequired, c.Permits = true, b.permits.Available(now)
		if b.permits.StartRequest(now) {
			go l.requestPermits(c.Engine, permitsPerRequest)
		}
	}
}

// publish adds the limits to a report.
func (l *backendLimits) publish(now time.Time, report *entryvm.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byBackend) == 0 || !isSignalReportDue(now, l.changedAt, report) {
		return
	}
	for id, b := range l.byBackend {
		if !b.Limited && now.Sub(b.ReceivedAt) > liftedLimitTTL {
			delete(l.byBackend, id)
			continue
		}
		report.Limits = append(report.Limits, b.toMessage(now, id))
	}
}

// toMessage returns the limit in the form that is sent to other entry VMs.
func (b *backendLimit) toMessage(now time.Time, id string) entryvm.BackendLimit {
	return entryvm.BackendLimit{Backend: id, Limited: b.Limited, PerSecond: b.PerSecond, Age: max(0, now.Sub(b.ReceivedAt)),
		Origin: b.Origin, Version: b.Version}
}

// merge merges the limits of a report from another VM.
func (l *backendLimits) merge(now time.Time, from string, list []entryvm.BackendLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range list {
		l.mergeLimit(now, from, limit)
	}
}

// mergeLimit merges a limit that another VM reports. A lifted limit matters only if the limit
// is known here. Call with mu held.
func (l *backendLimits) mergeLimit(now time.Time, from string, limit entryvm.BackendLimit) {
	if limit.Limited || l.byBackend[limit.Backend] != nil {
		l.observe(limit.Backend, permit.Limit{Limited: limit.Limited, PerSecond: limit.PerSecond, ReceivedAt: now.Add(-limit.Age),
			Origin: limit.Origin, Version: limit.Version}, from)
	}
}

// forget drops the limit and the issuer of a backend server that is gone or has restarted.
func (l *backendLimits) forget(backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byBackend, backend)
	delete(l.issuers, backend)
}
