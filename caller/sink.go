package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/engine"
	"bergamotreel/refusal"
)

// maxBufferedBytes is the buffer size at which events are written even if more chunks
// follow. It holds about ten tokens and is far below net/http's own buffers.
const maxBufferedBytes = 2 << 10

// headerCold is set to "true" if the request waited for a load.
const headerCold = "X-Bergamotreel-Cold"

// progress checks the order of the chunks of one answer and measures their timing.
type progress struct {
	metrics *instruments
	arrived time.Time
	// position is the position of the last chunk, 0 before the first.
	position    uint64
	lastChunkAt time.Time
	cold        bool
	// orderErr is set once a chunk is out of order.
	orderErr error
}

// MarkCold implements ColdMarker.
func (p *progress) MarkCold() { p.cold = true }

// advance checks that c directly follows the last chunk and records it. Without the
// check a retry or a resumed stream that repeats or skips a chunk would give the
// caller a plausible but wrong text.
func (p *progress) advance(c engine.Chunk) error {
	if p.orderErr != nil {
		return p.orderErr
	}
	if c.Position != p.position+1 {
		p.orderErr = refusal.NewMaybeRan(refusal.CodeInternal, "answer out of order: chunk %d after %d", c.Position, p.position)
		return p.orderErr
	}
	now := time.Now()
	if p.position == 0 {
		p.metrics.observeFirstToken(p.cold, now.Sub(p.arrived))
	} else {
		p.metrics.betweenTokens.Update(now.Sub(p.lastChunkAt).Seconds())
	}
	p.position = c.Position
	p.lastChunkAt = now
	return nil
}

// checkEnd returns the error that the answer ends with, given the Backend's result.
func (p *progress) checkEnd(err error) error {
	if p.orderErr != nil {
		return p.orderErr
	}
	if err == nil && p.position == 0 {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine ended the answer without a token")
	}
	return err
}

// streamSink sends chunks as server-sent events. WriteChunk flushes at once.
type streamSink struct {
	progress
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the current write deadline.
	deadline time.Time
	// buffer holds the events that are not yet written.
	buffer []byte
	// headerSent is set once the header is sent; the status can't change afterwards.
	headerSent bool
	// writeFailed is set once a write to the caller failed.
	writeFailed bool
}

func newStreamSink(p progress, w http.ResponseWriter, timeout time.Duration) *streamSink {
	return &streamSink{progress: p, w: w, controller: http.NewResponseController(w), timeout: timeout}
}

// WriteChunk implements Sink.
func (s *streamSink) WriteChunk(c engine.Chunk) error {
	if err := s.BufferChunk(c); err != nil {
		return err
	}
	return s.writeBuffer(s.lastChunkAt)
}

// BufferChunk implements BufferingSink. It writes the buffer when that reaches
// maxBufferedBytes.
func (s *streamSink) BufferChunk(c engine.Chunk) error {
	if err := s.advance(c); err != nil {
		return err
	}
	s.buffer = appendEvent(s.buffer, c)
	if len(s.buffer) < maxBufferedBytes {
		return nil
	}
	return s.writeBuffer(s.lastChunkAt)
}

// Flush implements BufferingSink.
func (s *streamSink) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	return s.writeBuffer(s.lastChunkAt)
}

// writeDone sends the event that marks a complete answer.
func (s *streamSink) writeDone() error {
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	return s.writeBuffer(time.Now())
}

// writeError sends the refusal as an error event that ends the answer.
func (s *streamSink) writeError(r *refusal.Refusal) {
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, encodeRefusal(r)...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.writeBuffer(time.Now())
}

func (s *streamSink) writeBuffer(now time.Time) error {
	if !s.headerSent {
		s.writeHeader()
	}
	s.extendDeadline(now)
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		s.writeFailed = true
		return Error.Wrap(err)
	}
	return nil
}

func (s *streamSink) writeHeader() {
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	setColdHeader(header, s.cold)
	s.w.WriteHeader(http.StatusOK)
	s.headerSent = true
}

// extendDeadline keeps the write deadline between one and two timeouts ahead.
// Without it a caller that stops reading would occupy its engine's slot
// indefinitely. Moving it for each token would cost more than the other work for the
// token.
func (s *streamSink) extendDeadline(now time.Time) {
	if s.deadline.Sub(now) > s.timeout {
		return
	}
	s.deadline = now.Add(2 * s.timeout)
	// The error is ignored: writers of tests don't support deadlines.
	_ = s.controller.SetWriteDeadline(s.deadline)
}

func setColdHeader(header http.Header, cold bool) {
	if cold {
		header.Set(headerCold, "true")
	}
}

// appendEvent appends the chunk as one server-sent event. It runs for every token and
// is the most frequent operation; go-sse's Message, which takes strings and writes
// piece by piece, took nine times as long.
func appendEvent(b []byte, c engine.Chunk) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, c.Position, 10)
	b = append(b, '\n')
	b = appendData(b, c.Data)
	return append(b, '\n')
}

// appendData appends one data line for each line of the data. Clients join the lines
// with "\n". This keeps the JSON equivalent, because JSON has line breaks only between
// its tokens.
func appendData(b, data []byte) []byte {
	for {
		i := indexLineBreak(data)
		if i < 0 {
			return appendLine(b, data)
		}
		b = appendLine(b, data[:i])
		data = data[i+1:]
	}
}

// indexLineBreak returns the index of the first CR or LF, or -1. For the usual chunk
// of one line, two calls of bytes.IndexByte are faster than bytes.IndexAny.
func indexLineBreak(data []byte) int {
	lf := bytes.IndexByte(data, '\n')
	cr := bytes.IndexByte(data, '\r')
	if lf < 0 || cr < 0 {
		return max(lf, cr)
	}
	return min(lf, cr)
}

func appendLine(b, line []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, line...)
	return append(b, '\n')
}
