package telemetry

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines bounds the lines that wait for the output: a few seconds of a busy
	// VM's, some 300 bytes each.
	queuedLines = 4096
	// batchLines bounds the lines of one write. Failure: lines went on being gathered for
	// as long as others came, so that a busy process held any number beside the queue.
	batchLines = 256
	// batchBytes bounds a write beside its first line. Failure: what gathered the output cut
	// writes at 8 KB, and two thirds of the lines that a VM wrote at its start were missing.
	// A pipe takes this much whole, whoever else writes to it.
	batchBytes = 4096
	// flushWithin bounds how long the last lines of a process are waited for.
	flushWithin = 300 * time.Millisecond
)

// droppedTotal counts the lines that the output was too slow for.
var droppedTotal = metrics.NewCounter(`bergamotreel_log_lines_dropped_total`)

// AsyncWriter hands lines to a slow output without ever blocking their writer.
// Failure: what reads the logs stops, the pipe fills, and every request that logs a
// decision hangs in a write. Lines that find the queue full are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	// next is a line that did not fit into the last write. It belongs to run.
	next []byte
	// unwritten counts the lines taken and not written yet, untold those dropped that no
	// line tells of yet.
	unwritten, untold atomic.Int64
	done              chan struct{}
	close             sync.Once
}

// NewAsyncWriter starts writing to out. Close must be called at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes what is queued, several lines at a time.
func (w *AsyncWriter) run(out io.Writer) {
	var batch []byte
	for {
		line, ok := w.take()
		if !ok {
			return
		}
		var count int64
		batch, count = w.gather(append(batch[:0], line...))
		if dropped := w.untold.Swap(0); dropped > 0 {
			batch = append(batch, droppedLine(time.Now(), dropped)...)
		}
		// There is nowhere to tell that the output of the log failed.
		_, _ = out.Write(batch)
		w.unwritten.Add(-count)
	}
}

// take returns the next line, false once the writer is closed.
func (w *AsyncWriter) take() ([]byte, bool) {
	if line := w.next; line != nil {
		w.next = nil
		return line, true
	}
	select {
	case line := <-w.lines:
		return line, true
	case <-w.done:
		return nil, false
	}
}

// droppedLine tells of lines that are missing where it stands. It is made here and not by a
// logger: its own line would have to wait behind the queue that was full.
func droppedLine(now time.Time, lines int64) []byte {
	line, err := json.Marshal(struct {
		Level   string    `json:"level"`
		Time    time.Time `json:"ts"`
		Message string    `json:"msg"`
		Lines   int64     `json:"lines"`
	}{"warn", now, "log lines dropped", lines})
	if err != nil {
		return nil // the counter has it
	}
	return append(line, '\n')
}

// gather adds what is queued to a batch of one line, and counts the batch's lines.
func (w *AsyncWriter) gather(batch []byte) ([]byte, int64) {
	count := int64(1)
	for count < batchLines && len(w.lines) > 0 {
		line := <-w.lines
		if len(batch)+len(line) > batchBytes {
			w.next = line
			break
		}
		batch = append(batch, line...)
		count++
	}
	return batch, count
}

// Write implements zapcore.WriteSyncer. It keeps no reference to p.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.unwritten.Add(1)
	select {
	case w.lines <- line:
	default:
		w.unwritten.Add(-1)
		w.untold.Add(1)
		droppedTotal.Inc()
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer: it waits a moment for what is queued.
func (w *AsyncWriter) Sync() error {
	deadline := time.Now().Add(flushWithin)
	for w.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Close ends the writing after Sync.
func (w *AsyncWriter) Close() error {
	err := w.Sync()
	w.close.Do(func() { close(w.done) })
	return err
}

// NewAsyncLogger makes a logger that writes JSON lines to w, from the level on,
// which may be changed later.
func NewAsyncLogger(level zap.AtomicLevel, w *AsyncWriter) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, level))
}
