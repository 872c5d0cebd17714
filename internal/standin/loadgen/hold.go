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
	// dialers is how many streams are opened at once.
	dialers = 64
	// holdBuffer is the read buffer of a held stream, in bytes: small, so that
	// this process can hold thousands.
	holdBuffer = 512
	// errorEvent is how a refusal starts in the middle of a stream.
	errorEvent = "event: error"
	// idLine starts each token's event.
	idLine = "id: "
)

// Held is what came out of holding streams open.
type HoldResult struct {
	// Asked streams were opened; Answered of them had a first token and were
	// held; Ended of these ended before the time.
	Requested   int           `json:"asked"`
	Answered    int           `json:"answered"`
	EndedEarly  int           `json:"ended_early"`
	Refused     int           `json:"refused"`
	Broken      int           `json:"broken"`
	OpeningTime time.Duration `json:"opening_ns"`
	// Tokens came over all streams while they were held.
	Tokens int64 `json:"tokens"`
	// Before the opening, Opened at its end and During at the end of the hold
	// are what the daemon uses by its own metrics.
	UsageBefore       ProcessUsage `json:"before"`
	UsageAfterOpening ProcessUsage `json:"opened"`
	UsageAtEnd        ProcessUsage `json:"during"`
}

// holder opens streams and holds them.
type holder struct {
	settings Settings
	tokens   atomic.Int64
	reading  sync.WaitGroup

	mu    sync.Mutex
	held  HoldResult
	conns []net.Conn
}

// Hold opens n streams over the targets and holds them for the time. It reads
// what the daemon uses from the metrics page at metricsAddress (IP:port), if
// given.
func Hold(ctx context.Context, settings Settings, n int, hold time.Duration, metricsAddress string) (*HoldResult, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if n <= 0 || n > maxStreams || hold <= 0 || hold > maxDuration {
		return nil, Error.New("hold 1 to %d streams for at most %v", maxStreams, maxDuration)
	}
	h := &holder{settings: settings, held: HoldResult{Requested: n}}
	defer h.closeAll()
	var err error
	if h.held.UsageBefore, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	start := time.Now()
	h.openAll(n)
	h.held.OpeningTime = time.Since(start)
	before := h.tokens.Load()
	if h.held.UsageAfterOpening, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(hold))
	if h.held.UsageAtEnd, err = readUsage(ctx, metricsAddress); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.Tokens = h.tokens.Load() - before
	held := h.held
	return &held, nil
}

// openAll returns once each stream has had its first token or its refusal.
func (h *holder) openAll(n int) {
	plan := newPlanner(h.settings)
	requests := make(chan planned)
	var opening sync.WaitGroup
	for range dialers {
		opening.Go(func() {
			for request := range requests {
				h.open(request)
			}
		})
	}
	for i := range n {
		model := h.settings.Models[i%len(h.settings.Models)]
		body := chatBody(model, plan.prompt(model), h.settings.MaxTokens, true)
		requests <- planned{target: h.settings.Targets[i%len(h.settings.Targets)], path: chatPath, body: body}
	}
	close(requests)
	opening.Wait()
}

// open opens one stream on its own connection, without an http.Client, whose
// buffers would take more memory here than the daemon's there.
func (h *holder) open(request planned) {
	conn, err := net.DialTimeout("tcp", request.target, h.settings.Timeout)
	if err != nil {
		h.count(func(held *HoldResult) { held.Broken++ })
		return
	}
	reader := bufio.NewReaderSize(conn, holdBuffer)
	status, err := h.start(conn, reader, request)
	switch {
	case err != nil:
		h.count(func(held *HoldResult) { held.Broken++ })
	case status != http.StatusOK:
		h.count(func(held *HoldResult) { held.Refused++ })
	default:
		h.keep(conn, reader)
		return
	}
	_ = conn.Close()
}

func (h *holder) count(change func(*HoldResult)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.held)
}

// start sends the request and reads the header of its answer, which comes with
// the first token.
func (h *holder) start(conn net.Conn, reader *bufio.Reader, request planned) (int, error) {
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

// keep reads the stream until it ends or is closed.
func (h *holder) keep(conn net.Conn, reader *bufio.Reader) {
	h.count(func(held *HoldResult) { held.Answered++ })
	h.mu.Lock()
	h.conns = append(h.conns, conn)
	h.mu.Unlock()
	h.reading.Go(func() {
		h.drain(reader)
		h.count(func(held *HoldResult) { held.EndedEarly++ })
	})
}

// drain counts the tokens that come until the stream ends, in whatever way, or
// until a refusal.
func (h *holder) drain(reader *bufio.Reader) {
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte(idLine)) {
			h.tokens.Add(1)
		}
		if bytes.HasPrefix(line, []byte(errorEvent)) {
			return
		}
		if err != nil && err != bufio.ErrBufferFull {
			return
		}
	}
}

func (h *holder) closeAll() {
	h.mu.Lock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.mu.Unlock()
	h.reading.Wait()
}

// WriteTable writes the result for people.
func (h *HoldResult) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "asked %d, answered %d, ended early %d, refused %d, broken %d; opened in %v\n",
		h.Requested, h.Answered, h.EndedEarly, h.Refused, h.Broken, h.OpeningTime.Round(time.Millisecond))
	if err != nil || h.UsageAtEnd == (ProcessUsage{}) {
		return Error.Wrap(err)
	}
	grown := h.UsageAtEnd.ResidentBytes - h.UsageBefore.ResidentBytes
	micros := (h.UsageAtEnd.CPUSeconds - h.UsageAfterOpening.CPUSeconds) * 1e6
	_, err = fmt.Fprintf(w, "resident %d -> %d bytes (%d a stream), Go heap and stacks %d -> %d bytes\n"+
		"%d tokens relayed in the hold, %.2f us of processor time each\n",
		h.UsageBefore.ResidentBytes, h.UsageAtEnd.ResidentBytes, grown/int64(max(h.Answered, 1)), h.UsageBefore.GoBytes, h.UsageAtEnd.GoBytes,
		h.Tokens, micros/float64(max(h.Tokens, 1)))
	return Error.Wrap(err)
}
