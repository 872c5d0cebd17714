package engineserver

import (
	"bytes"
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
)

// stream holds one request and its answer, from the request's arrival until the
// stream is cancelled or expires.
type stream struct {
	request engine.Request
	prompt  prompt
	// tokenCount is the number of generated tokens. chunks are what readers
	// receive; they may include a usage chunk after the last token.
	tokenCount int
	chunks     [][]byte
	// prefillEnd is the time from which decoding steps produce tokens.
	prefillEnd time.Time
	// complete reports whether chunks holds the whole answer. endedAt is when
	// this engine stopped adding chunks; zero while it still adds them.
	complete bool
	endedAt  time.Time
	// changed is closed and replaced on each change, to wake waiting readers.
	changed chan struct{}
	// aborted is closed by a crash, a cancellation or the export of the KV cache.
	aborted chan struct{}
}

func newStream(request engine.Request, p prompt) *stream {
	return &stream{request: request, prompt: p, changed: make(chan struct{}), aborted: make(chan struct{})}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) abort() {
	select {
	case <-s.aborted:
	default:
		close(s.aborted)
	}
}

func (s *stream) isSameRequest(other engine.Request) bool {
	return s.request.Unit == other.Unit && s.request.Path == other.Path && bytes.Equal(s.request.Body, other.Body)
}

// Generate queues a request and returns a reader of its stream. A request that
// was received before is not run again: the reader is on its existing stream.
func (e *Engine) Generate(ctx context.Context, request engine.Request) (*StreamReader, error) {
	s, err := deliver(ctx, e, 0, func() (*stream, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.accept(request)
	})
	if err != nil {
		return nil, err
	}
	if e.shouldLoseStreamAnswer() {
		return nil, errAnswerLost
	}
	return e.newStreamReader(s, 1), nil
}

func (e *Engine) accept(request engine.Request) (*stream, error) {
	if !e.up {
		return nil, errDown
	}
	e.removeExpired(time.Now())
	if existing, ok := e.streams[request.ID]; ok {
		if !existing.isSameRequest(request) {
			return nil, newRefusal(engine.CodeIDConflict, engine.ErrIDConflict, "%s", request.ID)
		}
		return existing, nil
	}
	p, err := parsePrompt(request.Body)
	if err != nil || request.ID == "" {
		return nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "no prompt or no request identity")
	}
	if err := e.checkAdmission(request); err != nil {
		return nil, err
	}
	s := newStream(request, p)
	e.streams[request.ID] = s
	e.enqueue(s)
	return s, nil
}

// checkAdmission returns a refusal if the engine cannot run the request.
func (e *Engine) checkAdmission(request engine.Request) error {
	if e.role == engine.RoleDecode {
		return newRefusal(engine.CodeWrongRole, engine.ErrWrongRole, "this engine only decodes")
	}
	return e.checkAvailability(request.Unit)
}

// checkAvailability returns a refusal if the engine is draining, the unit is not
// ready or the queue is full.
func (e *Engine) checkAvailability(unitName string) error {
	switch {
	case e.draining:
		return newRefusal(engine.CodeDraining, engine.ErrBusy, "no new requests")
	case !e.isReady(unitName):
		return newRefusal(engine.CodeNotLoaded, engine.ErrNotLoaded, "%s", unitName)
	case len(e.queue)+len(e.running) >= e.options.MaxQueued+e.options.Slots:
		return newRefusal(engine.CodeBusy, engine.ErrBusy, "%d requests wait", len(e.queue))
	}
	return nil
}

// enqueue inserts the stream behind all queued streams of the same or a higher
// priority.
func (e *Engine) enqueue(s *stream) {
	hasLowerPriority := func(q *stream) bool { return q.request.Priority < s.request.Priority }
	i := slices.IndexFunc(e.queue, hasLowerPriority)
	if i < 0 {
		i = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, i, s)
	e.recordLoad()
	e.signalWork()
}

func (e *Engine) signalWork() {
	select {
	case e.workReady <- struct{}{}:
	default:
	}
}

// runSteps runs one decoding step after the other while there are requests, and
// waits for workReady otherwise.
func (e *Engine) runSteps(ctx context.Context, workReady <-chan struct{}) {
	for ctx.Err() == nil {
		step, busy := e.beginStep(ctx)
		if !busy {
			select {
			case <-workReady:
			case <-ctx.Done():
			}
			continue
		}
		if e.simulateWork(ctx, step) {
			e.endStep(ctx)
		}
	}
}

