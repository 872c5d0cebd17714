package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"bergamotreel/internal/testkit"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	// entered is closed at the first write.
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against requests that block because the reader of the logs has stopped: lines
// beyond the bound are dropped and counted, and the queued ones are written once the
// output continues.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{}), entered: make(chan struct{})}
	w := NewAsyncWriter(out)
	write := func() {
		_, err := w.Write([]byte("line\n"))
		testkit.OK(t, err)
	}
	write()
	<-out.entered // the first line is being written, all others have to wait
	before := droppedTotal.Get()
	for range 2 * maxQueuedLines {
		write()
	}
	dropped := droppedTotal.Get() - before
	testkit.Equal(t, "lines dropped", dropped, maxQueuedLines)
	close(out.release)
	for w.unwritten.Load() > 0 {
		testkit.OK(t, w.Sync())
	}
	testkit.OK(t, w.Close())
	testkit.Equal(t, "lines written", strings.Count(out.text.String(), "line\n"), 1+2*maxQueuedLines-int(dropped))
	testkit.That(t, strings.Contains(out.text.String(), fmt.Sprintf(`"msg":"log lines dropped","lines":%d}`, dropped)),
		"no line reports the number of dropped lines")
}

// One write takes a bounded number of lines, even if the queue never runs empty.
func TestAsyncWriterBoundsABatch(t *testing.T) {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	for range maxQueuedLines {
		w.lines <- []byte("line\n")
	}
	batch, count := w.fillBatch([]byte("line\n"))
	testkit.Equal(t, "lines in one write", count, maxBatchLines)
	testkit.Equal(t, "bytes", len(batch), maxBatchLines*len("line\n"))
}

func TestAsyncLogger(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	level := zap.NewAtomicLevel()
	logger := NewAsyncLogger(level, w)
	logger.Debug("below the level")
	logger.Info("at the level", zap.String("request", "7"), Reason(errors.New("why")), Reason(nil))
	level.SetLevel(zap.DebugLevel)
	logger.Debug("after the level change")
	testkit.OK(t, w.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	testkit.Need(t, len(lines) == 2, "got %q", lines)
	testkit.That(t, strings.Contains(lines[0], `"request":"7","reason":"why"}`), "got %s", lines[0])
}

// Guards against lines that are lost because a log collector cuts long writes: a burst
// of lines is written in order, in pieces that a pipe takes atomically.
func TestAsyncWriterKeepsWritesShort(t *testing.T) {
	out := &recordedWrites{}
	w := NewAsyncWriter(out)
	const lines = 100
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 300))
		want.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	testkit.Need(t, w.Close() == nil, "not closed")
	testkit.Equal(t, "lines written", strings.Join(out.all, ""), want.String())
	for _, piece := range out.all {
		testkit.That(t, len(piece) <= maxBatchBytes, "a write of %d bytes", len(piece))
	}
}

// recordedWrites records each write.
type recordedWrites struct {
	mu  sync.Mutex
	all []string
}

func (w *recordedWrites) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, string(p))
	return len(p), nil
}
