package streamversions

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/telemetry"
	"bergamotreel/refusal"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// FindTimeout bounds the calls that ask for the version of a stream while a caller waits.
const FindTimeout = 300 * time.Millisecond

// replyTimeout bounds how long a VM that is asked reads the registry, so that its answer is in time.
const replyTimeout = FindTimeout - 50*time.Millisecond

// unknownRetryAfter is the retry delay for a stream whose version may be known later.
const unknownRetryAfter = 500 * time.Millisecond

// resumedStreamsTotal counts the streams that callers took up, by how their software version was
// found.
const resumedStreamsTotal = "bergamotreel_resumed_streams_total"

var (
	resumedRecorded = metrics.NewCounter(resumedStreamsTotal + `{version="recorded"}`)
	resumedOnlyOne  = metrics.NewCounter(resumedStreamsTotal + `{version="only_one"}`)
	resumedUnknown  = metrics.NewCounter(resumedStreamsTotal + `{version="unknown"}`)
)

// Finder finds the software version at which a stream began that its caller takes up, also if
// another VM began it. While a service has several versions, each VM sends the versions of its
// streams to two other VMs, which are found by a hash of the stream: one in its own failure domain, which
// outlives a partition of the domains, and one in another, which outlives the domain. It is safe for
// concurrent use.
type Finder struct {
	config Config
	wake   chan struct{}
	memory *memory
	// confirmation makes sure that the list of backend servers is up to date.
	confirmation *confirmation

	mu    sync.Mutex
	table *streamversion.Table
	// unshared are the streams that began at this VM and were not sent to others, by service.
	unshared map[string]map[streamversion.Key]unsharedStream
	// expected are the streams that have begun at this VM and whose versions are not known yet. The channels are
	// closed once they are.
	expected map[streamversion.Key]chan struct{}
	// expiredAt is when unshared was last searched for expired records.
	expiredAt time.Time
}

// streamRecords are records of streams.
type streamRecords map[streamversion.Key]streamversion.Record

// New returns a finder that shares nothing until Run is called.
func New(config Config) *Finder {
	s := &Finder{config: config, wake: make(chan struct{}, 1), table: streamversion.NewTable(), unshared: make(map[string]map[streamversion.Key]unsharedStream), expected: make(map[streamversion.Key]chan struct{})}
	s.memory, s.confirmation = newMemory(s), newConfirmation(config.Fleet)
	return s
}

// Run shares and records the versions of streams until ctx ends.
func (s *Finder) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.runSharing(ctx) })
	tasks.Go(func() { s.memory.run(ctx) })
	tasks.Wait()
}

// ExpectStream records that a stream has begun at this VM and that RecordStream follows. Until then, those who ask
// for its version wait.
func (s *Finder) ExpectStream(stream streamversion.Stream) {
	if stream.Request == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := stream.Key(); s.expected[key] == nil {
		s.expected[key] = make(chan struct{})
	}
}

// endExpected ends the waits for a stream. Call with mu held.
func (s *Finder) endExpected(key streamversion.Key) {
	if known := s.expected[key]; known != nil {
		delete(s.expected, key)
		close(known)
	}
}

