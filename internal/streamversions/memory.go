package streamversions

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

const (
	// recordInterval is the minimum time between two appends of streams. Streams that began since the last
	// one are lost if all VMs are killed.
	recordInterval = 100 * time.Millisecond
	// reloadInterval is the minimum time between two reads of the records for streams that nobody knows.
	reloadInterval = 500 * time.Millisecond
	// retryInterval is the time between two attempts to keep the record of the served versions up to date.
	retryInterval = time.Second
	// maxSettleTime bounds how long a VM that starts leaves the record of the served versions to the others, as it
	// doesn't know yet which of them keep it. The time differs between VMs, so that of a fleet that starts at once
	// one writes and the others find its record.
	maxSettleTime = 2 * time.Second
	// maxUnrecorded bounds the streams that wait to be recorded while the registry doesn't answer.
	maxUnrecorded = 1 << 16
)

var (
	streamsRecorded    = metrics.NewCounter("bergamotreel_stream_versions_recorded_total")
	streamsRecordFails = metrics.NewCounter("bergamotreel_stream_versions_record_failures_total")
	streamLoads        = metrics.NewCounter("bergamotreel_stream_versions_loads_total")
)

// memory is what the registry holds of streams, so that it outlives the processes of all entry VMs: which
// versions served (always), and at which of them streams began (while a service or a model has several). One VM of
// each failure domain writes. It is safe for concurrent use.
type memory struct {
	finder *Finder

	mu         sync.Mutex
	unrecorded map[streamversion.Key]streamversion.Record
	// loading is closed once the current or last load has ended, nil before the first. loadedAt is when that
	// began, streamsCursor up to where the records of streams were read.
	loading       chan struct{}
	loadedAt      time.Time
	streamsCursor registry.Cursor
	// served is the record of the served versions, versionsRead whether it was read, versionsCursor where it
	// ends.
	served         *streamversion.Served
	versionsRead   bool
	versionsCursor registry.Cursor
	triedAt        time.Time
	// appended is the end of the records at a time, droppedAt when old ones were last dropped.
	appended  registry.Cursor
	droppedAt time.Time
	startedAt time.Time
}

func newMemory(f *Finder) *memory {
	return &memory{finder: f, unrecorded: make(map[streamversion.Key]streamversion.Record), served: streamversion.NewServed()}
}

// hasSeveral reports whether streams of a model have to be recorded.
func (m *memory) hasSeveral(now time.Time, of modelOfService) bool {
	fleet, scope := m.finder.config.Fleet, streamversion.ModelScope(of.service, of.model)
	if fleet.HasSeveralVersions(now, of.service) || (of.model != "" && fleet.HasSeveralVersions(now, scope)) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served.HasSeveral(of.service) || (of.model != "" && m.served.HasSeveral(scope))
}

