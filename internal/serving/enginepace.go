package serving

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/caller"
	"bergamotreel/routing/pace"
)

// PaceRecorder records how fast engines write streams; pace.Table is one.
type PaceRecorder interface {
	ObserveFirstEvent(now time.Time, key pace.Key, d time.Duration)
	ObserveGap(now time.Time, key pace.Key, d time.Duration, events int)
}

// maxPromptDelivery is the longest time that handing an event on may take for the gap after it to count. A
// caller that reads slowly holds the stream up, and the engine's events gather meanwhile.
const maxPromptDelivery = 20 * time.Millisecond

const paceStreamsTotal = "bergamotreel_engine_pace_streams_total"

// The ended streams of routes with a target for gaps, by what this VM measured.
var (
	paceStreamsInTime    = metrics.NewCounter(paceStreamsTotal + `{outcome="in_time"}`)
	paceStreamsLateFirst = metrics.NewCounter(paceStreamsTotal + `{outcome="late_first_event"}`)
	paceStreamsLateGap   = metrics.NewCounter(paceStreamsTotal + `{outcome="late_gap"}`)
)

// streamPace is what was measured of one attempt's event stream.
type streamPace struct {
	// isWhole is whether the attempt began with the stream's first event.
	isWhole bool
	// lastEvent is when the last event arrived, zero before the first, and events how many had
	// arrived then.
	lastEvent time.Time
	events    int
	// lastPiece is when the last piece arrived, and delivery how long handing the pieces on took since
	// the last event.
	lastPiece time.Time
	delivery  time.Duration
	lateFirst bool
	maxGap    time.Duration
}

// paceTargets returns what a request's stream needs of the pace of its engine.
func (s *Server) paceTargets(r *caller.RelayRequest, pool string) pace.Targets {
	if s.config.Pace == nil || !r.Route.Stream || r.Route.TargetGap <= 0 || r.Model == "" {
		return pace.Targets{}
	}
	targets := pace.Targets{Gap: r.Route.TargetGap, Events: s.streamLengths.Expect(lengthKind(r, pool), r.OutputTokens)}
	if r.Route.TargetLatency > 0 {
		targets.FirstEventDue = r.Arrived.Add(r.Route.TargetLatency)
	}
	return targets
}

// lengthKind returns the kind of streams that a request's stream is like in length.
func lengthKind(r *caller.RelayRequest, pool string) string { return r.Route.Name + " " + pool }

// observePace records the pace of the engine after a piece of its stream arrived. It must be called
// before lastReceived changes.
func (f *forwarding) observePace(now time.Time) {
	recorder := f.server.config.Pace
	if recorder == nil || !f.eventStream || f.request.Model == "" {
		return
	}
	p := &f.pace
	if !p.lastPiece.IsZero() {
		p.delivery += f.lastReceived.Sub(p.lastPiece)
	}
	p.lastPiece = now
	events := f.boundary.events - p.events
	if events == 0 {
		return
	}
	key := pace.Key{Engine: f.target.ID, Started: f.target.Started, Model: f.pending.query.Pool}
	if p.lastEvent.IsZero() {
		recorder.ObserveFirstEvent(now, key, now.Sub(f.pending.attemptStart))
		p.lateFirst = f.request.Route.TargetLatency > 0 && now.Sub(f.request.Arrived) > f.request.Route.TargetLatency
	} else {
		gap := now.Sub(p.lastEvent)
		p.maxGap = max(p.maxGap, gap)
		if p.delivery <= maxPromptDelivery {
			recorder.ObserveGap(now, key, gap, events)
		}
	}
	p.lastEvent, p.events, p.delivery = now, f.boundary.events, 0
}

// finishPace records the length of a complete stream, and whether it was in time.
func (f *forwarding) finishPace(err error) {
	p, route := &f.pace, f.request.Route
	if err != nil || f.server.config.Pace == nil || p.events == 0 || !p.isWhole {
		return
	}
	f.server.streamLengths.Observe(lengthKind(&f.request, f.pending.query.Pool), f.request.OutputTokens, p.events)
	switch {
	case route.TargetGap <= 0:
	case p.maxGap > route.TargetGap:
		paceStreamsLateGap.Inc()
	case p.lateFirst:
		paceStreamsLateFirst.Inc()
	default:
		paceStreamsInTime.Inc()
	}
}
