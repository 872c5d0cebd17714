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
)

// Held is what came out of holding streams open.
type Held struct {
	// Asked streams were opened; Answered of them had a first token and were
	// open together when memory was read; Ended of them ended before the time.
	Asked    int           `json:"asked"`
	Answered int           `json:"answered"`
	Ended    int           `json:"ended_early"`
	Refused  int           `json:"refused"`
	Broken   int           `json:"broken"`
	Bytes    int64         `json:"bytes"`
	Opening  time.Duration `json:"opening_ns"`
	// Before and During are the daemon's memory by its own metrics.
	Before Memory `json:"before"`
	During Memory `json:"during"`
}

// holder opens streams and holds them.
type holder struct {
	settings Settings
	until    time.Time
	mu       sync.Mutex
	held     Held
	conns    []net.Conn
	reading  sync.WaitGroup
}

// Hold opens n streams over the targets and holds them for the time. It reads
// the daemon's memory before and in the middle from the metrics page at
// metricsAddress (IP:port), if given.
func Hold(ctx context.Context, settings Settings, n int, hold time.Duration, metricsAddress string) (*Held, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if n <= 0 || n > maxStreams || hold <= 0 || hold > maxDuration {
		return nil, Error.New("hold 1 to %d streams for at most %v", maxStreams, maxDuration)
	}
	before, err := readMemory(ctx, metricsAddress)
	if err != nil {
		return nil, err
	}
	h := &holder{settings: settings, held: Held{Asked: n, Before: before}}
	start := time.Now()
	h.openAll(n)
	h.held.Opening = time.Since(start)
	sleepUntil(ctx, time.Now().Add(hold))
	h.mu.Lock()
	h.until = time.Now()
	h.mu.Unlock()
	during, err := readMemory(ctx, metricsAddress)
	h.closeAll()
	h.held.During = during
	return &h.held, err
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
		body := chatBody(model, plan.prompt(model), h.settings.Tokens, true)
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
		h.count(func(held *Held) { held.Broken++ })
		return
	}
	reader := bufio.NewReaderSize(conn, holdBuffer)
	status, err := h.start(conn, reader, request)
	switch {
	case err != nil:
		h.count(func(held *Held) { held.Broken++ })
	case status != http.StatusOK:
		h.count(func(held *Held) { held.Refused++ })
	default:
		h.keep(conn, reader)
		return
	}
	_ = conn.Close()
}

func (h *holder) count(change func(*Held)) {
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
	r.Header.Set("Authorization", "Bearer "+h.settings.Key)
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
	h.count(func(held *Held) { held.Answered++ })
	h.mu.Lock()
	h.conns = append(h.conns, conn)
	h.mu.Unlock()
	h.reading.Go(func() {
		n := drain(reader)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.held.Bytes += n
		if h.until.IsZero() {
			h.held.Ended++
		}
	})
}

// drain counts the bytes that come until the stream ends, in whatever way, or
// until a refusal.
func drain(reader *bufio.Reader) int64 {
	var n int64
	for {
		line, err := reader.ReadSlice('\n')
		n += int64(len(line))
		if bytes.HasPrefix(line, []byte(errorEvent)) {
			return n
		}
		if err != nil && err != bufio.ErrBufferFull {
			return n
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
func (h *Held) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "asked %d, answered %d, ended early %d, refused %d, broken %d; %d bytes; opened in %v\n",
		h.Asked, h.Answered, h.Ended, h.Refused, h.Broken, h.Bytes, h.Opening.Round(time.Millisecond))
	if err != nil || h.During == (Memory{}) {
		return Error.Wrap(err)
	}
	grown := h.During.Resident - h.Before.Resident
	_, err = fmt.Fprintf(w, "resident %d -> %d bytes (%d a stream), Go heap and stacks %d -> %d bytes\n",
		h.Before.Resident, h.During.Resident, grown/int64(max(h.Answered, 1)), h.Before.Go, h.During.Go)
	return Error.Wrap(err)
}