// beginStep fills free slots from the queue and returns the duration of the next
// step; false means that there is nothing to run.
func (e *Engine) beginStep(ctx context.Context) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return 0, false
	}
	for len(e.running) < e.options.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		e.startStream(s)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.options.TokenTime + time.Duration(len(e.running)-1)*e.options.TokenTimePerRequest
	if wait := e.timeUntilFirstPrefillEnd(); wait > step {
		step = wait
	}
	return step, true
}

// startStream gives the stream a slot. An imported stream needs no prefill.
func (e *Engine) startStream(s *stream) {
	e.running = append(e.running, s)
	e.recordLoad()
	if s.tokenCount > 0 {
		return
	}
	e.records.RunCounts[s.request.ID]++
	uncached := e.cache.recordPrompt(s.request.Unit, e.options.HashPrefixes(s.request.Unit, s.request.Body), time.Now())
	prefill := time.Duration(float64(s.prompt.promptTokenCount()) * uncached * float64(e.options.PrefillTimePerToken))
	if e.faults.SlowFactor > 0 {
		prefill = time.Duration(float64(prefill) * e.faults.SlowFactor)
	}
	s.prefillEnd = time.Now().Add(prefill)
}

// timeUntilFirstPrefillEnd returns the time until the first running stream has its
// prompt prefilled and can decode.
func (e *Engine) timeUntilFirstPrefillEnd() time.Duration {
	earliest := e.running[0].prefillEnd
	for _, s := range e.running {
		if s.prefillEnd.Before(earliest) {
			earliest = s.prefillEnd
		}
	}
	return time.Until(earliest)
}

// endStep adds one token to each prefilled stream and frees the slots of the
// streams that ended.
func (e *Engine) endStep(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, s := range e.running {
		if !s.prefillEnd.After(now) {
			e.decodeToken(s, now)
		}
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return !s.endedAt.IsZero() })
	if len(e.running) != before {
		e.recordLoad()
		e.finishUnloads()
	}
}

func (e *Engine) decodeToken(s *stream, now time.Time) {
	s.chunks = append(s.chunks, s.newTokenChunk(s.tokenCount))
	s.tokenCount++
	switch {
	case s.tokenCount >= s.prompt.answerTokenCount():
		if s.prompt.StreamOptions.IncludeUsage {
			s.chunks = append(s.chunks, s.newUsageChunk())
		}
		s.complete = true
		s.endedAt = now
	case e.role == engine.RolePrefill:
		// The KV cache stays here until it is exported; readers resume on the
		// engine that imports it.
		s.endedAt = now
		s.abort()
	}
	s.notify()
}

// Cancel aborts a stream and deletes it.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.waitUntilRunning(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return newRefusal(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s", id)
	}
	e.removeStream(s)
	return nil
}

// removeStream deletes the stream and stops its work.
func (e *Engine) removeStream(s *stream) {
	delete(e.streams, s.request.ID)
	e.stopStream(s)
}

// stopStream removes the stream from the queue and its slot and aborts its
// readers.
func (e *Engine) stopStream(s *stream) {
	isTarget := func(other *stream) bool { return other == s }
	e.queue = slices.DeleteFunc(e.queue, isTarget)
	e.running = slices.DeleteFunc(e.running, isTarget)
	s.abort()
	e.recordLoad()
	e.finishUnloads()
}

// removeExpired deletes the streams that ended more than Options.StreamTTL ago.
func (e *Engine) removeExpired(now time.Time) {
	for id, s := range e.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > e.options.StreamTTL {
			delete(e.streams, id)
		}
	}
}

// recordLoad records the current load for delayedLoad.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadReports = append(e.loadReports, engine.Load{Running: len(e.running), Queued: len(e.queue), ReportedAt: now})
	// Keep the newest report that is old enough to be shown, and all later ones.
	newestShown := now.Add(-e.options.LoadReportDelay)
	for len(e.loadReports) > 1 && !e.loadReports[1].ReportedAt.After(newestShown) {
		e.loadReports = e.loadReports[1:]
	}
}

// delayedLoad returns the newest load that is at least Options.LoadReportDelay
// old.
func (e *Engine) delayedLoad(now time.Time) engine.Load {
	newestShown := now.Add(-e.options.LoadReportDelay)
	load := engine.Load{ReportedAt: newestShown}
	for _, report := range e.loadReports {
		if report.ReportedAt.After(newestShown) {
			break
		}
		load.Running, load.Queued = report.Running, report.Queued
	}
	return load
}