// hasAnySeveral reports whether streams of any service are recorded.
func (m *memory) hasAnySeveral(now time.Time) bool {
	all, _ := m.finder.config.Fleet.AllVersions(now)
	for _, versions := range all {
		if len(versions) > 1 {
			return true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served.HasAnySeveral()
}

// add adds streams to be recorded.
func (m *memory) add(streams streamRecords) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, record := range streams {
		if len(m.unrecorded) >= maxUnrecorded {
			return
		}
		m.unrecorded[key] = record
	}
}

// run records streams and the served versions until ctx ends.
func (m *memory) run(ctx context.Context) {
	m.mu.Lock()
	m.startedAt = time.Now()
	m.mu.Unlock()
	ticks := time.NewTicker(recordInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
		m.recordStreams(ctx)
		if m.isVersionsCheckDue(time.Now()) {
			m.recordVersions(ctx)
		}
	}
}

// recordStreams appends the streams that wait. If that fails, they wait on.
func (m *memory) recordStreams(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	streams := m.unrecorded
	if len(streams) == 0 {
		m.mu.Unlock()
		return
	}
	m.unrecorded = make(streamRecords)
	m.mu.Unlock()
	end, err := m.finder.config.Registry.RecordStreams(ctx, groupRecords(now, streams))
	if err == nil {
		streamsRecorded.Add(len(streams))
		m.dropOld(ctx, now, end)
		return
	}
	if ctx.Err() != nil {
		return
	}
	streamsRecordFails.Add(len(streams))
	m.finder.config.Logger.Warn("versions of streams not recorded", zap.Int("streams", len(streams)), telemetry.Reason(err))
	m.add(streams)
}

// groupRecords groups the streams that can still be taken up by their service and origin.
func groupRecords(now time.Time, streams streamRecords) []registry.StreamRecord {
	var out []registry.StreamRecord
	for key, record := range streams {
		if record.IsExpired(now) {
			continue
		}
		i := slices.IndexFunc(out, func(r registry.StreamRecord) bool {
			return r.Service == record.Service && r.Version == record.Version && r.Weights == record.Weights
		})
		if i < 0 {
			i = len(out)
			out = append(out, registry.StreamRecord{Service: record.Service, Version: record.Version, Weights: record.Weights})
		}
		out[i].Streams = append(out[i].Streams, registry.StreamKey(key))
	}
	return out
}

// dropOld drops the records that were appended more than a TTL ago. It goes by this process's clock and by
// where its own appends ended, as the records have no times.
func (m *memory) dropOld(ctx context.Context, now time.Time, end registry.Cursor) {
	m.mu.Lock()
	before := m.appended
	due := now.Sub(m.droppedAt) >= streamversion.TTL
	if due {
		m.appended, m.droppedAt = end, now
	}
	m.mu.Unlock()
	if !due || before == 0 {
		return
	}
	if err := m.finder.config.Registry.DropStreams(ctx, before); err != nil {
		m.finder.config.Logger.Warn("old records of streams not dropped", telemetry.Reason(err))
	}
}

// settleTime returns a time of up to maxSettleTime that a VM waits for others.
func settleTime(vm string) time.Duration {
	const steps = 64
	return maxSettleTime * time.Duration(rendezvous.Weight("settle", vm)%steps) / steps
}

// isVersionsCheckDue reports whether this VM has to bring the record of the served versions up to date.
func (m *memory) isVersionsCheckDue(now time.Time) bool {
	m.mu.Lock()
	isEarly := now.Sub(m.startedAt) < settleTime(m.finder.config.VM) || now.Sub(m.triedAt) < retryInterval
	m.mu.Unlock()
	if isEarly || m.finder.recorder(now) != "" {
		return false
	}
	known, complete := m.finder.config.Fleet.AllVersions(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(known) == 0 || (m.versionsRead && !m.isRestored() && (!complete || len(m.served.Changes(now, known)) == 0)) {
		return false
	}
	m.triedAt = now
	return true
}

// isRestored reports whether the registry was restored from an older copy since the record was read. Call with
// mu held.
func (m *memory) isRestored() bool {
	return registry.EpochOf(uint64(m.versionsCursor)) != m.finder.config.Registry.Epoch()
}

// recordVersions reads the record of the served versions if it may have changed, and writes what it lacks.
func (m *memory) recordVersions(ctx context.Context) {
	m.mu.Lock()
	mustRead := !m.versionsRead || m.isRestored()
	m.mu.Unlock()
	for range 2 { // once more if another VM was first
		if mustRead {
			if err := m.readVersions(ctx); err != nil {
				m.finder.config.Logger.Warn("served versions not read", telemetry.Reason(err))
				return
			}
		}
		now := time.Now()
		known, complete := m.finder.config.Fleet.AllVersions(now)
		if !complete {
			return // others would take the record for complete
		}
		m.mu.Lock()
		changes, at := m.served.Changes(now, known), m.versionsCursor
		m.mu.Unlock()
		if len(changes) == 0 {
			return
		}
		next, err := m.finder.config.Registry.RecordServedVersions(ctx, changes, at)
		if err == nil {
			m.mu.Lock()
			m.served.Add(changes)
			m.versionsCursor = next
			m.mu.Unlock()
			m.finder.config.Logger.Info("served versions recorded", zap.Any("versions", changes))
			return
		}
		if !errors.Is(err, registry.ErrConflict) {
			m.finder.config.Logger.Warn("served versions not recorded", telemetry.Reason(err))
			return
		}
		mustRead = true
	}
}

// readVersions reads the record of the served versions. It recovers the versions that served while this VM didn't
// follow the list.
func (m *memory) readVersions(ctx context.Context) error {
	served, cursor, err := m.finder.config.Registry.ServedVersions(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	first := !m.versionsRead
	m.versionsRead, m.versionsCursor = true, cursor
	m.served.SetRecorded(served.ByService, served.Outdated)
	m.mu.Unlock()
	if first || !m.hasHistory(now) {
		complete := !served.Outdated && (len(served.ByService) > 0 || first && m.finder.config.FirstStart)
		m.finder.config.Fleet.RecoverVersions(now, served.ByService, complete)
		m.finder.config.Logger.Info("served versions read", zap.Any("versions", served.ByService), zap.Bool("complete", complete))
	}
	return nil
}

// hasHistory reports whether this VM knows all versions of the last TTL that its list has had.
func (m *memory) hasHistory(now time.Time) bool {
	_, complete := m.finder.config.Fleet.AllVersions(now)
	return complete
}

// load reads what the registry holds of streams, unless it was read a moment ago, and returns a channel that
// is closed at its end.
func (m *memory) load(ctx context.Context) <-chan struct{} {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loading != nil && (!isClosed(m.loading) || now.Sub(m.loadedAt) < reloadInterval) {
		return m.loading
	}
	done := make(chan struct{})
	m.loading, m.loadedAt = done, now
	streamLoads.Inc()
	go func() {
		defer close(done)
		if err := m.read(context.WithoutCancel(ctx)); err != nil {
			m.finder.config.Logger.Warn("records of streams not read", telemetry.Reason(err))
		}
	}()
	return done
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (m *memory) read(ctx context.Context) error {
	m.mu.Lock()
	versionsRead, from := m.versionsRead, m.streamsCursor
	m.mu.Unlock()
	if !versionsRead || !m.hasHistory(time.Now()) {
		if err := m.readVersions(ctx); err != nil {
			return err
		}
	}
	if !m.hasAnySeveral(time.Now()) {
		return nil
	}
	records, next, err := m.finder.config.Registry.Streams(ctx, from)
	if errors.Is(err, registry.ErrHistoryLost) {
		records, next, err = m.finder.config.Registry.Streams(ctx, 0)
	}
	if err != nil {
		return err
	}
	m.finder.addRecords(records)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamsCursor = next
	return nil
}
