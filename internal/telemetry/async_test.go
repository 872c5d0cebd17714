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

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	goOn chan struct{}
	// entered tells of the first write.
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.goOn
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// What reads the logs has stopped. No request may wait for it: lines beyond the bound
// are dropped and counted, and those within it come once it goes on.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stuck{goOn: make(chan struct{}), entered: make(chan struct{})}
	w := NewAsyncWriter(out)
	write := func() {
		_, err := w.Write([]byte("line\n"))
		testkit.OK(t, err)
	}
	write()
	<-out.entered // the first line is being written, all others have to wait
	before := droppedTotal.Get()
	for range 2 * queuedLines {
		write()
	}
	dropped := droppedTotal.Get() - before
	testkit.Equal(t, "lines dropped", dropped, queuedLines)
	close(out.goOn)
	for w.unwritten.Load() > 0 {
		testkit.OK(t, w.Sync())
	}
	testkit.OK(t, w.Close())
	testkit.Equal(t, "lines written", strings.Count(out.text.String(), "line\n"), 1+2*queuedLines-int(dropped))
	testkit.That(t, strings.Contains(out.text.String(), fmt.Sprintf(`"msg":"log lines dropped","lines":%d}`, dropped)),
		"no line tells how many are missing")
}

// Lines come as fast as they are taken from the queue. One write takes a bounded number.
func TestAsyncWriterGathersABoundedBatch(t *testing.T) {
	w := &AsyncWriter{lines: make(chan []byte, queuedLines)}
	for range queuedLines {
		w.lines <- []byte("line\n")
	}
	batch, count := w.gather([]byte("line\n"))
	testkit.Equal(t, "lines in one write", count, batchLines)
	testkit.Equal(t, "bytes", len(batch), batchLines*len("line\n"))
}

func TestAsyncLogger(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	level := zap.NewAtomicLevel()
	logger := NewAsyncLogger(level, w)
	logger.Debug("not told")
	logger.Info("told", zap.String("request", "7"), Reason(errors.New("why")), Reason(nil))
	level.SetLevel(zap.DebugLevel)
	logger.Debug("told too")
	testkit.OK(t, w.Close())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	testkit.Need(t, len(lines) == 2, "got %q", lines)
	testkit.That(t, strings.Contains(lines[0], `"request":"7","reason":"why"}`), "got %s", lines[0])
}

// What gathers the output of a process cuts long writes. Lines that come in a burst are
// written in pieces that a pipe takes whole, in order, and none is lost.
func TestAsyncWriterKeepsWritesShort(t *testing.T) {
	out := &writes{}
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
		testkit.That(t, len(piece) <= batchBytes, "a write of %d bytes", len(piece))
	}
}

// writes keeps each write.
type writes struct {
	mu  sync.Mutex
	all []string
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, string(p))
	return len(p), nil
}
