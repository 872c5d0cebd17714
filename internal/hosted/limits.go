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

const (
	// signalUrgent is how long after a change each report carries what backend servers said
	// of themselves; else full ones do.
	signalUrgent = 1500 * time.Millisecond
	// liftedFor is how long reports carry a lifted limit: longer than the way of an older
	// report that names it.
	liftedFor = 10 * time.Second
)

// limits are the rates of requests that backend servers in need have named, and this VM's
// permits to send them some. It is safe for concurrent use.
type limits struct {
	node *Node

	mu sync.Mutex
	// known are the newest limits, those lifted lately included.
	known map[string]*backendLimit
	// changedAt is when one of them last changed.
	changedAt time.Time
	// issuers are of the backend servers whose permits this VM issues.
	issuers map[string]*permit.Issuer
	// version counts what this VM has observed.
	version uint64
}

// backendLimit is a backend server's limit at this VM.
type backendLimit struct {
	permit.Limit
	wallet permit.Holder
	// seen is the newest version of each origin: what goes round among VMs comes again, and
	// by its age alone it would look newer each time.
	seen map[string]uint64
	// answers are those that the issuer does not know of, notifiedAt is when it last heard from this VM.
	answers    permit.AnswerCounts
	notifiedAt time.Time
	// issuer is the VM that issues the permits, as drawn at drawnAt.
	issuer  string
	drawnAt time.Time
}

var (
	limitsNamed  = metrics.NewCounter("bergamotreel_backend_limits_named_total")
	limitsLifted = metrics.NewCounter("bergamotreel_backend_limits_lifted_total")
)

func newLimits(n *Node) *limits {
	return &limits{node: n, known: make(map[string]*backendLimit), issuers: make(map[string]*permit.Issuer)}
}

// Limited implements serving.ForwardDirectory.
func (n *Node) Limited(backend string, limit service.Limit) {
	l, now := n.limits, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Named {
		l.observe(backend, l.own(permit.Limit{Limited: true, PerSecond: limit.PerSecond}), n.config.VM)
	}
	b := l.known[backend]
	if b == nil || !b.Limited {
		return
	}
	b.answers.Add(limit.Named)
	if limit.Named && now.Sub(b.notifiedAt) >= issuerNotifyInterval {
		b.notifiedAt = now
		go l.requestPermits(backend, 0)
	}
}

// SpendPermit implements serving.ForwardDirectory.
func (n *Node) SpendPermit(backend string) bool {
	l := n.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.known[backend]
	return b == nil || !b.Limited || b.wallet.TryUse(time.Now())
}

// own is a limit as this VM has observed it now. Call with mu held.
func (l *limits) own(limit permit.Limit) permit.Limit {
	l.version++
	limit.ReceivedAt, limit.Origin, limit.Version = time.Now(), l.node.origin(), l.version
	return limit
}

// observe takes what an answer said, if it is the newest. Call with mu held.
func (l *limits) observe(backend string, limit permit.Limit, from string) {
	b := l.known[backend]
	if b == nil {
		if _, listed := l.node.backends.get(backend); !listed {
			return // it would never be forgotten
		}
		b = &backendLimit{seen: make(map[string]uint64)}
		l.known[backend] = b
	}
	if limit.Version <= b.seen[limit.Origin] {
		return
	}
	b.seen[limit.Origin] = limit.Version
	if !limit.IsNewerThan(b.Limit) {
		return
	}
	before := b.Limit
	b.Limit = limit
	if limit.IsSameLimit(before) {
		return
	}
	l.changedAt = time.Now()
	b.answers = permit.AnswerCounts{} // they are of the limit before
	if limit.Limited {
		limitsNamed.Inc()
		l.node.config.Logger.Info("backend server limits requests", zap.String("backend", backend),
			zap.Float64("per_second", limit.PerSecond), zap.String("from", from))
		return
	}
	limitsLifted.Inc()
	l.node.config.Logger.Info("backend server lifts its limit", zap.String("backend", backend), zap.String("from", from))
}

// complete adds to candidates which of them take requests with a permit only, and asks for
// permits where this VM has none.
func (l *limits) complete(now time.Time, candidates []routing.Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		b := l.known[c.Engine]
		if b == nil || !b.Limited {
			continue
		}
		c.PermitRequired, c.Permits = true, b.wallet.Available(now)
		if b.wallet.StartRequest(now) {
			go l.requestPermits(c.Engine, permitsPerRequest)
		}
	}
}

// signalsDue tells whether a report carries signals of backend servers that last changed
// then.
func signalsDue(now, changedAt time.Time, report *entryvm.Report) bool {
	return report.Full || now.Sub(changedAt) <= signalUrgent
}

// publish adds the limits to a report.
func (l *limits) publish(now time.Time, report *entryvm.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 || !signalsDue(now, l.changedAt, report) {
		return
	}
	for id, b := range l.known {
		if !b.Limited && now.Sub(b.ReceivedAt) > liftedFor {
			delete(l.known, id)
			continue
		}
		report.Limits = append(report.Limits, b.message(now, id))
	}
}

// message is a limit as it is sent to other entry VMs.
func (b *backendLimit) message(now time.Time, id string) entryvm.BackendLimit {
	return entryvm.BackendLimit{Backend: id, Named: b.Limited, PerSecond: b.PerSecond, Age: max(0, now.Sub(b.ReceivedAt)),
		Origin: b.Origin, Version: b.Version}
}

// merge takes the limits of a report.
func (l *limits) merge(now time.Time, from string, list []entryvm.BackendLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range list {
		l.apply(now, from, limit)
	}
}

// apply takes over a limit that another VM knows. Call with mu held.
func (l *limits) apply(now time.Time, from string, limit entryvm.BackendLimit) {
	if limit.Named || l.known[limit.Backend] != nil {
		l.observe(limit.Backend, permit.Limit{Limited: limit.Named, PerSecond: limit.PerSecond, ReceivedAt: now.Add(-limit.Age),
			Origin: limit.Origin, Version: limit.Version}, from)
	}
}

// forget drops what is known of a backend server that is gone or has started again.
func (l *limits) forget(backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.known, backend)
	delete(l.issuers, backend)
}