// RecordStream records that a stream began at a software version.
func (s *Finder) RecordStream(stream streamversion.Stream, version string) {
	if stream.Request == "" || version == "" {
		return
	}
	now := time.Now()
	key, record := stream.Key(), streamversion.Record{Service: stream.Service, Version: version, BegunAt: now}
	s.mu.Lock()
	if s.table.Add(now, key, record) {
		s.addUnshared(key, unsharedStream{Record: record})
	}
	s.endExpected(key)
	s.mu.Unlock()
	if s.memory.hasSeveral(now, stream.Service) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Add adds the versions of streams that another VM sent.
func (s *Finder) Add(args entryvm.StreamVersionsArgs) {
	now := time.Now()
	streams := make(streamRecords)
	for _, group := range args.Groups {
		for _, key := range group.Keys {
			streams[streamversion.Key(key)] = streamversion.Record{Service: group.Service, Version: group.Version, BegunAt: now.Add(-group.Age)}
		}
	}
	if args.Record {
		s.memory.add(streams)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, record := range streams {
		s.table.Add(now, key, record)
	}
}

// addRecords adds streams that were read from the registry, the newest first, as the table is bounded. When they
// began isn't known.
func (s *Finder) addRecords(records []registry.StreamRecord) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range slices.Backward(records) {
		for _, key := range record.Streams {
			s.table.Add(now, streamversion.Key(key), streamversion.Record{Service: record.Service, Version: record.Version, BegunAt: now})
		}
	}
}

// Find answers another VM that asks for the version of a stream.
func (s *Finder) Find(args entryvm.FindStreamArgs) entryvm.FindStreamReply {
	started, key := time.Now(), streamversion.Key(args.Key)
	version, found, expected := s.await(context.Background(), key, started.Add(replyTimeout))
	if expected { // it began, at any version
		return entryvm.FindStreamReply{Versions: []string{streamversion.UnlistedVersion("", 0)}}
	}
	versions, complete := streamversion.Merge(started, s.upToDate(started, args.Service))
	if !found && (!complete || len(versions) > 1) {
		s.awaitLoad(context.Background(), started.Add(replyTimeout))
		version, found = s.find(time.Now(), key)
	}
	confirmed := !found && args.Confirm && len(versions) <= 1 && s.confirmation.awaitUntil(context.Background(), started.Add(s.confirmation.timeout(replyTimeout)))
	now := time.Now()
	view := s.config.Fleet.VersionsView(now, args.Service)
	return entryvm.FindStreamReply{Found: found, Version: version, Versions: view.Versions,
		KnownFor: now.Sub(view.From), ListAge: now.Sub(view.To), Confirmed: confirmed}
}

// upToDate returns what this VM knows of a service's versions, as if its list was up to date.
func (s *Finder) upToDate(now time.Time, service string) streamversion.View {
	view := s.config.Fleet.VersionsView(now, service)
	view.To = now
	return view
}

// awaitLoad reads what the registry holds of streams, and waits for it until the deadline at most.
func (s *Finder) awaitLoad(ctx context.Context, deadline time.Time) {
	select {
	case <-s.memory.load(ctx):
	case <-time.After(time.Until(deadline)):
	}
}

// await is find for a stream whose version may be known soon. expected is whether it wasn't by the deadline.
func (s *Finder) await(ctx context.Context, key streamversion.Key, deadline time.Time) (version string, found, expected bool) {
	s.mu.Lock()
	known := s.expected[key]
	s.mu.Unlock()
	if known != nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case <-known:
		case <-ctx.Done():
			return "", false, true
		}
	}
	version, found = s.find(time.Now(), key)
	return version, found, false
}

func (s *Finder) find(now time.Time, key streamversion.Key) (version string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version(now, key)
}

// FindVersion returns the software version at which a stream began that its caller takes up. A stream of
// which nobody knows the version is refused unless its service is known to have had only one until now.
func (s *Finder) FindVersion(ctx context.Context, stream streamversion.Stream) (string, *refusal.Refusal) {
	started, key := time.Now(), stream.Key()
	switch version, found, expected := s.await(ctx, key, started.Add(FindTimeout)); {
	case found:
		resumedRecorded.Inc()
		return version, nil
	case expected:
		return decideUnknown(nil, false)
	}
	isKeeper := s.config.Fleet.KeepsStreams(started)
	own := s.config.Fleet.VersionsView(started, stream.Service)
	versions, complete := streamversion.Merge(started, s.upToDate(started, stream.Service))
	question := entryvm.FindStreamArgs{Key: entryvm.StreamKey(key), Service: stream.Service, Confirm: !isKeeper || s.config.Fleet.IsListStale()}
	var replies replies
	// A version may be unknown here: the VM has just started, or the registry doesn't answer it.
	if !complete || stream.Request != "" || question.Confirm {
		if isKeeper && (!complete || len(versions) > 1) {
			s.memory.load(ctx)
		}
		replies = s.ask(ctx, question, versions)
		versions, complete = streamversion.Merge(started, append(replies.views, s.upToDate(started, stream.Service))...)
		if !replies.found && isKeeper && (!complete || len(versions) > 1) {
			s.awaitLoad(ctx, started.Add(FindTimeout))
			replies.version, replies.found = s.find(time.Now(), key)
		}
		if replies.found {
			resumedRecorded.Inc()
			s.keep(key, stream.Service, replies.version)
			return replies.version, nil
		}
	}
	// Versions may have been forgotten here since the caller asked.
	replies.views = append(replies.views, own)
	merge := func() ([]string, bool) {
		view := s.config.Fleet.VersionsView(time.Now(), stream.Service)
		return streamversion.Merge(started, append(replies.views, view)...)
	}
	versions, complete = merge()
	ownTimeout := FindTimeout
	if !question.Confirm { // else the registry doesn't answer this VM
		ownTimeout = s.confirmation.timeout(FindTimeout)
	}
	if !complete && len(versions) == 1 && isKeeper && s.confirmation.awaitUntil(ctx, started.Add(ownTimeout)) {
		replies.views = append(replies.views, s.upToDate(started, stream.Service))
		versions, complete = merge()
	}
	// Whether a stream went on at the right version can't be told later without what was known then.
	s.config.Logger.Info("nobody knows the version of a stream", zap.String("stream", stream.Request), zap.String("service", stream.Service),
		zap.Duration("known_here_for", started.Sub(own.From)), zap.Duration("list_age", started.Sub(own.To)), zap.Int("asked", replies.asked),
		zap.Int("answered", replies.answered), zap.Strings("versions", versions), zap.Bool("complete", complete))
	return decideUnknown(versions, complete)
}

