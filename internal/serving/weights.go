package serving

import (
	"bytes"
	"cmp"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// otherWeightsTTL is how long a backend server that has other weights than a stream gets none that began with the same
// ones: its entry may be older than its weights.
const otherWeightsTTL = 10 * time.Second

// errOtherWeights ends an attempt to continue a stream whose answer names other weights than those that began it.
var errOtherWeights = errors.New("the answer is of other weights than the stream")

// otherWeightsTotal counts the attempts to continue a stream that met other weights.
var otherWeightsTotal = metrics.NewCounter("bergamotreel_resumed_streams_other_weights_total")

// hasOtherWeights reports whether an attempt ended because the backend server has other weights than the stream.
func hasOtherWeights(err error) bool {
	return errors.Is(err, errOtherWeights) || errors.Is(err, service.ErrOtherWeights)
}

// weightsKey is a backend server and a unit of BoundUnit whose weights it doesn't have.
type weightsKey struct{ backend, unit string }

// otherWeights remembers which backend servers were found not to have the weights that a unit names. It is safe for
// concurrent use.
type otherWeights struct {
	mu    sync.Mutex
	until map[weightsKey]time.Time
}

// record records that a backend server was found to have other weights than the unit.
func (o *otherWeights) record(now time.Time, backend, unit string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.until, func(_ weightsKey, until time.Time) bool { return !now.Before(until) })
	if o.until == nil {
		o.until = make(map[weightsKey]time.Time)
	}
	o.until[weightsKey{backend, unit}] = now.Add(otherWeightsTTL)
}

// filter removes the candidates that have other weights than those of the unit, and those whose weights aren't known
// while some that have them are ready: an attempt that meets other weights is a repeat.
func (o *otherWeights) filter(now time.Time, unit string, weights int64, candidates []routing.Candidate) []routing.Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
		return (c.Weights != 0 && c.Weights != weights) || now.Before(o.until[weightsKey{c.Engine, unit}])
	})
	isKnown := func(c routing.Candidate) bool { return c.Weights == weights }
	if hasReadyCandidate(slices.DeleteFunc(slices.Clone(candidates), func(c routing.Candidate) bool { return !isKnown(c) })) {
		return slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return !isKnown(c) })
	}
	return candidates
}

// unavailableRefusal returns the refusal for a unit that nothing can serve, nil if it may be served later. A load brings
// the newest weights, so those of a unit aren't loaded again once all engines with the model have others.
func (s *Server) unavailableRefusal(unit string) *refusal.Refusal {
	if refused := s.config.Directory.UnavailableRefusal(unit); refused != nil {
		return refused
	}
	base, origin := SplitOrigin(unit)
	if origin.Weights == 0 || slices.ContainsFunc(s.findCandidates(unit), isStaying) {
		return nil
	}
	if !hasReadyCandidate(s.findCandidates(VersionedUnit(base, origin.Version))) {
		return nil
	}
	return refusal.New(refusal.CodeNoCapacity, 0, "no engine has version %d of the weights of %s", origin.Weights, base)
}

func isStaying(c routing.Candidate) bool { return !c.Leaving }

// recordOtherWeights records that the attempt's backend server has other weights than the stream.
func (f *forwarding) recordOtherWeights() {
	otherWeightsTotal.Inc()
	f.server.otherWeights.record(time.Now(), f.pending.backend, f.unitToContinue())
}

// continuesWeights reports whether an answer is of the weights that the stream is bound to, if it names any.
func (f *forwarding) continuesWeights(head *service.ForwardResponse) bool {
	return f.origin.Weights == 0 || head.Weights == 0 || head.Weights == f.origin.Weights
}

// beginsWithWeights reports whether the first events of an attempt are of the weights of the last event, if they name any.
// A run that continues a stream has to begin with these; within it, the weights may change.
func (f *forwarding) beginsWithWeights(events []byte, field string) bool {
	first := firstWeights(events, field)
	return f.origin.Weights == 0 || first == 0 || first == f.origin.Weights
}

// followWeights binds the stream to the weights of its events. isFirst is whether these are the first of their attempt.
func (f *forwarding) followWeights(head *service.ForwardResponse, events []byte, isFirst bool) {
	if first := cmp.Or(firstWeights(events, head.WeightsField), head.Weights); isFirst && first != 0 {
		f.origin.Weights = first
	}
	last := lastWeights(events, head.WeightsField)
	if last == 0 || last == f.origin.Weights {
		return
	}
	f.origin.Weights = last
	if f.origin.Version != "" {
		f.server.forwardDirectory().RecordStream(streamOf(&f.request), f.origin)
	}
}

// firstWeights returns the version of the weights that the first event names, 0 if it names none.
func firstWeights(events []byte, field string) int64 {
	for len(events) > 0 {
		e, size := parseEvent(events)
		if e.hasID || e.hasData {
			return eventWeights(events[:size], field)
		}
		events = events[size:]
	}
	return 0
}

// eventWeights returns the version of the weights that the first line of an event names, 0 if it names none. Comments
// are no lines of an event.
func eventWeights(event []byte, field string) int64 {
	for field != "" && len(event) > 0 {
		line, length := cutLine(event)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) > 0 && len(name) == 0:
			event = event[length:]
			continue
		case string(name) != field:
			return 0
		}
		version, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || version < 0 {
			return 0
		}
		return version
	}
	return 0
}

// lastWeights returns the version of the weights that the last event which names one names, 0 if none does.
func lastWeights(events []byte, field string) (version int64) {
	if field == "" || !bytes.Contains(events, []byte(field)) {
		return 0
	}
	for len(events) > 0 {
		_, size := parseEvent(events)
		if named := eventWeights(events[:size], field); named != 0 {
			version = named
		}
		events = events[size:]
	}
	return version
}
