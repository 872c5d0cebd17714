package engineserver

import (
	"bytes"
	"context"
	"slices"
	"time"

	"bergamotreel/engine"
)

// stream is one request and its answer, from its arrival until it is forgotten.
type stream struct {
	request engine.Request
	prompt  prompt
	// tokens is how many tokens came; chunks is what readers get.
	tokens int
	chunks [][]byte
	// prefilled is when the first step that counts may begin.
	prefilled time.Time
	// whole says that all chunks are there; ended, when no more will come.
	whole bool
	ended time.Time
	// changed is closed and replaced with each change.
	changed chan struct{}
	// broken is closed by a crash, a cancellation or a hand-over.
	broken chan struct{}
}

func newStream(request engine.Request, p prompt) *stream {
	return &stream{request: request, prompt: p, changed: make(chan struct{}), broken: make(chan struct{})}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) breakOff() {
	select {
	case <-s.broken:
	default:
		close(s.broken)
	}
}

func (s *stream) same(other engine.Request) bool {
	return s.request.Unit == other.Unit && s.request.Path == other.Path && bytes.Equal(s.request.Body, other.Body)
}

// Generate takes a request, or finds the stream that it already has.
func (e *Engine) Generate(ctx context.Context, request engine.Request) (*StreamReader, error) {
	s, err := deliver(ctx, e, 0, func() (*stream, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.accept(request)
	})
	if err != nil {
		return nil, err
	}
	if e.losesStreamAnswer() {
		return nil, errLost
	}
	return e.newReading(s, 1), nil
}

func (e *Engine) accept(request engine.Request) (*stream, error) {
	if !e.up {
		return nil, errDown
	}
	e.forget(time.Now())
	if known, ok := e.streams[request.ID]; ok {
		if !known.same(request) {
			return nil, refuse(engine.CodeIDConflict, engine.ErrIDConflict, "%s", request.ID)
		}
		return known, nil
	}
	p, err := parsePrompt(request.Body)
	if err != nil || request.ID == "" {
		return nil, refuse(engine.CodeBadRequest, engine.ErrBadRequest, "no prompt or no request identity")
	}
	if err := e.admits(request); err != nil {
		return nil, err
	}
	s := newStream(request, p)
	e.streams[request.ID] = s
	e.enqueue(s)
	return s, nil
}

// admits refuses a request that the engine cannot run.
func (e *Engine) admits(request engine.Request) error {
	if e.role == engine.RoleDecode {
		return refuse(engine.CodeWrongRole, engine.ErrWrongRole, "this engine only decodes")
	}
	return e.hasRoom(request.Unit)
}

// hasRoom refuses a stream of a unit that is not ready or has no place.
func (e *Engine) hasRoom(unitName string) error {
	switch {
	case e.draining:
		return refuse(engine.CodeDraining, engine.ErrBusy, "no new requests")
	case !e.isReady(unitName):
		return refuse(engine.CodeNotLoaded, engine.ErrNotLoaded, "%s", unitName)
	case len(e.queue)+len(e.running) >= e.options.MaxQueued+e.options.Slots:
		return refuse(engine.CodeBusy, engine.ErrBusy, "%d requests wait", len(e.queue))
	}
	return nil
}

// enqueue puts the stream behind all of at least its priority.
func (e *Engine) enqueue(s *stream) {
	behind := func(q *stream) bool { return q.request.Priority < s.request.Priority }
	i := slices.IndexFunc(e.queue, behind)
	if i < 0 {
		i = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, i, s)
	e.report()
	e.wakeUp()
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// batch is the duty that decodes: one step after the other while there is work.
func (e *Engine) batch(ctx context.Context, wake <-chan struct{}) {
	for ctx.Err() == nil {
		step, busy := e.beginStep(ctx)
		if !busy {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		if e.work(ctx, step) {
			e.endStep(ctx)
		}
	}
}

// beginStep fills free slots and tells how long the next step takes.
func (e *Engine) beginStep(ctx context.Context) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return 0, false
	}
	for len(e.running) < e.options.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		e.begin(s)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	step := e.options.TokenTime + time.Duration(len(e.running)-1)*e.options.TokenTimePerRequest
	if wait := e.untilPrefilled(); wait > step {
		step = wait
	}
	return step, true
}

