package hosted

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

var leavingAnnouncements = metrics.NewCounter("bergamotreel_backend_leaving_said_total")

// isLeaving reports whether the backend server accepts no new requests, according to its
// entry or to its own responses.
func (b *backend) isLeaving() bool { return b.Leaving || b.announcedLeaving }

// MarkLeaving implements serving.ForwardDirectory.
func (n *Node) MarkLeaving(backend string) {
	if n.backends.markLeaving(time.Now(), entryvm.LeavingBackend{Backend: backend}, n.config.VM) {
		n.handleBackendChanges()
	}
}

// mergeLeaving merges the leaving backend servers that another VM reports.
func (n *Node) mergeLeaving(now time.Time, from string, list []entryvm.LeavingBackend) {
	changed := false
	for _, leaving := range list {
		changed = n.backends.markLeaving(now, leaving, from) || changed
	}
	if changed {
		n.handleBackendChanges()
	}
}

// markLeaving records that a backend server announced that it leaves, and returns whether
// that changed anything. The mark stays until another instance of the server is known.
func (t *backendTable) markLeaving(now time.Time, leaving entryvm.LeavingBackend, from string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[leaving.Backend]
	if b == nil || b.announcedLeaving || (leaving.Started != 0 && b.start != 0 && leaving.Started != b.start) {
		return false
	}
	b.announcedLeaving = true
	t.leavingChangedAt = now
	leavingAnnouncements.Inc()
	t.logger.Info("backend server says that it leaves", zap.String("backend", leaving.Backend), zap.Bool("listed_leaving", b.Leaving),
		zap.String("from", from))
	return true
}

// publishLeaving adds to a report the backend servers that announced that they leave.
func (t *backendTable) publishLeaving(now time.Time, report *entryvm.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingChangedAt.IsZero() || !isSignalReportDue(now, t.leavingChangedAt, report) {
		return
	}
	for id, b := range t.entries {
		if b.announcedLeaving {
			report.LeavingBackends = append(report.LeavingBackends, entryvm.LeavingBackend{Backend: id, Started: b.start})
		}
	}
	if len(report.LeavingBackends) == 0 {
		t.leavingChangedAt = time.Time{}
	}
}
