package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestConnectionsFitTheOpenFiles(t *testing.T) {
	for files, want := range map[uint64]int64{100: 1, 1024: 256, 20_000: 9744, 1 << 63: 1 << 30} {
		if got := servedWith(files, 0); got != want {
			t.Errorf("%d files: %d connections, want %d", files, got, want)
		}
	}
	if got := servedWith(20_000, 10_000); got < 10_000 {
		t.Errorf("%d connections with 10,000 shared streams", got)
	}
}

// Each caller is served or refused at once; none finds its request accepted and
// the last open file gone.
// Twelve connections were accepted while eight streams shared theirs to the
// engine. These end, and the callers' next requests could each need a file.
func TestConnectionsBeyondTheFilesAreGivenUp(t *testing.T) {
	shared := 8
	s := NewServer(http.NotFoundHandler(), Limits{SharedStreams: func() int { return shared }}, nil)
	s.bound.files = reservedFiles + 18
	s.bound.open.Store(12)
	status := func(path string) int {
		w := httptest.NewRecorder()
		s.serveHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if (w.Code == http.StatusServiceUnavailable) != (w.Header().Get("Connection") == "close" && w.Header().Get("Retry-After") == "1") {
			t.Errorf("status %d, %v", w.Code, w.Header())
		}
		return w.Code
	}
	if got := status("/"); got != http.StatusNotFound {
		t.Errorf("within the files: %d", got)
	}
	shared = 0
	if got := status("/"); got != http.StatusServiceUnavailable {
		t.Errorf("beyond the files: %d", got)
	}
	s.bound.open.Store(9)
	if got := status("/"); got != http.StatusNotFound {
		t.Errorf("within the files again: %d", got)
	}
}
