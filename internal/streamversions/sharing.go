package streamversions

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/routing/streamversion"
)

const (
	// shareInterval is the time between two searches for streams to share that nothing wakes up,
	// minShareGap the minimum time between two, so that streams which begin together are sent
	// together.
	shareInterval = 200 * time.Millisecond
	minShareGap   = 10 * time.Millisecond
	// shareTimeout bounds the call that sends versions of streams to a keeper.
	shareTimeout = 500 * time.Millisecond
)

var (
	streamsShared     = metrics.NewCounter("bergamotreel_stream_versions_shared_total")
	streamsShareFails = metrics.NewCounter("bergamotreel_stream_versions_share_failures_total")
)

// unsharedStream is a stream that began at this VM and was not sent to others. handedOver is whether it is
// already going to be recorded.
type unsharedStream struct {
	streamversion.Record
	handedOver bool
}

// addUnshared adds a stream to be shared. Call with mu held.
func (s *Finder) addUnshared(key streamversion.Key, stream unsharedStream) {
	of := modelOfService{stream.Service, stream.Model}
	if s.unshared[of] == nil {
		s.unshared[of] = make(map[streamversion.Key]unsharedStream)
	}
	s.unshared[of][key] = stream
}

// runSharing shares the versions of streams until ctx ends.
func (s *Finder) runSharing(ctx context.Context) {
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

// recorder returns the address of the VM that records streams for this VM's failure domain, empty for this
// VM itself.
func (s *Finder) recorder(now time.Time) string {
	return s.recorderAmong(now, liveKeepers(s.config.Fleet.PossibleKeepers(now)))
}

// recorderAmong is recorder for known live keepers.
func (s *Finder) recorderAmong(now time.Time, keepers []Keeper) string {
	if s.config.Fleet.KeepsStreams(now) {
		keepers = append(slices.Clone(keepers), Keeper{VM: s.config.VM, Domain: s.config.Domain})
	}
	return pickRecorder(s.config.Domain, keepers).Address
}

// share sends the streams that were not sent yet to their keepers, and to the recorder, if their service or model has
// several versions: then they may be taken up where more than one version serves. Those of other services are
// sent once it has.
func (s *Finder) share(ctx context.Context) {
	now := time.Now()
	keepers := liveKeepers(s.config.Fleet.PossibleKeepers(now))
	recorder := s.recorderAmong(now, keepers)
	due := s.takeUnshared(now, len(keepers) > 0)
	byKeeper := make(map[string]streamRecords)
	toRecord := make(streamRecords)
	addTo := func(address string, key streamversion.Key, record streamversion.Record) {
		if byKeeper[address] == nil {
			byKeeper[address] = make(streamRecords)
		}
		byKeeper[address][key] = record
	}
	for key, stream := range due {
		for _, address := range pickKeepers(key, s.config.Domain, keepers) {
			addTo(address, key, stream.Record)
		}
		switch {
		case stream.handedOver:
		case recorder == "":
			toRecord[key] = stream.Record
		default:
			addTo(recorder, key, stream.Record)
		}
	}
	s.memory.add(toRecord)
	for address, streams := range byKeeper {
		go s.send(ctx, address, streams, address == recorder)
	}
}

// groupStreams groups streams by their service and origin.
func groupStreams(now time.Time, streams streamRecords) []entryvm.StreamGroup {
	type groupKey struct {
		service string
		origin  streamversion.Origin
	}
	groups := make(map[groupKey]*entryvm.StreamGroup)
	for key, record := range streams {
		age := now.Sub(record.BegunAt)
		of := groupKey{record.Service, streamversion.Origin{Version: record.Version, Weights: record.Weights}}
		group := groups[of]
		if group == nil {
			group = &entryvm.StreamGroup{Service: record.Service, Version: record.Version, Weights: record.Weights, Age: age}
			groups[of] = group
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

// takeUnshared returns the streams that are due to be shared, and drops expired ones. They stay if there is
// nobody to share them with.
func (s *Finder) takeUnshared(now time.Time, canShare bool) map[streamversion.Key]unsharedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[streamversion.Key]unsharedStream)
	for of, streams := range s.unshared {
		if !s.memory.hasSeveral(now, of) {
			continue
		}
		maps.Copy(due, streams)
		if canShare {
			delete(s.unshared, of)
			continue
		}
		for key, stream := range streams {
			stream.handedOver = true
			streams[key] = stream
		}
	}
	if now.Sub(s.expiredAt) >= streamversion.ExpireInterval {
		s.expiredAt = now
		for _, streams := range s.unshared {
			maps.DeleteFunc(streams, func(_ streamversion.Key, u unsharedStream) bool { return u.IsExpired(now) })
		}
	}
	return due
}

// send sends streams to a keeper. If that fails, they are shared again: another VM may keep them by
// then. If the keeper was to record them, this VM does.
func (s *Finder) send(ctx context.Context, address string, streams streamRecords, record bool) {
	callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	err := s.config.VMs.StreamVersions(callCtx, address, entryvm.StreamVersionsArgs{Groups: groupStreams(time.Now(), streams), Record: record})
	if err == nil {
		streamsShared.Add(len(streams))
		return
	}
	if ctx.Err() != nil {
		return
	}
	streamsShareFails.Add(len(streams))
	s.config.Logger.Warn("versions of streams not shared", zap.String("address", address), zap.Int("streams", len(streams)), telemetry.Reason(err))
	if record {
		s.memory.add(streams)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, stream := range streams {
		s.addUnshared(key, unsharedStream{Record: stream, handedOver: true})
	}
}
