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
	// unshared are the streams that began at this VM and were not sent to others.
	unshared map[modelOfService]map[streamversion.Key]unsharedStream
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
	s := &Finder{config: config, wake: make(chan struct{}, 1), table: streamversion.NewTable(), unshared: make(map[modelOfService]map[streamversion.Key]unsharedStream),
		expected: make(map[streamversion.Key]chan struct{})}
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

// RecordStream records where a stream began, or that the weights of its model changed midway.
func (s *Finder) RecordStream(stream streamversion.Stream, origin streamversion.Origin) {
	if stream.Request == "" || origin.Version == "" {
		return
	}
	now := time.Now()
	key, record := stream.Key(), streamversion.Record{Service: stream.Service, Model: stream.Model, Version: origin.Version, Weights: origin.Weights, BegunAt: now}
	s.mu.Lock()
	if s.table.Add(now, key, record) {
		s.addUnshared(key, unsharedStream{Record: record})
	}
	s.endExpected(key)
	s.mu.Unlock()
	if s.memory.hasSeveral(now, modelOfService{stream.Service, stream.Model}) {
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
			streams[streamversion.Key(key)] = streamversion.Record{Service: group.Service, Version: group.Version, Weights: group.Weights, BegunAt: now.Add(-group.Age)}
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
			s.table.Add(now, streamversion.Key(key), streamversion.Record{Service: record.Service, Version: record.Version, Weights: record.Weights, BegunAt: now})
		}
	}
}

// Find answers another VM that asks for the origin of a stream.
func (s *Finder) Find(args entryvm.FindStreamArgs) entryvm.FindStreamReply {
	started, key, of := time.Now(), streamversion.Key(args.Key), modelOfService{args.Service, args.Model}
	origin, found, expected := s.await(context.Background(), key, started.Add(replyTimeout))
	if expected { // it began, at any version
		return entryvm.FindStreamReply{Versions: []string{streamversion.UnlistedVersion("", 0)}}
	}
	known := mergeViews(started, of, s.views(started, of).asOf(started))
	if !found && (!known.complete || known.isAmbiguous()) {
		s.awaitLoad(context.Background(), started.Add(replyTimeout))
		origin, found = s.find(time.Now(), key)
	}
	confirmed := !found && args.Confirm && !known.isAmbiguous() && s.confirmation.awaitUntil(context.Background(), started.Add(s.confirmation.timeout(replyTimeout)))
	now := time.Now()
	v := s.views(now, of)
	reply := entryvm.FindStreamReply{Found: found, Version: origin.Version, Weights: origin.Weights, Versions: v.software.Versions,
		KnownFor: now.Sub(v.software.From), ListAge: now.Sub(v.software.To), Confirmed: confirmed}
	if of.model != "" {
		reply.WeightVersions, reply.WeightsKnownFor = v.weights.Versions, now.Sub(v.weights.From)
	}
	return reply
}

// awaitLoad reads what the registry holds of streams, and waits for it until the deadline at most.
func (s *Finder) awaitLoad(ctx context.Context, deadline time.Time) {
	select {
	case <-s.memory.load(ctx):
	case <-time.After(time.Until(deadline)):
	}
}

// await is find for a stream whose version may be known soon. expected is whether it wasn't by the deadline.
func (s *Finder) await(ctx context.Context, key streamversion.Key, deadline time.Time) (origin streamversion.Origin, found, expected bool) {
	s.mu.Lock()
	known := s.expected[key]
	s.mu.Unlock()
	if known != nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case <-known:
		case <-ctx.Done():
			return streamversion.Origin{}, false, true
		}
	}
	origin, found = s.find(time.Now(), key)
	return origin, found, false
}

func (s *Finder) find(now time.Time, key streamversion.Key) (origin streamversion.Origin, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Origin(now, key)
}

