package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/engine"
	"bergamotreel/refusal"
)

// maxHeldEvents is how many bytes of events wait for one write at most; some ten
// tokens, far below net/http's own buffers.
const maxHeldEvents = 2 << 10

// headerCold tells the caller that its request waited for a load.
const headerCold = "X-Bergamotreel-Cold"

// progress follows the chunks of one answer.
type progress struct {
	metrics *instruments
	arrived time.Time
	// position is that of the newest chunk, 0 before the first.
	position uint64
	newest   time.Time
	cold     bool
	// broken is set once chunks came out of order.
	broken error
}

// Cold implements ColdMarker.
func (p *progress) Cold() { p.cold = true }

// step checks that c is the chunk after the newest one. A retry or a resumed
// stream that repeats or skips a chunk would else reach the caller as a
// plausible but wrong text.
func (p *progress) step(c engine.Chunk) error {
	if p.broken != nil {
		return p.broken
	}
	if c.Position != p.position+1 {
		p.broken = refusal.NewMaybeRan(refusal.CodeInternal, "answer out of order: chunk %d after %d", c.Position, p.position)
		return p.broken
	}
	now := time.Now()
	if p.position == 0 {
		p.metrics.firstToken(p.cold, now.Sub(p.arrived))
	} else {
		p.metrics.betweenTokens.Update(now.Sub(p.newest).Seconds())
	}
	p.position = c.Position
	p.newest = now
	return nil
}

// end checks what the Backend says at the end of the answer.
func (p *progress) end(err error) error {
	if p.broken != nil {
		return p.broken
	}
	if err == nil && p.position == 0 {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the engine ended the answer without a token")
	}
	return err
}

// streamSink relays chunks as server-sent events, each flushed at once.
type streamSink struct {
	progress
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadline is the write deadline in force.
	deadline time.Time
	// buffer holds the events not sent yet.
	buffer []byte
	// sent is set once the header went out; from there on the status is fixed.
	sent bool
	// writeFailed is set once the caller could not be written to.
	writeFailed bool
}

func newStreamSink(p progress, w http.ResponseWriter, timeout time.Duration) *streamSink {
	return &streamSink{progress: p, w: w, control: http.NewResponseController(w), timeout: timeout}
}

// Chunk implements Sink.
func (s *streamSink) Chunk(c engine.Chunk) error {
	if err := s.Hold(c); err != nil {
		return err
	}
	return s.flush()
}

// Hold implements HoldingSink. What is held is bounded: beyond maxHeldEvents it
// is sent.
func (s *streamSink) Hold(c engine.Chunk) error {
	if err := s.step(c); err != nil {
		return err
	}
	s.buffer = appendEvent(s.buffer, c)
	if len(s.buffer) < maxHeldEvents {
		return nil
	}
	return s.flush()
}

// Release implements HoldingSink.
func (s *streamSink) Release() error {
	if len(s.buffer) == 0 {
		return nil
	}
	return s.flush()
}

// finish sends the mark of a whole answer.
func (s *streamSink) finish() error {
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	return s.flush()
}

// fail tells the caller that the answer is cut.
func (s *streamSink) fail(r *refusal.Refusal) {
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, encodeRefusal(r)...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.flush()
}

func (s *streamSink) flush() error {
	if !s.sent {
		s.header()
	}
	s.extendDeadline()
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		s.writeFailed = true
		return Error.Wrap(err)
	}
	return nil
}

func (s *streamSink) header() {
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	markCold(header, s.cold)
	s.w.WriteHeader(http.StatusOK)
	s.sent = true
}

// extendDeadline keeps the write deadline between one and two timeouts ahead.
// Without it a caller that stops reading would hold its engine's slot for good.
// Moving it for each token would cost more than the token's other work.
func (s *streamSink) extendDeadline() {
	if s.deadline.Sub(s.newest) > s.timeout {
		return
	}
	s.deadline = s.newest.Add(2 * s.timeout)
	// Writers without deadlines (tests) go without.
	_ = s.control.SetWriteDeadline(s.deadline)
}

func markCold(header http.Header, cold bool) {
	if cold {
		header.Set(headerCold, "true")
	}
}

// appendEvent adds the chunk as one server-sent event. It is done once a token,
// the most frequent work there is; go-sse's Message, which takes strings and
// writes piece by piece, took nine times as long.
func appendEvent(b []byte, c engine.Chunk) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, c.Position, 10)
	b = append(b, '\n')
	b = appendData(b, c.Data)
	return append(b, '\n')
}

// appendData adds data lines. JSON holds line breaks only between tokens, where
// the client's joining by "\n" changes nothing.
func appendData(b, data []byte) []byte {
	for {
		i := lineBreak(data)
		if i < 0 {
			return appendLine(b, data)
		}
		b = appendLine(b, data[:i])
		data = data[i+1:]
	}
}

// lineBreak finds the first CR or LF, -1 if there is none. On the usual chunk
// of one line, two searches for a byte are faster than bytes.IndexAny.
func lineBreak(data []byte) int {
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
