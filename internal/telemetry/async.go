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
	// maxQueuedLines bounds the lines that wait for the output: a few seconds of a busy
	// VM's log, at about 300 bytes a line.
	maxQueuedLines = 4096
	// maxBatchLines bounds the lines of one write. Without it a busy process, whose lines
	// arrive as fast as they are collected, would hold any number of them beside the queue.
	maxBatchLines = 256
	// maxBatchBytes bounds a write unless its first line alone is longer. A log collector
	// that cuts writes at 8 KB lost two thirds of the lines that a VM wrote at its start.
	// A pipe takes writes up to this size atomically, even with other writers.
	maxBatchBytes = 4096
	// flushTimeout bounds the wait for the last lines of a process.
	flushTimeout = 300 * time.Millisecond
)

// droppedTotal counts the lines dropped because the output was too slow.
var droppedTotal = metrics.NewCounter(`bergamotreel_log_lines_dropped_total`)

// AsyncWriter writes lines to a slow output without ever blocking the caller of Write.
// Otherwise, if the reader of the logs stops, the pipe fills and every request that logs
// a decision blocks in a write. AsyncWriter drops and counts lines while its queue is
// full.
type AsyncWriter struct {
	lines chan []byte
	// leftover is a line that did not fit into the last write. Only run uses it.
	leftover []byte
	// unwritten counts the lines accepted but not written yet, unreportedDrops the dropped
	// lines that no log line reports yet.
	unwritten, unreportedDrops atomic.Int64
	done                       chan struct{}
	close                      sync.Once
}

// NewAsyncWriter starts a writer to out. The caller must call Close at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes the queued lines in batches until the writer is closed.
func (w *AsyncWriter) run(out io.Writer) {
	var batch []byte
	for {
		line, ok := w.nextLine()
		if !ok {
			return
		}
		var count int64
		batch, count = w.fillBatch(append(batch[:0], line...))
		if dropped := w.unreportedDrops.Swap(0); dropped > 0 {
			batch = append(batch, droppedLine(time.Now(), dropped)...)
		}
		// There is no other place to report that writing the log failed.
		_, _ = out.Write(batch)
		w.unwritten.Add(-count)
	}
}

// nextLine waits for the next line. It returns false once the writer is closed.
func (w *AsyncWriter) nextLine() ([]byte, bool) {
	if line := w.leftover; line != nil {
		w.leftover = nil
		return line, true
	}
	select {
	case line := <-w.lines:
		return line, true
	case <-w.done:
		return nil, false
	}
}

// droppedLine returns a log line that reports dropped lines at the place where they are
// missing. It isn't logged through the logger, as it would queue behind the full queue.
func droppedLine(now time.Time, lines int64) []byte {
	line, err := json.Marshal(struct {
		Level   string    `json:"level"`
		Time    time.Time `json:"ts"`
		Message string    `json:"msg"`
		Lines   int64     `json:"lines"`
	}{"warn", now, "log lines dropped", lines})
	if err != nil {
		return nil // droppedTotal counts them anyway
	}
	return append(line, '\n')
}

// fillBatch adds queued lines to a batch that has one line, and returns the batch and its
// number of lines.
func (w *AsyncWriter) fillBatch(batch []byte) ([]byte, int64) {
	count := int64(1)
	for count < maxBatchLines && len(w.lines) > 0 {
		line := <-w.lines
		if len(batch)+len(line) > maxBatchBytes {
			w.leftover = line
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
		w.unreportedDrops.Add(1)
		droppedTotal.Inc()
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It waits up to flushTimeout for the queued lines.
func (w *AsyncWriter) Sync() error {
	deadline := time.Now().Add(flushTimeout)
	for w.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Close calls Sync and stops the writer.
func (w *AsyncWriter) Close() error {
	err := w.Sync()
	w.close.Do(func() { close(w.done) })
	return err
}

// NewAsyncLogger returns a logger that writes JSON lines of the given level and above to
// w. The level may change later.
func NewAsyncLogger(level zap.AtomicLevel, w *AsyncWriter) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, level))
}
