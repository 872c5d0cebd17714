package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/refusal"
	"bergamotreel/routing/streamversion"
)

const (
	// shareInterval is the time between two searches for streams to share that nothing wakes up,
	// minShareGap the minimum time between two, so that streams which begin together are sent
	// together.
	shareInterval = 200 * time.Millisecond
	minShareGap   = 10 * time.Millisecond
	// shareTimeout bounds the call that sends versions of streams to a keeper, findStreamTimeout the
	// one that asks for a version while a caller waits.
	shareTimeout      = 500 * time.Millisecond
	findStreamTimeout = 300 * time.Millisecond
)

// resumedStreamsTotal counts the streams that callers took up, by how their software version was
// found.
const resumedStreamsTotal = "bergamotreel_resumed_streams_total"

var (
	resumedRecorded   = metrics.NewCounter(resumedStreamsTotal + `{version="recorded"}`)
	resumedOnlyOne    = metrics.NewCounter(resumedStreamsTotal + `{version="only_one"}`)
	resumedUnknown    = metrics.NewCounter(resumedStreamsTotal + `{version="unknown"}`)
	streamsShared     = metrics.NewCounter("bergamotreel_stream_versions_shared_total")
	streamsShareFails = metrics.NewCounter("bergamotreel_stream_versions_share_failures_total")
)

// streamVersions finds the software version at which a stream began that its caller takes up, also if
// another VM began it. While a service has several versions, each VM sends the versions of its
// streams to two other VMs, which are found by a hash of the stream: one in its own failure domain, which
// outlives a partition of the domains, and one in another, which outlives the domain. It is safe for
// concurrent use.
type streamVersions struct {
	node *Node
	wake chan struct{}

	mu    sync.Mutex
	table *streamversion.Table
	// unshared are the streams that began at this VM and were not sent to others, by service.
	unshared map[string]streamRecords
	// expiredAt is when unshared was last searched for expired records.
	expiredAt time.Time
}

// streamRecords are records of streams.
type streamRecords map[streamversion.Key]streamversion.Record

func newStreamVersions(n *Node) *streamVersions {
	return &streamVersions{node: n, wake: make(chan struct{}, 1), table: streamversion.NewTable(), unshared: make(map[string]streamRecords)}
}

// RecordStream implements serving.ForwardDirectory.
func (n *Node) RecordStream(stream streamversion.Stream, version string) {
	if stream.Request == "" || version == "" {
		return
	}
	s, now := n.streamVersions, time.Now()
	key, record := stream.Key(), streamversion.Record{Service: stream.Service, Version: version, BegunAt: now}
	s.mu.Lock()
	if s.table.Add(now, key, record) {
		s.addUnshared(key, record)
	}
	s.mu.Unlock()
	if n.backends.hasSeveralVersions(now, stream.Service) {
		wake(s.wake)
	}
}

// addUnshared adds a stream to be shared. Call with mu held.
func (s *streamVersions) addUnshared(key streamversion.Key, record streamversion.Record) {
	if s.unshared[record.Service] == nil {
		s.unshared[record.Service] = make(streamRecords)
	}
	s.unshared[record.Service][key] = record
}

// run shares the versions of streams until ctx ends.
func (s *streamVersions) run(ctx context.Context) {
	timer := time.NewTimer(shareInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.share(ctx)
		if !pause.For(ctx, minShareGap) {
			return
		}
		timer.Reset(shareInterval)
	}
}

// share sends the streams that were not sent yet to their keepers, if their service has several
// versions: then they may be taken up where more than one version serves. Those of other services are
// sent once it has.
func (s *streamVersions) share(ctx context.Context) {
	now := time.Now()
	keepers := s.node.members.streamKeepers(now)
	if len(keepers) == 0 {
		return
	}
	byKeeper := make(map[string]streamRecords)
	for key, record := range s.takeUnshared(now) {
		for _, address := range pickStreamKeepers(key, s.node.config.Domain, keepers) {
			if byKeeper[address] == nil {
				byKeeper[address] = make(streamRecords)
			}
			byKeeper[address][key] = record
		}
	}
	for address, streams := range byKeeper {
		go s.send(ctx, address, streams)
	}
}

// groupStreams groups streams by their service and version.
func groupStreams(now time.Time, streams streamRecords) []entryvm.StreamGroup {
	type groupKey struct{ service, version string }
	groups := make(map[groupKey]*entryvm.StreamGroup)
	for key, record := range streams {
		age := now.Sub(record.BegunAt)
		group := groups[groupKey{record.Service, record.Version}]
		if group == nil {
			group = &entryvm.StreamGroup{Service: record.Service, Version: record.Version, Age: age}
			groups[groupKey{record.Service, record.Version}] = group
		}
		group.Age = min(group.Age, age)
		group.Keys = append(group.Keys, entryvm.StreamKey(key))
	}
	out := make([]entryvm.StreamGroup, 0, len(groups))
	for _, group := range groups {
		out = append(out, *group)
	}
	return out
}