// begin gives the stream a slot. An imported stream needs no prefill.
func (e *Engine) begin(s *stream) {
	e.running = append(e.running, s)
	e.report()
	if s.tokens > 0 {
		return
	}
	e.records.RunCounts[s.request.ID]++
	fresh := e.cache.use(s.request.Unit, e.options.HashPrefixes(s.request.Unit, s.request.Body), time.Now())
	prefill := time.Duration(float64(s.prompt.promptTokens()) * fresh * float64(e.options.PrefillTimePerToken))
	if e.faults.SlowFactor > 0 {
		prefill = time.Duration(float64(prefill) * e.faults.SlowFactor)
	}
	s.prefilled = time.Now().Add(prefill)
}

// untilPrefilled is the time until any running stream can decode.
func (e *Engine) untilPrefilled() time.Duration {
	first := e.running[0].prefilled
	for _, s := range e.running {
		if s.prefilled.Before(first) {
			first = s.prefilled
		}
	}
	return time.Until(first)
}

// endStep gives each prefilled stream one token and frees the slots of those
// that ended.
func (e *Engine) endStep(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, s := range e.running {
		if !s.prefilled.After(now) {
			e.decode(s, now)
		}
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return !s.ended.IsZero() })
	if len(e.running) != before {
		e.report()
		e.finishUnloads()
	}
}

func (e *Engine) decode(s *stream, now time.Time) {
	s.chunks = append(s.chunks, s.tokenChunk(s.tokens))
	s.tokens++
	switch {
	case s.tokens >= s.prompt.answerTokens():
		if s.prompt.StreamOptions.IncludeUsage {
			s.chunks = append(s.chunks, s.usageChunk())
		}
		s.whole = true
		s.ended = now
	case e.role == engine.RolePrefill:
		// The KV cache waits here to be exported; readers go on elsewhere.
		s.ended = now
		s.breakOff()
	}
	s.notify()
}

// Cancel ends a stream and forgets it.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return refuse(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s", id)
	}
	e.remove(s)
	return nil
}

// remove forgets the stream.
func (e *Engine) remove(s *stream) {
	delete(e.streams, s.request.ID)
	e.stop(s)
}

// stop ends the stream's work here and breaks off its readers.
func (e *Engine) stop(s *stream) {
	isS := func(other *stream) bool { return other == s }
	e.queue = slices.DeleteFunc(e.queue, isS)
	e.running = slices.DeleteFunc(e.running, isS)
	s.breakOff()
	e.report()
	e.finishUnloads()
}

// forget drops the streams that ended longer than Options.Keep ago.
func (e *Engine) forget(now time.Time) {
	for id, s := range e.streams {
		if !s.ended.IsZero() && now.Sub(s.ended) > e.options.StreamTTL {
			delete(e.streams, id)
		}
	}
}

// report notes the present load for laggingLoad.
func (e *Engine) report() {
	now := time.Now()
	e.reports = append(e.reports, engine.Load{Running: len(e.running), Queued: len(e.queue), At: now})
	// Keep the newest report that is old enough to show, and all after it.
	shown := now.Add(-e.options.LoadReportDelay)
	for len(e.reports) > 1 && !e.reports[1].At.After(shown) {
		e.reports = e.reports[1:]
	}
}

// laggingLoad is the newest load that is at least Options.LoadLag old.
func (e *Engine) laggingLoad(now time.Time) engine.Load {
	shown := now.Add(-e.options.LoadReportDelay)
	load := engine.Load{At: shown}
	for _, report := range e.reports {
		if report.At.After(shown) {
			break
		}
		load.Running, load.Queued = report.Running, report.Queued
	}
	return load
}
