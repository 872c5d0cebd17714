package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxConcurrentDials bounds the streams that are being opened at the same time.
	maxConcurrentDials = 64
	// readBufferSize is the read buffer of a held stream, in bytes. It is small so
	// that this process can hold thousands of streams.
	readBufferSize = 512
	// errorEventPrefix begins the event of a refusal within a stream.
	errorEventPrefix = "event: error"
	// eventIDPrefix begins the event of each token.
	eventIDPrefix = "id: "
)

// HoldResult holds the measurements of a run that holds streams open.
type HoldResult struct {
	// Requested counts the streams to open, Answered those that got a first token
	// and were held, and EndedEarly the held ones that ended before the hold did.
	Requested   int           `json:"asked"`
	Answered    int           `json:"answered"`
	EndedEarly  int           `json:"ended_early"`
	Refused     int           `json:"refused"`
	Broken      int           `json:"broken"`
	OpeningTime time.Duration `json:"opening_ns"`
	// Tokens counts the tokens received on all streams during the hold.
	Tokens int64 `json:"tokens"`
	// UsageBefore, UsageAfterOpening and UsageAtEnd come from the daemon's metrics:
	// before the streams are opened, once all are open, and at the end of the hold.
	UsageBefore       ProcessUsage `json:"before"`
	UsageAfterOpening ProcessUsage `json:"opened"`
	UsageAtEnd        ProcessUsage `json:"during"`
}

// streamHolder opens streams and holds them open.
type streamHolder struct {
	settings   Settings
	tokenCount atomic.Int64
	readers    sync.WaitGroup

	mu     sync.Mutex
	result HoldResult
	conns  []net.Conn
}

// Hold opens n streams, spread over the targets, and holds them for the duration.
// It reads the daemon's resource usage from the metrics page at metricsAddress
// (IP:port) unless that is empty.
func Hold(ctx context.Context, settings Settings, n int, duration time.Duration, metricsAddress string) (*HoldResult, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if n <= 0 || n > maxStreams || duration <= 0 || duration > maxDuration {
		return nil, Error.New("hold 1 to %d streams for at most %v", maxStreams, maxDuration)
	}
	h := &streamHolder{settings: settings, result: HoldResult{Requested: n}}
	defer h.closeStreams()
	var err error
	if h.result.UsageBefore, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	start := time.Now()
	h.openStreams(n)
	h.result.OpeningTime = time.Since(start)
	tokensBefore := h.tokenCount.Load()
	if h.result.UsageAfterOpening, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(duration))
	if h.result.UsageAtEnd, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.Tokens = h.tokenCount.Load() - tokensBefore
	res := h.result
	return &res, nil
}

// openStreams opens n streams and returns once each has its first token, is refused
// or has failed.
func (h *streamHolder) openStreams(n int) {
	plan := newPlanner(h.settings)
	requests := make(chan plannedRequest)
	var dialers sync.WaitGroup
	for range maxConcurrentDials {
		dialers.Go(func() {
			for request := range requests {
				h.openStream(request)
			}
		})
	}
	for i := range n {
		model := h.settings.Models[i%len(h.settings.Models)]
		body := buildChatBody(model, plan.buildPrompt(model), h.settings.MaxTokens, true)
		requests <- plannedRequest{target: h.settings.Targets[i%len(h.settings.Targets)], path: chatPath, body: body}
	}
	close(requests)
	dialers.Wait()
}

// openStream opens one stream on its own connection. It uses no http.Client,
// because the client's buffers would take more memory in this process than the
// stream takes in the daemon.
func (h *streamHolder) openStream(request plannedRequest) {
	conn, err := net.DialTimeout("tcp", request.target, h.settings.Timeout)
	if err != nil {
		h.updateResult(func(r *HoldResult) { r.Broken++ })
		return
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	status, err := h.startStream(conn, reader, request)
	switch {
	case err != nil:
		h.updateResult(func(r *HoldResult) { r.Broken++ })
	case status != http.StatusOK:
		h.updateResult(func(r *HoldResult) { r.Refused++ })
	default:
		h.holdStream(conn, reader)
		return
	}
	_ = conn.Close()
}

func (h *streamHolder) updateResult(update func(*HoldResult)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	update(&h.result)
}

// startStream sends the request and returns the status of its answer, whose header
// arrives with the first token.
func (h *streamHolder) startStream(conn net.Conn, reader *bufio.Reader, request plannedRequest) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+request.target+request.path, bytes.NewReader(request.body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+h.settings.APIKey)
	if err := conn.SetDeadline(time.Now().Add(h.settings.Timeout)); err != nil {
		return 0, Error.Wrap(err)
	}
	if err := r.Write(conn); err != nil {
		return 0, Error.Wrap(err)
	}
	answer, err := http.ReadResponse(reader, r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return answer.StatusCode, Error.Wrap(conn.SetDeadline(time.Time{}))
}

// holdStream counts the stream as answered and reads it in the background until it
// ends or is closed.
func (h *streamHolder) holdStream(conn net.Conn, reader *bufio.Reader) {
	h.updateResult(func(r *HoldResult) { r.Answered++ })
	h.mu.Lock()
	h.conns = append(h.conns, conn)
	h.mu.Unlock()
	h.readers.Go(func() {
		h.countTokens(reader)
		h.updateResult(func(r *HoldResult) { r.EndedEarly++ })
	})
}

// countTokens counts the tokens of a stream until a refusal or until the stream
// ends or fails.
func (h *streamHolder) countTokens(reader *bufio.Reader) {
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte(eventIDPrefix)) {
			h.tokenCount.Add(1)
		}
		if bytes.HasPrefix(line, []byte(errorEventPrefix)) {
			return
		}
		if err != nil && err != bufio.ErrBufferFull {
			return
		}
	}
}

// closeStreams closes all held streams and waits for their readers.
func (h *streamHolder) closeStreams() {
	h.mu.Lock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.mu.Unlock()
	h.readers.Wait()
}

// WriteTable writes the result as text.
func (h *HoldResult) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "asked %d, answered %d, ended early %d, refused %d, broken %d; opened in %v\n",
		h.Requested, h.Answered, h.EndedEarly, h.Refused, h.Broken, h.OpeningTime.Round(time.Millisecond))
	if err != nil || h.UsageAtEnd == (ProcessUsage{}) {
		return Error.Wrap(err)
	}
	growth := h.UsageAtEnd.ResidentBytes - h.UsageBefore.ResidentBytes
	cpuMicros := (h.UsageAtEnd.CPUSeconds - h.UsageAfterOpening.CPUSeconds) * 1e6
	_, err = fmt.Fprintf(w, "resident %d -> %d bytes (%d a stream), Go heap and stacks %d -> %d bytes\n"+
		"%d tokens relayed in the hold, %.2f us of processor time each\n",
		h.UsageBefore.ResidentBytes, h.UsageAtEnd.ResidentBytes, growth/int64(max(h.Answered, 1)), h.UsageBefore.GoBytes, h.UsageAtEnd.GoBytes,
		h.Tokens, cpuMicros/float64(max(h.Tokens, 1)))
	return Error.Wrap(err)
}