// takeUnshared removes and returns the streams that are due to be shared, and drops expired ones.
func (s *streamVersions) takeUnshared(now time.Time) streamRecords {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(streamRecords)
	for service, records := range s.unshared {
		if s.node.backends.hasSeveralVersions(now, service) {
			maps.Copy(due, records)
			delete(s.unshared, service)
		}
	}
	if now.Sub(s.expiredAt) >= streamversion.ExpireInterval {
		s.expiredAt = now
		for _, records := range s.unshared {
			maps.DeleteFunc(records, func(_ streamversion.Key, r streamversion.Record) bool { return r.IsExpired(now) })
		}
	}
	return due
}

// send sends streams to a keeper. If that fails, they are shared again: another VM may keep them by
// then.
func (s *streamVersions) send(ctx context.Context, address string, streams streamRecords) {
	callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	err := s.node.config.Peers.EntryVMs.StreamVersions(callCtx, address, entryvm.StreamVersionsArgs{Groups: groupStreams(time.Now(), streams)})
	if err == nil {
		streamsShared.Add(len(streams))
		return
	}
	if ctx.Err() != nil {
		return
	}
	streamsShareFails.Add(len(streams))
	s.node.config.Logger.Warn("versions of streams not shared", zap.String("address", address), zap.Int("streams", len(streams)), telemetry.Reason(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, record := range streams {
		s.addUnshared(key, record)
	}
}

// StreamVersions implements entryvm.Coordinator.
func (n *Node) StreamVersions(args entryvm.StreamVersionsArgs) {
	s, now := n.streamVersions, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range args.Groups {
		for _, key := range group.Keys {
			s.table.Add(now, streamversion.Key(key), streamversion.Record{Service: group.Service, Version: group.Version, BegunAt: now.Add(-group.Age)})
		}
	}
}

// FindStream implements entryvm.Coordinator.
func (n *Node) FindStream(args entryvm.FindStreamArgs) entryvm.FindStreamReply {
	now := time.Now()
	version, found := n.streamVersions.find(now, streamversion.Key(args.Key))
	versions, _ := n.backends.versions(now, args.Service)
	return entryvm.FindStreamReply{Found: found, Version: version, Versions: versions}
}

func (s *streamVersions) find(now time.Time, key streamversion.Key) (version string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version(now, key)
}

// FindStreamVersion implements serving.ForwardDirectory. A stream of which nobody knows the version is
// refused unless its service has had only one.
func (n *Node) FindStreamVersion(ctx context.Context, stream streamversion.Stream) (string, *refusal.Refusal) {
	s, now, key := n.streamVersions, time.Now(), stream.Key()
	if version, found := s.find(now, key); found {
		resumedRecorded.Inc()
		return version, nil
	}
	versions, complete := n.backends.versions(now, stream.Service)
	// A version may be unknown here: the VM has just started, or the registry doesn't answer it.
	if !complete || stream.Request != "" {
		version, found, known := s.ask(ctx, key, stream.Service, versions)
		if found {
			resumedRecorded.Inc()
			s.keep(key, stream.Service, version)
			return version, nil
		}
		versions = known
	}
	switch len(versions) {
	case 0:
		return "", nil
	case 1:
		resumedOnlyOne.Inc()
		return versions[0], nil
	}
	resumedUnknown.Inc()
	return "", refusal.New(refusal.CodeNoCapacity, 0, "backend servers of several versions serve, and the one that began the stream is not known")
}

// keep records a version that another VM knew.
func (s *streamVersions) keep(key streamversion.Key, service, version string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(now, key, streamversion.Record{Service: service, Version: version, BegunAt: now})
}

// ask asks all possible keepers of a stream at once for its version, because VMs may differ in
// who they think is live. It also returns the versions of the service that they and this VM remember. It
// waits for VMs that aren't live here only if these are several.
func (s *streamVersions) ask(ctx context.Context, key streamversion.Key, service string, known []string) (version string, found bool, versions []string) {
	// Calls are not canceled once the answer is known: that would close connections that others use.
	ctx = context.WithoutCancel(ctx)
	keepers := s.node.members.possibleStreamKeepers(time.Now())
	type keeperReply struct {
		entryvm.FindStreamReply
		isLive bool
	}
	replies := make(chan keeperReply, len(keepers))
	liveWithoutReply := 0
	for _, keeper := range keepers {
		if keeper.isLive {
			liveWithoutReply++
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
			defer cancel()
			reply, err := s.node.config.Peers.EntryVMs.FindStream(ctx, keeper.address, entryvm.FindStreamArgs{Key: entryvm.StreamKey(key), Service: service})
			if err != nil {
				s.node.config.Logger.Debug("version of a stream not asked", zap.String("vm", keeper.vm), telemetry.Reason(err))
			}
			replies <- keeperReply{reply, keeper.isLive}
		}()
	}
	versions = known
	for range keepers {
		if liveWithoutReply == 0 && len(versions) <= 1 {
			break
		}
		reply := <-replies
		if reply.isLive {
			liveWithoutReply--
		}
		if reply.Found {
			return reply.Version, true, nil
		}
		versions = slices.Compact(slices.Sorted(slices.Values(slices.Concat(versions, reply.Versions))))
	}
	return "", false, versions
}
