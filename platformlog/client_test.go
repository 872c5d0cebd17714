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

// breakConnection ends a handler without an answer.
func breakConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func status(code int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// A caller that hears "nothing stored" may tell its own caller "not run" and
// decide anew. Were that said of a record that is in the stream after all, the
// decision would stand twice. So only the log's own word, or a connection that
// never came about, may give ErrUnavailable.
func TestAppendTellsNotStoredFromUnknown(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   error
	}{
		"rate limit":           {status(429, `{"error":"rate"}`), platformlog.ErrUnavailable},
		"outage":               {status(503, `{"error":"outage"}`), platformlog.ErrUnavailable},
		"refused as malformed": {status(400, ``), platformlog.ErrUnavailable},
		"too large":            {status(413, ``), platformlog.ErrTooLarge},
		"server error":         {status(500, ``), platformlog.ErrOutcomeUnknown},
		"bad gateway":          {status(502, ``), platformlog.ErrOutcomeUnknown},
		"gateway timeout":      {status(504, ``), platformlog.ErrOutcomeUnknown},
		"broken connection":    {breakConnection, platformlog.ErrOutcomeUnknown},
		"success, no JSON":     {status(200, `<html>`), platformlog.ErrOutcomeUnknown},
		"success, no offset":   {status(200, `{}`), platformlog.ErrOutcomeUnknown},
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

// roundTripper is a transport that says nothing of its connections.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The caller's time runs out, or the connection fails. Where that happens decides
// what may be said: before there is a connection nothing can have been stored,
// afterwards nobody knows, also if the transport keeps silent about it.
func TestAppendCutShort(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	holding := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer holding.Close()
	gone := httptest.NewServer(nil)
	gone.Close()
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
		"nobody listens":            {t.Context(), gone.URL, nil, platformlog.ErrUnavailable},
		"ended before the call":     {ended, holding.URL, nil, platformlog.ErrUnavailable},
		"ended while dialling":      {dialling, holding.URL, blackHole, platformlog.ErrUnavailable},
		"ended while the log works": {ctx, holding.URL, nil, platformlog.ErrOutcomeUnknown},
		"silent transport":          {t.Context(), holding.URL, silent, platformlog.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := platformlog.NewClient(c.url, c.client).Append(c.ctx, "control", []byte("x"))
			testkit.WantError(t, name, err, c.want)
		})
	}
}

// fickleLog stores an append and then answers, breaks the connection, or does so
// before it stores, as the seeded draws say.
type fickleLog struct {
	mu     sync.Mutex
	rng    *rand.Rand
	stored map[string]bool
}

func (l *fickleLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// Connections break at any point of many appends that share kept-alive
// connections. Whatever the client says must be true of what the log stored, in
// the end too.
func TestAppendNeverLies(t *testing.T) {
	log := &fickleLog{rng: rand.New(rand.NewPCG(1, 2)), stored: map[string]bool{}}
	server := httptest.NewServer(log)
	client := platformlog.NewClient(server.URL, nil)
	told := map[string]error{}
	for i := range 500 {
		data := strconv.Itoa(i)
		_, told[data] = client.Append(t.Context(), "control", []byte(data))
	}
	server.Close()
	counts := map[bool]int{}
	for data, err := range told {
		if err == nil && !log.stored[data] {
			t.Errorf("append %s: told stored, was not", data)
		}
		if errors.Is(err, platformlog.ErrUnavailable) && log.stored[data] {
			t.Errorf("append %s: told not stored, was: %v", data, err)
		}
		counts[errors.Is(err, platformlog.ErrUnavailable)]++
	}
	if counts[true] == 0 || counts[false] == 0 {
		t.Errorf("the draws met only one kind of answer: %v", counts)
	}
}

func TestReadErrors(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   error
	}{
		"trimmed":    {status(410, `{"next":1,"earliest":7,"end":9}`), platformlog.ErrTrimmed},
		"outage":     {status(503, ``), platformlog.ErrUnavailable},
		"broken":     {breakConnection, platformlog.ErrUnavailable},
		"not a JSON": {status(200, `<html>`), platformlog.ErrUnavailable},
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
