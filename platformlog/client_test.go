package platformlog_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
)

// breakConnection aborts a handler without an answer.
func breakConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func respondWith(code int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against ErrUnavailable for a record that is stored after all: the caller
// may report "not run" and decide again, so that the decision takes effect twice.
// Only an explicit status of the log, or a connection that was never established,
// may result in ErrUnavailable.
func TestAppendErrorMatchesWhetherRecordCanBeStored(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   error
	}{
		"rate limit":           {respondWith(429, `{"error":"rate"}`), platformlog.ErrUnavailable},
		"outage":               {respondWith(503, `{"error":"outage"}`), platformlog.ErrUnavailable},
		"refused as malformed": {respondWith(400, ``), platformlog.ErrUnavailable},
		"too large":            {respondWith(413, ``), platformlog.ErrTooLarge},
		"server error":         {respondWith(500, ``), platformlog.ErrOutcomeUnknown},
		"bad gateway":          {respondWith(502, ``), platformlog.ErrOutcomeUnknown},
		"gateway timeout":      {respondWith(504, ``), platformlog.ErrOutcomeUnknown},
		"broken connection":    {breakConnection, platformlog.ErrOutcomeUnknown},
		"success, no JSON":     {respondWith(200, `<html>`), platformlog.ErrOutcomeUnknown},
		"success, no offset":   {respondWith(200, `{}`), platformlog.ErrOutcomeUnknown},
		"redirect": {func(w http.ResponseWriter) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusTemporaryRedirect)
		}, platformlog.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				c.answer(w)
			}))
			defer server.Close()
			_, err := platformlog.NewClient(server.URL, nil).Append(t.Context(), "control", []byte("x"))
			testkit.WantError(t, name, err, c.want)
			testkit.Equal(t, "sent", calls.Load(), 1)
		})
	}
}

// roundTripper is a transport that doesn't call the hooks of httptrace.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a wrong error when the caller's context ends or the connection
// fails. Before a connection is established nothing can have been stored; after
// that the outcome is unknown, also if the transport doesn't report connections.
func TestInterruptedAppend(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer hanging.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	ended, end := context.WithCancel(t.Context())
	end()
	dialling, stopDial := context.WithCancel(t.Context())
	blackHole := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			stopDial()
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}}
	silent := &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
		return nil, errors.New("broken")
	})}
	cases := map[string]struct {
		ctx    context.Context
		url    string
		client *http.Client
		want   error
	}{
		"nobody listens":            {t.Context(), closed.URL, nil, platformlog.ErrUnavailable},
		"ended before the call":     {ended, hanging.URL, nil, platformlog.ErrUnavailable},
		"ended while dialling":      {dialling, hanging.URL, blackHole, platformlog.ErrUnavailable},
		"ended while the log works": {ctx, hanging.URL, nil, platformlog.ErrOutcomeUnknown},
		"silent transport":          {t.Context(), hanging.URL, silent, platformlog.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := platformlog.NewClient(c.url, c.client).Append(c.ctx, "control", []byte("x"))
			testkit.WantError(t, name, err, c.want)
		})
	}
}

// faultyLog handles each append as a seeded random draw selects: it stores the
// record and answers, stores it and then fails or breaks the connection, or fails
// before storing it.
type faultyLog struct {
	mu     sync.Mutex
	rng    *rand.Rand
	stored map[string]bool
}

func (l *faultyLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	draw := l.rng.IntN(6)
	if draw == 0 {
		panic(http.ErrAbortHandler) // before the body is read
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || draw == 1 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.stored[string(data)] = true
	switch draw {
	case 2:
		panic(http.ErrAbortHandler)
	case 3:
		w.Header().Set("Connection", "close")
	case 4:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, `{"offset":1}`)
}

// Guards against a result that contradicts the stored records. Appends share
// kept-alive connections, which break at different points of a request.
func TestAppendResultMatchesStoredRecords(t *testing.T) {
	log := &faultyLog{rng: rand.New(rand.NewPCG(1, 2)), stored: map[string]bool{}}
	server := httptest.NewServer(log)
	client := platformlog.NewClient(server.URL, nil)
	results := map[string]error{}
	for i := range 500 {
		data := strconv.Itoa(i)
		_, results[data] = client.Append(t.Context(), "control", []byte(data))
	}
	server.Close()
	counts := map[bool]int{}
	for data, err := range results {
		if err == nil && !log.stored[data] {
			t.Errorf("append %s: reported as stored, but is not", data)
		}
		if errors.Is(err, platformlog.ErrUnavailable) && log.stored[data] {
			t.Errorf("append %s: reported as not stored, but is: %v", data, err)
		}
		counts[errors.Is(err, platformlog.ErrUnavailable)]++
	}
	if counts[true] == 0 || counts[false] == 0 {
		t.Errorf("the draws produced only one kind of result: %v", counts)
	}
}

func TestReadErrors(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   error
	}{
		"trimmed":    {respondWith(410, `{"next":1,"earliest":7,"end":9}`), platformlog.ErrTrimmed},
		"outage":     {respondWith(503, ``), platformlog.ErrUnavailable},
		"broken":     {breakConnection, platformlog.ErrUnavailable},
		"not a JSON": {respondWith(200, `<html>`), platformlog.ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
			defer server.Close()
			batch, err := platformlog.NewClient(server.URL, nil).Read(t.Context(), "control", 1, 10, 0)
			testkit.WantError(t, name, err, c.want)
			if errors.Is(err, platformlog.ErrTrimmed) && (batch.Earliest != 7 || batch.End != 9) {
				t.Errorf("got %+v, want earliest 7 and end 9", batch)
			}
		})
	}
}