// decideUnknown returns the version of a stream that nobody knows, given the versions that its service may have had and
// whether these are all.
func decideUnknown(versions []string, complete bool) (string, *refusal.Refusal) {
	switch {
	case len(versions) == 1 && complete:
		resumedOnlyOne.Inc()
		return versions[0], nil
	case len(versions) <= 1:
		resumedUnknown.Inc()
		return "", refusal.New(refusal.CodeNoCapacity, unknownRetryAfter, "the software versions that served before are not known yet, and the one that began the stream is not known")
	}
	resumedUnknown.Inc()
	return "", refusal.New(refusal.CodeNoCapacity, 0, "backend servers of several versions serve, and the one that began the stream is not known")
}

// keep records a version that another VM knew.
func (s *Finder) keep(key streamversion.Key, service, version string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(now, key, streamversion.Record{Service: service, Version: version, BegunAt: now})
}

// replies are what other VMs know of a stream.
type replies struct {
	found   bool
	version string
	// views are what they know of the versions of the service.
	views []streamversion.View
	// asked and answered count the VMs.
	asked, answered int
}

// ask asks all possible keepers of a stream at once for its version, because VMs may differ in
// who they think is live. It waits for VMs that aren't live here only if the service has several versions.
func (s *Finder) ask(ctx context.Context, question entryvm.FindStreamArgs, known []string) replies {
	// Calls are not canceled once the answer is known: that would close connections that others use.
	ctx = context.WithoutCancel(ctx)
	askedAt := time.Now()
	keepers := s.config.Fleet.PossibleKeepers(askedAt)
	type keeperReply struct {
		entryvm.FindStreamReply
		isLive, answered bool
	}
	received := make(chan keeperReply, len(keepers))
	timeout := FindTimeout
	if question.Confirm && len(known) <= 1 {
		timeout += confirmTimeout
	}
	liveWithoutReply := 0
	for _, keeper := range keepers {
		if keeper.IsLive {
			liveWithoutReply++
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := s.config.VMs.FindStream(ctx, keeper.Address, question)
			if err != nil {
				s.config.Logger.Debug("version of a stream not asked", zap.String("vm", keeper.VM), telemetry.Reason(err))
			}
			received <- keeperReply{reply, keeper.IsLive, err == nil}
		}()
	}
	out := replies{asked: len(keepers)}
	// enough ends the wait for those that confirm their list once others have, but not for those that know the stream.
	var enough <-chan time.Time
	for range keepers {
		if liveWithoutReply == 0 && len(known) <= 1 {
			break
		}
		var reply keeperReply
		select {
		case reply = <-received:
		case <-enough:
			return out
		}
		if reply.isLive {
			liveWithoutReply--
		}
		if !reply.answered {
			continue
		}
		out.answered++
		if reply.Found {
			out.found, out.version = true, reply.Version
			return out
		}
		known = mergeVersions(known, reply.Versions)
		out.views = append(out.views, viewOf(askedAt, time.Now(), &reply.FindStreamReply))
		if _, complete := streamversion.Merge(askedAt, out.views...); complete {
			enough = time.After(time.Until(askedAt.Add(FindTimeout)))
		}
	}
	return out
}

// viewOf returns what a reply tells of the versions of a service, in times of this VM's clock.
func viewOf(askedAt, receivedAt time.Time, reply *entryvm.FindStreamReply) streamversion.View {
	view := streamversion.View{Versions: reply.Versions, From: receivedAt.Add(-reply.KnownFor), To: askedAt.Add(-reply.ListAge)}
	if reply.Confirmed {
		view.To = askedAt
	}
	return view
}

func mergeVersions(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}
