package harness

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// PlainServer is a sound backend server of a plain service. It reads the whole request, works for a while and answers.
// It is safe for concurrent use.
type PlainServer struct {
	ID, Address string
	// Work is how long a request takes.
	Work time.Duration

	slots chan struct{}
	mu    sync.Mutex
	runs  map[string]int
}

// NewPlainServer starts a server that runs as many requests at once as it has slots.
func NewPlainServer(id string, slots int, work time.Duration) *PlainServer {
	s := &PlainServer{ID: id, Work: work, slots: make(chan struct{}, slots), runs: make(map[string]int)}
	s.Address = httptest.NewServer(s).Listener.Addr().String()
	return s
}

// Runs returns how often the request with this ID ran.
func (s *PlainServer) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bergamotreel-Attempt-Id")
	w.Header().Set("Bergamotreel-Attempt-Id", id)
	if target := r.Header.Get("Bergamotreel-Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("Bergamotreel-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Bergamotreel-Instance-Id", s.ID)
		return
	}
	body := make([]byte, 32<<10)
	for {
		if _, err := r.Body.Read(body); err != nil {
			break
		}
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(s.Work)
	w.Header().Set("Bergamotreel-Server-Seal", "seal-"+s.ID)
	fmt.Fprint(w, "done "+id)
}