// FindVersion returns where a stream began that its caller takes up. A stream of which nobody knows the origin is
// refused unless its service is known to have had only one version until now, and its model one of its weights.
func (s *Finder) FindVersion(ctx context.Context, stream streamversion.Stream) (streamversion.Origin, *refusal.Refusal) {
	started, key, of := time.Now(), stream.Key(), modelOfService{stream.Service, stream.Model}
	switch origin, found, expected := s.await(ctx, key, started.Add(FindTimeout)); {
	case found:
		return s.decideKnown(of, origin)
	case expected:
		return decideUnknown(knowledge{})
	}
	isKeeper := s.config.Fleet.KeepsStreams(started)
	own := s.views(started, of)
	known := mergeViews(started, of, own.asOf(started))
	question := entryvm.FindStreamArgs{Key: entryvm.StreamKey(key), Service: stream.Service, Model: stream.Model, Confirm: !isKeeper || s.config.Fleet.IsListStale()}
	var replies replies
	// A version may be unknown here: the VM has just started, or the registry doesn't answer it.
	if !known.complete || stream.Request != "" || question.Confirm {
		if isKeeper && (!known.complete || known.isAmbiguous()) {
			s.memory.load(ctx)
		}
		replies = s.ask(ctx, question, known)
		known = mergeViews(started, of, append(replies.views, s.views(started, of).asOf(started))...)
		if !replies.found && isKeeper && (!known.complete || known.isAmbiguous()) {
			s.awaitLoad(ctx, started.Add(FindTimeout))
			replies.origin, replies.found = s.find(time.Now(), key)
		}
		if replies.found {
			s.keep(key, stream.Service, replies.origin)
			return s.decideKnown(of, replies.origin)
		}
	}
	// Versions may have been forgotten here since the caller asked.
	replies.views = append(replies.views, own)
	merge := func() knowledge { return mergeViews(started, of, append(replies.views, s.views(time.Now(), of))...) }
	known = merge()
	ownTimeout := FindTimeout
	if !question.Confirm { // else the registry doesn't answer this VM
		ownTimeout = s.confirmation.timeout(FindTimeout)
	}
	if !known.complete && len(known.versions) == 1 && !known.isAmbiguous() && isKeeper && s.confirmation.awaitUntil(ctx, started.Add(ownTimeout)) {
		replies.views = append(replies.views, s.views(started, of).asOf(started))
		known = merge()
	}
	// Whether a stream went on at the right version can't be told later without what was known then.
	s.config.Logger.Info("nobody knows the version of a stream", zap.String("stream", stream.Request), zap.String("service", stream.Service),
		zap.Duration("known_here_for", started.Sub(own.software.From)), zap.Duration("list_age", started.Sub(own.software.To)), zap.Int("asked", replies.asked),
		zap.Int("answered", replies.answered), zap.Strings("versions", known.versions), zap.Strings("weights", known.weights), zap.Bool("complete", known.complete))
	return decideUnknown(known)
}

// decideKnown returns the origin of a stream that somebody knows. If that doesn't name the weights, they are the only
// ones that the model is known to have had.
func (s *Finder) decideKnown(of modelOfService, origin streamversion.Origin) (streamversion.Origin, *refusal.Refusal) {
	if origin.Weights == 0 && of.model != "" {
		versions := s.views(time.Now(), of).weights.Versions
		if len(versions) > 1 {
			resumedUnknown.Inc()
			return streamversion.Origin{}, refuseSeveral()
		}
		origin.Weights = onlyWeights(versions)
	}
	resumedRecorded.Inc()
	return origin, nil
}

// decideUnknown returns the origin of a stream that nobody knows, given what is known of the versions at which it may
// have begun.
func decideUnknown(known knowledge) (streamversion.Origin, *refusal.Refusal) {
	switch {
	case known.isAmbiguous():
		resumedUnknown.Inc()
		return streamversion.Origin{}, refuseSeveral()
	case len(known.versions) == 1 && known.complete:
		resumedOnlyOne.Inc()
		return streamversion.Origin{Version: known.versions[0], Weights: onlyWeights(known.weights)}, nil
	}
	resumedUnknown.Inc()
	return streamversion.Origin{}, refusal.New(refusal.CodeNoCapacity, unknownRetryAfter, "the versions that served before are not known yet, and the one that began the stream is not known")
}

func refuseSeveral() *refusal.Refusal {
	return refusal.New(refusal.CodeNoCapacity, 0, "backend servers or weights of several versions serve, and the one that began the stream is not known")
}

// onlyWeights returns the only version of weights, 0 if none is known.
func onlyWeights(versions []string) int64 {
	if len(versions) == 0 {
		return 0
	}
	return streamversion.ParseWeights(versions[0])
}

// keep records an origin that another VM knew.
func (s *Finder) keep(key streamversion.Key, service string, origin streamversion.Origin) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(now, key, streamversion.Record{Service: service, Version: origin.Version, Weights: origin.Weights, BegunAt: now})
}

// replies are what other VMs know of a stream.
type replies struct {
	found  bool
	origin streamversion.Origin
	// views are what they know of the versions.
	views []views
	// asked and answered count the VMs.
	asked, answered int
}

// ask asks all possible keepers of a stream at once for its version, because VMs may differ in
// who they think is live. It waits for VMs that aren't live here only if the service or the model has several versions.
func (s *Finder) ask(ctx context.Context, question entryvm.FindStreamArgs, known knowledge) replies {
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
	if question.Confirm && !known.isAmbiguous() {
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
		if liveWithoutReply == 0 && !known.isAmbiguous() {
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
			out.found, out.origin = true, streamversion.Origin{Version: reply.Version, Weights: reply.Weights}
			return out
		}
		v := viewsOf(askedAt, time.Now(), &reply.FindStreamReply)
		known.versions, known.weights = mergeVersions(known.versions, v.software.Versions), mergeVersions(known.weights, v.weights.Versions)
		out.views = append(out.views, v)
		if mergeViews(askedAt, modelOfService{question.Service, question.Model}, out.views...).complete {
			enough = time.After(time.Until(askedAt.Add(FindTimeout)))
		}
	}
	return out
}
