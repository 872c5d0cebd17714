package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestMaxConnectionsForOpenFiles(t *testing.T) {
	for files, want := range map[uint64]int64{100: 1, 1024: 256, 20_000: 9744, 1 << 63: 1 << 30} {
		if got := maxConnectionsFor(files, 0); got != want {
			t.Errorf("%d files: %d connections, want %d", files, got, want)
		}
	}
	if got := maxConnectionsFor(20_000, 10_000); got < 10_000 {
		t.Errorf("%d connections with 10,000 shared streams", got)
	}
}

// Twelve connections were accepted while eight streams shared connections to their
// engine. After these streams end, each next request may need a file. Connections over
// the lower limit must be refused; otherwise accepted requests would find no free file.
func TestConnectionsOverLoweredLimitAreRefused(t *testing.T) {
	shared := 8
	s := NewServer(http.NotFoundHandler(), Limits{SharedStreams: func() int { return shared }}, nil)
	s.limiter.maxFiles = reservedFiles + 18
	s.limiter.open.Store(12)
	status := func(path string) int {
		w := httptest.NewRecorder()
		s.serveHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if (w.Code == http.StatusServiceUnavailable) != (w.Header().Get("Connection") == "close" && w.Header().Get("Retry-After") == "1") {
			t.Errorf("status %d, %v", w.Code, w.Header())
		}
		return w.Code
	}
	if got := status("/"); got != http.StatusNotFound {
		t.Errorf("within the limit: %d", got)
	}
	shared = 0
	if got := status("/"); got != http.StatusServiceUnavailable {
		t.Errorf("over the limit: %d", got)
	}
	s.limiter.open.Store(9)
	if got := status("/"); got != http.StatusNotFound {
		t.Errorf("within the limit again: %d", got)
	}
}
